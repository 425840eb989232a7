//! The figures of a day: value delivered against value offered, for destinations with faults and the others, call
//! slots and delivery times. Nothing is judged here.

use crate::world::{World, START};
use cedarbridge::{BreakerState, Micros, Outcome};
use hdrhistogram::Histogram;

const SECOND: Micros = 1_000_000;
/// Value is shown in windows of this length, by the time of the request.
pub const WINDOW: Micros = 5 * SECOND;
/// The latency objective: a message's value halves with each further such time ...
const AIM: Micros = 2_500_000;
/// ... but not under this.
const LATE: f64 = 0.3;

/// Value offered and delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DeliveredValue {
    /// Offered.
    pub offered: f64,
    /// Delivered.
    pub delivered_value: f64,
}

impl DeliveredValue {
    /// The share that was delivered; all of nothing.
    pub fn share(self) -> f64 {
        if self.offered > 0.0 {
            self.delivered_value / self.offered
        } else {
            1.0
        }
    }
}

/// The messages of a destination or a channel.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Value offered and delivered.
    pub value: DeliveredValue,
    /// Messages, a client's retries not counted.
    pub messages: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Delivery times from the request, in milliseconds.
    pub times: Option<Histogram<u32>>,
    /// Messages delivered in each second of the day.
    pub by_second: Vec<u32>,
}

impl Tally {
    fn add(&mut self, weight: f64) {
        self.messages += 1;
        self.value.offered += weight;
    }

    fn deliver(&mut self, now: Micros, delivered_value: f64, ms: u64) {
        let second = (now.saturating_sub(START) / SECOND) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, 0);
        }
        self.by_second[second] += 1;
        self.delivered += 1;
        self.value.delivered_value += delivered_value;
        let times = self.times.get_or_insert_with(|| {
            Histogram::new_with_bounds(1, 60_000, 2).expect("bounds that are in order")
        });
        times.saturating_record(ms);
    }

    /// A quantile of the delivery times, in milliseconds.
    pub fn time(&self, quantile: f64) -> u64 {
        self.times.as_ref().map_or(0, |t| t.value_at_quantile(quantile))
    }
}

/// A client's request, over all its retries.
#[derive(Clone, Copy)]
struct RequestState {
    at: Micros,
    weight: f32,
    destination: u32,
    tenant: u16,
    forwarder: u32,
    faulty: bool,
    delivered: bool,
}

/// Open messages and calls in flight at a time, over all forwarders.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When.
    pub at: Micros,
    /// Open messages.
    pub open_messages: usize,
    /// Calls in flight.
    pub in_flight: usize,
}

/// The names of outcomes, by [`outcome`]'s numbers.
pub const OUTCOMES: [&str; 9] =
    ["ok", "error", "full", "timed out", "connect failed", "reset", "stale", "cancelled", "not sent"];

/// The number of an outcome.
pub fn outcome(of: Outcome) -> usize {
    match of {
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

/// A forwarder's process that was replaced while it served.
#[derive(Clone, Copy, Debug)]
pub struct Upgrade {
    /// From the start of the successor until it accepted clients.
    pub ready: Micros,
    /// From the predecessor's signal until it had exited.
    pub left: Micros,
    /// Requests that were refused a connection, disconnected or left unanswered meanwhile.
    pub rejected_during_upgrade: usize,
}

/// The figures of one day.
pub struct Figures {
    tries: Vec<RequestState>,
    /// By destination.
    pub by_destination: Vec<Tally>,
    /// By channel.
    pub by_channel: Vec<Tally>,
    /// Attempts by their outcome, as [`OUTCOMES`] has them.
    pub outcomes: [u64; 9],
    /// Samples, by time.
    pub samples: Vec<Sample>,
    /// For each destination, when the worst of its breakers changed, and to what.
    pub breakers: Vec<Vec<(Micros, BreakerState)>>,
    faulty: Vec<bool>,
    fault: (Micros, Micros),
    slots: usize,
    /// Value by window, over all destinations.
    pub windows: Vec<DeliveredValue>,
    /// Value at destinations with faults.
    pub faulty_value: DeliveredValue,
    /// Value at all others.
    pub healthy_value: DeliveredValue,
    /// Slot time that calls to destinations with faults took while the faults lasted, in microseconds.
    slots_lost: Micros,
    /// Delivery times from the request, in milliseconds, to destinations with faults and to the others.
    pub times: [Histogram<u32>; 2],
    /// Messages rejected.
    pub refused: u64,
    /// Messages that failed.
    pub failed: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Processes that were upgraded, in the order of time.
    pub upgrades: Vec<Upgrade>,
    /// Value by the forwarder that received a message first.
    pub by_forwarder: Vec<DeliveredValue>,
    /// Connections made to endpoints; counted in virtual time.
    pub connections: u64,
    /// For each destination, the calls that reached it in each second of the day.
    pub offered: Vec<Vec<u32>>,
    /// For each destination, when messages were delivered, in the order of time.
    pub deliveries: Vec<Vec<Micros>>,
}

impl Figures {
    /// Figures of a day before it is played.
    pub fn new(world: &World) -> Self {
        let mut faulty = vec![false; world.destinations.len()];
        world.faults.iter().for_each(|f| faulty[f.destination] = true);
        let from = world.faults.iter().map(|f| f.begin).min().unwrap_or(world.end);
        let to = world.faults.iter().map(|f| f.end).max().unwrap_or(world.end);
        let windows = (world.end - START).div_ceil(WINDOW) as usize;
        let times = || Histogram::new_with_bounds(1, 60_000, 3).expect("bounds that are in order");
        let tries = world.requests.iter().map(|h| RequestState {
            at: h.at,
            weight: h.weight as f32,
            destination: h.destination as u32,
            tenant: h.tenant as u16,
            forwarder: h.forwarder as u32,
            faulty: faulty[h.destination],
            delivered: false,
        });
        let mut figures = Figures {
            tries: tries.collect(),
            by_destination: vec![Tally::default(); world.destinations.len()],
            by_channel: vec![Tally::default(); world.names.tenants.len()],
            outcomes: [0; 9],
            samples: Vec::new(),
            breakers: vec![Vec::new(); world.destinations.len()],
            faulty,
            fault: (from, to),
            slots: world.settings.max_concurrent_calls * world.fleet.len(),
            windows: vec![DeliveredValue::default(); windows],
            faulty_value: DeliveredValue::default(),
            healthy_value: DeliveredValue::default(),
            slots_lost: 0,
            times: [times(), times()],
            refused: 0,
            failed: 0,
            delivered: 0,
            attempts: 0,
            upgrades: Vec::new(),
            by_forwarder: vec![DeliveredValue::default(); world.fleet.len()],
            connections: 0,
            offered: vec![Vec::new(); world.destinations.len()],
            deliveries: vec![Vec::new(); world.destinations.len()],
        };
        for h in &world.requests {
            figures.by_forwarder[h.forwarder].offered += h.weight;
            figures.side(figures.faulty[h.destination]).offered += h.weight;
            figures.by_destination[h.destination].add(h.weight);
            figures.by_channel[h.tenant].add(h.weight);
            figures.windows[((h.at - START) / WINDOW) as usize].offered += h.weight;
        }
        figures
    }

    fn side(&mut self, faulty: bool) -> &mut DeliveredValue {
        if faulty {
            &mut self.faulty_value
        } else {
            &mut self.healthy_value
        }
    }

    /// An attempt was sent.
    pub fn attempt(&mut self) {
        self.attempts += 1;
    }

    /// A call reached a destination.
    pub fn call(&mut self, now: Micros, destination: usize) {
        let second = (now.saturating_sub(START) / SECOND) as usize;
        let line = &mut self.offered[destination];
        if line.len() <= second {
            line.resize(second + 1, 0);
        }
        line[second] += 1;
    }

    /// How long after a time the next message was delivered to a destination.
    pub fn next_delivery(&self, destination: usize, from: Micros) -> Option<Micros> {
        let all = &self.deliveries[destination];
        all.get(all.partition_point(|t| *t < from)).map(|t| t - from)
    }

    /// For each outage of a destination: how long after its end the first message was delivered there.
    pub fn returns(&self, world: &World) -> Vec<(usize, Option<Micros>)> {
        let back = world.faults.iter().filter(|f| f.fault.is_outage());
        back.map(|f| (f.destination, self.next_delivery(f.destination, f.end))).collect()
    }

    /// An attempt ended.
    pub fn outcome(&mut self, of: Outcome) {
        self.outcomes[outcome(of)] += 1;
    }

    /// The worst of a destination's breakers is in this state now.
    pub fn breaker(&mut self, now: Micros, destination: usize, status: BreakerState) {
        let line = &mut self.breakers[destination];
        let before = line.last().map_or(BreakerState::Closed, |l| l.1);
        if before != status {
            line.push((now, status));
        }
    }

    /// A request was delivered, at its first try or a retry.
    pub fn delivered(&mut self, now: Micros, first: usize) {
        let t = self.tries[first];
        if t.delivered {
            return;
        }
        self.tries[first].delivered = true;
        let age = now.saturating_sub(t.at);
        let late = age.saturating_sub(AIM) as f64 / AIM as f64;
        let delivered_value =
            f64::from(t.weight) * if age <= AIM { 1.0 } else { 0.5f64.powf(late).max(LATE) };
        let ms = (age / 1000).max(1);
        self.side(t.faulty).delivered_value += delivered_value;
        self.by_forwarder[t.forwarder as usize].delivered_value += delivered_value;
        self.deliveries[t.destination as usize].push(now);
        self.by_destination[t.destination as usize].deliver(now, delivered_value, ms);
        self.by_channel[t.tenant as usize].deliver(now, delivered_value, ms);
        self.windows[((t.at - START) / WINDOW) as usize].delivered_value += delivered_value;
        self.times[usize::from(!t.faulty)].saturating_record(ms);
        self.delivered += 1;
    }

    /// A message was rejected or failed.
    pub fn given_up(&mut self, refused: bool) {
        if refused {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }

    /// A call ended that had used a slot for so long.
    pub fn slot_released(&mut self, now: Micros, destination: usize, open_messages: Micros) {
        let (from, to) = self.fault;
        if self.faulty[destination] {
            let begin = (now - open_messages).max(from);
            self.slots_lost += now.min(to).saturating_sub(begin);
        }
    }

    /// Value of the complete day.
    pub fn value(&self) -> DeliveredValue {
        let (a, b) = (self.faulty_value, self.healthy_value);
        DeliveredValue {
            offered: a.offered + b.offered,
            delivered_value: a.delivered_value + b.delivered_value,
        }
    }

    /// The share of all slot time during the faults that calls to destinations with faults took.
    pub fn slots_lost(&self) -> f64 {
        let (from, to) = self.fault;
        let all = (to.saturating_sub(from)) as f64 * self.slots as f64;
        if all > 0.0 {
            self.slots_lost as f64 / all
        } else {
            0.0
        }
    }

    /// A quantile of the delivery times, in milliseconds.
    pub fn time(&self, faulty: bool, quantile: f64) -> u64 {
        self.times[usize::from(!faulty)].value_at_quantile(quantile)
    }
}
