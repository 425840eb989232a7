//! Messages that have ended by a response that may be a copy of an earlier one, or that came late. They are not called again.
//! Until their ends are confirmed they stay in the journal, and an end that is not confirmed is reported to the platform: if the
//! message was delivered, the report does no harm, and if it was not, the report is its end.

use super::actor::{DeliveryActor, OpenMessage};
use crate::journal::{JournaledMessage, ReportedEnd};
use crate::net::call::{AttemptId, CallCompletion};
use crate::net::in_flight::InFlightMessage;
use crate::net::message_end::MessageEnd;
use crate::net::messages::{DeliveryReport, EndSettlement};
use crate::{Event, MessageId, Micros};
use slog::info;

/// A message whose end is unconfirmed.
pub(super) struct UnconfirmedEnd {
    /// The client's id of the message.
    request_id: String,
    /// The deadline of the message, in microseconds of the monotonic clock.
    deadline: Micros,
}

impl From<&InFlightMessage> for UnconfirmedEnd {
    fn from(message: &InFlightMessage) -> Self {
        UnconfirmedEnd { request_id: message.request.request_id.clone(), deadline: message.request.deadline }
    }
}

impl From<&JournaledMessage> for UnconfirmedEnd {
    fn from(message: &JournaledMessage) -> Self {
        UnconfirmedEnd { request_id: message.request_id.clone(), deadline: message.deadline }
    }
}

impl DeliveryActor {
    /// Keeps a message that has ended unconfirmed until its end is settled.
    pub(super) fn keep_unconfirmed_end(&mut self, id: MessageId, message: &InFlightMessage) {
        self.context.request_ids.acquire(&message.request.request_id);
        self.context.counters.unconfirmed_ends.increment();
        self.unconfirmed_ends.insert(id, message.into());
    }

    /// Settles messages that have ended unconfirmed. Others among them have been settled before.
    pub(super) async fn settle_ends(&mut self, messages: Vec<MessageId>, settlement: EndSettlement) {
        for id in messages {
            let Some(end) = self.unconfirmed_ends.remove(&id) else { continue };
            match settlement {
                EndSettlement::Confirmed => self.context.journal.record_completed(id),
                EndSettlement::Unsettled => self.report_unconfirmed_end(id, &end).await,
            }
            self.context.request_ids.release(&end.request_id);
        }
    }

    /// Records that a message of a call in flight at the predecessor may have ended, so that it is not called again if the
    /// predecessor is lost.
    pub(super) fn end_read_at_predecessor(&mut self, answered: &CallCompletion) {
        for attempt in answered.ended_attempts() {
            self.record_end_read(attempt);
            self.context.journal.record_may_have_ended(attempt.message, attempt.number);
        }
    }

    /// Records that a response to an attempt at the predecessor says that the message has ended.
    pub(super) fn record_end_read(&self, attempt: AttemptId) {
        let AttemptId { message: id, number } = attempt;
        if let Some(open) = self.messages.get(&id) {
            open.message.record_end_read(number);
            self.context.ledger.borrow_mut().end_read(id, number);
        }
    }

    /// Ends messages by a response that came after its call was complete. Nothing confirms it if it may be a copy, so the end
    /// is reported at once then.
    pub(super) async fn end_late(&mut self, late: &CallCompletion) {
        let ended_at = self.context.clock.now();
        for (attempt, result) in late.attempts.iter().zip(&late.result.attempts) {
            let AttemptId { message: id, number } = *attempt;
            let Some(message) = self.messages.get(&id).map(|open| open.message.clone()) else { continue };
            if !result.completes_message {
                if !late.result.unconfirmed {
                    message.refute_end_read(number);
                    self.context.ledger.borrow_mut().end_refuted(id, number);
                }
                continue;
            }
            message.record_end_read(number);
            if !self.end_by_response(id, result.outcome, Some(&message), ended_at) {
                continue;
            }
            match late.result.unconfirmed {
                true => self.report_unconfirmed_end(id, &UnconfirmedEnd::from(&*message)).await,
                false => self.context.journal.record_completed(id),
            }
            self.events.push(Event::Withdrawn { id });
            self.remove_if_ended(id);
        }
    }

    /// Reports all messages that may have ended, because nothing can confirm their ends any more: the process exits.
    pub(super) async fn report_unsettled_ends(&mut self) {
        let is_answered = |open: &OpenMessage| {
            let is_announced = open.attempt.as_ref().is_some_and(|attempt| attempt.answered_at.is_some());
            is_announced && open.message.is_end_read() && !open.message.is_ended()
        };
        let answered: Vec<MessageId> =
            self.messages.iter().filter(|(_, open)| is_answered(open)).map(|(id, _)| *id).collect();
        for id in answered {
            let Some(message) = self.messages.get(&id).map(|open| open.message.clone()) else { continue };
            if self.end_message(id, MessageEnd::Failed) {
                self.report_unconfirmed_end(id, &UnconfirmedEnd::from(&*message)).await;
            }
        }
        let ended: Vec<MessageId> = self.unconfirmed_ends.keys().copied().collect();
        self.settle_ends(ended, EndSettlement::Unsettled).await;
    }

    /// Reports a message that may have ended, as its end will not be confirmed.
    pub(super) async fn report_unconfirmed_end(&mut self, id: MessageId, end: &UnconfirmedEnd) {
        info!(self.context.log, "message"; "state" => "unconfirmed", "id" => &end.request_id);
        self.context.counters.unconfirmed_reports.increment();
        self.context.journal.record_undelivered(id, ReportedEnd::Failed);
        let (request_id, deadline) = (end.request_id.clone(), end.deadline);
        let report = DeliveryReport { id, request_id, end: ReportedEnd::Failed, deadline, memory: None };
        self.send_report(report).await;
    }
}
