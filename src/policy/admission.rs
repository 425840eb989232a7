//! Admission control of a destination or an endpoint: decides by circuit breaker, pacing and slow start
//! whether a call may be sent now, and updates all three from the outcomes of calls.

use super::circuit_breaker::{Admission, CircuitBreaker};
use super::constants::*;
use super::pacing::Pacer;
use crate::api::*;
use crate::time_slots::SlotSchedule;
use serde::{Deserialize, Serialize};

/// The facts about a finished call that update the records of its endpoint and destination.
#[derive(Clone, Copy)]
pub(super) struct FinishedCall {
    /// When the policy decided on the call.
    pub(super) sent_at: Micros,
    /// The time from that decision to the end of the call, in microseconds.
    pub(super) elapsed_us: f64,
    pub(super) is_trial: bool,
    pub(super) outcome: Outcome,
}

/// The slow-start state of a destination or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct SlowStart {
    /// The interval between this forwarder's calls, in seconds. If every forwarder that noticed the outage
    /// calls at this interval, they use the full capacity of the recovering destination.
    #[serde(rename = "spread")]
    pub(super) recovery_interval_s: f64,
    /// When the slow start began; `None` if there is none. After an outage it is an estimate of the time at
    /// which the destination recovered.
    #[serde(rename = "cold_since")]
    pub(super) started_at: Option<Micros>,
}

impl SlowStart {
    pub(super) fn is_active(&self) -> bool {
        self.started_at.is_some()
    }
}

/// The circuit breaker, pacer, slow start and latency of a destination or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct AdmissionControl {
    #[serde(flatten)]
    pub(super) circuit: CircuitBreaker,
    #[serde(flatten)]
    pub(super) pacer: Pacer,
    #[serde(flatten)]
    pub(super) slow_start: SlowStart,
    /// Mean time from the decision on a call to its success, in microseconds. It includes the time to
    /// connect. A timeout above the mean counts as well. `None` before the first sample.
    #[serde(rename = "latency")]
    pub(super) mean_latency_us: Option<f64>,
}

impl AdmissionControl {
    pub(super) fn new(now: Micros) -> Self {
        let (circuit, pacer) = (CircuitBreaker::new(now), Pacer::new(now));
        AdmissionControl { circuit, pacer, ..AdmissionControl::default() }
    }

    /// Checks the circuit breaker. A retry-after or backoff forbids calls in any state of the breaker.
    pub(super) fn check_circuit(&mut self, now: Micros) -> Admission {
        if now < self.pacer.paused_until {
            return Admission::NotBefore(self.pacer.paused_until);
        }
        self.circuit.check(now)
    }

    /// Checks the circuit breaker and the pacer. Trial calls are not paced while the outage lasts
    /// (`in_outage`).
    pub(super) fn check(&mut self, now: Micros, settings: &Settings) -> Admission {
        let admission = self.check_circuit(now);
        let is_paced = match admission {
            Admission::Admitted => true,
            Admission::Trial => !self.circuit.in_outage,
            Admission::NotBefore(_) => false,
        };
        if !is_paced {
            return admission;
        }
        match self.check_pace(now, settings) {
            Admission::Admitted => admission,
            not_before => not_before,
        }
    }

    /// Updates the records from a finished call. `default_latency_us` is the mean latency assumed before the
    /// first sample.
    pub(super) fn record(
        &mut self,
        now: Micros,
        call: &FinishedCall,
        default_latency_us: f64,
        settings: &Settings,
        slot: SlotSchedule,
    ) {
        self.circuit.trial_in_flight &= !call.is_trial;
        if call.outcome == Outcome::Ok {
            self.circuit.last_success_sent_at = self.circuit.last_success_sent_at.max(call.sent_at);
        }
        // A call that was sent later has succeeded, so this is no outage: the connection of this call is dead
        // or its processing takes long.
        let later_call_succeeded = matches!(call.outcome, Outcome::TimedOut | Outcome::Cancelled)
            && call.sent_at < self.circuit.last_success_sent_at;
        match call.outcome {
            _ if later_call_succeeded => {}
            Outcome::Ok => self.record_success(now, settings),
            Outcome::Rejected(_) => self.record_rejection(now, call, settings, slot),
            // A stale connection is no evidence of an outage; the next call shows the state of the
            // destination.
            Outcome::NotSent | Outcome::NotJournaled | Outcome::StaleConnection => {}
            _ => self.record_failure(now, call, settings, slot),
        }
        let mean = self.mean_latency_us.unwrap_or(default_latency_us);
        // The latency of a call that timed out is at least its timeout, so it counts only if it raises the
        // mean.
        let timeout_raises_mean =
            call.outcome == Outcome::TimedOut && call.elapsed_us > mean && !later_call_succeeded;
        if call.outcome == Outcome::Ok || timeout_raises_mean {
            self.mean_latency_us = Some(mean + LATENCY_SMOOTHING * (call.elapsed_us - mean));
        }
    }

    fn record_success(&mut self, now: Micros, settings: &Settings) {
        self.pacer.record_success(self.circuit.healthy_for(now), settings);
        if self.circuit.in_outage {
            self.begin_slow_start(now);
        }
        self.circuit.record_success(now);
    }

    fn record_failure(&mut self, now: Micros, call: &FinishedCall, settings: &Settings, slot: SlotSchedule) {
        let failing_since = self.circuit.count_failure(now);
        let is_closed = self.circuit.state == BreakerState::Closed;
        let trips = is_closed && self.circuit.has_reached_threshold(call.outcome == Outcome::Reset);
        // When a destination fails, each forwarder of a large fleet may lose its first call. If each then
        // made its second call at once, a recovering destination would get all of them at the same time. A
        // forwarder that makes less than one call per `OPEN_TIMEOUT` therefore waits for its time slot before
        // the second call. This also helps against short congestion; the price is that such a forwarder waits
        // after a single lost call.
        let calls_less_than_once_per_open_timeout =
            || self.own_rate(now, settings) * (OPEN_TIMEOUT as f64) < SECOND as f64;
        if is_closed && !trips && calls_less_than_once_per_open_timeout() {
            let period = self.update_recovery_interval(now, OPEN_TIMEOUT, settings);
            let wait = slot.delay_to_slot_after(period, 0);
            self.pacer.paused_until = self.pacer.paused_until.max(now + wait);
            self.circuit.assume_outage(wait);
        }
        if trips || self.circuit.state == BreakerState::HalfOpen && call.is_trial {
            // The outage lasts at least until the next trial call.
            let expected_outage = now - failing_since + OPEN_TIMEOUT;
            let period =
                self.update_recovery_interval(now, expected_outage, settings).max(OPEN_TIMEOUT as f64);
            self.circuit.open(now, slot.delay_to_slot_after(period, MIN_OPEN_DURATION));
        }
    }

    /// Records a rejection for lack of capacity. It counts as a failure only if it rejects a trial call, or
    /// if no call succeeded for [`OPEN_TIMEOUT`] since the first failure or rejection.
    fn record_rejection(
        &mut self,
        now: Micros,
        call: &FinishedCall,
        settings: &Settings,
        slot: SlotSchedule,
    ) {
        let failing_since = *self.circuit.failing_since.get_or_insert(now);
        // Calls that were already in flight at the last rejection do not lower the rate again.
        if call.sent_at >= self.pacer.last_rejected_at {
            self.back_off(now, failing_since, call.outcome, settings, slot);
        }
        if call.is_trial || now - failing_since >= OPEN_TIMEOUT {
            self.record_failure(now, call, settings, slot);
        }
    }

    /// Lowers the rate and pauses calls after a rejection. A retry-after has already set `paused_until`;
    /// without one, the forwarder pauses for the backoff.
    ///
    /// The forwarders of a large fleet would then all call again at the same time. Therefore, if the even
    /// interval is longer than [`BACKOFF_INITIAL`] and than half the pause, the forwarder waits for its time
    /// slot instead of the pause, after the end of a retry-after. The slot lies in a period in which every
    /// forwarder may call once. The period is longer if the rejections continue.
    fn back_off(
        &mut self,
        now: Micros,
        failing_since: Micros,
        outcome: Outcome,
        settings: &Settings,
        slot: SlotSchedule,
    ) {
        self.pacer.last_rejected_at = now;
        let even_interval = self.pacer.even_interval_s(settings) * SECOND as f64;
        let counted_rejections = (even_interval / BACKOFF_INITIAL as f64).max(1.0);
        self.pacer.cut_rate(counted_rejections);
        let has_retry_after = matches!(outcome, Outcome::Rejected(Some(_)));
        let pause = if has_retry_after { 0 } else { self.pacer.backoff };
        let was_healthy = !self.circuit.in_outage && !self.slow_start.is_active() && failing_since == now;
        let period = if was_healthy {
            even_interval.min(MAX_REJECTION_SPREAD_US)
        } else {
            self.update_recovery_interval(now, now - failing_since + OPEN_TIMEOUT / 2, settings)
        };
        let uses_time_slot = counted_rejections > 1.0 && 2.0 * even_interval > pause as f64;
        let wait = if uses_time_slot { slot.delay_to_slot(period) } else { pause };
        self.pacer.paused_until = self.pacer.paused_until.max(now) + wait;
        // Tokens accumulated during a pause would all be spent at its end, and those calls would be rejected
        // again.
        if !self.circuit.in_outage {
            self.pacer.bucket.limit_to(1.0, self.pacer.paused_until);
        }
        if !has_retry_after {
            self.pacer.backoff = (2 * self.pacer.backoff).min(BACKOFF_MAX);
        }
    }
}
