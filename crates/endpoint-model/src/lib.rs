//! Seeded models of a partner system: its pace, its limit, its queue and its troubles. They do no I/O and take
//! time as an argument, so that they are the same in virtual and in real time. They know nothing of forwarders.
//!
//! A call's fate is settled when it arrives: which trouble holds at that moment, what the limit and the queue
//! leave, how long the work takes. A trouble that begins later does not reach back to it.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

const SECOND: Micros = 1_000_000;
/// What a limit lets through in one go, in seconds of it.
const BURST: f64 = 0.5;
/// How long a figure of the limit may be old that an answer tells, at the most.
const REPORT_AGE: (Micros, Micros) = (100_000, 500_000);
/// Slack for chance in the budget of a partner that returns, in messages.
const CHANCE: f64 = 4.0;

/// What a partner is like on a good day.
#[derive(Clone, Debug)]
pub struct Model {
    /// Addresses that take calls.
    pub endpoints: usize,
    /// The mean time that the work of one message takes.
    pub pace: Micros,
    /// Its spread: standard deviation over mean.
    pub spread: f64,
    /// Calls a second that it can work off, at all endpoints together.
    pub capacity: f64,
    /// Calls a second that it takes from all senders together; none: its capacity alone limits it.
    pub limit: Option<f64>,
    /// Refused calls use up the limit too.
    pub refused_count: bool,
    /// What a refusal tells to wait, if anything.
    pub tells_wait: Option<Micros>,
    /// Calls that may queue at an endpoint.
    pub queue: usize,
    /// Messages that a call may carry, and what each further one costs as a share of the first.
    pub per_call: (usize, f64),
    /// Share of calls that fail on a good day.
    pub errors: f64,
    /// After an outage it has this share of its capacity ...
    pub cold_from: f64,
    /// ... and all of it after this.
    pub cold: Micros,
    /// Sent more than this multiple of what it can do just then ...
    pub fall_multiple: f64,
    /// ... for so long, it falls over while it is cold.
    pub fall: Micros,
}

/// What goes wrong at a partner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// It works so many times slower.
    Slow(f64),
    /// It takes calls and answers none.
    Hang,
    /// It refuses connections.
    Refuse,
    /// This share of its calls fails at once.
    Fail(f64),
    /// It answers everything as full.
    Shut,
    /// Nothing comes back, not even for a connection.
    Silent,
    /// It does the work and then breaks the connection in place of an answer.
    Reset,
    /// Connections from before it lead nowhere; new ones are as ever.
    HalfOpen,
    /// It takes this share of its limit, and says so where it tells its limit.
    Lowered(f64),
}

impl Trouble {
    /// After it, the partner is cold: it comes back from an outage.
    pub fn cools(self) -> bool {
        !matches!(self, Trouble::Slow(_) | Trouble::Reset | Trouble::HalfOpen | Trouble::Lowered(_))
    }

    /// The share of its limit that it takes, if this lowers it.
    pub fn lowers(self) -> Option<f64> {
        match self {
            Trouble::Lowered(share) => Some(share),
            _ => None,
        }
    }

    /// What of a call that is under way as this begins: none if it goes on.
    pub fn takes_under_way(self) -> Option<Taken> {
        match self {
            Trouble::Refuse => Some(Taken::Broken),
            Trouble::Hang | Trouble::Silent | Trouble::HalfOpen => Some(Taken::Silent),
            Trouble::Slow(_) | Trouble::Fail(_) | Trouble::Shut | Trouble::Reset | Trouble::Lowered(_) => {
                None
            }
        }
    }

    /// Of several that hold at once, the one with the highest rank shows; slowness and a lower limit add to any.
    fn rank(self) -> u8 {
        match self {
            Trouble::Silent => 7,
            Trouble::Refuse => 6,
            Trouble::Hang => 5,
            Trouble::Shut => 4,
            Trouble::Reset => 3,
            Trouble::Fail(_) => 2,
            Trouble::HalfOpen => 1,
            Trouble::Slow(_) | Trouble::Lowered(_) => 0,
        }
    }
}

/// How a call that was under way as a trouble began ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Its connection is broken at once.
    Broken,
    /// Its answer never comes.
    Silent,
}

/// How a call comes back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Delivered.
    Ok,
    /// It failed and may have run.
    Error,
    /// It was turned away, with a wait if any is told.
    Full(Option<Micros>),
    /// No connection.
    Refused,
    /// The connection breaks after the work was done.
    Broken,
}

/// The fate of a call: how it comes back and when, if ever, and what it tells of the limit (share left, rate).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    /// When the answer is written, and what it says; none for silence.
    pub answer: Option<(Micros, Answer)>,
    /// What an answer tells of the limit: share left, and calls a second.
    pub report: Option<(f64, f64)>,
    /// Nothing came of the connection: the call was not read.
    pub unconnected: bool,
}

struct Endpoint {
    /// When each worker is free.
    workers: Vec<Micros>,
    /// When the calls that queue are begun.
    starts: VecDeque<Micros>,
}

/// A partner at work.
pub struct Partner {
    model: Model,
    endpoints: Vec<Endpoint>,
    rng: ChaCha8Rng,
    work: LogNormal<f64>,
    tokens: f64,
    refilled: Micros,
    told: Option<(Micros, f64)>,
    troubles: Vec<Trouble>,
    cold_since: Option<Micros>,
    /// While it is cold: when messages came, and how many.
    pushes: VecDeque<(Micros, usize)>,
    fallen: Option<Micros>,
}

impl Partner {
    /// A partner that is well. The same seed and calls give the same fates.
    pub fn new(model: Model, seed: u64) -> Self {
        let pace = model.pace as f64 / SECOND as f64;
        let each = (model.capacity * pace / model.endpoints as f64).ceil().max(1.0);
        // The mean that lets so many workers reach the capacity and no more.
        let mean = each * model.endpoints as f64 / model.capacity;
        let variance = (1.0 + model.spread * model.spread).ln();
        let work =
            LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).expect("a spread that is a number");
        let endpoint = || Endpoint { workers: vec![0; each as usize], starts: VecDeque::new() };
        Partner {
            endpoints: (0..model.endpoints).map(|_| endpoint()).collect(),
            tokens: model.limit.unwrap_or(0.0) * BURST,
            model,
            rng: ChaCha8Rng::seed_from_u64(seed),
            work,
            refilled: 0,
            told: None,
            troubles: Vec::new(),
            cold_since: None,
            pushes: VecDeque::new(),
            fallen: None,
        }
    }

    /// What it is like.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// When it was pushed over, if it was.
    pub fn fallen(&self) -> Option<Micros> {
        self.fallen
    }

    /// The one trouble that holds from now on, if any.
    pub fn set_trouble(&mut self, now: Micros, trouble: Option<Trouble>) {
        self.set_troubles(now, trouble.into_iter().collect());
    }

    /// The troubles that hold from now on, which may be several at once.
    pub fn set_troubles(&mut self, now: Micros, troubles: Vec<Trouble>) {
        let cools = |all: &[Trouble]| all.iter().any(|t| t.cools());
        if cools(&self.troubles) && !cools(&troubles) && self.fallen.is_none() {
            self.cold_since = Some(now);
            self.pushes.clear();
            for e in &mut self.endpoints {
                e.workers.fill(now);
                e.starts.clear();
            }
        }
        self.troubles = troubles;
    }

    /// The trouble that shows now.
    pub fn trouble(&self) -> Option<Trouble> {
        let fallen = self.fallen.map(|_| Trouble::Refuse);
        self.troubles.iter().copied().chain(fallen).max_by_key(|t| t.rank())
    }

    /// It is back from an outage and does not have all its strength yet.
    pub fn cold(&mut self, now: Micros) -> bool {
        self.strength(now) < 1.0
    }

    /// The share of its capacity that it has.
    fn strength(&mut self, now: Micros) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let age = now.saturating_sub(since);
        if age >= self.model.cold {
            self.cold_since = None;
            self.pushes.clear();
            return 1.0;
        }
        self.model.cold_from + (1.0 - self.model.cold_from) * age as f64 / self.model.cold as f64
    }

    /// Counts what a cold partner is sent, and lets it fall over beyond its budget.
    fn push(&mut self, now: Micros, messages: usize) {
        if self.cold_since.is_none() {
            return;
        }
        let able = self.strength(now) * self.model.capacity * self.model.fall_multiple;
        self.pushes.push_back((now, messages));
        while self.pushes.front().is_some_and(|p| p.0 + self.model.fall <= now) {
            self.pushes.pop_front();
        }
        // One call counts once; what more it carries adds a little weight.
        let weight = |p: &(Micros, usize)| 1.0 + self.model.per_call.1 * (p.1 - 1) as f64;
        let sent: f64 = self.pushes.iter().map(weight).sum();
        if sent > able * self.model.fall as f64 / SECOND as f64 + CHANCE {
            self.fallen.get_or_insert(now);
        }
    }

    /// Calls a second that it takes just now, if there is a limit.
    fn limit(&self) -> Option<f64> {
        Some(self.model.limit? * self.troubles.iter().filter_map(|t| t.lowers()).product::<f64>())
    }

    fn limit_report(&mut self, now: Micros) -> Option<(f64, f64)> {
        let limit = self.limit()?;
        let stale = self.told.is_none_or(|t| t.0 <= now);
        if stale {
            let age = self.rng.random_range(REPORT_AGE.0..REPORT_AGE.1);
            self.told = Some((now + age, (self.tokens / (limit * BURST).max(1.0)).clamp(0.0, 1.0)));
        }
        self.told.map(|t| (t.1, limit))
    }

    /// Takes one of the limit; false if there is none left.
    fn within_limit(&mut self, now: Micros) -> bool {
        let Some(limit) = self.limit() else { return true };
        let most = (limit * BURST).max(1.0);
        let grown = limit * now.saturating_sub(self.refilled) as f64 / SECOND as f64;
        self.tokens = (self.tokens + grown).min(most);
        self.refilled = now;
        let fits = self.tokens >= 1.0;
        if fits || self.model.refused_count {
            self.tokens = (self.tokens - 1.0).max(-most);
        }
        fits
    }

    /// A call of so many messages arrives at an endpoint; calls must come in the order of time.
    pub fn call(&mut self, now: Micros, endpoint: usize, messages: usize) -> Fate {
        self.push(now, messages);
        let at_once = |answer| Fate { answer: Some((now, answer)), report: None, unconnected: false };
        let trouble = self.trouble();
        match trouble {
            Some(Trouble::Refuse) => return Fate { unconnected: true, ..at_once(Answer::Refused) },
            Some(Trouble::Silent) => return Fate { answer: None, report: None, unconnected: true },
            Some(Trouble::Hang) => return Fate { answer: None, report: None, unconnected: false },
            Some(Trouble::Shut) => return at_once(Answer::Full(None)),
            Some(Trouble::Fail(share)) if self.rng.random_bool(share) => return at_once(Answer::Error),
            _ => {}
        }
        let within = self.within_limit(now);
        let report = self.limit_report(now);
        let slow = |t: &Trouble| if let Trouble::Slow(factor) = t { *factor } else { 1.0 };
        let slower: f64 = self.troubles.iter().map(slow).product();
        let strength = self.strength(now);
        let size = 1.0 + self.model.per_call.1 * (messages.max(1) - 1) as f64;
        let took = self.work.sample(&mut self.rng) * size * slower / strength;
        let errs = self.model.errors > 0.0 && self.rng.random_bool(self.model.errors);
        let e = &mut self.endpoints[endpoint];
        while e.starts.front().is_some_and(|s| *s <= now) {
            e.starts.pop_front();
        }
        if !within || e.starts.len() >= self.model.queue {
            let answer = Answer::Full(self.model.tells_wait);
            return Fate { answer: Some((now, answer)), report, unconnected: false };
        }
        let worker = e.workers.iter_mut().min().expect("one at least");
        let start = now.max(*worker);
        if start > now {
            e.starts.push_back(start);
        }
        let done = start + (took * SECOND as f64) as Micros;
        *worker = done;
        let answer = match trouble {
            Some(Trouble::Reset) => Answer::Broken,
            _ if errs => Answer::Error,
            _ => Answer::Ok,
        };
        let report = report.filter(|_| answer != Answer::Broken);
        Fate { answer: Some((done, answer)), report, unconnected: false }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn model() -> Model {
        Model {
            endpoints: 2,
            pace: 150_000,
            spread: 0.5,
            capacity: 20.0,
            limit: Some(10.0),
            refused_count: false,
            tells_wait: Some(300_000),
            queue: 4,
            per_call: (10, 0.1),
            errors: 0.0,
            cold_from: 0.25,
            cold: 8 * SECOND,
            fall_multiple: 2.0,
            fall: 3 * SECOND,
        }
    }

    /// Calls at an even rate: how many of them are delivered.
    fn delivered(p: &mut Partner, from: Micros, seconds: u64, rate: u64) -> u64 {
        let every = SECOND / rate;
        let calls = (0..seconds * rate).map(|i| p.call(from + i * every, (i % 2) as usize, 1));
        calls.filter(|f| matches!(f.answer, Some((_, Answer::Ok)))).count() as u64
    }

    #[test]
    fn the_limit_lets_its_rate_through_and_the_capacity_its_own() {
        let through = delivered(&mut Partner::new(model(), 1), 0, 20, 30);
        assert!((200..=210).contains(&through), "{through}");
        let free = Model { limit: None, ..model() };
        let through = delivered(&mut Partner::new(free, 1), 0, 20, 60);
        assert!((360..=450).contains(&through), "{through}");
    }

    #[test]
    fn a_lowered_limit_lets_its_share_through_is_told_and_rises_again() {
        let mut p = Partner::new(model(), 1);
        p.set_trouble(0, Some(Trouble::Lowered(0.5)));
        let through = delivered(&mut p, SECOND, 20, 30);
        assert!((100..=106).contains(&through), "{through}");
        assert_eq!(p.call(30 * SECOND, 0, 1).report.expect("told").1, 5.0);
        p.set_trouble(31 * SECOND, None);
        assert!(!p.cold(31 * SECOND), "it was there all the time");
        let through = delivered(&mut p, 31 * SECOND, 20, 30);
        assert!((200..=210).contains(&through), "{through}");
    }

    #[test]
    fn the_same_seed_gives_the_same_fates() {
        let fates = |seed| {
            let mut p = Partner::new(model(), seed);
            (0..200).map(|i| p.call(i * 40_000, 0, 1)).collect::<Vec<_>>()
        };
        assert_eq!(fates(3), fates(3));
        assert_ne!(fates(3), fates(4));
    }

    #[test]
    fn each_trouble_shows_as_what_it_is() {
        let fate = |trouble| {
            let mut p = Partner::new(model(), 1);
            p.set_trouble(0, Some(trouble));
            p.call(SECOND, 0, 1)
        };
        assert_eq!(fate(Trouble::Hang).answer, None);
        assert!(fate(Trouble::Silent).unconnected);
        assert_eq!(fate(Trouble::Refuse).answer, Some((SECOND, Answer::Refused)));
        assert_eq!(fate(Trouble::Shut).answer, Some((SECOND, Answer::Full(None))));
        assert_eq!(fate(Trouble::Fail(1.0)).answer, Some((SECOND, Answer::Error)));
        let mut well = Partner::new(model(), 1);
        let usual = well.call(SECOND, 0, 1).answer.expect("an answer").0 - SECOND;
        let slow = fate(Trouble::Slow(10.0)).answer.expect("an answer").0 - SECOND;
        assert!(slow.abs_diff(10 * usual) < 100, "{slow} {usual}");
    }

    /// Guards against the end of one trouble ending another that still holds.
    #[test]
    fn troubles_that_overlap_each_hold_to_their_own_end() {
        let free = Model { limit: None, queue: 1000, ..model() };
        let took = |troubles: Vec<Trouble>| {
            let mut p = Partner::new(free.clone(), 1);
            p.set_troubles(0, troubles);
            p.call(SECOND, 0, 1).answer
        };
        let usual = took(vec![]).expect("an answer").0 - SECOND;
        let both = took(vec![Trouble::Slow(3.0), Trouble::Reset]).expect("a break");
        assert_eq!(both.1, Answer::Broken);
        assert!((both.0 - SECOND).abs_diff(3 * usual) < 100, "slow as well: {both:?}");
        assert_eq!(took(vec![Trouble::Slow(3.0), Trouble::Hang]), None);
        let mut p = Partner::new(free.clone(), 1);
        p.set_troubles(0, vec![Trouble::Hang, Trouble::Refuse]);
        p.set_troubles(SECOND, vec![Trouble::Refuse]);
        assert!(!p.cold(SECOND), "not back yet");
        p.set_troubles(2 * SECOND, vec![]);
        assert!(p.cold(2 * SECOND));
    }

    #[test]
    fn a_partner_that_returns_is_cold_and_falls_over_only_when_pushed() {
        for (rate, falls) in [(6, false), (60, true)] {
            let mut p = Partner::new(Model { limit: None, ..model() }, 1);
            p.set_trouble(0, Some(Trouble::Hang));
            p.set_trouble(10 * SECOND, None);
            delivered(&mut p, 10 * SECOND, 8, rate);
            assert_eq!(p.fallen().is_some(), falls, "at {rate} a second");
        }
    }
}
