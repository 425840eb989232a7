//! The run-time check: a record of what was in fact done for each message, held against the rules as it happens. It neither asks
//! the policy nor binds it; what breaks a rule is named, counted by the caller and logged with its ids.

use crate::{DedupScope, Idempotency, MessageId, Micros, Outcome, ZoneId};
use std::collections::BTreeMap;

/// How a message's class lets it be repeated.
#[derive(Clone, Copy, Debug)]
pub struct RepeatRules {
    /// What a repeat may do.
    pub effect: Idempotency,
    /// Where repeats are dropped.
    pub scope: DedupScope,
    /// For how long they are, from the first attempt that may have run.
    pub window: Micros,
    /// Attempts for one message.
    pub max_attempts: u32,
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt of a message of which nothing is known.
    UnknownMessage,
    /// A second attempt while one is out.
    TwoAttemptsOut,
    /// An attempt after the message's end.
    AttemptAfterEnd,
    /// More attempts than allowed.
    TooManyAttempts,
    /// A repeat of what must not run twice.
    RepeatForbidden,
    /// A repeat where it is not dropped.
    RepeatElsewhere,
    /// A repeat when it is not dropped any more.
    RepeatTooLate,
    /// A second final answer.
    SecondEnd,
    /// Given back though it may have run, and may not run twice.
    ReturnedThoughItMayHaveRun,
    /// A first byte to an endpoint that leaves, past the grace.
    SentToLeaving,
    /// A first byte within a pause that was asked for.
    SentWithinRetryAfter,
}

impl Violation {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Violation::UnknownMessage => "unknown_message",
            Violation::TwoAttemptsOut => "two_attempts_out",
            Violation::AttemptAfterEnd => "attempt_after_end",
            Violation::TooManyAttempts => "too_many_attempts",
            Violation::RepeatForbidden => "repeat_forbidden",
            Violation::RepeatElsewhere => "repeat_elsewhere",
            Violation::RepeatTooLate => "repeat_too_late",
            Violation::SecondEnd => "second_end",
            Violation::ReturnedThoughItMayHaveRun => "returned_though_it_may_have_run",
            Violation::SentToLeaving => "sent_to_leaving",
            Violation::SentWithinRetryAfter => "sent_within_retry_after",
        }
    }
}

#[derive(Debug)]
struct Record {
    rules: RepeatRules,
    attempts: u32,
    out: Option<u32>,
    /// When and where the first attempt went that may have run; the zone is not known of what another forwarder had.
    first: Option<(Micros, Option<ZoneId>)>,
    /// When and where the attempt went that is out.
    last: Option<(Micros, ZoneId)>,
    ended: bool,
}

/// What was done for each message that is held.
#[derive(Debug, Default)]
pub struct Ledger {
    records: BTreeMap<MessageId, Record>,
}

impl Ledger {
    /// A message is held from now on, with the attempts made for it before and the first of them that may have run.
    pub fn hold(
        &mut self,
        id: MessageId,
        rules: RepeatRules,
        attempts: u32,
        first: Option<(Micros, Option<ZoneId>)>,
        out: Option<u32>,
    ) {
        self.records.insert(id, Record { rules, attempts, out, first, last: None, ended: false });
    }

    /// The first byte of an attempt is about to be written.
    pub fn attempt(&mut self, id: MessageId, number: u32, now: Micros, zone: ZoneId) -> Option<Violation> {
        let Some(record) = self.records.get_mut(&id) else { return Some(Violation::UnknownMessage) };
        let found = record.check_attempt(now, zone);
        record.attempts += 1;
        record.out = Some(number);
        record.last = Some((now, zone));
        found
    }

    /// An attempt is over, or its connection closed.
    pub fn attempt_ended(&mut self, id: MessageId, number: u32, outcome: Outcome) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.out != Some(number) {
            return;
        }
        record.out = None;
        let never_ran = matches!(
            outcome,
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotJournaled
        );
        let last = record.last.take().map(|(at, zone)| (at, Some(zone)));
        if !never_ran {
            record.first = record.first.or(last);
        }
    }

    /// A message has got its final answer; given back, it may come again.
    pub fn end(&mut self, id: MessageId, given_back: bool) -> Option<Violation> {
        let record = self.records.get_mut(&id)?;
        if std::mem::replace(&mut record.ended, true) {
            return Some(Violation::SecondEnd);
        }
        let may_have_run = record.first.is_some() || record.out.is_some();
        let forbidden = match record.rules.effect {
            Idempotency::Idempotent => false,
            Idempotency::WithKey => record.rules.scope != DedupScope::All,
            Idempotency::NonIdempotent => true,
        };
        (given_back && may_have_run && forbidden).then_some(Violation::ReturnedThoughItMayHaveRun)
    }

    /// Nothing more can come of a message.
    pub fn forget(&mut self, id: MessageId) {
        self.records.remove(&id);
    }

    /// How many messages it holds: those that the program holds, and no more.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// It holds none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl Record {
    fn check_attempt(&self, now: Micros, zone: ZoneId) -> Option<Violation> {
        if self.ended {
            return Some(Violation::AttemptAfterEnd);
        }
        if self.out.is_some() {
            return Some(Violation::TwoAttemptsOut);
        }
        if self.attempts >= self.rules.max_attempts {
            return Some(Violation::TooManyAttempts);
        }
        let (at, first_zone) = self.first?;
        match self.rules.effect {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some(Violation::RepeatForbidden),
            Idempotency::WithKey if now >= at.saturating_add(self.rules.window) => {
                Some(Violation::RepeatTooLate)
            }
            Idempotency::WithKey
                if self.rules.scope == DedupScope::Zone && first_zone.is_some_and(|z| z != zone) =>
            {
                Some(Violation::RepeatElsewhere)
            }
            Idempotency::WithKey => None,
        }
    }
}
