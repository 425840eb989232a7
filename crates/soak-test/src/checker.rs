//! The invariants, held against what clients, endpoints and the platform saw. It knows nothing of the forwarders' own records.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

/// Every limit of time is so much longer on sockets.
const SOCKETS: Duration = Duration::from_millis(50);
/// A final answer may come so long after a message's time.
const ANSWER: Duration = Duration::from_millis(300);
/// Calls within this of the moment in which a pause was told were under way.
const UNDER_WAY: Duration = Duration::from_millis(100);
/// A forwarder owes nothing until so long after it is ready again.
const READY_AGAIN: Duration = Duration::from_millis(1_500);
/// Attempts for one message.
pub const MAX_ATTEMPTS: usize = 12;
/// Work may go to an endpoint for so long after its forwarder was told that it leaves.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// What a repeat of a message of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Anything.
    Safe,
    /// It is dropped for a while, perhaps in the zone of the first attempt only.
    Keyed { window: Duration, by_zone: bool },
    /// It must not be.
    Unsafe,
}

/// How an attempt ended, as its endpoint saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    /// Answered with 200.
    Delivered,
    /// Turned away: it never ran.
    Refused,
    /// It may have run.
    Unsure,
}

/// How a message ended, as the platform was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Report {
    Failed,
    Returned,
}

/// An invariant that does not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    pub at: Duration,
    pub rule: &'static str,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.what)
    }
}

struct Call {
    begun: Instant,
    zone: usize,
    ended: Option<(Instant, CallEnd)>,
}

struct Message {
    forwarder: usize,
    destination: usize,
    effect: Effect,
    deadline: Instant,
    taken: bool,
    calls: Vec<Call>,
    delivered: Option<Instant>,
    report: Option<(Instant, Report)>,
}

/// All that was seen.
pub struct Judge {
    begun: Instant,
    messages: HashMap<String, Message>,
    /// For each forwarder and endpoint, when it was told that it leaves.
    leaving: HashMap<(usize, usize), Instant>,
    /// For each forwarder and destination, when a pause was told and until when.
    pauses: HashMap<(usize, usize), (Instant, Instant)>,
    /// For each forwarder, the spans in which it was away or held up.
    away: Vec<Vec<(Instant, Option<Instant>)>>,
    /// What was broken.
    pub violations: Vec<Violation>,
    /// How often what was seen, for the summary.
    pub counts: BTreeMap<&'static str, u64>,
}

impl Judge {
    pub fn new(forwarders: usize) -> Self {
        Judge {
            begun: Instant::now(),
            messages: HashMap::new(),
            leaving: HashMap::new(),
            pauses: HashMap::new(),
            away: vec![Vec::new(); forwarders],
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

    /// A message is about to be handed in.
    pub fn handed_in(
        &mut self,
        id: &str,
        forwarder: usize,
        destination: usize,
        effect: Effect,
        time: Duration,
    ) {
        let deadline = Instant::now() + time;
        let message = Message {
            forwarder,
            destination,
            effect,
            deadline,
            taken: false,
            calls: Vec::new(),
            delivered: None,
            report: None,
        };
        self.messages.insert(id.to_owned(), message);
        self.count("handed in");
    }

    /// Its client has read that it is taken on.
    pub fn taken(&mut self, id: &str) {
        self.count("taken on");
        if let Some(message) = self.messages.get_mut(id) {
            message.taken = true;
        }
    }

    /// A call with a message has come whole; its first byte was seen at a time. The number of the call is given back.
    pub fn call(&mut self, id: &str, endpoint: (usize, usize, usize), first_byte: Instant) -> Option<usize> {
        let (endpoint, destination, zone) = endpoint;
        let now = Instant::now();
        let mut found: Vec<(&'static str, String)> = Vec::new();
        let Some(message) = self.messages.get_mut(id) else {
            self.violate("strays", format!("`{id}` was handed in by nobody"));
            return None;
        };
        if message.destination != destination {
            found.push(("strays", format!("{id} came to another's endpoint")));
        }
        if message.calls.len() >= MAX_ATTEMPTS {
            found.push(("attempts", format!("{id}: attempt {}", message.calls.len() + 1)));
        }
        if let Some((at, report)) = message.report.filter(|r| now > r.0 + UNDER_WAY) {
            found.push(("after-end", format!("{id}: called {:?} after {report:?} was told", now - at)));
        }
        let unsure = |c: &&Call| !matches!(c.ended, Some((_, CallEnd::Refused)));
        if let Some(first) = message.calls.iter().find(unsure) {
            match message.effect {
                Effect::Safe => {}
                Effect::Unsafe => found.push(("repeats", format!("{id}: must not run twice"))),
                Effect::Keyed { window, by_zone } => {
                    if first_byte > first.begun + window + SOCKETS {
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
        message.calls.push(Call { begun: now, zone, ended: None });
        let number = message.calls.len() - 1;
        if let Some(since) = self.leaving.get(&(forwarder, endpoint)) {
            if first_byte > *since + DRAIN_GRACE + SOCKETS {
                let after = first_byte - *since;
                found.push(("drains", format!("{id}: to a leaving endpoint {after:?} after it was told")));
            }
        }
        if let Some((told, until)) = self.pauses.get(&(forwarder, destination)) {
            if first_byte > *told + UNDER_WAY && first_byte + Duration::from_millis(1) < *until {
                found.push(("retry-after", format!("{id}: {:?} before its end", *until - first_byte)));
            }
        }
        self.count("calls");
        found.into_iter().for_each(|(rule, what)| self.violate(rule, what));
        Some(number)
    }

    /// A call is over: answered, or its connection has ended.
    pub fn call_ended(&mut self, id: &str, number: usize, end: CallEnd) {
        let now = Instant::now();
        let Some(message) = self.messages.get_mut(id) else { return };
        message.calls[number].ended.get_or_insert((now, end));
        if end == CallEnd::Delivered {
            message.delivered.get_or_insert(now);
        }
    }

    /// An endpoint has asked a forwarder for a pause.
    pub fn pause_told(&mut self, id: &str, destination: usize, lasts: Duration) {
        let Some(forwarder) = self.messages.get(id).map(|m| m.forwarder) else { return };
        let now = Instant::now();
        let told = self.pauses.entry((forwarder, destination)).or_insert((now, now));
        if now + lasts > told.1 {
            let since = if told.1 > now { told.0 } else { now };
            *told = (since, now + lasts);
        }
    }

    /// The platform was told how a message ended.
    pub fn reported(&mut self, id: &str, report: Report) {
        let now = Instant::now();
        self.count("reports");
        let Some(message) = self.messages.get_mut(id) else {
            return self.violate("strays", format!("a report of `{id}`, which nobody handed in"));
        };
        let may_have_run = message.calls.iter().any(|c| !matches!(c.ended, Some((_, CallEnd::Refused))));
        let forbidden = match message.effect {
            Effect::Safe => false,
            Effect::Keyed { by_zone, .. } => by_zone,
            Effect::Unsafe => true,
        };
        let before = *message.report.get_or_insert((now, report));
        if before.1 != report {
            self.violate("one-end", format!("{id}: {:?}, then {report:?}", before.1));
        }
        if report == Report::Returned && may_have_run && forbidden {
            self.violate("repeats", format!("{id}: given back though it may have run"));
        }
    }

    /// A forwarder was told what has become of an endpoint.
    pub fn told(&mut self, forwarder: usize, endpoint: usize, leaving: bool) {
        if leaving {
            self.leaving.entry((forwarder, endpoint)).or_insert_with(Instant::now);
        } else {
            self.leaving.remove(&(forwarder, endpoint));
        }
    }

    /// A forwarder is away or held up from now on.
    pub fn goes_away(&mut self, forwarder: usize) {
        self.away[forwarder].push((Instant::now(), None));
    }

    /// Its process has died: a restart ends what it was asked for.
    pub fn died(&mut self, forwarder: usize) {
        self.pauses.retain(|key, _| key.0 != forwarder);
        self.leaving.retain(|key, _| key.0 != forwarder);
    }

    /// It is back and ready.
    pub fn is_back(&mut self, forwarder: usize) {
        if let Some(span) = self.away[forwarder].last_mut() {
            span.1 = Some(Instant::now() + READY_AGAIN);
        }
    }

    /// It was away, or going, at some time since another.
    pub fn was_away(&self, forwarder: usize, since: Instant) -> bool {
        let now = Instant::now();
        self.away[forwarder].iter().any(|s| s.0 <= now && s.1.is_none_or(|end| end >= since))
    }

    fn due(&self, message: &Message) -> Instant {
        let due = message.deadline + ANSWER;
        let spans = self.away[message.forwarder].iter();
        // A span that reaches into the time of the answer moves it.
        let ends = spans.filter(|s| s.0 <= due && s.1.is_none_or(|end| end > message.deadline));
        ends.filter_map(|s| s.1).map(|end| end + ANSWER).max().unwrap_or(due).max(due)
    }

    /// Messages that have no end yet and may still get one in time.
    pub fn waits_for(&self) -> usize {
        let open = |m: &&Message| m.taken && m.delivered.is_none() && m.report.is_none();
        let now = Instant::now();
        self.messages.values().filter(open).filter(|m| self.due(m) > now).count()
    }

    /// The run is over: everything that was taken on must have ended in time, and never with two attempts out.
    pub fn close(&mut self) {
        let mut found: Vec<(&'static str, String)> = Vec::new();
        for (id, message) in &self.messages {
            for pair in message.calls.windows(2) {
                let over = pair[0].ended.map(|e| e.0);
                if over.is_none_or(|at| at > pair[1].begun + SOCKETS) {
                    found.push(("one-out", format!("{id}: a second attempt while one was out")));
                }
            }
            if !message.taken {
                continue;
            }
            let end = [message.delivered, message.report.map(|r| r.0)].into_iter().flatten().min();
            match end {
                None => found.push(("lost", format!("{id}: taken on, and never got an end"))),
                Some(at) if at > self.due(message) => {
                    let late = at - self.due(message);
                    found.push(("in-time", format!("{id}: its end came {late:?} late")));
                }
                Some(_) => {}
            }
        }
        let delivered = self.messages.values().filter(|m| m.delivered.is_some()).count() as u64;
        self.counts.insert("delivered", delivered);
        found.sort();
        found.into_iter().for_each(|(rule, what)| self.violate(rule, what));
    }
}
