//! What the program has taken in, sent and answered.

use crate::invariants::{Rejection, SendRefusal, Violation};
use crate::{AbandonReason, Outcome};
use serde_json::{Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Count,)*
            /// Why calls were not sent, messages not taken on or given up, and rules that were broken.
            by_reason: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
        }

        impl Counters {
            /// All of them, by name.
            pub fn report(&self) -> Value {
                let mut all = Map::new();
                $(all.insert(stringify!($name).into(), self.$name.0.get().into());)*
                for kind in [NOT_SENT, REJECTED, GIVEN_UP, VIOLATIONS] {
                    let of_kind = self.by_reason.borrow().iter().filter(|r| r.0 .0 == kind)
                        .map(|r| (r.0 .1.to_owned(), Value::from(*r.1))).collect();
                    all.insert(kind.into(), Value::Object(of_kind));
                }
                Value::Object(all)
            }
        }
    };
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
    /// Messages taken on.
    taken,
    /// Messages found in the journal at the start.
    restored,
    /// Messages taken over from the process that this one replaces.
    inherited,
    /// Unavailable answers: too much held, or refused at once.
    unavailable,
    /// Requests that could not be read or made no sense.
    bad_requests,
    /// Messages whose user agent went before its answer.
    withdrawn,
    /// Calls begun, whether of one message or of several.
    calls,
    /// Attempts written to an endpoint; a call of several messages holds as many.
    attempts,
    /// Attempts answered as delivered.
    ok,
    /// Attempts answered with an error.
    error,
    /// Attempts turned away.
    full,
    /// Attempts given up unanswered.
    timed_out,
    /// Attempts that got no connection.
    connect_failed,
    /// Attempts whose connection broke.
    reset,
    /// Attempts whose connection, used before, broke at once.
    stale,
    /// Attempts called off.
    cancelled,
    /// Attempts not sent after all.
    moot,
    /// Attempts not sent as the journal could not be written; they count as none.
    unsent,
    /// Messages delivered.
    delivered,
    /// Messages ended as failed.
    failed,
    /// Messages given back.
    returned,
    /// Notices that the platform has confirmed.
    notices,
    /// Connections opened to endpoints.
    opened,
    /// Calls on a connection used before.
    reused,
    /// Connections taken from user agents.
    accepted,
    /// Connections that could not be taken from the listener's queue just then.
    accept_failures,
    /// Versions of the list taken in from the watch.
    lists,
    /// Configurations read again and applied.
    reloads,
    /// Times at which the journal could not be written any more.
    journal_failures,
}

/// What is counted by reason, by its name in the report.
const NOT_SENT: &str = "not_sent";
const REJECTED: &str = "rejected";
const GIVEN_UP: &str = "given_up";
const VIOLATIONS: &str = "invariant_violations";

impl Counters {
    fn reason(&self, kind: &'static str, reason: &'static str) {
        // Reasons are names in the program: their number has a bound.
        *self.by_reason.borrow_mut().entry((kind, reason)).or_default() += 1;
    }

    /// Counts a call that was held back at its first byte.
    pub fn not_sent(&self, why: SendRefusal) {
        self.reason(NOT_SENT, why.name());
    }

    /// Counts a message that was not taken on.
    pub fn rejected(&self, why: Rejection) {
        self.reason(REJECTED, why.name());
    }

    /// Counts a message that was given up.
    pub fn given_up(&self, why: AbandonReason) {
        self.reason(GIVEN_UP, why.name());
    }

    /// Counts a rule that was broken.
    pub fn violation(&self, violation: Violation) {
        self.reason(VIOLATIONS, violation.name());
    }

    /// Counts the end of an attempt.
    pub fn outcome(&self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => &self.ok,
            Outcome::Error => &self.error,
            Outcome::Rejected(_) => &self.full,
            Outcome::TimedOut => &self.timed_out,
            Outcome::ConnectFailed => &self.connect_failed,
            Outcome::Reset => &self.reset,
            Outcome::StaleConnection => &self.stale,
            Outcome::Cancelled => &self.cancelled,
            Outcome::NotSent => &self.moot,
            Outcome::NotJournaled => &self.unsent,
        }
        .add();
    }
}
