//! What the delivery policy holds: endpoints, destinations, messages and calls.

use super::breaker::Breaker;
use crate::api::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

#[derive(Serialize, Deserialize)]
pub(super) struct Endpoint {
    pub(super) entry: EndpointEntry,
    pub(super) breaker: Breaker,
    pub(super) last_used: Micros,
    /// The last call here was answered, so an idle connection is there to be used again
    pub(super) reusable: bool,
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Destination {
    pub(super) apart: bool,
    pub(super) kind: Option<KindId>, // Once the list has named an endpoint
    pub(super) per_call: usize,
    pub(super) endpoints: Vec<EndpointId>,
    pub(super) breaker: Breaker,
    pub(super) waiting: Vec<MessageId>,
    pub(super) last_slot: u64, // Order in which slots were given; the least goes first
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Message {
    pub(super) class: ClassId,
    pub(super) worth: f64,
    pub(super) key: Option<OrderKey>,
    pub(super) destination: DestinationId,
    pub(super) born: Micros,
    pub(super) deadline: Micros,
    pub(super) attempts: u32,
    /// When and where the first such attempt was sent
    pub(super) may_have_run: Option<(Micros, Option<ZoneId>)>,
    pub(super) out: Option<(u32, u64)>, // The attempt that is out, and its call
    pub(super) sent_zone: ZoneId,
    pub(super) over: bool,
    pub(super) rest_until: Micros, // The pause that its route sets before a further attempt
    /// Where the attempt was cut that a copy is to follow elsewhere
    pub(super) avoid: Option<EndpointId>,
    pub(super) last_until: Option<Micros>, // Its end, fixed once the attempt is out that lasts up to it
    pub(super) restored: bool,             // An earlier process had taken it on
    pub(super) unsent: u32,                // Attempts that count as none, as nothing could be noted of them
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Call {
    pub(super) endpoint: EndpointId,
    pub(super) destination: DestinationId,
    pub(super) sent: Micros,
    pub(super) trial: bool,
    pub(super) parts: Vec<(MessageId, u32)>,
    pub(super) judged: bool,
    /// Whether it went out on a connection used before; None if that cannot be told
    pub(super) reused: Option<bool>,
    pub(super) called_off: bool,
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct KeyLine {
    pub(super) queue: VecDeque<MessageId>,
    pub(super) rest_until: Micros,
}

pub(super) type Destinations = BTreeMap<DestinationId, Destination>;

pub(super) fn destination(all: &mut Destinations, now: Micros, id: DestinationId) -> &mut Destination {
    let fresh = || Destination { per_call: 1, breaker: Breaker::new(now), ..Destination::default() };
    all.entry(id).or_insert_with(fresh)
}
