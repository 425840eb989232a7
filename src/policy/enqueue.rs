//! Receives a message: determines its time of receipt and its priority weight under its tenant's quota, and
//! adds it to its queues.

use super::constants::*;
use super::records::{get_or_create_destination, Message, PossibleEffect};
use super::DeliveryPolicy;
use crate::api::*;

impl DeliveryPolicy {
    pub(super) fn enqueue(&mut self, now: Micros, new: &NewMessage) {
        if self.messages.contains_key(&new.id) || new.class.0 >= self.settings.classes.len() {
            return;
        }
        let deadline = now.saturating_add(new.time_left);
        let received_at = self.first_received_at(now, deadline, new);
        let priority_weight = self.weight_within_quota(now, new);
        let class = &self.settings.classes[new.class.0];
        let order_key = new.order_key.filter(|_| class.ordered);
        if let Some(key) = order_key {
            self.order_keys.entry(key).or_default().queue.push_back(new.id);
        }
        self.record_demand(now, new);
        let message = Message {
            class: new.class,
            priority_weight,
            order_key,
            destination: new.destination,
            received_at,
            deadline,
            attempts: new.attempts,
            first_possible_effect: self.effect_before_receipt(received_at, new),
            restored: new.restored,
            ..Message::default()
        };
        self.messages.insert(new.id, message);
        self.open_messages += 1;
    }

    /// What is known of the attempts before the message was received that may have taken effect.
    fn effect_before_receipt(&self, received_at: Micros, new: &NewMessage) -> Option<PossibleEffect> {
        let own =
            new.first_possible_effect.map(|(sent_at, zone)| PossibleEffect { sent_at, zone: Some(zone) });
        // A message with an idempotency key that its client first sent to a forwarder that died is assumed to
        // have been sent when it was first received.
        let is_assumed = new.failed_over && own.is_none();
        let has_key = self.settings.classes[new.class.0].idempotency == Idempotency::WithKey;
        let unknown_at = new.unknown_attempt_at.or(is_assumed.then_some(received_at));
        let unknown = unknown_at.filter(|_| has_key).map(|sent_at| PossibleEffect { sent_at, zone: None });
        [own, unknown].into_iter().flatten().reduce(PossibleEffect::combined_with)
    }

    /// When the message was first received, by this forwarder or another. If clients do not mark their
    /// retries, a message counts as a retry unless it has less time left than the latency objective: a client
    /// that needs an answer that soon gave it little time from the start.
    fn first_received_at(&self, now: Micros, deadline: Micros, new: &NewMessage) -> Micros {
        let class = &self.settings.classes[new.class.0];
        let is_first_attempt = !new.failed_over
            && !new.client_retry
            && (self.settings.clients_mark_retries || new.time_left <= class.latency_objective);
        if is_first_attempt {
            now
        } else {
            deadline.saturating_sub(class.deadline)
        }
    }

    fn weight_within_quota(&mut self, now: Micros, new: &NewMessage) -> f64 {
        let weight = self.settings.classes[new.class.0].priority_weight;
        let Some(tenant) = new.tenant else { return weight };
        let Some(bucket) = self.tenant_quotas.get_mut(tenant.0) else { return weight };
        let quota_per_s = self.settings.tenants[tenant.0].quota_per_s;
        let per_us = quota_per_s / self.settings.forwarders as f64 / SECOND as f64;
        if bucket.take(now, per_us) {
            weight
        } else {
            weight * self.settings.over_quota_weight
        }
    }

    /// Adds a message to the queue of its destination, and counts it as demand for the destination and its
    /// endpoints.
    fn record_demand(&mut self, now: Micros, new: &NewMessage) {
        let destination = get_or_create_destination(&mut self.destinations, now, new.destination);
        destination.waiting.push(new.id);
        let per_endpoint = destination.per_endpoint_breaker;
        let share = if per_endpoint { 1.0 / destination.endpoints.len().max(1) as f64 } else { 1.0 };
        destination.admission.pacer.record_demand(now, share, &self.settings);
        for id in &destination.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.admission.pacer.record_demand(now, share, &self.settings);
            }
        }
    }
}
