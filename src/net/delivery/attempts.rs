//! Attempts: sends the calls that the policy has decided on to the endpoints' actors, and processes their completions.

use super::actor::{AttemptInFlight, DeliveryActor};
use crate::net::call::{Attempt, AttemptId, AttemptResult, Call, CallCompletion, CallResult};
use crate::net::in_flight::InFlightMessage;
use crate::net::message_end::MessageEnd;
use crate::net::messages::{DeliveryMessage, EndpointMessage};
use crate::{Action, EndpointId, Event, LoadReport, MessageId, Micros, Outcome};
use slog::{info, warn};
use std::rc::Rc;

/// A call of one step: all attempts to which the policy gave the same call number and endpoint.
pub(super) struct PlannedCall {
    /// The number that the policy gave to the call. Attempts with the same number share the call.
    number: u64,
    endpoint: EndpointId,
    attempts: Vec<Attempt>,
}

/// One attempt of a completed call.
struct CompletedAttempt {
    id: AttemptId,
    endpoint: EndpointId,
    /// When the response was received, or the attempt ended without one, in microseconds of the monotonic clock.
    ended_at: Micros,
    /// The time from the policy's decision until then, in microseconds.
    elapsed: Micros,
    result: AttemptResult,
    /// Whether the message ends unconfirmed, if it ends with the attempt.
    unconfirmed: bool,
    report: Option<LoadReport>,
}

impl DeliveryActor {
    /// Adds the attempt of an [`Action::Send`] to the calls of this step. Attempts share a call only if the policy
    /// gave them the same call number. If two calls to one endpoint were merged, all their attempts would end at the
    /// shorter of the two timeouts.
    pub(super) fn plan_attempt(&self, calls: &mut Vec<PlannedCall>, action: &Action) {
        let Action::Send { id, endpoint, call, timeout_at, send_by, final_attempt } = *action else { return };
        let Some(open) = self.messages.get(&id) else { return };
        let attempt = Attempt {
            number: open.message.begin_attempt(),
            message: open.message.clone(),
            timeout_at,
            send_by,
            final_attempt,
        };
        match calls.last_mut().filter(|planned| planned.number == call && planned.endpoint == endpoint) {
            Some(planned) => planned.attempts.push(attempt),
            None => calls.push(PlannedCall { number: call, endpoint, attempts: vec![attempt] }),
        }
    }

    /// Sends each call to its endpoint's actor. A call that cannot be sent there is completed as not sent.
    pub(super) fn send_calls(&mut self, now: Micros, calls: Vec<PlannedCall>) {
        for planned in calls {
            let endpoint = planned.endpoint;
            let call = self.begin_call(now, planned);
            let Some(mailbox) = self.endpoints.mailbox(&self.context, endpoint) else {
                warn!(self.context.log, "call not sent: its endpoint is not in the endpoint list";
                    "endpoint" => endpoint.0);
                self.complete_unsent(call);
                continue;
            };
            if let Err(error) = mailbox.try_send(EndpointMessage::Call(call)) {
                warn!(self.context.log, "call not sent: the endpoint's mailbox is full or closed";
                    "endpoint" => endpoint.0, "error" => %error);
                if let EndpointMessage::Call(call) = error.into_inner() {
                    self.complete_unsent(call);
                }
            }
        }
    }

    fn begin_call(&mut self, now: Micros, planned: PlannedCall) -> Call {
        let PlannedCall { endpoint, attempts, .. } = planned;
        let (cancel, cancelled) = async_channel::bounded(1);
        for attempt in &attempts {
            if let Some(open) = self.messages.get_mut(&attempt.message.id) {
                let (number, cancel) = (attempt.number, cancel.clone());
                open.attempt = Some(AttemptInFlight { number, endpoint, answered_at: None, cancel });
            }
        }
        Call::new(endpoint, attempts, now, cancelled)
    }

    /// Completes a call that could not be sent to its endpoint's actor. The completion arrives in the mailbox like
    /// any other.
    fn complete_unsent(&self, call: Call) {
        let result =
            CallResult::same_for_all(call.attempts.len(), AttemptResult::from_outcome(Outcome::NotSent));
        let delivery = self.context.delivery.clone();
        let send_completion = async move {
            // This actor's own mailbox is closed only when the process ends.
            let _ = delivery.send(DeliveryMessage::CallCompleted(call.completion(result))).await;
        };
        self.context.executor.spawn(send_completion).detach();
    }

    /// Cancels an attempt of a message, if that attempt is still in flight.
    pub fn cancel(&self, id: MessageId, attempt: u32) {
        let in_flight = self.messages.get(&id).and_then(|open| open.attempt.as_ref());
        if let Some(in_flight) = in_flight.filter(|in_flight| in_flight.number == attempt) {
            in_flight.cancel.close();
        }
    }

    /// Processes a response that is probably that of a call: the policy may use the call's slot and learns how the
    /// endpoint fares. The messages stay open, and their attempts in flight, until the call is complete.
    pub(super) fn call_answered(&mut self, answered: &CallCompletion) {
        let now = self.context.clock.now();
        let elapsed = now.saturating_sub(answered.decided_at);
        for id in &answered.attempts {
            let attempt = self.attempt_in_flight(*id);
            if attempt.is_some_and(|attempt| attempt.answered_at.replace(now).is_none()) {
                self.context.gauges.answered_messages.increment();
            }
        }
        let Some((id, result)) = answered.attempts.iter().zip(&answered.result.attempts).next() else {
            return;
        };
        self.events.push(Event::CallAnswered {
            id: id.message,
            attempt: id.number,
            endpoint: answered.endpoint,
            outcome: result.outcome,
            elapsed,
            report: answered.result.report,
        });
    }

    fn attempt_in_flight(&mut self, id: AttemptId) -> Option<&mut AttemptInFlight> {
        let open = self.messages.get_mut(&id.message)?;
        open.attempt.as_mut().filter(|in_flight| in_flight.number == id.number)
    }

    /// Processes the completion of a call that this process or its predecessor made.
    pub(super) fn call_completed(&mut self, completion: CallCompletion) {
        let CallCompletion { endpoint, decided_at, attempts, result } = completion;
        let rejection_has_retry_after =
            result.attempts.iter().any(|attempt| matches!(attempt.outcome, Outcome::Rejected(Some(_))));
        let (report, unconfirmed) = (result.report, result.unconfirmed);
        for (id, result) in attempts.into_iter().zip(result.attempts) {
            let answered_at = self.attempt_in_flight(id).and_then(|attempt| attempt.answered_at);
            let ended_at = answered_at.unwrap_or(self.context.clock.now());
            let elapsed = ended_at.saturating_sub(decided_at);
            let attempt = CompletedAttempt { id, endpoint, ended_at, elapsed, result, unconfirmed, report };
            self.attempt_completed(attempt);
        }
        // The outcome of a rejected attempt already contains the retry-after; without a rejected attempt it needs an
        // event of its own.
        if let Some(retry_after) = result.retry_after.filter(|_| !rejection_has_retry_after) {
            self.events.push(Event::RetryAfter { endpoint, retry_after });
        }
    }

    fn attempt_completed(&mut self, attempt: CompletedAttempt) {
        let CompletedAttempt { id: attempt_id, endpoint, ended_at, elapsed, result, unconfirmed, report } =
            attempt;
        let AttemptId { message: id, number } = attempt_id;
        let AttemptResult { outcome, completes_message } = result;
        self.context.counters.count_attempt(outcome);
        self.predecessor_attempts.remove(&attempt_id);
        self.context.ledger.borrow_mut().attempt_ended(id, number, outcome);
        let message = self.remove_from_flight(attempt_id);
        if let Some(message) = &message {
            info!(self.context.log, "message"; "state" => "attempt-ended", "id" => &message.request.request_id,
                "attempt" => number, "endpoint" => endpoint.0, "outcome" => ?outcome, "ms" => elapsed / 1000);
            message.record_outcome(outcome);
            message.route_stats.iter().for_each(|stats| stats.attempt_completed(outcome));
            if !never_ran(outcome) {
                message.mark_may_have_run();
            }
            if !completes_message && is_response(outcome) {
                message.refute_end_read(number);
                self.context.ledger.borrow_mut().end_refuted(id, number);
            }
        }
        if completes_message {
            let is_ended = self.end_by_response(id, outcome, message.as_deref(), ended_at);
            match message.as_deref().filter(|_| is_ended) {
                Some(message) if unconfirmed => self.keep_unconfirmed_end(id, message),
                // It has ended in another way, which may still be to be reported.
                None if unconfirmed => {}
                _ => self.context.journal.record_completed(id),
            }
        } else if never_ran(outcome) {
            self.context.journal.record_never_ran(id, number);
        }
        self.remove_if_ended(id);
        self.events.push(Event::AttemptEnded {
            id,
            attempt: number,
            endpoint,
            outcome,
            elapsed,
            completes_message,
            report,
        });
    }

    /// Marks an attempt as no longer in flight. Returns its message; `None` if the message is not open any more.
    fn remove_from_flight(&mut self, attempt: AttemptId) -> Option<Rc<InFlightMessage>> {
        let open = self.messages.get_mut(&attempt.message)?;
        let ended = open.attempt.take_if(|in_flight| in_flight.number == attempt.number);
        if ended.is_some_and(|ended| ended.answered_at.is_some()) {
            self.context.gauges.answered_messages.decrement();
        }
        Some(open.message.clone())
    }

    /// Ends a message that its endpoint has accepted or reported as expired. Returns false if it had ended before.
    pub(super) fn end_by_response(
        &mut self,
        id: MessageId,
        outcome: Outcome,
        message: Option<&InFlightMessage>,
        ended_at: Micros,
    ) -> bool {
        let delivered = outcome == Outcome::Ok;
        let end = if delivered { MessageEnd::Delivered } else { MessageEnd::Expired };
        let is_ended = self.end_message(id, end);
        if is_ended && delivered {
            self.context.counters.delivered.increment();
            let received_at = message.and_then(|message| message.received_at);
            let stats = message.and_then(|message| message.route_stats.as_ref());
            if let Some((received_at, stats)) = received_at.zip(stats) {
                let delivery_time = ended_at.saturating_sub(received_at);
                self.context.route_stats.record_delivery(stats, delivery_time);
            }
        }
        is_ended
    }
}

/// Whether the outcome comes from a response, which corrects any that arrived for the attempt before.
fn is_response(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected(_) | Outcome::NotSent)
}

/// Whether the outcome proves that the endpoint did not run the attempt.
pub(super) fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotJournaled
    )
}
