//! A day, drawn from a seed: destinations, forwarders' settings, and every client request. The same day is played
//! under each variant.

use crate::scenario::Signal;
use cedarbridge::settings_json::Names;
use cedarbridge::{
    Class, Decay, DedupScope, EndpointEntry, Idempotency, Kind, Lifecycle, Micros, Settings, Tenant,
    WeightSource, ZoneId,
};
use cedarbridge_endpoint_model::{DestinationProfile, Fault};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// The clock of a day begins here, so that spans can be taken off early times.
pub const START: Micros = 60 * SECOND;
/// Shares of the channels, and how much of its share each may send.
pub(crate) const TENANTS: [(&str, f64, (f64, f64)); 3] =
    [("lounatv", 0.7, (0.69, 1.3)), ("emajogi-tv", 0.17, (0.54, 1.3)), ("valga-kanal", 0.13, (0.54, 1.4))];
/// Weight of a message beyond its channel's quota.
const OVER_SHARE: f64 = 0.1;

/// A message before it is known which forwarder receives it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedMessage {
    /// When it is sent.
    pub at: Micros,
    /// For which destination.
    pub destination: usize,
    /// From which channel.
    pub tenant: usize,
}

/// A message as a client sends it to a forwarder.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// When.
    pub at: Micros,
    /// For which destination.
    pub destination: usize,
    /// From which channel.
    pub tenant: usize,
    /// To which forwarder.
    pub forwarder: usize,
    /// Its weight if it is delivered in time.
    pub weight: f64,
    /// A client that is rejected retries after this, if at all.
    pub retry_after: Option<Micros>,
}

/// A forwarder's end.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Which forwarder.
    pub forwarder: usize,
    /// When.
    pub at: Micros,
    /// How.
    pub signal: Signal,
    /// How long after its end it is started again.
    pub back: Micros,
}

/// A forwarder, as it is set up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForwarderProfile {
    /// Its index in the fleet, if it has one.
    pub number: Option<u64>,
    /// How far its clock is ahead of the slowest one.
    pub clock: Micros,
}

/// A fleet's size from some time on.
#[derive(Clone, Copy, Debug)]
pub struct PlannedSize {
    /// When it begins.
    pub at: Micros,
    /// How many forwarders serve.
    pub count: usize,
    /// Each forwarder learns it at some time within this.
    pub within: Micros,
}

/// An endpoint of the list.
pub struct ListedEndpoint {
    /// Its entry.
    pub entry: EndpointEntry,
    /// Its destination's number.
    pub destination: usize,
    /// Its index among the destination's endpoints.
    pub index: usize,
}

/// A later change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When.
    pub at: Micros,
    /// The endpoint's place in the list.
    pub endpoint: usize,
    /// Its lifecycle from then on.
    pub lifecycle: Lifecycle,
}

/// A destination's fault for a time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// The destination's number.
    pub destination: usize,
    /// When it begins.
    pub begin: Micros,
    /// When it ends.
    pub end: Micros,
    /// The fault.
    pub fault: Fault,
}

impl PlannedFault {
    /// A destination has it at a time.
    pub fn applies(&self, destination: usize, now: Micros) -> bool {
        self.destination == destination && self.begin <= now && now < self.end
    }
}

/// A phase of the day.
#[derive(Clone, Debug)]
pub struct DayPhase {
    /// Its name.
    pub name: String,
    /// When it begins.
    pub begin: Micros,
    /// When it ends.
    pub end: Micros,
}

/// The quotas of channels as token buckets, which decide what a message weighs.
pub(crate) struct QuotaBuckets<'a> {
    tenants: &'a [Tenant],
    /// By channel, the tokens left and when they were counted.
    buckets: Vec<(f64, Micros)>,
}

impl<'a> QuotaBuckets<'a> {
    pub(crate) fn new(tenants: &'a [Tenant]) -> Self {
        QuotaBuckets { tenants, buckets: tenants.iter().map(|t| (t.quota_per_s, START)).collect() }
    }

    /// The weight of a channel's next message: less if it is beyond the quota.
    pub(crate) fn weight(&mut self, tenant: usize, at: Micros) -> f64 {
        let quota = self.tenants[tenant].quota_per_s;
        let bucket = &mut self.buckets[tenant];
        let refilled = bucket.0 + quota * (at - bucket.1) as f64 / SECOND as f64;
        *bucket = (refilled.min(quota.max(1.0)), at);
        let within = bucket.0 >= 1.0;
        bucket.0 -= f64::from(u8::from(within));
        if within {
            1.0
        } else {
            OVER_SHARE
        }
    }
}

/// A day, before it is played.
pub struct World {
    /// By number; the busiest first.
    pub destinations: Vec<DestinationProfile>,
    /// The kind of each destination.
    pub kinds: Vec<usize>,
    /// Its share of the traffic.
    pub traffic: Vec<f64>,
    /// The forwarders' settings; they differ only in the forwarder's index.
    pub settings: Settings,
    /// The forwarders.
    pub fleet: Vec<ForwarderProfile>,
    /// How many of them serve, where that changes.
    pub sizes: Vec<PlannedSize>,
    /// The forwarder count in their settings, over the true one.
    pub forwarder_count_factor: f64,
    /// What the settings call classes and kinds.
    pub names: Names,
    /// The endpoint list: for each endpoint its entry, its destination and its index there.
    pub list: Vec<ListedEndpoint>,
    /// All messages, in the order of time.
    pub requests: Vec<ClientRequest>,
    /// Faults: destination, begin, end, fault.
    pub faults: Vec<PlannedFault>,
    /// How many of the list's endpoints are listed from the begin on.
    pub listed: usize,
    /// Later changes of the list: when, which endpoint, its lifecycle from then on.
    pub changes: Vec<ListChange>,
    /// Forwarders that are ended: in the order of time.
    pub stops: Vec<PlannedStop>,
    /// The destinations' names.
    pub destination_names: Vec<String>,
    /// The connection limit of an endpoint of each destination.
    pub connections: Vec<usize>,
    /// Parts of the day: name, begin and end.
    pub phases: Vec<DayPhase>,
    /// One-way time of the network.
    pub network: (Micros, Micros),
    /// The end of the day's requests.
    pub end: Micros,
}

/// So many forwarders, numbered, whose clocks agree.
pub fn numbered_fleet(count: usize) -> Vec<ForwarderProfile> {
    (0..count as u64).map(|n| ForwarderProfile { number: Some(n), clock: 0 }).collect()
}

/// The settings and names that site files of an experiment are checked against.
pub fn platform() -> (Settings, Names) {
    let class = Class {
        idempotency: Idempotency::WithKey,
        dedup_scope: DedupScope::All,
        deduplication_window: 30 * SECOND,
        latency_objective: 2500 * MS,
        deadline: 28 * SECOND,
        priority_weight: 1.0,
        weight_at_deadline: 0.3,
        ordered: false,
    };
    let settings = Settings {
        forwarders: 1,
        zone: ZoneId(0),
        zone_costs: vec![0.0],
        connection_cost: 0.02,
        classes: vec![class],
        tenants: TENANTS.iter().map(|_| Tenant { quota_per_s: 0.0 }).collect(),
        over_quota_weight: OVER_SHARE,
        kinds: vec![
            Kind { per_endpoint_breaker: false, messages_per_call: 10 },
            Kind { per_endpoint_breaker: false, messages_per_call: 1 },
        ],
        decay: Decay::Halving,
        weights: WeightSource::Rough,
        max_concurrent_calls: 1,
        max_open_messages: 1,
        max_attempts: 12,
        may_cancel: true,
        clients_mark_retries: true,
        may_send_retry_after: true,
        max_retry_after: 3 * SECOND,
        min_step_interval: 5 * MS,
        overload_multiple: 2.0,
        overload_window: 3 * SECOND,
        slow_start_duration: 9400 * MS,
        slow_start_floor: 0.23,
        ..Settings::default()
    };
    let text = |all: &[&str]| all.iter().map(|n| n.to_string()).collect();
    let names = Names {
        classes: text(&["notice"]),
        tenants: TENANTS.iter().map(|t| t.0.to_owned()).collect(),
        zones: text(&["room"]),
        kinds: text(&["cable-operator", "small-partner"]),
    };
    (settings, names)
}

impl World {
    /// The settings of one of so many forwarders.
    pub fn settings_for(&self, forwarder: usize, count: usize) -> Settings {
        let forwarders = ((count as f64 * self.forwarder_count_factor).round() as usize).max(1);
        Settings { forwarders, forwarder_index: self.fleet[forwarder].number, ..self.settings.clone() }
    }
}
