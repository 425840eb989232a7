//! A message that was taken on, from its request to its end.

use crate::net::route_stats::RouteStats;
use crate::{ClassId, DestinationId, MessageId, Micros, NewMessage, TenantId, ZoneId};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;

/// What a front hands in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// The user agent's name for it.
    #[serde(rename = "word")]
    pub request_id: String,
    /// What marks repeats of it.
    pub key: Option<String>,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// Where it goes.
    pub destination: DestinationId,
    /// Up to when it may be delivered, on the program's clock.
    pub deadline: Micros,
    /// What is passed on; between processes it goes beside the rest.
    #[serde(skip)]
    pub body: Rc<[u8]>,
    /// It was handed in before and turned away.
    #[serde(rename = "again")]
    pub client_retry: bool,
    /// A forwarder had it that died, so it may have run.
    #[serde(rename = "orphan")]
    pub failed_over: bool,
}

/// A request that is held, with what became of it.
#[derive(Debug)]
pub struct InFlightMessage {
    /// The module's name for it.
    pub id: MessageId,
    /// As it was handed in.
    pub request: Request,
    /// When it was handed in, on the program's clock; none if that was at an earlier process.
    pub received_at: Option<Micros>,
    /// An earlier process had taken it on.
    pub restored: bool,
    /// When and where the first attempt was sent that may have run, where an earlier process noted it.
    pub first_attempt: Option<(Micros, ZoneId)>,
    /// Where it is counted by route.
    pub stats: Option<Rc<RouteStats>>,
    attempts: Cell<u32>,
    over: Cell<bool>,
}

impl InFlightMessage {
    /// A transaction that is under way, with the attempts that an earlier process made.
    pub fn new(id: MessageId, request: Request, attempts: u32) -> Self {
        let (attempts, over) = (Cell::new(attempts), Cell::new(false));
        InFlightMessage {
            id,
            request,
            received_at: None,
            restored: false,
            first_attempt: None,
            stats: None,
            attempts,
            over,
        }
    }

    /// The number of its next attempt, from 0; it counts as begun.
    pub fn next_attempt(&self) -> u32 {
        self.stats.iter().for_each(|s| s.attempt());
        self.attempts.replace(self.attempts.get() + 1)
    }

    /// Attempts begun so far.
    pub fn attempts(&self) -> u32 {
        self.attempts.get()
    }

    /// Nothing more may be sent for it.
    pub fn is_over(&self) -> bool {
        self.over.get()
    }

    /// Marks its end.
    pub fn finish(&self) {
        self.over.set(true);
    }

    /// The module's view of it at a time.
    pub fn message(&self, now: Micros) -> NewMessage {
        NewMessage {
            id: self.id,
            class: self.request.class,
            tenant: self.request.tenant,
            key: None,
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
