//! A day, drawn from a seed: destinations, forwarders' settings, and every client request. The same day is played
//! under each variant.

use crate::experiment::Experiment;
use crate::scenario::Signal;
use cedarbridge::settings_json::Names;
use cedarbridge::{
    Class, Decay, DedupScope, DestinationId, EndpointEntry, EndpointId, Idempotency, Kind, KindId, Lifecycle,
    Micros, Settings, Tenant, WeightSource, ZoneId,
};
use cedarbridge_endpoint_model::{DestinationProfile, Fault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// The clock of a day begins here, so that spans can be taken off early times.
pub const START: Micros = 60 * SECOND;
/// Shares of the channels, and how much of its share each may send.
const TENANTS: [(&str, f64, (f64, f64)); 3] =
    [("lounatv", 0.7, (0.69, 1.3)), ("emajogi-tv", 0.17, (0.54, 1.3)), ("valga-kanal", 0.13, (0.54, 1.4))];
/// Weight of a message beyond its channel's quota.
const OVER_SHARE: f64 = 0.1;
/// The quotas, as a share of the full load.
const QUOTA: f64 = 0.87;

/// From one message of a clump to the next, in seconds.
const CLUMP_GAP: f64 = 0.004;

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
    pub told_count_factor: f64,
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

fn pick(rng: &mut ChaCha8Rng, range: (f64, f64)) -> f64 {
    range.0 + (range.1 - range.0) * rng.random::<f64>()
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
        slow_start: 9400 * MS,
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
        let forwarders = ((count as f64 * self.told_count_factor).round() as usize).max(1);
        Settings { forwarders, forwarder_index: self.fleet[forwarder].number, ..self.settings.clone() }
    }

    /// Draws a day at a load, which is a share of full load.
    pub fn draw(experiment: &Experiment, load: (f64, f64), seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let of = &experiment.destinations;
        let zipf = pick(&mut rng, of.zipf);
        let weights: Vec<f64> = (0..of.count).map(|i| 1.0 / ((i + 1) as f64).powf(zipf)).collect();
        let sum: f64 = weights.iter().sum();
        let traffic: Vec<f64> = weights.iter().map(|w| w / sum).collect();
        let full = pick(&mut rng, of.rate) * of.count as f64;
        // The large ones are cable operators: a third of all, among the busiest.
        let kinds: Vec<usize> =
            (0..of.count).map(|i| usize::from(i % 2 == 1 || i >= of.count * 2 / 3)).collect();
        let work = pick(&mut rng, of.work_ms) * 1000.0;
        let mut destinations: Vec<DestinationProfile> = (0..of.count)
            .map(|i| draw_destination(&mut rng, experiment, full * traffic[i], kinds[i], work))
            .collect();
        of.paces.iter().for_each(|p| destinations[p.rank - 1].service_time = p.work.0);
        let mut settings = platform().0;
        let load = pick(&mut rng, load);
        settings.forwarders = experiment.forwarders;
        let each = full / experiment.forwarders as f64;
        let busy: f64 = destinations
            .iter()
            .zip(&traffic)
            .map(|(p, t)| full * t * p.service_time as f64 / SECOND as f64)
            .sum();
        let slots = busy / experiment.forwarders as f64 * pick(&mut rng, (1.8, 2.4));
        settings.max_concurrent_calls = (slots.ceil() as usize).max(3);
        settings.max_open_messages = ((each * pick(&mut rng, (7.1, 11.0))) as usize).max(8);
        for (tenant, of) in settings.tenants.iter_mut().zip(TENANTS) {
            tenant.quota_per_s = full * QUOTA * of.1;
        }
        let end = START + experiment.length.0;
        let requests = draw_requests(&mut rng, experiment, &destinations, &traffic, &settings, full * load);
        let mut list = Vec::new();
        for (i, p) in destinations.iter().enumerate() {
            // The list's weight is a rough figure of the destination's capacity: up to half too high or too low.
            let weight = p.limit.unwrap_or(p.capacity) * pick(&mut rng, (0.67, 1.5));
            for e in 0..p.endpoints {
                let entry = EndpointEntry {
                    endpoint: EndpointId(list.len() as u32 + 1),
                    destination: DestinationId(i as u64),
                    zone: ZoneId(0),
                    kind: KindId(kinds[i]),
                    lifecycle: Lifecycle::Listed,
                    weight,
                };
                list.push(ListedEndpoint { entry, destination: i, index: e });
            }
        }
        let faults = experiment.faults.iter().map(|t| {
            let from = START + t.from.0;
            PlannedFault {
                destination: t.rank - 1,
                begin: from,
                end: from + t.lasts.0,
                fault: t.drawn(rng.random()),
            }
        });
        let faults = faults.collect();
        // One endpoint of a destination with several is drained for a while, as in a restart.
        let several = list.iter().position(|e| destinations[e.destination].endpoints > 1);
        let part = |of: u64| START + experiment.length.0 / of;
        let changes =
            several.map(|endpoint| {
                [(part(4), Lifecycle::Draining), (part(2), Lifecycle::Listed)]
                    .map(|(at, lifecycle)| ListChange { at, endpoint, lifecycle })
            });
        let changes = changes.into_iter().flatten().collect();
        let network = ((of.network_ms.0 * 1e3) as Micros, (of.network_ms.1 * 1e3) as Micros);
        let names = platform().1;
        World {
            fleet: numbered_fleet(experiment.forwarders),
            sizes: Vec::new(),
            told_count_factor: 1.0,
            listed: list.len(),
            stops: Vec::new(),
            destination_names: (1..=destinations.len()).map(|n| format!("partner-{n}")).collect(),
            connections: vec![usize::MAX; destinations.len()],
            phases: Vec::new(),
            destinations,
            kinds,
            traffic,
            settings,
            names,
            list,
            requests,
            faults,
            changes,
            network,
            end,
        }
    }
}

fn draw_destination(
    rng: &mut ChaCha8Rng,
    experiment: &Experiment,
    rate: f64,
    kind: usize,
    work: f64,
) -> DestinationProfile {
    let of = &experiment.destinations;
    let headroom = pick(rng, of.headroom);
    let spare = pick(rng, of.spare);
    let unlike = of.unlike.max(1.0).powf(pick(rng, (-1.0, 1.0)));
    let least = if kind == 0 { pick(rng, (1.8, 4.6)) } else { pick(rng, (1.6, 4.5)) };
    let limit = (rate * headroom).max(least);
    let limited = kind == 0 || rng.random_bool(0.5);
    let endpoints = if rate > 6.0 { rng.random_range(1..=4) } else { rng.random_range(1..=2) };
    let capacity = limit * spare;
    let depth = pick(rng, (0.44, 0.99));
    DestinationProfile {
        endpoints,
        service_time: (work * unlike) as Micros,
        service_time_variation: pick(rng, (0.36, 0.8)),
        capacity,
        limit: limited.then_some(limit),
        rejections_count: kind == 1,
        retry_after: None,
        queue_length: ((capacity * depth / endpoints as f64).ceil() as usize).max(1),
        messages_per_call: if kind == 0 { 10 } else { 1 },
        further_message_cost: if kind == 0 { pick(rng, (0.074, 0.18)) } else { 0.0 },
        error_rate: pick(rng, (0.0, if kind == 0 { 0.01 } else { 0.005 })),
        slow_start_floor: pick(rng, (0.23, 0.33)),
        slow_start: (pick(rng, (7.4, 9.4)) * SECOND as f64) as Micros,
        overload_multiple: 2.0,
        overload_window: 3 * SECOND,
    }
}

/// All requests: an even stream for each destination, and clumps.
fn draw_requests(
    rng: &mut ChaCha8Rng,
    experiment: &Experiment,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    settings: &Settings,
    rate: f64,
) -> Vec<ClientRequest> {
    let length = experiment.length.0 as f64 / SECOND as f64;
    let clumped = pick(rng, experiment.clumps.share);
    let usage: Vec<f64> = TENANTS.iter().map(|t| t.1 * pick(rng, t.2)).collect();
    let all: f64 = usage.iter().sum();
    let mut times: Vec<(Micros, usize)> = Vec::new();
    let at = |s: f64| START + (s * SECOND as f64) as Micros;
    for (i, share) in traffic.iter().enumerate() {
        let each = rate * share * (1.0 - clumped);
        let mut t = 0.0;
        loop {
            t += -(1.0 - rng.random::<f64>()).ln() / each;
            if t >= length {
                break;
            }
            times.push((at(t), i));
        }
    }
    let mut left = rate * length * clumped;
    while left >= 1.0 {
        let mut draw = rng.random::<f64>();
        let destination = traffic.iter().position(|t| {
            draw -= t;
            draw < 0.0
        });
        let destination = destination.unwrap_or(0);
        let takes = destinations[destination].limit.unwrap_or(destinations[destination].capacity);
        let size = (takes * pick(rng, experiment.clumps.seconds)).min(left).ceil();
        // One in CLUMP_GAP seconds; all of it lies within the day.
        let begin = rng.random::<f64>() * (length - size * CLUMP_GAP).max(0.0);
        let requests = (0..size as usize).map(|n| begin + n as f64 * CLUMP_GAP).filter(|t| *t < length);
        times.extend(requests.map(|t| (at(t), destination)));
        left -= size;
    }
    times.sort();
    let mut quotas = QuotaBuckets::new(&settings.tenants);
    let request = |(at, destination): (Micros, usize)| {
        let mut draw = rng.random::<f64>() * all;
        let tenant = usage.iter().position(|u| {
            draw -= u;
            draw < 0.0
        });
        let tenant = tenant.unwrap_or(0);
        let weight = quotas.weight(tenant, at);
        let retry_after = rng.random_bool(0.75).then(|| (pick(rng, (0.53, 1.5)) * SECOND as f64) as Micros);
        let forwarder = rng.random_range(0..settings.forwarders);
        ClientRequest { at, destination, tenant, forwarder, weight, retry_after }
    };
    times.into_iter().map(request).collect()
}
