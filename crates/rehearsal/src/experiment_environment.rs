//! Generates the environment of an experiment's run from the experiment's ranges and a seed.

use crate::environment::{
    indexed_fleet, platform_defaults, ClientRequest, Environment, ListChange, ListedEndpoint, PlannedFault,
    QuotaBuckets, RUN_START, TENANTS,
};
use crate::experiment::Experiment;
use cedarbridge::{DestinationId, EndpointEntry, EndpointId, KindId, Lifecycle, Micros, Settings, ZoneId};
use cedarbridge_endpoint_model::DestinationProfile;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Micros = 1_000_000;
/// The sum of the tenants' quotas, as a share of full load.
const QUOTA_SHARE: f64 = 0.87;
/// The time from one message of a burst to the next, in seconds.
const BURST_INTERVAL: f64 = 0.004;

impl Environment {
    /// Generates the environment of a run. The load is drawn from a range of shares of full load.
    pub fn generate(experiment: &Experiment, load: (f64, f64), seed: u64) -> Environment {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ranges = &experiment.destinations;
        let skew = draw_from_range(&mut rng, ranges.traffic_skew);
        let weights: Vec<f64> = (0..ranges.count).map(|i| 1.0 / ((i + 1) as f64).powf(skew)).collect();
        let sum: f64 = weights.iter().sum();
        let traffic: Vec<f64> = weights.iter().map(|w| w / sum).collect();
        let full_load = draw_from_range(&mut rng, ranges.rate) * ranges.count as f64;
        // A third of all destinations are cable operators; they are among the busiest two thirds.
        let kinds: Vec<usize> =
            (0..ranges.count).map(|i| usize::from(i % 2 == 1 || i >= ranges.count * 2 / 3)).collect();
        let service_time = draw_from_range(&mut rng, ranges.service_time_ms) * 1000.0;
        let mut destinations: Vec<DestinationProfile> = (0..ranges.count)
            .map(|i| {
                generate_destination(&mut rng, experiment, full_load * traffic[i], kinds[i], service_time)
            })
            .collect();
        ranges.service_times.iter().for_each(|s| destinations[s.rank - 1].service_time = s.service_time.0);
        let load = draw_from_range(&mut rng, load);
        let settings = generate_settings(&mut rng, experiment, &destinations, &traffic, full_load);
        let end = RUN_START + experiment.duration.0;
        let requests =
            generate_requests(&mut rng, experiment, &destinations, &traffic, &settings, full_load * load);
        let endpoints = generate_endpoints(&mut rng, &destinations, &kinds);
        let faults = experiment.faults.iter().map(|spec| {
            let from = RUN_START + spec.start.0;
            PlannedFault {
                destination: spec.rank - 1,
                start: from,
                end: from + spec.duration.0,
                fault: spec.with_size_at(rng.random()),
            }
        });
        let faults = faults.collect();
        let changes = restart_changes(experiment, &destinations, &endpoints);
        let network_delay =
            ((ranges.network_delay_ms.0 * 1e3) as Micros, (ranges.network_delay_ms.1 * 1e3) as Micros);
        let names = platform_defaults().1;
        Environment {
            fleet: indexed_fleet(experiment.forwarders),
            fleet_sizes: Vec::new(),
            forwarder_count_factor: 1.0,
            initially_listed: endpoints.len(),
            stops: Vec::new(),
            destination_names: (1..=destinations.len()).map(|n| format!("partner-{n}")).collect(),
            max_connections: vec![usize::MAX; destinations.len()],
            phases: Vec::new(),
            destinations,
            destination_kinds: kinds,
            traffic_shares: traffic,
            settings,
            names,
            endpoints,
            requests,
            faults,
            list_changes: changes,
            network_delay,
            end,
        }
    }
}

/// Generates the forwarders' settings, with limits for the traffic at full load.
fn generate_settings(
    rng: &mut ChaCha8Rng,
    experiment: &Experiment,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    full_load: f64,
) -> Settings {
    let mut settings = platform_defaults().0;
    settings.forwarders = experiment.forwarders;
    let rate_per_forwarder = full_load / experiment.forwarders as f64;
    let calls_in_flight: f64 = destinations
        .iter()
        .zip(traffic)
        .map(|(d, share)| full_load * share * d.service_time as f64 / SECOND as f64)
        .sum();
    let slots = calls_in_flight / experiment.forwarders as f64 * draw_from_range(rng, (1.8, 2.4));
    settings.max_concurrent_calls = (slots.ceil() as usize).max(3);
    settings.max_open_messages = ((rate_per_forwarder * draw_from_range(rng, (7.1, 11.0))) as usize).max(8);
    for (tenant, shares) in settings.tenants.iter_mut().zip(TENANTS) {
        tenant.quota_per_s = full_load * QUOTA_SHARE * shares.1;
    }
    settings
}

/// Generates the endpoint list, ordered by destination.
fn generate_endpoints(
    rng: &mut ChaCha8Rng,
    destinations: &[DestinationProfile],
    kinds: &[usize],
) -> Vec<ListedEndpoint> {
    let mut endpoints = Vec::new();
    for (destination_index, profile) in destinations.iter().enumerate() {
        // The weight in the list is a rough estimate of the destination's limit or capacity: up to half too high or a third
        // too low.
        let weight = profile.limit.unwrap_or(profile.capacity) * draw_from_range(rng, (0.67, 1.5));
        for endpoint_index in 0..profile.endpoints {
            let entry = EndpointEntry {
                endpoint: EndpointId(endpoints.len() as u32 + 1),
                destination: DestinationId(destination_index as u64),
                zone: ZoneId(0),
                kind: KindId(kinds[destination_index]),
                lifecycle: Lifecycle::Listed,
                weight,
            };
            endpoints.push(ListedEndpoint { entry, destination: destination_index, index: endpoint_index });
        }
    }
    endpoints
}

/// Plans a restart of one endpoint, of a destination that has several: the endpoint drains for a quarter of the run and
/// is listed again.
fn restart_changes(
    experiment: &Experiment,
    destinations: &[DestinationProfile],
    endpoints: &[ListedEndpoint],
) -> Vec<ListChange> {
    let restarted = endpoints.iter().position(|e| destinations[e.destination].endpoints > 1);
    let after_part = |divisor: u64| RUN_START + experiment.duration.0 / divisor;
    let changes = restarted.map(|endpoint| {
        [(after_part(4), Lifecycle::Draining), (after_part(2), Lifecycle::Listed)]
            .map(|(at, lifecycle)| ListChange { at, endpoint, lifecycle })
    });
    changes.into_iter().flatten().collect()
}

/// Draws a value from a range.
fn draw_from_range(rng: &mut ChaCha8Rng, range: (f64, f64)) -> f64 {
    range.0 + (range.1 - range.0) * rng.random::<f64>()
}

/// Generates the parameters of a destination model. `rate` is the destination's messages a second at full load; `kind` is
/// 0 for a cable operator and 1 for a small partner; `service_time` is the mean over all destinations in microseconds.
fn generate_destination(
    rng: &mut ChaCha8Rng,
    experiment: &Experiment,
    rate: f64,
    kind: usize,
    service_time: f64,
) -> DestinationProfile {
    let ranges = &experiment.destinations;
    let headroom = draw_from_range(rng, ranges.headroom);
    let capacity_factor = draw_from_range(rng, ranges.capacity_factor);
    let slowdown = ranges.service_time_factor.max(1.0).powf(draw_from_range(rng, (-1.0, 1.0)));
    let min_limit =
        if kind == 0 { draw_from_range(rng, (1.8, 4.6)) } else { draw_from_range(rng, (1.6, 4.5)) };
    let limit = (rate * headroom).max(min_limit);
    let is_limited = kind == 0 || rng.random_bool(0.5);
    let endpoints = if rate > 6.0 { rng.random_range(1..=4) } else { rng.random_range(1..=2) };
    let capacity = limit * capacity_factor;
    let queue_seconds = draw_from_range(rng, (0.44, 0.99));
    DestinationProfile {
        endpoints,
        service_time: (service_time * slowdown) as Micros,
        service_time_variation: draw_from_range(rng, (0.36, 0.8)),
        capacity,
        limit: is_limited.then_some(limit),
        rejections_use_limit: kind == 1,
        retry_after: None,
        queue_length: ((capacity * queue_seconds / endpoints as f64).ceil() as usize).max(1),
        messages_per_call: if kind == 0 { 10 } else { 1 },
        further_message_cost: if kind == 0 { draw_from_range(rng, (0.074, 0.18)) } else { 0.0 },
        error_rate: draw_from_range(rng, (0.0, if kind == 0 { 0.01 } else { 0.005 })),
        slow_start_floor: draw_from_range(rng, (0.23, 0.33)),
        slow_start: (draw_from_range(rng, (7.4, 9.4)) * SECOND as f64) as Micros,
        overload_multiple: 2.0,
        overload_window: 3 * SECOND,
    }
}

/// Generates the times and destinations of all messages: a Poisson process for each destination, and bursts with
/// `burst_share` of all messages.
fn generate_arrivals(
    rng: &mut ChaCha8Rng,
    experiment: &Experiment,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    rate: f64,
    burst_share: f64,
) -> Vec<(Micros, usize)> {
    let length = experiment.duration.0 as f64 / SECOND as f64;
    let mut times: Vec<(Micros, usize)> = Vec::new();
    let at = |seconds: f64| RUN_START + (seconds * SECOND as f64) as Micros;
    for (destination, share) in traffic.iter().enumerate() {
        let destination_rate = rate * share * (1.0 - burst_share);
        let mut t = 0.0;
        loop {
            t += -(1.0 - rng.random::<f64>()).ln() / destination_rate;
            if t >= length {
                break;
            }
            times.push((at(t), destination));
        }
    }
    let mut remaining = rate * length * burst_share;
    while remaining >= 1.0 {
        let mut draw = rng.random::<f64>();
        let destination = traffic.iter().position(|t| {
            draw -= t;
            draw < 0.0
        });
        let destination = destination.unwrap_or(0);
        let limit = destinations[destination].limit.unwrap_or(destinations[destination].capacity);
        let size = (limit * draw_from_range(rng, experiment.bursts.seconds)).min(remaining).ceil();
        // One message every BURST_INTERVAL seconds; the whole burst lies within the run if it fits.
        let start = rng.random::<f64>() * (length - size * BURST_INTERVAL).max(0.0);
        let requests = (0..size as usize).map(|n| start + n as f64 * BURST_INTERVAL).filter(|t| *t < length);
        times.extend(requests.map(|t| (at(t), destination)));
        remaining -= size;
    }
    times.sort();
    times
}

/// Generates all client requests.
fn generate_requests(
    rng: &mut ChaCha8Rng,
    experiment: &Experiment,
    destinations: &[DestinationProfile],
    traffic: &[f64],
    settings: &Settings,
    rate: f64,
) -> Vec<ClientRequest> {
    let burst_share = draw_from_range(rng, experiment.bursts.share);
    let usage: Vec<f64> = TENANTS.iter().map(|t| t.1 * draw_from_range(rng, t.2)).collect();
    let total_usage: f64 = usage.iter().sum();
    let times = generate_arrivals(rng, experiment, destinations, traffic, rate, burst_share);
    let mut quotas = QuotaBuckets::new(&settings.tenants);
    let request = |(at, destination): (Micros, usize)| {
        let mut draw = rng.random::<f64>() * total_usage;
        let tenant = usage.iter().position(|u| {
            draw -= u;
            draw < 0.0
        });
        let tenant = tenant.unwrap_or(0);
        let weight = quotas.weight(tenant, at);
        let retry_delay =
            rng.random_bool(0.75).then(|| (draw_from_range(rng, (0.53, 1.5)) * SECOND as f64) as Micros);
        let forwarder = rng.random_range(0..settings.forwarders);
        ClientRequest { at, destination, tenant, forwarder, weight, retry_delay }
    };
    times.into_iter().map(request).collect()
}
