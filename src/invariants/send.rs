//! Whether the first byte of a call may go out now. The policy decided on the call a moment ago; connections take time, and what
//! came in meanwhile binds all the same.

use crate::Micros;

/// The platform allows for a process that is held up for so long between its look at the clock and its write; a drain's grace has
/// to cover that.
pub const HELD_UP: Micros = 150_000;

/// What is known of an endpoint that is about to be called.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointFacts {
    /// When this program was told that nothing new should go there.
    pub leaving_since: Option<Micros>,
    /// Up to when nothing may go there, as an answer asked for.
    pub retry_after: Option<Micros>,
}

/// What binds the first byte of a call.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// Now.
    pub now: Micros,
    /// A message of the call is over.
    pub message_over: bool,
    /// Another process decides from here on, or may.
    pub handed_over: bool,
    /// The journal holds messages and attempts as they come.
    pub journal_writable: bool,
    /// When the first of its attempts is abandoned.
    pub cut_at: Micros,
    /// The latest time for its first byte: beyond it a repeat would run twice, or find no time to run.
    pub send_by: Micros,
    /// For how long work may go to an endpoint that leaves.
    pub drain_grace: Micros,
    /// Its endpoint; none if the list does not name it any more.
    pub endpoint: Option<EndpointFacts>,
}

/// Why a call may not go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendRefusal {
    /// A message of it is over.
    MessageOver,
    /// Another process decides.
    HandedOver,
    /// The attempt could not be noted.
    JournalFailing,
    /// Its time is up.
    Cut,
    /// Its first byte would come too late.
    TooLate,
    /// The list does not name its endpoint any more.
    UnknownEndpoint,
    /// Its endpoint leaves, and the grace is over.
    Leaving,
    /// Its endpoint or destination has asked for a pause.
    RetryAfter,
}

impl SendRefusal {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            SendRefusal::MessageOver => "over",
            SendRefusal::HandedOver => "handed-over",
            SendRefusal::JournalFailing => "journal",
            SendRefusal::Cut => "cut",
            SendRefusal::TooLate => "too-late",
            SendRefusal::UnknownEndpoint => "unknown-endpoint",
            SendRefusal::Leaving => "leaving",
            SendRefusal::RetryAfter => "told-to-wait",
        }
    }
}

/// The right to write one call, now. Only [`may_send`] makes one, and writing takes it.
#[derive(Debug)]
pub struct SendPermit(());

/// Up to how long after an endpoint was told to leave a first byte may be begun, so that it is written within the grace. The
/// platform's moment of telling lies a little before ours, hence the fifth.
pub fn last_begin(drain_grace: Micros) -> Micros {
    drain_grace.saturating_sub(HELD_UP) * 4 / 5
}

/// Whether the first byte of a call may go out.
pub fn may_send(facts: &SendFacts) -> Result<SendPermit, SendRefusal> {
    if facts.message_over {
        return Err(SendRefusal::MessageOver);
    }
    if facts.handed_over {
        return Err(SendRefusal::HandedOver);
    }
    if !facts.journal_writable {
        return Err(SendRefusal::JournalFailing);
    }
    if facts.now >= facts.cut_at {
        return Err(SendRefusal::Cut);
    }
    if facts.now >= facts.send_by {
        return Err(SendRefusal::TooLate);
    }
    let Some(endpoint) = facts.endpoint else { return Err(SendRefusal::UnknownEndpoint) };
    let grace = last_begin(facts.drain_grace);
    if endpoint.leaving_since.is_some_and(|since| facts.now >= since.saturating_add(grace)) {
        return Err(SendRefusal::Leaving);
    }
    if endpoint.retry_after.is_some_and(|until| facts.now < until) {
        return Err(SendRefusal::RetryAfter);
    }
    Ok(SendPermit(()))
}
