//! The state of the delivery actor and the loop that reads its mailbox.

use super::endpoints::Endpoints;
use super::fenced::{FencedAttempts, FencedMessage};
use super::unconfirmed_ends::UnconfirmedEnd;
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
    /// `None` while no attempt is in flight.
    pub attempt: Option<AttemptInFlight>,
    /// The channel for the reply to the client; `None` once the reply was sent, or if an earlier process accepted the
    /// message.
    pub reply: Option<Sender<SubmitReply>>,
    /// Whether its client was replied that it is accepted.
    pub accepted: bool,
    /// Whether it was returned to its client, which may send it again.
    pub returned: bool,
}

/// The attempt in flight of a message, made by this process or by its predecessor.
pub(super) struct AttemptInFlight {
    /// The number of the attempt, counted from 0 for each message.
    pub number: u32,
    pub endpoint: EndpointId,
    /// When a response was received that is probably the attempt's, in microseconds of the monotonic clock; `None`
    /// without one.
    pub answered_at: Option<Micros>,
    /// Closing this channel cancels the call.
    pub cancel: Sender<()>,
}

/// Runs the delivery policy: turns what arrives in the mailbox into events, and performs the actions that the policy
/// returns.
pub struct DeliveryActor {
    pub(super) context: Rc<Context>,
    pub(super) names: Arc<Names>,
    pub(super) policy: DeliveryPolicy,
    /// The queue of delivery reports for the platform.
    pub(super) reports: Sender<DeliveryReport>,
    /// The mailbox of the endpoint list actor.
    pub(super) endpoint_list: Sender<EndpointListMessage>,
    pub(super) endpoints: Endpoints,
    pub(super) messages: BTreeMap<MessageId, OpenMessage>,
    /// The messages that have ended by a response that may be a copy.
    pub(super) unconfirmed_ends: BTreeMap<MessageId, UnconfirmedEnd>,
    /// The last id that was assigned to a message.
    pub(super) last_id: u64,
    /// The timers that the policy has set; the first one due is on top.
    pub(super) timers: BinaryHeap<Reverse<PolicyTimer>>,
    /// The events of the policy's next step.
    pub(super) events: Vec<Event>,
    /// When the last step was made, in microseconds of the monotonic clock.
    pub(super) last_step_at: Micros,
    /// Whether the journal is writable, as last passed to the policy.
    pub(super) journal_writable: bool,
    /// No more steps are made: the process is shutting down, or a successor makes the decisions.
    pub(super) stopped: bool,
    /// A process that has asked to take over. The hand-over to it starts after the next step; `None` while there is none.
    pub(super) successor: Option<Successor>,
    /// The attempts in flight at the predecessor and their endpoints. They include attempts of ended messages, because
    /// the policy expects an [`Event::AttemptEnded`] for each.
    pub(super) predecessor_attempts: BTreeMap<AttemptId, EndpointId>,
    /// Whether the predecessor still forwards the completions of its calls.
    pub(super) predecessor_connected: bool,
    /// The attempts that may be in flight at earlier processes that still run.
    pub(super) fenced_attempts: FencedAttempts,
    /// The messages that wait for such an attempt. The policy does not know them yet.
    pub(super) fenced: BTreeMap<MessageId, FencedMessage>,
    /// Messages received from each tenant, including rejected ones; a hand-over passes the counts on.
    pub(super) received_by_tenant: Vec<u64>,
}

impl DeliveryActor {
    /// Creates an actor without messages. The first new message gets the id after `last_id`.
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
            unconfirmed_ends: BTreeMap::new(),
            last_id,
            timers: BinaryHeap::new(),
            events: Vec::new(),
            last_step_at: 0,
            journal_writable: true,
            stopped: false,
            successor: None,
            predecessor_attempts: BTreeMap::new(),
            predecessor_connected: false,
            fenced_attempts: FencedAttempts::default(),
            fenced: BTreeMap::new(),
        }
    }

    /// The handles that all actors of the process share.
    pub fn context(&self) -> &Rc<Context> {
        &self.context
    }

    /// The mailbox of the endpoint list actor.
    pub fn endpoint_list(&self) -> &Sender<EndpointListMessage> {
        &self.endpoint_list
    }

    /// Runs until all senders of the mailbox are dropped.
    pub async fn run(mut self, mailbox: Receiver<DeliveryMessage>) {
        loop {
            if self.events.is_empty() {
                match self.next_mailbox_item_or_timer(&mailbox).await {
                    Some(Ok(message)) => self.handle_mailbox_item(message).await,
                    Some(Err(_)) => return,
                    None => {}
                }
            }
            self.until_step_allowed().await;
            while let Ok(message) = mailbox.try_recv() {
                self.handle_mailbox_item(message).await;
            }
            if self.stopped {
                self.events.clear();
                continue;
            }
            self.step().await;
            if let Some(successor) = self.successor.take() {
                // Returns only if the successor did not take over.
                handover::hand_over(&mut self, successor, &mailbox).await;
            }
        }
    }

    /// Waits for the next item in the mailbox. Returns `None` if a timer of the policy is due first.
    async fn next_mailbox_item_or_timer(
        &self,
        mailbox: &Receiver<DeliveryMessage>,
    ) -> Option<Result<DeliveryMessage, async_channel::RecvError>> {
        // A stopped actor ignores its timers: no step would remove a due one, and `run` would loop without a pause.
        let next_timer = self.timers.peek().filter(|_| !self.stopped).map(|timer| timer.0.due_at);
        let clock = self.context.clock;
        let timer_due = async {
            match next_timer {
                Some(due_at) => Timer::at(clock.instant_at(due_at)).await,
                None => future::pending().await,
            };
            None
        };
        future::or(async { Some(mailbox.recv().await) }, timer_due).await
    }

    /// Waits until `min_step_interval` has passed since the last step. Whatever arrives in the mailbox meanwhile is
    /// processed in the same step.
    async fn until_step_allowed(&self) {
        let clock = self.context.clock;
        let allowed_at = self.last_step_at + self.context.config().min_step_interval;
        if clock.now() < allowed_at {
            Timer::at(clock.instant_at(allowed_at)).await;
        }
    }

    async fn handle_mailbox_item(&mut self, message: DeliveryMessage) {
        match message {
            DeliveryMessage::Submit { request, reply } => self.submit(request, reply),
            DeliveryMessage::Withdrawn { id } => self.withdraw(id),
            DeliveryMessage::ClientHalfClosed { request_id } => self.client_half_closed(&request_id),
            DeliveryMessage::EndpointList(update) => {
                self.endpoints.update(&update);
                self.events.push(Event::EndpointList(update));
            }
            DeliveryMessage::Settings(settings) => self.events.push(Event::Settings(settings)),
            DeliveryMessage::CallAnswered(completion) => self.call_answered(&completion),
            DeliveryMessage::CallCompleted(completion) => self.call_completed(completion),
            DeliveryMessage::EndRead(completion) => self.end_read_at_predecessor(&completion),
            DeliveryMessage::LateEnd(completion) => self.end_late(&completion).await,
            DeliveryMessage::EndSettled { messages, settlement } => {
                self.settle_ends(messages, settlement).await
            }
            DeliveryMessage::HandOver(successor) => self.successor = Some(successor),
            DeliveryMessage::Admin { command, reply } => {
                // The command arrived during a hand-over that failed, so this process performs it.
                let (context, endpoint_list) = (self.context.clone(), self.endpoint_list.clone());
                let perform_command = async move {
                    // Sending fails if the operator has disconnected; nobody needs the result then.
                    let _ =
                        reply.try_send(operator::perform_command(&context, &endpoint_list, command).await);
                };
                self.context.executor.spawn(perform_command).detach();
            }
            DeliveryMessage::PredecessorGone => {
                self.predecessor_connected = false;
                self.complete_lost_calls().await;
            }
            DeliveryMessage::FencedCalls { fence, frame } => self.handle_fenced_calls(&fence, frame).await,
            DeliveryMessage::FenceReleased { fence } => self.fence_released(&fence).await,
            DeliveryMessage::FencedExpired { id } => self.fenced_expired(id).await,
            // This process decides, so nobody else needs its calls: dropping the connection says so.
            DeliveryMessage::WatchCalls(_) => {}
            // The line is for a successor, and there is none: this process was not replaced.
            DeliveryMessage::ListLine(_) => {}
            // This only wakes the actor; the next step reads the journal's status.
            DeliveryMessage::JournalWritable => {}
            DeliveryMessage::DescribeStatus { reply } => {
                // Sending fails if the client that asked has disconnected; nobody needs the status then.
                let _ = reply.try_send(self.status());
            }
            DeliveryMessage::Stop => self.stop().await,
        }
    }
}
