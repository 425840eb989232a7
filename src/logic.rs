//! Every decision of the courier. Its types, events and actions are in `src/api.rs`.
//!
//! The ordinary path: a closed/open/half breaker for each destination (each route where they are apart), and
//! a free slot for the waiting destination with the least recent slot time. `docs/design.md`: what departs.

use crate::api::*;
use crate::measured::{Measured, Told};
use crate::routes::Timing;
use crate::turns::{Turn, Turns};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const NEVER: Micros = Micros::MAX;

/// FailureThreshold: two in a row; with a reset last (maybe the network's) three. SuccessThreshold is one.
const FAILURE_THRESHOLD: u32 = 2;
/// Timeout: from opening to NextAttempt. Shorter, trials cost more than the wait; longer, outages last.
const TIMEOUT: Micros = 2 * SECOND;
/// NextAttempt is the courier's own place in rounds of that length, this part of one away at least.
const SOONEST: Micros = TIMEOUT / 2;
/// Part of the fail-back budget that is planned for; the rest covers wrong weights and uneven shares.
const COLD_PACE: f64 = 0.95;
/// A courier may use this multiple of its even share of a limit: the others rarely all need theirs at once.
const SPREAD: f64 = 1.5;
/// A pace that all couriers together keep even if their limit is less: messages come unevenly.
const LONE_PACE: f64 = 12.0;
/// A paced destination may get so much of its rate in one go.
const BURST: f64 = 0.75 * SECOND as f64;
/// Where no limit is told, a refusal suspends LONE_PACE for this many pauses.
const CRAMMED: Micros = 10;
/// A refusal cuts the pace to this; each success raises it by the second figure; within the range. A courier
/// that calls less often than the first pause meets fewer refusals, and takes each for so many more.
const TRIM_CUT: f64 = 0.85;
const TRIM_GAIN: f64 = 1.01;
const TRIM_RANGE: (f64, f64) = (0.3, 3.0);
const CLUMP: f64 = 3.0 * SECOND as f64; // Those refused while all was well spread over so much at most
/// After a refusal that tells no wait: the first pause, doubled by each further one up to the longest.
const BACKOFF: (Micros, Micros) = (200 * MS, 1600 * MS);
/// Below this share of a reported limit left, a courier keeps to its even share.
const LOW_LEFT: f64 = 0.3;
/// Latency assumed before anything was seen, and the weight of a new sample.
const FIRST_LATENCY: f64 = 400.0 * MS as f64;
const LATENCY_GAIN: f64 = 0.1;
/// A call unanswered for this multiple of the mean, and at least so long, makes its endpoint suspect; an
/// unsafe one is lost when it is called off, so it gets the last figure times the patience.
const SUSPECT: (f64, Micros, f64) = (4.0, 400 * MS, 3.0);
/// A call is called off after these multiples of the patience: to make room, and where it hangs alone.
const CALL_OFF: (f64, f64) = (1.2, 1.5);
/// A call is abandoned after this multiple of the mean, within the range; an unsafe one in twice that.
const CUT: (f64, Micros, Micros) = (16.0, 2400 * MS, 16 * SECOND);
/// Loss on reused connections beyond that on fresh ones from which idle ones are given back; gain; fading.
const STALE: (f64, f64, f64) = (0.2, 0.1, 0.995);
/// After a connection that was not made: what each later call leaves of the memory, and where it ends.
const CROWDED: (f64, f64) = (0.95, 0.2);
/// What a call without a connection loses of its worth; over a handshake's fee, idle ones are given back.
const UNMADE_COSTS: f64 = 0.125;
/// Part of `max_open` kept free for what comes in within one batch.
const RESERVE: usize = 16;
/// With less time than this left, no delivery is to be hoped for.
const HOPELESS: Micros = 60 * MS;
/// How long an unanswered or broken request for the list rests, as parts of the time the rule allows.
const ASK_AGAIN: (Micros, Micros) = (4, 20);
/// The shortest and longest queueing time looked at when messages of a destination are ranked.
const HORIZON: (Micros, Micros) = (300 * MS, 30 * SECOND);
const GRAIN: f64 = 1e9; // worths are compared in whole parts, so that nothing hangs on the last bit
const PRESENT: f64 = 0.01; // weight of present worth where waiting costs the same; more cost lending 0.04

#[derive(Clone, Copy, PartialEq, Eq)]
enum Gate {
    Go,
    Trial,
    Until(Micros),
}

/// The record kept for a destination, a route apart or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Breaker {
    status: Status,
    failure_count: u32,
    next_attempt: Micros,
    trial: bool, // The one trial of a half breaker is out
    last_ok: Micros,
    ok_sent: Micros, // The last send that was answered: what went before it has no dead endpoint to wait for
    outage: bool,    // Failures were seen that may be an outage, and no success since
    gap: Micros,     // From the last opening to NextAttempt
    spread: f64, // Seconds from one call to the next by which all couriers' calls at its return fit together
    delivered: Measured, // Calls that succeeded while all was well
    asked: Measured, // Messages that came for it
    weight: f64,
    cold_since: Option<Micros>,
    wait_until: Micros, // Told wait, or the pause after a refusal without one
    backoff: Micros,
    paused_at: Micros,
    trouble_since: Option<Micros>, // The first failure or refusal since the last success
    tokens: f64,
    refilled: Micros,
    trim: f64,
    limit: Told,
    latency: Option<f64>,
}

impl Breaker {
    fn new(now: Micros) -> Self {
        let known = Breaker { last_ok: now, refilled: now, backoff: BACKOFF.0, ..Breaker::default() };
        let asked = Measured { at: now, ..Measured::default() };
        Breaker { tokens: 2.0, trim: 1.0, asked, ..known }
    }

    fn gate(&mut self, now: Micros) -> Gate {
        if now < self.wait_until {
            return Gate::Until(self.wait_until);
        }
        if self.status == Status::Open && now >= self.next_attempt {
            (self.status, self.trial) = (Status::Half, false);
        }
        match self.status {
            Status::Closed => Gate::Go,
            Status::Open => Gate::Until(self.next_attempt),
            Status::Half if self.trial => Gate::Until(NEVER),
            Status::Half => Gate::Trial,
        }
    }

    /// The breaker and, but for the first trial, the pace.
    fn pass(&mut self, now: Micros, s: &Settings) -> Gate {
        let gate = self.gate(now);
        if !(gate == Gate::Go || gate == Gate::Trial && !self.outage) {
            return gate;
        }
        match self.paced(now, s) {
            Gate::Go => gate,
            until => until,
        }
    }

    /// Failed or in an outage, and not yet known to be well again.
    fn suspect(&self) -> bool {
        self.failure_count > 0 || self.outage
    }

    fn succeed(&mut self, now: Micros, s: &Settings) {
        let well = self.trouble_since.unwrap_or(now).saturating_sub(self.last_ok);
        self.delivered.count(1.0, well, s.cold);
        self.failure_count = 0;
        self.last_ok = now;
        self.trouble_since = None;
        self.backoff = BACKOFF.0;
        self.trim = (self.trim * TRIM_GAIN).min(TRIM_RANGE.1);
        if self.outage {
            self.outage = false;
            // It came back at some time since the last trial, half way on average.
            self.cold_since = Some(now - self.gap.saturating_sub(TIMEOUT) / 2);
            self.trim = self.trim.min(1.0);
            self.tokens = self.tokens.min(0.0); // BURST of the cold pace is saved up, none by a large fleet
            self.refilled = if self.gap > TIMEOUT * 5 / 4 { now } else { self.refilled };
        }
        if self.status == Status::Open {
            self.next_attempt = self.next_attempt.min(now);
        } else if self.status == Status::Half {
            self.status = Status::Closed;
        }
    }

    fn fail(&mut self, now: Micros, trial: bool, s: &Settings, turn: Turn, reset: bool) {
        let since = *self.trouble_since.get_or_insert(now);
        self.failure_count += 1;
        let threshold = FAILURE_THRESHOLD + u32::from(reset);
        let closed = self.status == Status::Closed && self.failure_count >= threshold;
        // In a large fleet second calls are as many as first ones, and a returning destination has them all
        // at once (i105e10, h5b9e5b, h27bdc7): one that seldom calls takes a turn first. Also against short
        // jams; a stray loss there costs it that turn.
        if self.status == Status::Closed && !closed && self.share(now, s) * (TIMEOUT as f64) < SECOND as f64 {
            let rest = turn.again(self.round(now, TIMEOUT, s), 0);
            self.wait_until = self.wait_until.max(now + rest);
            (self.outage, self.gap) = (true, rest);
        }
        if closed || self.status == Status::Half && trial {
            self.status = Status::Open;
            self.outage = true;
            let round = self.round(now, now - since + TIMEOUT, s).max(TIMEOUT as f64);
            self.gap = turn.again(round, SOONEST);
            self.next_attempt = now + self.gap;
        }
    }

    /// The time in which each courier may call once, so that the calls of all that have met trouble for that
    /// age fit: as many as messages came in it, but not more than there are.
    fn round(&mut self, now: Micros, age: Micros, s: &Settings) -> f64 {
        let age = age as f64 / SECOND as f64;
        self.spread = age.max(self.base(s).map_or(0.0, |b| 1.0 / b)).min(1.0 / self.share(now, s));
        self.spread / (s.cold_from * s.fall_multiple * COLD_PACE) * SECOND as f64
    }

    /// Called back: it was out by the list's word and may have been restarted meanwhile.
    fn return_cold(&mut self, now: Micros, s: &Settings) {
        self.round(now, TIMEOUT, s);
        (self.cold_since, self.tokens, self.refilled) = (Some(now), self.tokens.min(1.0), now);
    }

    /// A refusal as full; a failure only if nothing else came for one Timeout.
    fn refused(&mut self, now: Micros, sent: Micros, told: bool, trial: bool, s: &Settings, turn: Turn) {
        let since = *self.trouble_since.get_or_insert(now);
        // Refusals of calls that were out together count once. A large fleet would come again at once: each
        // takes a turn within the time in which all may call once, a longer one if refused again.
        if sent >= self.paused_at {
            self.paused_at = now;
            let period = self.period(s) * SECOND as f64;
            let stands_for = (period / BACKOFF.0 as f64).max(1.0);
            self.trim = (self.trim * TRIM_CUT.powf(stands_for)).max(TRIM_RANGE.0.powf(stands_for));
            let pause = if told { 0 } else { self.backoff };
            let round = if !self.outage && self.cold_since.is_none() && since == now {
                period.min(CLUMP)
            } else {
                self.round(now, now - since + TIMEOUT / 2, s)
            };
            let turns = stands_for > 1.0 && 2.0 * period > pause as f64;
            let wait = if turns { turn.once(round) } else { pause };
            self.wait_until = self.wait_until.max(now) + wait;
            // What a pause saves up would go all at once at its end, and be refused again.
            if !self.outage {
                (self.tokens, self.refilled) = (self.tokens.min(1.0), self.wait_until);
            }
            self.backoff = if told { self.backoff } else { (2 * self.backoff).min(BACKOFF.1) };
        }
        if trial || now - since >= TIMEOUT {
            self.fail(now, trial, s, turn, false);
        }
    }

    /// Share of its capacity that a returning destination can be counted on to have; None when warm.
    fn cold_share(&mut self, now: Micros, s: &Settings) -> Option<f64> {
        if self.outage {
            return Some(s.cold_from);
        }
        self.cold_since = self.cold_since.filter(|t| now < t + s.cold);
        let since = self.cold_since?;
        Some(s.cold_from + (1.0 - s.cold_from) * (now - since) as f64 / s.cold as f64)
    }

    /// Calls a second that all couriers together may send, as far as it is told.
    fn base(&self, s: &Settings) -> Option<f64> {
        let told = self.limit.held.map(|l| l.rate).filter(|r| *r > 0.0);
        told.or(Some(self.weight).filter(|w| *w > 0.0 && s.weights != WeightSource::Off))
    }

    /// Seconds in which each courier may make one call.
    fn period(&self, s: &Settings) -> f64 {
        self.base(s).map_or(0.0, |b| s.couriers as f64 / b)
    }

    /// This courier's part of that: what it has had delivered while all was well, which its destination can
    /// take at any spread of the traffic over couriers, or the even part if that is told and more.
    fn share(&self, now: Micros, s: &Settings) -> f64 {
        let well = self.trouble_since.unwrap_or(now).saturating_sub(self.last_ok);
        let own = self.delivered.per_second(well, TIMEOUT);
        self.base(s).map_or(own, |b| own.max(b / s.couriers as f64))
    }

    /// Calls a second that this courier may send.
    fn rate(&mut self, now: Micros, s: &Settings) -> f64 {
        let known = self.limit.held.filter(|l| l.rate > 0.0);
        // Refusals trim what a courier had beyond its even part of what is told: that part is its own.
        let even = self.base(s).map_or(0.0, |b| b / s.couriers as f64);
        if let Some(share) = self.cold_share(now, s) {
            return share * s.fall_multiple * COLD_PACE * (self.trim.min(1.0) / self.spread).max(even);
        }
        let crammed = self.trim < 1.0 && (known.is_some() || now < self.paused_at + CRAMMED * self.backoff);
        let least = if crammed { 0.0 } else { LONE_PACE / self.base(s).map_or(3.0, |_| s.couriers as f64) };
        let spread = if known.is_some_and(|l| l.left < LOW_LEFT) { 1.0 } else { SPREAD };
        let wanted = self.asked.count.min(1.0) * self.asked.per_second(now - self.asked.at, TIMEOUT);
        ((self.share(now, s).max(wanted) * spread).max(least) * self.trim).max(even * COLD_PACE)
    }

    /// When the pace allows the next call.
    fn paced(&mut self, now: Micros, s: &Settings) -> Gate {
        let per_us = self.rate(now, s) / SECOND as f64;
        let most = (per_us * BURST).max(1.0);
        self.tokens = (self.tokens + per_us * now.saturating_sub(self.refilled) as f64).min(most);
        self.refilled = now;
        let next = now.saturating_add(((1.0 - self.tokens).max(0.0) / per_us).ceil() as Micros);
        if self.tokens >= 1.0 - 1e-6 {
            Gate::Go
        } else {
            Gate::Until(next)
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Endpoint {
    entry: Entry,
    breaker: Breaker,
    last_used: Micros,
    reusable: bool, // The last call here was answered, so an idle connection is there to be used again
}

#[derive(Default, Serialize, Deserialize)]
struct Destination {
    apart: bool,
    kind: Option<KindId>, // Once the list has named an endpoint
    per_call: usize,
    endpoints: Vec<EndpointId>,
    breaker: Breaker,
    waiting: Vec<MessageId>,
    last_slot: u64, // Order in which slots were given; the least goes first
}

#[derive(Default, Serialize, Deserialize)]
struct Message {
    class: ClassId,
    worth: f64,
    key: Option<OrderKey>,
    destination: DestinationId,
    born: Micros,
    deadline: Micros,
    attempts: u32,
    may_have_run: Option<(Micros, Option<ZoneId>)>, // When and where the first such attempt was sent
    out: Option<(u32, u64)>,                        // The attempt that is out, and its call
    sent_zone: ZoneId,
    over: bool,
    rest_until: Micros,         // The pause that its route sets before a further attempt
    avoid: Option<EndpointId>,  // Where the attempt was cut that a copy is to follow elsewhere
    last_until: Option<Micros>, // Its end, fixed once the attempt is out that lasts up to it
}

#[derive(Default, Serialize, Deserialize)]
struct Call {
    endpoint: EndpointId,
    destination: DestinationId,
    sent: Micros,
    trial: bool,
    parts: Vec<(MessageId, u32)>,
    judged: bool,
    reused: Option<bool>, // Whether it went out on a connection used before; None if that cannot be told
    called_off: bool,
}

#[derive(Default, Serialize, Deserialize)]
struct KeyLine {
    queue: VecDeque<MessageId>,
    rest_until: Micros,
}

type Destinations = BTreeMap<DestinationId, Destination>;

/// The decisions of one sender. Instances share nothing; the same events give the same actions.
#[derive(Default, Serialize, Deserialize)]
pub struct Courier {
    s: Settings,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: Destinations,
    messages: BTreeMap<MessageId, Message>,
    calls: BTreeMap<u64, Call>,
    lines: BTreeMap<OrderKey, KeyLine>,
    buckets: Vec<(f64, Micros)>, // For each tenant, what is left of its share, and when that was reckoned
    open: usize,
    latency: f64,
    paces: Vec<f64>, // For each class, how long a call lasts as a multiple of its endpoint's mean
    crowded: Vec<(f64, f64)>, // For each kind: share of calls that got no connection; memory that most did
    lost: [f64; 2],  // Share of calls unanswered on fresh and on reused connections
    next_call: u64,
    next_slot: u64,
    subscribed: bool,
    ask_at: Micros,
    armed: Option<Micros>,
    wake: Micros,
    turns: Turns,
    actions: Vec<Action>,
}

impl Courier {
    /// A courier that knows nothing yet. The seed spreads its trials; give each courier its own.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let buckets = vec![(f64::MAX, 0); settings.tenants.len()];
        let crowded = vec![(0.0, 0.0); settings.kinds.len()];
        let paces = vec![1.0; settings.classes.len()];
        let known = Courier { s: settings, buckets, crowded, paces, ..Courier::default() };
        Ok(Courier { latency: FIRST_LATENCY, turns: Turns::new(seed), ..known })
    }

    /// Takes a batch of events, then makes one dispatch pass.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.wake = NEVER;
        self.armed = self.armed.filter(|t| *t > now);
        for event in events {
            self.take(now, event);
        }
        self.ask(now);
        self.release(now);
        self.sweep(now);
        self.shed(now);
        self.dispatch(now);
        if self.wake != NEVER && self.armed.is_none_or(|t| self.wake < t) {
            let at = self.wake.max(now + 1);
            self.armed = Some(at);
            self.actions.push(Action::Timer { delay: at - now, token: at });
        }
        actions.append(&mut self.actions);
    }

    /// What operators are shown of each destination; of routes apart, the worst.
    pub fn shown(&self, now: Micros) -> impl Iterator<Item = Shown> + '_ {
        self.destinations.iter().map(move |(id, d)| {
            let apart = d.endpoints.iter().filter(|_| d.apart).filter_map(|e| self.endpoints.get(e));
            let all = apart.map(|e| &e.breaker).chain([&d.breaker]);
            let b = all.max_by_key(|b| b.status).unwrap_or(&d.breaker);
            let out = self.calls.values().filter(|c| c.destination == *id).count();
            let (held, wait, cold) =
                (d.waiting.len(), b.wait_until.saturating_sub(now), b.cold_since.is_some());
            let (destination, status, latency, limit) = (*id, b.status, b.latency, b.limit.held);
            Shown { destination, status, held, out, wait, cold, latency, limit }
        })
    }

    fn wake_at(&mut self, at: Micros) {
        self.wake = self.wake.min(at);
    }

    fn take(&mut self, now: Micros, event: &Event) {
        match event {
            Event::List(news) => self.take_list(now, news),
            Event::Settings(settings) => self.s = (**settings).clone(),
            Event::Message(m) => self.take_message(now, m),
            Event::Result { id, attempt, endpoint, outcome, elapsed, ended, report } => {
                self.hear(now, *endpoint, *outcome, *report);
                self.take_result(now, (*id, *attempt), *outcome, *elapsed, *ended);
            }
            Event::Wait { endpoint, wait } => self.hear(now, *endpoint, Outcome::Full(Some(*wait)), None),
            Event::Withdrawn { id } => self.end(*id),
            Event::Started { .. } | Event::Probed { .. } | Event::Timer { .. } => {}
        }
    }

    fn take_list(&mut self, now: Micros, news: &ListNews) {
        let (entries, complete) = match news {
            ListNews::Broken => {
                self.subscribed = false;
                self.ask_at = now + self.s.must_ask_in / ASK_AGAIN.1;
                return;
            }
            ListNews::Patch(e) => (e, false),
            ListNews::Whole(e) | ListNews::Stale(e) => (e, true),
        };
        self.subscribed |= !matches!(news, ListNews::Stale(_));
        if complete {
            // What is still there is listed again just below.
            self.endpoints.values_mut().for_each(|e| e.entry.lifecycle = Lifecycle::Gone);
        }
        for e in entries {
            let kind = self.s.kinds.get(e.kind.0);
            let d = destination(&mut self.destinations, now, e.destination);
            d.apart = kind.is_some_and(|k| k.apart);
            d.per_call = kind.map_or(1, |k| k.per_call);
            d.kind = Some(e.kind);
            if !d.endpoints.contains(&e.endpoint) {
                d.endpoints.push(e.endpoint);
                d.endpoints.sort();
            }
            let new =
                || Endpoint { entry: e.clone(), breaker: Breaker::new(now), last_used: 0, reusable: false };
            let at = |o: &EndpointId| self.endpoints.get(o).map_or(Lifecycle::Gone, |o| o.entry.lifecycle);
            let alone = !d.endpoints.iter().any(|o| *o != e.endpoint && at(o) == Lifecycle::Listed);
            let back = at(&e.endpoint) == Lifecycle::Draining && e.lifecycle == Lifecycle::Listed;
            let ep = self.endpoints.entry(e.endpoint).or_insert_with(new);
            ep.entry = e.clone();
            d.breaker.weight = if e.weight > 0.0 && e.weight.is_finite() { e.weight } else { 0.0 };
            ep.breaker.weight = d.breaker.weight / if d.apart { 1.0 } else { d.endpoints.len() as f64 };
            if back {
                ep.breaker.return_cold(now, &self.s);
                [&mut d.breaker].into_iter().filter(|_| alone).for_each(|b| b.return_cold(now, &self.s));
            }
        }
        // What is gone is forgotten, but for a told wait (rule 6).
        let kept = |e: &Endpoint| e.entry.lifecycle != Lifecycle::Gone || now < e.breaker.wait_until;
        self.endpoints.retain(|_, e| kept(e));
        self.destinations.values_mut().for_each(|d| d.endpoints.retain(|e| self.endpoints.contains_key(e)));
        // A destination without endpoints is kept while it is in trouble or cold (rule 4).
        let idle = |d: &Destination| d.endpoints.is_empty() && d.waiting.is_empty() && !d.breaker.suspect();
        self.destinations.retain(|_, d| !idle(d) || d.breaker.cold_since.is_some());
    }

    fn take_message(&mut self, now: Micros, m: &NewMessage) {
        if self.messages.contains_key(&m.id) || m.class.0 >= self.s.classes.len() {
            return;
        }
        let class = &self.s.classes[m.class.0];
        let deadline = now.saturating_add(m.time_left);
        // Less time left than the aim: wanted only for so long, and no repeat unless it says so.
        let first = !m.orphan && !m.again && (self.s.marks_retry || m.time_left <= class.aim);
        let born = if first { now } else { deadline.saturating_sub(class.deadline) };
        let mut worth = class.worth;
        if let Some(tenant) = m.tenant.filter(|t| t.0 < self.buckets.len()) {
            let per_us = self.s.tenants[tenant.0].quota_per_s / self.s.couriers as f64 / SECOND as f64;
            let b = &mut self.buckets[tenant.0];
            *b = ((b.0 + per_us * (now - b.1) as f64).min(1.0 + per_us * SECOND as f64), now);
            if b.0 >= 1.0 {
                b.0 -= 1.0;
            } else {
                worth *= self.s.over_share_worth;
            }
        }
        // A dead courier's keyed message counts as sent when first handed in, unless its journal tells more.
        let may_have_run = (m.orphan && class.effect == Effect::Keyed).then_some((born, None));
        let may_have_run = m.first.map(|(at, zone)| (at, Some(zone))).or(may_have_run);
        let key = m.key.filter(|_| class.ordered);
        if let Some(k) = key {
            self.lines.entry(k).or_default().queue.push_back(m.id);
        }
        let d = destination(&mut self.destinations, now, m.destination);
        d.waiting.push(m.id);
        let part = if d.apart { 1.0 / d.endpoints.len().max(1) as f64 } else { 1.0 };
        let longest = self.s.cold;
        let asked = |b: &mut Breaker| {
            b.asked.count(part, now - b.asked.at, longest);
            b.asked.at = now;
        };
        asked(&mut d.breaker);
        for e in &d.endpoints {
            self.endpoints.get_mut(e).into_iter().for_each(|e| asked(&mut e.breaker));
        }
        let known =
            Message { class: m.class, worth, key, born, deadline, may_have_run, ..Message::default() };
        let (destination, attempts) = (m.destination, m.attempts);
        self.messages.insert(m.id, Message { destination, attempts, ..known });
        self.open += 1;
    }

    /// What any answer tells of its limit and of a wait. Rule 6: a told wait binds in any state, and each
    /// part of a call may tell its own. One millisecond more makes up for what was cut off.
    fn hear(&mut self, now: Micros, id: EndpointId, outcome: Outcome, report: Option<LimitReport>) {
        for b in self.records(id) {
            b.limit.hear(report);
            if let Outcome::Full(Some(wait)) = outcome {
                b.wait_until = b.wait_until.max(now.saturating_add(wait + MS));
            }
        }
    }

    /// The records that an outcome at an endpoint counts for: its own and, unless routes are apart, that of
    /// its destination.
    fn records(&mut self, id: EndpointId) -> impl Iterator<Item = &mut Breaker> {
        let e = self.endpoints.get_mut(&id);
        let of = e.as_ref().map(|e| e.entry.destination);
        let d = of.and_then(|d| self.destinations.get_mut(&d)).filter(|d| !d.apart);
        e.map(|e| &mut e.breaker).into_iter().chain(d.map(|d| &mut d.breaker))
    }

    fn take_result(&mut self, now: Micros, of: (MessageId, u32), outcome: Outcome, took: Micros, end: bool) {
        let (id, attempt) = of;
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some((_, number)) = m.out.filter(|o| o.0 == attempt) else { return };
        m.out = None;
        let (class, unsure) = (m.class.0, unsure(outcome));
        let (mut sent, mut endpoint) = (now, None);
        if let Some(call) = self.calls.get_mut(&number) {
            (sent, endpoint) = (call.sent, Some(call.endpoint));
            call.parts.retain(|p| p.0 != id);
            let (endpoint, trial, first, reused) = (call.endpoint, call.trial, !call.judged, call.reused);
            let (to, gone) = (call.destination, !self.endpoints.contains_key(&endpoint));
            call.judged = true;
            if call.parts.is_empty() {
                self.calls.remove(&number);
            }
            if let (Outcome::Full(Some(wait)), true) = (outcome, gone) {
                // The endpoint has left since; what it told binds its destination, unless routes are apart.
                let d = destination(&mut self.destinations, now, to);
                let until = if d.apart { 0 } else { now.saturating_add(wait + MS) };
                d.breaker.wait_until = d.breaker.wait_until.max(until);
            }
            if first {
                let answered = self.endpoints.get(&endpoint).filter(|_| outcome == Outcome::Ok);
                let ratio = answered.map(|e| (took as f64 / self.mean_latency(e)).min(SUSPECT.0));
                let pace = &mut self.paces[class];
                *pace += LATENCY_GAIN * (ratio.unwrap_or(*pace) - *pace);
                self.judge(now, endpoint, outcome, (sent, trial), took);
                self.learn_connection(endpoint, outcome, reused);
            }
        }
        let m = self.messages.get_mut(&id).unwrap();
        if (unsure || outcome == Outcome::Error) && m.may_have_run.is_none() {
            m.may_have_run = Some((sent, Some(m.sent_zone)));
        }
        if let Some(line) = m.key.filter(|_| unsure).and_then(|k| self.lines.get_mut(&k)) {
            line.rest_until = line.rest_until.max(now + self.s.key_rest);
        }
        if m.over {
            self.bury(id);
        } else if end || outcome == Outcome::Ok {
            self.end(id);
        } else {
            let timing = self.timing(&self.messages[&id]);
            let m = self.messages.get_mut(&id).unwrap();
            m.last_until = m.last_until.filter(|_| outcome == Outcome::TimedOut);
            if outcome != Outcome::Moot {
                let cut = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
                m.rest_until = timing.next_attempt(m.attempts, sent, now, cut);
                m.avoid = endpoint.filter(|_| cut && timing.second_copy.is_some());
            }
            destination(&mut self.destinations, now, m.destination).waiting.push(id);
        }
    }

    /// What our own file says of a message's attempts.
    fn timing(&self, m: &Message) -> Timing {
        let kind = |d| self.destinations.get(&d).and_then(|d: &Destination| d.kind);
        let plan = self.s.routes.as_ref();
        plan.map_or(Timing::default(), |p| p.timing(m.destination, kind(m.destination), m.class))
    }

    /// The time at which a message is over; not put off any more once its last attempt has run up to it.
    fn end_of(&self, m: &Message) -> Micros {
        let end = self.timing(m).end(m.born, m.deadline);
        m.last_until.map_or(end, |t| end.min(t))
    }

    fn judge(&mut self, now: Micros, id: EndpointId, outcome: Outcome, call: (Micros, bool), took: Micros) {
        let to = self.endpoints.get(&id).map_or(0, |e| e.entry.destination.0);
        let turn = self.turns.at(now.saturating_add(self.s.ahead), self.s.number, to);
        let (sent, trial) = call;
        let (s, all, took) = (std::mem::take(&mut self.s), self.latency, took as f64);
        let mut log = Vec::new();
        for b in self.records(id) {
            b.trial &= !trial;
            let before = b.status;
            b.ok_sent = b.ok_sent.max(if outcome == Outcome::Ok { sent } else { 0 });
            // What was sent later was answered: its connection is dead or its work long, not the endpoint.
            let alone = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && sent < b.ok_sent;
            match outcome {
                _ if alone => {}
                Outcome::Ok => b.succeed(now, &s),
                Outcome::Full(told) => b.refused(now, sent, told.is_some(), trial, &s, turn),
                // A connection that was dead already says nothing of the destination; the next call does.
                Outcome::Moot | Outcome::Stale => {}
                _ => b.fail(now, trial, &s, turn, outcome == Outcome::Reset),
            };
            let mean = b.latency.unwrap_or(all);
            if outcome == Outcome::Ok || outcome == Outcome::TimedOut && took > mean && !alone {
                b.latency = Some(mean + LATENCY_GAIN * (took - mean));
            }
            if before != b.status && b.status != Status::Half {
                let (state, count) = (b.status, b.failure_count);
                log.push(format!("breaker {state:?}: at {} failures {count}: {outcome:?}", id.0));
            }
        }
        self.s = s;
        self.actions.extend(log.pop().map(Action::Log));
        if outcome == Outcome::Ok {
            self.latency += LATENCY_GAIN / 4.0 * (took - all);
        }
    }

    /// Nothing more is owed for a message.
    fn end(&mut self, id: MessageId) {
        let Some(m) = self.messages.get_mut(&id).filter(|m| !m.over) else { return };
        m.over = true;
        self.open -= 1;
        self.bury(id);
    }

    /// Guards against idle connections that die unnoticed (a firewall, a partner that drops them): calls on
    /// reused ones go unanswered far more often. And against endpoints whose connections are all taken by
    /// the idle ones of many couriers: once one was not made, those of that kind are given back for a while.
    fn learn_connection(&mut self, id: EndpointId, outcome: Outcome, reused: Option<bool>) {
        let answered = matches!(outcome, Outcome::Ok | Outcome::Full(_) | Outcome::Error);
        // One that breaks at once costs no more than the next call: nothing is to be learnt from it.
        let reused = reused.filter(|_| outcome != Outcome::Stale);
        if let Some(reused) = reused.filter(|_| answered || unsure(outcome)) {
            let share = &mut self.lost[usize::from(reused)];
            *share += STALE.1 * (f64::from(!answered) - *share);
            if answered && !reused {
                self.lost[1] *= STALE.2;
            }
        }
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.reusable = answered;
        let Some((share, level)) = self.crowded.get_mut(e.entry.kind.0) else { return };
        let unmade = outcome == Outcome::ConnectFailed;
        *share += STALE.1 * (f64::from(unmade) - *share);
        let crowded = unmade && (*share * UNMADE_COSTS > self.s.handshake_fee || *level > CROWDED.1);
        *level = if crowded { 1.0 } else { *level * CROWDED.0 };
        if *level > CROWDED.1 && !self.calls.values().any(|c| c.endpoint == id) {
            e.reusable = false;
            self.actions.push(Action::CloseIdle { endpoint: id });
        }
    }

    /// Forgets a message that is over once none of its attempts is out; its key's next one has the turn.
    fn bury(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id) else { return };
        if let Some(d) = self.destinations.get_mut(&m.destination) {
            d.waiting.retain(|w| *w != id);
        }
        if m.out.is_some() {
            return;
        }
        if let Some(line) = m.key.and_then(|k| self.lines.get_mut(&k)) {
            line.queue.retain(|w| *w != id);
        }
        self.messages.remove(&id);
    }

    fn ask(&mut self, now: Micros) {
        if !self.s.ask_for_list || self.subscribed {
            return;
        }
        if now >= self.ask_at {
            self.ask_at = now + self.s.must_ask_in / ASK_AGAIN.0;
            self.actions.push(Action::Watch);
        }
        self.wake_at(self.ask_at);
    }

    /// Gives the final answer to a message that is given up: the one place that refuses or fails (rule 2:
    /// refused only if no attempt may have run, or if it is safe to repeat).
    fn give_up(&mut self, now: Micros, id: MessageId) {
        let Some(m) = self.messages.get(&id).filter(|m| !m.over && m.out.is_none()) else { return };
        if m.may_have_run.is_none() || self.effect(id) == Effect::Safe {
            let wait = self.expected_wait(now, m.destination).min(self.s.max_retry_after);
            let retry_after = (self.s.retry_after && wait > 0).then_some(wait);
            self.actions.push(Action::Refuse { id, retry_after });
        } else {
            self.actions.push(Action::Fail { id });
        }
        self.end(id);
    }

    /// Ends what can no longer be delivered, at once.
    fn sweep(&mut self, now: Micros) {
        self.lines.retain(|_, l| !l.queue.is_empty() || now < l.rest_until);
        let (mut lost, mut wake) = (Vec::new(), NEVER);
        for (id, m) in self.messages.iter().filter(|(_, m)| !m.over && m.out.is_none()) {
            let end = self.last_send(m);
            let blocked = self.destinations.get(&m.destination).map_or(0, |d| self.blocked_until(d));
            if now >= end || blocked >= end || m.attempts >= self.timing(m).most(self.s.max_attempts) {
                lost.push(*id);
            } else {
                let rest = m.key.and_then(|k| self.lines.get(&k)).map_or(0, |l| l.rest_until);
                let rest = rest.max(m.rest_until);
                wake = wake.min(if rest > now { rest.min(end) } else { end });
            }
        }
        self.wake_at(wake);
        for id in lost {
            self.give_up(now, id);
        }
    }

    /// The time up to which a message may still be sent.
    fn last_send(&self, m: &Message) -> Micros {
        let class = &self.s.classes[m.class.0];
        let end = self.end_of(m).saturating_sub(HOPELESS + 2 * self.s.granularity);
        match (class.effect, m.may_have_run) {
            (_, None) | (Effect::Safe, _) => end,
            (Effect::Keyed, Some((t, _))) => {
                end.min(t + class.memory_span.saturating_sub(self.s.granularity))
            }
            (Effect::Unsafe, Some(_)) => 0,
        }
    }

    /// Until when nothing at all can go to a destination.
    fn blocked_until(&self, d: &Destination) -> Micros {
        let of = |b: &Breaker| b.wait_until.max(if b.status == Status::Open { b.next_attempt } else { 0 });
        if d.apart {
            let known = d.endpoints.iter().filter_map(|e| self.endpoints.get(e));
            let listed = known.filter(|e| e.entry.lifecycle == Lifecycle::Listed);
            listed.map(|e| of(&e.breaker)).min().unwrap_or(0)
        } else {
            of(&d.breaker)
        }
    }

    /// A guess of how long a new message for a destination would wait.
    fn expected_wait(&self, now: Micros, id: DestinationId) -> Micros {
        let of = |d| self.blocked_until(d).saturating_sub(now) + self.drain_time(now, d);
        self.destinations.get(&id).map_or(0, of)
    }

    fn drain_time(&self, now: Micros, d: &Destination) -> Micros {
        let listed = d.endpoints.iter().filter_map(|e| self.endpoints.get(e));
        let rate = if d.apart {
            listed.map(|e| e.breaker.clone().rate(now, &self.s)).sum::<f64>() * d.per_call as f64
        } else {
            d.breaker.clone().rate(now, &self.s)
        };
        (d.waiting.len() as f64 / rate.max(0.1) * SECOND as f64) as Micros
    }

    /// Worth of a message if it were answered at a time.
    fn worth_at(&self, m: &Message, at: Micros) -> f64 {
        let c = &self.s.classes[m.class.0];
        let age = at.saturating_sub(m.born);
        if age <= c.aim {
            return m.worth;
        } else if at >= m.deadline {
            return 0.0;
        }
        let late = (age - c.aim) as f64;
        let left = match self.s.decay {
            Decay::Linear => 1.0 - (1.0 - c.late_worth) * late / (c.deadline - c.aim).max(1) as f64,
            Decay::Halving => 0.5f64.powf(late / c.aim.max(1) as f64).max(c.late_worth),
        };
        m.worth * left
    }

    /// Keeps room for what comes in: beyond it, what is expected to earn least is refused at once.
    fn shed(&mut self, now: Micros) {
        let room = self.s.max_open - (self.s.max_open / RESERVE).min(self.s.max_open - 1);
        while self.open > room {
            let held = || self.messages.iter().filter(|(_, m)| !m.over && m.out.is_none());
            let to: BTreeSet<_> = held().map(|(_, m)| m.destination).collect();
            let waits: BTreeMap<_, _> = to.iter().map(|d| (*d, self.expected_wait(now, *d))).collect();
            let earns = |m: &Message| (self.worth_at(m, now + waits[&m.destination]) * GRAIN) as i64;
            let least = held().map(|(id, m)| (earns(m), Reverse(*id))).min();
            let Some((_, Reverse(id))) = least else { break };
            self.give_up(now, id);
        }
    }

    /// A free slot goes to the waiting destination with the least recent slot time.
    fn dispatch(&mut self, now: Micros) {
        let waiting = self.messages.values().filter(|m| !m.over && m.out.is_none()).map(|m| m.destination);
        let mut order: BTreeSet<_> = waiting.map(|d| (self.destinations[&d].last_slot, d)).collect();
        while let Some((_, id)) = order.pop_first() {
            let Some((e, first, trial)) = self.pick(now, id) else { continue };
            if self.calls.len() >= self.s.slots {
                self.make_room(now);
                return;
            }
            self.send(now, id, e, first, trial);
            self.next_slot += 1;
            let d = destination(&mut self.destinations, now, id);
            d.last_slot = self.next_slot;
            if !d.waiting.is_empty() {
                order.insert((self.next_slot, id));
            }
        }
    }

    /// All slots are taken and a destination that answers waits: calls off the one call that is overdue by
    /// most where nothing has answered since it was sent.
    fn make_room(&mut self, now: Micros) {
        if !self.s.cancel || self.calls.values().any(|c| c.called_off) {
            return;
        }
        let late = |c: &Call| self.overdue(now, c).filter(|by| *by > CALL_OFF.0 && !self.answered_since(c));
        match self.calls.iter().filter_map(|(n, c)| Some((late(c)?, *n))).max_by(|a, b| a.0.total_cmp(&b.0)) {
            Some((_, number)) => self.call_off(number),
            // Look again soon: a call becomes overdue without any event.
            None => self.wake_at(now + SUSPECT.1 / 2),
        }
    }

    /// Calls off what is long overdue at an endpoint that has answered what was sent later: it hangs on its
    /// connection alone, and would keep a slot and its messages up to the cut.
    fn release(&mut self, now: Micros) {
        let late = |c: &Call| self.overdue(now, c).filter(|_| self.s.cancel && self.answered_since(c));
        let late: Vec<_> = self.calls.iter().filter_map(|(n, c)| Some((late(c)?, *n))).collect();
        if !late.is_empty() {
            self.wake_at(now + SUSPECT.1 / 4);
        }
        late.iter().filter(|l| l.0 > CALL_OFF.1).for_each(|l| self.call_off(l.1));
    }

    fn call_off(&mut self, number: u64) {
        let call = self.calls.get_mut(&number).unwrap();
        call.called_off = true;
        self.actions.extend(call.parts.iter().map(|p| Action::Cancel { id: p.0, attempt: p.1 }));
    }

    /// Something that was sent to its endpoint after this call was answered.
    fn answered_since(&self, c: &Call) -> bool {
        self.endpoints.get(&c.endpoint).is_some_and(|e| c.sent < e.breaker.ok_sent)
    }

    /// For how many times the patience a call is out; long work has more, and so has unsafe work.
    fn overdue(&self, now: Micros, c: &Call) -> Option<f64> {
        let ep = self.endpoints.get(&c.endpoint).filter(|_| !c.called_off)?;
        let risky = c.parts.iter().any(|p| self.effect(p.0) == Effect::Unsafe);
        let paces = c.parts.iter().filter_map(|p| Some(self.paces[self.messages.get(&p.0)?.class.0]));
        let allowed = paces.fold(1.0, f64::max) * if risky { SUSPECT.2 } else { 1.0 };
        Some((now - c.sent) as f64 / (self.patience(ep) as f64 * allowed))
    }

    fn effect(&self, id: MessageId) -> Effect {
        self.messages.get(&id).map_or(Effect::Safe, |m| self.s.classes[m.class.0].effect)
    }

    /// The next call to a destination, if its breaker, pace and endpoints allow one.
    fn pick(&mut self, now: Micros, id: DestinationId) -> Option<(EndpointId, MessageId, bool)> {
        let d = self.destinations.get_mut(&id)?;
        let (ids, apart) = (d.endpoints.clone(), d.apart);
        let (mut whole_trial, mut careful) = (false, false);
        if !apart {
            match d.breaker.pass(now, &self.s) {
                Gate::Until(at) => {
                    self.wake_at(at);
                    return None;
                }
                gate => whole_trial = gate == Gate::Trial,
            }
            careful = d.breaker.suspect();
            if !whole_trial && careful && self.calls.values().any(|c| c.destination == id) {
                return None;
            }
        }
        let mut candidates = Vec::new();
        for e in &ids {
            let stalled = self.stalled(now, *e);
            let busy = self.calls.values().filter(|c| c.endpoint == *e).count();
            let Some(ep) = self.endpoints.get_mut(e) else { continue };
            if ep.entry.lifecycle != Lifecycle::Listed {
                continue;
            }
            let b = &mut ep.breaker;
            let paced = apart || b.outage || b.cold_since.is_some();
            let mut trial = whole_trial;
            if !paced {
                // What was called while nothing paced it is no debt: it would be paid off after an outage.
                b.tokens = b.tokens.max(0.0);
            }
            match if paced { b.pass(now, &self.s) } else { b.gate(now) } {
                Gate::Until(at) if !whole_trial => {
                    self.wake_at(at);
                    continue;
                }
                gate => trial |= gate == Gate::Trial,
            }
            let suspect = ep.breaker.suspect();
            if !whole_trial && (stalled || suspect && !trial && busy > 0) {
                continue;
            }
            // A trial of the whole destination goes to any endpoint, the least suspect first.
            let crossing = self.s.cross_zone_fee > 0.0 && ep.entry.zone != self.s.zone;
            let toll = self.s.tolls.get(ep.entry.zone.0).filter(|_| apart).map_or(0, |t| (t * GRAIN) as i64);
            let load = 4 * ep.breaker.failure_count.min(9) as usize + 2 * busy + usize::from(crossing);
            candidates.push(((toll, load, NEVER - ep.last_used, *e), trial, trial || careful || suspect));
        }
        candidates.sort();
        let first = |c: ((_, _, _, EndpointId), bool, bool)| {
            Some((c.0 .3, self.choose(now, id, c.0 .3, c.2, None)?, c.1))
        };
        candidates.into_iter().find_map(first)
    }

    /// Two calls to this endpoint are out for too long and nothing sent after them was answered: a hang, a
    /// silence or a crawl. Nothing more goes there until they end, so that others keep the slots.
    fn stalled(&self, now: Micros, e: EndpointId) -> bool {
        let Some(ep) = self.endpoints.get(&e) else { return false };
        let late = |c: &&Call| c.sent >= ep.breaker.ok_sent && now - c.sent > self.patience(ep);
        self.calls.values().filter(|c| c.endpoint == e).filter(late).count() > 1
    }

    fn mean_latency(&self, ep: &Endpoint) -> f64 {
        let shared = self.destinations.get(&ep.entry.destination).and_then(|d| d.breaker.latency);
        ep.breaker.latency.or(shared).unwrap_or(self.latency)
    }

    fn patience(&self, ep: &Endpoint) -> Micros {
        ((self.mean_latency(ep) * SUSPECT.0) as Micros).max(SUSPECT.1)
    }

    /// The message that gains most by going now: by worth lost over the time that the queue takes; while a
    /// destination is suspect, the cheapest to lose first. A call holds only messages of one time-out.
    fn choose(
        &self,
        now: Micros,
        id: DestinationId,
        e: EndpointId,
        careful: bool,
        like: Option<Timing>,
    ) -> Option<MessageId> {
        let d = &self.destinations[&id];
        let horizon = self.drain_time(now, d).clamp(HORIZON.0, HORIZON.1);
        let rank = |w: &&MessageId| {
            let m = &self.messages[w];
            let effect = if careful { self.s.classes[m.class.0].effect } else { Effect::Safe };
            let (value, later) = (self.worth_at(m, now), self.worth_at(m, now + horizon));
            (effect, -((value - later + PRESENT * value) * GRAIN) as i64, m.deadline, **w)
        };
        let fits = |w: &MessageId| like.is_none_or(|t| self.timing(&self.messages[w]).timeout == t.timeout);
        d.waiting.iter().filter(|w| fits(w) && self.may_send(now, **w, e)).min_by_key(rank).copied()
    }

    /// The guard that every send passes: rules 1 (not over), 2 (no effect twice), 3 (drains), 5 (order)
    /// and 6 (told waits).
    fn may_send(&self, now: Micros, id: MessageId, e: EndpointId) -> bool {
        let (Some(m), Some(ep)) = (self.messages.get(&id), self.endpoints.get(&e)) else { return false };
        let Some(d) = self.destinations.get(&m.destination) else { return false };
        let class = &self.s.classes[m.class.0];
        let scoped = class.effect == Effect::Keyed && class.dedup_scope == DedupScope::Zone;
        let in_scope = !scoped || m.may_have_run.is_none_or(|(_, z)| z.is_none_or(|z| z == ep.entry.zone));
        let front = |l: &KeyLine| l.queue.front() == Some(&id) && (now >= l.rest_until || m.attempts > 0);
        let due = m.key.and_then(|k| self.lines.get(&k)).is_none_or(front);
        let most = self.timing(m).most(self.s.max_attempts);
        let open = !m.over && m.out.is_none() && m.attempts < most && now < self.last_send(m);
        // A copy goes elsewhere, if there is an elsewhere.
        let well =
            |o: &Endpoint| o.entry.lifecycle == Lifecycle::Listed && o.breaker.status == Status::Closed;
        let others = || d.endpoints.iter().filter(|o| **o != e).filter_map(|o| self.endpoints.get(o));
        let open = open && now >= m.rest_until && (m.avoid != Some(e) || !others().any(well));
        let listed = ep.entry.destination == m.destination && ep.entry.lifecycle == Lifecycle::Listed;
        let waited = now >= ep.breaker.wait_until && (d.apart || now >= d.breaker.wait_until);
        open && in_scope && due && listed && waited
    }

    fn send(&mut self, now: Micros, id: DestinationId, e: EndpointId, first: MessageId, trial: bool) {
        let number = self.next_call;
        self.next_call += 1;
        // Booked against the pace and, if it is a trial, against the half breakers.
        self.endpoints.get_mut(&e).unwrap().last_used = now;
        for b in self.records(e) {
            b.tokens -= 1.0;
            b.trial |= trial;
        }
        let alone = self.calls.values().all(|c| c.endpoint != e);
        let mut reused = alone.then(|| self.endpoints[&e].reusable);
        if reused == Some(true) && self.lost[1] - self.lost[0] > STALE.0 {
            self.actions.push(Action::CloseIdle { endpoint: e });
            reused = Some(false);
        }
        let most = if trial { 1 } else { self.destinations[&id].per_call };
        let ep = &self.endpoints[&e];
        let (zone, mean) = (ep.entry.zone, self.mean_latency(ep));
        let mut next = Some(first);
        let mut parts = Vec::new();
        while let Some(m) = next {
            let (timing, end) = (self.timing(&self.messages[&m]), self.end_of(&self.messages[&m]));
            let send_by = self.last_send(&self.messages[&m]);
            let message = self.messages.get_mut(&m).unwrap();
            let longest = longest_cut(self.s.classes[message.class.0].effect);
            let adaptive = ((mean * CUT.0) as Micros).clamp(CUT.1, CUT.2) * (longest / CUT.2);
            let up = end.saturating_sub(self.s.granularity);
            let cut_at = (now + timing.cut(adaptive)).min(up);
            let last = cut_at == up;
            message.last_until = last.then_some(end);
            message.out = Some((message.attempts, number));
            parts.push((m, message.attempts));
            message.attempts += 1;
            message.sent_zone = zone;
            self.destinations.get_mut(&id).unwrap().waiting.retain(|w| *w != m);
            self.actions.push(Action::Send { id: m, endpoint: e, call: number, cut_at, send_by, last });
            let like = Some(timing);
            next = if parts.len() < most { self.choose(now, id, e, false, like) } else { None };
        }
        let call = Call { endpoint: e, destination: id, sent: now, trial, parts, reused, ..Call::default() };
        self.calls.insert(number, call);
    }
}

/// The longest that an attempt may be out where its route says nothing; an unsafe one is lost when it is cut.
pub fn longest_cut(effect: Effect) -> Micros {
    CUT.2 * if effect == Effect::Unsafe { 2 } else { 1 }
}

fn destination(all: &mut Destinations, now: Micros, id: DestinationId) -> &mut Destination {
    let fresh = || Destination { per_call: 1, breaker: Breaker::new(now), ..Destination::default() };
    all.entry(id).or_insert_with(fresh)
}

/// The attempt may still be running.
fn unsure(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Stale | Outcome::Cancelled)
}
