//! The model of a destination, which decides the result of each call.

use crate::{DestinationProfile, Fault, Micros, SECOND};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;

/// A rate limit admits a burst of as many calls as it allows in this many seconds.
const BURST_SECONDS: f64 = 0.5;
/// The shortest time for which answers report the same remaining share of the rate limit.
const MIN_REPORT_INTERVAL: Micros = 100_000;
/// The longest time for which answers report the same remaining share of the rate limit.
const MAX_REPORT_INTERVAL: Micros = 500_000;
/// Allowance for random variation in the budget of a destination that warms up, in calls of one message.
const OVERLOAD_SLACK: f64 = 4.0;

/// How a call is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The call succeeded.
    Ok,
    /// The call failed and may have run.
    Error,
    /// The call was rejected without being run, with the `retry_after` if one is sent.
    Rejected(Option<Micros>),
    /// The connection is refused.
    ConnectionRefused,
    /// The connection is reset after the work was done.
    ConnectionReset,
}

/// An answer, and the time at which it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAnswer {
    /// When the answer is sent.
    pub at: Micros,
    /// What is answered at that time.
    pub answer: Answer,
}

/// The state of the rate limit as an answer reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The share of the burst that is left, from 0 to 1.
    pub remaining_share: f64,
    /// The rate limit in calls per second.
    pub rate: f64,
}

/// The result of a call, which is decided when the call arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// The answer; `None` if the call never gets one.
    pub answer: Option<TimedAnswer>,
    /// The state of the rate limit that the answer reports. `None` if there is no limit, if a fault decided the result, or
    /// if the connection is reset.
    pub report: Option<LimitReport>,
    /// True if the connection could not be established; the destination then reads nothing of the call.
    pub unconnected: bool,
}

impl CallResult {
    /// The result of a call that gets this answer at this time.
    fn answered(at: Micros, answer: Answer) -> Self {
        CallResult { answer: Some(TimedAnswer { at, answer }), report: None, unconnected: false }
    }

    /// The result of a call that never gets an answer.
    fn unanswered(unconnected: bool) -> Self {
        CallResult { answer: None, report: None, unconnected }
    }
}

/// The workers and the queue of an endpoint.
struct Endpoint {
    /// For each worker the time at which it is free.
    workers_free_at: Vec<Micros>,
    /// For each waiting call the time at which a worker begins it, in the order of arrival.
    queued_starts: VecDeque<Micros>,
}

/// A call to a destination that warms up.
struct Arrival {
    at: Micros,
    messages: usize,
}

/// The remaining share of the rate limit that answers report until `valid_until`.
struct ReportedLimit {
    valid_until: Micros,
    remaining_share: f64,
}

/// A destination: its profile, its present faults, and the state of its endpoints and its rate limit.
pub struct DestinationModel {
    profile: DestinationProfile,
    endpoints: Vec<Endpoint>,
    rng: ChaCha8Rng,
    /// Distribution of the time that the work of a message takes, in seconds.
    service_time: LogNormal<f64>,
    /// Calls that the rate limit admits at present; negative if rejected calls have used up more than that.
    tokens: f64,
    refilled_at: Micros,
    reported_limit: Option<ReportedLimit>,
    faults: Vec<Fault>,
    warming_up_since: Option<Micros>,
    /// Calls within the last overload window while the destination warms up.
    arrivals: VecDeque<Arrival>,
    overloaded_at: Option<Micros>,
}

impl DestinationModel {
    /// A destination without faults. The same seed and calls give the same results.
    ///
    /// # Panics
    /// The variation of the service time is not a finite number.
    pub fn new(profile: DestinationProfile, seed: u64) -> Self {
        let service_time = profile.service_time as f64 / SECOND as f64;
        let workers = (profile.capacity * service_time / profile.endpoints as f64).ceil().max(1.0);
        // The mean service time with which this number of workers reaches exactly the capacity.
        let mean_service_time = workers * profile.endpoints as f64 / profile.capacity;
        let variation = profile.service_time_variation;
        let variance = (1.0 + variation * variation).ln();
        let service_time = LogNormal::new(mean_service_time.ln() - variance / 2.0, variance.sqrt())
            .expect("a finite variation gives a finite standard deviation");
        let endpoint =
            || Endpoint { workers_free_at: vec![0; workers as usize], queued_starts: VecDeque::new() };
        DestinationModel {
            endpoints: (0..profile.endpoints).map(|_| endpoint()).collect(),
            tokens: profile.limit.unwrap_or(0.0) * BURST_SECONDS,
            profile,
            rng: ChaCha8Rng::seed_from_u64(seed),
            service_time,
            refilled_at: 0,
            reported_limit: None,
            faults: Vec::new(),
            warming_up_since: None,
            arrivals: VecDeque::new(),
            overloaded_at: None,
        }
    }

    /// The properties of the destination without faults.
    pub fn profile(&self) -> &DestinationProfile {
        &self.profile
    }

    /// When the destination was overloaded while it warmed up, if ever. It refuses connections from then on.
    pub fn overloaded_at(&self) -> Option<Micros> {
        self.overloaded_at
    }

    /// Replaces all faults by one, or by none.
    pub fn set_fault(&mut self, now: Micros, fault: Option<Fault>) {
        self.set_faults(now, fault.into_iter().collect());
    }

    /// Replaces all faults. If this ends the last outage, the destination begins to warm up with empty queues, unless it
    /// was overloaded before.
    pub fn set_faults(&mut self, now: Micros, faults: Vec<Fault>) {
        let has_outage = |faults: &[Fault]| faults.iter().any(|fault| fault.is_outage());
        if has_outage(&self.faults) && !has_outage(&faults) && self.overloaded_at.is_none() {
            self.warming_up_since = Some(now);
            self.arrivals.clear();
            for endpoint in &mut self.endpoints {
                endpoint.workers_free_at.fill(now);
                endpoint.queued_starts.clear();
            }
        }
        self.faults = faults;
    }

    /// The fault with the highest rank, which decides the kind of the answers at present. The slowdowns and lowered limits
    /// of all faults apply as well. A destination that was overloaded refuses connections.
    pub fn dominant_fault(&self) -> Option<Fault> {
        let overloaded = self.overloaded_at.map(|_| Fault::RefuseConnections);
        self.faults.iter().copied().chain(overloaded).max_by_key(|fault| fault.rank())
    }

    /// Whether the destination has returned from an outage and does not have its full capacity yet.
    pub fn is_warming_up(&mut self, now: Micros) -> bool {
        self.capacity_share(now) < 1.0
    }

    /// The share of its capacity that the destination has at present. Ends the warm-up when its time is over.
    fn capacity_share(&mut self, now: Micros) -> f64 {
        let Some(since) = self.warming_up_since else { return 1.0 };
        let elapsed = now.saturating_sub(since);
        if elapsed >= self.profile.slow_start {
            self.warming_up_since = None;
            self.arrivals.clear();
            return 1.0;
        }
        let initial_share = self.profile.slow_start_floor;
        initial_share + (1.0 - initial_share) * elapsed as f64 / self.profile.slow_start as f64
    }

    /// Counts a call while the destination warms up. Beyond its budget, it is overloaded.
    fn record_arrival(&mut self, now: Micros, messages: usize) {
        if self.warming_up_since.is_none() {
            return;
        }
        let max_rate = self.capacity_share(now) * self.profile.capacity * self.profile.overload_multiple;
        self.arrivals.push_back(Arrival { at: now, messages });
        let window = self.profile.overload_window;
        while self.arrivals.front().is_some_and(|arrival| arrival.at + window <= now) {
            self.arrivals.pop_front();
        }
        let cost_in_window: f64 = self.arrivals.iter().map(|arrival| self.call_cost(arrival.messages)).sum();
        if cost_in_window > max_rate * window as f64 / SECOND as f64 + OVERLOAD_SLACK {
            self.overloaded_at.get_or_insert(now);
        }
    }

    /// The work of a call in units of a call with one message: further messages add a share each.
    fn call_cost(&self, messages: usize) -> f64 {
        1.0 + self.profile.further_message_cost * (messages - 1) as f64
    }

    /// The present rate limit in calls per second, reduced by faults; `None` if there is none.
    fn current_limit(&self) -> Option<f64> {
        Some(
            self.profile.limit? * self.faults.iter().filter_map(|fault| fault.limit_share()).product::<f64>(),
        )
    }

    /// The state of the rate limit that an answer reports. The remaining share is refreshed at random intervals, so that it
    /// may be out of date; the rate is always current.
    fn limit_report(&mut self, now: Micros) -> Option<LimitReport> {
        let rate = self.current_limit()?;
        if self.reported_limit.as_ref().is_none_or(|reported| reported.valid_until <= now) {
            let valid_for = self.rng.random_range(MIN_REPORT_INTERVAL..MAX_REPORT_INTERVAL);
            let remaining_share = (self.tokens / (rate * BURST_SECONDS).max(1.0)).clamp(0.0, 1.0);
            self.reported_limit = Some(ReportedLimit { valid_until: now + valid_for, remaining_share });
        }
        let remaining_share = self.reported_limit.as_ref()?.remaining_share;
        Some(LimitReport { remaining_share, rate })
    }

    /// Takes a token of the rate limit for a call and returns whether one was left. If `rejections_use_limit` is set, a
    /// rejected call uses up a token too.
    fn take_token(&mut self, now: Micros) -> bool {
        let Some(limit) = self.current_limit() else { return true };
        let burst = (limit * BURST_SECONDS).max(1.0);
        let refill = limit * now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token || self.profile.rejections_use_limit {
            self.tokens = (self.tokens - 1.0).max(-burst);
        }
        has_token
    }

    /// The result of a call that a fault decides before the call is processed; `None` if it is processed.
    fn result_of_fault(&mut self, now: Micros, fault: Option<Fault>) -> Option<CallResult> {
        match fault? {
            Fault::RefuseConnections => {
                Some(CallResult { unconnected: true, ..CallResult::answered(now, Answer::ConnectionRefused) })
            }
            Fault::Silent => Some(CallResult::unanswered(true)),
            Fault::Hang => Some(CallResult::unanswered(false)),
            Fault::RejectAll => Some(CallResult::answered(now, Answer::Rejected(None))),
            Fault::FailCalls(share) => {
                self.rng.random_bool(share).then(|| CallResult::answered(now, Answer::Error))
            }
            _ => None,
        }
    }

    /// Decides the result of a call with a number of messages that arrives at an endpoint, given by its index. Calls must
    /// come in the order of time.
    ///
    /// # Panics
    /// The index of the endpoint is out of range, or a share of failing calls is not between 0 and 1.
    pub fn call(&mut self, now: Micros, endpoint: usize, messages: usize) -> CallResult {
        self.record_arrival(now, messages);
        let fault = self.dominant_fault();
        if let Some(result) = self.result_of_fault(now, fault) {
            return result;
        }
        let is_within_limit = self.take_token(now);
        let report = self.limit_report(now);
        let slowdown: f64 = self.faults.iter().map(|fault| fault.slowdown()).product();
        let capacity_share = self.capacity_share(now);
        let call_cost = self.call_cost(messages.max(1));
        let work_seconds = self.service_time.sample(&mut self.rng) * call_cost * slowdown / capacity_share;
        let is_random_error = self.profile.error_rate > 0.0 && self.rng.random_bool(self.profile.error_rate);
        let endpoint = &mut self.endpoints[endpoint];
        while endpoint.queued_starts.front().is_some_and(|start| *start <= now) {
            endpoint.queued_starts.pop_front();
        }
        if !is_within_limit || endpoint.queued_starts.len() >= self.profile.queue_length {
            return CallResult {
                report,
                ..CallResult::answered(now, Answer::Rejected(self.profile.retry_after))
            };
        }
        let free_at = endpoint.workers_free_at.iter_mut().min().expect("each endpoint has a worker");
        let start = now.max(*free_at);
        if start > now {
            endpoint.queued_starts.push_back(start);
        }
        *free_at = start + (work_seconds * SECOND as f64) as Micros;
        let answer = match fault {
            Some(Fault::ResetConnections) => Answer::ConnectionReset,
            _ if is_random_error => Answer::Error,
            _ => Answer::Ok,
        };
        let report = report.filter(|_| answer != Answer::ConnectionReset);
        CallResult { report, ..CallResult::answered(*free_at, answer) }
    }
}
