//! Seeded models of destinations: their service time, limit, queue and faults. They do no I/O and take time as an argument, so
//! that they are the same in virtual and in real time. They know nothing of forwarders.
//!
//! A call's fate is settled when it arrives: by the fault at that moment, by what the limit and the queue leave, by how long the
//! work takes. A fault that begins later does not reach back to it.

mod fault;
mod model;
mod profile;

pub use fault::{Fault, InFlightEffect};
pub use model::{Answer, CallResult, DestinationModel, LimitReport, TimedAnswer};
pub use profile::DestinationProfile;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

const SECOND: Micros = 1_000_000;
