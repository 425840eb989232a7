//! Sends a call: prepares its connection, selects the messages that it carries, and sets the timeout of each
//! attempt.

use super::constants::*;
use super::records::{Call, CallAttempt, InFlightAttempt};
use super::selection::NextCall;
use super::{max_attempt_timeout, DeliveryPolicy};
use crate::api::*;
use crate::routes::RouteTiming;

impl DeliveryPolicy {
    pub(super) fn send(&mut self, now: Micros, next: NextCall) {
        let number = self.next_call;
        self.next_call += 1;
        let NextCall { destination, endpoint, is_trial, .. } = next;
        self.record_call_start(now, endpoint, is_trial);
        let connection_reused = self.prepare_connection(endpoint);
        let max_messages = if is_trial { 1 } else { self.destinations[&destination].messages_per_call };
        let mean_latency_us = self.latency_of(&self.endpoints[&endpoint]);
        let mut attempts = Vec::new();
        let mut next_message = Some(next.first_message);
        while let Some(id) = next_message {
            let timing = self.timing(&self.messages[&id]);
            attempts.push(self.send_message(now, id, endpoint, number, timing, mean_latency_us));
            next_message = if attempts.len() < max_messages {
                self.select_message(now, destination, endpoint, false, Some(timing))
            } else {
                None
            };
        }
        let call = Call {
            endpoint,
            destination,
            sent_at: now,
            is_trial,
            attempts,
            connection_reused,
            ..Call::default()
        };
        self.calls.insert(number, call);
    }

    fn send_message(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        call: u64,
        timing: RouteTiming,
        mean_latency_us: f64,
    ) -> CallAttempt {
        let message = &self.messages[&id];
        let (end, send_by) = (self.expiry_of(message), self.latest_send(message));
        let idempotency = self.settings.classes[message.class.0].idempotency;
        let adaptive_timeout = adaptive_timeout(mean_latency_us, idempotency);
        let latest_timeout = end.saturating_sub(self.settings.min_step_interval);
        let timeout_at = (now + timing.attempt_timeout(adaptive_timeout)).min(latest_timeout);
        let final_attempt = timeout_at == latest_timeout;
        let zone = self.endpoints[&endpoint].entry.zone;
        let message = self.messages.get_mut(&id).expect("looked up above");
        let attempt = message.attempts;
        message.final_deadline = final_attempt.then_some(end);
        message.in_flight = Some(InFlightAttempt { attempt, call });
        message.attempts += 1;
        message.last_zone = zone;
        if let Some(destination) = self.destinations.get_mut(&message.destination) {
            destination.waiting.retain(|waiting| *waiting != id);
        }
        self.actions.push(Action::Send { id, endpoint, call, timeout_at, send_by, final_attempt });
        CallAttempt { id, attempt }
    }
}

/// The timeout, in microseconds, of an attempt whose route sets none. It depends on the mean latency.
fn adaptive_timeout(mean_latency_us: f64, idempotency: Idempotency) -> Micros {
    let timeout = (mean_latency_us * ATTEMPT_TIMEOUT_LATENCY_MULTIPLE) as Micros;
    let idempotency_factor = max_attempt_timeout(idempotency) / ATTEMPT_TIMEOUT_MAX;
    timeout.clamp(ATTEMPT_TIMEOUT_MIN, ATTEMPT_TIMEOUT_MAX) * idempotency_factor
}
