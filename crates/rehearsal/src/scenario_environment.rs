//! Builds the environment of a scenario's run: the destination models, every message with its time, and the times of the
//! faults. The same seed gives the same environment for a simulation and for a live rehearsal.

use crate::captured_traffic::CapturedTraffic;
use crate::environment::{
    indexed_fleet, platform_defaults, ClientRequest, Environment, ListChange, ListedEndpoint, PlannedFault,
    PlannedMessage, PlannedStop, QuotaBuckets, RunPhase, RUN_START,
};
use crate::scenario::{DestinationGroup, DestinationKind, FaultSpec, Phase, RelativeTime, Scenario};
use cedarbridge::{
    DestinationId, EndpointEntry, EndpointId, KindId, Lifecycle, Micros, Settings, Tenant, ZoneId,
};
use cedarbridge_endpoint_model::DestinationProfile;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

const SECOND: f64 = 1e6;
/// The shortest and the longest one-way delay of the network, in microseconds, as on loopback.
const NETWORK_DELAY: (Micros, Micros) = (50, 400);
/// The default length of a destination's queue, in seconds of its capacity.
const QUEUE_SECONDS: f64 = 0.7;
/// The headroom that sizes the capacity of a destination without a limit.
const UNLIMITED_HEADROOM: f64 = 1.5;
/// The lowest limit of a destination, in calls a second.
const MIN_LIMIT: f64 = 2.0;
/// An unnamed burst: the range of its size in seconds of the destination's limit, and the seconds in which it arrives.
const BURST: ((f64, f64), f64) = ((1.2, 3.5), 0.5);
/// The default limit of open messages, in seconds of full load.
const OPEN_MESSAGE_SECONDS: f64 = 9.0;
/// The default number of call slots, as a multiple of the calls in flight at full load.
const CALL_SLOT_FACTOR: f64 = 2.1;

/// A tenant's part of the traffic.
struct TenantShare {
    name: String,
    /// The agreed share of full load.
    share: f64,
    /// What the tenant sends, as a multiple of its share.
    usage: f64,
}

/// Builds the environment of a scenario's run. Captured traffic, if given, replaces the generated messages.
pub fn build_environment(scenario: &Scenario, seed: u64, captured: Option<&CapturedTraffic>) -> Environment {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names_with_group = scenario.destination_names();
    let groups: Vec<&DestinationGroup> =
        names_with_group.iter().map(|n| &scenario.destinations[n.1]).collect();
    let shares: f64 = groups.iter().map(|g| g.share).sum();
    let traffic: Vec<f64> = groups.iter().map(|g| g.share / shares).collect();
    let full_load = scenario.rate.value;
    let destinations: Vec<DestinationProfile> = groups
        .iter()
        .zip(&traffic)
        .map(|(group, share)| destination_profile(group, full_load * share))
        .collect();
    let kinds: Vec<usize> =
        groups.iter().map(|g| usize::from(g.kind == DestinationKind::SmallPartner)).collect();
    let tenants = tenant_shares(scenario);
    let (mut settings, mut names) = platform_defaults();
    size_settings(&mut settings, scenario, &destinations, &traffic);
    settings.tenants = tenants.iter().map(|t| Tenant { quota_per_s: full_load * t.share }).collect();
    names.tenants = tenants.iter().map(|t| t.name.clone()).collect();
    let index_of =
        |name: &str| names_with_group.iter().position(|n| n.0 == name).expect("the scenario was checked");
    let mut endpoints = EndpointListBuilder::new(&mut rng, &destinations, &kinds);
    let changes = endpoints.add_replacements(&mut rng, scenario, &index_of);
    let messages = match captured {
        Some(captured) => captured.planned_messages(&names_with_group, &names.tenants, scenario.length()),
        None => generate_messages(scenario, &destinations, &traffic, &tenants, &index_of, &mut rng),
    };
    Environment {
        max_connections: groups.iter().map(|g| g.max_connections).collect(),
        requests: client_requests(scenario, &settings.tenants, messages, &mut rng),
        faults: planned_faults(scenario, &index_of),
        phases: run_phases(scenario),
        stops: planned_stops(scenario),
        end: RUN_START + scenario.length(),
        network_delay: NETWORK_DELAY,
        fleet: indexed_fleet(scenario.forwarders.count),
        fleet_sizes: Vec::new(),
        forwarder_count_factor: 1.0,
        initially_listed: endpoints.initially_listed,
        endpoints: endpoints.list,
        destination_names: names_with_group.into_iter().map(|n| n.0).collect(),
        names,
        destination_kinds: kinds,
        destinations,
        traffic_shares: traffic,
        settings,
        list_changes: changes,
    }
}

/// A time of the scenario on the run's clock.
fn run_time(scenario: &Scenario, time: &RelativeTime) -> Micros {
    RUN_START + scenario.resolve_time(time).expect("the scenario was checked")
}

/// The scenario's tenants, or those of the platform if the scenario has none.
fn tenant_shares(scenario: &Scenario) -> Vec<TenantShare> {
    if scenario.tenants.is_empty() {
        return [("lounatv", 0.7), ("emajogi-tv", 0.17), ("valga-kanal", 0.13)]
            .map(|(name, share)| TenantShare { name: name.into(), share, usage: 1.0 })
            .into();
    }
    let tenants = scenario.tenants.iter();
    tenants.map(|t| TenantShare { name: t.name.value.clone(), share: t.share, usage: t.usage }).collect()
}

/// Sets the limits of call slots and open messages: the scenario's, or else defaults for the traffic at full load.
fn size_settings(
    settings: &mut Settings,
    scenario: &Scenario,
    destinations: &[DestinationProfile],
    traffic: &[f64],
) {
    let (full_load, forwarders) = (scenario.rate.value, scenario.forwarders.count);
    settings.forwarders = forwarders;
    let calls_in_flight: f64 = destinations
        .iter()
        .zip(traffic)
        .map(|(d, share)| full_load * share * d.service_time as f64 / SECOND)
        .sum();
    let slots = (calls_in_flight / forwarders as f64 * CALL_SLOT_FACTOR).ceil() as usize;
    settings.max_concurrent_calls = scenario.forwarders.call_slots.unwrap_or(slots.max(3));
    let open_messages = (full_load / forwarders as f64 * OPEN_MESSAGE_SECONDS) as usize;
    settings.max_open_messages = scenario.forwarders.max_open_messages.unwrap_or(open_messages.max(8));
}

/// Builds the endpoint list.
struct EndpointListBuilder<'a> {
    destinations: &'a [DestinationProfile],
    kinds: &'a [usize],
    list: Vec<ListedEndpoint>,
    /// The number of endpoints that are listed from the start.
    initially_listed: usize,
    /// The index of each destination's current first endpoint in the list.
    first_endpoints: Vec<usize>,
}

impl<'a> EndpointListBuilder<'a> {
    fn new(rng: &mut ChaCha8Rng, destinations: &'a [DestinationProfile], kinds: &'a [usize]) -> Self {
        let mut builder = EndpointListBuilder {
            destinations,
            kinds,
            list: Vec::new(),
            initially_listed: 0,
            first_endpoints: Vec::new(),
        };
        for (destination, profile) in destinations.iter().enumerate() {
            builder.first_endpoints.push(builder.list.len());
            (0..profile.endpoints).for_each(|index| {
                builder.add(rng, destination, index);
            });
        }
        builder.initially_listed = builder.list.len();
        builder
    }

    /// Adds an endpoint, whose weight is a rough estimate of its destination's limit or capacity. Returns its index.
    fn add(&mut self, rng: &mut ChaCha8Rng, destination: usize, index: usize) -> usize {
        let profile = &self.destinations[destination];
        let weight = profile.limit.unwrap_or(profile.capacity) * rng.random_range(0.67..1.5);
        let entry = EndpointEntry {
            endpoint: EndpointId(self.list.len() as u32 + 1),
            destination: DestinationId(destination as u64),
            zone: ZoneId(0),
            kind: KindId(self.kinds[destination]),
            lifecycle: Lifecycle::Listed,
            weight,
        };
        self.list.push(ListedEndpoint { entry, destination, index });
        self.list.len() - 1
    }

    /// Adds the endpoints that replace others, and returns the changes of the list in the order of time.
    fn add_replacements(
        &mut self,
        rng: &mut ChaCha8Rng,
        scenario: &Scenario,
        index_of: &impl Fn(&str) -> usize,
    ) -> Vec<ListChange> {
        let mut changes = Vec::new();
        for replacement in &scenario.replacements {
            let destination = index_of(&replacement.destination.value);
            let at = run_time(scenario, &replacement.at);
            let old = self.first_endpoints[destination];
            let new = self.add(rng, destination, 0);
            self.first_endpoints[destination] = new;
            changes.extend([
                ListChange { at, endpoint: old, lifecycle: Lifecycle::Draining },
                ListChange { at, endpoint: new, lifecycle: Lifecycle::Listed },
                ListChange {
                    at: at + replacement.drain_time.0,
                    endpoint: old,
                    lifecycle: Lifecycle::Removed,
                },
            ]);
        }
        changes.sort_by_key(|c| c.at);
        changes
    }
}

fn planned_faults(scenario: &Scenario, index_of: &impl Fn(&str) -> usize) -> Vec<PlannedFault> {
    let planned = |spec: &FaultSpec| {
        let start = run_time(scenario, &spec.at);
        let destination = index_of(&spec.destination.value);
        PlannedFault { destination, start, end: start + spec.duration.0, fault: spec.fault() }
    };
    scenario.faults.iter().map(planned).collect()
}

/// The planned stops with their repetitions, in the order of time.
fn planned_stops(scenario: &Scenario) -> Vec<PlannedStop> {
    let stops = scenario.stops.iter().flat_map(|s| {
        let (forwarder, first, signal, restart_delay) =
            (s.forwarder.value - 1, run_time(scenario, &s.at), s.signal, s.restart_delay.0);
        (0..s.repetitions as u64).map(move |n| PlannedStop {
            forwarder,
            at: first + n * s.interval.0,
            signal,
            restart_delay,
        })
    });
    let mut stops: Vec<PlannedStop> = stops.collect();
    stops.sort_by_key(|s| s.at);
    stops
}

fn run_phases(scenario: &Scenario) -> Vec<RunPhase> {
    let run_phase = |phase: &Phase| {
        let (start, end) = scenario.phase(&phase.name.value).expect("a phase of the scenario");
        RunPhase { name: phase.name.value.clone(), start: RUN_START + start, end: RUN_START + end }
    };
    scenario.phases.iter().map(run_phase).collect()
}

/// The parameters of a destination model; `rate` is the destination's messages a second at full load.
fn destination_profile(group: &DestinationGroup, rate: f64) -> DestinationProfile {
    let is_limited = group.headroom > 0.0;
    let limit = (rate * if is_limited { group.headroom } else { UNLIMITED_HEADROOM }).max(MIN_LIMIT);
    let capacity = limit * group.capacity_factor;
    let is_small_partner = group.kind == DestinationKind::SmallPartner;
    DestinationProfile {
        endpoints: group.endpoints,
        service_time: group.service_time.0,
        service_time_variation: group.service_time_variation,
        capacity,
        limit: is_limited.then_some(limit),
        rejections_use_limit: group.refused_count.unwrap_or(is_small_partner),
        retry_after: group.retry_after.map(|s| s.0),
        queue_length: group
            .queue_length
            .unwrap_or((capacity * QUEUE_SECONDS / group.endpoints as f64).ceil() as usize)
            .max(1),
        messages_per_call: if is_small_partner { 1 } else { 10 },
        further_message_cost: if is_small_partner { 0.0 } else { 0.12 },
        error_rate: group.error_rate,
        slow_start_floor: group.slow_start.0,
        slow_start: group.slow_start.1 .0,
        overload_multiple: 2.0,
        overload_window: 3_000_000,
    }
}

/// Cumulative sums of shares, to draw an index in proportion to its share.
struct CumulativeShares(Vec<f64>);

impl CumulativeShares {
    fn new(shares: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        CumulativeShares(
            shares
                .map(|share| {
                    sum += share;
                    sum
                })
                .collect(),
        )
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let draw = rng.random::<f64>() * self.0.last().copied().unwrap_or(1.0);
        self.0.partition_point(|s| *s <= draw).min(self.0.len() - 1)
    }
}

/// Generates the scenario's messages in the order of time: named bursts, unnamed bursts and a Poisson process.
fn generate_messages(
    scenario: &Scenario,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    tenants: &[TenantShare],
    index_of: &impl Fn(&str) -> usize,
    rng: &mut ChaCha8Rng,
) -> Vec<PlannedMessage> {
    let destination_shares = CumulativeShares::new(traffic.iter().copied());
    let tenant_shares = CumulativeShares::new(tenants.iter().map(|t| t.share * t.usage));
    let mut times: Vec<(Micros, usize)> = Vec::new();
    for burst in &scenario.bursts {
        let at = run_time(scenario, &burst.at);
        let destination = index_of(&burst.destination.value);
        let gap = burst.within.0 as f64 / burst.messages.value.max(1) as f64;
        times.extend((0..burst.messages.value).map(|n| (at + (n as f64 * gap) as Micros, destination)));
    }
    for phase in &scenario.phases {
        let (from, to) = scenario.phase(&phase.name.value).expect("a phase of the scenario");
        let in_named_bursts =
            times.iter().filter(|t| (RUN_START + from..RUN_START + to).contains(&t.0)).count() as f64;
        let span = (to - from) as f64 / SECOND;
        let mut remaining = scenario.rate.value * phase.load.value * span - in_named_bursts;
        let mut in_bursts = remaining * phase.burst_share.as_ref().map_or(0.0, |s| s.value);
        remaining -= in_bursts;
        while in_bursts >= 1.0 {
            let destination = destination_shares.draw(rng);
            let limit = destinations[destination].limit.unwrap_or(destinations[destination].capacity);
            let size = (limit * rng.random_range(BURST.0 .0..BURST.0 .1)).min(in_bursts).ceil();
            let start = from as f64 + rng.random::<f64>() * (span - BURST.1).max(0.0) * SECOND;
            let gap = BURST.1.min(span) * SECOND / size;
            times.extend(
                (0..size as usize).map(|n| (RUN_START + (start + n as f64 * gap) as Micros, destination)),
            );
            in_bursts -= size;
        }
        if remaining > 0.0 {
            let rate = remaining / span;
            let mut t = 0.0;
            loop {
                let gap: f64 = Exp1.sample(rng);
                t += gap / rate;
                if t >= span {
                    break;
                }
                times.push((RUN_START + from + (t * SECOND) as Micros, destination_shares.draw(rng)));
            }
        }
    }
    times.sort_unstable();
    times
        .into_iter()
        .map(|(at, destination)| PlannedMessage { at, destination, tenant: tenant_shares.draw(rng) })
        .collect()
}

/// Adds the weight, the first forwarder and the client's retry to each message.
fn client_requests(
    scenario: &Scenario,
    tenants: &[Tenant],
    messages: Vec<PlannedMessage>,
    rng: &mut ChaCha8Rng,
) -> Vec<ClientRequest> {
    let mut quotas = QuotaBuckets::new(tenants);
    let delay_range = (scenario.clients.retry_delay.0 .0, scenario.clients.retry_delay.1 .0);
    let request = |PlannedMessage { at, destination, tenant }: PlannedMessage| {
        let weight = quotas.weight(tenant, at);
        let retry_delay = rng
            .random_bool(scenario.clients.retry_share)
            .then(|| rng.random_range(delay_range.0..=delay_range.1));
        let forwarder = rng.random_range(0..scenario.forwarders.count);
        ClientRequest { at, destination, tenant, forwarder, weight, retry_delay }
    };
    messages.into_iter().map(request).collect()
}
