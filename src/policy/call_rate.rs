//! The rate at which this forwarder may call a destination or an endpoint, and the time at which the pacer
//! allows the next call.

use super::admission::AdmissionControl;
use super::circuit_breaker::Admission;
use super::constants::*;
use crate::api::*;

impl AdmissionControl {
    /// The calls per second that this forwarder is entitled to. This is the rate that it delivered while the
    /// destination was healthy, which the destination can sustain whatever the distribution of traffic among
    /// forwarders, or its even share of the fleet's rate if that is higher.
    pub(super) fn own_rate(&self, now: Micros, settings: &Settings) -> f64 {
        let delivered = self.pacer.delivered.per_second(self.circuit.healthy_for(now), OPEN_TIMEOUT);
        let fleet_rate = self.pacer.fleet_rate(settings);
        fleet_rate.map_or(delivered, |rate| delivered.max(rate / settings.forwarders as f64))
    }

    /// The calls per second that this forwarder may send now.
    pub(super) fn rate(&mut self, now: Micros, settings: &Settings) -> f64 {
        if let Some(rate) = self.slow_start_rate(now, settings) {
            return rate;
        }
        let pacer = &self.pacer;
        let limit = pacer.limit.current.filter(|limit| limit.rate > 0.0);
        let is_nearly_used_up = limit.is_some_and(|limit| limit.remaining_share < LOW_REMAINING_SHARE);
        let overcommit = if is_nearly_used_up { 1.0 } else { OVERCOMMIT_RATIO };
        let min_rate = pacer.min_rate(now, settings, limit.is_some());
        let demand = &pacer.demand;
        let demand_rate = demand.count.min(1.0) * demand.per_second(now - demand.updated_at, OPEN_TIMEOUT);
        let target_rate = (self.own_rate(now, settings).max(demand_rate) * overcommit).max(min_rate);
        // Rejections lower only the part of the rate that exceeds the forwarder's even share of the fleet's
        // rate.
        (target_rate * pacer.rate_factor).max(pacer.even_rate(settings) * SLOW_START_UTILIZATION)
    }

    /// Refills the token bucket and checks whether it holds a token for a call.
    pub(super) fn check_pace(&mut self, now: Micros, settings: &Settings) -> Admission {
        let tokens_per_us = self.rate(now, settings) / SECOND as f64;
        let bucket = &mut self.pacer.bucket;
        bucket.refill(now, tokens_per_us);
        // A token that is incomplete only by a rounding error of the refill counts as complete.
        if bucket.tokens >= 1.0 - 1e-6 {
            return Admission::Admitted;
        }
        let wait = ((1.0 - bucket.tokens).max(0.0) / tokens_per_us).ceil() as Micros;
        Admission::NotBefore(now.saturating_add(wait))
    }
}
