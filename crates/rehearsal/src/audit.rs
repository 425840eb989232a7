//! Audits the delivery rules against what clients and destinations observe and what the endpoint list says at the time,
//! without the forwarder's own records.
//!
//! A violation is reported with its rule, time, forwarder and message. The same code audits simulations and live
//! rehearsals, with different tolerances.

use crate::environment::Environment;
use cedarbridge::routes::{RouteTiming, MAX_ATTEMPTS_PER_MESSAGE};
use cedarbridge::{Class, Idempotency, Lifecycle, Micros, Outcome, Settings};
use std::fmt;

/// New calls may go to a draining endpoint for this time after the forwarder has received the update.
const DRAIN_GRACE: Micros = 250_000;

/// An attempt this close to the end of a `retry_after` is not a violation.
const RETRY_AFTER_END_TOLERANCE: Micros = 1_000;

/// The number of requests that may be rejected or left unanswered during one upgrade.
const MAX_REJECTED_IN_UPGRADE: usize = 2;

/// Tolerances for the differences between what a forwarder and its peers observe at a time.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// The time from a rejection until its `retry_after` applies; attempts that are sent meanwhile are allowed.
    pub retry_after: Micros,
    /// How late a final answer may be.
    pub answer: Micros,
    /// Extra time in which new calls may go to a draining endpoint.
    pub drain: Micros,
    /// An attempt's end may be observed up to this long after the start of the next attempt.
    pub overlap: Micros,
    /// Whether destinations observe a delivery before the forwarder does. The forwarder may then still retry, or report
    /// another outcome.
    pub deliveries_seen_early: bool,
}

/// The tolerances in virtual time, where both sides observe all events in order.
pub const VIRTUAL_TIME_TOLERANCES: Tolerances =
    Tolerances { retry_after: 1_000, answer: 50_000, drain: 0, overlap: 0, deliveries_seen_early: false };
/// The tolerances on sockets, from the platform's rules.
pub const SOCKET_TOLERANCES: Tolerances = Tolerances {
    retry_after: 100_000,
    answer: 300_000,
    drain: 50_000,
    overlap: 50_000,
    deliveries_seen_early: true,
};

/// The delivery rules that the audit checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each message gets exactly one final answer, and no attempt after it.
    SingleAnswer,
    /// The final answer comes before the message's deadline.
    AnswerDeadline,
    /// A message has at most one attempt in flight.
    SingleAttempt,
    /// A message has no more attempts than its route and the forwarder allow.
    AttemptLimit,
    /// A message that may have been processed is retried, or given back to its client, only if its class allows it.
    RetryPermitted,
    /// A destination gets no attempt within the `retry_after` of its rejection.
    RetryAfter,
    /// A draining endpoint gets no new calls.
    Draining,
    /// A destination that recovers is not overloaded again.
    RecoveryOverload,
    /// At most two requests are rejected or left unanswered while a process is upgraded.
    UpgradeRejections,
    /// A forwarder sends only messages that clients sent, and only to their own destination.
    StrayMessages,
}

impl Rule {
    /// The rule's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::SingleAnswer => "one-answer",
            Rule::AnswerDeadline => "in-time",
            Rule::SingleAttempt => "one-out",
            Rule::AttemptLimit => "attempts",
            Rule::RetryPermitted => "repeats",
            Rule::RetryAfter => "waits",
            Rule::Draining => "drains",
            Rule::RecoveryOverload => "pushed-over",
            Rule::UpgradeRejections => "door",
            Rule::StrayMessages => "strays",
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleViolation {
    /// The rule that was violated.
    pub rule: Rule,
    /// When the violation was observed.
    pub at: Micros,
    /// The index of the forwarder; `None` if no single forwarder violated the rule.
    pub forwarder: Option<usize>,
    /// The message's number, in the order in which forwarders received the messages; `None` if it concerns no message.
    pub message: Option<usize>,
    /// A description of what happened.
    pub what: String,
}

impl fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.saturating_sub(crate::environment::RUN_START) as f64 / 1e6;
        write!(f, "[{}] at {at:.3} s", self.rule.name())?;
        if let Some(forwarder) = self.forwarder {
            write!(f, ", forwarder {}", forwarder + 1)?;
        }
        if let Some(message) = self.message {
            write!(f, ", message {message}")?;
        }
        write!(f, ": {}", self.what)
    }
}

/// The end of a message, as its client or a delivery report states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// The destination accepted it.
    Delivered,
    /// The forwarder rejected it: the client may retry.
    Rejected,
    /// The forwarder gave it up: the client may not retry.
    Failed,
    /// The client disconnected before the answer: the message's outcome is not audited.
    Disconnected,
}

/// The audit's record of a message that a forwarder received.
#[derive(Clone, Copy, Debug, Default)]
struct MessageRecord {
    forwarder: u32,
    attempts: u32,
    /// When the client sent its request for the first time.
    requested: Micros,
    /// When the forwarder received this message.
    received: Micros,
    deadline: Micros,
    /// The number of attempts in flight.
    in_flight: u32,
    /// When a second attempt was sent while one was in flight; reset to `None` when an attempt ends.
    overlap_since: Option<Micros>,
    /// When the first attempt was sent that the destination may have processed, or when the forwarder stopped while that
    /// attempt was in flight. `None` if no attempt may have been processed.
    may_have_run_at: Option<Micros>,
    end: Option<MessageEnd>,
    /// When a delivery report first stated the end.
    first_report_at: Option<Micros>,
}

/// The numbers of forwarders, destinations and endpoints that an audit tracks.
#[derive(Clone, Copy, Debug, Default)]
pub struct AuditSizes {
    /// The number of forwarders in the run.
    pub forwarders: usize,
    /// The number of destinations in the run.
    pub destinations: usize,
    /// The number of endpoints in the endpoint list, with those that are added later.
    pub endpoints: usize,
}

impl AuditSizes {
    /// The numbers of an environment.
    pub fn of(environment: &Environment) -> Self {
        AuditSizes {
            forwarders: environment.fleet.len(),
            destinations: environment.destinations.len(),
            endpoints: environment.endpoints.len(),
        }
    }
}

/// A destination's `retry_after`, as a forwarder received it.
#[derive(Clone, Copy, Default)]
struct RetryAfter {
    received: Micros,
    until: Micros,
}

/// The audit of one run.
pub struct Audit {
    class: Class,
    tolerances: Tolerances,
    messages: Vec<MessageRecord>,
    /// For each forwarder and destination, the `retry_after` that applies last.
    retry_afters: Vec<Vec<RetryAfter>>,
    /// For each forwarder and endpoint, the time since which the forwarder knows that the endpoint is draining or removed.
    draining_since: Vec<Vec<Option<Micros>>>,
    /// For each forwarder, the spans in which no answer is overdue, such as restarts.
    excused_spans: Vec<Vec<(Micros, Micros)>>,
    /// The violations so far; in the order of time once the audit is closed.
    pub violations: Vec<RuleViolation>,
}

impl Audit {
    /// An audit for the settings' first class.
    pub fn new(settings: &Settings, sizes: AuditSizes, tolerances: Tolerances) -> Self {
        let AuditSizes { forwarders, destinations, endpoints } = sizes;
        Audit {
            class: settings.classes[0].clone(),
            tolerances,
            messages: Vec::new(),
            retry_afters: vec![vec![RetryAfter::default(); destinations]; forwarders],
            draining_since: vec![vec![None; endpoints]; forwarders],
            excused_spans: vec![Vec::new(); forwarders],
            violations: Vec::new(),
        }
    }

    fn record_violation(&mut self, rule: Rule, at: Micros, message: usize, what: impl Into<String>) {
        let forwarder = self.messages.get(message).map(|m| m.forwarder as usize);
        self.violations.push(RuleViolation {
            rule,
            at,
            forwarder,
            message: Some(message),
            what: what.into(),
        });
    }

    /// Records that a forwarder sent something that belongs to no message, or to another destination.
    pub fn record_stray_message(&mut self, at: Micros, forwarder: usize, what: impl Into<String>) {
        let (rule, forwarder) = (Rule::StrayMessages, Some(forwarder));
        self.violations.push(RuleViolation { rule, at, forwarder, message: None, what: what.into() });
    }

    /// Records the upgrade of a forwarder's process, with the number of requests that were rejected or left unanswered
    /// meanwhile.
    pub fn forwarder_upgraded(&mut self, at: Micros, forwarder: usize, rejected_during_upgrade: usize) {
        if rejected_during_upgrade > MAX_REJECTED_IN_UPGRADE {
            // The text: this many requests were rejected or left unanswered during the upgrade.
            let what = format!(
                "{rejected_during_upgrade} hand-ins ended at the door, {MAX_REJECTED_IN_UPGRADE} allowed"
            );
            let (rule, forwarder) = (Rule::UpgradeRejections, Some(forwarder));
            self.violations.push(RuleViolation { rule, at, forwarder, message: None, what });
        }
    }

    /// Records that a forwarder receives a message; messages are numbered in this order. `requested` is when the client
    /// sent its request for the first time.
    pub fn message_received(&mut self, now: Micros, forwarder: usize, requested: Micros, time_left: Micros) {
        let (forwarder, deadline) = (forwarder as u32, now + time_left);
        self.messages.push(MessageRecord {
            forwarder,
            requested,
            received: now,
            deadline,
            ..MessageRecord::default()
        });
    }

    /// Records that an attempt is sent. `first_byte` is when its first byte was observed, `to` the indexes of its
    /// destination and endpoint, and `timing` what the routes give its message.
    pub fn attempt_sent(
        &mut self,
        now: Micros,
        first_byte: Micros,
        to: (usize, usize),
        message: usize,
        timing: &RouteTiming,
    ) {
        let (destination, endpoint) = to;
        let record = self.messages[message];
        let forwarder = record.forwarder as usize;
        let mut violations: Vec<(Rule, &str)> = Vec::new();
        match record.end {
            Some(MessageEnd::Delivered) if self.tolerances.deliveries_seen_early => {}
            Some(MessageEnd::Disconnected) | None => {}
            Some(_) => violations.push((Rule::SingleAnswer, "an attempt after its end")),
        }
        if record.in_flight > 0 && self.tolerances.overlap == 0 {
            // The text: an attempt was sent while another attempt of the message was in flight.
            violations.push((Rule::SingleAttempt, "a second attempt while one is out"));
        }
        if record.attempts >= timing.max_attempts(MAX_ATTEMPTS_PER_MESSAGE) {
            violations.push((Rule::AttemptLimit, "more attempts than allowed"));
        }
        match (self.class.idempotency, record.may_have_run_at) {
            (Idempotency::NonIdempotent, Some(_)) => {
                // The text: a message that must not run twice was retried though it may have been processed.
                violations.push((Rule::RetryPermitted, "a repeat of what may not run twice"))
            }
            (Idempotency::WithKey, Some(run_at)) if now >= run_at + self.class.deduplication_window => {
                // The text: a retry came after the end of the destination's deduplication window.
                violations.push((Rule::RetryPermitted, "a repeat after the partner's memory of the first"));
            }
            _ => {}
        }
        let retry_after = self.retry_afters[forwarder][destination];
        if first_byte > retry_after.received + self.tolerances.retry_after
            && first_byte + RETRY_AFTER_END_TOLERANCE < retry_after.until
        {
            // The text: an attempt was sent before the end of the destination's `retry_after`.
            violations.push((Rule::RetryAfter, "sent within a told wait"));
        }
        let grace = DRAIN_GRACE + self.tolerances.drain;
        if self.draining_since[forwarder][endpoint].is_some_and(|since| first_byte > since + grace) {
            violations.push((Rule::Draining, "sent to an endpoint that drains"));
        }
        violations.into_iter().for_each(|(rule, what)| self.record_violation(rule, now, message, what));
        let record = &mut self.messages[message];
        if record.in_flight > 0 && self.tolerances.overlap > 0 {
            record.overlap_since.get_or_insert(now);
        }
        (record.in_flight, record.attempts) = (record.in_flight + 1, record.attempts + 1);
    }

    /// Records that an attempt that was sent at `sent_at` ended, with an answer or without.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        destination: usize,
        message: usize,
        sent_at: Micros,
        outcome: Outcome,
    ) {
        let record = &mut self.messages[message];
        record.in_flight = record.in_flight.saturating_sub(1);
        let overlap_since = record.overlap_since.take();
        let may_have_run = matches!(
            outcome,
            Outcome::TimedOut
                | Outcome::Reset
                | Outcome::StaleConnection
                | Outcome::Cancelled
                | Outcome::Error
        );
        if may_have_run {
            record.may_have_run_at.get_or_insert(sent_at);
        }
        let forwarder = record.forwarder as usize;
        if let Some(since) = overlap_since.filter(|s| now > s + self.tolerances.overlap) {
            self.record_violation(Rule::SingleAttempt, since, message, "a second attempt while one is out");
        }
        if let Outcome::Rejected(Some(retry_after)) = outcome {
            let known = &mut self.retry_afters[forwarder][destination];
            if now + retry_after > known.until {
                let received = if known.until > now { known.received } else { now };
                *known = RetryAfter { received, until: now + retry_after };
            }
        }
    }

    /// Records that a forwarder's process ended. The destinations may have processed its attempts in flight, and the next
    /// process knows no `retry_after` and no draining endpoint yet.
    pub fn forwarder_stopped(&mut self, now: Micros, forwarder: usize) {
        for record in
            self.messages.iter_mut().filter(|m| m.forwarder as usize == forwarder && m.in_flight > 0)
        {
            record.in_flight = 0;
            record.overlap_since = None;
            record.may_have_run_at.get_or_insert(now);
        }
        self.retry_afters[forwarder].fill(RetryAfter::default());
        self.draining_since[forwarder].fill(None);
    }

    /// Records that another forwarder takes over a message of a forwarder that is not restarted.
    pub fn message_moved(&mut self, message: usize, to: usize) {
        self.messages[message].forwarder = to as u32;
    }

    /// Excuses late answers: no answer of the forwarder is overdue within this span.
    pub fn excuse_late_answers(&mut self, forwarder: usize, from: Micros, to: Micros) {
        self.excused_spans[forwarder].push((from, to));
    }

    /// Sets the end of the forwarder's last excused span, once the forwarder is running again.
    pub fn end_excused_span(&mut self, forwarder: usize, to: Micros) {
        if let Some(last) = self.excused_spans[forwarder].last_mut() {
            last.1 = to;
        }
    }

    /// The time from which an answer that is due at `end` is overdue: the end of an excused span that covers `end`, or else
    /// `end` itself.
    fn due(&self, forwarder: usize, end: Micros) -> Micros {
        let within = |e: &&(Micros, Micros)| e.0 <= end + self.tolerances.answer && end < e.1;
        self.excused_spans[forwarder].iter().filter(within).map(|e| e.1).max().unwrap_or(end).max(end)
    }

    /// Records the final answer of a message.
    pub fn message_ended(&mut self, now: Micros, message: usize, timing: &RouteTiming, end: MessageEnd) {
        let record = self.messages[message];
        if record.end.is_some_and(|e| e != MessageEnd::Disconnected) {
            // On sockets a destination may count a call as delivered although its forwarder has timed out.
            if !(self.tolerances.deliveries_seen_early && end == MessageEnd::Delivered) {
                self.record_violation(Rule::SingleAnswer, now, message, "a second final answer");
            }
            return;
        }
        if record.end.is_some() {
            return;
        }
        if end == MessageEnd::Rejected
            && record.may_have_run_at.is_some()
            && self.class.idempotency != Idempotency::Idempotent
        {
            // The text: a message was reported as rejected though a destination may have processed it.
            self.record_violation(Rule::RetryPermitted, now, message, "given back though it may have run");
        }
        // No run reloads changed routes, and a reload never shortens the time of an attempt in flight, so the timing is the
        // one at the start. A message that is received after its deadline must be answered at once, so its answer is due
        // when it is received.
        let due = self.due(
            record.forwarder as usize,
            timing.ends_at(record.requested, record.deadline).max(record.received),
        );
        if end != MessageEnd::Disconnected && now > due.saturating_add(self.tolerances.answer) {
            self.record_violation(Rule::AnswerDeadline, now, message, "its final answer came too late");
        }
        self.messages[message].end = Some(end);
    }

    /// Records a delivery report that a message was rejected or failed. The same report is allowed again after a restart, as
    /// its acknowledgement may have been lost. A report on a message that a destination accepted is ignored.
    pub fn delivery_report_received(
        &mut self,
        now: Micros,
        message: usize,
        timing: &RouteTiming,
        end: MessageEnd,
    ) {
        let record = self.messages[message];
        let restarted = |since: Micros| {
            self.excused_spans[record.forwarder as usize].iter().any(|e| e.1 >= since && e.0 <= now)
        };
        match (record.end, record.first_report_at) {
            (Some(MessageEnd::Delivered | MessageEnd::Disconnected), _) => {}
            (Some(before), Some(since)) if before == end && restarted(since) => {}
            _ => self.message_ended(now, message, timing, end),
        }
        self.messages[message].first_report_at.get_or_insert(now);
    }

    /// Records that a forwarder receives an endpoint's lifecycle.
    pub fn lifecycle_received(
        &mut self,
        now: Micros,
        forwarder: usize,
        endpoint: usize,
        lifecycle: Lifecycle,
    ) {
        let since = &mut self.draining_since[forwarder][endpoint];
        *since = match lifecycle {
            Lifecycle::Listed => None,
            Lifecycle::Draining | Lifecycle::Removed => since.or(Some(now)),
        };
    }

    /// Whether a message has no final answer yet.
    pub fn is_open(&self, message: usize) -> bool {
        self.messages[message].end.is_none()
    }

    /// Closes the audit at the end of the run: all messages must have ended, and no destination may have been overloaded as
    /// it recovered. `overloaded` yields the destinations' indexes with the times.
    pub fn close(&mut self, now: Micros, overloaded: impl Iterator<Item = (usize, Micros)>) {
        for message in 0..self.messages.len() {
            let record = self.messages[message];
            if record.end.is_none() {
                self.record_violation(Rule::SingleAnswer, now, message, "never got a final answer");
            }
            if let Some(since) = record.overlap_since {
                self.record_violation(
                    Rule::SingleAttempt,
                    since,
                    message,
                    "a second attempt while one is out",
                );
            }
        }
        for (destination, at) in overloaded {
            // The text: the destination was overloaded while it recovered from an outage.
            let what = format!("partner {} was pushed over on its return", destination + 1);
            let rule = Rule::RecoveryOverload;
            self.violations.push(RuleViolation { rule, at, forwarder: None, message: None, what });
        }
        self.violations.sort_by_key(|v| v.at);
    }
}
