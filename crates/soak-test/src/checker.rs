//! Checks the invariants against what clients, endpoints and the platform observed. It knows nothing of the forwarders' own
//! records.

use crate::deployment::{DRAIN_GRACE, MAX_ATTEMPTS};
use crate::observation::{AttemptOutcome, Idempotency, Report, Violation};
use crate::slow_start::SlowStart;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Slack for every time limit: what sockets and scheduling take.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// A message's end may come so long after its deadline.
const END_SLACK: Duration = Duration::from_millis(300);
/// Calls within this of a `retry_after` or an end were already in flight.
const IN_FLIGHT_SLACK: Duration = Duration::from_millis(100);
/// A forwarder owes nothing until so long after it is ready again.
const RECOVERY: Duration = Duration::from_millis(1_500);
/// A process may be held up for so long between its reading of the clock and its write: windows allow for that.
const WRITE_DELAY: Duration = Duration::from_millis(150);

struct Call {
    begun: Instant,
    endpoint: usize,
    zone: usize,
    ended: Option<(Instant, AttemptOutcome)>,
}

struct Message {
    forwarder: usize,
    destination: usize,
    idempotency: Idempotency,
    /// Its time, from its sending.
    time: Duration,
    deadline: Instant,
    accepted: Option<Instant>,
    /// Its connection was closed with no answer, by a process that was not killed.
    closed_unanswered: bool,
    calls: Vec<Call>,
    delivered: Option<Instant>,
    report: Option<(Instant, Report)>,
}

/// Where an attempt came.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget {
    pub endpoint: usize,
    pub destination: usize,
    pub zone: usize,
}

/// A pause that an endpoint asked for.
struct RetryAfter {
    since: Instant,
    until: Instant,
}

/// A time in which a forwarder is down or stalled.
#[derive(Clone)]
struct Outage {
    since: Instant,
    /// None while it lasts.
    until: Option<Instant>,
}

/// Everything that was observed in a run.
pub struct InvariantChecker {
    begun: Instant,
    messages: HashMap<String, Message>,
    /// By forwarder and endpoint: when the forwarder was notified of the drain.
    draining_since: HashMap<(usize, usize), Instant>,
    /// By forwarder and destination.
    retry_after: HashMap<(usize, usize), RetryAfter>,
    /// By forwarder: when it was down or stalled.
    unavailable: Vec<Vec<Outage>>,
    /// By destination.
    slow_starts: Vec<SlowStart>,
    /// The violations so far.
    pub violations: Vec<Violation>,
    /// Counts of what was observed, for the summary.
    pub counts: BTreeMap<&'static str, u64>,
}

impl InvariantChecker {
    pub fn new(forwarders: usize, destinations: usize) -> Self {
        InvariantChecker {
            begun: Instant::now(),
            messages: HashMap::new(),
            draining_since: HashMap::new(),
            retry_after: HashMap::new(),
            unavailable: vec![Vec::new(); forwarders],
            slow_starts: (0..destinations).map(|_| SlowStart::new()).collect(),
            violations: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    pub fn violate(&mut self, rule: &'static str, what: impl Into<String>) {
        self.violations.push(Violation { at: self.begun.elapsed(), rule, what: what.into() });
    }

    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// A client is about to send a message.
    pub fn submitted(
        &mut self,
        id: &str,
        forwarder: usize,
        destination: usize,
        idempotency: Idempotency,
        time: Duration,
    ) {
        let deadline = Instant::now() + time;
        let message = Message {
            forwarder,
            destination,
            idempotency,
            time,
            deadline,
            accepted: None,
            closed_unanswered: false,
            calls: Vec::new(),
            delivered: None,
            report: None,
        };
        self.messages.insert(id.to_owned(), message);
        self.count("submitted");
    }

    /// The client is about to send a message once more, as its kept connection was closed between two requests.
    pub fn submitted_again(&mut self, id: &str) {
        self.count("submitted again");
        if let Some(message) = self.messages.get_mut(id) {
            message.deadline = Instant::now() + message.time;
            message.closed_unanswered = false;
        }
    }

    /// The client has read that its message is accepted.
    pub fn accepted(&mut self, id: &str) {
        self.count("accepted");
        if let Some(message) = self.messages.get_mut(id) {
            message.accepted = Some(Instant::now());
        }
    }

    /// A process that was not killed has closed the client's connection with no answer: it may not have read the request.
    pub fn closed_unanswered(&mut self, id: &str) {
        self.count("connection closed");
        if let Some(message) = self.messages.get_mut(id) {
            message.closed_unanswered = true;
        }
    }

    /// An endpoint has received a complete attempt, whose first byte came at a time; returns the attempt's number.
    pub fn attempt(&mut self, id: &str, target: CallTarget, first_byte: Instant) -> Option<usize> {
        let CallTarget { endpoint, destination, zone } = target;
        let now = Instant::now();
        let mut found: Vec<(&'static str, String)> = Vec::new();
        let Some(message) = self.messages.get_mut(id) else {
            self.violate("strays", format!("`{id}` was submitted by nobody"));
            return None;
        };
        if message.destination != destination {
            found.push(("strays", format!("{id} came to another's endpoint")));
        }
        if message.calls.len() >= MAX_ATTEMPTS {
            found.push(("attempts", format!("{id}: attempt {}", message.calls.len() + 1)));
        }
        if let Some((at, report)) = message.report.filter(|r| now > r.0 + IN_FLIGHT_SLACK) {
            found.push(("after-end", format!("{id}: called {:?} after its report as {report:?}", now - at)));
        }
        let may_have_run = |c: &&Call| !matches!(c.ended, Some((_, AttemptOutcome::Rejected)));
        if let Some(first) = message.calls.iter().find(may_have_run) {
            match message.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => found.push(("repeats", format!("{id}: must not run twice"))),
                Idempotency::WithKey { window, by_zone } => {
                    if first_byte > first.begun + window + WRITE_DELAY + SOCKET_SLACK {
                        let after = first_byte - first.begun;
                        found.push(("repeats", format!("{id}: again after {after:?}, window {window:?}")));
                    }
                    if by_zone && first.zone != zone {
                        found.push(("repeats", format!("{id}: again in another zone")));
                    }
                }
            }
        }
        let forwarder = message.forwarder;
        message.calls.push(Call { begun: now, endpoint, zone, ended: None });
        let number = message.calls.len() - 1;
        if let Some(since) = self.draining_since.get(&(forwarder, endpoint)) {
            if first_byte > *since + DRAIN_GRACE + SOCKET_SLACK {
                let after = first_byte - *since;
                found.push((
                    "drains",
                    format!("{id}: to a draining endpoint {after:?} after the notification"),
                ));
            }
        }
        if let Some(pause) = self.retry_after.get(&(forwarder, destination)) {
            if first_byte > pause.since + IN_FLIGHT_SLACK + SOCKET_SLACK
                && first_byte + Duration::from_millis(1) < pause.until
            {
                found.push(("retry-after", format!("{id}: {:?} before its end", pause.until - first_byte)));
            }
        }
        self.count("calls");
        found.into_iter().for_each(|(rule, what)| self.violate(rule, what));
        Some(number)
    }

    /// An attempt has ended: answered, or its connection was closed.
    pub fn attempt_ended(&mut self, id: &str, number: usize, end: AttemptOutcome) {
        let now = Instant::now();
        let Some(message) = self.messages.get_mut(id) else { return };
        if end == AttemptOutcome::MayHaveRun {
            self.slow_starts[message.destination].failed(message.forwarder);
        }
        message.calls[number].ended.get_or_insert((now, end));
        if end == AttemptOutcome::Delivered {
            message.delivered.get_or_insert(now);
        }
    }

    /// An endpoint has sent a `retry_after` with a rejection.
    pub fn retry_after_sent(&mut self, id: &str, destination: usize, lasts: Duration) {
        let Some(forwarder) = self.messages.get(id).map(|m| m.forwarder) else { return };
        let now = Instant::now();
        let fresh = RetryAfter { since: now, until: now };
        let pause = self.retry_after.entry((forwarder, destination)).or_insert(fresh);
        let until = now + lasts;
        if until > pause.until {
            let since = if pause.until > now { pause.since } else { now };
            *pause = RetryAfter { since, until };
        }
    }

    /// The platform has received a delivery report.
    pub fn reported(&mut self, id: &str, report: Report) {
        let now = Instant::now();
        self.count("reports");
        let Some(message) = self.messages.get_mut(id) else {
            return self.violate("strays", format!("a report of `{id}`, which nobody submitted"));
        };
        let may_have_run =
            message.calls.iter().any(|c| !matches!(c.ended, Some((_, AttemptOutcome::Rejected))));
        let forbidden = match message.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::WithKey { by_zone, .. } => by_zone,
            Idempotency::NonIdempotent => true,
        };
        let before = *message.report.get_or_insert((now, report));
        if before.1 != report {
            self.violate("one-end", format!("{id}: {:?}, then {report:?}", before.1));
        }
        if report == Report::Returned && may_have_run && forbidden {
            self.violate("repeats", format!("{id}: returned though it may have run"));
        }
    }

    /// What was observed of the message that a violation names first, and of its forwarder meanwhile.
    pub fn history(&self, violation: &Violation) -> Option<String> {
        let id = violation.what.split(':').next()?;
        let message = self.messages.get(id)?;
        let sent = message.deadline - message.time;
        let mut events = vec![(sent, format!("sent, {:?}, time {:?}", message.idempotency, message.time))];
        events.extend(message.accepted.map(|at| (at, "accepted".to_owned())));
        for call in &message.calls {
            events.push((call.begun, format!("called at endpoint {}", call.endpoint)));
            events.extend(call.ended.map(|(at, outcome)| (at, format!("call ended, {outcome:?}"))));
        }
        events.extend(message.report.map(|(at, report)| (at, format!("reported, {report:?}"))));
        let outages = self.unavailable[message.forwarder].iter();
        for outage in outages.filter(|outage| outage.until.is_none_or(|until| until > sent)) {
            events.push((outage.since, format!("forwarder {} is down or stalled", message.forwarder)));
            events.extend(outage.until.map(|at| (at, "it owes again".to_owned())));
        }
        events.sort();
        let line = |(at, what): (Instant, String)| {
            format!("    {:8.3} {what}", at.saturating_duration_since(self.begun).as_secs_f64())
        };
        Some(events.into_iter().map(line).collect::<Vec<_>>().join("\n"))
    }

    /// A forwarder was notified of an endpoint's lifecycle.
    pub fn lifecycle_notified(&mut self, forwarder: usize, endpoint: usize, draining: bool) {
        if draining {
            self.draining_since.entry((forwarder, endpoint)).or_insert_with(Instant::now);
        } else {
            self.draining_since.remove(&(forwarder, endpoint));
        }
    }

    /// A destination has received a call, of one message or of several.
    pub fn call_received(&mut self, id: &str, destination: usize) {
        let Some(forwarder) = self.messages.get(id).map(|m| m.forwarder) else { return };
        if let Some(what) = self.slow_starts[destination].call(Instant::now(), forwarder) {
            self.violate("slow-start", format!("destination {destination}: {what}"));
        }
    }

    /// All endpoints of a destination go down.
    pub fn outage_begins(&mut self, destination: usize) {
        self.slow_starts[destination].outage_begins();
    }

    /// They are back, and cold.
    pub fn returns(&mut self, destination: usize) {
        self.count("returns after an outage");
        self.slow_starts[destination].returns(Instant::now());
    }

    /// A forwarder is down or stalled from now on.
    pub fn becomes_unavailable(&mut self, forwarder: usize) {
        self.unavailable[forwarder].push(Outage { since: Instant::now(), until: None });
    }

    /// A forwarder's process has died: a restart ends what it was asked to heed.
    pub fn died(&mut self, forwarder: usize) {
        self.retry_after.retain(|key, _| key.0 != forwarder);
        self.draining_since.retain(|key, _| key.0 != forwarder);
        self.slow_starts.iter_mut().for_each(|destination| destination.died(forwarder));
    }

    /// A forwarder is ready again.
    pub fn becomes_available(&mut self, forwarder: usize) {
        if let Some(outage) = self.unavailable[forwarder].last_mut() {
            outage.until = Some(Instant::now() + RECOVERY);
        }
    }

    /// Whether a forwarder was down, stalled or shutting down at some moment since a time.
    pub fn was_unavailable(&self, forwarder: usize, since: Instant) -> bool {
        let now = Instant::now();
        self.unavailable[forwarder]
            .iter()
            .any(|outage| outage.since <= now && outage.until.is_none_or(|end| end >= since))
    }

    fn due(&self, message: &Message) -> Instant {
        let due = message.deadline + END_SLACK + SOCKET_SLACK;
        let outages = self.unavailable[message.forwarder].iter();
        // An outage that reaches beyond the deadline moves the end that is owed.
        let late = outages.filter(|o| o.since <= due && o.until.is_none_or(|end| end > message.deadline));
        late.filter_map(|o| o.until).map(|end| end + END_SLACK + SOCKET_SLACK).max().unwrap_or(due).max(due)
    }

    /// Accepted messages that have no end yet and may still get one in time.
    pub fn open_messages(&self) -> usize {
        let open = |m: &&Message| m.accepted.is_some() && m.delivered.is_none() && m.report.is_none();
        let now = Instant::now();
        self.messages.values().filter(open).filter(|m| self.due(m) > now).count()
    }

    /// The run is over: every accepted message must have ended in time, and never with two attempts in flight.
    pub fn finish(&mut self) {
        let mut found: Vec<(&'static str, String)> = Vec::new();
        for (id, message) in &self.messages {
            for pair in message.calls.windows(2) {
                let over = pair[0].ended.map(|e| e.0);
                if over.is_none_or(|at| at > pair[1].begun + SOCKET_SLACK) {
                    found.push(("one-out", format!("{id}: a second attempt while one was in flight")));
                }
            }
            if message.accepted.is_none() {
                if message.closed_unanswered && !message.calls.is_empty() {
                    found.push((
                        "unanswered",
                        format!("{id}: called, and its connections closed with no answer"),
                    ));
                }
                continue;
            }
            let end = [message.delivered, message.report.map(|r| r.0)].into_iter().flatten().min();
            match end {
                None => found.push(("lost", format!("{id}: accepted, and never got an end"))),
                Some(at) if at > self.due(message) => {
                    let late = at - self.due(message);
                    found.push(("in-time", format!("{id}: its end came {late:?} late")));
                }
                Some(_) => {}
            }
        }
        let delivered = self.messages.values().filter(|m| m.delivered.is_some()).count() as u64;
        self.counts.insert("delivered", delivered);
        let peak = self.slow_starts.iter().map(SlowStart::peak_percent).max().unwrap_or_default();
        self.counts.insert("percent of a slow start's calls", peak);
        found.sort();
        found.into_iter().for_each(|(rule, what)| self.violate(rule, what));
    }
}
