//! A message that was accepted, from its request to its end.

use crate::net::route_stats::RouteStats;
use crate::{ClassId, DestinationId, MessageId, Micros, NewMessage, TenantId, ZoneId};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;

/// A message as its client sent it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// The client's id for it.
    #[serde(rename = "word")]
    pub request_id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its class.
    pub class: ClassId,
    /// The tenant that sent it.
    pub tenant: Option<TenantId>,
    /// Where it goes.
    pub destination: DestinationId,
    /// Up to when it may be delivered, on the program's clock.
    pub deadline: Micros,
    /// Its body; between processes it goes beside the rest.
    #[serde(skip)]
    pub body: Rc<[u8]>,
    /// It was sent before and rejected.
    #[serde(rename = "again")]
    pub client_retry: bool,
    /// A forwarder had it that died, so it may have run.
    #[serde(rename = "orphan")]
    pub failed_over: bool,
}

/// A message that was accepted, with its attempts so far.
#[derive(Debug)]
pub struct InFlightMessage {
    /// The program's id for it.
    pub id: MessageId,
    /// As its client sent it.
    pub request: Request,
    /// When it was received, on the program's clock; `None` if an earlier process received it.
    pub received_at: Option<Micros>,
    /// An earlier process had accepted it.
    pub restored: bool,
    /// When and in which zone the first attempt was sent that may have run, where an earlier process has journaled it.
    pub first_attempt: Option<(Micros, ZoneId)>,
    /// Where it is counted by route.
    pub stats: Option<Rc<RouteStats>>,
    attempts: Cell<u32>,
    ended: Cell<bool>,
}

impl InFlightMessage {
    /// A message that has not ended, with the number of attempts that were begun before.
    pub fn new(id: MessageId, request: Request, attempts: u32) -> Self {
        InFlightMessage {
            id,
            request,
            received_at: None,
            restored: false,
            first_attempt: None,
            stats: None,
            attempts: Cell::new(attempts),
            ended: Cell::new(false),
        }
    }

    /// Begins an attempt: its number, from 0.
    pub fn begin_attempt(&self) -> u32 {
        self.stats.iter().for_each(|stats| stats.attempt_begun());
        self.attempts.replace(self.attempts.get() + 1)
    }

    /// Attempts begun so far.
    pub fn attempts(&self) -> u32 {
        self.attempts.get()
    }

    /// Nothing more may be sent for it.
    pub fn is_over(&self) -> bool {
        self.ended.get()
    }

    /// Marks its end.
    pub fn end(&self) {
        self.ended.set(true);
    }

    /// The policy's view of it at a time.
    pub fn message(&self, now: Micros) -> NewMessage {
        NewMessage {
            id: self.id,
            class: self.request.class,
            tenant: self.request.tenant,
            order_key: None,
            time_left: self.request.deadline.saturating_sub(now),
            destination: self.request.destination,
            failed_over: self.request.failed_over,
            first_attempt: self.first_attempt,
            client_retry: self.request.client_retry,
            restored: self.restored,
            attempts: self.attempts.get(),
        }
    }
}
