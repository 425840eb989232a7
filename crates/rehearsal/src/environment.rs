//! The environment of a run, generated from a seed: destinations, forwarders' settings, every client request, and the
//! planned faults and stops. Each variant of an experiment runs in the same environment.

use crate::scenario::Signal;
use cedarbridge::settings_json::Names;
use cedarbridge::{
    Class, Decay, DedupScope, EndpointEntry, Idempotency, Kind, Lifecycle, Micros, Settings, Tenant,
    WeightSource, ZoneId,
};
use cedarbridge_endpoint_model::{DestinationProfile, Fault};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// The clock's time at the start of a run. It is above 0 so that durations can be subtracted from early times.
pub const RUN_START: Micros = 60 * SECOND;
/// The tenants: name, share of full load, and the range of what it sends as a multiple of that share.
pub(crate) const TENANTS: [(&str, f64, (f64, f64)); 3] =
    [("lounatv", 0.7, (0.69, 1.3)), ("emajogi-tv", 0.17, (0.54, 1.3)), ("valga-kanal", 0.13, (0.54, 1.4))];
/// The weight of a message beyond its tenant's quota.
const OVER_QUOTA_WEIGHT: f64 = 0.1;

/// A message before the forwarder that receives it is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedMessage {
    /// When its client sends it.
    pub at: Micros,
    /// The destination's index.
    pub destination: usize,
    /// The tenant's index.
    pub tenant: usize,
}

/// A message as a client sends it to a forwarder.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// When the client sends it.
    pub at: Micros,
    /// The destination's index.
    pub destination: usize,
    /// The tenant's index.
    pub tenant: usize,
    /// The index of the forwarder that the client sends it to first.
    pub forwarder: usize,
    /// The message's value if it is delivered in time.
    pub weight: f64,
    /// The shortest time from a rejection to the client's retry; `None` if the client does not retry.
    pub retry_delay: Option<Micros>,
}

/// A planned stop, reload, pause or upgrade of a forwarder.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// The forwarder's index.
    pub forwarder: usize,
    /// When the stop begins.
    pub at: Micros,
    /// What is done to the process.
    pub signal: Signal,
    /// The time from the end of the process to its restart; for a stall, the length of the pause.
    pub restart_delay: Micros,
}

/// What is configured for each forwarder separately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForwarderSetup {
    /// The forwarder's index in the fleet; `None` if its settings have none.
    pub index: Option<u64>,
    /// How far its clock is ahead of the run's clock.
    pub clock_offset: Micros,
}

/// The fleet's size from a time on.
#[derive(Clone, Copy, Debug)]
pub struct PlannedResize {
    /// When the fleet gets this size.
    pub at: Micros,
    /// The number of forwarders that serve.
    pub count: usize,
    /// Each forwarder learns the size at a random time within this span.
    pub propagation_time: Micros,
}

/// An endpoint of the endpoint list.
pub struct ListedEndpoint {
    /// The entry in the list.
    pub entry: EndpointEntry,
    /// The index of the endpoint's destination.
    pub destination: usize,
    /// The endpoint's index among the destination's endpoints.
    pub index: usize,
}

/// A later change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When the list changes; forwarders learn it later.
    pub at: Micros,
    /// The endpoint's index in the list.
    pub endpoint: usize,
    /// The endpoint's lifecycle from then on.
    pub lifecycle: Lifecycle,
}

/// A fault of a destination, with its start and end.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// The destination's index.
    pub destination: usize,
    /// When the fault starts.
    pub start: Micros,
    /// When the fault ends.
    pub end: Micros,
    /// The fault of the destination model.
    pub fault: Fault,
}

impl PlannedFault {
    /// Whether the destination has the fault at this time.
    pub fn applies(&self, destination: usize, now: Micros) -> bool {
        self.destination == destination && self.start <= now && now < self.end
    }
}

/// A phase of the run, with its start and end.
#[derive(Clone, Debug)]
pub struct RunPhase {
    /// The phase's name in the scenario.
    pub name: String,
    /// When the phase starts.
    pub start: Micros,
    /// When the phase ends.
    pub end: Micros,
}

/// The tenants' quotas as token buckets, which decide the weight of a message.
pub(crate) struct QuotaBuckets<'a> {
    tenants: &'a [Tenant],
    /// For each tenant, the tokens left and when they were counted.
    buckets: Vec<(f64, Micros)>,
}

impl<'a> QuotaBuckets<'a> {
    pub(crate) fn new(tenants: &'a [Tenant]) -> Self {
        QuotaBuckets { tenants, buckets: tenants.iter().map(|t| (t.quota_per_s, RUN_START)).collect() }
    }

    /// The weight of the tenant's next message; it is lower if the message is beyond the quota.
    pub(crate) fn weight(&mut self, tenant: usize, at: Micros) -> f64 {
        let quota = self.tenants[tenant].quota_per_s;
        let bucket = &mut self.buckets[tenant];
        let refilled = bucket.0 + quota * (at - bucket.1) as f64 / SECOND as f64;
        *bucket = (refilled.min(quota.max(1.0)), at);
        let within_quota = bucket.0 >= 1.0;
        bucket.0 -= f64::from(u8::from(within_quota));
        if within_quota {
            1.0
        } else {
            OVER_QUOTA_WEIGHT
        }
    }
}

/// The environment of a run, and everything that is planned to happen in it.
pub struct Environment {
    /// The destination models' parameters, by destination index.
    pub destinations: Vec<DestinationProfile>,
    /// The index of each destination's kind.
    pub destination_kinds: Vec<usize>,
    /// Each destination's share of the traffic; the shares add up to 1.
    pub traffic_shares: Vec<f64>,
    /// The settings that all forwarders share; see [`Environment::forwarder_settings`].
    pub settings: Settings,
    /// What is configured for each forwarder separately.
    pub fleet: Vec<ForwarderSetup>,
    /// The fleet's sizes in the order of time; empty if all forwarders serve for the whole run.
    pub fleet_sizes: Vec<PlannedResize>,
    /// The forwarder count in the forwarders' settings, as a multiple of the actual count.
    pub forwarder_count_factor: f64,
    /// The names of classes, tenants, zones and kinds in the settings.
    pub names: Names,
    /// The endpoint list, with the endpoints that are added later.
    pub endpoints: Vec<ListedEndpoint>,
    /// All client requests, in the order of time.
    pub requests: Vec<ClientRequest>,
    /// The destinations' planned faults.
    pub faults: Vec<PlannedFault>,
    /// The number of endpoints that are listed from the start; they come first in `endpoints`.
    pub initially_listed: usize,
    /// The later changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// The planned stops of forwarders, in the order of time.
    pub stops: Vec<PlannedStop>,
    /// The destinations' names.
    pub destination_names: Vec<String>,
    /// For each destination, the connection limit of an endpoint over all forwarders.
    pub max_connections: Vec<usize>,
    /// The phases of the run, in the order of time.
    pub phases: Vec<RunPhase>,
    /// The shortest and the longest one-way delay of the network.
    pub network_delay: (Micros, Micros),
    /// The time after the last request.
    pub end: Micros,
}

/// A fleet of `count` forwarders with indexes from 0, whose clocks agree.
pub fn indexed_fleet(count: usize) -> Vec<ForwarderSetup> {
    (0..count as u64).map(|n| ForwarderSetup { index: Some(n), clock_offset: 0 }).collect()
}

/// The platform's settings and names: the base of generated settings, and what site files are checked against.
pub fn platform_defaults() -> (Settings, Names) {
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
        over_quota_weight: OVER_QUOTA_WEIGHT,
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

impl Environment {
    /// The settings of a forwarder in a fleet of `count` forwarders.
    pub fn forwarder_settings(&self, forwarder: usize, count: usize) -> Settings {
        let forwarders = ((count as f64 * self.forwarder_count_factor).round() as usize).max(1);
        Settings { forwarders, forwarder_index: self.fleet[forwarder].index, ..self.settings.clone() }
    }
}
