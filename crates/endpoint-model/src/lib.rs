//! Seeded models of destinations: their service time, rate limit, queue and faults. They do no I/O and take the time as an
//! argument, so that they work the same in virtual and in real time. They do not depend on forwarders.
//!
//! The result of a call is decided when it arrives, by the faults at that moment, by the rate limit, by the queue, and by
//! the time that its work takes. A fault that begins later does not change it.

mod fault;
mod model;
mod profile;

pub use fault::{Fault, InFlightEffect};
pub use model::{Answer, CallResult, DestinationModel, LimitReport, TimedAnswer};
pub use profile::DestinationProfile;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

const SECOND: Micros = 1_000_000;
