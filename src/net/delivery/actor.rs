//! The actor's state and its mailbox.

use super::endpoints::Endpoints;
use crate::net::call::AttemptId;
use crate::net::handover::{self, frames::PolicyTimer};
use crate::net::in_flight::InFlightMessage;
use crate::net::messages::{DeliveryMessage, DeliveryReport, EndpointListMessage, SubmitReply, Successor};
use crate::net::{operator, Context};
use crate::settings_json::Names;
use crate::{DeliveryPolicy, EndpointId, Event, MessageId, Micros};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::sync::Arc;

/// A message that has not ended, or has an attempt in flight.
pub(super) struct OpenMessage {
    pub message: Rc<InFlightMessage>,
    pub attempt: Option<AttemptInFlight>,
    /// Where its client waits for the response to its request.
    pub reply: Option<Sender<SubmitReply>>,
}

/// The attempt of a message that is in flight.
pub(super) struct AttemptInFlight {
    pub number: u32,
    pub endpoint: EndpointId,
    /// Closed to cancel the call.
    pub cancel: Sender<()>,
}

/// The actor around the delivery policy.
pub struct DeliveryActor {
    pub(super) context: Rc<Context>,
    pub(super) names: Arc<Names>,
    pub(super) policy: DeliveryPolicy,
    /// Where delivery reports are sent to the platform.
    pub(super) reports: Sender<DeliveryReport>,
    pub(super) endpoint_list: Sender<EndpointListMessage>,
    pub(super) endpoints: Endpoints,
    pub(super) messages: BTreeMap<MessageId, OpenMessage>,
    /// The last id that was given to a message.
    pub(super) last_id: u64,
    pub(super) timers: BinaryHeap<Reverse<PolicyTimer>>,
    /// The events of the policy's next step.
    pub(super) events: Vec<Event>,
    pub(super) last_step: Micros,
    /// What the policy knows of the journal.
    pub(super) journal_writable: bool,
    /// No step is made any more: the process shuts down, or a successor decides.
    pub(super) stopped: bool,
    /// A process that asks to take over; it is served after the next step.
    pub(super) successor: Option<Successor>,
    /// The attempts in flight at the predecessor, those of ended messages too: the policy waits for each.
    pub(super) predecessor_attempts: BTreeMap<AttemptId, EndpointId>,
    /// Messages received of each tenant since the start, the rejected ones too.
    pub(super) received_by_tenant: Vec<u64>,
}

impl DeliveryActor {
    /// An actor without messages; ids go on after the last one used.
    pub fn new(
        context: Rc<Context>,
        policy: DeliveryPolicy,
        reports: Sender<DeliveryReport>,
        endpoint_list: Sender<EndpointListMessage>,
        last_id: u64,
    ) -> Self {
        let names = context.config().names.clone();
        DeliveryActor {
            received_by_tenant: vec![0; names.tenants.len()],
            names,
            context,
            policy,
            reports,
            endpoint_list,
            endpoints: Endpoints::default(),
            messages: BTreeMap::new(),
            last_id,
            timers: BinaryHeap::new(),
            events: Vec::new(),
            last_step: 0,
            journal_writable: true,
            stopped: false,
            successor: None,
            predecessor_attempts: BTreeMap::new(),
        }
    }

    /// What all actors share.
    pub fn context(&self) -> &Rc<Context> {
        &self.context
    }

    /// The mailbox of the endpoint list actor.
    pub fn endpoint_list(&self) -> &Sender<EndpointListMessage> {
        &self.endpoint_list
    }

    /// Runs until all senders of the mailbox are gone.
    pub async fn run(mut self, mail: Receiver<DeliveryMessage>) {
        loop {
            if self.events.is_empty() {
                match self.next_message_or_timer(&mail).await {
                    Some(Ok(message)) => self.receive(message).await,
                    Some(Err(_)) => return,
                    None => {}
                }
            }
            self.until_step_allowed().await;
            while let Ok(message) = mail.try_recv() {
                self.receive(message).await;
            }
            if self.stopped {
                self.events.clear();
                continue;
            }
            self.step().await;
            if let Some(successor) = self.successor.take() {
                handover::hand_over(&mut self, successor, &mail).await;
            }
        }
    }

    /// The next message, or `None` once a timer is due.
    async fn next_message_or_timer(
        &self,
        mail: &Receiver<DeliveryMessage>,
    ) -> Option<Result<DeliveryMessage, async_channel::RecvError>> {
        // Once stopped, nothing removes timers: one that is due would keep the actor busy for good.
        let next_timer = self.timers.peek().filter(|_| !self.stopped).map(|timer| timer.0.due_at);
        let clock = self.context.clock;
        let due = async {
            match next_timer {
                Some(due_at) => Timer::at(clock.instant_at(due_at)).await,
                None => future::pending().await,
            };
            None
        };
        future::or(async { Some(mail.recv().await) }, due).await
    }

    /// Waits until the least interval between two steps is over: messages that come meanwhile share a step.
    async fn until_step_allowed(&self) {
        let clock = self.context.clock;
        let allowed_at = self.last_step + self.context.config().min_step_interval;
        if clock.now() < allowed_at {
            Timer::at(clock.instant_at(allowed_at)).await;
        }
    }

    async fn receive(&mut self, message: DeliveryMessage) {
        match message {
            DeliveryMessage::Submit { request, reply } => self.submit(request, reply),
            DeliveryMessage::Withdrawn { id } => self.withdraw(id),
            DeliveryMessage::ClientEnded { request_id } => self.client_ended(&request_id),
            DeliveryMessage::EndpointList(update) => {
                self.endpoints.update(&update);
                self.events.push(Event::EndpointList(update));
            }
            DeliveryMessage::Settings(settings) => self.events.push(Event::Settings(settings)),
            DeliveryMessage::CallCompleted(completion) => self.call_completed(completion),
            DeliveryMessage::HandOver(successor) => self.successor = Some(successor),
            DeliveryMessage::Admin { command, reply } => {
                // It was meant for the successor, which did not take over after all.
                let (context, endpoint_list) = (self.context.clone(), self.endpoint_list.clone());
                let performing = async move {
                    // Where the operator is gone, nobody waits for the result.
                    let _ =
                        reply.try_send(operator::perform_command(&context, &endpoint_list, command).await);
                };
                self.context.executor.spawn(performing).detach();
            }
            DeliveryMessage::PredecessorGone => {
                self.take_lost_calls().into_iter().for_each(|completion| self.call_completed(completion))
            }
            // It is for the relay to a successor, which has ended.
            DeliveryMessage::ListLine(_) => {}
            // The next step sees it.
            DeliveryMessage::JournalWritable => {}
            DeliveryMessage::DescribeStatus { reply } => {
                // Where the operator is gone, nobody waits for the status.
                let _ = reply.try_send(self.status());
            }
            DeliveryMessage::Stop => self.stop(),
        }
    }
}
