//! Selection of the next call. A free call slot, one of [`Settings::max_concurrent_calls`], goes to the
//! waiting destination that was dispatched to least recently. The call is sent to the endpoint with the
//! lowest cost and load, and the first message that it carries is the one that gains most by being sent now.

use super::circuit_breaker::Admission;
use super::constants::*;
use super::records::{get_or_create_destination, Endpoint, Message};
use super::DeliveryPolicy;
use crate::api::*;
use crate::routes::RouteTiming;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// The next call to a destination.
#[derive(Clone, Copy)]
pub(super) struct NextCall {
    pub(super) destination: DestinationId,
    pub(super) endpoint: EndpointId,
    pub(super) first_message: MessageId,
    pub(super) is_trial: bool,
}

/// How a destination admits its next call.
#[derive(Clone, Copy)]
struct DestinationAdmission {
    /// The call is the trial call of the destination's own breaker, which may go to any of its endpoints.
    is_trial: bool,
    has_recent_failures: bool,
    per_endpoint_breaker: bool,
}

/// An endpoint to which the next call of a destination may go.
struct Candidate {
    endpoint: EndpointId,
    /// The cost of its zone, multiplied by [`VALUE_SCALE`].
    zone_cost: i64,
    load: usize,
    last_used_at: Micros,
    is_trial: bool,
    /// The call is likely to fail, so it carries a message that can safely be sent again if there is one.
    is_risky: bool,
}

impl DeliveryPolicy {
    /// Sends calls while messages may be sent and call slots are free. If a call could be sent but all slots
    /// are taken, one overdue call may be cancelled.
    pub(super) fn dispatch(&mut self, now: Micros) {
        let waiting = self.messages.values().filter(|m| m.is_waiting()).map(|m| m.destination);
        let mut order: BTreeSet<_> = waiting.map(|d| (self.destinations[&d].last_dispatch, d)).collect();
        while let Some((_, id)) = order.pop_first() {
            let Some(next) = self.select_call(now, id) else { continue };
            if self.calls.len() >= self.settings.max_concurrent_calls {
                self.cancel_to_free_slot(now);
                return;
            }
            self.send(now, next);
            self.dispatch_count += 1;
            let destination = get_or_create_destination(&mut self.destinations, now, id);
            destination.last_dispatch = self.dispatch_count;
            if !destination.waiting.is_empty() {
                order.insert((self.dispatch_count, id));
            }
        }
    }

    /// The next call to a destination, or `None` if its circuit breaker, pacer or endpoints allow none now.
    /// Of endpoints with the same cost and load, the one used last comes first.
    fn select_call(&mut self, now: Micros, id: DestinationId) -> Option<NextCall> {
        let admission = self.admit_destination(now, id)?;
        let endpoints = self.destinations.get(&id)?.endpoints.clone();
        let mut candidates: Vec<Candidate> =
            endpoints.into_iter().filter_map(|e| self.admit_endpoint(now, e, admission)).collect();
        candidates.sort_by_key(|c| (c.zone_cost, c.load, Reverse(c.last_used_at), c.endpoint));
        candidates.into_iter().find_map(|candidate| {
            let Candidate { endpoint, is_trial, is_risky, .. } = candidate;
            let first_message = self.select_message(now, id, endpoint, is_risky, None)?;
            Some(NextCall { destination: id, endpoint, first_message, is_trial })
        })
    }

    /// Checks the destination's own circuit breaker and pacer, unless each endpoint has its own.
    fn admit_destination(&mut self, now: Micros, id: DestinationId) -> Option<DestinationAdmission> {
        let destination = self.destinations.get_mut(&id)?;
        if destination.per_endpoint_breaker {
            let per_endpoint_breaker = true;
            return Some(DestinationAdmission {
                is_trial: false,
                has_recent_failures: false,
                per_endpoint_breaker,
            });
        }
        let is_trial = match destination.admission.check(now, &self.settings) {
            Admission::Admitted => false,
            Admission::Trial => true,
            Admission::NotBefore(at) => {
                self.wake_at(at);
                return None;
            }
        };
        let has_recent_failures = destination.admission.circuit.has_recent_failures();
        // A destination with recent failures gets one call at a time.
        if !is_trial && has_recent_failures && self.calls.values().any(|c| c.destination == id) {
            return None;
        }
        Some(DestinationAdmission { is_trial, has_recent_failures, per_endpoint_breaker: false })
    }

    /// Returns an endpoint as a candidate if it is listed and its circuit breaker and pacer allow a call. A
    /// trial call of the destination may go to any listed endpoint, and prefers one without failures.
    fn admit_endpoint(
        &mut self,
        now: Micros,
        id: EndpointId,
        destination: DestinationAdmission,
    ) -> Option<Candidate> {
        let is_stalled = self.is_stalled(now, id);
        let in_flight = self.calls.values().filter(|c| c.endpoint == id).count();
        let endpoint = self.endpoints.get_mut(&id).filter(|e| e.entry.lifecycle == Lifecycle::Listed)?;
        let admission = &mut endpoint.admission;
        let is_paced = destination.per_endpoint_breaker
            || admission.circuit.in_outage
            || admission.slow_start.is_active();
        let decision = if is_paced {
            admission.check(now, &self.settings)
        } else {
            // While an endpoint is not paced, its calls still take tokens. The number of tokens is kept at 0
            // or more, so that these calls do not lower the rate after an outage.
            admission.pacer.bucket.tokens = admission.pacer.bucket.tokens.max(0.0);
            admission.check_circuit(now)
        };
        let is_trial = match decision {
            Admission::NotBefore(at) if !destination.is_trial => {
                self.wake_at(at);
                return None;
            }
            decision => destination.is_trial || decision == Admission::Trial,
        };
        let has_recent_failures = admission.circuit.has_recent_failures();
        if !destination.is_trial && (is_stalled || has_recent_failures && !is_trial && in_flight > 0) {
            return None;
        }
        let is_risky = is_trial || destination.has_recent_failures || has_recent_failures;
        let endpoint = &self.endpoints[&id];
        Some(Candidate {
            endpoint: id,
            zone_cost: if destination.per_endpoint_breaker { self.zone_cost(endpoint) } else { 0 },
            load: self.load(endpoint, in_flight),
            last_used_at: endpoint.last_used_at,
            is_trial,
            is_risky,
        })
    }

    /// The cost of an endpoint's zone, multiplied by [`VALUE_SCALE`].
    fn zone_cost(&self, endpoint: &Endpoint) -> i64 {
        let cost = self.settings.zone_costs.get(endpoint.entry.zone.0);
        cost.map_or(0, |cost| (cost * VALUE_SCALE) as i64)
    }

    /// The load by which endpoints are compared, in units of half a call: 4 for each consecutive failure, of
    /// which at most 9 count, 2 for each call in flight, and 1 if the endpoint is in another zone and
    /// crossing zones has a cost.
    fn load(&self, endpoint: &Endpoint, in_flight: usize) -> usize {
        let failures = endpoint.admission.circuit.failure_count.min(9) as usize;
        let crosses_zones = self.settings.cross_zone_cost > 0.0 && endpoint.entry.zone != self.settings.zone;
        4 * failures + 2 * in_flight + usize::from(crosses_zones)
    }

    /// The waiting message that gains most by being sent now: see [`DeliveryPolicy::gain_of_sending_now`].
    /// The time that the queue takes is the horizon. For a call that is likely to fail, messages that can
    /// safely be sent again come first: idempotent ones, then those with an idempotency key.
    ///
    /// All messages of a call have the same route timeout, so `required_timing` restricts the choice for the
    /// second and later messages. A message near its deadline may still time out earlier than the others.
    pub(super) fn select_message(
        &self,
        now: Micros,
        id: DestinationId,
        endpoint: EndpointId,
        is_risky: bool,
        required_timing: Option<RouteTiming>,
    ) -> Option<MessageId> {
        let destination = &self.destinations[&id];
        let horizon = self.drain_time(now, destination).clamp(MIN_RANKING_HORIZON, MAX_RANKING_HORIZON);
        let rank = |id: &&MessageId| {
            let message = &self.messages[id];
            let idempotency = self.settings.classes[message.class.0].idempotency;
            let risk = if is_risky { idempotency } else { Idempotency::Idempotent };
            (risk, Reverse(self.gain_of_sending_now(now, horizon, message)), message.deadline, **id)
        };
        let fits = |id: &MessageId| {
            required_timing.is_none_or(|timing| self.timing(&self.messages[id]).timeout == timing.timeout)
        };
        let candidates =
            destination.waiting.iter().filter(|id| fits(id) && self.may_send(now, **id, endpoint));
        candidates.min_by_key(rank).copied()
    }

    /// The value that a message gains by being sent now instead of at the end of the horizon, plus a small
    /// share of its present value, which decides between messages that gain the same. Multiplied by
    /// [`VALUE_SCALE`].
    fn gain_of_sending_now(&self, now: Micros, horizon: Micros, message: &Message) -> i64 {
        let value = self.value_at(message, now);
        let value_later = self.value_at(message, now + horizon);
        ((value - value_later + PRESENT_VALUE_WEIGHT * value) * VALUE_SCALE) as i64
    }
}
