//! Whether an idle connection to an endpoint may carry the next call.

use crate::Micros;

/// An idle connection is closed so long before the endpoint may close it: a request must not cross that.
const IDLE_MARGIN: Micros = 250_000;

/// What is known of an idle connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleFacts {
    /// Now.
    pub now: Micros,
    /// Up to when it may be reused: see [`reusable_until`].
    pub reusable_until: Micros,
    /// It leads to the address that the endpoint list has for the endpoint.
    pub address_is_current: bool,
    /// Why the connection is of no more use: its other side has closed it, or has sent something unasked.
    pub peer_activity: Option<&'static str>,
}

/// Why an idle connection to an endpoint is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle for too long.
    IdleTimeout,
    /// Its endpoint has another address now.
    EndpointMoved,
    /// What its other side did.
    PeerActivity(&'static str),
}

impl CloseReason {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::IdleTimeout => "idle",
            CloseReason::EndpointMoved => "moved",
            CloseReason::PeerActivity(peer_activity) => peer_activity,
        }
    }
}

/// Up to when a connection that became idle now may be reused, where its endpoint closes it after `idle_timeout`.
pub fn reusable_until(now: Micros, idle_timeout: Micros) -> Micros {
    now + idle_timeout.saturating_sub(IDLE_MARGIN.min(idle_timeout / 4))
}

/// Whether an idle connection may carry a call.
///
/// # Errors
///
/// The first reason to close it instead.
pub fn may_reuse(facts: &IdleFacts) -> Result<(), CloseReason> {
    if facts.now >= facts.reusable_until {
        return Err(CloseReason::IdleTimeout);
    }
    if !facts.address_is_current {
        return Err(CloseReason::EndpointMoved);
    }
    // What was sent unasked would be read as the answer to the next call.
    facts.peer_activity.map_or(Ok(()), |peer_activity| Err(CloseReason::PeerActivity(peer_activity)))
}
