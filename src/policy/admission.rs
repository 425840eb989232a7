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
    pub(super) sent_at: Micros,
    pub(super) duration_us: f64,
    pub(super) is_trial: bool,
    pub(super) outcome: Outcome,
}

/// The slow-start state of a destination or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct SlowStart {
    /// The interval between two calls of this forwarder, in seconds, at which the calls of all forwarders
    /// together just fit the full capacity of the recovering destination.
    #[serde(rename = "spread")]
    pub(super) recovery_interval_s: f64,
    /// When the destination recovered; `None` when it is not in slow start.
    #[serde(rename = "cold_since")]
    pub(super) warming_since: Option<Micros>,
}

impl SlowStart {
    pub(super) fn is_active(&self) -> bool {
        self.warming_since.is_some()
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
    /// Average latency of its responses in microseconds; `None` before the first response.
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

    /// Checks the circuit breaker and the pacer. The first trial call after an outage is not paced.
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
        // The endpoint answered a call that was sent later, so it is not down: the connection of this call is
        // dead or its processing takes long.
        let isolated = matches!(call.outcome, Outcome::TimedOut | Outcome::Cancelled)
            && call.sent_at < self.circuit.last_success_sent_at;
        match call.outcome {
            _ if isolated => {}
            Outcome::Ok => self.record_success(now, settings),
            Outcome::Rejected(_) => self.record_rejection(now, call, settings, slot),
            // A stale connection is no evidence of an outage; the next call shows the state of the
            // destination.
            Outcome::NotSent | Outcome::NotJournaled | Outcome::StaleConnection => {}
            _ => self.record_failure(now, call, settings, slot),
        }
        let mean = self.mean_latency_us.unwrap_or(default_latency_us);
        let slow_timeout = call.outcome == Outcome::TimedOut && call.duration_us > mean && !isolated;
        if call.outcome == Outcome::Ok || slow_timeout {
            self.mean_latency_us = Some(mean + LATENCY_SMOOTHING * (call.duration_us - mean));
        }
    }

    fn record_success(&mut self, now: Micros, settings: &Settings) {
        self.pacer.record_success(self.circuit.healthy_for(now), settings);
        if self.circuit.in_outage {
            self.start_warming_up(now);
        }
        self.circuit.record_success(now);
    }

    fn record_failure(&mut self, now: Micros, call: &FinishedCall, settings: &Settings, slot: SlotSchedule) {
        let failing_since = self.circuit.count_failure(now);
        let is_closed = self.circuit.state == BreakerState::Closed;
        let trips = is_closed && self.circuit.has_reached_threshold(call.outcome == Outcome::Reset);
        // In a large fleet there are as many second calls as first ones, and a recovering destination would
        // get them all at once. A forwarder that seldom calls therefore waits for its time slot before the
        // second call. This also helps against short congestion; the price is that such a forwarder waits
        // after a single lost call.
        let calls_seldom = || self.own_rate(now, settings) * (OPEN_TIMEOUT as f64) < SECOND as f64;
        if is_closed && !trips && calls_seldom() {
            let period = self.update_recovery_interval(now, OPEN_TIMEOUT, settings);
            let wait = slot.delay_to_slot_after(period, 0);
            self.pacer.paused_until = self.pacer.paused_until.max(now + wait);
            self.circuit.assume_outage(wait);
        }
        if trips || self.circuit.state == BreakerState::HalfOpen && call.is_trial {
            let failing_for = now - failing_since + OPEN_TIMEOUT;
            let period = self.update_recovery_interval(now, failing_for, settings).max(OPEN_TIMEOUT as f64);
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

    /// Lowers the rate and pauses after a rejection. The forwarders of a large fleet would otherwise all call
    /// again at the same time, so each waits for its time slot in a period in which every forwarder may call
    /// once. The period is longer if the rejections continue.
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
        let rejection_weight = (even_interval / BACKOFF_INITIAL as f64).max(1.0);
        self.pacer.cut_rate(rejection_weight);
        let has_retry_after = matches!(outcome, Outcome::Rejected(Some(_)));
        let pause = if has_retry_after { 0 } else { self.pacer.backoff };
        let was_healthy = !self.circuit.in_outage && !self.slow_start.is_active() && failing_since == now;
        let period = if was_healthy {
            even_interval.min(MAX_REJECTION_SPREAD_US)
        } else {
            self.update_recovery_interval(now, now - failing_since + OPEN_TIMEOUT / 2, settings)
        };
        let uses_time_slot = rejection_weight > 1.0 && 2.0 * even_interval > pause as f64;
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
