//! Whether the first byte of a call may go out now. The policy decided on the call a moment ago; connecting takes time, and
//! what happened meanwhile binds all the same.

use crate::Micros;

/// The platform allows for a process that is stalled for so long between its reading of the clock and its write; a drain's
/// grace has to cover that.
pub const WRITE_DELAY_ALLOWANCE: Micros = 150_000;

/// What is known of an endpoint that is about to be called.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointFacts {
    /// When this program learned that the endpoint is draining.
    pub draining_since: Option<Micros>,
    /// Up to when nothing may be sent there, as an answer asked for.
    pub retry_after: Option<Micros>,
}

/// What the first byte of a call depends on.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// Now.
    pub now: Micros,
    /// A message of the call is complete.
    pub message_complete: bool,
    /// Another process decides from here on, or may.
    pub handed_over: bool,
    /// The journal can record messages and attempts.
    pub journal_writable: bool,
    /// When the first of its attempts is abandoned.
    pub abandon_at: Micros,
    /// The latest time for its first byte: beyond it a repeat would run twice, or find no time to run.
    pub send_by: Micros,
    /// For how long work may be sent to a draining endpoint.
    pub drain_grace: Micros,
    /// Its endpoint; none if the endpoint list does not name it any more.
    pub endpoint: Option<EndpointFacts>,
}

/// Why a call may not go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendRefusal {
    /// A message of it is complete.
    MessageComplete,
    /// Another process decides.
    HandedOver,
    /// The attempt could not be journaled.
    JournalFailing,
    /// An attempt of it is abandoned.
    Abandoned,
    /// Its first byte would come too late.
    TooLate,
    /// The endpoint list does not name its endpoint any more.
    UnknownEndpoint,
    /// Its endpoint is draining, and the grace is over.
    Draining,
    /// Its endpoint or destination has sent a Retry-After.
    RetryAfter,
}

impl SendRefusal {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            SendRefusal::MessageComplete => "over",
            SendRefusal::HandedOver => "handed-over",
            SendRefusal::JournalFailing => "journal",
            SendRefusal::Abandoned => "cut",
            SendRefusal::TooLate => "too-late",
            SendRefusal::UnknownEndpoint => "unknown-endpoint",
            SendRefusal::Draining => "leaving",
            SendRefusal::RetryAfter => "told-to-wait",
        }
    }
}

/// The right to write one call, now. Only [`may_send`] makes one, and writing consumes it.
#[derive(Debug)]
pub struct SendPermit(());

/// Up to how long after an endpoint began to drain a first byte may be started, so that it is written within the grace. The
/// platform counts from a little earlier than this program, hence the fifth.
pub fn latest_start(drain_grace: Micros) -> Micros {
    drain_grace.saturating_sub(WRITE_DELAY_ALLOWANCE) * 4 / 5
}

/// Whether the first byte of a call may go out.
///
/// # Errors
///
/// The first reason against it.
pub fn may_send(facts: &SendFacts) -> Result<SendPermit, SendRefusal> {
    if facts.message_complete {
        return Err(SendRefusal::MessageComplete);
    }
    if facts.handed_over {
        return Err(SendRefusal::HandedOver);
    }
    if !facts.journal_writable {
        return Err(SendRefusal::JournalFailing);
    }
    if facts.now >= facts.abandon_at {
        return Err(SendRefusal::Abandoned);
    }
    if facts.now >= facts.send_by {
        return Err(SendRefusal::TooLate);
    }
    let Some(endpoint) = facts.endpoint else { return Err(SendRefusal::UnknownEndpoint) };
    let grace = latest_start(facts.drain_grace);
    if endpoint.draining_since.is_some_and(|since| facts.now >= since.saturating_add(grace)) {
        return Err(SendRefusal::Draining);
    }
    if endpoint.retry_after.is_some_and(|until| facts.now < until) {
        return Err(SendRefusal::RetryAfter);
    }
    Ok(SendPermit(()))
}
