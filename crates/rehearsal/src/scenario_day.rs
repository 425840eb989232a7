//! Makes a day of a scenario: destination models from their figures, every message with its time, and the times of
//! faults. The same seed gives the same day, whether it is then played in virtual time or on sockets.

use crate::capture::CapturedDay;
use crate::scenario::{DestinationGroup, DestinationKind, Scenario};
use crate::world::{
    numbered_fleet, platform, ClientRequest, DayPhase, ListChange, ListedEndpoint, PlannedFault,
    PlannedMessage, PlannedStop, QuotaBuckets, World, START,
};
use cedarbridge::{DestinationId, EndpointEntry, EndpointId, KindId, Lifecycle, Micros, Tenant, ZoneId};
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

/// A day of a scenario; a captured day's messages take the place of the drawn ones.
pub fn day(scenario: &Scenario, seed: u64, captured: Option<&CapturedDay>) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names = scenario.destination_names();
    let of = |i: usize| &scenario.destinations[names[i].1];
    let shares: f64 = (0..names.len()).map(|i| of(i).share).sum();
    let traffic: Vec<f64> = (0..names.len()).map(|i| of(i).share / shares).collect();
    let full = scenario.rate.value;
    let destinations: Vec<DestinationProfile> =
        (0..names.len()).map(|i| model(of(i), full * traffic[i])).collect();
    let mut settings = platform().0;
    let (_, mut words) = platform();
    let forwarders = scenario.forwarders.count;
    settings.forwarders = forwarders;
    let busy: f64 =
        destinations.iter().zip(&traffic).map(|(p, t)| full * t * p.service_time as f64 / SECOND).sum();
    let slots = (busy / forwarders as f64 * SLOTS).ceil() as usize;
    settings.max_concurrent_calls = scenario.forwarders.slots.unwrap_or(slots.max(3));
    let held = (full / forwarders as f64 * HELD) as usize;
    settings.max_open_messages = scenario.forwarders.held.unwrap_or(held.max(8));
    let channels: Vec<(String, f64, f64)> = if scenario.channels.is_empty() {
        [("lounatv", 0.7), ("emajogi-tv", 0.17), ("valga-kanal", 0.13)].map(|c| (c.0.into(), c.1, 1.0)).into()
    } else {
        scenario.channels.iter().map(|c| (c.name.value.clone(), c.share, c.uses)).collect()
    };
    settings.tenants = channels.iter().map(|c| Tenant { quota_per_s: full * c.1 }).collect();
    words.tenants = channels.iter().map(|c| c.0.clone()).collect();
    let mut list = Vec::new();
    let mut add = |destination: usize, place: usize, rng: &mut ChaCha8Rng| {
        let p = &destinations[destination];
        let weight = p.limit.unwrap_or(p.capacity) * rng.random_range(0.67..1.5);
        let entry = EndpointEntry {
            endpoint: EndpointId(list.len() as u32 + 1),
            destination: DestinationId(destination as u64),
            zone: ZoneId(0),
            kind: KindId(usize::from(of(destination).kind == DestinationKind::SmallPartner)),
            lifecycle: Lifecycle::Listed,
            weight,
        };
        list.push(ListedEndpoint { entry, destination, index: place });
        list.len() - 1
    };
    let mut first = Vec::with_capacity(destinations.len());
    for (i, p) in destinations.iter().enumerate() {
        (0..p.endpoints).for_each(|e| {
            let at = add(i, e, &mut rng);
            if e == 0 {
                first.push(at);
            }
        });
    }
    let listed = first.last().zip(destinations.last()).map_or(0, |(f, p)| f + p.endpoints);
    let number = |name: &str| names.iter().position(|n| n.0 == name).expect("checked as it was read");
    let moment = |m| START + scenario.moment(m).expect("checked as it was read");
    let mut changes = Vec::new();
    for r in &scenario.replacements {
        let (destination, at) = (number(&r.destination.value), moment(&r.at));
        let old = first[destination];
        let new = add(destination, 0, &mut rng);
        first[destination] = new;
        let gone = at + r.drains.0;
        changes.extend([
            ListChange { at, endpoint: old, lifecycle: Lifecycle::Draining },
            ListChange { at, endpoint: new, lifecycle: Lifecycle::Listed },
            ListChange { at: gone, endpoint: old, lifecycle: Lifecycle::Removed },
        ]);
    }
    changes.sort_by_key(|c| c.at);
    let faults = scenario.faults.iter().map(|t| {
        let from = moment(&t.at);
        PlannedFault {
            destination: number(&t.destination.value),
            begin: from,
            end: from + t.lasts.0,
            fault: t.fault(),
        }
    });
    let stops = scenario.stops.iter().flat_map(|s| {
        let (forwarder, first, signal, back) = (s.forwarder.value - 1, moment(&s.at), s.signal, s.back.0);
        (0..s.times as u64).map(move |n| PlannedStop { forwarder, at: first + n * s.every.0, signal, back })
    });
    let mut stops: Vec<PlannedStop> = stops.collect();
    stops.sort_by_key(|s| s.at);
    let times = match captured {
        Some(day) => day.messages(&names, &words.tenants, scenario.length()),
        None => times(scenario, &destinations, &traffic, &channels, &number, &mut rng),
    };
    let phases = scenario.phases.iter().map(|p| {
        let (from, to) = scenario.phase(&p.name.value).expect("itself");
        DayPhase { name: p.name.value.clone(), begin: START + from, end: START + to }
    });
    World {
        kinds: (0..names.len()).map(|i| usize::from(of(i).kind == DestinationKind::SmallPartner)).collect(),
        connections: (0..names.len()).map(|i| of(i).connections).collect(),
        requests: requests(scenario, &settings.tenants, times, &mut rng),
        faults: faults.collect(),
        phases: phases.collect(),
        end: START + scenario.length(),
        network: NETWORK,
        fleet: numbered_fleet(forwarders),
        sizes: Vec::new(),
        told_count_factor: 1.0,
        destination_names: names.into_iter().map(|n| n.0).collect(),
        names: words,
        destinations,
        traffic,
        settings,
        list,
        listed,
        changes,
        stops,
    }
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
        rejections_count: of.refused_count.unwrap_or(small),
        retry_after: of.tells_wait.map(|s| s.0),
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

fn times(
    scenario: &Scenario,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    channels: &[(String, f64, f64)],
    number: &impl Fn(&str) -> usize,
    rng: &mut ChaCha8Rng,
) -> Vec<PlannedMessage> {
    let sums = |all: &mut dyn Iterator<Item = f64>| {
        let mut sum = 0.0;
        all.map(|x| {
            sum += x;
            sum
        })
        .collect::<Vec<f64>>()
    };
    let by_traffic = sums(&mut traffic.iter().copied());
    let by_channel = sums(&mut channels.iter().map(|c| c.1 * c.2));
    let of = |sums: &[f64], rng: &mut ChaCha8Rng| {
        let draw = rng.random::<f64>() * sums.last().copied().unwrap_or(1.0);
        sums.partition_point(|s| *s <= draw).min(sums.len() - 1)
    };
    let mut all: Vec<(Micros, usize)> = Vec::new();
    for c in &scenario.clumps {
        let at = START + scenario.moment(&c.at).expect("checked as it was read");
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
            let destination = of(&by_traffic, rng);
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
                all.push((START + from + (t * SECOND) as Micros, of(&by_traffic, rng)));
            }
        }
    }
    all.sort_unstable();
    all.into_iter()
        .map(|(at, destination)| PlannedMessage { at, destination, tenant: of(&by_channel, rng) })
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
            rng.random_bool(scenario.clients.again).then(|| rng.random_range(after.0..=after.1));
        let forwarder = rng.random_range(0..scenario.forwarders.count);
        ClientRequest { at, destination, tenant, forwarder, weight, retry_after }
    };
    times.into_iter().map(request).collect()
}
