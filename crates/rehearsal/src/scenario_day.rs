//! Makes a day of a scenario: destination models from their figures, every message with its time, and the times of
//! faults. The same seed gives the same day, whether it is then played in virtual time or on sockets.

use crate::capture::CapturedDay;
use crate::scenario::{DestinationGroup, DestinationKind, FaultSpec, Moment, Phase, Scenario};
use crate::world::{
    numbered_fleet, platform, ClientRequest, DayPhase, ListChange, ListedEndpoint, PlannedFault,
    PlannedMessage, PlannedStop, QuotaBuckets, World, START,
};
use cedarbridge::{
    DestinationId, EndpointEntry, EndpointId, KindId, Lifecycle, Micros, Settings, Tenant, ZoneId,
};
use cedarbridge_endpoint_model::DestinationProfile;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

const SECOND: f64 = 1e6;
/// One-way time of the network, on loopback and in virtual time.
const NETWORK: (Micros, Micros) = (50, 400);
/// A destination's queue length, in seconds of its capacity.
const QUEUE: f64 = 0.7;
/// The capacity of a destination without a limit, over its traffic at full load.
const UNLIMITED: f64 = 1.5;
/// The lowest limit of a destination, in calls a second.
const LEAST: f64 = 2.0;
/// An unnamed clump: its size in seconds of the destination's limit, and the seconds in which it arrives.
const CLUMP: ((f64, f64), f64) = ((1.2, 3.5), 0.5);
/// Open messages at once, in seconds of full load.
const HELD: f64 = 9.0;
/// Call slots, over the calls in flight at full load.
const SLOTS: f64 = 2.1;

/// A channel's name, its agreed share of full load, and what it sends of that share.
struct ChannelShare {
    name: String,
    share: f64,
    uses: f64,
}

/// A day of a scenario; a captured day's messages take the place of the drawn ones.
pub fn day(scenario: &Scenario, seed: u64, captured: Option<&CapturedDay>) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let named = scenario.destination_names();
    let groups: Vec<&DestinationGroup> = named.iter().map(|n| &scenario.destinations[n.1]).collect();
    let shares: f64 = groups.iter().map(|g| g.share).sum();
    let traffic: Vec<f64> = groups.iter().map(|g| g.share / shares).collect();
    let full = scenario.rate.value;
    let destinations: Vec<DestinationProfile> =
        groups.iter().zip(&traffic).map(|(group, share)| model(group, full * share)).collect();
    let kinds: Vec<usize> =
        groups.iter().map(|g| usize::from(g.kind == DestinationKind::SmallPartner)).collect();
    let channels = channels(scenario);
    let (mut settings, mut names) = platform();
    size_settings(&mut settings, scenario, &destinations, &traffic);
    settings.tenants = channels.iter().map(|c| Tenant { quota_per_s: full * c.share }).collect();
    names.tenants = channels.iter().map(|c| c.name.clone()).collect();
    let number = |name: &str| named.iter().position(|n| n.0 == name).expect("checked as it was read");
    let mut endpoints = EndpointList::new(&mut rng, &destinations, &kinds);
    let changes = endpoints.replacements(&mut rng, scenario, &number);
    let times = match captured {
        Some(day) => day.messages(&named, &names.tenants, scenario.length()),
        None => times(scenario, &destinations, &traffic, &channels, &number, &mut rng),
    };
    World {
        connections: groups.iter().map(|g| g.connections).collect(),
        requests: requests(scenario, &settings.tenants, times, &mut rng),
        faults: faults(scenario, &number),
        phases: phases(scenario),
        stops: stops(scenario),
        end: START + scenario.length(),
        network: NETWORK,
        fleet: numbered_fleet(scenario.forwarders.count),
        sizes: Vec::new(),
        forwarder_count_factor: 1.0,
        listed: endpoints.listed,
        list: endpoints.list,
        destination_names: named.into_iter().map(|n| n.0).collect(),
        names,
        kinds,
        destinations,
        traffic,
        settings,
        changes,
    }
}

/// A moment of the scenario, on the day's clock.
fn moment(scenario: &Scenario, of: &Moment) -> Micros {
    START + scenario.moment(of).expect("checked as it was read")
}

/// The scenario's channels, or those of the platform.
fn channels(scenario: &Scenario) -> Vec<ChannelShare> {
    if scenario.channels.is_empty() {
        return [("lounatv", 0.7), ("emajogi-tv", 0.17), ("valga-kanal", 0.13)]
            .map(|(name, share)| ChannelShare { name: name.into(), share, uses: 1.0 })
            .into();
    }
    let channels = scenario.channels.iter();
    channels.map(|c| ChannelShare { name: c.name.value.clone(), share: c.share, uses: c.uses }).collect()
}

/// Call slots and open messages for the traffic at full load, where the scenario does not say.
fn size_settings(
    settings: &mut Settings,
    scenario: &Scenario,
    destinations: &[DestinationProfile],
    traffic: &[f64],
) {
    let (full, forwarders) = (scenario.rate.value, scenario.forwarders.count);
    settings.forwarders = forwarders;
    let busy: f64 =
        destinations.iter().zip(traffic).map(|(p, t)| full * t * p.service_time as f64 / SECOND).sum();
    let slots = (busy / forwarders as f64 * SLOTS).ceil() as usize;
    settings.max_concurrent_calls = scenario.forwarders.slots.unwrap_or(slots.max(3));
    let open_messages = (full / forwarders as f64 * HELD) as usize;
    settings.max_open_messages = scenario.forwarders.held.unwrap_or(open_messages.max(8));
}

/// The endpoint list while it is built.
struct EndpointList<'a> {
    destinations: &'a [DestinationProfile],
    kinds: &'a [usize],
    list: Vec<ListedEndpoint>,
    /// Endpoints that are listed from the begin on.
    listed: usize,
    /// The place of each destination's first endpoint.
    first: Vec<usize>,
}

impl<'a> EndpointList<'a> {
    fn new(rng: &mut ChaCha8Rng, destinations: &'a [DestinationProfile], kinds: &'a [usize]) -> Self {
        let mut all = EndpointList { destinations, kinds, list: Vec::new(), listed: 0, first: Vec::new() };
        for (destination, profile) in destinations.iter().enumerate() {
            all.first.push(all.list.len());
            (0..profile.endpoints).for_each(|index| {
                all.add(rng, destination, index);
            });
        }
        all.listed = all.list.len();
        all
    }

    /// Adds an endpoint with a rough weight, and returns its place.
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

    /// Adds the endpoints that replace others, and returns the list's changes in the order of time.
    fn replacements(
        &mut self,
        rng: &mut ChaCha8Rng,
        scenario: &Scenario,
        number: &impl Fn(&str) -> usize,
    ) -> Vec<ListChange> {
        let mut changes = Vec::new();
        for replacement in &scenario.replacements {
            let destination = number(&replacement.destination.value);
            let at = moment(scenario, &replacement.at);
            let old = self.first[destination];
            let new = self.add(rng, destination, 0);
            self.first[destination] = new;
            changes.extend([
                ListChange { at, endpoint: old, lifecycle: Lifecycle::Draining },
                ListChange { at, endpoint: new, lifecycle: Lifecycle::Listed },
                ListChange { at: at + replacement.drains.0, endpoint: old, lifecycle: Lifecycle::Removed },
            ]);
        }
        changes.sort_by_key(|c| c.at);
        changes
    }
}

fn faults(scenario: &Scenario, number: &impl Fn(&str) -> usize) -> Vec<PlannedFault> {
    let planned = |spec: &FaultSpec| {
        let begin = moment(scenario, &spec.at);
        let destination = number(&spec.destination.value);
        PlannedFault { destination, begin, end: begin + spec.lasts.0, fault: spec.fault() }
    };
    scenario.faults.iter().map(planned).collect()
}

/// The planned stops, in the order of time.
fn stops(scenario: &Scenario) -> Vec<PlannedStop> {
    let stops = scenario.stops.iter().flat_map(|s| {
        let (forwarder, first, signal, back) =
            (s.forwarder.value - 1, moment(scenario, &s.at), s.signal, s.back.0);
        (0..s.times as u64).map(move |n| PlannedStop { forwarder, at: first + n * s.every.0, signal, back })
    });
    let mut stops: Vec<PlannedStop> = stops.collect();
    stops.sort_by_key(|s| s.at);
    stops
}

fn phases(scenario: &Scenario) -> Vec<DayPhase> {
    let phase = |p: &Phase| {
        let (begin, end) = scenario.phase(&p.name.value).expect("itself");
        DayPhase { name: p.name.value.clone(), begin: START + begin, end: START + end }
    };
    scenario.phases.iter().map(phase).collect()
}

fn model(of: &DestinationGroup, rate: f64) -> DestinationProfile {
    let limited = of.headroom > 0.0;
    let limit = (rate * if limited { of.headroom } else { UNLIMITED }).max(LEAST);
    let capacity = limit * of.spare;
    let small = of.kind == DestinationKind::SmallPartner;
    DestinationProfile {
        endpoints: of.endpoints,
        service_time: of.work.0,
        service_time_variation: of.spread,
        capacity,
        limit: limited.then_some(limit),
        rejections_use_limit: of.refused_count.unwrap_or(small),
        retry_after: of.retry_after.map(|s| s.0),
        queue_length: of.queue.unwrap_or((capacity * QUEUE / of.endpoints as f64).ceil() as usize).max(1),
        messages_per_call: if small { 1 } else { 10 },
        further_message_cost: if small { 0.0 } else { 0.12 },
        error_rate: of.errors,
        slow_start_floor: of.cold.0,
        slow_start: of.cold.1 .0,
        overload_multiple: 2.0,
        overload_window: 3_000_000,
    }
}

/// Shares added up, to draw one of them in proportion.
struct Cumulative(Vec<f64>);

impl Cumulative {
    fn new(shares: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        Cumulative(
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

/// The scenario's messages, in the order of time.
fn times(
    scenario: &Scenario,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    channels: &[ChannelShare],
    number: &impl Fn(&str) -> usize,
    rng: &mut ChaCha8Rng,
) -> Vec<PlannedMessage> {
    let by_traffic = Cumulative::new(traffic.iter().copied());
    let by_channel = Cumulative::new(channels.iter().map(|c| c.share * c.uses));
    let mut all: Vec<(Micros, usize)> = Vec::new();
    for c in &scenario.clumps {
        let at = moment(scenario, &c.at);
        let destination = number(&c.destination.value);
        let gap = c.within.0 as f64 / c.messages.value.max(1) as f64;
        all.extend((0..c.messages.value).map(|n| (at + (n as f64 * gap) as Micros, destination)));
    }
    for phase in &scenario.phases {
        let (from, to) = scenario.phase(&phase.name.value).expect("itself");
        let named = all.iter().filter(|t| (START + from..START + to).contains(&t.0)).count() as f64;
        let span = (to - from) as f64 / SECOND;
        let mut left = scenario.rate.value * phase.load.value * span - named;
        let mut clumped = left * phase.clumps.as_ref().map_or(0.0, |c| c.value);
        left -= clumped;
        while clumped >= 1.0 {
            let destination = by_traffic.draw(rng);
            let takes = destinations[destination].limit.unwrap_or(destinations[destination].capacity);
            let size = (takes * rng.random_range(CLUMP.0 .0..CLUMP.0 .1)).min(clumped).ceil();
            let begin = from as f64 + rng.random::<f64>() * (span - CLUMP.1).max(0.0) * SECOND;
            let gap = CLUMP.1.min(span) * SECOND / size;
            all.extend((0..size as usize).map(|n| (START + (begin + n as f64 * gap) as Micros, destination)));
            clumped -= size;
        }
        if left > 0.0 {
            let each = left / span;
            let mut t = 0.0;
            loop {
                let gap: f64 = Exp1.sample(rng);
                t += gap / each;
                if t >= span {
                    break;
                }
                all.push((START + from + (t * SECOND) as Micros, by_traffic.draw(rng)));
            }
        }
    }
    all.sort_unstable();
    all.into_iter()
        .map(|(at, destination)| PlannedMessage { at, destination, tenant: by_channel.draw(rng) })
        .collect()
}

fn requests(
    scenario: &Scenario,
    tenants: &[Tenant],
    times: Vec<PlannedMessage>,
    rng: &mut ChaCha8Rng,
) -> Vec<ClientRequest> {
    let mut quotas = QuotaBuckets::new(tenants);
    let after = (scenario.clients.after.0 .0, scenario.clients.after.1 .0);
    let request = |PlannedMessage { at, destination, tenant }: PlannedMessage| {
        let weight = quotas.weight(tenant, at);
        let retry_after =
            rng.random_bool(scenario.clients.retry_share).then(|| rng.random_range(after.0..=after.1));
        let forwarder = rng.random_range(0..scenario.forwarders.count);
        ClientRequest { at, destination, tenant, forwarder, weight, retry_after }
    };
    times.into_iter().map(request).collect()
}
