//! The run-time check: a record of what was in fact done for each message, compared with the rules as it happens. It neither
//! asks the policy nor binds it; what breaks a rule is named, and the caller counts and logs it.

use crate::{DedupScope, Idempotency, MessageId, Micros, Outcome, ZoneId};
use std::collections::BTreeMap;

/// How messages of a class may be repeated.
#[derive(Clone, Copy, Debug)]
pub struct RepeatPolicy {
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Where repeats are dropped.
    pub dedup_scope: DedupScope,
    /// For how long they are dropped, from the first attempt that may have run.
    pub dedup_window: Micros,
    /// Attempts for one message.
    pub max_attempts: u32,
}

/// When and where an attempt started.
#[derive(Clone, Copy, Debug)]
pub struct TrackedAttempt {
    /// When its first byte was sent.
    pub started_at: Micros,
    /// Its endpoint's zone; not known of an attempt that another forwarder made.
    pub zone: Option<ZoneId>,
}

/// What is known of a message as tracking starts.
#[derive(Clone, Copy, Debug)]
pub struct TrackedMessage {
    /// How it may be repeated.
    pub repeats: RepeatPolicy,
    /// Attempts that were made for it before.
    pub attempts: u32,
    /// The first of them that may have run.
    pub first_attempt: Option<TrackedAttempt>,
    /// The number of the attempt in flight.
    pub in_flight: Option<u32>,
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt of a message that is not tracked.
    UnknownMessage,
    /// A second attempt while one is in flight.
    TwoAttemptsInFlight,
    /// An attempt after the message's completion.
    AttemptAfterCompletion,
    /// More attempts than allowed.
    TooManyAttempts,
    /// A repeat of what must not run twice.
    RepeatForbidden,
    /// A repeat in a zone where it is not dropped.
    RepeatInAnotherZone,
    /// A repeat when it is not dropped any more.
    RepeatAfterWindow,
    /// A second final answer.
    CompletedTwice,
    /// Returned to the client although it may have run, and may not run twice.
    ReturnedAlthoughItMayHaveRun,
    /// A first byte to a draining endpoint, past the grace.
    SentToDraining,
    /// A first byte before the time that a Retry-After asked for.
    SentWithinRetryAfter,
}

impl Violation {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Violation::UnknownMessage => "unknown_message",
            Violation::TwoAttemptsInFlight => "two_attempts_out",
            Violation::AttemptAfterCompletion => "attempt_after_end",
            Violation::TooManyAttempts => "too_many_attempts",
            Violation::RepeatForbidden => "repeat_forbidden",
            Violation::RepeatInAnotherZone => "repeat_elsewhere",
            Violation::RepeatAfterWindow => "repeat_too_late",
            Violation::CompletedTwice => "second_end",
            Violation::ReturnedAlthoughItMayHaveRun => "returned_though_it_may_have_run",
            Violation::SentToDraining => "sent_to_leaving",
            Violation::SentWithinRetryAfter => "sent_within_retry_after",
        }
    }
}

#[derive(Debug)]
struct LedgerEntry {
    message: TrackedMessage,
    /// The start of the attempt in flight.
    last_attempt: Option<TrackedAttempt>,
    completed: bool,
}

/// What was done for each message that is tracked.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<MessageId, LedgerEntry>,
}

impl Ledger {
    /// A message is tracked from now on.
    pub fn track(&mut self, id: MessageId, message: TrackedMessage) {
        self.entries.insert(id, LedgerEntry { message, last_attempt: None, completed: false });
    }

    /// The first byte of an attempt is about to be written; returns the rule that is broken by it.
    pub fn attempt_started(
        &mut self,
        id: MessageId,
        number: u32,
        now: Micros,
        zone: ZoneId,
    ) -> Option<Violation> {
        let Some(entry) = self.entries.get_mut(&id) else { return Some(Violation::UnknownMessage) };
        let violation = entry.check_attempt(now, zone);
        entry.message.attempts += 1;
        entry.message.in_flight = Some(number);
        entry.last_attempt = Some(TrackedAttempt { started_at: now, zone: Some(zone) });
        violation
    }

    /// An attempt has ended, or its connection was closed.
    pub fn attempt_ended(&mut self, id: MessageId, number: u32, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.message.in_flight != Some(number) {
            return;
        }
        entry.message.in_flight = None;
        let ended = entry.last_attempt.take();
        let never_ran = matches!(
            outcome,
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotJournaled
        );
        if !never_ran {
            entry.message.first_attempt = entry.message.first_attempt.or(ended);
        }
    }

    /// A message has got its final answer; if it is returned, the client may send it again. Returns the rule that is broken by it.
    pub fn completed(&mut self, id: MessageId, returned: bool) -> Option<Violation> {
        let entry = self.entries.get_mut(&id)?;
        if std::mem::replace(&mut entry.completed, true) {
            return Some(Violation::CompletedTwice);
        }
        let message = &entry.message;
        let may_have_run = message.first_attempt.is_some() || message.in_flight.is_some();
        let must_not_run_twice = match message.repeats.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::WithKey => message.repeats.dedup_scope != DedupScope::All,
            Idempotency::NonIdempotent => true,
        };
        let is_violated = returned && may_have_run && must_not_run_twice;
        is_violated.then_some(Violation::ReturnedAlthoughItMayHaveRun)
    }

    /// Nothing more can happen to a message.
    pub fn forget(&mut self, id: MessageId) {
        self.entries.remove(&id);
    }

    /// How many messages are tracked: those that the program holds, and no more.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// No message is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl LedgerEntry {
    fn check_attempt(&self, now: Micros, zone: ZoneId) -> Option<Violation> {
        if self.completed {
            return Some(Violation::AttemptAfterCompletion);
        }
        if self.message.in_flight.is_some() {
            return Some(Violation::TwoAttemptsInFlight);
        }
        if self.message.attempts >= self.message.repeats.max_attempts {
            return Some(Violation::TooManyAttempts);
        }
        let first_attempt = self.message.first_attempt?;
        match self.message.repeats.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some(Violation::RepeatForbidden),
            Idempotency::WithKey => self.check_keyed_repeat(&first_attempt, now, zone),
        }
    }

    fn check_keyed_repeat(&self, first: &TrackedAttempt, now: Micros, zone: ZoneId) -> Option<Violation> {
        let repeats = &self.message.repeats;
        if now >= first.started_at.saturating_add(repeats.dedup_window) {
            return Some(Violation::RepeatAfterWindow);
        }
        let is_another_zone = first.zone.is_some_and(|first_zone| first_zone != zone);
        if repeats.dedup_scope == DedupScope::Zone && is_another_zone {
            return Some(Violation::RepeatInAnotherZone);
        }
        None
    }
}
