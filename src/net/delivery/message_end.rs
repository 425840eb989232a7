//! The end of a message: it is counted, logged and journaled, and its client learns of it by the reply or a delivery
//! report.

use super::actor::{DeliveryActor, OpenMessage};
use crate::journal::ReportedEnd;
use crate::memory::{MemoryPermit, MemoryUser};
use crate::net::in_flight::{Request, REPORT_BYTES};
use crate::net::message_end::MessageEnd;
use crate::net::messages::{DeliveryReport, SubmitReply, DEFAULT_RETRY_AFTER};
use crate::net::request_ids::EndedId;
use crate::{AbandonReason, Event, MessageId, Micros};
use async_channel::Sender;
use slog::info;

/// How the policy has ended a message that was not delivered.
#[derive(Clone, Copy)]
pub(super) enum Abandonment {
    /// The client may safely send it again, after this time if the policy gives one.
    Returned(Option<Micros>),
    /// It may or may not have taken effect.
    Failed,
}

impl Abandonment {
    fn message_end(self) -> MessageEnd {
        match self {
            Abandonment::Returned(_) => MessageEnd::Returned,
            Abandonment::Failed => MessageEnd::Failed,
        }
    }

    fn reported_end(self) -> ReportedEnd {
        match self {
            Abandonment::Returned(retry_after) => {
                ReportedEnd::Returned(retry_after.map(|time| time.div_ceil(1000)))
            }
            Abandonment::Failed => ReportedEnd::Failed,
        }
    }

    fn reply(self) -> SubmitReply {
        match self {
            Abandonment::Returned(retry_after) => {
                SubmitReply::Unavailable(retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
            }
            Abandonment::Failed => SubmitReply::Failed,
        }
    }
}

impl DeliveryActor {
    /// Ends a message whose client disconnected before the reply.
    pub(super) fn withdraw(&mut self, id: MessageId) {
        if self.end_message(id, MessageEnd::Withdrawn) {
            self.context.journal.record_completed(id);
            self.context.counters.withdrawn.increment();
            self.events.push(Event::Withdrawn { id });
            self.remove_if_ended(id);
        }
    }

    /// Withdraws a message without a reply so far, as its client has shut down its sending side, and replies that the
    /// message was not accepted. If the end cannot be journaled, a restart would find the message open; it then stays
    /// open here too.
    pub(super) fn client_half_closed(&mut self, request_id: &str) {
        let is_undecided =
            |open: &&mut OpenMessage| open.reply.is_some() && open.message.request.request_id == request_id;
        let Some(open) = self.messages.values_mut().find(is_undecided) else { return };
        let id = open.message.id;
        if self.context.journal.try_record_completed(id).is_err() {
            return;
        }
        let reply = open.reply.take();
        self.withdraw(id);
        self.context.counters.unavailable.increment();
        // Sending fails if the client has disconnected; nobody needs the reply then.
        let _ = reply.map(|reply| reply.try_send(SubmitReply::Unavailable(DEFAULT_RETRY_AFTER)));
    }

    /// Ends a message as the policy decided. The client learns of it by the reply if none was sent yet, or else by a
    /// delivery report.
    pub(super) async fn abandon(&mut self, id: MessageId, abandonment: Abandonment, reason: AbandonReason) {
        if !self.end_message(id, abandonment.message_end()) {
            return;
        }
        self.context.counters.count_abandonment(reason);
        let Some(open) = self.messages.get_mut(&id) else { return };
        open.returned = matches!(abandonment, Abandonment::Returned(_));
        let request = &open.message.request;
        let (request_id, deadline) = (request.request_id.clone(), request.deadline);
        info!(self.context.log, "message"; "state" => "abandoned", "id" => &request_id, "reason" => reason.name());
        let replied = open.reply.take().is_some_and(|reply| self.reply_end(id, abandonment, &reply));
        if !replied {
            self.messages.entry(id).and_modify(|open| open.accepted = true);
            let end = abandonment.reported_end();
            self.report_end(DeliveryReport { id, request_id, end, deadline, memory: None }).await;
        }
        self.remove_if_ended(id);
    }

    /// Replies to the client how its message ended. If the end cannot be journaled, a restart would find the message
    /// open: the reply is then that the message is accepted, as the journal says, and false is returned.
    fn reply_end(&self, id: MessageId, abandonment: Abandonment, reply: &Sender<SubmitReply>) -> bool {
        if self.context.journal.try_record_completed(id).is_err() {
            self.context.counters.messages_accepted.increment();
            // Sending fails if the client has disconnected; a delivery report follows in any case.
            let _ = reply.try_send(SubmitReply::Accepted(id));
            return false;
        }
        match abandonment {
            Abandonment::Returned(_) => self.context.counters.unavailable.increment(),
            Abandonment::Failed => self.context.counters.failed.increment(),
        }
        // Sending fails if the client has disconnected; nobody needs the reply then.
        let _ = reply.try_send(abandonment.reply());
        true
    }

    /// Marks a message as ended. Returns false if it is not open or had ended before.
    pub(super) fn end_message(&mut self, id: MessageId, end: MessageEnd) -> bool {
        let Some(open) = self.messages.get(&id).filter(|open| !open.message.is_ended()) else { return false };
        let message = &open.message;
        message.mark_ended();
        message.route_stats.iter().for_each(|stats| stats.message_ended(end));
        self.context.gauges.open_messages.decrement();
        let request_id = &message.request.request_id;
        info!(self.context.log, "message"; "state" => end.name(), "id" => request_id, "attempts" => message.attempts());
        let violation = self.context.ledger.borrow_mut().completed(id, end == MessageEnd::Returned);
        violation
            .into_iter()
            .for_each(|violation| self.context.record_violation(violation, request_id, None));
        true
    }

    /// Removes a message if it has ended and no attempt of it is in flight.
    pub(super) fn remove_if_ended(&mut self, id: MessageId) {
        if !self.messages.get(&id).is_some_and(|open| open.message.is_ended() && open.attempt.is_none()) {
            return;
        }
        self.context.ledger.borrow_mut().forget(id);
        if let Some(open) = self.messages.remove(&id) {
            // A message that was neither accepted nor sent, or was returned, may come again under its id.
            if !open.returned && (open.accepted || open.message.attempts() > 0) {
                self.remember_id(&open.message.request);
            }
            self.context.request_ids.release(&open.message.request.request_id);
        }
    }

    /// Remembers the id of a message that ends, for as long as its client may send it again by mistake or repeats of it are
    /// dropped by its endpoints.
    fn remember_id(&self, request: &Request) {
        let now = self.context.clock.now();
        let config = self.context.config();
        let until = now + config.id_memory(request.class);
        self.context
            .request_ids
            .remember(EndedId { request_id: request.request_id.as_str().into(), until }, now);
    }

    /// Journals the end of a message and queues its delivery report.
    pub(super) async fn report_end(&mut self, report: DeliveryReport) {
        self.context.journal.record_undelivered(report.id, report.end);
        self.queue_report(report).await;
    }

    /// Queues a delivery report for an end that was journaled before.
    pub(super) async fn queue_report(&mut self, report: DeliveryReport) {
        match report.end {
            ReportedEnd::Failed => self.context.counters.failed.increment(),
            ReportedEnd::Returned(_) => self.context.counters.returned.increment(),
        }
        self.send_report(report).await;
    }

    /// Passes a delivery report on to be sent to the platform.
    pub(super) async fn send_report(&mut self, mut report: DeliveryReport) {
        report.memory = Some(self.report_memory(report.id));
        self.context.gauges.reports_pending.increment();
        self.context.request_ids.acquire(&report.request_id);
        // Sending fails only as the process ends; the next process finds the report in the journal.
        let _ = self.reports.send(report).await;
    }

    /// The memory for the delivery report of a message: a part of what the message holds, if it is open.
    fn report_memory(&self, id: MessageId) -> MemoryPermit {
        let split = self.messages.get(&id).and_then(|open| open.message.split_report_memory());
        split.unwrap_or_else(|| self.context.memory.record(MemoryUser::Messages, REPORT_BYTES))
    }
}
