//! What can be observed of messages from outside, and the violation that an observation shows.

use std::fmt;
use std::time::Duration;

/// Whether a message of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// At will.
    Idempotent,
    /// Endpoints deduplicate by key for a while, perhaps only in the zone of the first attempt.
    WithKey { window: Duration, by_zone: bool },
    /// Never.
    NonIdempotent,
}

/// How an attempt ended, as its endpoint observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Answered with 200.
    Delivered,
    /// Rejected: it never ran.
    Rejected,
    /// It may have run.
    MayHaveRun,
}

/// How a message ended by its delivery report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    Failed,
    Returned,
}

/// An invariant that does not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    pub at: Duration,
    pub rule: &'static str,
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.description)
    }
}
