//! Load shedding: when the forwarder is nearly full, it rejects the messages with the least expected value.
//! This module also estimates how long a message will wait and what the delay costs.

use super::admission::AdmissionControl;
use super::constants::*;
use super::records::{Destination, Message};
use super::DeliveryPolicy;
use crate::api::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl DeliveryPolicy {
    /// Keeps part of the capacity free for new messages by rejecting those with the least expected value. The
    /// messages of answered calls do not count.
    pub(super) fn shed_load(&mut self, now: Micros) {
        let max_open = self.settings.max_open_messages;
        let limit = max_open - (max_open / CAPACITY_RESERVE_DIVISOR).min(max_open - 1);
        let answered: usize = self.answered_calls.values().map(|call| call.attempts.len()).sum();
        while self.open_messages > limit + answered {
            let Some(id) = self.least_valuable(now) else { break };
            self.abandon(now, id, AbandonReason::CapacityExceeded);
        }
    }

    /// The waiting message with the least expected value; of several, the one that was received last.
    fn least_valuable(&self, now: Micros) -> Option<MessageId> {
        // A message restored at the start was received long ago, so its client will not retry it on its own.
        let sheddable = || self.messages.iter().filter(|(_, m)| m.is_waiting() && !m.restored);
        let destinations: BTreeSet<_> = sheddable().map(|(_, m)| m.destination).collect();
        let expected_waits: BTreeMap<_, _> =
            destinations.into_iter().map(|d| (d, self.expected_wait(now, d))).collect();
        let expected_value = |message: &Message| {
            let delivered_at = now + expected_waits[&message.destination];
            (self.value_at(message, delivered_at) * VALUE_SCALE) as i64
        };
        let least_valuable = sheddable().map(|(id, m)| (expected_value(m), Reverse(*id))).min();
        least_valuable.map(|(_, Reverse(id))| id)
    }

    /// The time before which a destination gets no call because of a pause or an open circuit breaker. It may
    /// lie in the past.
    pub(super) fn blocked_until(&self, destination: &Destination) -> Micros {
        let blocked_until = |a: &AdmissionControl| a.pacer.paused_until.max(a.circuit.blocked_until());
        if !destination.per_endpoint_breaker {
            return blocked_until(&destination.admission);
        }
        let known = destination.endpoints.iter().filter_map(|e| self.endpoints.get(e));
        let listed = known.filter(|e| e.entry.lifecycle == Lifecycle::Listed);
        listed.map(|e| blocked_until(&e.admission)).min().unwrap_or(0)
    }

    /// Estimates how long a new message for a destination would wait.
    pub(super) fn expected_wait(&self, now: Micros, id: DestinationId) -> Micros {
        let Some(destination) = self.destinations.get(&id) else { return 0 };
        self.blocked_until(destination).saturating_sub(now) + self.drain_time(now, destination)
    }

    /// Estimates how long it takes to send all messages in a destination's queue at its present rate.
    pub(super) fn drain_time(&self, now: Micros, destination: &Destination) -> Micros {
        let rate_of = |a: &AdmissionControl| a.clone().rate(now, &self.settings);
        let rate = if destination.per_endpoint_breaker {
            let known = destination.endpoints.iter().filter_map(|e| self.endpoints.get(e));
            known.map(|e| rate_of(&e.admission)).sum::<f64>() * destination.messages_per_call as f64
        } else {
            rate_of(&destination.admission)
        };
        (destination.waiting.len() as f64 / rate.max(0.1) * SECOND as f64) as Micros
    }

    /// The value of a message if it were delivered at a given time: its priority weight up to the latency
    /// objective, less after it, and nothing after the deadline.
    pub(super) fn value_at(&self, message: &Message, at: Micros) -> f64 {
        let class = &self.settings.classes[message.class.0];
        let age = at.saturating_sub(message.received_at);
        if age <= class.latency_objective {
            return message.priority_weight;
        }
        if at >= message.deadline {
            return 0.0;
        }
        let objective = class.latency_objective;
        let late_by = (age - objective) as f64;
        let remaining_share = match self.settings.decay {
            Decay::Linear => {
                1.0 - (1.0 - class.weight_at_deadline) * late_by / (class.deadline - objective).max(1) as f64
            }
            Decay::Halving => 0.5f64.powf(late_by / objective.max(1) as f64).max(class.weight_at_deadline),
        };
        message.priority_weight * remaining_share
    }
}
