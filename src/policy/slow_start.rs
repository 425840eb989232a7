//! Slow start: a destination that recovers from an outage has little of its capacity at first, so the rate of
//! calls to it rises gradually.

use super::admission::AdmissionControl;
use super::constants::*;
use crate::api::*;

impl AdmissionControl {
    /// Begins the slow start at the first success after an outage.
    pub(super) fn begin_slow_start(&mut self, now: Micros) {
        let open_duration = self.circuit.open_duration;
        // The destination recovered at some time since the last trial call, on average half-way.
        self.slow_start.started_at = Some(now - open_duration.saturating_sub(OPEN_TIMEOUT) / 2);
        self.pacer.rate_factor = self.pacer.rate_factor.min(1.0);
        // The bucket accumulates a burst at the slow-start rate. In a large fleet, which has a longer open
        // duration, it does not, as the bursts would add up.
        let accumulates_burst = open_duration <= OPEN_TIMEOUT * 5 / 4;
        let refilled_at = if accumulates_burst { self.pacer.bucket.refilled_at } else { now };
        self.pacer.bucket.limit_to(0.0, refilled_at);
    }

    /// Begins the slow start of an endpoint, or of its destination, that the endpoint list showed as draining
    /// and now lists again. It may have been restarted meanwhile.
    pub(super) fn return_from_drain(&mut self, now: Micros, settings: &Settings) {
        self.update_recovery_interval(now, OPEN_TIMEOUT, settings);
        self.slow_start.started_at = Some(now);
        self.pacer.bucket.limit_to(1.0, now);
    }

    /// Updates the recovery interval and returns the period, in microseconds, in which each forwarder may
    /// make one call to a recovering destination. The calls of all forwarders that noticed the failures then
    /// fit its capacity. The number of these forwarders is taken as the number of messages that arrive in
    /// `expected_outage`, but no more than all forwarders. `expected_outage` is the time from the first
    /// failure to the next call, in microseconds.
    pub(super) fn update_recovery_interval(
        &mut self,
        now: Micros,
        expected_outage: Micros,
        settings: &Settings,
    ) -> f64 {
        let expected_outage_s = expected_outage as f64 / SECOND as f64;
        let interval_s = expected_outage_s
            .max(self.pacer.fleet_rate(settings).map_or(0.0, |rate| 1.0 / rate))
            .min(1.0 / self.own_rate(now, settings));
        self.slow_start.recovery_interval_s = interval_s;
        interval_s / (settings.slow_start_floor * settings.overload_multiple * SLOW_START_UTILIZATION)
            * SECOND as f64
    }

    /// The share of its capacity that a recovering destination is assumed to have; `None` if it is not in
    /// slow start.
    fn capacity_share(&mut self, now: Micros, settings: &Settings) -> Option<f64> {
        if self.circuit.in_outage {
            return Some(settings.slow_start_floor);
        }
        let is_active = |since: &Micros| now < since + settings.slow_start_duration;
        self.slow_start.started_at = self.slow_start.started_at.filter(is_active);
        let active_for = (now - self.slow_start.started_at?) as f64;
        let floor = settings.slow_start_floor;
        Some(floor + (1.0 - floor) * active_for / settings.slow_start_duration as f64)
    }

    /// The calls per second that this forwarder may send in an outage or in slow start; `None` at other
    /// times.
    pub(super) fn slow_start_rate(&mut self, now: Micros, settings: &Settings) -> Option<f64> {
        let share = self.capacity_share(now, settings)?;
        let recovery_rate = self.pacer.rate_factor.min(1.0) / self.slow_start.recovery_interval_s;
        let usable = share * settings.overload_multiple * SLOW_START_UTILIZATION;
        Some(usable * recovery_rate.max(self.pacer.even_rate(settings)))
    }
}
