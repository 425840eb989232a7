//! The circuit breaker: closed while calls succeed, open in an outage, half-open while a trial call decides.

use super::constants::*;
use crate::api::*;
use serde::{Deserialize, Serialize};

/// Whether a call may go out.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may.
    Admitted,
    /// One may, as the trial call of a half-open breaker.
    Trial,
    /// None may before this time.
    NotBefore(Micros),
}

/// The circuit breaker of a destination or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct CircuitBreaker {
    #[serde(rename = "status")]
    pub(super) state: BreakerState,
    /// Consecutive failures.
    pub(super) failure_count: u32,
    /// When an open breaker becomes half-open.
    #[serde(rename = "next_attempt")]
    pub(super) next_trial_at: Micros,
    /// The one trial call of a half-open breaker is in flight.
    #[serde(rename = "trial")]
    pub(super) trial_in_flight: bool,
    #[serde(rename = "last_ok")]
    last_success_at: Micros,
    /// When the latest call was sent that succeeded: a call sent before it isn't stuck on a dead endpoint.
    #[serde(rename = "ok_sent")]
    pub(super) last_success_sent_at: Micros,
    /// Failures were seen that may be an outage, and no success since.
    #[serde(rename = "outage")]
    pub(super) in_outage: bool,
    /// From the last opening, or the last pause for a failure, to the next trial.
    #[serde(rename = "gap")]
    pub(super) open_duration: Micros,
    /// The first failure or rejection since the last success.
    #[serde(rename = "trouble_since")]
    pub(super) failing_since: Option<Micros>,
}

impl CircuitBreaker {
    pub(super) fn new(now: Micros) -> Self {
        CircuitBreaker { last_success_at: now, ..CircuitBreaker::default() }
    }

    /// Whether a call may go out; an open breaker becomes half-open when it is time.
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

    /// It failed or is in an outage, and is not yet known to be healthy again.
    pub(super) fn is_suspect(&self) -> bool {
        self.failure_count > 0 || self.in_outage
    }

    /// How long it has been healthy since the last success: up to now, or to the first failure after it.
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

    /// Counts a failure and returns when the failures began.
    pub(super) fn count_failure(&mut self, now: Micros) -> Micros {
        self.failure_count += 1;
        *self.failing_since.get_or_insert(now)
    }

    /// Enough failures to open; a connection reset needs one more.
    pub(super) fn has_reached_threshold(&self, connection_reset: bool) -> bool {
        self.failure_count >= FAILURE_THRESHOLD + u32::from(connection_reset)
    }

    /// Assumes an outage after a failure, without opening; calls pause for this long.
    pub(super) fn suspend(&mut self, pause: Micros) {
        self.in_outage = true;
        self.open_duration = pause;
    }

    pub(super) fn open(&mut self, now: Micros, duration: Micros) {
        self.state = BreakerState::Open;
        self.in_outage = true;
        self.open_duration = duration;
        self.next_trial_at = now + duration;
    }

    /// Until when an open breaker keeps calls back; 0 in other states.
    pub(super) fn blocked_until(&self) -> Micros {
        if self.state == BreakerState::Open {
            self.next_trial_at
        } else {
            0
        }
    }
}
