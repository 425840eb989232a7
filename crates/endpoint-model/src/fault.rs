//! What goes wrong at a destination.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It works so many times slower.
    Slow(f64),
    /// It accepts calls and answers none.
    Hang,
    /// It refuses connections.
    RefuseConnections,
    /// This share of its calls fails at once.
    FailCalls(f64),
    /// It rejects all calls.
    RejectAll,
    /// Nothing comes back, not even for a connection.
    Silent,
    /// It does the work and then resets the connection in place of an answer.
    ResetConnections,
    /// Connections from before the fault lead nowhere; new ones work.
    HalfOpenConnections,
    /// It accepts this share of its limit, and says so where it reports its limit.
    ReducedLimit(f64),
}

/// How a call ends that was in flight as a fault began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InFlightEffect {
    /// Its connection is reset at once.
    Reset,
    /// Its answer never comes.
    Silent,
}

impl Fault {
    /// Whether the destination warms up after it.
    pub fn is_outage(self) -> bool {
        !matches!(
            self,
            Fault::Slow(_) | Fault::ResetConnections | Fault::HalfOpenConnections | Fault::ReducedLimit(_)
        )
    }

    /// The share of its limit that the destination accepts, if the fault reduces it.
    pub fn limit_share(self) -> Option<f64> {
        match self {
            Fault::ReducedLimit(share) => Some(share),
            _ => None,
        }
    }

    /// How many times slower the destination works.
    pub fn slowdown(self) -> f64 {
        match self {
            Fault::Slow(factor) => factor,
            _ => 1.0,
        }
    }

    /// What becomes of calls in flight as the fault begins; `None` if they go on.
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

    /// Of several faults at once, the one with the highest rank shows; slowness and a reduced limit add to any.
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
