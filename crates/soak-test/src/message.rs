//! What was observed of one message, and the rules for a further attempt that depend on it alone.

use crate::checker::{IN_FLIGHT_SLACK, SOCKET_SLACK, WRITE_DELAY};
use crate::observation::{AttemptOutcome, Idempotency, Report};
use std::time::{Duration, Instant};

/// An attempt as its endpoint observed it.
pub struct Attempt {
    /// When the endpoint had received all of it.
    pub started_at: Instant,
    pub endpoint: usize,
    pub zone: usize,
    pub ended: Option<(Instant, AttemptOutcome)>,
}

/// A message and all that was observed of it.
pub struct Message {
    pub forwarder: usize,
    pub destination: usize,
    pub idempotency: Idempotency,
    /// The time from its submission to its deadline, as the client stated it.
    pub time_limit: Duration,
    pub deadline: Instant,
    pub accepted_at: Option<Instant>,
    /// A process that was not killed has closed the client's connection without a response.
    pub closed_unanswered: bool,
    pub attempts: Vec<Attempt>,
    /// When an endpoint answered that the message was delivered, or is over.
    pub ended_at: Option<Instant>,
    /// When the forwarder had certainly read such an answer, with its journal writable.
    pub end_read_at: Option<Instant>,
    pub report: Option<(Instant, Report)>,
}

/// A violated rule, and its description.
pub type BrokenRule = (&'static str, String);

impl Message {
    /// Checks that the message had no end before an attempt whose first byte came at `first_byte`.
    pub fn check_ends(&self, id: &str, now: Instant, first_byte: Instant) -> Vec<BrokenRule> {
        let reported = self.report.filter(|(at, _)| now > *at + IN_FLIGHT_SLACK).map(|(at, report)| {
            ("after-end", format!("{id}: called {:?} after its report as {report:?}", now - at))
        });
        let ended = self.end_read_at.filter(|read_at| first_byte > *read_at).map(|read_at| {
            let after = first_byte - read_at;
            ("after-end", format!("{id}: called {after:?} after a response that ended it was read"))
        });
        reported.into_iter().chain(ended).collect()
    }

    /// Checks that the message may run once more in this zone, if it may have run before.
    pub fn check_repeat(&self, id: &str, first_byte: Instant, zone: usize) -> Vec<BrokenRule> {
        let may_have_run =
            |attempt: &&Attempt| !attempt.ended.is_some_and(|(_, outcome)| outcome.never_ran());
        let Some(first_attempt) = self.attempts.iter().find(may_have_run) else { return Vec::new() };
        let mut violations = Vec::new();
        match self.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                violations.push(("repeats", format!("{id}: attempted again though it must not run twice")));
            }
            Idempotency::WithKey { window, by_zone } => {
                if first_byte > first_attempt.started_at + window + WRITE_DELAY + SOCKET_SLACK {
                    let after = first_byte - first_attempt.started_at;
                    violations
                        .push(("repeats", format!("{id}: repeated after {after:?}, window {window:?}")));
                }
                if by_zone && first_attempt.zone != zone {
                    violations.push(("repeats", format!("{id}: attempted again in another zone")));
                }
            }
        }
        violations
    }
}
