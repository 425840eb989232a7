//! The messages of clients: the request as it was received, and its state until the message ends.

use crate::memory::MemoryPermit;
use crate::net::message_body::MessageBody;
use crate::net::route_stats::RouteStats;
use crate::{ClassId, DestinationId, MessageId, Micros, NewMessage, Outcome, TenantId, ZoneId};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// What a delivery report takes until it is confirmed, in bytes.
pub const REPORT_BYTES: usize = 512;

/// A message as its client sent it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// The client's id of the message.
    #[serde(rename = "word")]
    pub request_id: String,
    /// The idempotency key, if the client sent one.
    pub key: Option<String>,
    /// The class of the message.
    pub class: ClassId,
    /// The tenant that sent the message; `None` if the client named none.
    pub tenant: Option<TenantId>,
    /// The destination to which the message is delivered.
    pub destination: DestinationId,
    /// The latest time at which the message may be delivered, in microseconds of the monotonic clock.
    pub deadline: Micros,
    /// The body of the message. Not serialized: a hand-over sends it after the frame's head.
    #[serde(skip)]
    pub body: MessageBody,
    /// Whether the client sends the message again after it was rejected.
    #[serde(rename = "again")]
    pub client_retry: bool,
    /// Whether another forwarder that failed may have sent the message before, so that it may have run.
    #[serde(rename = "orphan")]
    pub failed_over: bool,
}

/// A message that was admitted, with its attempts so far.
#[derive(Debug)]
pub struct InFlightMessage {
    /// The id that this forwarder assigned to the message.
    pub id: MessageId,
    /// The request as the client sent it.
    pub request: Request,
    /// When the message was received, in microseconds of the monotonic clock; `None` if it was restored from the
    /// journal.
    pub received_at: Option<Micros>,
    /// Whether the message was restored from the journal, as an earlier process had accepted it.
    pub restored: bool,
    /// The first attempt that may have run, if an earlier process journaled one: when it was sent, in microseconds of
    /// the monotonic clock, and the zone of its endpoint.
    pub first_possible_effect: Option<(Micros, ZoneId)>,
    /// The earliest time at which an attempt at an unknown endpoint may have been sent, as by another forwarder, in
    /// microseconds of the monotonic clock; `None` if there is none.
    pub unknown_attempt_at: Option<Micros>,
    /// The counts of the message's route; `None` without a site file.
    pub route_stats: Option<Rc<RouteStats>>,
    /// The memory that the message holds.
    memory: RefCell<Option<MemoryPermit>>,
    attempts: Cell<u32>,
    last_outcome: Cell<Option<Outcome>>,
    may_have_run: Cell<bool>,
    /// The attempts to which a response said that the message has ended.
    ends_read: RefCell<BTreeSet<u32>>,
    ended: Cell<bool>,
}

impl InFlightMessage {
    /// Creates a message that has not ended. `attempts` is the number of attempts that were begun before.
    pub fn new(id: MessageId, request: Request, attempts: u32) -> Self {
        InFlightMessage {
            id,
            may_have_run: request.failed_over.into(),
            request,
            received_at: None,
            restored: false,
            first_possible_effect: None,
            unknown_attempt_at: None,
            route_stats: None,
            memory: RefCell::default(),
            attempts: Cell::new(attempts),
            last_outcome: Cell::default(),
            ends_read: RefCell::default(),
            ended: Cell::new(false),
        }
    }

    /// The same message, which holds memory by this permit.
    #[must_use]
    pub fn with_memory(self, permit: MemoryPermit) -> Self {
        self.memory.replace(Some(permit));
        self
    }

    /// Splits off the memory that a delivery report of the message needs; `None` if the message holds none.
    pub fn split_report_memory(&self) -> Option<MemoryPermit> {
        self.memory.borrow_mut().as_mut().map(|permit| permit.split(REPORT_BYTES))
    }

    /// Increments the number of attempts and returns the number of the new one, counted from 0.
    pub fn begin_attempt(&self) -> u32 {
        self.route_stats.iter().for_each(|stats| stats.attempt_begun());
        self.attempts.replace(self.attempts.get() + 1)
    }

    /// The number of attempts begun so far.
    pub fn attempts(&self) -> u32 {
        self.attempts.get()
    }

    /// The outcome of the last attempt that has ended in this process; `None` if there is none.
    pub fn last_outcome(&self) -> Option<Outcome> {
        self.last_outcome.get()
    }

    /// Records the outcome of an attempt that has ended.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.last_outcome.set(Some(outcome));
    }

    /// Whether an endpoint may have processed the message. It may then respond at once to a further attempt.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }

    /// Records that an endpoint may have processed the message.
    pub fn mark_may_have_run(&self) {
        self.may_have_run.set(true);
    }

    /// Records that a response to this attempt says that the message has ended.
    pub fn record_end_read(&self, attempt: u32) {
        self.ends_read.borrow_mut().insert(attempt);
    }

    /// Records that this attempt has not ended the message: what [`InFlightMessage::record_end_read`] recorded for it was a
    /// copy of an earlier response.
    pub fn refute_end_read(&self, attempt: u32) {
        self.ends_read.borrow_mut().remove(&attempt);
    }

    /// Whether a response says that the message has ended, certainly or probably, so that no attempt may be sent for it.
    pub fn is_end_read(&self) -> bool {
        !self.ends_read.borrow().is_empty()
    }

    /// Whether the message has ended, so that no attempt may be sent for it.
    pub fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Marks the message as ended.
    pub fn mark_ended(&self) {
        self.ended.set(true);
    }

    /// The message in the form in which it is passed to the policy, with the time left at `now`.
    pub fn to_new_message(&self, now: Micros) -> NewMessage {
        NewMessage {
            id: self.id,
            class: self.request.class,
            tenant: self.request.tenant,
            order_key: None,
            time_left: self.request.deadline.saturating_sub(now),
            destination: self.request.destination,
            failed_over: self.request.failed_over,
            first_possible_effect: self.first_possible_effect,
            unknown_attempt_at: self.unknown_attempt_at,
            client_retry: self.request.client_retry,
            restored: self.restored,
            attempts: self.attempts.get(),
        }
    }
}
