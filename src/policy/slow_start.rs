//! Slow start: a destination that returns from an outage has little of its capacity at first, and gets calls
//! accordingly.

use super::admission::AdmissionControl;
use super::constants::*;
use crate::api::*;

impl AdmissionControl {
    /// The first success after an outage.
    pub(super) fn start_warming_up(&mut self, now: Micros) {
        let open_duration = self.circuit.open_duration;
        // It returned at some time since the last trial, half way on average.
        self.slow_start.warming_since = Some(now - open_duration.saturating_sub(OPEN_TIMEOUT) / 2);
        self.pacer.rate_factor = self.pacer.rate_factor.min(1.0);
        // A burst of the slow-start rate is saved up, none by a large fleet.
        let saves_up = open_duration <= OPEN_TIMEOUT * 5 / 4;
        let refilled_at = if saves_up { self.pacer.bucket.refilled_at } else { now };
        self.pacer.bucket.limit_to(0.0, refilled_at);
    }

    /// The endpoint list named it as draining and now lists it again: it may have been restarted meanwhile.
    pub(super) fn return_from_drain(&mut self, now: Micros, settings: &Settings) {
        self.update_return_interval(now, OPEN_TIMEOUT, settings);
        self.slow_start.warming_since = Some(now);
        self.pacer.bucket.limit_to(1.0, now);
    }

    /// The time in microseconds in which each forwarder may call once so that the calls of all that have seen
    /// failures for this long fit: as many as messages arrived in it, but not more than there are forwarders.
    pub(super) fn update_return_interval(
        &mut self,
        now: Micros,
        failing_for: Micros,
        settings: &Settings,
    ) -> f64 {
        let failing_for_s = failing_for as f64 / SECOND as f64;
        let interval_s = failing_for_s
            .max(self.pacer.fleet_rate(settings).map_or(0.0, |rate| 1.0 / rate))
            .min(1.0 / self.own_rate(now, settings));
        self.slow_start.return_interval_s = interval_s;
        interval_s / (settings.slow_start_floor * settings.overload_multiple * SLOW_START_UTILIZATION)
            * SECOND as f64
    }

    /// Share of its capacity that a returning destination can be counted on to have; none when it is warm.
    fn warm_share(&mut self, now: Micros, settings: &Settings) -> Option<f64> {
        if self.circuit.in_outage {
            return Some(settings.slow_start_floor);
        }
        let still_warming = |since: &Micros| now < since + settings.slow_start;
        self.slow_start.warming_since = self.slow_start.warming_since.filter(still_warming);
        let warming_for = (now - self.slow_start.warming_since?) as f64;
        let floor = settings.slow_start_floor;
        Some(floor + (1.0 - floor) * warming_for / settings.slow_start as f64)
    }

    /// Calls a second that this forwarder may send in an outage or in slow start; none when it is warm.
    pub(super) fn slow_start_rate(&mut self, now: Micros, settings: &Settings) -> Option<f64> {
        let share = self.warm_share(now, settings)?;
        let returning = self.pacer.rate_factor.min(1.0) / self.slow_start.return_interval_s;
        let usable = share * settings.overload_multiple * SLOW_START_UTILIZATION;
        Some(usable * returning.max(self.pacer.even_rate(settings)))
    }
}
