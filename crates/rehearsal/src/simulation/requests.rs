//! Clients' requests: which forwarder receives them, retries after a rejection, and how messages end.

use super::event_queue::SimulationEvent;
use super::{Simulation, CLASS, CLIENT_PATIENCE, RECONNECT_DELAY};
use crate::audit::MessageEnd;
use cedarbridge::routes::RouteTiming;
use cedarbridge::{DestinationId, Event, KindId, MessageId, Micros, NewMessage, TenantId};
use rand::RngExt;

/// A message as a forwarder received it; a client's retry is another message.
pub(super) struct Message {
    /// The index of the client's request, whose weight counts once for all its messages.
    pub(super) first: u32,
    pub(super) forwarder: u32,
    pub(super) attempts: u32,
    pub(super) call: Option<u32>,
    pub(super) closed: bool,
    pub(super) is_retry: bool,
}

impl Simulation<'_> {
    /// A client connects with a request, for the first time or again.
    pub(super) fn receive_request(&mut self, first: usize, retry_of: Option<usize>, first_tried: Micros) {
        let request = self.world.requests[first];
        let fresh = retry_of.is_none() && first_tried == self.now;
        if fresh {
            if let Some(next) = self.world.requests.get(first + 1) {
                self.schedule(
                    next.at,
                    SimulationEvent::Request { first: first + 1, retry_of: None, first_tried: next.at },
                );
            }
        }
        self.clients_waiting -= usize::from(!fresh);
        // A retry may reach any forwarder.
        let to = if retry_of.is_some() { self.rng.random_range(0..self.size) } else { request.forwarder };
        let deadline = request.at + self.world.settings.classes[0].deadline;
        if self.now >= deadline {
            return;
        }
        let Some(forwarder) = self.accepting_forwarder(to) else {
            // No forwarder accepts connections.
            if self.now + RECONNECT_DELAY < first_tried + CLIENT_PATIENCE {
                self.clients_waiting += 1;
                self.schedule(
                    self.now + RECONNECT_DELAY,
                    SimulationEvent::Request { first, retry_of, first_tried },
                );
            } else {
                self.figures.given_up(true);
            }
            return;
        };
        if forwarder != to && first_tried == self.now {
            self.clients_waiting += 1;
            return self.schedule(
                self.now + RECONNECT_DELAY,
                SimulationEvent::Request { first, retry_of, first_tried },
            );
        }
        let id = self.messages.len();
        let message = Message {
            first: first as u32,
            forwarder: forwarder as u32,
            attempts: 0,
            call: None,
            closed: false,
            is_retry: retry_of.is_some(),
        };
        self.messages.push(message);
        self.open += 1;
        self.forwarders[forwarder].open += 1;
        self.audit.taken(self.now, forwarder, request.at, deadline - self.now);
        self.push_message(forwarder, id, deadline, retry_of.is_some(), false);
    }

    /// The first forwarder, from this one on, that accepts requests.
    pub(super) fn accepting_forwarder(&self, from: usize) -> Option<usize> {
        let n = self.forwarders.len();
        (0..n).map(|i| (from + i) % n).find(|f| self.forwarders[*f].accepts)
    }

    /// Hands a message to a forwarder's policy.
    pub(super) fn push_message(
        &mut self,
        forwarder: usize,
        id: usize,
        deadline: Micros,
        client_retry: bool,
        failed_over: bool,
    ) {
        let m = &self.messages[id];
        let request = &self.world.requests[m.first as usize];
        let message = NewMessage {
            id: MessageId(id as u64),
            class: CLASS,
            tenant: Some(TenantId(request.tenant)),
            order_key: None,
            time_left: deadline.saturating_sub(self.now),
            destination: DestinationId(request.destination as u64),
            failed_over,
            first_possible_effect: None,
            client_retry,
            // Only a message from a predecessor's journal has attempts or is failed over.
            restored: failed_over || m.attempts > 0,
            attempts: m.attempts,
        };
        self.push_event(forwarder, Event::Message(message));
    }

    /// Gives a message that a stopped process had open to the process that takes over its journal.
    pub(super) fn restore_message(&mut self, forwarder: usize, id: usize) {
        let m = &self.messages[id];
        let attempted = m.attempts > 0;
        let deadline = self.world.requests[m.first as usize].at + self.world.settings.classes[0].deadline;
        self.push_message(forwarder, id, deadline, !attempted, attempted);
    }

    /// The timing that the plan gives a message.
    pub(super) fn timing(&self, message: usize) -> RouteTiming {
        let destination = self.world.requests[self.messages[message].first as usize].destination;
        let (to, kind) = (DestinationId(destination as u64), KindId(self.world.kinds[destination]));
        self.plan.as_ref().map_or(RouteTiming::default(), |p| p.timing(to, Some(kind), CLASS))
    }

    /// Marks a message as ended.
    pub(super) fn close_message(&mut self, message: usize) {
        let m = &mut self.messages[message];
        if !m.closed {
            m.closed = true;
            self.open -= 1;
            self.forwarders[m.forwarder as usize].open -= 1;
        }
    }

    /// Ends a message that the policy rejected, with its retry_after, or failed.
    pub(super) fn reject_or_fail(&mut self, message: usize, refused: Option<Option<Micros>>) {
        let timing = self.timing(message);
        let end = if refused.is_some() { MessageEnd::Rejected } else { MessageEnd::Failed };
        self.audit.ended(self.now, message, &timing, end);
        self.close_message(message);
        let m = &self.messages[message];
        let (first, is_retry) = (m.first as usize, m.is_retry);
        self.figures.given_up(refused.is_some());
        let Some(advice) = refused else { return };
        if let Some(wait) = self.world.requests[first].retry_after.filter(|_| !is_retry) {
            let later = self.now + advice.unwrap_or(0).max(wait);
            self.clients_waiting += 1;
            self.schedule(
                later,
                SimulationEvent::Request { first, retry_of: Some(message), first_tried: later },
            );
        }
    }
}
