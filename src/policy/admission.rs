//! Admission control of a destination or an endpoint: whether a call may go out now, by circuit breaker, pace
//! and slow start, and what the outcomes of calls change in them.

use super::circuit_breaker::{Admission, CircuitBreaker};
use super::constants::*;
use super::pacing::Pacer;
use crate::api::*;
use crate::time_slots::SlotSchedule;
use serde::{Deserialize, Serialize};

/// A finished call, as the records see it that it counts for.
#[derive(Clone, Copy)]
pub(super) struct FinishedCall {
    pub(super) sent_at: Micros,
    pub(super) duration_us: f64,
    pub(super) is_trial: bool,
    pub(super) outcome: Outcome,
}

/// The slow start of a destination or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct SlowStart {
    /// Seconds between two calls of this forwarder at which all forwarders' calls fit the capacity that a
    /// returning destination has.
    #[serde(rename = "spread")]
    pub(super) return_interval_s: f64,
    /// When it returned; none once it is warm.
    #[serde(rename = "cold_since")]
    pub(super) warming_since: Option<Micros>,
}

impl SlowStart {
    pub(super) fn is_active(&self) -> bool {
        self.warming_since.is_some()
    }
}

/// What is kept for a destination or an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct AdmissionControl {
    #[serde(flatten)]
    pub(super) circuit: CircuitBreaker,
    #[serde(flatten)]
    pub(super) pacer: Pacer,
    #[serde(flatten)]
    pub(super) slow_start: SlowStart,
    /// Average latency of its answers in microseconds; none before the first.
    #[serde(rename = "latency")]
    pub(super) mean_latency_us: Option<f64>,
}

impl AdmissionControl {
    pub(super) fn new(now: Micros) -> Self {
        let (circuit, pacer) = (CircuitBreaker::new(now), Pacer::new(now));
        AdmissionControl { circuit, pacer, ..AdmissionControl::default() }
    }

    /// Asks the circuit breaker, and keeps to a retry-after or backoff in any of its states.
    pub(super) fn check_circuit(&mut self, now: Micros) -> Admission {
        if now < self.pacer.paused_until {
            return Admission::NotBefore(self.pacer.paused_until);
        }
        self.circuit.check(now)
    }

    /// Asks the circuit breaker and, but for the first trial call after an outage, the pacer.
    pub(super) fn check(&mut self, now: Micros, settings: &Settings) -> Admission {
        let admission = self.check_circuit(now);
        let paced = match admission {
            Admission::Admitted => true,
            Admission::Trial => !self.circuit.in_outage,
            Admission::NotBefore(_) => false,
        };
        if !paced {
            return admission;
        }
        match self.check_pace(now, settings) {
            Admission::Admitted => admission,
            not_before => not_before,
        }
    }

    /// Takes a finished call into account. Its latency is averaged from the given one if it is the first.
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
        // A later call was answered: the connection is dead or the work long, but the endpoint is not down.
        let isolated = matches!(call.outcome, Outcome::TimedOut | Outcome::Cancelled)
            && call.sent_at < self.circuit.last_success_sent_at;
        match call.outcome {
            _ if isolated => {}
            Outcome::Ok => self.record_success(now, settings),
            Outcome::Rejected(_) => self.record_rejection(now, call, settings, slot),
            // A stale connection says nothing of the destination; the next call does.
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
        let closed = self.circuit.state == BreakerState::Closed;
        let trips = closed && self.circuit.has_reached_threshold(call.outcome == Outcome::Reset);
        // In a large fleet second calls are as many as first ones, and a returning destination gets them all
        // at once: a forwarder that seldom calls waits for a slot first. This
        // also helps against short congestion; a single lost call costs such a forwarder that wait.
        let calls_seldom = || self.own_rate(now, settings) * (OPEN_TIMEOUT as f64) < SECOND as f64;
        if closed && !trips && calls_seldom() {
            let period = self.update_return_interval(now, OPEN_TIMEOUT, settings);
            let wait = slot.delay_to_slot_after(period, 0);
            self.pacer.paused_until = self.pacer.paused_until.max(now + wait);
            self.circuit.suspend(wait);
        }
        if trips || self.circuit.state == BreakerState::HalfOpen && call.is_trial {
            let failing_for = now - failing_since + OPEN_TIMEOUT;
            let period = self.update_return_interval(now, failing_for, settings).max(OPEN_TIMEOUT as f64);
            self.circuit.open(now, slot.delay_to_slot_after(period, MIN_OPEN_DURATION));
        }
    }

    /// A rejection for lack of capacity. It is a failure only if nothing else was answered for
    /// [`OPEN_TIMEOUT`].
    fn record_rejection(
        &mut self,
        now: Micros,
        call: &FinishedCall,
        settings: &Settings,
        slot: SlotSchedule,
    ) {
        let failing_since = *self.circuit.failing_since.get_or_insert(now);
        // Rejections of calls that were in flight together count once.
        if call.sent_at >= self.pacer.last_rejected_at {
            self.back_off(now, failing_since, call.outcome, settings, slot);
        }
        if call.is_trial || now - failing_since >= OPEN_TIMEOUT {
            self.record_failure(now, call, settings, slot);
        }
    }

    /// Lowers the rate and pauses. A large fleet would call again all at once: each forwarder waits for its
    /// slot in the time in which all may call once, and longer if it is rejected again.
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
        let stands_for = (even_interval / BACKOFF_INITIAL as f64).max(1.0);
        self.pacer.cut_rate(stands_for);
        let has_retry_after = matches!(outcome, Outcome::Rejected(Some(_)));
        let pause = if has_retry_after { 0 } else { self.pacer.backoff };
        let was_healthy = !self.circuit.in_outage && !self.slow_start.is_active() && failing_since == now;
        let period = if was_healthy {
            even_interval.min(MAX_REJECTION_SPREAD_US)
        } else {
            self.update_return_interval(now, now - failing_since + OPEN_TIMEOUT / 2, settings)
        };
        let takes_slots = stands_for > 1.0 && 2.0 * even_interval > pause as f64;
        let wait = if takes_slots { slot.delay_to_slot(period) } else { pause };
        self.pacer.paused_until = self.pacer.paused_until.max(now) + wait;
        // Tokens that build up in a pause would all be spent at its end, and the calls rejected again.
        if !self.circuit.in_outage {
            self.pacer.bucket.limit_to(1.0, self.pacer.paused_until);
        }
        if !has_retry_after {
            self.pacer.backoff = (2 * self.pacer.backoff).min(BACKOFF_MAX);
        }
    }
}
