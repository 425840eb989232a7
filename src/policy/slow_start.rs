//! Slow start: a destination that recovers from an outage has little of its capacity at first, so the rate of
//! calls to it rises gradually.

use super::admission::AdmissionControl;
use super::constants::*;
use crate::api::*;

impl AdmissionControl {
    /// Starts the slow start at the first success after an outage.
    pub(super) fn start_warming_up(&mut self, now: Micros) {
        let open_duration = self.circuit.open_duration;
        // The destination recovered at some time since the last trial call, on average half-way.
        self.slow_start.warming_since = Some(now - open_duration.saturating_sub(OPEN_TIMEOUT) / 2);
        self.pacer.rate_factor = self.pacer.rate_factor.min(1.0);
        // The bucket accumulates a burst at the slow-start rate. In a large fleet, which has a longer open
        // duration, it does not, as the bursts would add up.
        let accumulates_burst = open_duration <= OPEN_TIMEOUT * 5 / 4;
        let refilled_at = if accumulates_burst { self.pacer.bucket.refilled_at } else { now };
        self.pacer.bucket.limit_to(0.0, refilled_at);
    }

    /// Starts the slow start of an endpoint that the endpoint list showed as draining and now lists again, as
    /// it may have been restarted meanwhile.
    pub(super) fn return_from_drain(&mut self, now: Micros, settings: &Settings) {
        self.update_recovery_interval(now, OPEN_TIMEOUT, settings);
        self.slow_start.warming_since = Some(now);
        self.pacer.bucket.limit_to(1.0, now);
    }

    /// Updates the recovery interval and returns the period, in microseconds, in which each forwarder may
    /// make one call to a recovering destination. The calls of all forwarders that noticed the failures then
    /// fit its capacity. The number of these forwarders is taken as the number of messages that arrived in
    /// `failing_for`, but no more than all forwarders.
    pub(super) fn update_recovery_interval(
        &mut self,
        now: Micros,
        failing_for: Micros,
        settings: &Settings,
    ) -> f64 {
        let failing_for_s = failing_for as f64 / SECOND as f64;
        let interval_s = failing_for_s
            .max(self.pacer.fleet_rate(settings).map_or(0.0, |rate| 1.0 / rate))
            .min(1.0 / self.own_rate(now, settings));
        self.slow_start.recovery_interval_s = interval_s;
        interval_s / (settings.slow_start_floor * settings.overload_multiple * SLOW_START_UTILIZATION)
            * SECOND as f64
    }

    /// The share of its capacity that a recovering destination is assumed to have; `None` if it is not in
    /// slow start.
    fn warm_share(&mut self, now: Micros, settings: &Settings) -> Option<f64> {
        if self.circuit.in_outage {
            return Some(settings.slow_start_floor);
        }
        let still_warming = |since: &Micros| now < since + settings.slow_start_duration;
        self.slow_start.warming_since = self.slow_start.warming_since.filter(still_warming);
        let warming_for = (now - self.slow_start.warming_since?) as f64;
        let floor = settings.slow_start_floor;
        Some(floor + (1.0 - floor) * warming_for / settings.slow_start_duration as f64)
    }

    /// The calls per second that this forwarder may send in an outage or in slow start; `None` otherwise.
    pub(super) fn slow_start_rate(&mut self, now: Micros, settings: &Settings) -> Option<f64> {
        let share = self.warm_share(now, settings)?;
        let recovery_rate = self.pacer.rate_factor.min(1.0) / self.slow_start.recovery_interval_s;
        let usable = share * settings.overload_multiple * SLOW_START_UTILIZATION;
        Some(usable * recovery_rate.max(self.pacer.even_rate(settings)))
    }
}
