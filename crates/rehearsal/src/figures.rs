//! What a day came to: worth delivered against worth asked, for the troubled partners and the others, slots and
//! delivery times. It judges nothing.

use crate::world::{World, START};
use cedarbridge::{BreakerState, Micros, Outcome};
use hdrhistogram::Histogram;

const SECOND: Micros = 1_000_000;
/// Worth is shown by windows of so long, by the time of the hand-in.
pub const WINDOW: Micros = 5 * SECOND;
/// A message is wanted within this; its worth falls by half with each further one ...
const AIM: Micros = 2_500_000;
/// ... but not under this.
const LATE: f64 = 0.3;

/// Worth asked for and delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worth {
    /// Asked for.
    pub asked: f64,
    /// Delivered.
    pub got: f64,
}

impl Worth {
    /// The share that was delivered; all of nothing.
    pub fn share(self) -> f64 {
        if self.asked > 0.0 {
            self.got / self.asked
        } else {
            1.0
        }
    }
}

/// What came of the messages of a partner or a channel.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Worth asked for and delivered.
    pub worth: Worth,
    /// Messages, each client's tries counted once.
    pub messages: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Times of delivery from the hand-in, in milliseconds.
    pub times: Option<Histogram<u32>>,
    /// Messages delivered in each second of the day.
    pub by_second: Vec<u32>,
}

impl Tally {
    fn add(&mut self, worth: f64) {
        self.messages += 1;
        self.worth.asked += worth;
    }

    fn deliver(&mut self, now: Micros, got: f64, ms: u64) {
        let second = (now.saturating_sub(START) / SECOND) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, 0);
        }
        self.by_second[second] += 1;
        self.delivered += 1;
        self.worth.got += got;
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

/// A message's first try.
#[derive(Clone, Copy)]
struct Try {
    at: Micros,
    worth: f32,
    partner: u32,
    tenant: u16,
    forwarder: u32,
    troubled: bool,
    delivered: bool,
}

/// What is held at a time, over all forwarders.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When.
    pub at: Micros,
    /// Messages held.
    pub held: usize,
    /// Calls out.
    pub out: usize,
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
    /// From the start of the new one until it took clients.
    pub ready: Micros,
    /// From the old one's signal until it had left.
    pub left: Micros,
    /// Hand-ins that were not let in, closed on or left unread meanwhile.
    pub at_the_door: usize,
}

/// The figures of one day.
pub struct Figures {
    tries: Vec<Try>,
    /// By partner.
    pub by_partner: Vec<Tally>,
    /// By channel.
    pub by_channel: Vec<Tally>,
    /// Attempts by their outcome, as [`OUTCOMES`] has them.
    pub outcomes: [u64; 9],
    /// What was held, by time.
    pub samples: Vec<Sample>,
    /// For each partner, when the worst of its breakers changed, and to what.
    pub breakers: Vec<Vec<(Micros, BreakerState)>>,
    troubled: Vec<bool>,
    trouble: (Micros, Micros),
    slots: usize,
    /// Worth by window, the troubled partners and the others together.
    pub windows: Vec<Worth>,
    /// Worth at the troubled partners.
    pub troubled_worth: Worth,
    /// Worth at all others.
    pub other_worth: Worth,
    /// Slot time that calls to troubled partners took while trouble held, from its begin on.
    slots_lost: Micros,
    /// Times of delivery from the hand-in, in milliseconds, to troubled partners and to the others.
    pub times: [Histogram<u32>; 2],
    /// Messages given back to their clients.
    pub refused: u64,
    /// Messages that failed.
    pub failed: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Processes that were replaced, in the order of time.
    pub upgrades: Vec<Upgrade>,
    /// Worth by the forwarder that a message came to first.
    pub by_forwarder: Vec<Worth>,
    /// Connections made to endpoints; counted in virtual time.
    pub connections: u64,
    /// For each partner, the calls that reached it in each second of the day.
    pub offered: Vec<Vec<u32>>,
    /// For each partner, when messages were delivered, in the order of time.
    pub deliveries: Vec<Vec<Micros>>,
}

impl Figures {
    /// Figures of a day before it is played.
    pub fn new(world: &World) -> Self {
        let mut troubled = vec![false; world.partners.len()];
        world.troubles.iter().for_each(|t| troubled[t.0] = true);
        let from = world.troubles.iter().map(|t| t.1).min().unwrap_or(world.end);
        let to = world.troubles.iter().map(|t| t.2).max().unwrap_or(world.end);
        let windows = (world.end - START).div_ceil(WINDOW) as usize;
        let times = || Histogram::new_with_bounds(1, 60_000, 3).expect("bounds that are in order");
        let tries = world.hands.iter().map(|h| Try {
            at: h.at,
            worth: h.worth as f32,
            partner: h.partner as u32,
            tenant: h.tenant as u16,
            forwarder: h.forwarder as u32,
            troubled: troubled[h.partner],
            delivered: false,
        });
        let mut figures = Figures {
            tries: tries.collect(),
            by_partner: vec![Tally::default(); world.partners.len()],
            by_channel: vec![Tally::default(); world.names.tenants.len()],
            outcomes: [0; 9],
            samples: Vec::new(),
            breakers: vec![Vec::new(); world.partners.len()],
            troubled,
            trouble: (from, to),
            slots: world.settings.max_concurrent_calls * world.fleet.len(),
            windows: vec![Worth::default(); windows],
            troubled_worth: Worth::default(),
            other_worth: Worth::default(),
            slots_lost: 0,
            times: [times(), times()],
            refused: 0,
            failed: 0,
            delivered: 0,
            attempts: 0,
            upgrades: Vec::new(),
            by_forwarder: vec![Worth::default(); world.fleet.len()],
            connections: 0,
            offered: vec![Vec::new(); world.partners.len()],
            deliveries: vec![Vec::new(); world.partners.len()],
        };
        for h in &world.hands {
            figures.by_forwarder[h.forwarder].asked += h.worth;
            figures.side(figures.troubled[h.partner]).asked += h.worth;
            figures.by_partner[h.partner].add(h.worth);
            figures.by_channel[h.tenant].add(h.worth);
            figures.windows[((h.at - START) / WINDOW) as usize].asked += h.worth;
        }
        figures
    }

    fn side(&mut self, troubled: bool) -> &mut Worth {
        if troubled {
            &mut self.troubled_worth
        } else {
            &mut self.other_worth
        }
    }

    /// An attempt went out.
    pub fn attempt(&mut self) {
        self.attempts += 1;
    }

    /// A call reached a partner.
    pub fn call(&mut self, now: Micros, partner: usize) {
        let second = (now.saturating_sub(START) / SECOND) as usize;
        let line = &mut self.offered[partner];
        if line.len() <= second {
            line.resize(second + 1, 0);
        }
        line[second] += 1;
    }

    /// How long after a time the next message was delivered at a partner.
    pub fn next_delivery(&self, partner: usize, from: Micros) -> Option<Micros> {
        let all = &self.deliveries[partner];
        all.get(all.partition_point(|t| *t < from)).map(|t| t - from)
    }

    /// For each trouble that a partner returns from: how long after its end the first message was delivered there.
    pub fn returns(&self, world: &World) -> Vec<(usize, Option<Micros>)> {
        let back = world.troubles.iter().filter(|t| t.3.is_outage());
        back.map(|t| (t.0, self.next_delivery(t.0, t.2))).collect()
    }

    /// An attempt came back.
    pub fn outcome(&mut self, of: Outcome) {
        self.outcomes[outcome(of)] += 1;
    }

    /// The worst of a partner's breakers is in this state now.
    pub fn breaker(&mut self, now: Micros, partner: usize, status: BreakerState) {
        let line = &mut self.breakers[partner];
        let before = line.last().map_or(BreakerState::Closed, |l| l.1);
        if before != status {
            line.push((now, status));
        }
    }

    /// A first try, or what came of it, was delivered.
    pub fn delivered(&mut self, now: Micros, first: usize) {
        let t = self.tries[first];
        if t.delivered {
            return;
        }
        self.tries[first].delivered = true;
        let age = now.saturating_sub(t.at);
        let late = age.saturating_sub(AIM) as f64 / AIM as f64;
        let got = f64::from(t.worth) * if age <= AIM { 1.0 } else { 0.5f64.powf(late).max(LATE) };
        let ms = (age / 1000).max(1);
        self.side(t.troubled).got += got;
        self.by_forwarder[t.forwarder as usize].got += got;
        self.deliveries[t.partner as usize].push(now);
        self.by_partner[t.partner as usize].deliver(now, got, ms);
        self.by_channel[t.tenant as usize].deliver(now, got, ms);
        self.windows[((t.at - START) / WINDOW) as usize].got += got;
        self.times[usize::from(!t.troubled)].saturating_record(ms);
        self.delivered += 1;
    }

    /// A message was given up.
    pub fn given_up(&mut self, refused: bool) {
        if refused {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }

    /// A call came back that had held a slot for so long.
    pub fn slot(&mut self, now: Micros, partner: usize, held: Micros) {
        let (from, to) = self.trouble;
        if self.troubled[partner] {
            let begin = (now - held).max(from);
            self.slots_lost += now.min(to).saturating_sub(begin);
        }
    }

    /// Worth of the whole day.
    pub fn worth(&self) -> Worth {
        let (a, b) = (self.troubled_worth, self.other_worth);
        Worth { asked: a.asked + b.asked, got: a.got + b.got }
    }

    /// The share of all slot time during the trouble that calls to troubled partners took.
    pub fn slots_lost(&self) -> f64 {
        let (from, to) = self.trouble;
        let all = (to.saturating_sub(from)) as f64 * self.slots as f64;
        if all > 0.0 {
            self.slots_lost as f64 / all
        } else {
            0.0
        }
    }

    /// A quantile of the delivery times, in milliseconds.
    pub fn time(&self, troubled: bool, quantile: f64) -> u64 {
        self.times[usize::from(!troubled)].value_at_quantile(quantile)
    }
}
