//! Handles the end of an attempt: the message is complete, or is queued for a retry. Also decides whether and
//! until when a message may be sent.

use super::admission::FinishedCall;
use super::constants::*;
use super::may_still_run;
use super::records::{get_or_create_destination, Call, KeyQueue, Message, PossibleEffect};
use super::DeliveryPolicy;
use crate::api::*;
use crate::routes::RouteTiming;

/// How an attempt of one message ended.
#[derive(Clone, Copy)]
pub(super) struct AttemptResult {
    pub(super) id: MessageId,
    pub(super) attempt: u32,
    pub(super) outcome: Outcome,
    /// The time from the policy's decision on the attempt to its end, in microseconds.
    pub(super) elapsed: Micros,
    /// The message is complete with this attempt.
    pub(super) completes_message: bool,
}

/// When the policy decided on an attempt, and for which endpoint. If the call of the attempt is unknown,
/// `sent_at` is the present time and `endpoint` is `None`.
struct SentAttempt {
    sent_at: Micros,
    endpoint: Option<EndpointId>,
}

/// The facts about a call that its outcome is applied with.
struct CallFacts {
    sent_at: Micros,
    endpoint: EndpointId,
    destination: DestinationId,
    is_trial: bool,
    connection_reused: Option<bool>,
}

impl From<&Call> for CallFacts {
    fn from(call: &Call) -> Self {
        let Call { sent_at, endpoint, destination, is_trial, connection_reused, .. } = *call;
        CallFacts { sent_at, endpoint, destination, is_trial, connection_reused }
    }
}

impl DeliveryPolicy {
    /// The timing that the route of a message sets for its attempts.
    pub(super) fn timing(&self, message: &Message) -> RouteTiming {
        let Some(routes) = self.settings.routes.as_ref() else { return RouteTiming::default() };
        let kind = self.destinations.get(&message.destination).and_then(|d| d.kind);
        routes.timing(message.destination, kind, message.class)
    }

    /// Whether a message has had all the attempts that it may have.
    pub(super) fn has_exhausted_attempts(&self, message: &Message) -> bool {
        let max_attempts = self.timing(message).max_attempts(self.settings.max_attempts);
        message.attempts - message.uncounted_attempts >= max_attempts
    }

    /// The time before which the next attempt must be sent, early enough before its expiry for the delivery
    /// (`MIN_DELIVERY_TIME`) and two steps of the policy. A message with an idempotency key that may have
    /// taken effect must also be sent within its deduplication window. 0 if the message must not be sent
    /// again.
    pub(super) fn latest_send(&self, message: &Message) -> Micros {
        let class = &self.settings.classes[message.class.0];
        let min_step = self.settings.min_step_interval;
        let end = self.expiry_of(message).saturating_sub(MIN_DELIVERY_TIME + 2 * min_step);
        match (class.idempotency, message.first_possible_effect) {
            (_, None) | (Idempotency::Idempotent, _) => end,
            (Idempotency::WithKey, Some(first)) => {
                end.min(first.sent_at + class.deduplication_window.saturating_sub(min_step))
            }
            (Idempotency::NonIdempotent, Some(_)) => 0,
        }
    }

    /// Whether a message may be sent to an endpoint now. Every send is checked here against rules 1, 2, 3, 5
    /// and 6 of the documentation of `policy`; the pacer enforces rule 4.
    pub(super) fn may_send(&self, now: Micros, id: MessageId, endpoint: EndpointId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        message.is_waiting()
            && !self.has_exhausted_attempts(message)
            && now < self.latest_send(message)
            && now >= message.retry_at
            && self.is_first_of_order_key(now, id, message)
            && self.may_use(now, message, endpoint)
    }

    fn is_first_of_order_key(&self, now: Micros, id: MessageId, message: &Message) -> bool {
        // The pause holds back the next message of the key, not a retry of the message at the front.
        let is_first = |key: &KeyQueue| {
            key.queue.front() == Some(&id) && (now >= key.paused_until || message.attempts > 0)
        };
        message.order_key.and_then(|k| self.order_keys.get(&k)).is_none_or(is_first)
    }

    /// Whether a message may be sent to an endpoint, by the state of the endpoint and its destination, the
    /// endpoint to avoid after a timeout and the scope of deduplication.
    fn may_use(&self, now: Micros, message: &Message, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let Some(destination) = self.destinations.get(&message.destination) else { return false };
        let entry = &endpoint.entry;
        if entry.destination != message.destination || entry.lifecycle != Lifecycle::Listed {
            return false;
        }
        let is_in_future = |at: Micros| now < at;
        if is_in_future(endpoint.admission.pacer.paused_until)
            || !destination.per_endpoint_breaker && is_in_future(destination.admission.pacer.paused_until)
        {
            return false;
        }
        // A retry after a timeout goes to another endpoint if one is healthy and the route asks for it.
        let is_healthy = |other: &EndpointId| {
            self.endpoints.get(other).is_some_and(|e| {
                e.entry.lifecycle == Lifecycle::Listed && e.admission.circuit.state == BreakerState::Closed
            })
        };
        if message.avoid_endpoint == Some(id)
            && destination.endpoints.iter().any(|other| *other != id && is_healthy(other))
        {
            return false;
        }
        self.is_in_dedup_scope(message, entry.zone)
    }

    /// Whether an endpoint in this zone would drop a repeat of the message, by the scope of deduplication.
    fn is_in_dedup_scope(&self, message: &Message, zone: ZoneId) -> bool {
        let class = &self.settings.classes[message.class.0];
        if class.idempotency != Idempotency::WithKey || class.dedup_scope != DedupScope::Zone {
            return true;
        }
        message.first_possible_effect.and_then(|first| first.zone).is_none_or(|first| first == zone)
    }

    /// Handles the end of an attempt. One that is not in flight is ignored.
    pub(super) fn on_attempt_ended(&mut self, now: Micros, result: AttemptResult) {
        let Some(message) = self.messages.get_mut(&result.id) else { return };
        let Some(in_flight) = message.in_flight.filter(|a| a.attempt == result.attempt) else { return };
        message.in_flight = None;
        let class = message.class;
        let sent = self.finish_call_attempt(now, in_flight.call, class, &result);
        self.record_possible_effect(now, &result, sent.sent_at);
        if self.messages[&result.id].complete {
            self.remove_if_settled(result.id);
        } else if result.completes_message || result.outcome == Outcome::Ok {
            self.complete(result.id);
        } else {
            self.schedule_retry(now, &result, sent);
        }
    }

    /// Handles a response that may be a copy of an earlier one: frees the slot of the call and applies its
    /// outcome to the endpoint. The attempts of the call stay in flight.
    pub(super) fn on_call_answered(&mut self, now: Micros, result: &AttemptResult) {
        let Some(message) = self.messages.get(&result.id) else { return };
        let Some(in_flight) = message.in_flight.filter(|a| a.attempt == result.attempt) else { return };
        let class = message.class;
        let Some(mut call) = self.calls.remove(&in_flight.call) else { return };
        let is_first = !std::mem::replace(&mut call.outcome_recorded, true);
        let facts = CallFacts::from(&call);
        self.answered_calls.insert(in_flight.call, call);
        self.observe_removed_endpoint(now, &facts, result.outcome);
        if is_first {
            self.record_call_outcome(now, &facts, class, result);
        }
    }

    /// Removes an attempt from its call. The outcome of the first attempt that ends counts as that of the
    /// call.
    fn finish_call_attempt(
        &mut self,
        now: Micros,
        number: u64,
        class: ClassId,
        result: &AttemptResult,
    ) -> SentAttempt {
        let calls = if self.calls.contains_key(&number) { &mut self.calls } else { &mut self.answered_calls };
        let Some(call) = calls.get_mut(&number) else {
            return SentAttempt { sent_at: now, endpoint: None };
        };
        call.attempts.retain(|a| a.id != result.id);
        let is_first = !std::mem::replace(&mut call.outcome_recorded, true);
        let facts = CallFacts::from(&*call);
        if call.attempts.is_empty() {
            calls.remove(&number);
        }
        self.observe_removed_endpoint(now, &facts, result.outcome);
        if is_first {
            self.record_call_outcome(now, &facts, class, result);
        }
        SentAttempt { sent_at: facts.sent_at, endpoint: Some(facts.endpoint) }
    }

    /// Obeys a retry-after of an endpoint that has been removed.
    fn observe_removed_endpoint(&mut self, now: Micros, call: &CallFacts, outcome: Outcome) {
        if let Outcome::Rejected(Some(retry_after)) = outcome {
            if !self.endpoints.contains_key(&call.endpoint) {
                self.observe_retry_after_of_removed_endpoint(now, call.destination, retry_after);
            }
        }
    }

    /// Applies the outcome of a call to its endpoint.
    fn record_call_outcome(&mut self, now: Micros, call: &CallFacts, class: ClassId, result: &AttemptResult) {
        let finished = FinishedCall {
            sent_at: call.sent_at,
            elapsed_us: result.elapsed as f64,
            is_trial: call.is_trial,
            outcome: result.outcome,
        };
        self.record_class_duration(class, call.endpoint, result.outcome, result.elapsed);
        self.record_outcome(now, call.endpoint, &finished);
        self.record_connection(call.endpoint, result.outcome, call.connection_reused);
    }

    /// Records an attempt that may have taken effect, and pauses the message's order key if the attempt may
    /// still run. After an error response the attempt may have taken effect, but no longer runs.
    fn record_possible_effect(&mut self, now: Micros, result: &AttemptResult, sent_at: Micros) {
        let Some(message) = self.messages.get_mut(&result.id) else { return };
        let may_run = may_still_run(result.outcome);
        if may_run || result.outcome == Outcome::Error {
            let attempt = PossibleEffect { sent_at, zone: Some(message.last_zone) };
            let before = message.first_possible_effect;
            message.first_possible_effect =
                Some(before.map_or(attempt, |before| before.combined_with(attempt)));
        }
        let key = message.order_key.filter(|_| may_run);
        if let Some(key) = key.and_then(|k| self.order_keys.get_mut(&k)) {
            key.paused_until = key.paused_until.max(now + self.settings.order_key_pause);
        }
    }

    /// Queues a message for a retry.
    fn schedule_retry(&mut self, now: Micros, result: &AttemptResult, sent: SentAttempt) {
        let timing = self.timing(&self.messages[&result.id]);
        let Some(message) = self.messages.get_mut(&result.id) else { return };
        let outcome = result.outcome;
        // After a timeout a fixed expiry stays, so that new settings cannot postpone it.
        message.final_deadline = message.final_deadline.filter(|_| outcome == Outcome::TimedOut);
        message.uncounted_attempts += u32::from(outcome == Outcome::NotJournaled);
        // An attempt that was not sent needs no pause before the next one.
        if !matches!(outcome, Outcome::NotSent | Outcome::NotJournaled) {
            let was_cut_short = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
            message.retry_at = timing.next_attempt(message.attempts, sent.sent_at, now, was_cut_short);
            let avoids_endpoint = was_cut_short && timing.hedge_after.is_some();
            message.avoid_endpoint = sent.endpoint.filter(|_| avoids_endpoint);
        }
        get_or_create_destination(&mut self.destinations, now, message.destination).waiting.push(result.id);
    }
}
