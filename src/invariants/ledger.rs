//! The run-time check of the rules of delivery, which [`crate::policy`] lists: a ledger of what was actually done for
//! each message. Each event is compared with the rules as it is recorded, independently of the policy and without
//! influence on it. The caller counts and logs violations.

use crate::{DedupScope, Idempotency, MessageId, Micros, Outcome, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// The rules for repeating messages of a class.
#[derive(Clone, Copy, Debug)]
pub struct RepeatPolicy {
    /// Whether a message may run more than once.
    pub idempotency: Idempotency,
    /// Which endpoints drop repeats: all of the destination, or those in the zone of the first attempt that may have
    /// run.
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped, from the start of the first attempt that may have run.
    pub dedup_window: Micros,
    /// The number of attempts allowed for one message.
    pub max_attempts: u32,
}

/// When and where an attempt started.
#[derive(Clone, Copy, Debug)]
pub struct TrackedAttempt {
    /// The time at which its first byte was written.
    pub started_at: Micros,
    /// The zone of its endpoint; `None` if it is not known, as for an attempt of another forwarder.
    pub zone: Option<ZoneId>,
}

/// A message and the attempts made for it so far.
#[derive(Clone, Copy, Debug)]
pub struct TrackedMessage {
    /// The rules for repeating it.
    pub repeat_policy: RepeatPolicy,
    /// The number of attempts that were made for it.
    pub attempts: u32,
    /// The first attempt of this forwarder that may have run, other than the one in flight; `None` if there is none.
    pub first_possible_effect: Option<TrackedAttempt>,
    /// The earliest start of an attempt at an unknown endpoint that may have run; `None` if there is none.
    pub unknown_attempt_at: Option<Micros>,
    /// The number of the attempt in flight; `None` if none is.
    pub in_flight: Option<u32>,
}

/// A violated rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt was started for a message that is not tracked.
    UnknownMessage,
    /// A second attempt was started while one was in flight.
    TwoAttemptsInFlight,
    /// An attempt was started after the message was completed, or after a response said that it has ended.
    AttemptAfterCompletion,
    /// More attempts were started than allowed.
    TooManyAttempts,
    /// A message that must not run twice was repeated.
    RepeatForbidden,
    /// A message was repeated in a zone in which the repeat is not dropped.
    RepeatInAnotherZone,
    /// A message was repeated at a time at which the repeat is no longer dropped.
    RepeatAfterWindow,
    /// A message was completed twice.
    CompletedTwice,
    /// A message was returned to its client although it may have run and must not run twice.
    ReturnedAlthoughItMayHaveRun,
    /// The first byte of a call was written to an endpoint that had been draining for longer than the drain grace of
    /// the settings.
    SentToDraining,
    /// The first byte of a call was written before the time that a Retry-After had asked for.
    SentWithinRetryAfter,
}

impl Violation {
    /// The name of the violation in logs and counters.
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
    /// The start of the attempt in flight; `None` if none is, or if it started before the message was tracked.
    attempt_in_flight: Option<TrackedAttempt>,
    /// The attempts to which a response said that the message has ended.
    ends_read: BTreeSet<u32>,
    completed: bool,
}

/// A record of the attempts and the completion of each tracked message.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<MessageId, LedgerEntry>,
}

impl Ledger {
    /// Starts to track a message. `message` holds the attempts made before.
    pub fn track(&mut self, id: MessageId, message: TrackedMessage) {
        self.entries.insert(
            id,
            LedgerEntry { message, attempt_in_flight: None, ends_read: BTreeSet::new(), completed: false },
        );
    }

    /// Records an attempt whose first byte is about to be written. Returns the rule that it violates, if any.
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
        entry.attempt_in_flight = Some(TrackedAttempt { started_at: now, zone: Some(zone) });
        violation
    }

    /// Records that a response to an attempt says that the message has ended, certainly or probably.
    pub fn end_read(&mut self, id: MessageId, number: u32) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.ends_read.insert(number);
        }
    }

    /// Records that an attempt has not ended its message, as a further response has proven.
    pub fn end_refuted(&mut self, id: MessageId, number: u32) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.ends_read.remove(&number);
        }
    }

    /// Records the outcome of an attempt. Has no effect unless the attempt is the one in flight.
    pub fn attempt_ended(&mut self, id: MessageId, number: u32, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.message.in_flight != Some(number) {
            return;
        }
        entry.message.in_flight = None;
        let ended = entry.attempt_in_flight.take();
        let never_ran = matches!(
            outcome,
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotJournaled
        );
        if !never_ran {
            entry.message.first_possible_effect = entry.message.first_possible_effect.or(ended);
        }
    }

    /// Records that a message was completed; `returned` says that its client may send it again. Returns the rule that this
    /// violates, if any.
    pub fn completed(&mut self, id: MessageId, returned: bool) -> Option<Violation> {
        let entry = self.entries.get_mut(&id)?;
        if std::mem::replace(&mut entry.completed, true) {
            return Some(Violation::CompletedTwice);
        }
        let message = &entry.message;
        let may_have_run = message.first_possible_effect.is_some() || message.in_flight.is_some();
        let must_not_run_twice = match message.repeat_policy.idempotency {
            Idempotency::Idempotent => false,
            // Another forwarder might send a returned message to a zone in which the repeat is not dropped.
            Idempotency::WithKey => message.repeat_policy.dedup_scope != DedupScope::All,
            Idempotency::NonIdempotent => true,
        };
        let is_violated = returned && may_have_run && must_not_run_twice;
        is_violated.then_some(Violation::ReturnedAlthoughItMayHaveRun)
    }

    /// Stops tracking a message, as nothing more can happen to it.
    pub fn forget(&mut self, id: MessageId) {
        self.entries.remove(&id);
    }

    /// The number of tracked messages. A message is tracked from its acceptance until it is forgotten.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no message is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl LedgerEntry {
    fn check_attempt(&self, now: Micros, zone: ZoneId) -> Option<Violation> {
        if self.completed || !self.ends_read.is_empty() {
            return Some(Violation::AttemptAfterCompletion);
        }
        if self.message.in_flight.is_some() {
            return Some(Violation::TwoAttemptsInFlight);
        }
        if self.message.attempts >= self.message.repeat_policy.max_attempts {
            return Some(Violation::TooManyAttempts);
        }
        let may_have_run = self.message.first_possible_effect.is_some();
        match self.message.repeat_policy.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => may_have_run.then_some(Violation::RepeatForbidden),
            Idempotency::WithKey => self.check_keyed_repeat(now, zone),
        }
    }

    fn check_keyed_repeat(&self, now: Micros, zone: ZoneId) -> Option<Violation> {
        let TrackedMessage { repeat_policy, first_possible_effect: first, unknown_attempt_at, .. } =
            &self.message;
        let earliest_start = first.map(|first| first.started_at).into_iter().chain(*unknown_attempt_at).min();
        if earliest_start.is_some_and(|start| now >= start.saturating_add(repeat_policy.dedup_window)) {
            return Some(Violation::RepeatAfterWindow);
        }
        let first_zone = first.and_then(|first| first.zone);
        let is_another_zone = first_zone.is_some_and(|first_zone| first_zone != zone);
        if repeat_policy.dedup_scope == DedupScope::Zone && is_another_zone {
            return Some(Violation::RepeatInAnotherZone);
        }
        None
    }
}
