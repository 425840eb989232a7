//! Calls that are in flight for too long: decides which of them are cancelled, and which endpoints get no
//! more calls.

use super::constants::*;
use super::records::{Call, CallAttempt, Endpoint};
use super::DeliveryPolicy;
use crate::api::*;

impl DeliveryPolicy {
    /// Cancels the call that is most overdue, to free a call slot while all are taken and another call could
    /// be sent. Only a call at an endpoint at which no later call has succeeded is cancelled here, and only
    /// one at a time.
    pub(super) fn cancel_to_free_slot(&mut self, now: Micros) {
        if !self.settings.may_cancel || self.calls.values().any(|c| c.cancelled) {
            return;
        }
        let overdue = |call: &Call| {
            let multiple = self.overdue_ratio(now, call)?;
            (multiple > CANCEL_TO_FREE_SLOT_MULTIPLE && !self.later_call_succeeded(call)).then_some(multiple)
        };
        let candidates = self.calls.iter().filter_map(|(number, call)| Some((overdue(call)?, *number)));
        match candidates.max_by(|a, b| a.0.total_cmp(&b.0)) {
            Some((_, number)) => self.cancel_call(number),
            // A call becomes overdue without any event, so this is checked again soon.
            None => self.wake_at(now + STUCK_MIN_AGE / 2),
        }
    }

    /// Cancels calls that are long overdue although a later call to their endpoint has succeeded. Such a call
    /// is stuck on its own connection, and would hold a slot and its messages until its timeout.
    pub(super) fn cancel_isolated_calls(&mut self, now: Micros) {
        if !self.settings.may_cancel {
            return;
        }
        let isolated = |call: &Call| {
            let multiple = self.overdue_ratio(now, call)?;
            self.later_call_succeeded(call).then_some(multiple)
        };
        let isolated: Vec<_> =
            self.calls.iter().filter_map(|(number, call)| Some((isolated(call)?, *number))).collect();
        if !isolated.is_empty() {
            self.wake_at(now + STUCK_MIN_AGE / 4);
        }
        for (multiple, number) in isolated {
            if multiple > CANCEL_ISOLATED_MULTIPLE {
                self.cancel_call(number);
            }
        }
    }

    fn cancel_call(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.cancelled = true;
        let cancel = |attempt: &CallAttempt| Action::Cancel { id: attempt.id, attempt: attempt.attempt };
        self.actions.extend(call.attempts.iter().map(cancel));
    }

    /// Whether a call that was sent to the endpoint after this one has succeeded.
    fn later_call_succeeded(&self, call: &Call) -> bool {
        let endpoint = self.endpoints.get(&call.endpoint);
        endpoint.is_some_and(|e| call.sent_at < e.admission.circuit.last_success_sent_at)
    }

    /// The age of a call as a multiple of the time after which it counts as stuck. That time is longer for
    /// classes whose calls take longer and for non-idempotent messages. `None` if the call was cancelled or
    /// its endpoint is unknown.
    fn overdue_ratio(&self, now: Micros, call: &Call) -> Option<f64> {
        let endpoint = self.endpoints.get(&call.endpoint).filter(|_| !call.cancelled)?;
        let is_non_idempotent =
            call.attempts.iter().any(|a| self.idempotency(a.id) == Idempotency::NonIdempotent);
        let classes = call.attempts.iter().filter_map(|a| Some(self.messages.get(&a.id)?.class));
        let slowest_class = classes.map(|class| self.class_durations[class.0]).fold(1.0, f64::max);
        let threshold_multiple =
            slowest_class * if is_non_idempotent { NON_IDEMPOTENT_STUCK_MULTIPLE } else { 1.0 };
        Some((now - call.sent_at) as f64 / (self.stuck_threshold(endpoint) as f64 * threshold_multiple))
    }

    /// Whether two calls or more to an endpoint are stuck and no later call has succeeded. Such an endpoint
    /// gets no more calls until they end, so that the slots remain free for other endpoints.
    pub(super) fn is_stalled(&self, now: Micros, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let stuck_threshold = self.stuck_threshold(endpoint);
        let last_success_sent_at = endpoint.admission.circuit.last_success_sent_at;
        let is_stuck = |c: &&Call| c.sent_at >= last_success_sent_at && now - c.sent_at > stuck_threshold;
        self.calls.values().filter(|c| c.endpoint == id).filter(is_stuck).count() > 1
    }

    /// The mean latency of an endpoint in microseconds, or else that of its destination, or else that of all
    /// calls.
    pub(super) fn latency_of(&self, endpoint: &Endpoint) -> f64 {
        let destination = self.destinations.get(&endpoint.entry.destination);
        let destination_latency_us = destination.and_then(|d| d.admission.mean_latency_us);
        endpoint.admission.mean_latency_us.or(destination_latency_us).unwrap_or(self.mean_latency_us)
    }

    /// The time in flight, in microseconds, after which a call to an endpoint counts as stuck.
    fn stuck_threshold(&self, endpoint: &Endpoint) -> Micros {
        ((self.latency_of(endpoint) * STUCK_LATENCY_MULTIPLE) as Micros).max(STUCK_MIN_AGE)
    }
}
