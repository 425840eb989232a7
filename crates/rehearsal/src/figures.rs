//! The figures of a run: value delivered against value offered, for destinations with faults and for the others, call
//! slots and delivery times. The verdict on the figures is up to [`crate::verdict`].

use crate::environment::{Environment, RUN_START};
use cedarbridge::{BreakerState, Micros, Outcome};
use hdrhistogram::Histogram;

const SECOND: Micros = 1_000_000;
/// Value is recorded in windows of this length, by the time of the request.
pub const WINDOW: Micros = 5 * SECOND;
/// The latency objective. A message delivered within it has its full value; later, the value halves with each further
/// objective ...
const LATENCY_OBJECTIVE: Micros = 2_500_000;
/// ... but does not fall below this share.
const LATE_VALUE_FLOOR: f64 = 0.3;

/// Value offered and delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DeliveredValue {
    /// The sum of the weights of all requests.
    pub offered: f64,
    /// The sum of the values of the delivered requests.
    pub delivered: f64,
}

impl DeliveredValue {
    /// The share that was delivered; 1 if nothing was offered.
    pub fn share(self) -> f64 {
        if self.offered > 0.0 {
            self.delivered / self.offered
        } else {
            1.0
        }
    }
}

/// The figures of the requests of one destination or tenant.
#[derive(Clone, Debug, Default)]
pub struct DeliveryStats {
    /// Value offered and delivered.
    pub value: DeliveredValue,
    /// The number of requests; a client's retries are not counted.
    pub messages: u64,
    /// The number of requests that were delivered.
    pub delivered: u64,
    /// The times from request to delivery, in milliseconds; `None` without a delivery.
    pub delivery_times: Option<Histogram<u32>>,
    /// The number of deliveries in each second of the run.
    pub by_second: Vec<u32>,
}

impl DeliveryStats {
    fn add_request(&mut self, weight: f64) {
        self.messages += 1;
        self.value.offered += weight;
    }

    fn add_delivery(&mut self, now: Micros, value: f64, ms: u64) {
        let second = (now.saturating_sub(RUN_START) / SECOND) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, 0);
        }
        self.by_second[second] += 1;
        self.delivered += 1;
        self.value.delivered += value;
        let times = self
            .delivery_times
            .get_or_insert_with(|| Histogram::new_with_bounds(1, 60_000, 2).expect("valid histogram bounds"));
        times.saturating_record(ms);
    }

    /// A quantile of the delivery times, in milliseconds; 0 without a delivery.
    pub fn delivery_time(&self, quantile: f64) -> u64 {
        self.delivery_times.as_ref().map_or(0, |t| t.value_at_quantile(quantile))
    }
}

/// The state of a client's request, over all its retries.
#[derive(Clone, Copy)]
struct RequestState {
    at: Micros,
    weight: f32,
    destination: u32,
    tenant: u16,
    forwarder: u32,
    /// Whether its destination has a fault during the run.
    faulty: bool,
    delivered: bool,
}

/// A sample of open messages and calls in flight, over all forwarders.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the sample was taken.
    pub at: Micros,
    /// The number of open messages.
    pub open_messages: usize,
    /// The number of calls in flight.
    pub in_flight: usize,
}

/// The names of the outcomes in reports, indexed by [`outcome_index`].
pub const OUTCOME_NAMES: [&str; 9] =
    ["ok", "error", "full", "timed out", "connect failed", "reset", "stale", "cancelled", "not sent"];

/// The index of an outcome in [`OUTCOME_NAMES`].
pub fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Rejected(_) => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::StaleConnection => 6,
        Outcome::Cancelled => 7,
        Outcome::NotSent | Outcome::NotJournaled => 8,
    }
}

/// The upgrade of a forwarder's process while it served.
#[derive(Clone, Copy, Debug)]
pub struct Upgrade {
    /// The time from the start of the successor until it accepted clients.
    pub ready_time: Micros,
    /// The time from SIGTERM to the predecessor until it had exited.
    pub exit_time: Micros,
    /// The number of requests that got no connection, were disconnected or were left unanswered during the upgrade.
    pub rejected_during_upgrade: usize,
}

/// The figures of one run.
pub struct Figures {
    requests: Vec<RequestState>,
    /// The figures of each destination's requests.
    pub by_destination: Vec<DeliveryStats>,
    /// The figures of each tenant's requests.
    pub by_tenant: Vec<DeliveryStats>,
    /// The number of attempts by outcome; see [`OUTCOME_NAMES`].
    pub outcomes: [u64; 9],
    /// Samples in the order of time.
    pub samples: Vec<Sample>,
    /// For each destination, the times at which the worst of its breakers changed, with the new state.
    pub breakers: Vec<Vec<(Micros, BreakerState)>>,
    /// Whether each destination has a fault during the run.
    faulty: Vec<bool>,
    /// The start of the first fault and the end of the last one.
    fault_span: (Micros, Micros),
    /// Call slots of all forwarders together.
    call_slots: usize,
    /// Value by window of [`WINDOW`], over all destinations.
    pub windows: Vec<DeliveredValue>,
    /// The value of requests to destinations with faults.
    pub faulty_value: DeliveredValue,
    /// The value of requests to all other destinations.
    pub healthy_value: DeliveredValue,
    /// The slot time that calls to destinations with faults took during the faults, in microseconds.
    slot_time_lost: Micros,
    /// The times from request to delivery, in milliseconds: to destinations with faults, and to the others.
    pub delivery_times: [Histogram<u32>; 2],
    /// The number of messages that were rejected.
    pub rejected: u64,
    /// The number of messages that failed.
    pub failed: u64,
    /// The number of requests that were delivered.
    pub delivered: u64,
    /// The number of attempts that were sent.
    pub attempts: u64,
    /// The upgrades of processes, in the order of time.
    pub upgrades: Vec<Upgrade>,
    /// For each forwarder, the value of the requests that its clients sent to it first.
    pub by_forwarder: Vec<DeliveredValue>,
    /// The number of connections made to endpoints; counted only in virtual time.
    pub connections: u64,
    /// For each destination, the number of calls that reached it in each second of the run.
    pub calls_by_second: Vec<Vec<u32>>,
    /// For each destination, the times of its deliveries, in order.
    pub deliveries: Vec<Vec<Micros>>,
}

impl Figures {
    /// The figures of a run before it starts: everything offered, nothing delivered.
    pub fn new(environment: &Environment) -> Self {
        let mut faulty = vec![false; environment.destinations.len()];
        environment.faults.iter().for_each(|f| faulty[f.destination] = true);
        let from = environment.faults.iter().map(|f| f.start).min().unwrap_or(environment.end);
        let to = environment.faults.iter().map(|f| f.end).max().unwrap_or(environment.end);
        let windows = (environment.end - RUN_START).div_ceil(WINDOW) as usize;
        let histogram = || Histogram::new_with_bounds(1, 60_000, 3).expect("valid histogram bounds");
        let requests = environment.requests.iter().map(|request| RequestState {
            at: request.at,
            weight: request.weight as f32,
            destination: request.destination as u32,
            tenant: request.tenant as u16,
            forwarder: request.forwarder as u32,
            faulty: faulty[request.destination],
            delivered: false,
        });
        let mut figures = Figures {
            requests: requests.collect(),
            by_destination: vec![DeliveryStats::default(); environment.destinations.len()],
            by_tenant: vec![DeliveryStats::default(); environment.names.tenants.len()],
            outcomes: [0; 9],
            samples: Vec::new(),
            breakers: vec![Vec::new(); environment.destinations.len()],
            faulty,
            fault_span: (from, to),
            call_slots: environment.settings.max_concurrent_calls * environment.fleet.len(),
            windows: vec![DeliveredValue::default(); windows],
            faulty_value: DeliveredValue::default(),
            healthy_value: DeliveredValue::default(),
            slot_time_lost: 0,
            delivery_times: [histogram(), histogram()],
            rejected: 0,
            failed: 0,
            delivered: 0,
            attempts: 0,
            upgrades: Vec::new(),
            by_forwarder: vec![DeliveredValue::default(); environment.fleet.len()],
            connections: 0,
            calls_by_second: vec![Vec::new(); environment.destinations.len()],
            deliveries: vec![Vec::new(); environment.destinations.len()],
        };
        for request in &environment.requests {
            figures.by_forwarder[request.forwarder].offered += request.weight;
            figures.value_for(figures.faulty[request.destination]).offered += request.weight;
            figures.by_destination[request.destination].add_request(request.weight);
            figures.by_tenant[request.tenant].add_request(request.weight);
            figures.windows[((request.at - RUN_START) / WINDOW) as usize].offered += request.weight;
        }
        figures
    }

    fn value_for(&mut self, faulty: bool) -> &mut DeliveredValue {
        if faulty {
            &mut self.faulty_value
        } else {
            &mut self.healthy_value
        }
    }

    /// Records that an attempt was sent.
    pub fn attempt_sent(&mut self) {
        self.attempts += 1;
    }

    /// Records that a call reached a destination.
    pub fn call_received(&mut self, now: Micros, destination: usize) {
        let second = (now.saturating_sub(RUN_START) / SECOND) as usize;
        let calls = &mut self.calls_by_second[destination];
        if calls.len() <= second {
            calls.resize(second + 1, 0);
        }
        calls[second] += 1;
    }

    /// The time from `from` to the next delivery to a destination; `None` if there was none.
    pub fn next_delivery(&self, destination: usize, from: Micros) -> Option<Micros> {
        let all = &self.deliveries[destination];
        all.get(all.partition_point(|t| *t < from)).map(|t| t - from)
    }

    /// For each outage: its destination, and the time from its end to the destination's first delivery.
    pub fn recovery_times(&self, environment: &Environment) -> Vec<(usize, Option<Micros>)> {
        let outages = environment.faults.iter().filter(|f| f.fault.is_outage());
        outages.map(|f| (f.destination, self.next_delivery(f.destination, f.end))).collect()
    }

    /// Records the outcome of an attempt.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        self.outcomes[outcome_index(outcome)] += 1;
    }

    /// Records the state of the worst of a destination's breakers, if it has changed.
    pub fn breaker_changed(&mut self, now: Micros, destination: usize, state: BreakerState) {
        let changes = &mut self.breakers[destination];
        let before = changes.last().map_or(BreakerState::Closed, |l| l.1);
        if before != state {
            changes.push((now, state));
        }
    }

    /// Records the delivery of a request, by its first message or by a client's retry. Only the first delivery counts.
    pub fn delivered(&mut self, now: Micros, request: usize) {
        let state = self.requests[request];
        if state.delivered {
            return;
        }
        self.requests[request].delivered = true;
        let age = now.saturating_sub(state.at);
        let late = age.saturating_sub(LATENCY_OBJECTIVE) as f64 / LATENCY_OBJECTIVE as f64;
        let value = f64::from(state.weight)
            * if age <= LATENCY_OBJECTIVE { 1.0 } else { 0.5f64.powf(late).max(LATE_VALUE_FLOOR) };
        let ms = (age / 1000).max(1);
        self.value_for(state.faulty).delivered += value;
        self.by_forwarder[state.forwarder as usize].delivered += value;
        self.deliveries[state.destination as usize].push(now);
        self.by_destination[state.destination as usize].add_delivery(now, value, ms);
        self.by_tenant[state.tenant as usize].add_delivery(now, value, ms);
        self.windows[((state.at - RUN_START) / WINDOW) as usize].delivered += value;
        self.delivery_times[usize::from(!state.faulty)].saturating_record(ms);
        self.delivered += 1;
    }

    /// Records that a message ended without a delivery: `rejected` if its client may retry, or else failed.
    pub fn message_undelivered(&mut self, rejected: bool) {
        if rejected {
            self.rejected += 1;
        } else {
            self.failed += 1;
        }
    }

    /// Records that a call to a destination ended that had held its slot for `held` microseconds.
    pub fn slot_released(&mut self, now: Micros, destination: usize, held: Micros) {
        let (from, to) = self.fault_span;
        if self.faulty[destination] {
            let start = (now - held).max(from);
            self.slot_time_lost += now.min(to).saturating_sub(start);
        }
    }

    /// The value of all requests.
    pub fn value(&self) -> DeliveredValue {
        let (faulty, healthy) = (self.faulty_value, self.healthy_value);
        DeliveredValue {
            offered: faulty.offered + healthy.offered,
            delivered: faulty.delivered + healthy.delivered,
        }
    }

    /// The share of all slot time between the first fault's start and the last one's end that calls to destinations with
    /// faults took; 0 without faults.
    pub fn slot_time_lost_share(&self) -> f64 {
        let (from, to) = self.fault_span;
        let all = (to.saturating_sub(from)) as f64 * self.call_slots as f64;
        if all > 0.0 {
            self.slot_time_lost as f64 / all
        } else {
            0.0
        }
    }

    /// A quantile of the delivery times to destinations with faults, or else to the others, in milliseconds.
    pub fn delivery_time(&self, faulty: bool, quantile: f64) -> u64 {
        self.delivery_times[usize::from(!faulty)].value_at_quantile(quantile)
    }
}
