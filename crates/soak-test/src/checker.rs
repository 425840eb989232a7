//! Checks the invariants against what clients, endpoints and the platform's agents observed, independently of the
//! forwarders' own records.
//!
//! The rules that a violation names:
//! - `strays`: something was received that no client submitted, or that was addressed to another destination.
//! - `attempts`: a message had more than `MAX_ATTEMPTS` attempts.
//! - `after-end`: a message was attempted after its report, or after the forwarder had read a response that ended it.
//! - `repeats`: a message was retried, or returned to its client, though its class forbids it.
//! - `one-out`: a message had two attempts in flight at once.
//! - `drains`: a draining endpoint got an attempt later than `DRAIN_GRACE` after the forwarder was notified.
//! - `retry-after`: a destination got an attempt before the end of a `retry_after`.
//! - `slow-start`: a destination got too many calls after an outage.
//! - `one-end`: a message was reported with two different ends.
//! - `unanswered`: a client got no response to a message that it sent on a new connection, or that an endpoint received.
//! - `lost`: an accepted message was neither delivered nor reported.
//! - `in-time`: a message was delivered or reported too late.
//!
//! Other modules record violations of further rules:
//! - `crash`: a process exited when it must not, or with an error status.
//! - `leaves`: a process still ran 3.7 s after it had to exit.
//! - `ready`: a process was not ready within 10 s, or returned no counters at the end of the run.
//! - `run-time`: the forwarder's own invariant counters are not empty.
//! - `limits`: a process uses too much memory or too many descriptors.
//! - `answers`: a client got a response with an unexpected status.
//! - `bad-clients`: a misbehaving client got neither a response nor a close of its connection in time.
//! - `reports`: the platform's agent got a malformed delivery report.

use crate::deployment::{DRAIN_GRACE, MAX_ATTEMPTS};
use crate::message::{Attempt, Message};
use crate::observation::{AttemptOutcome, Idempotency, Report, Violation};
use crate::slow_start::SlowStartMonitor;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Slack for delays of sockets and scheduling. It is added to the time limits, except to that after a report and to the
/// end of a `retry_after`.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// A message's delivery or report may come this long after its deadline.
const END_SLACK: Duration = Duration::from_millis(300);
/// Calls that arrive within this time after a `retry_after` or a report are taken as already in flight and are no
/// violations.
pub const IN_FLIGHT_SLACK: Duration = Duration::from_millis(100);
/// A forwarder need not meet deadlines until this long after it is available again.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);
/// How long after a fault of its storage a forwarder may still have journal records to write.
const JOURNAL_RECOVERY_TIME: Duration = Duration::from_millis(2_000);
/// The longest allowed delay between a process's reading of the clock and its write. An attempt may come this much after the
/// end of a deduplication window.
pub const WRITE_DELAY: Duration = Duration::from_millis(150);

/// Where an attempt was received: the numbers of the endpoint, its destination and its zone.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget {
    pub endpoint: usize,
    pub destination: usize,
    pub zone: usize,
}

/// A pause that an endpoint demanded with a `retry_after`.
struct RetryAfterPause {
    since: Instant,
    until: Instant,
}

/// A time in which a forwarder is down, stalled, shutting down or recovering.
#[derive(Clone)]
struct UnavailablePeriod {
    since: Instant,
    /// The end of the forwarder's recovery time; `None` until the forwarder is ready again.
    until: Option<Instant>,
}

/// Collects the observations of a run and the violations that they show.
pub struct InvariantChecker {
    started_at: Instant,
    messages: HashMap<String, Message>,
    /// For each forwarder and draining endpoint, when the forwarder was notified of the drain.
    draining_since: HashMap<(usize, usize), Instant>,
    /// For each forwarder and destination, the pause in force.
    retry_after: HashMap<(usize, usize), RetryAfterPause>,
    /// For each forwarder, the times when it was unavailable.
    unavailable_periods: Vec<Vec<UnavailablePeriod>>,
    /// For each forwarder, until when its storage last failed by a fault.
    storage_faults: Vec<Option<Instant>>,
    /// For each destination, the check of its slow start.
    slow_start_monitors: Vec<SlowStartMonitor>,
    /// The violations found so far.
    pub violations: Vec<Violation>,
    /// Counts of what was observed, for the summary.
    pub counts: BTreeMap<&'static str, u64>,
}

impl InvariantChecker {
    /// A checker without observations, for forwarders and destinations that are numbered from 0.
    pub fn new(forwarders: usize, destinations: usize) -> Self {
        InvariantChecker {
            started_at: Instant::now(),
            messages: HashMap::new(),
            draining_since: HashMap::new(),
            retry_after: HashMap::new(),
            unavailable_periods: vec![Vec::new(); forwarders],
            storage_faults: vec![None; forwarders],
            slow_start_monitors: (0..destinations).map(|_| SlowStartMonitor::new()).collect(),
            violations: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Adds a violation of the named rule.
    pub fn record_violation(&mut self, rule: &'static str, description: impl Into<String>) {
        self.violations.push(Violation {
            at: self.started_at.elapsed(),
            rule,
            description: description.into(),
        });
    }

    /// Adds one to a count of the summary.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// A client is about to send a message, whose deadline is `time_limit` from now.
    pub fn record_submission(
        &mut self,
        id: &str,
        forwarder: usize,
        destination: usize,
        idempotency: Idempotency,
        time_limit: Duration,
    ) {
        let deadline = Instant::now() + time_limit;
        let message = Message {
            forwarder,
            destination,
            idempotency,
            time_limit,
            deadline,
            accepted_at: None,
            closed_unanswered: false,
            attempts: Vec::new(),
            ended_at: None,
            end_read_at: None,
            report: None,
        };
        self.messages.insert(id.to_owned(), message);
        self.count("submitted");
    }

    /// The client is about to send a message again, as its kept-alive connection was closed without a response.
    pub fn record_resubmission(&mut self, id: &str) {
        self.count("submitted again");
        if let Some(message) = self.messages.get_mut(id) {
            message.deadline = Instant::now() + message.time_limit;
            message.closed_unanswered = false;
        }
    }

    /// The client has read the response that its message is accepted.
    pub fn record_acceptance(&mut self, id: &str) {
        self.count("accepted");
        if let Some(message) = self.messages.get_mut(id) {
            message.accepted_at = Some(Instant::now());
        }
    }

    /// A process that was not killed has closed the client's connection without a response, so it must not send the message
    /// to an endpoint.
    pub fn record_unanswered_close(&mut self, id: &str) {
        self.count("connection closed");
        if let Some(message) = self.messages.get_mut(id) {
            message.closed_unanswered = true;
        }
    }

    /// An endpoint has received a complete attempt, whose first byte came at `first_byte`. Returns the attempt's number, or
    /// `None` if nobody submitted the message.
    pub fn record_attempt(&mut self, id: &str, target: CallTarget, first_byte: Instant) -> Option<usize> {
        let CallTarget { endpoint, destination, zone } = target;
        let now = Instant::now();
        let mut violations: Vec<(&'static str, String)> = Vec::new();
        let Some(message) = self.messages.get_mut(id) else {
            self.record_violation("strays", format!("`{id}` was received but never submitted"));
            return None;
        };
        if message.destination != destination {
            violations.push(("strays", format!("{id} was sent to an endpoint of another destination")));
        }
        if message.attempts.len() >= MAX_ATTEMPTS {
            violations.push(("attempts", format!("{id}: attempt number {}", message.attempts.len() + 1)));
        }
        violations.extend(message.check_ends(id, now, first_byte));
        violations.extend(message.check_repeat(id, first_byte, zone));
        let forwarder = message.forwarder;
        message.attempts.push(Attempt { started_at: now, endpoint, zone, ended: None });
        let number = message.attempts.len() - 1;
        if let Some(since) = self.draining_since.get(&(forwarder, endpoint)) {
            if first_byte > *since + DRAIN_GRACE + SOCKET_SLACK {
                let after = first_byte - *since;
                violations.push((
                    "drains",
                    format!("{id}: sent to a draining endpoint {after:?} after the notification"),
                ));
            }
        }
        if let Some(pause) = self.retry_after.get(&(forwarder, destination)) {
            if first_byte > pause.since + IN_FLIGHT_SLACK + SOCKET_SLACK
                && first_byte + Duration::from_millis(1) < pause.until
            {
                violations.push((
                    "retry-after",
                    format!("{id}: sent {:?} before the end of the pause", pause.until - first_byte),
                ));
            }
        }
        // Counts attempts: a call with three messages adds three.
        self.count("calls");
        violations.into_iter().for_each(|(rule, description)| self.record_violation(rule, description));
        Some(number)
    }

    /// An attempt has ended with a response or with the close of its connection.
    pub fn record_attempt_end(&mut self, id: &str, number: usize, outcome: AttemptOutcome) {
        let now = Instant::now();
        let Some(message) = self.messages.get_mut(id) else { return };
        if outcome == AttemptOutcome::MayHaveRun {
            self.slow_start_monitors[message.destination].record_failure(message.forwarder);
        }
        message.attempts[number].ended.get_or_insert((now, outcome));
        if outcome.ends_message() {
            message.ended_at.get_or_insert(now);
        }
        if outcome == AttemptOutcome::Over {
            self.count("over");
        }
    }

    /// The forwarder that was sent a message; `None` if nobody submitted it.
    pub fn forwarder_of(&self, id: &str) -> Option<usize> {
        self.messages.get(id).map(|message| message.forwarder)
    }

    /// A response that ends a message was written at `written_at`, and its connection has been open since. The forwarder has read
    /// and journaled the end, unless it was unavailable or its storage failed meanwhile.
    pub fn record_end_read(&mut self, id: &str, written_at: Instant) {
        let now = Instant::now();
        let Some(forwarder) = self.forwarder_of(id) else { return };
        let storage_failed =
            self.storage_faults[forwarder].is_some_and(|fault| fault + JOURNAL_RECOVERY_TIME > now);
        if storage_failed || self.was_unavailable(forwarder, written_at) {
            return;
        }
        self.count("ends read");
        if let Some(message) = self.messages.get_mut(id) {
            message.end_read_at.get_or_insert(now);
        }
    }

    /// A fault makes the storage of a forwarder fail until this time.
    pub fn record_storage_fault(&mut self, forwarder: usize, until: Instant) {
        let latest = &mut self.storage_faults[forwarder];
        *latest = (*latest).max(Some(until));
    }

    /// An endpoint has sent a `retry_after` with a rejection.
    pub fn record_retry_after(&mut self, id: &str, destination: usize, duration: Duration) {
        let Some(forwarder) = self.forwarder_of(id) else { return };
        let now = Instant::now();
        let new_pause = RetryAfterPause { since: now, until: now };
        let pause = self.retry_after.entry((forwarder, destination)).or_insert(new_pause);
        let until = now + duration;
        if until > pause.until {
            let since = if pause.until > now { pause.since } else { now };
            *pause = RetryAfterPause { since, until };
        }
    }

    /// The platform's agent has received a delivery report.
    pub fn record_report(&mut self, id: &str, report: Report) {
        let now = Instant::now();
        self.count("reports");
        let Some(message) = self.messages.get_mut(id) else {
            return self
                .record_violation("strays", format!("a report for `{id}`, which was never submitted"));
        };
        let may_have_run = message
            .attempts
            .iter()
            .any(|attempt| !attempt.ended.is_some_and(|(_, outcome)| outcome.never_ran()));
        let repeat_forbidden = match message.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::WithKey { by_zone, .. } => by_zone,
            Idempotency::NonIdempotent => true,
        };
        let first_report = *message.report.get_or_insert((now, report));
        if first_report.1 != report {
            self.record_violation(
                "one-end",
                format!("{id}: reported as {:?}, then as {report:?}", first_report.1),
            );
        }
        if report == Report::Returned && may_have_run && repeat_forbidden {
            self.record_violation("repeats", format!("{id}: returned though it may have run"));
        }
    }

    /// The observations of the message that a violation names first, and of its forwarder meanwhile, one a line in the
    /// order of time. `None` unless the violation's description begins with the id of a message and a colon.
    pub fn history(&self, violation: &Violation) -> Option<String> {
        let id = violation.description.split(':').next()?;
        let message = self.messages.get(id)?;
        let submitted_at = message.deadline - message.time_limit;
        let mut events = vec![(
            submitted_at,
            format!("sent, {:?}, time limit {:?}", message.idempotency, message.time_limit),
        )];
        events.extend(message.accepted_at.map(|at| (at, "accepted".to_owned())));
        for attempt in &message.attempts {
            events.push((attempt.started_at, format!("called at endpoint {}", attempt.endpoint)));
            events.extend(attempt.ended.map(|(at, outcome)| (at, format!("call ended, {outcome:?}"))));
        }
        events.extend(message.report.map(|(at, report)| (at, format!("reported, {report:?}"))));
        let periods = self.unavailable_periods[message.forwarder].iter();
        for period in periods.filter(|period| period.until.is_none_or(|until| until > submitted_at)) {
            events.push((period.since, format!("forwarder {} is down or stalled", message.forwarder)));
            events.extend(period.until.map(|at| (at, "its recovery time is over".to_owned())));
        }
        events.sort();
        let line = |(at, text): (Instant, String)| {
            format!("    {:8.3} {text}", at.saturating_duration_since(self.started_at).as_secs_f64())
        };
        Some(events.into_iter().map(line).collect::<Vec<_>>().join("\n"))
    }

    /// A forwarder was notified of an endpoint's lifecycle: whether it drains or has left, or is active.
    pub fn record_lifecycle_notice(&mut self, forwarder: usize, endpoint: usize, draining: bool) {
        if draining {
            self.draining_since.entry((forwarder, endpoint)).or_insert_with(Instant::now);
        } else {
            self.draining_since.remove(&(forwarder, endpoint));
        }
    }

    /// A destination has received a call of one or more messages, of which `id` is the first.
    pub fn record_call(&mut self, id: &str, destination: usize) {
        let Some(forwarder) = self.forwarder_of(id) else { return };
        if let Some(description) = self.slow_start_monitors[destination].check_call(Instant::now(), forwarder)
        {
            self.record_violation("slow-start", format!("destination {destination}: {description}"));
        }
    }

    /// All endpoints of a destination go down.
    pub fn record_outage_start(&mut self, destination: usize) {
        self.slow_start_monitors[destination].begin_outage();
    }

    /// All endpoints of a destination are up again after an outage, and its slow start begins.
    pub fn record_outage_end(&mut self, destination: usize) {
        self.count("returns after an outage");
        self.slow_start_monitors[destination].begin_slow_start(Instant::now());
    }

    /// A forwarder is down or stalled from now on.
    pub fn mark_unavailable(&mut self, forwarder: usize) {
        self.unavailable_periods[forwarder].push(UnavailablePeriod { since: Instant::now(), until: None });
    }

    /// A forwarder's process has exited. Its successor knows nothing of the pauses, drains and outages that it had
    /// observed.
    pub fn record_process_exit(&mut self, forwarder: usize) {
        self.retry_after.retain(|key, _| key.0 != forwarder);
        self.draining_since.retain(|key, _| key.0 != forwarder);
        self.slow_start_monitors.iter_mut().for_each(|monitor| monitor.forget_observer(forwarder));
    }

    /// A forwarder is ready again; its recovery time begins.
    pub fn mark_available(&mut self, forwarder: usize) {
        if let Some(period) = self.unavailable_periods[forwarder].last_mut() {
            period.until = Some(Instant::now() + RECOVERY_TIME);
        }
    }

    /// Whether a forwarder was down, stalled, shutting down or recovering at any time since `since`.
    pub fn was_unavailable(&self, forwarder: usize, since: Instant) -> bool {
        let now = Instant::now();
        self.unavailable_periods[forwarder]
            .iter()
            .any(|period| period.since <= now && period.until.is_none_or(|end| end >= since))
    }

    /// The latest time for the delivery or report of a message.
    fn end_due_at(&self, message: &Message) -> Instant {
        let due = message.deadline + END_SLACK + SOCKET_SLACK;
        let periods = self.unavailable_periods[message.forwarder].iter();
        // A period of unavailability that ends after the deadline extends it; one that has not ended does not.
        let delaying_periods = periods
            .filter(|period| period.since <= due && period.until.is_none_or(|end| end > message.deadline));
        delaying_periods
            .filter_map(|period| period.until)
            .map(|end| end + END_SLACK + SOCKET_SLACK)
            .max()
            .unwrap_or(due)
            .max(due)
    }

    /// The number of accepted messages that are neither delivered nor reported, and may still be in time.
    pub fn open_messages(&self) -> usize {
        let is_open = |message: &&Message| {
            message.accepted_at.is_some() && message.ended_at.is_none() && message.report.is_none()
        };
        let now = Instant::now();
        self.messages.values().filter(is_open).filter(|message| self.end_due_at(message) > now).count()
    }

    /// Makes the final checks: each accepted message was delivered or reported in time, without overlapping attempts, and
    /// each message that was sent to an endpoint got a response for its client. Adds the last counts.
    pub fn finish(&mut self) {
        let mut violations: Vec<(&'static str, String)> = Vec::new();
        for (id, message) in &self.messages {
            for pair in message.attempts.windows(2) {
                let ended_at = pair[0].ended.map(|e| e.0);
                if ended_at.is_none_or(|at| at > pair[1].started_at + SOCKET_SLACK) {
                    violations.push(("one-out", format!("{id}: a second attempt while one was in flight")));
                }
            }
            if message.accepted_at.is_none() {
                if message.closed_unanswered && !message.attempts.is_empty() {
                    violations.push((
                        "unanswered",
                        format!("{id}: sent to an endpoint, but its client's connections were closed without a response"),
                    ));
                }
                continue;
            }
            let end = [message.ended_at, message.report.map(|r| r.0)].into_iter().flatten().min();
            match end {
                None => {
                    violations.push(("lost", format!("{id}: accepted, but neither delivered nor reported")))
                }
                Some(at) if at > self.end_due_at(message) => {
                    let late = at - self.end_due_at(message);
                    violations.push(("in-time", format!("{id}: delivered or reported {late:?} late")));
                }
                Some(_) => {}
            }
        }
        let ended = self.messages.values().filter(|m| m.ended_at.is_some()).count() as u64;
        self.counts.insert("delivered or over", ended);
        let peak =
            self.slow_start_monitors.iter().map(SlowStartMonitor::peak_percent).max().unwrap_or_default();
        // The peak over all destinations, in percent of the calls that a slow start allows.
        self.counts.insert("percent of a slow start's calls", peak);
        violations.sort();
        violations.into_iter().for_each(|(rule, description)| self.record_violation(rule, description));
    }
}
