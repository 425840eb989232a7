//! Admission of messages from clients: each is either rejected, or journaled and passed to the policy.

use super::actor::{AttemptInFlight, DeliveryActor, OpenMessage};
use crate::invariants::{may_admit, AdmissionFacts, Rejection, TrackedAttempt, TrackedMessage};
use crate::journal::{JournalError, JournaledMessage, Progress, UnknownAttempt};
use crate::memory::plan::MESSAGE_OVERHEAD_BYTES;
use crate::memory::{MemoryPermit, MemoryUser};
use crate::net::in_flight::{InFlightMessage, Request};
use crate::net::messages::{SubmitReply, DEFAULT_RETRY_AFTER};
use crate::net::runtime::clock;
use crate::{Event, MessageId, Micros};
use async_channel::Sender;
use slog::{debug, FnValue};
use std::rc::Rc;

impl DeliveryActor {
    /// Admits a client's message, or replies with a rejection.
    pub(super) fn submit(&mut self, request: Request, reply: Sender<SubmitReply>) {
        if let Some(received) = request.tenant.and_then(|tenant| self.received_by_tenant.get_mut(tenant.0)) {
            *received += 1;
        }
        // The rehearsal tool builds captures of real traffic from these log lines.
        debug!(self.context.log, "message received"; "id" => &request.request_id,
            "destination" => request.destination.0,
            "channel" => request.tenant.and_then(|tenant| self.names.tenants.get(tenant.0)),
            "wall_ms" => FnValue(|_| clock::wall_clock_now() as f64 / 1e3));
        match self.admit(&request) {
            Ok((id, memory)) => {
                let unknown_attempt_at = self.unknown_attempt_at(&request);
                request.body.release_request();
                let mut message = InFlightMessage::new(id, request, 0).with_memory(memory);
                message.unknown_attempt_at = unknown_attempt_at;
                message.received_at = Some(self.context.clock.now());
                self.open_new_message(message, Some(reply));
            }
            Err(rejection) => self.reject(&request.request_id, rejection, &reply),
        }
    }

    /// Reserves memory for a message and journals it under a new id, or returns why it must not be admitted.
    fn admit(&mut self, request: &Request) -> Result<(MessageId, MemoryPermit), Rejection> {
        let gauges = &self.context.gauges;
        may_admit(&AdmissionFacts {
            draining: self.stopped,
            id_in_use: self.context.request_ids.in_use(&request.request_id, self.context.clock.now()),
            open_messages: gauges.open_messages.get().saturating_sub(gauges.answered_messages.get()),
            max_open_messages: self.context.config().max_open_messages,
            journal_writable: self.context.journal.is_writable(),
        })?;
        let memory = self.context.memory.reserve(MemoryUser::Messages, memory_need(request));
        let memory = memory.map_err(|_| Rejection::MemoryFull)?;
        let message = self.journaled_message(request);
        self.last_id += 1;
        let id = MessageId(self.last_id);
        self.context.journal.record_received(id, &message).map_err(|error| match error {
            JournalError::Full => Rejection::JournalFull,
            _ => Rejection::JournalFailing,
        })?;
        Ok((id, memory))
    }

    /// The earliest time at which another forwarder may have sent the message; `None` if none had it.
    fn unknown_attempt_at(&self, request: &Request) -> Option<Micros> {
        request.failed_over.then(|| self.first_sent_at(request))
    }

    /// The earliest time at which the client of a message may first have sent it to a forwarder.
    pub(super) fn first_sent_at(&self, request: &Request) -> Micros {
        request.deadline.saturating_sub(self.context.config().deadlines[request.class.0])
    }

    fn journaled_message(&self, request: &Request) -> JournaledMessage {
        let unknown_attempt = self
            .unknown_attempt_at(request)
            .map(|earliest_start| UnknownAttempt { earliest_start: Some(earliest_start) });
        let name_at = |names: &[String], index: usize| names.get(index).cloned().unwrap_or_default();
        JournaledMessage {
            request_id: request.request_id.clone(),
            key: request.key.clone(),
            class: name_at(&self.names.classes, request.class.0),
            tenant: request.tenant.map(|tenant| name_at(&self.names.tenants, tenant.0)),
            destination: request.destination.0,
            deadline: request.deadline,
            body: request.body.to_vec(),
            progress: Progress { unknown_attempt, ..Progress::default() },
        }
    }

    fn reject(&self, request_id: &str, rejection: Rejection, reply: &Sender<SubmitReply>) {
        self.context.record_rejection(request_id, rejection);
        let submit_reply = match rejection {
            Rejection::IdInUse => SubmitReply::DuplicateId,
            _ => {
                self.context.counters.unavailable.increment();
                SubmitReply::Unavailable(DEFAULT_RETRY_AFTER)
            }
        };
        // Sending fails if the client has disconnected; nobody needs the reply then.
        let _ = reply.try_send(submit_reply);
    }

    /// Opens a message that the policy does not know yet, and queues it for the policy's next step.
    pub(super) fn open_new_message(
        &mut self,
        mut message: InFlightMessage,
        reply: Option<Sender<SubmitReply>>,
    ) {
        let (destination, class) = (message.request.destination, message.request.class);
        message.route_stats =
            self.context.route_stats.stats_for(destination, self.endpoints.kind(destination), class);
        message.route_stats.iter().for_each(|stats| stats.message_opened());
        let event = Event::Message(message.to_new_message(self.context.clock.now()));
        self.open_message(message, None, reply);
        self.events.push(event);
    }

    /// Adds a message to the open messages: marks its request id as in use, and tracks it in the ledger and the gauge.
    pub(super) fn open_message(
        &mut self,
        message: InFlightMessage,
        attempt: Option<AttemptInFlight>,
        reply: Option<Sender<SubmitReply>>,
    ) {
        self.context.request_ids.acquire(&message.request.request_id);
        let repeat_policy = self.context.config().repeat_policies[message.request.class.0];
        let tracked = TrackedMessage {
            repeat_policy,
            attempts: message.attempts(),
            first_possible_effect: message
                .first_possible_effect
                .map(|(started_at, zone)| TrackedAttempt { started_at, zone: Some(zone) }),
            unknown_attempt_at: message.unknown_attempt_at,
            in_flight: attempt.as_ref().map(|attempt| attempt.number),
        };
        self.context.ledger.borrow_mut().track(message.id, tracked);
        // Without a client that waits for a reply, an earlier process has accepted it.
        let accepted = reply.is_none();
        let message = Rc::new(message);
        self.messages.insert(message.id, OpenMessage { message, attempt, reply, accepted, returned: false });
        self.context.gauges.open_messages.increment();
    }

    /// Records the memory of a message that an earlier process has accepted.
    pub(super) fn memory_of_accepted(&self, request: &Request) -> MemoryPermit {
        self.context.memory.record(MemoryUser::Messages, memory_need(request))
    }

    /// Stops making steps. Messages that wait for the next step are accepted: they are journaled, so the next process
    /// will deliver them, and without a reply their clients' connections would be closed after a request that was
    /// read. Messages that may have ended are reported, as nothing can confirm their ends any more.
    pub(super) async fn stop(&mut self) {
        self.stopped = true;
        for (id, open) in &mut self.messages {
            if let Some(reply) = open.reply.take() {
                open.accepted = true;
                self.context.counters.messages_accepted.increment();
                // Sending fails if the client has disconnected; the journaled message must be delivered all the same.
                let _ = reply.try_send(SubmitReply::Accepted(*id));
            }
        }
        self.report_unsettled_ends().await;
    }
}

/// What a message takes in memory, in bytes.
fn memory_need(request: &Request) -> usize {
    request.body.len() + MESSAGE_OVERHEAD_BYTES
}
