//! Applies the outcomes of calls to the circuit breakers, pacers and latencies of their endpoints and
//! destinations.

use super::admission::{AdmissionControl, FinishedCall};
use super::constants::*;
use super::records::{get_or_create_destination, Destinations, Endpoint};
use super::DeliveryPolicy;
use crate::api::*;
use std::collections::BTreeMap;

/// The records to which an outcome at an endpoint applies: that of the endpoint, and that of its destination
/// unless each endpoint has its own circuit breaker.
fn affected_records<'a>(
    endpoints: &'a mut BTreeMap<EndpointId, Endpoint>,
    destinations: &'a mut Destinations,
    id: EndpointId,
) -> impl Iterator<Item = &'a mut AdmissionControl> {
    let endpoint = endpoints.get_mut(&id);
    let destination_id = endpoint.as_ref().map(|e| e.entry.destination);
    let destination = destination_id.and_then(|d| destinations.get_mut(&d));
    let with_shared_breaker = destination.filter(|d| !d.per_endpoint_breaker);
    let of_endpoint = endpoint.map(|e| e.admission.as_mut());
    of_endpoint.into_iter().chain(with_shared_breaker.map(|d| d.admission.as_mut()))
}

impl DeliveryPolicy {
    /// Updates the estimated rate limit from the load report of a response.
    pub(super) fn observe_load_report(&mut self, id: EndpointId, report: Option<LoadReport>) {
        for admission in affected_records(&mut self.endpoints, &mut self.destinations, id) {
            admission.pacer.limit.observe(report);
        }
    }

    /// Applies a retry-after to an endpoint. Rule 6: it is obeyed in any state of the circuit breaker, and
    /// each message of a call may get its own. One millisecond is added because the time was rounded down to
    /// milliseconds.
    pub(super) fn observe_retry_after(&mut self, now: Micros, id: EndpointId, retry_after: Micros) {
        for admission in affected_records(&mut self.endpoints, &mut self.destinations, id) {
            let until = now.saturating_add(retry_after + MS);
            admission.pacer.paused_until = admission.pacer.paused_until.max(until);
        }
    }

    /// Applies the retry-after of an endpoint that has been removed to its destination, unless each endpoint
    /// has its own circuit breaker.
    pub(super) fn observe_retry_after_of_removed_endpoint(
        &mut self,
        now: Micros,
        id: DestinationId,
        retry_after: Micros,
    ) {
        let destination = get_or_create_destination(&mut self.destinations, now, id);
        if !destination.per_endpoint_breaker {
            let until = now.saturating_add(retry_after + MS);
            let paused_until = &mut destination.admission.pacer.paused_until;
            *paused_until = (*paused_until).max(until);
        }
    }

    /// Takes a token for a call that is sent and, if it is a trial call, marks the trial as in flight.
    pub(super) fn record_call_start(&mut self, now: Micros, id: EndpointId, is_trial: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.last_used_at = now;
        }
        for admission in affected_records(&mut self.endpoints, &mut self.destinations, id) {
            admission.pacer.bucket.tokens -= 1.0;
            admission.circuit.trial_in_flight |= is_trial;
        }
    }

    /// Updates all records to which a finished call applies. Logs a state change of a circuit breaker; if two
    /// changed, that of the destination.
    pub(super) fn record_outcome(&mut self, now: Micros, id: EndpointId, call: &FinishedCall) {
        let destination = self.endpoints.get(&id).map_or(0, |e| e.entry.destination.0);
        let wall_clock = now.saturating_add(self.settings.wall_clock_offset);
        let slot = self.slots.schedule(wall_clock, self.settings.forwarder_index, destination);
        let overall_latency_us = self.mean_latency_us;
        let mut transition = None;
        for admission in affected_records(&mut self.endpoints, &mut self.destinations, id) {
            let before = admission.circuit.state;
            admission.record(now, call, overall_latency_us, &self.settings, slot);
            let (state, count) = (admission.circuit.state, admission.circuit.failure_count);
            if before != state && state != BreakerState::HalfOpen {
                let outcome = outcome_name(call.outcome);
                transition = Some(format!("breaker {state:?}: at {} failures {count}: {outcome}", id.0));
            }
        }
        self.actions.extend(transition.map(Action::Log));
        if call.outcome == Outcome::Ok {
            self.mean_latency_us += LATENCY_SMOOTHING / 4.0 * (call.elapsed_us - overall_latency_us);
        }
    }

    /// Updates the average duration of a class's calls, as a multiple of the mean latency of their endpoints.
    pub(super) fn record_class_duration(
        &mut self,
        class: ClassId,
        id: EndpointId,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        let answered = self.endpoints.get(&id).filter(|_| outcome == Outcome::Ok);
        let multiple = answered.map(|e| (elapsed as f64 / self.latency_of(e)).min(STUCK_LATENCY_MULTIPLE));
        let average = &mut self.class_durations[class.0];
        *average += LATENCY_SMOOTHING * (multiple.unwrap_or(*average) - *average);
    }
}

/// The name of an outcome in the log line of a state change. The simulator's adapter sends that line, so
/// these names must not change.
fn outcome_name(outcome: Outcome) -> String {
    match outcome {
        Outcome::Rejected(retry_after) => format!("Full({retry_after:?})"),
        Outcome::StaleConnection => "Stale".to_owned(),
        Outcome::NotSent => "Moot".to_owned(),
        Outcome::NotJournaled => "Unsent".to_owned(),
        other => format!("{other:?}"),
    }
}
