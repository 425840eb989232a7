//! The end of messages: expiry, completion, and the final result of those that are abandoned.

use super::constants::*;
use super::records::Message;
use super::DeliveryPolicy;
use crate::api::*;

impl DeliveryPolicy {
    /// When a message expires. Once its last attempt is in flight, new settings cannot postpone this time, as
    /// that attempt may take until then.
    pub(super) fn expiry_of(&self, message: &Message) -> Micros {
        let end = self.timing(message).ends_at(message.received_at, message.deadline);
        message.final_deadline.map_or(end, |fixed| end.min(fixed))
    }

    /// Marks a message as complete.
    pub(super) fn complete(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id).filter(|m| !m.complete) else { return };
        message.complete = true;
        self.open_messages -= 1;
        self.remove_if_settled(id);
    }

    /// Deletes a complete message once none of its attempts is in flight, so that the next message with its
    /// order key may be sent.
    pub(super) fn remove_if_settled(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if let Some(destination) = self.destinations.get_mut(&message.destination) {
            destination.waiting.retain(|waiting| *waiting != id);
        }
        if message.in_flight.is_some() {
            return;
        }
        if let Some(key) = message.order_key.and_then(|k| self.order_keys.get_mut(&k)) {
            key.queue.retain(|waiting| *waiting != id);
        }
        self.messages.remove(&id);
    }

    /// Abandons a message and gives its final result. Rule 2: the message is rejected if it is idempotent or
    /// if no attempt can have taken effect, and fails otherwise. Does nothing while an attempt is in flight.
    pub(super) fn abandon(&mut self, now: Micros, id: MessageId, reason: AbandonReason) {
        let Some(message) = self.messages.get(&id).filter(|m| m.is_waiting()) else { return };
        if message.first_possible_effect.is_none() || self.idempotency(id) == Idempotency::Idempotent {
            let wait = self.expected_wait(now, message.destination).min(self.settings.max_retry_after);
            let retry_after = (self.settings.may_send_retry_after && wait > 0).then_some(wait);
            self.actions.push(Action::Reject { id, retry_after, reason });
        } else {
            self.actions.push(Action::Fail { id, reason });
        }
        self.complete(id);
    }

    /// Abandons the messages that can no longer be delivered, and requests a step for the earliest time at
    /// which one of the others may be sent or can no longer be delivered.
    pub(super) fn abandon_undeliverable(&mut self, now: Micros) {
        self.order_keys.retain(|_, key| !key.queue.is_empty() || now < key.paused_until);
        let mut undeliverable = Vec::new();
        let mut next_wake = NEVER;
        for (id, message) in self.messages.iter().filter(|(_, m)| m.is_waiting()) {
            match self.undeliverable_reason(now, message) {
                Some(reason) => undeliverable.push((*id, reason)),
                None => next_wake = next_wake.min(self.next_change_of(now, message)),
            }
        }
        self.wake_at(next_wake);
        for (id, reason) in undeliverable {
            self.abandon(now, id, reason);
        }
    }

    fn undeliverable_reason(&self, now: Micros, message: &Message) -> Option<AbandonReason> {
        let latest_send = self.latest_send(message);
        if now >= latest_send {
            return Some(AbandonReason::DeadlineExceeded);
        }
        if self.has_exhausted_attempts(message) {
            return Some(AbandonReason::AttemptsExhausted);
        }
        let destination = self.destinations.get(&message.destination);
        let blocked_until = destination.map_or(0, |d| self.blocked_until(d));
        (blocked_until >= latest_send).then_some(AbandonReason::DestinationUnavailable)
    }

    /// The end of a waiting message's pause, or the time from which it may no longer be sent, whichever comes
    /// first. Without a pause it is the latter.
    fn next_change_of(&self, now: Micros, message: &Message) -> Micros {
        let key = message.order_key.and_then(|k| self.order_keys.get(&k));
        let paused_until = key.map_or(0, |k| k.paused_until).max(message.retry_at);
        let latest_send = self.latest_send(message);
        if paused_until > now {
            paused_until.min(latest_send)
        } else {
            latest_send
        }
    }
}
