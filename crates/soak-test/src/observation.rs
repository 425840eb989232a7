//! What can be observed of messages from outside, and the violations that the checker finds.

use std::fmt;
use std::time::Duration;

/// Whether a message of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Within the window after the first attempt, as endpoints deduplicate by key for that long. If `by_zone`, they do so
    /// only within the zone of the first attempt.
    WithKey { window: Duration, by_zone: bool },
    /// Never.
    NonIdempotent,
}

/// How an attempt ended, as the endpoint observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The endpoint answered with 200.
    Delivered,
    /// The endpoint answered that the message is over, without running it.
    Over,
    /// The endpoint rejected the attempt without running it.
    Rejected,
    /// The attempt failed or was cut off, and may have run.
    MayHaveRun,
}

impl AttemptOutcome {
    /// Whether the endpoint's answer ends the message.
    pub fn ends_message(self) -> bool {
        matches!(self, AttemptOutcome::Delivered | AttemptOutcome::Over)
    }

    /// Whether the endpoint's answer says that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Over)
    }
}

/// The state of a message in its delivery report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    /// The forwarder has given up the message.
    Failed,
    /// The forwarder gives the message back to its sender.
    Returned,
}

/// An invariant that does not hold, with the evidence.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Time since the start of the run.
    pub at: Duration,
    /// The name of the invariant.
    pub rule: &'static str,
    /// What was observed. A description that begins with a message's id and a colon gets the history of that message.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.description)
    }
}
