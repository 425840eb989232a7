//! Faults of destinations.

/// A fault of a destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The work of each call takes this many times as long.
    Slow(f64),
    /// The destination accepts calls and never answers.
    Hang,
    /// The destination refuses new connections and resets those with calls in flight.
    RefuseConnections,
    /// This share of the calls fails immediately.
    FailCalls(f64),
    /// The destination rejects all calls, without a `retry_after`.
    RejectAll,
    /// The destination answers nothing, not even connection attempts.
    Silent,
    /// The destination does the work of a call and then resets the connection instead of answering.
    ResetConnections,
    /// Calls on connections from before the fault get no answer; new connections work.
    HalfOpenConnections,
    /// The destination accepts only this share of its rate limit, and reports the reduced limit.
    ReducedLimit(f64),
}

/// How a fault ends a call that is in flight when the fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InFlightEffect {
    /// The connection of the call is reset immediately.
    Reset,
    /// The call never gets an answer.
    Silent,
}

impl Fault {
    /// Whether the destination warms up after the fault, so that its capacity rises only gradually.
    pub fn is_outage(self) -> bool {
        !matches!(
            self,
            Fault::Slow(_) | Fault::ResetConnections | Fault::HalfOpenConnections | Fault::ReducedLimit(_)
        )
    }

    /// The share of its rate limit that the destination accepts; `None` if the fault does not reduce the limit.
    pub fn limit_share(self) -> Option<f64> {
        match self {
            Fault::ReducedLimit(share) => Some(share),
            _ => None,
        }
    }

    /// The factor by which the work of each call takes longer: 1 for all faults but [`Fault::Slow`].
    pub fn slowdown(self) -> f64 {
        match self {
            Fault::Slow(factor) => factor,
            _ => 1.0,
        }
    }

    /// How calls end that are in flight when the fault begins; `None` if they go on.
    pub fn effect_on_calls_in_flight(self) -> Option<InFlightEffect> {
        match self {
            Fault::RefuseConnections => Some(InFlightEffect::Reset),
            Fault::Hang | Fault::Silent | Fault::HalfOpenConnections => Some(InFlightEffect::Silent),
            Fault::Slow(_)
            | Fault::FailCalls(_)
            | Fault::RejectAll
            | Fault::ResetConnections
            | Fault::ReducedLimit(_) => None,
        }
    }

    /// Precedence among several faults at once: the one with the highest rank decides how calls are answered. Slowness and
    /// a reduced limit take effect in addition to any other fault.
    pub(crate) fn rank(self) -> u8 {
        match self {
            Fault::Silent => 7,
            Fault::RefuseConnections => 6,
            Fault::Hang => 5,
            Fault::RejectAll => 4,
            Fault::ResetConnections => 3,
            Fault::FailCalls(_) => 2,
            Fault::HalfOpenConnections => 1,
            Fault::Slow(_) | Fault::ReducedLimit(_) => 0,
        }
    }
}
