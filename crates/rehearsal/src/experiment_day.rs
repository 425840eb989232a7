//! Draws a day of an experiment from its ranges and a seed.

use crate::experiment::Experiment;
use crate::world::{
    numbered_fleet, platform, ClientRequest, ListChange, ListedEndpoint, PlannedFault, QuotaBuckets, World,
    START, TENANTS,
};
use cedarbridge::{DestinationId, EndpointEntry, EndpointId, KindId, Lifecycle, Micros, Settings, ZoneId};
use cedarbridge_endpoint_model::DestinationProfile;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Micros = 1_000_000;
/// The quotas, as a share of the full load.
const QUOTA: f64 = 0.87;
/// From one message of a clump to the next, in seconds.
const CLUMP_GAP: f64 = 0.004;

impl World {
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
        let load = pick(&mut rng, load);
        let settings = draw_settings(&mut rng, experiment, &destinations, &traffic, full);
        let end = START + experiment.length.0;
        let requests = draw_requests(&mut rng, experiment, &destinations, &traffic, &settings, full * load);
        let list = draw_list(&mut rng, &destinations, &kinds);
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
        let changes = restart_changes(experiment, &destinations, &list);
        let network = ((of.network_ms.0 * 1e3) as Micros, (of.network_ms.1 * 1e3) as Micros);
        let names = platform().1;
        World {
            fleet: numbered_fleet(experiment.forwarders),
            sizes: Vec::new(),
            forwarder_count_factor: 1.0,
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

/// The forwarders' settings, sized for the traffic at full load.
fn draw_settings(
    rng: &mut ChaCha8Rng,
    experiment: &Experiment,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    full: f64,
) -> Settings {
    let mut settings = platform().0;
    settings.forwarders = experiment.forwarders;
    let each = full / experiment.forwarders as f64;
    let busy: f64 =
        destinations.iter().zip(traffic).map(|(p, t)| full * t * p.service_time as f64 / SECOND as f64).sum();
    let slots = busy / experiment.forwarders as f64 * pick(rng, (1.8, 2.4));
    settings.max_concurrent_calls = (slots.ceil() as usize).max(3);
    settings.max_open_messages = ((each * pick(rng, (7.1, 11.0))) as usize).max(8);
    for (tenant, of) in settings.tenants.iter_mut().zip(TENANTS) {
        tenant.quota_per_s = full * QUOTA * of.1;
    }
    settings
}

/// The endpoint list, by destination.
fn draw_list(
    rng: &mut ChaCha8Rng,
    destinations: &[DestinationProfile],
    kinds: &[usize],
) -> Vec<ListedEndpoint> {
    let mut list = Vec::new();
    for (i, p) in destinations.iter().enumerate() {
        // The list's weight is a rough figure of the destination's capacity: up to half too high or too low.
        let weight = p.limit.unwrap_or(p.capacity) * pick(rng, (0.67, 1.5));
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
    list
}

/// One endpoint of a destination with several is drained for a while, as in a restart.
fn restart_changes(
    experiment: &Experiment,
    destinations: &[DestinationProfile],
    list: &[ListedEndpoint],
) -> Vec<ListChange> {
    let several = list.iter().position(|e| destinations[e.destination].endpoints > 1);
    let part = |of: u64| START + experiment.length.0 / of;
    let changes = several.map(|endpoint| {
        [(part(4), Lifecycle::Draining), (part(2), Lifecycle::Listed)].map(|(at, lifecycle)| ListChange {
            at,
            endpoint,
            lifecycle,
        })
    });
    changes.into_iter().flatten().collect()
}

fn pick(rng: &mut ChaCha8Rng, range: (f64, f64)) -> f64 {
    range.0 + (range.1 - range.0) * rng.random::<f64>()
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
        rejections_use_limit: kind == 1,
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

/// When messages are sent, and for which destination: an even stream for each, and clumps with this share of all.
fn draw_arrivals(
    rng: &mut ChaCha8Rng,
    experiment: &Experiment,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    rate: f64,
    clumped: f64,
) -> Vec<(Micros, usize)> {
    let length = experiment.length.0 as f64 / SECOND as f64;
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
    times
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
    let clumped = pick(rng, experiment.clumps.share);
    let usage: Vec<f64> = TENANTS.iter().map(|t| t.1 * pick(rng, t.2)).collect();
    let all: f64 = usage.iter().sum();
    let times = draw_arrivals(rng, experiment, destinations, traffic, rate, clumped);
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
