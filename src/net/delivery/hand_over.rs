//! The delivery actor's part in a hand-over: it exports its state to a successor, and resumes from a predecessor's
//! state.

use super::actor::{AttemptInFlight, DeliveryActor};
use crate::journal::JournaledMessage;
use crate::membership::MembershipSnapshot;
use crate::net::call::{AttemptId, AttemptResult, CallCompletion, CallResult};
use crate::net::handover::frames::{HandOverAttempt, HandOverMessage, HandOverState};
use crate::net::handover::FrameSender;
use crate::net::in_flight::InFlightMessage;
use crate::net::messages::EndSettlement;
use crate::{DeliveryPolicy, EndpointId, Event, Outcome, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl DeliveryActor {
    /// The state that is sent to a successor. Must be called just after a step, when no events wait for the policy.
    pub fn hand_over_state(&self, list: MembershipSnapshot) -> HandOverState<&DeliveryPolicy> {
        let open_messages = self.messages.iter().map(|(id, open)| HandOverMessage {
            id: *id,
            attempts: open.message.attempts(),
            received_at: open.message.received_at,
            in_flight: open
                .attempt
                .as_ref()
                .map(|attempt| HandOverAttempt { number: attempt.number, endpoint: attempt.endpoint }),
        });
        // Messages that ended while an attempt was in flight at an earlier process are not in `messages` any more.
        let ended_messages =
            self.predecessor_attempts.iter().filter(|(id, _)| !self.messages.contains_key(&id.message));
        let ended_messages = ended_messages.map(|(attempt, endpoint)| HandOverMessage {
            id: attempt.message,
            attempts: attempt.number + 1,
            received_at: None,
            in_flight: Some(HandOverAttempt { number: attempt.number, endpoint: *endpoint }),
        });
        HandOverState {
            policy: &self.policy,
            last_id: self.last_id,
            messages: open_messages.chain(ended_messages).collect(),
            timers: self.timers.iter().map(|timer| timer.0).collect(),
            received_by_tenant: self.received_by_tenant.clone(),
            client_connections: self.context.gauges.client_connections.get(),
            list,
            ended_ids: self.context.request_ids.ended(),
        }
    }

    /// The journaled attempts in flight at this process and at its predecessors. An attempt that is not journaled is not sent any
    /// more once the journal is paused, and the next process may use its number for another one.
    pub fn attempts_in_flight(&self) -> BTreeSet<AttemptId> {
        let own = self.messages.iter().filter_map(|(id, open)| {
            open.attempt.as_ref().map(|attempt| AttemptId { message: *id, number: attempt.number })
        });
        let all = own.chain(self.predecessor_attempts.keys().copied());
        all.filter(|attempt| self.context.journal.is_in_flight(*attempt)).collect()
    }

    /// Resumes the predecessor's work from its state and the journal. Messages that only the journal has are restored
    /// as after a restart. Returns the endpoint list of the state.
    pub async fn resume_from(
        &mut self,
        state: HandOverState,
        journaled: Vec<(u64, JournaledMessage)>,
        predecessor: &FrameSender,
        settings: Settings,
    ) -> MembershipSnapshot {
        self.predecessor_connected = true;
        self.last_id = self.last_id.max(state.last_id);
        self.timers = state.timers.iter().copied().map(Reverse).collect();
        if state.received_by_tenant.len() == self.received_by_tenant.len() {
            self.received_by_tenant = state.received_by_tenant;
        }
        let now = self.context.clock.now();
        state.ended_ids.into_iter().for_each(|ended| self.context.request_ids.remember(ended, now));
        let mut journaled: BTreeMap<u64, JournaledMessage> = journaled.into_iter().collect();
        for message in &state.messages {
            if let Some(HandOverAttempt { number, endpoint }) = message.in_flight {
                self.predecessor_attempts.insert(AttemptId { message: message.id, number }, endpoint);
            }
            let journaled = journaled.remove(&message.id.0);
            if let Some(journaled) = journaled.filter(|journaled| journaled.progress.report.is_none()) {
                self.resume_message(message, journaled, predecessor);
            }
        }
        self.restore(journaled.into_iter().collect()).await;
        self.events.insert(0, Event::Settings(Box::new(settings)));
        state.list
    }

    /// Opens a message that the predecessor's policy already knows. A message whose class was removed from the
    /// settings is not opened; the policy still receives the end of its attempt in flight.
    fn resume_message(
        &mut self,
        handed_over: &HandOverMessage,
        journaled: JournaledMessage,
        predecessor: &FrameSender,
    ) {
        let Some(class) = self.class_of(&journaled) else { return };
        let progress = journaled.progress.clone();
        let request = self.rebuild_request(journaled, class, false);
        let memory = self.memory_of_accepted(&request);
        let mut message =
            InFlightMessage::new(handed_over.id, request, handed_over.attempts).with_memory(memory);
        if progress.may_have_run() {
            message.mark_may_have_run();
        }
        self.set_possible_effects(&mut message, &progress);
        if progress.is_first_possible_effect_in_flight() {
            // It may still turn out that this attempt never ran.
            message.first_possible_effect = None;
        }
        message.received_at = handed_over.received_at;
        let attempt = handed_over.in_flight.map(|HandOverAttempt { number, endpoint }| {
            let cancel = predecessor.cancel_on_close(&self.context.executor, handed_over.id, number);
            AttemptInFlight { number, endpoint, answered_at: None, cancel }
        });
        self.open_message(message, attempt, None);
        if let Some(attempt) = handed_over.in_flight.filter(|_| progress.may_have_ended) {
            self.record_end_read(AttemptId { message: handed_over.id, number: attempt.number });
        }
        self.context.counters.inherited.increment();
    }

    /// Completes the calls of predecessors that are gone, as they have no result any more.
    pub(super) async fn complete_lost_calls(&mut self) {
        for completion in self.take_lost_calls() {
            self.complete_at_predecessor(completion).await;
        }
    }

    /// Completes a call of a predecessor that is gone. Nothing confirms the ends of its messages any more.
    pub(super) async fn complete_at_predecessor(&mut self, completion: CallCompletion) {
        let unsettled = completion.unconfirmed_messages();
        self.call_completed(completion);
        self.settle_ends(unsettled, EndSettlement::Unsettled).await;
    }

    /// Returns a completion for each attempt that was in flight at a predecessor that is gone, and forgets these
    /// attempts. Those that a fence names are kept, as their process still runs. If the predecessor had read an end of the message, the message ends unconfirmed. Otherwise the outcome says
    /// that the attempt may have run. It blames the connection instead of the endpoint, because the failure must not
    /// contribute to an ejection.
    pub fn take_lost_calls(&mut self) -> Vec<CallCompletion> {
        let decided_at = self.context.clock.now();
        let attempts = std::mem::take(&mut self.predecessor_attempts);
        let (fenced, lost): (BTreeMap<_, _>, BTreeMap<_, _>) =
            attempts.into_iter().partition(|(attempt, _)| self.fenced_attempts.contains(*attempt));
        self.predecessor_attempts = fenced;
        let completion = |(attempt, endpoint): (AttemptId, EndpointId)| {
            let open = self.messages.get(&attempt.message);
            let result = match open.is_some_and(|open| open.message.is_end_read()) {
                true => CallResult::ended_unconfirmed(1, Outcome::Ok),
                false => CallResult::same_for_all(1, AttemptResult::from_outcome(Outcome::StaleConnection)),
            };
            CallCompletion { endpoint, decided_at, attempts: vec![attempt], result }
        };
        lost.into_iter().map(completion).collect()
    }

    /// Stops making decisions, since a successor makes them from here on. Calls in flight are still completed by this
    /// process.
    pub fn step_down(&mut self) {
        self.stopped = true;
        self.fenced_attempts.clear();
        self.fenced.clear();
        self.context.gauges.open_messages.set(0);
        self.context.gauges.reports_pending.set(0);
        self.endpoints.close_all_idle();
    }
}
