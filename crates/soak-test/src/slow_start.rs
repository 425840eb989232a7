//! The slow start of destinations: how many calls come to one that has just returned from an outage, and from whom.

use crate::deployment::{
    CAPACITY_PER_S, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, SLOW_START_DURATION, SLOW_START_INITIAL_SHARE,
};
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

/// The rule is broken if more than this share of the calls came from forwarders that had observed the outage.
const MAX_OBSERVER_SHARE: f64 = 2.0 / 3.0;
/// Below this many allowed calls more is left to chance.
const SMALL_SAMPLE_CALLS: f64 = 30.0;

/// One call to a destination.
struct Call {
    received_at: Instant,
    forwarder: usize,
}

/// Where a destination is between an outage and the end of its slow start.
#[derive(Clone, Copy)]
enum Phase {
    Warm,
    Outage,
    SlowStart { since: Instant },
}

/// The outages of one destination.
pub struct SlowStartMonitor {
    phase: Phase,
    /// Forwarders whose calls failed in the outage, but for those that have died since.
    observers: BTreeSet<usize>,
    /// The calls of the last window.
    calls: VecDeque<Call>,
    /// The highest share of what was allowed that calls in a window came to.
    peak_share: f64,
}

impl SlowStartMonitor {
    pub fn new() -> Self {
        SlowStartMonitor {
            phase: Phase::Warm,
            observers: BTreeSet::new(),
            calls: VecDeque::new(),
            peak_share: 0.0,
        }
    }

    pub fn begin_outage(&mut self) {
        self.phase = Phase::Outage;
        self.observers.clear();
    }

    pub fn begin_slow_start(&mut self, now: Instant) {
        self.phase = Phase::SlowStart { since: now };
        self.calls.clear();
    }

    /// A call of a forwarder has failed there.
    pub fn record_failure(&mut self, forwarder: usize) {
        if matches!(self.phase, Phase::Outage) {
            self.observers.insert(forwarder);
        }
    }

    /// A forwarder's process has died, and forgets what it had observed.
    pub fn forget_observer(&mut self, forwarder: usize) {
        self.observers.remove(&forwarder);
    }

    /// The highest share of what was allowed that calls in a window of a slow start came to, in percent.
    pub fn peak_percent(&self) -> u64 {
        (self.peak_share * 100.0).round() as u64
    }

    /// A call has come; what is wrong with that, once for each outage.
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
            "{calls} calls within {OVERLOAD_WINDOW:?}, {max_calls:.0} allowed; {observer_calls} of observers"
        ))
    }
}

/// The max_calls calls in a window in which so many are allowed in the mean.
fn max_calls_with_margin(allowed: f64) -> f64 {
    let margin = if allowed < SMALL_SAMPLE_CALLS { 3.0 } else { 2.0 };
    allowed + margin * allowed.sqrt() + margin
}
