//! Messages of which an earlier process that still runs may have an attempt in flight. They wait outside the delivery policy
//! until the result of the attempt is known, the earlier process has ended, or their deadline is over.

use super::actor::DeliveryActor;
use super::attempts::never_ran;
use super::unconfirmed_ends::UnconfirmedEnd;
use crate::journal::record::ProgressStep;
use crate::journal::{CompletedMessage, JournaledMessage, Progress, ReportedEnd};
use crate::memory::{MemoryPermit, MemoryUser};
use crate::net::call::{AttemptId, AttemptResult, CallCompletion, CallResult};
use crate::net::handover::fence::Fence;
use crate::net::handover::frames::{CallsFrame, EndedCall};
use crate::net::messages::{DeliveryMessage, DeliveryReport};
use crate::{Event, MessageId, Outcome};
use async_io::Timer;
use slog::info;
use std::collections::{BTreeMap, BTreeSet};

/// The attempts that may be in flight at earlier processes, by the ids of the processes' fences.
#[derive(Default)]
pub struct FencedAttempts(BTreeMap<String, BTreeSet<AttemptId>>);

impl FencedAttempts {
    /// Adds the attempts of a fence.
    fn insert(&mut self, fence: &str, attempts: BTreeSet<AttemptId>) {
        self.0.insert(fence.to_owned(), attempts);
    }

    /// Whether an attempt may be in flight at an earlier process.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.0.values().any(|attempts| attempts.contains(&attempt))
    }

    /// Removes an attempt that is not in flight any more.
    fn remove(&mut self, attempt: AttemptId) {
        for attempts in self.0.values_mut() {
            attempts.remove(&attempt);
        }
    }

    /// Removes a fence whose process has ended. Returns its attempts that no other fence has.
    fn release(&mut self, fence: &str) -> Vec<AttemptId> {
        let attempts = self.0.remove(fence).unwrap_or_default();
        attempts.into_iter().filter(|attempt| !self.contains(*attempt)).collect()
    }

    /// Removes the attempts of a fence that are not among those in flight, and returns them.
    fn retain(&mut self, fence: &str, in_flight: &[AttemptId]) -> Vec<AttemptId> {
        let attempts = self.0.get(fence).cloned().unwrap_or_default();
        let ended: Vec<AttemptId> =
            attempts.into_iter().filter(|attempt| !in_flight.contains(attempt)).collect();
        ended.iter().for_each(|attempt| self.remove(*attempt));
        ended
    }

    /// Forgets all fences, because a successor watches them.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// A message that waits for the end of an attempt at an earlier process.
pub(super) struct FencedMessage {
    journaled: JournaledMessage,
    _memory: MemoryPermit,
}

/// The attempt in flight as the journal has it; `None` if none is.
fn journaled_attempt(id: MessageId, progress: &Progress) -> Option<AttemptId> {
    let number = progress.attempts.checked_sub(1)?;
    progress.attempt_in_flight.then_some(AttemptId { message: id, number })
}

impl DeliveryActor {
    /// Sets which attempts may be in flight at earlier processes. Call it before messages are restored.
    pub fn set_fenced_attempts(&mut self, fences: &[Fence]) {
        for fence in fences {
            self.fenced_attempts.insert(fence.id(), fence.attempts.clone());
        }
    }

    /// Whether an earlier process may have the journaled attempt of a message in flight, so that the message must wait.
    pub(super) fn is_fenced(&self, id: MessageId, journaled: &JournaledMessage) -> bool {
        let attempt = journaled_attempt(id, &journaled.progress);
        journaled.progress.report.is_none()
            && attempt.is_some_and(|attempt| self.fenced_attempts.contains(attempt))
    }

    /// Keeps a message until its attempt at an earlier process has ended.
    pub(super) fn hold_fenced(&mut self, id: MessageId, journaled: JournaledMessage) {
        info!(self.context.log, "message"; "state" => "fenced", "id" => &journaled.request_id);
        self.context.request_ids.acquire(&journaled.request_id);
        self.context.gauges.open_messages.increment();
        let (clock, delivery) = (self.context.clock, self.context.delivery.clone());
        let deadline = clock.instant_at(journaled.deadline);
        let expiring = async move {
            Timer::at(deadline).await;
            // Sending fails only if this actor has ended, and it ends only with the process.
            let _ = delivery.send(DeliveryMessage::FencedExpired { id }).await;
        };
        self.context.executor.spawn(expiring).detach();
        let memory = self.context.memory.record(MemoryUser::Messages, journaled.body.len());
        self.fenced.insert(id, FencedMessage { journaled, _memory: memory });
    }

    /// Handles what an earlier process says of its calls.
    pub(super) async fn handle_fenced_calls(&mut self, fence: &str, frame: CallsFrame) {
        match frame {
            CallsFrame::Completed(ended) => self.fenced_call_completed(ended).await,
            CallsFrame::EndRead(completion) => {
                for attempt in completion.ended_attempts() {
                    if let Some(fenced) = self.fenced_message(attempt) {
                        fenced.journaled.progress.apply(&ProgressStep::MayHaveEnded);
                    }
                }
                self.end_read_at_predecessor(&completion);
            }
            CallsFrame::LateEnd(completion) => self.end_late(&completion).await,
            CallsFrame::InFlight(in_flight) => {
                let ended = self.fenced_attempts.retain(fence, &in_flight);
                self.release_attempts(ended).await;
            }
        }
    }

    /// Handles the end of an earlier process: its attempts have ended, without a result.
    pub(super) async fn fence_released(&mut self, fence: &str) {
        let released = self.fenced_attempts.release(fence);
        self.release_attempts(released).await;
    }

    /// Reports a message whose attempt at an earlier process has not ended by its deadline. It may have run.
    pub(super) async fn fenced_expired(&mut self, id: MessageId) {
        let Some(journaled) = self.take_fenced(id) else { return };
        let (request_id, deadline) = (journaled.request_id, journaled.deadline);
        info!(self.context.log, "message"; "state" => "expired-fenced", "id" => &request_id);
        let report = DeliveryReport { id, request_id, end: ReportedEnd::Failed, deadline, memory: None };
        self.report_end(report).await;
    }

    fn fenced_message(&mut self, attempt: AttemptId) -> Option<&mut FencedMessage> {
        let fenced = self.fenced.get_mut(&attempt.message)?;
        let in_flight = journaled_attempt(attempt.message, &fenced.journaled.progress);
        (in_flight == Some(attempt)).then_some(fenced)
    }

    fn take_fenced(&mut self, id: MessageId) -> Option<JournaledMessage> {
        let FencedMessage { journaled, .. } = self.fenced.remove(&id)?;
        self.context.request_ids.release(&journaled.request_id);
        self.context.gauges.open_messages.decrement();
        Some(journaled)
    }

    async fn release_attempts(&mut self, attempts: Vec<AttemptId>) {
        for attempt in attempts {
            if self.fenced_message(attempt).is_none() {
                continue;
            }
            let journaled = self.take_fenced(attempt.message);
            self.restore(journaled.map(|journaled| (attempt.message.0, journaled)).into_iter().collect())
                .await;
        }
        if !self.predecessor_connected {
            self.complete_lost_calls().await;
        }
    }

    async fn fenced_call_completed(&mut self, ended: EndedCall) {
        self.record_fenced_retry_after(&ended);
        let CallCompletion { decided_at, attempts, result, .. } = ended.completion;
        for (attempt, attempt_result) in attempts.into_iter().zip(&result.attempts) {
            self.fenced_attempts.remove(attempt);
            if let Some(endpoint) = self.predecessor_attempts.get(&attempt).copied() {
                let result = CallResult { attempts: vec![*attempt_result], ..result.clone() };
                let completion = CallCompletion { endpoint, decided_at, attempts: vec![attempt], result };
                self.complete_at_predecessor(completion).await;
            } else if self.fenced_message(attempt).is_some() {
                self.fenced_attempt_ended(attempt, *attempt_result, result.unconfirmed).await;
            }
        }
    }

    /// Records the retry-after of a response that an earlier process received, if the endpoint is listed here.
    fn record_fenced_retry_after(&mut self, ended: &EndedCall) {
        let elapsed = self.context.clock.now().saturating_sub(ended.ended_at);
        let time_left = ended.completion.result.retry_after.map(|time| time.saturating_sub(elapsed));
        let endpoint = ended.address.and_then(|address| self.context.endpoint_table.find(address));
        if let Some((endpoint, retry_after)) = endpoint.zip(time_left.filter(|time| *time > 0)) {
            self.context.endpoint_table.record_retry_after(endpoint, retry_after);
            self.events.push(Event::RetryAfter { endpoint, retry_after });
        }
    }

    /// Ends a message by the result of its attempt at an earlier process, or restores it if the result does not end it.
    async fn fenced_attempt_ended(&mut self, attempt: AttemptId, result: AttemptResult, unconfirmed: bool) {
        let AttemptId { message: id, number } = attempt;
        let Some(mut journaled) = self.take_fenced(id) else { return };
        self.context.counters.count_attempt(result.outcome);
        info!(self.context.log, "message"; "state" => "attempt-ended-fenced", "id" => &journaled.request_id,
            "attempt" => number, "outcome" => ?result.outcome);
        if !result.completes_message {
            if never_ran(result.outcome) {
                self.context.journal.record_never_ran(id, number);
                journaled.progress.apply(&ProgressStep::AttemptNeverRan);
            }
            return self.restore(vec![(id.0, journaled)]).await;
        }
        if unconfirmed {
            return self.report_unconfirmed_end(id, &UnconfirmedEnd::from(&journaled)).await;
        }
        self.context.journal.record_completed(id);
        if result.outcome == Outcome::Ok {
            self.context.counters.delivered.increment();
        }
        self.restore_ended_ids(vec![CompletedMessage::from(journaled)]);
    }
}
