//! Counters of events since the start of the process, as `/_counters` reports them.

use crate::invariants::{Rejection, SendRefusal, Violation};
use crate::net::connection_registry::{Eviction, EvictionPriority};
use crate::net::stray_response::StrayPlace;
use crate::{AbandonReason, Outcome};
use serde_json::{Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Declares the counters, each with its key in the JSON report.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $key:literal),* $(,)?) => {
        /// The counters of a process. They start at 0 and never decrease.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* #[doc = concat!("\n\nReported as `", $key, "`.")] pub $name: Counter,)*
            by_reason: RefCell<BTreeMap<ReasonKey, u64>>,
        }

        impl Counters {
            /// The JSON report of all counters, by key.
            pub fn report(&self) -> Value {
                let mut report = Map::new();
                $(report.insert($key.into(), self.$name.0.get().into());)*
                for group in [NOT_SENT, REJECTED, ABANDONED, EVICTED, VIOLATIONS, STRAY_RESPONSES] {
                    report.insert(group.into(), self.report_of(group));
                }
                Value::Object(report)
            }
        }
    };
}

/// The key of a counter that exists for each reason: the key of its group in the report, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReasonKey {
    group: &'static str,
    reason: &'static str,
}

/// Counts events of one kind.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one event.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Counts `number` events.
    pub fn add(&self, number: usize) {
        self.0.set(self.0.get() + number as u64);
    }
}

counters! {
    /// Messages that were accepted from clients.
    messages_accepted = "taken",
    /// Messages restored from the journal at the start.
    restored = "restored",
    /// Open messages that the predecessor handed over.
    inherited = "inherited",
    /// Responses with status 503: messages that were rejected, or returned by the delivery policy before the reply.
    unavailable = "unavailable",
    /// Requests that were malformed or invalid.
    bad_requests = "bad_requests",
    /// Messages withdrawn since their client disconnected before the response.
    withdrawn = "withdrawn",
    /// Calls written to an endpoint, each with one attempt or several.
    calls = "calls",
    /// Attempts written to an endpoint.
    attempts = "attempts",
    /// Attempts that delivered their message.
    attempts_ok = "ok",
    /// Attempts to which the endpoint responded with an error.
    attempts_error = "error",
    /// Attempts that the endpoint rejected.
    attempts_rejected = "full",
    /// Attempts that timed out without a response.
    attempts_timed_out = "timed_out",
    /// Attempts for which no connection could be established.
    attempts_connect_failed = "connect_failed",
    /// Attempts whose connection failed after the request was written.
    attempts_reset = "reset",
    /// Attempts whose reused connection the endpoint had closed before the request was written.
    attempts_stale = "stale",
    /// Attempts that were cancelled.
    attempts_cancelled = "cancelled",
    /// Attempts that the check before the first byte refused, or that the endpoint did not run.
    attempts_not_sent = "moot",
    /// Attempts that were not sent since they could not be journaled. The policy does not count them as attempts.
    attempts_not_journaled = "unsent",
    /// Messages that an endpoint has processed.
    delivered = "delivered",
    /// Messages that ended without a delivery and may have taken effect.
    failed = "failed",
    /// Messages returned to their clients by a delivery report.
    returned = "returned",
    /// Messages that have ended by a response that may be a copy of an earlier one. They also count as delivered if it says so.
    unconfirmed_ends = "unconfirmed_ends",
    /// Of these, messages whose ends were reported to the platform, as no later response has confirmed them.
    unconfirmed_reports = "unconfirmed_reports",
    /// Delivery reports that the platform has confirmed.
    reports_confirmed = "notices",
    /// Connections opened to endpoints.
    connections_opened = "opened",
    /// Calls on a reused connection.
    connections_reused = "reused",
    /// Connections to endpoints that were given up since a stray response arrived on them.
    connections_given_up = "connections_given_up",
    /// Connections accepted from clients.
    connections_accepted = "accepted",
    /// Failed attempts to accept a connection from the listener's queue.
    accept_failures = "accept_failures",
    /// Versions of the endpoint list received from the watch.
    list_versions_received = "lists",
    /// Reloads of the configuration.
    reloads = "reloads",
    /// Times at which the journal stopped being writable.
    journal_failures = "journal_failures",
}

/// The report's key for attempts that the check before the first byte refused.
const NOT_SENT: &str = "not_sent";
/// The report's key for rejected messages.
const REJECTED: &str = "rejected";
/// The report's key for messages abandoned by the delivery policy.
const ABANDONED: &str = "given_up";
/// The report's key for clients' connections that were evicted, by their state.
const EVICTED: &str = "evicted";
/// The report's key for violations of invariants.
const VIOLATIONS: &str = "invariant_violations";
/// The report's key for responses that belong to no call in flight.
const STRAY_RESPONSES: &str = "stray_responses";

impl Counters {
    fn count(&self, group: &'static str, reason: &'static str) {
        // Reasons are string constants of the program, so the map cannot grow without bound.
        *self.by_reason.borrow_mut().entry(ReasonKey { group, reason }).or_default() += 1;
    }

    /// The report of one group, by reason.
    fn report_of(&self, group: &str) -> Value {
        let by_reason = self.by_reason.borrow();
        let of_group = by_reason.iter().filter(|(key, _)| key.group == group);
        Value::Object(of_group.map(|(key, count)| (key.reason.to_owned(), Value::from(*count))).collect())
    }

    /// Counts an attempt that the check before the first byte refused.
    pub fn count_not_sent(&self, refusal: SendRefusal) {
        self.count(NOT_SENT, refusal.name());
    }

    /// Counts a rejected message.
    pub fn count_rejection(&self, rejection: Rejection) {
        self.count(REJECTED, rejection.name());
    }

    /// Counts a message that the delivery policy abandoned.
    pub fn count_abandonment(&self, reason: AbandonReason) {
        self.count(ABANDONED, reason.name());
    }

    /// Counts a client's connection that was evicted in this state.
    pub fn count_eviction(&self, priority: EvictionPriority, eviction: Eviction) {
        match eviction {
            Eviction::ConnectionLimit => self.count(EVICTED, priority.name()),
            Eviction::MemoryLimit => self.count(EVICTED, "memory"),
        }
    }

    /// Counts a request that was rejected as there was no memory for its response.
    pub fn count_shed_response(&self) {
        self.count(REJECTED, "memory-full-response");
    }

    /// Counts a stray response.
    pub fn count_stray_response(&self, place: StrayPlace) {
        self.count(STRAY_RESPONSES, place.name());
    }

    /// Counts a violation of an invariant.
    pub fn count_violation(&self, violation: Violation) {
        self.count(VIOLATIONS, violation.name());
    }

    /// Counts a completed attempt by its outcome.
    pub fn count_attempt(&self, outcome: Outcome) {
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
        .increment();
    }
}
