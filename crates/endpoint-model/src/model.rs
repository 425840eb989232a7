//! A destination at work.

use crate::{DestinationProfile, Fault, Micros, SECOND};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// What a limit admits in one go, in seconds of it.
const BURST_SECONDS: f64 = 0.5;
/// An answer reports a state of the limit that is at least so old ...
const LEAST_REPORT_AGE: Micros = 100_000;
/// ... and no older than this.
const MOST_REPORT_AGE: Micros = 500_000;
/// Slack for chance in the budget of a destination that warms up, in messages.
const OVERLOAD_SLACK: f64 = 4.0;

/// How a call is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Delivered.
    Ok,
    /// It failed and may have run.
    Error,
    /// It was rejected, with a `retry_after` if one is sent.
    Rejected(Option<Micros>),
    /// No connection.
    ConnectionRefused,
    /// The connection breaks after the work was done.
    ConnectionReset,
}

/// An answer, and when it is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAnswer {
    /// When it is written.
    pub at: Micros,
    /// What it says.
    pub answer: Answer,
}

/// What an answer reports of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The share that is left.
    pub remaining_share: f64,
    /// The limit in calls a second.
    pub rate: f64,
}

/// What becomes of a call; settled when it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// The answer; `None` for silence.
    pub answer: Option<TimedAnswer>,
    /// What the answer reports of the limit.
    pub report: Option<LimitReport>,
    /// No connection was made: the call was not read.
    pub unconnected: bool,
}

impl CallResult {
    fn answered(at: Micros, answer: Answer) -> Self {
        CallResult { answer: Some(TimedAnswer { at, answer }), report: None, unconnected: false }
    }

    fn silent(unconnected: bool) -> Self {
        CallResult { answer: None, report: None, unconnected }
    }
}

struct Endpoint {
    /// When each worker is free.
    workers: Vec<Micros>,
    /// When the calls that queue are begun.
    starts: VecDeque<Micros>,
}

/// What a destination that warms up was sent in one call.
struct Arrival {
    at: Micros,
    messages: usize,
}

/// The state of the limit as answers report it, up to a time.
struct ReportedLimit {
    until: Micros,
    remaining_share: f64,
}

/// A destination at work.
pub struct DestinationModel {
    profile: DestinationProfile,
    endpoints: Vec<Endpoint>,
    rng: ChaCha8Rng,
    /// Seconds that the work of a message takes.
    service_time: LogNormal<f64>,
    tokens: f64,
    refilled_at: Micros,
    reported: Option<ReportedLimit>,
    faults: Vec<Fault>,
    warming_up_since: Option<Micros>,
    /// What came lately while it warms up.
    arrivals: VecDeque<Arrival>,
    overloaded_at: Option<Micros>,
}

impl DestinationModel {
    /// A destination without a fault. The same seed and calls give the same fates.
    pub fn new(profile: DestinationProfile, seed: u64) -> Self {
        let service_time = profile.service_time as f64 / SECOND as f64;
        let workers = (profile.capacity * service_time / profile.endpoints as f64).ceil().max(1.0);
        // The mean that lets so many workers reach the capacity and no more.
        let mean = workers * profile.endpoints as f64 / profile.capacity;
        let variation = profile.service_time_variation;
        let variance = (1.0 + variation * variation).ln();
        let service_time = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt())
            .expect("a variation that is a number gives a deviation that is one");
        let endpoint = || Endpoint { workers: vec![0; workers as usize], starts: VecDeque::new() };
        DestinationModel {
            endpoints: (0..profile.endpoints).map(|_| endpoint()).collect(),
            tokens: profile.limit.unwrap_or(0.0) * BURST_SECONDS,
            profile,
            rng: ChaCha8Rng::seed_from_u64(seed),
            service_time,
            refilled_at: 0,
            reported: None,
            faults: Vec::new(),
            warming_up_since: None,
            arrivals: VecDeque::new(),
            overloaded_at: None,
        }
    }

    /// What it is like on a good day.
    pub fn profile(&self) -> &DestinationProfile {
        &self.profile
    }

    /// When it was overloaded as it warmed up, if it was: it is down from then on.
    pub fn overloaded_at(&self) -> Option<Micros> {
        self.overloaded_at
    }

    /// The one fault from now on, if any.
    pub fn set_fault(&mut self, now: Micros, fault: Option<Fault>) {
        self.set_faults(now, fault.into_iter().collect());
    }

    /// The faults from now on, which may be several at once.
    pub fn set_faults(&mut self, now: Micros, faults: Vec<Fault>) {
        let is_outage = |faults: &[Fault]| faults.iter().any(|fault| fault.is_outage());
        if is_outage(&self.faults) && !is_outage(&faults) && self.overloaded_at.is_none() {
            self.warming_up_since = Some(now);
            self.arrivals.clear();
            for endpoint in &mut self.endpoints {
                endpoint.workers.fill(now);
                endpoint.starts.clear();
            }
        }
        self.faults = faults;
    }

    /// The fault that shows now.
    pub fn visible_fault(&self) -> Option<Fault> {
        let overloaded = self.overloaded_at.map(|_| Fault::RefuseConnections);
        self.faults.iter().copied().chain(overloaded).max_by_key(|fault| fault.rank())
    }

    /// Whether it is back from an outage and does not have all its capacity yet.
    pub fn is_warming_up(&mut self, now: Micros) -> bool {
        self.capacity_share(now) < 1.0
    }

    /// The share of its capacity that it has.
    fn capacity_share(&mut self, now: Micros) -> f64 {
        let Some(since) = self.warming_up_since else { return 1.0 };
        let age = now.saturating_sub(since);
        if age >= self.profile.slow_start {
            self.warming_up_since = None;
            self.arrivals.clear();
            return 1.0;
        }
        let floor = self.profile.slow_start_floor;
        floor + (1.0 - floor) * age as f64 / self.profile.slow_start as f64
    }

    /// Counts what is sent while it warms up; beyond its budget it is overloaded.
    fn count_arrival(&mut self, now: Micros, messages: usize) {
        if self.warming_up_since.is_none() {
            return;
        }
        let bearable = self.capacity_share(now) * self.profile.capacity * self.profile.overload_multiple;
        self.arrivals.push_back(Arrival { at: now, messages });
        let window = self.profile.overload_window;
        while self.arrivals.front().is_some_and(|arrival| arrival.at + window <= now) {
            self.arrivals.pop_front();
        }
        let sent: f64 = self.arrivals.iter().map(|arrival| self.size(arrival.messages)).sum();
        if sent > bearable * window as f64 / SECOND as f64 + OVERLOAD_SLACK {
            self.overloaded_at.get_or_insert(now);
        }
    }

    /// A call counts once; what more messages it carries adds a little.
    fn size(&self, messages: usize) -> f64 {
        1.0 + self.profile.further_message_cost * (messages - 1) as f64
    }

    /// Calls a second that it accepts now, if there is a limit.
    fn limit(&self) -> Option<f64> {
        Some(
            self.profile.limit? * self.faults.iter().filter_map(|fault| fault.limit_share()).product::<f64>(),
        )
    }

    fn limit_report(&mut self, now: Micros) -> Option<LimitReport> {
        let rate = self.limit()?;
        if self.reported.as_ref().is_none_or(|reported| reported.until <= now) {
            let age = self.rng.random_range(LEAST_REPORT_AGE..MOST_REPORT_AGE);
            let remaining_share = (self.tokens / (rate * BURST_SECONDS).max(1.0)).clamp(0.0, 1.0);
            self.reported = Some(ReportedLimit { until: now + age, remaining_share });
        }
        let remaining_share = self.reported.as_ref()?.remaining_share;
        Some(LimitReport { remaining_share, rate })
    }

    /// Takes a call off the limit; false if nothing of it is left.
    fn is_within_limit(&mut self, now: Micros) -> bool {
        let Some(limit) = self.limit() else { return true };
        let burst = (limit * BURST_SECONDS).max(1.0);
        let refill = limit * now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        let fits = self.tokens >= 1.0;
        if fits || self.profile.rejections_use_limit {
            self.tokens = (self.tokens - 1.0).max(-burst);
        }
        fits
    }

    /// The fate of a call that a fault settles before it is looked at.
    fn faulty_fate(&mut self, now: Micros, fault: Option<Fault>) -> Option<CallResult> {
        match fault? {
            Fault::RefuseConnections => {
                Some(CallResult { unconnected: true, ..CallResult::answered(now, Answer::ConnectionRefused) })
            }
            Fault::Silent => Some(CallResult::silent(true)),
            Fault::Hang => Some(CallResult::silent(false)),
            Fault::RejectAll => Some(CallResult::answered(now, Answer::Rejected(None))),
            Fault::FailCalls(share) => {
                self.rng.random_bool(share).then(|| CallResult::answered(now, Answer::Error))
            }
            _ => None,
        }
    }

    /// A call of so many messages arrives at an endpoint. Calls must come in the order of time.
    pub fn call(&mut self, now: Micros, endpoint: usize, messages: usize) -> CallResult {
        self.count_arrival(now, messages);
        let fault = self.visible_fault();
        if let Some(fate) = self.faulty_fate(now, fault) {
            return fate;
        }
        let is_within_limit = self.is_within_limit(now);
        let report = self.limit_report(now);
        let slowdown: f64 = self.faults.iter().map(|fault| fault.slowdown()).product();
        let capacity_share = self.capacity_share(now);
        let size = self.size(messages.max(1));
        let seconds = self.service_time.sample(&mut self.rng) * size * slowdown / capacity_share;
        let fails = self.profile.error_rate > 0.0 && self.rng.random_bool(self.profile.error_rate);
        let endpoint = &mut self.endpoints[endpoint];
        while endpoint.starts.front().is_some_and(|start| *start <= now) {
            endpoint.starts.pop_front();
        }
        if !is_within_limit || endpoint.starts.len() >= self.profile.queue_length {
            return CallResult {
                report,
                ..CallResult::answered(now, Answer::Rejected(self.profile.retry_after))
            };
        }
        let worker = endpoint.workers.iter_mut().min().expect("each endpoint has a worker");
        let start = now.max(*worker);
        if start > now {
            endpoint.starts.push_back(start);
        }
        *worker = start + (seconds * SECOND as f64) as Micros;
        let answer = match fault {
            Some(Fault::ResetConnections) => Answer::ConnectionReset,
            _ if fails => Answer::Error,
            _ => Answer::Ok,
        };
        let report = report.filter(|_| answer != Answer::ConnectionReset);
        CallResult { report, ..CallResult::answered(*worker, answer) }
    }
}
