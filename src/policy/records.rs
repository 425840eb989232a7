//! What the delivery policy keeps: endpoints, destinations, messages and calls. Stored names are those of
//! earlier releases, as the state is part of the hand-over.

use super::admission::AdmissionControl;
use super::constants::SECOND;
use crate::api::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Stores a struct of two fields as a JSON array, the form in which earlier releases hand it over.
macro_rules! stored_as_array {
    ($name:ident { $first:ident: $first_type:ty, $second:ident: $second_type:ty }) => {
        impl From<($first_type, $second_type)> for $name {
            fn from(($first, $second): ($first_type, $second_type)) -> Self {
                $name { $first, $second }
            }
        }
        impl From<$name> for ($first_type, $second_type) {
            fn from(value: $name) -> Self {
                (value.$first, value.$second)
            }
        }
    };
}
pub(super) use stored_as_array;

/// An endpoint of the list.
#[derive(Serialize, Deserialize)]
pub(super) struct Endpoint {
    pub(super) entry: EndpointEntry,
    #[serde(rename = "breaker")]
    pub(super) admission: AdmissionControl,
    #[serde(rename = "last_used")]
    pub(super) last_used_at: Micros,
    /// The last call was answered, so an idle connection is there to be reused.
    #[serde(rename = "reusable")]
    pub(super) has_idle_connection: bool,
}

/// A destination: its endpoints and its queue.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Destination {
    /// Each endpoint has its own circuit breaker and limit; that of the destination is not asked.
    #[serde(rename = "apart")]
    pub(super) per_endpoint_breaker: bool,
    /// Known once the list has named an endpoint.
    pub(super) kind: Option<KindId>,
    #[serde(rename = "per_call")]
    pub(super) messages_per_call: usize,
    pub(super) endpoints: Vec<EndpointId>,
    #[serde(rename = "breaker")]
    pub(super) admission: AdmissionControl,
    pub(super) waiting: Vec<MessageId>,
    /// Number of its last dispatch; the destination with the lowest goes first.
    #[serde(rename = "last_slot")]
    pub(super) last_dispatch: u64,
}

/// A message and the state of its delivery.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Message {
    pub(super) class: ClassId,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
    #[serde(rename = "key")]
    pub(super) order_key: Option<OrderKey>,
    pub(super) destination: DestinationId,
    /// When it was first received, by this forwarder or another.
    #[serde(rename = "born")]
    pub(super) received_at: Micros,
    pub(super) deadline: Micros,
    pub(super) attempts: u32,
    /// The first attempt that may have taken effect.
    #[serde(rename = "may_have_run")]
    pub(super) first_effect: Option<PossibleEffect>,
    #[serde(rename = "out")]
    pub(super) in_flight: Option<InFlightAttempt>,
    /// Where the last attempt went.
    #[serde(rename = "sent_zone")]
    pub(super) last_zone: ZoneId,
    /// Nothing more is owed for it.
    #[serde(rename = "over")]
    pub(super) complete: bool,
    /// No further attempt before this, by its route's settings.
    #[serde(rename = "rest_until")]
    pub(super) retry_at: Micros,
    /// Where an attempt timed out whose hedged repeat is to go elsewhere.
    #[serde(rename = "avoid")]
    pub(super) avoid_endpoint: Option<EndpointId>,
    /// Its end, fixed once an attempt is in flight that lasts up to it.
    #[serde(rename = "last_until")]
    pub(super) final_deadline: Option<Micros>,
    /// It was received by an earlier process.
    pub(super) restored: bool,
    /// Attempts that count as none, as they could not be journaled.
    #[serde(rename = "unsent")]
    pub(super) uncounted_attempts: u32,
}

impl Message {
    /// It is to be sent: neither complete nor in flight.
    pub(super) fn is_waiting(&self) -> bool {
        !self.complete && self.in_flight.is_none()
    }
}

/// An attempt that may have taken effect.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(Micros, Option<ZoneId>)", into = "(Micros, Option<ZoneId>)")]
pub(super) struct PossibleEffect {
    pub(super) sent_at: Micros,
    /// Not known of an attempt of another forwarder.
    pub(super) zone: Option<ZoneId>,
}
stored_as_array!(PossibleEffect { sent_at: Micros, zone: Option<ZoneId> });

/// The attempt of a message that is in flight, and the call that carries it.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(u32, u64)", into = "(u32, u64)")]
pub(super) struct InFlightAttempt {
    pub(super) attempt: u32,
    pub(super) call: u64,
}
stored_as_array!(InFlightAttempt { attempt: u32, call: u64 });

/// A call in flight, which carries an attempt of one message or several.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Call {
    pub(super) endpoint: EndpointId,
    pub(super) destination: DestinationId,
    #[serde(rename = "sent")]
    pub(super) sent_at: Micros,
    /// The trial call of a half-open breaker.
    #[serde(rename = "trial")]
    pub(super) is_trial: bool,
    /// The attempts whose result is outstanding.
    #[serde(rename = "parts")]
    pub(super) attempts: Vec<CallAttempt>,
    /// The outcome of one attempt was recorded; the others tell nothing new of the endpoint.
    #[serde(rename = "judged")]
    pub(super) outcome_recorded: bool,
    /// Whether it went out on a reused connection; none if that is not known.
    #[serde(rename = "reused")]
    pub(super) connection_reused: Option<bool>,
    #[serde(rename = "called_off")]
    pub(super) cancelled: bool,
}

/// One message's attempt within a call.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(MessageId, u32)", into = "(MessageId, u32)")]
pub(super) struct CallAttempt {
    pub(super) id: MessageId,
    pub(super) attempt: u32,
}
stored_as_array!(CallAttempt { id: MessageId, attempt: u32 });

/// The messages of one order key, which go one at a time.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct KeyQueue {
    pub(super) queue: VecDeque<MessageId>,
    /// The next message waits until then, as the last attempt may still be running.
    #[serde(rename = "rest_until")]
    pub(super) paused_until: Micros,
}

/// A tenant's token bucket for its quota.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(f64, Micros)", into = "(f64, Micros)")]
pub(super) struct QuotaBucket {
    pub(super) tokens: f64,
    pub(super) refilled_at: Micros,
}
stored_as_array!(QuotaBucket { tokens: f64, refilled_at: Micros });

impl QuotaBucket {
    /// A full one: the first refill brings it down to its size.
    pub(super) fn full() -> Self {
        QuotaBucket { tokens: f64::MAX, refilled_at: 0 }
    }

    /// Refills the bucket up to now, one token and those of one second at most, and takes one out.
    /// Returns false if there was none.
    pub(super) fn take(&mut self, now: Micros, tokens_per_us: f64) -> bool {
        let refilled = self.tokens + tokens_per_us * (now - self.refilled_at) as f64;
        self.tokens = refilled.min(1.0 + tokens_per_us * SECOND as f64);
        self.refilled_at = now;
        let within_quota = self.tokens >= 1.0;
        if within_quota {
            self.tokens -= 1.0;
        }
        within_quota
    }
}

pub(super) type Destinations = BTreeMap<DestinationId, Destination>;

/// The record of a destination, made if there is none.
pub(super) fn destination(
    destinations: &mut Destinations,
    now: Micros,
    id: DestinationId,
) -> &mut Destination {
    let fresh = || Destination {
        messages_per_call: 1,
        admission: AdmissionControl::new(now),
        ..Destination::default()
    };
    destinations.entry(id).or_insert_with(fresh)
}
