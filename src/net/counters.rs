//! Counts since the start of the process, as `/_counters` reports them.

use crate::invariants::{Rejection, SendRefusal, Violation};
use crate::{AbandonReason, Outcome};
use serde_json::{Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Declares the counters, each with its key in the report.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $key:literal),* $(,)?) => {
        /// Counts since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* #[doc = concat!("\n\nReported as `", $key, "`.")] pub $name: Count,)*
            by_reason: RefCell<BTreeMap<ReasonKey, u64>>,
        }

        impl Counters {
            /// All of them, by key.
            pub fn report(&self) -> Value {
                let mut report = Map::new();
                $(report.insert($key.into(), self.$name.0.get().into());)*
                for group in [NOT_SENT, REJECTED, ABANDONED, VIOLATIONS] {
                    report.insert(group.into(), self.report_of(group));
                }
                Value::Object(report)
            }
        }
    };
}

/// Why something was not done, with the report's key of what that was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReasonKey {
    group: &'static str,
    reason: &'static str,
}

/// One count.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.more(1);
    }

    /// So many more.
    pub fn more(&self, by: usize) {
        self.0.set(self.0.get() + by as u64);
    }
}

counters! {
    /// Messages accepted.
    messages_accepted = "taken",
    /// Messages found in the journal at the start.
    restored = "restored",
    /// Open messages that the predecessor handed over.
    inherited = "inherited",
    /// Responses 503: messages rejected, or returned by the delivery policy at once.
    unavailable = "unavailable",
    /// Requests that could not be read or made no sense.
    bad_requests = "bad_requests",
    /// Messages whose client was gone before the response.
    withdrawn = "withdrawn",
    /// Calls begun, of one attempt or of several.
    calls = "calls",
    /// Attempts written to an endpoint.
    attempts = "attempts",
    /// Attempts with the outcome that the message is delivered.
    attempts_ok = "ok",
    /// Attempts with an error as the response.
    attempts_error = "error",
    /// Attempts that the endpoint rejected.
    attempts_rejected = "full",
    /// Attempts abandoned without a response.
    attempts_timed_out = "timed_out",
    /// Attempts without a connection.
    attempts_connect_failed = "connect_failed",
    /// Attempts whose connection failed.
    attempts_reset = "reset",
    /// Attempts whose reused connection was dead before.
    attempts_stale = "stale",
    /// Attempts cancelled.
    attempts_cancelled = "cancelled",
    /// Attempts that were not sent after all, or that the endpoint did not run.
    attempts_not_sent = "moot",
    /// Attempts not sent as the journal could not be written; the policy does not count them as attempts.
    attempts_not_journaled = "unsent",
    /// Messages delivered.
    delivered = "delivered",
    /// Messages ended as failed.
    failed = "failed",
    /// Messages returned to their clients by a delivery report.
    returned = "returned",
    /// Delivery reports that the platform has confirmed.
    notices = "notices",
    /// Connections opened to endpoints.
    connections_opened = "opened",
    /// Calls on a reused connection.
    connections_reused = "reused",
    /// Connections accepted from clients.
    accepted = "accepted",
    /// Connections that could not be accepted from the listener's queue just then.
    accept_failures = "accept_failures",
    /// Versions of the endpoint list received by the watch.
    lists = "lists",
    /// Configurations reloaded.
    reloads = "reloads",
    /// Times at which the journal became unwritable.
    journal_failures = "journal_failures",
}

/// Calls refused at their first byte; the report's key.
const NOT_SENT: &str = "not_sent";
/// Messages rejected; the report's key.
const REJECTED: &str = "rejected";
/// Messages abandoned by the delivery policy; the report's key.
const ABANDONED: &str = "given_up";
/// Rules that were broken; the report's key.
const VIOLATIONS: &str = "invariant_violations";

impl Counters {
    fn count(&self, group: &'static str, reason: &'static str) {
        // Reasons are names in the program: their number has a bound.
        *self.by_reason.borrow_mut().entry(ReasonKey { group, reason }).or_default() += 1;
    }

    /// The counts of one group, by reason.
    fn report_of(&self, group: &str) -> Value {
        let by_reason = self.by_reason.borrow();
        let of_group = by_reason.iter().filter(|(key, _)| key.group == group);
        Value::Object(of_group.map(|(key, count)| (key.reason.to_owned(), Value::from(*count))).collect())
    }

    /// Counts a call that was refused at its first byte.
    pub fn not_sent(&self, refusal: SendRefusal) {
        self.count(NOT_SENT, refusal.name());
    }

    /// Counts a message that was rejected.
    pub fn rejected(&self, rejection: Rejection) {
        self.count(REJECTED, rejection.name());
    }

    /// Counts a message that the delivery policy abandoned.
    pub fn abandoned(&self, reason: AbandonReason) {
        self.count(ABANDONED, reason.name());
    }

    /// Counts a rule that was broken.
    pub fn violation(&self, violation: Violation) {
        self.count(VIOLATIONS, violation.name());
    }

    /// Counts a completed attempt.
    pub fn attempt_completed(&self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => &self.attempts_ok,
            Outcome::Error => &self.attempts_error,
            Outcome::Rejected(_) => &self.attempts_rejected,
            Outcome::TimedOut => &self.attempts_timed_out,
            Outcome::ConnectFailed => &self.attempts_connect_failed,
            Outcome::Reset => &self.attempts_reset,
            Outcome::StaleConnection => &self.attempts_stale,
            Outcome::Cancelled => &self.attempts_cancelled,
            Outcome::NotSent => &self.attempts_not_sent,
            Outcome::NotJournaled => &self.attempts_not_journaled,
        }
        .add();
    }
}
