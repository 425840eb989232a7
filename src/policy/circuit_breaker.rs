//! The circuit breaker: closed while calls succeed, open in an outage, half-open while the outcome of a trial
//! call is awaited.

use super::constants::*;
use crate::api::*;
use serde::{Deserialize, Serialize};

/// Whether a call may be sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// A call may be sent.
    Admitted,
    /// One call may be sent, as the trial call of a half-open breaker.
    Trial,
    /// No call may be sent before this time.
    NotBefore(Micros),
}

/// The circuit breaker of a destination or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct CircuitBreaker {
    #[serde(rename = "status")]
    pub(super) state: BreakerState,
    /// The number of consecutive failures.
    pub(super) failure_count: u32,
    /// When an open breaker becomes half-open.
    #[serde(rename = "next_attempt")]
    pub(super) next_trial_at: Micros,
    /// The trial call of a half-open breaker is in flight; there is only one at a time.
    #[serde(rename = "trial")]
    pub(super) trial_in_flight: bool,
    #[serde(rename = "last_ok")]
    last_success_at: Micros,
    /// The latest send time of a call that succeeded. A call that was sent earlier and is still unanswered is
    /// stuck for another reason than a dead endpoint.
    #[serde(rename = "ok_sent")]
    pub(super) last_success_sent_at: Micros,
    /// An outage is assumed: calls failed, and none has succeeded since.
    #[serde(rename = "outage")]
    pub(super) in_outage: bool,
    /// The time from the last opening of the breaker, or from the last pause after a failure, to the next
    /// trial call.
    #[serde(rename = "gap")]
    pub(super) open_duration: Micros,
    /// The time of the first failure or rejection since the last success; `None` if there was none.
    #[serde(rename = "trouble_since")]
    pub(super) failing_since: Option<Micros>,
}

impl CircuitBreaker {
    pub(super) fn new(now: Micros) -> Self {
        CircuitBreaker { last_success_at: now, ..CircuitBreaker::default() }
    }

    /// Checks whether a call may be sent. An open breaker becomes half-open once its open duration has
    /// passed.
    pub(super) fn check(&mut self, now: Micros) -> Admission {
        if self.state == BreakerState::Open && now >= self.next_trial_at {
            self.state = BreakerState::HalfOpen;
            self.trial_in_flight = false;
        }
        match self.state {
            BreakerState::Closed => Admission::Admitted,
            BreakerState::Open => Admission::NotBefore(self.next_trial_at),
            BreakerState::HalfOpen if self.trial_in_flight => Admission::NotBefore(NEVER),
            BreakerState::HalfOpen => Admission::Trial,
        }
    }

    /// Whether a call failed or an outage is assumed, and no call has succeeded since.
    pub(super) fn has_recent_failures(&self) -> bool {
        self.failure_count > 0 || self.in_outage
    }

    /// How long the destination was healthy since the last success: up to now, or up to the first failure
    /// after it.
    pub(super) fn healthy_for(&self, now: Micros) -> Micros {
        self.failing_since.unwrap_or(now).saturating_sub(self.last_success_at)
    }

    pub(super) fn record_success(&mut self, now: Micros) {
        self.failure_count = 0;
        self.last_success_at = now;
        self.failing_since = None;
        self.in_outage = false;
        match self.state {
            BreakerState::Open => self.next_trial_at = self.next_trial_at.min(now),
            BreakerState::HalfOpen => self.state = BreakerState::Closed,
            BreakerState::Closed => {}
        }
    }

    /// Counts a failure and returns the time of the first failure since the last success.
    pub(super) fn count_failure(&mut self, now: Micros) -> Micros {
        self.failure_count += 1;
        *self.failing_since.get_or_insert(now)
    }

    /// Whether there were enough failures to open the breaker. One more is needed if the last one was a
    /// connection reset.
    pub(super) fn has_reached_threshold(&self, connection_reset: bool) -> bool {
        self.failure_count >= FAILURE_THRESHOLD + u32::from(connection_reset)
    }

    /// Assumes an outage after a failure without opening the breaker. `pause` is the time to the next call.
    pub(super) fn assume_outage(&mut self, pause: Micros) {
        self.in_outage = true;
        self.open_duration = pause;
    }

    pub(super) fn open(&mut self, now: Micros, duration: Micros) {
        self.state = BreakerState::Open;
        self.in_outage = true;
        self.open_duration = duration;
        self.next_trial_at = now + duration;
    }

    /// When an open breaker allows the next call; 0 in the other states.
    pub(super) fn blocked_until(&self) -> Micros {
        if self.state == BreakerState::Open {
            self.next_trial_at
        } else {
            0
        }
    }
}
