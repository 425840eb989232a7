//! The state that the delivery policy keeps: endpoints, destinations, messages and calls. The state is passed
//! to the successor process at a hand-over, so its serialized names are those of earlier releases.

use super::admission::AdmissionControl;
use super::constants::SECOND;
use crate::api::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Converts a struct of two fields from and to a tuple, so that it is serialized as a JSON array as in
/// earlier releases.
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

/// An endpoint of the endpoint list.
#[derive(Serialize, Deserialize)]
pub(super) struct Endpoint {
    pub(super) entry: EndpointEntry,
    #[serde(rename = "breaker")]
    pub(super) admission: Box<AdmissionControl>,
    /// When a call was last sent to it; 0 if none was.
    #[serde(rename = "last_used")]
    pub(super) last_used_at: Micros,
    /// The last call that ended got a response, so there should be an idle connection to reuse.
    #[serde(rename = "reusable")]
    pub(super) has_idle_connection: bool,
}

/// A destination with its endpoints and its queue.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Destination {
    /// Each endpoint has its own circuit breaker and limit, and those of the destination are not used.
    #[serde(rename = "apart")]
    pub(super) per_endpoint_breaker: bool,
    /// The kind of the destination; `None` until the list has named one of its endpoints.
    pub(super) kind: Option<KindId>,
    #[serde(rename = "per_call")]
    pub(super) messages_per_call: usize,
    pub(super) endpoints: Vec<EndpointId>,
    #[serde(rename = "breaker")]
    pub(super) admission: Box<AdmissionControl>,
    /// The messages that wait to be sent to it.
    pub(super) waiting: Vec<MessageId>,
    /// The number of its last dispatch. The destination with the lowest number is served first.
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
    /// What is known of the attempts that may have taken effect; `None` while there is none.
    #[serde(rename = "may_have_run")]
    pub(super) first_possible_effect: Option<PossibleEffect>,
    #[serde(rename = "out")]
    pub(super) in_flight: Option<InFlightAttempt>,
    /// The zone to which the last attempt was sent.
    #[serde(rename = "sent_zone")]
    pub(super) last_zone: ZoneId,
    /// It has its final result, or was withdrawn by its client.
    #[serde(rename = "over")]
    pub(super) complete: bool,
    /// The next attempt is not sent before this time, because of the pauses of its route or the delay that
    /// the route sets after a timeout.
    #[serde(rename = "rest_until")]
    pub(super) retry_at: Micros,
    /// The endpoint of the last attempt, if that timed out or was cancelled and the route sends the retry to
    /// another endpoint; otherwise `None`.
    #[serde(rename = "avoid")]
    pub(super) avoid_endpoint: Option<EndpointId>,
    /// When it expires, fixed while its last attempt is in flight; that attempt may take until then.
    #[serde(rename = "last_until")]
    pub(super) final_deadline: Option<Micros>,
    /// It was received by an earlier process of this forwarder.
    pub(super) restored: bool,
    /// The number of attempts that do not count because they could not be journaled.
    #[serde(rename = "unsent")]
    pub(super) uncounted_attempts: u32,
}

impl Message {
    /// It is to be sent: it is neither complete nor in flight.
    pub(super) fn is_waiting(&self) -> bool {
        !self.complete && self.in_flight.is_none()
    }
}

/// What is known of the attempts of a message that may have taken effect.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(Micros, Option<ZoneId>)", into = "(Micros, Option<ZoneId>)")]
pub(super) struct PossibleEffect {
    /// The earliest time at which one was sent, by this forwarder or another.
    pub(super) sent_at: Micros,
    /// The zone to which this forwarder sent the first one; `None` if only another forwarder sent one, to an
    /// unknown zone.
    pub(super) zone: Option<ZoneId>,
}

impl PossibleEffect {
    /// What is known of the attempts with a further one.
    pub(super) fn combined_with(self, other: Self) -> Self {
        PossibleEffect { sent_at: self.sent_at.min(other.sent_at), zone: self.zone.or(other.zone) }
    }
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
    /// When the policy decided on it.
    #[serde(rename = "sent")]
    pub(super) sent_at: Micros,
    /// It is the trial call of a half-open breaker.
    #[serde(rename = "trial")]
    pub(super) is_trial: bool,
    /// The attempts that have not ended yet.
    #[serde(rename = "parts")]
    pub(super) attempts: Vec<CallAttempt>,
    /// The outcome of one attempt was recorded. The others of the call say nothing new about the endpoint.
    #[serde(rename = "judged")]
    pub(super) outcome_recorded: bool,
    /// Whether it was sent on a reused connection; `None` if that is unknown.
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

/// The messages of one order key, which are sent one at a time.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct KeyQueue {
    pub(super) queue: VecDeque<MessageId>,
    /// The next message waits until this time, because the last attempt may still run.
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
    /// Creates a full bucket. The first refill reduces the number of tokens to the capacity.
    pub(super) fn full() -> Self {
        QuotaBucket { tokens: f64::MAX, refilled_at: 0 }
    }

    /// Refills the bucket and takes one token out. The bucket holds one token and the refill of one second at
    /// most. Returns `false` if there was no token.
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

/// Returns the record of a destination, which is created if it does not exist.
pub(super) fn get_or_create_destination(
    destinations: &mut Destinations,
    now: Micros,
    id: DestinationId,
) -> &mut Destination {
    let fresh = || Destination {
        messages_per_call: 1,
        admission: Box::new(AdmissionControl::new(now)),
        ..Destination::default()
    };
    destinations.entry(id).or_insert_with(fresh)
}
