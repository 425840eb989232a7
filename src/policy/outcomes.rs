//! What the outcome of a call says of its endpoint and destination: circuit breaker, pace and latency.

use super::admission::{AdmissionControl, FinishedCall};
use super::constants::*;
use super::records::{destination, Destinations, Endpoint};
use super::DeliveryPolicy;
use crate::api::*;
use std::collections::BTreeMap;

/// The records that an outcome at an endpoint counts for: its own and that of its destination, unless each
/// endpoint has its own breaker.
fn affected<'a>(
    endpoints: &'a mut BTreeMap<EndpointId, Endpoint>,
    destinations: &'a mut Destinations,
    id: EndpointId,
) -> impl Iterator<Item = &'a mut AdmissionControl> {
    let endpoint = endpoints.get_mut(&id);
    let destination_id = endpoint.as_ref().map(|e| e.entry.destination);
    let destination = destination_id.and_then(|d| destinations.get_mut(&d));
    let shared = destination.filter(|d| !d.per_endpoint_breaker);
    endpoint.map(|e| &mut e.admission).into_iter().chain(shared.map(|d| &mut d.admission))
}

impl DeliveryPolicy {
    /// The load report of an answer.
    pub(super) fn observe_load_report(&mut self, id: EndpointId, report: Option<LoadReport>) {
        for admission in affected(&mut self.endpoints, &mut self.destinations, id) {
            admission.pacer.limit.observe(report);
        }
    }

    /// Rule 6: a retry-after binds in any state, and each message of a call may come back with its own. One
    /// more millisecond makes up for the fraction of one that was cut off.
    pub(super) fn observe_retry_after(&mut self, now: Micros, id: EndpointId, retry_after: Micros) {
        for admission in affected(&mut self.endpoints, &mut self.destinations, id) {
            let until = now.saturating_add(retry_after + MS);
            admission.pacer.paused_until = admission.pacer.paused_until.max(until);
        }
    }

    /// The retry-after of an endpoint that was removed since binds its destination, unless each endpoint has
    /// its own breaker.
    pub(super) fn observe_retry_after_of_removed(
        &mut self,
        now: Micros,
        id: DestinationId,
        retry_after: Micros,
    ) {
        let destination = destination(&mut self.destinations, now, id);
        if !destination.per_endpoint_breaker {
            let until = now.saturating_add(retry_after + MS);
            let paused_until = &mut destination.admission.pacer.paused_until;
            *paused_until = (*paused_until).max(until);
        }
    }

    /// Takes a token for a call that goes out, and if it is a trial call, takes that of the breakers.
    pub(super) fn record_call_start(&mut self, now: Micros, id: EndpointId, is_trial: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.last_used_at = now;
        }
        for admission in affected(&mut self.endpoints, &mut self.destinations, id) {
            admission.pacer.bucket.tokens -= 1.0;
            admission.circuit.trial_in_flight |= is_trial;
        }
    }

    /// Takes a finished call into account wherever it counts. Logs the last breaker that changed.
    pub(super) fn record_outcome(&mut self, now: Micros, id: EndpointId, call: &FinishedCall) {
        let destination = self.endpoints.get(&id).map_or(0, |e| e.entry.destination.0);
        let wall_clock = now.saturating_add(self.settings.wall_clock_offset);
        let slot = self.slots.schedule(wall_clock, self.settings.forwarder_index, destination);
        let overall_latency_us = self.mean_latency_us;
        let mut transition = None;
        for admission in affected(&mut self.endpoints, &mut self.destinations, id) {
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
            self.mean_latency_us += LATENCY_SMOOTHING / 4.0 * (call.duration_us - overall_latency_us);
        }
    }

    /// How long calls of a class last, as a multiple of their endpoint's mean latency.
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

/// An outcome in the text of a transition. The simulator's adapter sends that text: its names are fixed.
fn outcome_name(outcome: Outcome) -> String {
    match outcome {
        Outcome::Rejected(retry_after) => format!("Full({retry_after:?})"),
        Outcome::StaleConnection => "Stale".to_owned(),
        Outcome::NotSent => "Moot".to_owned(),
        Outcome::NotJournaled => "Unsent".to_owned(),
        other => format!("{other:?}"),
    }
}
