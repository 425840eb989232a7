//! The rules, checked against what clients and destinations observed and what the endpoint list said at the time,
//! without the forwarder's own records. A violation is reported by rule, time, forwarder and message. Simulations and
//! live rehearsals are audited by the same code, with the tolerances of the platform's page.

use crate::world::World;
use cedarbridge::routes::{RouteTiming, MAX_ATTEMPTS_PER_MESSAGE};
use cedarbridge::{Class, Idempotency, Lifecycle, Micros, Outcome, Settings};
use std::fmt;

/// New work may still go to a draining endpoint for so long after the forwarder received the update.
const DRAIN_GRACE: Micros = 250_000;

/// An attempt so close to the end of a wait is not judged.
const CLOCK_STEP: Micros = 1_000;

/// Requests that may be rejected or left unanswered in one upgrade.
const ALLOWED_REJECTED_IN_UPGRADE: usize = 2;

/// Tolerances, as the clocks of two sides never agree to the microsecond.
#[derive(Clone, Copy, Debug)]
pub struct Tolerances {
    /// A retry_after or a drain binds so long after it was received: attempts in flight are allowed.
    pub wait: Micros,
    /// How late a final answer may be.
    pub answer: Micros,
    /// Added to the time that work may go to a draining endpoint.
    pub drain: Micros,
    /// How long after the next attempt's start the end of an attempt may be observed.
    pub overlap: Micros,
    /// Destinations observe deliveries before the forwarder does, which may then retry where the class allows it.
    pub sockets: bool,
}

/// In virtual time both sides observe everything in order.
pub const VIRTUAL: Tolerances =
    Tolerances { wait: 1_000, answer: 50_000, drain: 0, overlap: 0, sockets: false };
/// On sockets, as the platform's rules have it.
pub const SOCKETS: Tolerances =
    Tolerances { wait: 100_000, answer: 300_000, drain: 50_000, overlap: 50_000, sockets: true };

/// The rules by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer for each message, and no attempt after it.
    OneAnswer,
    /// The final answer comes in time.
    InTime,
    /// No second attempt while one is in flight.
    OneOut,
    /// No more attempts than allowed.
    Attempts,
    /// No retry beyond what the class allows.
    Repeats,
    /// A destination's retry_after is respected.
    Waits,
    /// Nothing new to an endpoint that drains.
    Drains,
    /// A destination that recovers is not overloaded again.
    PushedOver,
    /// Hardly a request is rejected while a process is upgraded.
    Door,
    /// Only messages that clients sent are forwarded, and only to their own destination.
    Strays,
}

impl Rule {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one-answer",
            Rule::InTime => "in-time",
            Rule::OneOut => "one-out",
            Rule::Attempts => "attempts",
            Rule::Repeats => "repeats",
            Rule::Waits => "waits",
            Rule::Drains => "drains",
            Rule::PushedOver => "pushed-over",
            Rule::Door => "door",
            Rule::Strays => "strays",
        }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleViolation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// The forwarder that broke it, from 0; none if no single one did.
    pub forwarder: Option<usize>,
    /// The message's number, in the order of requests.
    pub message: Option<usize>,
    /// What happened.
    pub what: String,
}

impl fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.saturating_sub(crate::world::START) as f64 / 1e6;
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

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// Delivered.
    Delivered,
    /// Rejected: the client may retry.
    Rejected,
    /// Failed.
    Failed,
    /// The client disconnected before the answer: its outcome is not judged.
    Disconnected,
}

/// What is known of a message that a forwarder received.
#[derive(Clone, Copy, Debug, Default)]
struct MessageRecord {
    forwarder: u32,
    attempts: u32,
    received: Micros,
    taken: Micros,
    deadline: Micros,
    /// Attempts in flight.
    in_flight: u32,
    /// When a second attempt was sent while one was in flight.
    overlap_since: Option<Micros>,
    may_have_run_at: Option<Micros>,
    end: Option<MessageEnd>,
    /// When a notice reported that end.
    notified: Option<Micros>,
}

/// How many there are of what an audit tracks.
#[derive(Clone, Copy, Debug, Default)]
pub struct AuditSizes {
    /// Forwarders.
    pub forwarders: usize,
    /// Destinations.
    pub destinations: usize,
    /// Endpoints of the list.
    pub endpoints: usize,
}

impl AuditSizes {
    /// The sizes of a day.
    pub fn of(world: &World) -> Self {
        AuditSizes {
            forwarders: world.fleet.len(),
            destinations: world.destinations.len(),
            endpoints: world.list.len(),
        }
    }
}

/// A destination's retry_after, as a forwarder received it.
#[derive(Clone, Copy, Default)]
struct Wait {
    received: Micros,
    until: Micros,
}

/// The rules of one day.
pub struct Audit {
    class: Class,
    tolerances: Tolerances,
    messages: Vec<MessageRecord>,
    /// For each forwarder and destination, when a retry_after was received and until when it binds.
    waits: Vec<Vec<Wait>>,
    /// For each forwarder and endpoint, since when the forwarder knows that it is draining or removed.
    drains: Vec<Vec<Option<Micros>>>,
    /// For each forwarder, the spans in which no answer is overdue, such as restarts.
    excused: Vec<Vec<(Micros, Micros)>>,
    /// The violations so far.
    pub violations: Vec<RuleViolation>,
}

impl Audit {
    /// An audit of so many forwarders, destinations and endpoints.
    pub fn new(settings: &Settings, sizes: AuditSizes, tolerances: Tolerances) -> Self {
        let AuditSizes { forwarders, destinations, endpoints } = sizes;
        Audit {
            class: settings.classes[0].clone(),
            tolerances,
            messages: Vec::new(),
            waits: vec![vec![Wait::default(); destinations]; forwarders],
            drains: vec![vec![None; endpoints]; forwarders],
            excused: vec![Vec::new(); forwarders],
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

    /// Something was sent that belongs to no message, or to another destination.
    pub fn stray_message(&mut self, at: Micros, forwarder: usize, what: impl Into<String>) {
        let (rule, forwarder) = (Rule::Strays, Some(forwarder));
        self.violations.push(RuleViolation { rule, at, forwarder, message: None, what: what.into() });
    }

    /// A forwarder's process was upgraded; so many requests were rejected or left unanswered meanwhile.
    pub fn replaced(&mut self, at: Micros, forwarder: usize, rejected_during_upgrade: usize) {
        if rejected_during_upgrade > ALLOWED_REJECTED_IN_UPGRADE {
            let what = format!(
                "{rejected_during_upgrade} hand-ins ended at the door, {ALLOWED_REJECTED_IN_UPGRADE} allowed"
            );
            let (rule, forwarder) = (Rule::Door, Some(forwarder));
            self.violations.push(RuleViolation { rule, at, forwarder, message: None, what });
        }
    }

    /// A forwarder receives a message; messages are numbered in this order.
    pub fn taken(&mut self, now: Micros, forwarder: usize, received: Micros, time_left: Micros) {
        let (forwarder, deadline) = (forwarder as u32, now + time_left);
        self.messages.push(MessageRecord {
            forwarder,
            received,
            taken: now,
            deadline,
            ..MessageRecord::default()
        });
    }

    /// An attempt is sent; `first` is when its first byte was observed, the timing is the plan's for its message.
    pub fn sent(
        &mut self,
        now: Micros,
        first: Micros,
        to: (usize, usize),
        message: usize,
        timing: &RouteTiming,
    ) {
        let (destination, endpoint) = to;
        let m = self.messages[message];
        let forwarder = m.forwarder as usize;
        let mut found: Vec<(Rule, &str)> = Vec::new();
        match m.end {
            Some(MessageEnd::Delivered) if self.tolerances.sockets => {}
            Some(MessageEnd::Disconnected) | None => {}
            Some(_) => found.push((Rule::OneAnswer, "an attempt after its end")),
        }
        if m.in_flight > 0 && self.tolerances.overlap == 0 {
            found.push((Rule::OneOut, "a second attempt while one is out"));
        }
        if m.attempts >= timing.max_attempts(MAX_ATTEMPTS_PER_MESSAGE) {
            found.push((Rule::Attempts, "more attempts than allowed"));
        }
        match (self.class.idempotency, m.may_have_run_at) {
            (Idempotency::NonIdempotent, Some(_)) => {
                found.push((Rule::Repeats, "a repeat of what may not run twice"))
            }
            (Idempotency::WithKey, Some(ran)) if now >= ran + self.class.deduplication_window => {
                found.push((Rule::Repeats, "a repeat after the partner's memory of the first"));
            }
            _ => {}
        }
        let wait = self.waits[forwarder][destination];
        if first > wait.received + self.tolerances.wait && first + CLOCK_STEP < wait.until {
            found.push((Rule::Waits, "sent within a told wait"));
        }
        let grace = DRAIN_GRACE + self.tolerances.drain;
        if self.drains[forwarder][endpoint].is_some_and(|since| first > since + grace) {
            found.push((Rule::Drains, "sent to an endpoint that drains"));
        }
        found.into_iter().for_each(|(rule, what)| self.record_violation(rule, now, message, what));
        let m = &mut self.messages[message];
        if m.in_flight > 0 && self.tolerances.overlap > 0 {
            m.overlap_since.get_or_insert(now);
        }
        (m.in_flight, m.attempts) = (m.in_flight + 1, m.attempts + 1);
    }

    /// An attempt ended, with an answer or without.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        destination: usize,
        message: usize,
        sent: Micros,
        outcome: Outcome,
    ) {
        let m = &mut self.messages[message];
        m.in_flight = m.in_flight.saturating_sub(1);
        let overlap_since = m.overlap_since.take();
        let unsure = matches!(
            outcome,
            Outcome::TimedOut
                | Outcome::Reset
                | Outcome::StaleConnection
                | Outcome::Cancelled
                | Outcome::Error
        );
        if unsure {
            m.may_have_run_at.get_or_insert(sent);
        }
        let forwarder = m.forwarder as usize;
        if let Some(since) = overlap_since.filter(|s| now > s + self.tolerances.overlap) {
            self.record_violation(Rule::OneOut, since, message, "a second attempt while one is out");
        }
        if let Outcome::Rejected(Some(wait)) = outcome {
            let known = &mut self.waits[forwarder][destination];
            if now + wait > known.until {
                let received = if known.until > now { known.received } else { now };
                *known = Wait { received, until: now + wait };
            }
        }
    }

    /// A forwarder's process ended: its attempts in flight may have run, and it has forgotten every retry_after.
    pub fn died(&mut self, now: Micros, forwarder: usize) {
        for m in self.messages.iter_mut().filter(|m| m.forwarder as usize == forwarder && m.in_flight > 0) {
            m.in_flight = 0;
            m.overlap_since = None;
            m.may_have_run_at.get_or_insert(now);
        }
        self.waits[forwarder].fill(Wait::default());
        self.drains[forwarder].fill(None);
    }

    /// A forwarder stays away, and another takes over one of its messages.
    pub fn moved(&mut self, message: usize, to: usize) {
        self.messages[message].forwarder = to as u32;
    }

    /// No answer of a forwarder is overdue within this span.
    pub fn excuse(&mut self, forwarder: usize, from: Micros, to: Micros) {
        self.excused[forwarder].push((from, to));
    }

    /// The forwarder is running again: its last excused span ends then.
    pub fn excused_until(&mut self, forwarder: usize, to: Micros) {
        if let Some(last) = self.excused[forwarder].last_mut() {
            last.1 = to;
        }
    }

    /// When an answer is due, extended where a restart covers it.
    fn due(&self, forwarder: usize, end: Micros) -> Micros {
        let within = |e: &&(Micros, Micros)| e.0 <= end + self.tolerances.answer && end < e.1;
        self.excused[forwarder].iter().filter(within).map(|e| e.1).max().unwrap_or(end).max(end)
    }

    /// A message has got its final answer.
    pub fn ended(&mut self, now: Micros, message: usize, timing: &RouteTiming, end: MessageEnd) {
        let m = self.messages[message];
        if m.end.is_some_and(|e| e != MessageEnd::Disconnected) {
            // On sockets a destination may observe a delivery after its forwarder's timeout.
            if !(self.tolerances.sockets && end == MessageEnd::Delivered) {
                self.record_violation(Rule::OneAnswer, now, message, "a second final answer");
            }
            return;
        }
        if m.end.is_some() {
            return;
        }
        if end == MessageEnd::Rejected
            && m.may_have_run_at.is_some()
            && self.class.idempotency != Idempotency::Idempotent
        {
            self.record_violation(Rule::Repeats, now, message, "given back though it may have run");
        }
        // A reload never shortens the time of an attempt in flight; days here have none.
        // A retry that arrives after its deadline is answered at once.
        let due = self.due(m.forwarder as usize, timing.ends_at(m.received, m.deadline).max(m.taken));
        if end != MessageEnd::Disconnected && now > due.saturating_add(self.tolerances.answer) {
            self.record_violation(Rule::InTime, now, message, "its final answer came too late");
        }
        self.messages[message].end = Some(end);
    }

    /// A notice reports that a message was rejected or failed. The same notice again after a restart is one whose
    /// acknowledgement was lost; a notice of a delivered message does no harm.
    pub fn notified(&mut self, now: Micros, message: usize, timing: &RouteTiming, end: MessageEnd) {
        let m = self.messages[message];
        let restarted =
            |since: Micros| self.excused[m.forwarder as usize].iter().any(|e| e.1 >= since && e.0 <= now);
        match (m.end, m.notified) {
            (Some(MessageEnd::Delivered | MessageEnd::Disconnected), _) => {}
            (Some(before), Some(since)) if before == end && restarted(since) => {}
            _ => self.ended(now, message, timing, end),
        }
        self.messages[message].notified.get_or_insert(now);
    }

    /// A forwarder receives an endpoint's lifecycle.
    pub fn lists(&mut self, now: Micros, forwarder: usize, endpoint: usize, lifecycle: Lifecycle) {
        let since = &mut self.drains[forwarder][endpoint];
        *since = match lifecycle {
            Lifecycle::Listed => None,
            Lifecycle::Draining | Lifecycle::Removed => since.or(Some(now)),
        };
    }

    /// A message has no final answer yet.
    pub fn open_at(&self, message: usize) -> bool {
        self.messages[message].end.is_none()
    }

    /// The day is over: all messages must have ended, and no destination may have been overloaded on its recovery.
    pub fn close(&mut self, now: Micros, overloaded: impl Iterator<Item = (usize, Micros)>) {
        for message in 0..self.messages.len() {
            let m = self.messages[message];
            if m.end.is_none() {
                self.record_violation(Rule::OneAnswer, now, message, "never got a final answer");
            }
            if let Some(since) = m.overlap_since {
                self.record_violation(Rule::OneOut, since, message, "a second attempt while one is out");
            }
        }
        for (destination, at) in overloaded {
            let what = format!("partner {} was pushed over on its return", destination + 1);
            let rule = Rule::PushedOver;
            self.violations.push(RuleViolation { rule, at, forwarder: None, message: None, what });
        }
        self.violations.sort_by_key(|b| b.at);
    }
}
