//! The clients' requests: which forwarder receives them, retries after a rejection, and how messages end.

use super::event_queue::SimulationEvent;
use super::{Simulation, CLASS, CLIENT_PATIENCE, RECONNECT_DELAY};
use crate::audit::MessageEnd;
use cedarbridge::routes::RouteTiming;
use cedarbridge::{DestinationId, Event, KindId, MessageId, Micros, NewMessage, TenantId};
use rand::RngExt;

/// A message as a forwarder received it. A client's retry is another message for the same request.
pub(super) struct Message {
    /// The index of the client's request. Its weight counts once for all its messages.
    pub(super) request: u32,
    pub(super) forwarder: u32,
    pub(super) attempts: u32,
    /// The call of its attempt in flight; `None` if no attempt is in flight.
    pub(super) call: Option<u32>,
    pub(super) closed: bool,
    pub(super) is_retry: bool,
}

impl Simulation<'_> {
    /// Handles a client that connects to send a request, for the first time or again.
    pub(super) fn receive_request(&mut self, index: usize, retry_of: Option<usize>, first_tried: Micros) {
        let request = self.environment.requests[index];
        let is_first_try = retry_of.is_none() && first_tried == self.now;
        if is_first_try {
            if let Some(next) = self.environment.requests.get(index + 1) {
                self.schedule(
                    next.at,
                    SimulationEvent::Request { index: index + 1, retry_of: None, first_tried: next.at },
                );
            }
        }
        self.clients_waiting -= usize::from(!is_first_try);
        // A retry may reach any forwarder.
        let preferred = if retry_of.is_some() {
            self.rng.random_range(0..self.active_forwarders)
        } else {
            request.forwarder
        };
        let deadline = request.at + self.environment.settings.classes[0].deadline;
        if self.now >= deadline {
            return;
        }
        let Some(forwarder) = self.accepting_forwarder(preferred) else {
            // No forwarder accepts the request now.
            if self.now + RECONNECT_DELAY < first_tried + CLIENT_PATIENCE {
                self.clients_waiting += 1;
                self.schedule(
                    self.now + RECONNECT_DELAY,
                    SimulationEvent::Request { index, retry_of, first_tried },
                );
            } else {
                self.figures.message_undelivered(true);
            }
            return;
        };
        if forwarder != preferred && first_tried == self.now {
            self.clients_waiting += 1;
            return self.schedule(
                self.now + RECONNECT_DELAY,
                SimulationEvent::Request { index, retry_of, first_tried },
            );
        }
        let id = self.messages.len();
        let message = Message {
            request: index as u32,
            forwarder: forwarder as u32,
            attempts: 0,
            call: None,
            closed: false,
            is_retry: retry_of.is_some(),
        };
        self.messages.push(message);
        self.open += 1;
        self.forwarders[forwarder].open_messages += 1;
        self.audit.message_received(self.now, forwarder, request.at, deadline - self.now);
        self.push_message(forwarder, id, deadline, retry_of.is_some(), false);
    }

    /// The first forwarder that accepts requests, counted from `from` on; `None` if none does.
    pub(super) fn accepting_forwarder(&self, from: usize) -> Option<usize> {
        let count = self.forwarders.len();
        (0..count).map(|i| (from + i) % count).find(|f| self.forwarders[*f].accepts_requests)
    }

    /// Queues a message for a forwarder's policy.
    pub(super) fn push_message(
        &mut self,
        forwarder: usize,
        id: usize,
        deadline: Micros,
        client_retry: bool,
        failed_over: bool,
    ) {
        let state = &self.messages[id];
        let request = &self.environment.requests[state.request as usize];
        let message = NewMessage {
            id: MessageId(id as u64),
            class: CLASS,
            tenant: Some(TenantId(request.tenant)),
            order_key: None,
            time_left: deadline.saturating_sub(self.now),
            destination: DestinationId(request.destination as u64),
            failed_over,
            first_possible_effect: None,
            unknown_attempt_at: None,
            client_retry,
            // Only a message from a predecessor's journal has attempts or is failed over.
            restored: failed_over || state.attempts > 0,
            attempts: state.attempts,
        };
        self.push_event(forwarder, Event::Message(message));
    }

    /// Queues an open message of a stopped process for the policy of the process that takes over its journal.
    pub(super) fn restore_message(&mut self, forwarder: usize, id: usize) {
        let message = &self.messages[id];
        let attempted = message.attempts > 0;
        let deadline = self.environment.requests[message.request as usize].at
            + self.environment.settings.classes[0].deadline;
        self.push_message(forwarder, id, deadline, !attempted, attempted);
    }

    /// The timing that the routes give a message.
    pub(super) fn timing(&self, message: usize) -> RouteTiming {
        let destination = self.environment.requests[self.messages[message].request as usize].destination;
        let (id, kind) =
            (DestinationId(destination as u64), KindId(self.environment.destination_kinds[destination]));
        self.route_table.as_ref().map_or(RouteTiming::default(), |p| p.timing(id, Some(kind), CLASS))
    }

    /// Marks a message as ended.
    pub(super) fn close_message(&mut self, message: usize) {
        let state = &mut self.messages[message];
        if !state.closed {
            state.closed = true;
            self.open -= 1;
            self.forwarders[state.forwarder as usize].open_messages -= 1;
        }
    }

    /// Ends a message that the policy rejected, which may come with a `retry_after`, or failed (`None`).
    pub(super) fn reject_or_fail(&mut self, message: usize, rejection: Option<Option<Micros>>) {
        let timing = self.timing(message);
        let end = if rejection.is_some() { MessageEnd::Rejected } else { MessageEnd::Failed };
        self.audit.message_ended(self.now, message, &timing, end);
        self.close_message(message);
        let state = &self.messages[message];
        let (index, is_retry) = (state.request as usize, state.is_retry);
        self.figures.message_undelivered(rejection.is_some());
        let Some(retry_after) = rejection else { return };
        if let Some(delay) = self.environment.requests[index].retry_delay.filter(|_| !is_retry) {
            let retry_at = self.now + retry_after.unwrap_or(0).max(delay);
            self.clients_waiting += 1;
            self.schedule(
                retry_at,
                SimulationEvent::Request { index, retry_of: Some(message), first_tried: retry_at },
            );
        }
    }
}
