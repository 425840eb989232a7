//! Checks the slow start of destinations: how many calls a destination gets just after an outage, and from which
//! forwarders.

use crate::deployment::{
    CAPACITY_PER_S, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, SLOW_START_DURATION, SLOW_START_INITIAL_SHARE,
};
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

/// A window with too many calls violates the rule only if more than this share of them came from forwarders that had
/// observed the outage.
const MAX_OBSERVER_SHARE: f64 = 2.0 / 3.0;
/// Below this many allowed calls, the margin for random variation is wider: 3 standard deviations and 3 calls, instead of 2
/// of each.
const SMALL_SAMPLE_CALLS: f64 = 30.0;

/// One call to a destination.
struct Call {
    received_at: Instant,
    forwarder: usize,
}

/// The state of a destination between an outage and the end of its slow start.
#[derive(Clone, Copy)]
enum Phase {
    /// It has its full capacity, or its slow start has already been found to violate the rule.
    Warm,
    /// All its endpoints are down.
    Outage,
    /// It has returned and takes on load gradually.
    SlowStart { since: Instant },
}

/// Counts the calls to one destination and checks them during its slow start.
pub struct SlowStartMonitor {
    phase: Phase,
    /// Forwarders whose calls failed during the outage and whose process has not exited since.
    observers: BTreeSet<usize>,
    /// The calls within the last window.
    calls: VecDeque<Call>,
    /// The highest number of calls in a window so far, as a share of the number allowed.
    peak_share: f64,
}

impl SlowStartMonitor {
    /// A monitor of a destination that has its full capacity.
    pub fn new() -> Self {
        SlowStartMonitor {
            phase: Phase::Warm,
            observers: BTreeSet::new(),
            calls: VecDeque::new(),
            peak_share: 0.0,
        }
    }

    /// Notes that all endpoints of the destination go down.
    pub fn begin_outage(&mut self) {
        self.phase = Phase::Outage;
        self.observers.clear();
    }

    /// Notes that the endpoints are up again, which begins the slow start.
    pub fn begin_slow_start(&mut self, now: Instant) {
        self.phase = Phase::SlowStart { since: now };
        self.calls.clear();
    }

    /// Notes that a call of a forwarder to the destination has failed, by which it observes an outage.
    pub fn record_failure(&mut self, forwarder: usize) {
        if matches!(self.phase, Phase::Outage) {
            self.observers.insert(forwarder);
        }
    }

    /// Notes that a forwarder's process has exited: the next one has not observed the outage.
    pub fn forget_observer(&mut self, forwarder: usize) {
        self.observers.remove(&forwarder);
    }

    /// The highest number of calls in a window of a slow start so far, in percent of the number allowed.
    pub fn peak_percent(&self) -> u64 {
        (self.peak_share * 100.0).round() as u64
    }

    /// Counts a call that the destination has received. Returns the description of a violation, at most once for each
    /// outage.
    pub fn check_call(&mut self, now: Instant, forwarder: usize) -> Option<String> {
        let Phase::SlowStart { since } = self.phase else { return None };
        let warm_share = (now - since).as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
        if warm_share >= 1.0 {
            self.phase = Phase::Warm;
            return None;
        }
        self.calls.push_back(Call { received_at: now, forwarder });
        while self.calls.front().is_some_and(|call| now - call.received_at > OVERLOAD_WINDOW) {
            self.calls.pop_front();
        }
        let capacity = SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * warm_share;
        let allowed = OVERLOAD_MULTIPLE * capacity * CAPACITY_PER_S * OVERLOAD_WINDOW.as_secs_f64();
        let max_calls = max_calls_with_margin(allowed);
        let observer_calls =
            self.calls.iter().filter(|call| self.observers.contains(&call.forwarder)).count();
        let calls = self.calls.len();
        self.peak_share = self.peak_share.max(calls as f64 / max_calls);
        if calls as f64 <= max_calls || observer_calls as f64 <= MAX_OBSERVER_SHARE * calls as f64 {
            return None;
        }
        self.phase = Phase::Warm;
        Some(format!(
            "{calls} calls within {OVERLOAD_WINDOW:?}, {max_calls:.0} allowed; {observer_calls} from observers of the outage"
        ))
    }
}

/// The most calls in a window for a mean of `allowed` calls: the mean, plus 2 standard deviations of a Poisson count and 2
/// calls. For less than [`SMALL_SAMPLE_CALLS`] allowed calls, it is 3 of each.
fn max_calls_with_margin(allowed: f64) -> f64 {
    let margin = if allowed < SMALL_SAMPLE_CALLS { 3.0 } else { 2.0 };
    allowed + margin * allowed.sqrt() + margin
}
