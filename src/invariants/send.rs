//! The check whether the first byte of a call may be written now. It is made once the connection is established, because
//! connecting takes time and the facts may have changed since the policy decided on the call.

use crate::Micros;

/// The longest time between reading the clock and writing the first byte that the platform allows for, because a process
/// may be stalled in between. The grace of a draining endpoint includes this time.
pub const WRITE_DELAY_ALLOWANCE: Micros = 150_000;

/// The facts about the endpoint that is about to be called.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointFacts {
    /// The time at which this program learned that the endpoint is draining; `None` if it is not.
    pub draining_since: Option<Micros>,
    /// The time before which nothing may be sent there, as a Retry-After asked for; `None` if there is none.
    pub retry_after_until: Option<Micros>,
}

/// The facts on which sending a call depends.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The current time, in microseconds.
    pub now: Micros,
    /// Whether a message of the call is complete.
    pub message_complete: bool,
    /// Whether another process makes the decisions now, or may do so.
    pub handed_over: bool,
    /// Whether the journal can record messages and attempts.
    pub journal_writable: bool,
    /// The earliest time at which one of its attempts times out.
    pub times_out_at: Micros,
    /// The time before which its first byte must be written. After that, a message might run twice, or too late.
    pub send_by: Micros,
    /// How long work may be sent to a draining endpoint.
    pub drain_grace: Micros,
    /// Its endpoint; `None` if the endpoint list no longer contains it.
    pub endpoint: Option<EndpointFacts>,
}

/// Why a call may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendRefusal {
    /// One of its messages is complete.
    MessageComplete,
    /// Another process makes the decisions now, or may do so.
    HandedOver,
    /// The journal cannot record its attempts.
    JournalFailing,
    /// One of its attempts has timed out.
    TimedOut,
    /// The latest time for its first byte has passed.
    TooLate,
    /// The endpoint list no longer contains its endpoint.
    UnknownEndpoint,
    /// Its endpoint is draining, and the grace has passed.
    Draining,
    /// Its endpoint or destination asked by a Retry-After to wait longer.
    RetryAfter,
}

impl SendRefusal {
    /// The name of the reason in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            SendRefusal::MessageComplete => "over",
            SendRefusal::HandedOver => "handed-over",
            SendRefusal::JournalFailing => "journal",
            SendRefusal::TimedOut => "cut",
            SendRefusal::TooLate => "too-late",
            SendRefusal::UnknownEndpoint => "unknown-endpoint",
            SendRefusal::Draining => "leaving",
            SendRefusal::RetryAfter => "told-to-wait",
        }
    }
}

/// A permit to write one call now. Only [`may_send`] creates one, and writing the call consumes it.
#[derive(Debug)]
pub struct SendPermit(());

/// How long a call may still be started after this program learned that its endpoint is draining, so that the first byte
/// is written within the grace. A fifth is subtracted, because the platform counts from slightly earlier.
pub fn latest_start(drain_grace: Micros) -> Micros {
    drain_grace.saturating_sub(WRITE_DELAY_ALLOWANCE) * 4 / 5
}

/// Checks whether the first byte of a call may be written.
///
/// # Errors
///
/// The first reason not to send it, in the order of the checks.
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
    if facts.now >= facts.times_out_at {
        return Err(SendRefusal::TimedOut);
    }
    if facts.now >= facts.send_by {
        return Err(SendRefusal::TooLate);
    }
    let Some(endpoint) = facts.endpoint else { return Err(SendRefusal::UnknownEndpoint) };
    let grace = latest_start(facts.drain_grace);
    if endpoint.draining_since.is_some_and(|since| facts.now >= since.saturating_add(grace)) {
        return Err(SendRefusal::Draining);
    }
    if endpoint.retry_after_until.is_some_and(|until| facts.now < until) {
        return Err(SendRefusal::RetryAfter);
    }
    Ok(SendPermit(()))
}
