//! Attempts: the calls that the policy has decided on go to the endpoints' actors, and come back complete.

use super::actor::{AttemptInFlight, DeliveryActor};
use crate::net::call::{Attempt, AttemptId, AttemptResult, Call, CallCompletion, CallResult};
use crate::net::in_flight::InFlightMessage;
use crate::net::message_end::MessageEnd;
use crate::net::messages::{DeliveryMessage, EndpointMessage};
use crate::{Action, EndpointId, Event, LoadReport, MessageId, Micros, Outcome};
use slog::{info, warn};
use std::rc::Rc;

/// A call of one step, as the policy's actions put it together.
pub(super) struct PlannedCall {
    /// The policy's number for it.
    number: u64,
    endpoint: EndpointId,
    attempts: Vec<Attempt>,
}

/// One attempt of a call that is complete.
struct CompletedAttempt {
    id: AttemptId,
    endpoint: EndpointId,
    /// From the policy's decision to the completion.
    elapsed: Micros,
    result: AttemptResult,
    report: Option<LoadReport>,
}

impl DeliveryActor {
    /// Adds the attempt of an [`Action::Send`] to the calls of this step. Messages share a call as the policy decided. Guards
    /// against two calls of one step to one endpoint that become one: it would be abandoned for all at the shorter timeout.
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
        match calls.last_mut().filter(|last| last.number == call && last.endpoint == endpoint) {
            Some(last) => last.attempts.push(attempt),
            None => calls.push(PlannedCall { number: call, endpoint, attempts: vec![attempt] }),
        }
    }

    /// Sends the calls to their endpoints' actors.
    pub(super) fn send_calls(&mut self, now: Micros, calls: Vec<PlannedCall>) {
        for planned in calls {
            let endpoint = planned.endpoint;
            let call = self.begin_call(now, planned);
            let Some(actor) = self.endpoints.actor(&self.context, endpoint) else {
                warn!(self.context.log, "call to an endpoint that is not listed"; "endpoint" => endpoint.0);
                self.complete_unsent(call);
                continue;
            };
            if let Err(error) = actor.try_send(EndpointMessage::Call(call)) {
                warn!(self.context.log, "the endpoint's mailbox takes no call"; "endpoint" => endpoint.0,
                    "error" => %error);
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
                open.attempt = Some(AttemptInFlight { number, endpoint, cancel });
            }
        }
        Call::new(endpoint, attempts, now, cancelled)
    }

    /// A call that did not even reach its endpoint's actor is completed by the mailbox, as any other.
    fn complete_unsent(&self, call: Call) {
        let result = CallResult::same_for_all(call.attempts.len(), AttemptResult::of(Outcome::NotSent));
        let delivery = self.context.delivery.clone();
        let completing = async move {
            // The mailbox is this actor's own: it is closed only at the end of the process.
            let _ = delivery.send(DeliveryMessage::CallCompleted(call.completed(result))).await;
        };
        self.context.executor.spawn(completing).detach();
    }

    /// Cancels an attempt, if it is in flight.
    pub fn cancel(&self, id: MessageId, attempt: u32) {
        let in_flight = self.messages.get(&id).and_then(|open| open.attempt.as_ref());
        if let Some(in_flight) = in_flight.filter(|in_flight| in_flight.number == attempt) {
            in_flight.cancel.close();
        }
    }

    /// Takes in a call that is complete, here or at the predecessor.
    pub(super) fn call_completed(&mut self, completion: CallCompletion) {
        let CallCompletion { endpoint, sent, attempts, result } = completion;
        let elapsed = self.context.clock.now().saturating_sub(sent);
        let rejected_with_wait =
            result.attempts.iter().any(|attempt| matches!(attempt.outcome, Outcome::Rejected(Some(_))));
        let report = result.report;
        for (id, result) in attempts.into_iter().zip(result.attempts) {
            self.attempt_completed(CompletedAttempt { id, endpoint, elapsed, result, report });
        }
        // A response may ask to wait and yet reject nothing.
        if let Some(retry_after) = result.retry_after.filter(|_| !rejected_with_wait) {
            self.events.push(Event::RetryAfter { endpoint, retry_after });
        }
    }

    fn attempt_completed(&mut self, attempt: CompletedAttempt) {
        let CompletedAttempt { id: attempt_id, endpoint, elapsed, result, report } = attempt;
        let AttemptId { message: id, number } = attempt_id;
        let AttemptResult { outcome, ended } = result;
        self.context.counters.attempt_completed(outcome);
        self.predecessor_attempts.remove(&attempt_id);
        self.context.ledger.borrow_mut().attempt_ended(id, number, outcome);
        let message = self.take_from_flight(attempt_id);
        if let Some(message) = &message {
            info!(self.context.log, "message"; "state" => "attempt-ended", "id" => &message.request.request_id,
                "attempt" => number, "endpoint" => endpoint.0, "outcome" => ?outcome, "ms" => elapsed / 1000);
            message.stats.iter().for_each(|stats| stats.attempt_completed(outcome));
        }
        if ended {
            self.ended_by_endpoint(id, outcome, message.as_deref());
        } else if never_ran(outcome) {
            self.context.journal.record_never_ran(id, number);
        }
        self.remove_if_over(id);
        self.events.push(Event::AttemptEnded {
            id,
            attempt: number,
            endpoint,
            outcome,
            elapsed,
            completes_message: ended,
            report,
        });
    }

    /// The message of an attempt, which is no longer in flight.
    fn take_from_flight(&mut self, attempt: AttemptId) -> Option<Rc<InFlightMessage>> {
        let open = self.messages.get_mut(&attempt.message)?;
        open.attempt.take_if(|in_flight| in_flight.number == attempt.number);
        Some(open.message.clone())
    }

    /// Nothing more is owed for a message, by what its endpoint has responded.
    fn ended_by_endpoint(&mut self, id: MessageId, outcome: Outcome, message: Option<&InFlightMessage>) {
        let delivered = outcome == Outcome::Ok;
        let end = if delivered { MessageEnd::Delivered } else { MessageEnd::Expired };
        if self.end_message(id, end) && delivered {
            self.context.counters.delivered.add();
            let received_at = message.and_then(|message| message.received_at);
            let stats = message.and_then(|message| message.stats.as_ref());
            if let Some((received_at, stats)) = received_at.zip(stats) {
                let delivery_time = self.context.clock.now().saturating_sub(received_at);
                self.context.routes.delivered(stats, delivery_time);
            }
        }
        self.context.journal.record_completed(id);
    }
}

/// Whether an attempt with this outcome has certainly not run at the endpoint.
fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotJournaled
    )
}
