//! Whether a connection to an endpoint that carries nothing may carry the next call.

use crate::Micros;

/// A connection is given up so long before the endpoint may close it: a request must not cross that.
const IDLE_MARGIN: Micros = 250_000;

/// What is known of an idle connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleFacts {
    /// Now.
    pub now: Micros,
    /// Up to when it may stay.
    pub until: Micros,
    /// It leads to where the list says that the endpoint listens.
    pub at_its_address: bool,
    /// Its other side has ended it, or has sent something unasked: why it is of no more use.
    pub disturbed: Option<&'static str>,
}

/// Why a connection to an endpoint is closed that carries nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has stood idle for too long.
    Idle,
    /// Its endpoint listens elsewhere now.
    Moved,
    /// What its other side did.
    Disturbed(&'static str),
}

impl CloseReason {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::Moved => "moved",
            CloseReason::Disturbed(what) => what,
        }
    }
}

/// Up to when a connection that became idle now may be kept, where its endpoint may close it after a span.
pub fn idle_until(now: Micros, span: Micros) -> Micros {
    now + span.saturating_sub(IDLE_MARGIN.min(span / 4))
}

/// Whether an idle connection may carry a call.
pub fn may_reuse(facts: &IdleFacts) -> Result<(), CloseReason> {
    if facts.now >= facts.until {
        return Err(CloseReason::Idle);
    }
    if !facts.at_its_address {
        return Err(CloseReason::Moved);
    }
    // What came unasked would be read as the answer to the next call.
    facts.disturbed.map_or(Ok(()), |what| Err(CloseReason::Disturbed(what)))
}
