//! The check whether an idle connection to an endpoint may carry the next call.

use crate::Micros;

/// An idle connection is closed this long before its endpoint may close it, so that no request crosses the endpoint's close.
const IDLE_MARGIN: Micros = 250_000;

/// The facts on which the reuse of an idle connection depends.
#[derive(Clone, Copy, Debug)]
pub struct IdleFacts {
    /// The current time, in microseconds.
    pub now: Micros,
    /// The time at which it stops being reusable: see [`reusable_until`].
    pub reusable_until: Micros,
    /// Whether it leads to the address that the endpoint list has for the endpoint.
    pub address_is_current: bool,
    /// What the endpoint did on the idle connection, as it is named in logs: it closed the connection, or sent bytes
    /// without a request. `None` if it did nothing.
    pub peer_activity: Option<&'static str>,
}

/// Why an idle connection to an endpoint is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has been idle for too long.
    IdleTimeout,
    /// Its endpoint has another address now.
    EndpointMoved,
    /// The endpoint closed it or sent bytes without a request: see [`IdleFacts::peer_activity`].
    PeerActivity(&'static str),
}

impl CloseReason {
    /// The name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::IdleTimeout => "idle",
            CloseReason::EndpointMoved => "moved",
            CloseReason::PeerActivity(peer_activity) => peer_activity,
        }
    }
}

/// The time until which a connection that becomes idle `now` may be reused, if its endpoint closes it after
/// `idle_timeout`. The margin before that is 250 ms, but at most a quarter of the timeout.
pub fn reusable_until(now: Micros, idle_timeout: Micros) -> Micros {
    now + idle_timeout.saturating_sub(IDLE_MARGIN.min(idle_timeout / 4))
}

/// Checks whether an idle connection may carry a call.
///
/// # Errors
///
/// The first reason to close it, in the order of the checks.
pub fn may_reuse(facts: &IdleFacts) -> Result<(), CloseReason> {
    if facts.now >= facts.reusable_until {
        return Err(CloseReason::IdleTimeout);
    }
    if !facts.address_is_current {
        return Err(CloseReason::EndpointMoved);
    }
    // Bytes that the endpoint sent without a request would be read as the response to the next call.
    facts.peer_activity.map_or(Ok(()), |peer_activity| Err(CloseReason::PeerActivity(peer_activity)))
}
