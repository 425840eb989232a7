//! Plays a day: forwarders, each with a decision module of its own, against the partners, in virtual time.
//!
//! It stands in for what the network code does round the module: steps no closer than the settings' granularity,
//! calls of several messages with one fate, cuts, timers, clients that come again after a refusal.

use crate::audit::{Audit, Breach, End, VIRTUAL};
use crate::figures::{Figures, Sample};
use crate::scenario::Signal;
use crate::world::{World, START};
use cedarbridge::routes::{Plan, Timing};
use cedarbridge::{
    Action, BreakerState, ClassId, DeliveryPolicy, DestinationId, EndpointEntry, EndpointId,
    EndpointListUpdate, Event, KindId, Lifecycle, LoadReport, MessageId, Micros, NewMessage, Outcome,
    TenantId,
};
use cedarbridge_endpoint_model::{Answer, DestinationModel, Fault, InFlightEffect};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

const CLASS: ClassId = ClassId(0);
const MS: Micros = 1_000;
/// A connection that carries nothing is closed after this.
const IDLE: Micros = 5_000_000;
/// How long the list takes to tell a change.
const LIST_DELAY: Micros = 1_000_000;
/// A connection that is not made by then never comes.
const DIAL: Micros = 1_500_000;
/// A forwarder that has been started is ready after this.
pub const STARTS: Micros = 60 * MS;
/// A client that finds nobody at a forwarder's address comes to another after this, or, if there is none, again
/// and again until its patience ends.
pub const ELSEWHERE: Micros = 50 * MS;
/// That patience.
pub const PATIENCE: Micros = 2_500 * MS;
/// A forwarder that ends in order takes connections for so long, ...
const LINGERS: Micros = 600 * MS;
/// ... and decides for so long, if it still holds something.
const DECIDES: Micros = 2_600 * MS;
/// In place of the time after which a forwarder is started again.
const NEVER: Micros = Micros::MAX;
/// How often it looks.
const LOOKS: Micros = 20 * MS;
/// From so many forwarders on they step at common moments, up to a step's length later than alone.
const GRID: usize = 16;
/// What is held is noted this often.
const SAMPLES: Micros = 500 * MS;
/// Breakers are noted for no more partners than a page shows.
const SHOWN: usize = 64;

enum What {
    Hand { first: usize, again: Option<usize>, tried: Micros },
    Step(usize),
    Timer(usize),
    Arrives(usize, u32),
    Back { call: usize, version: u32, part: Option<usize>, outcome: Outcome, report: Option<LoadReport> },
    Trouble,
    List { forwarder: usize, endpoint: usize, lifecycle: Lifecycle },
    Size(usize),
    Told(usize),
    Stop(usize),
    Leaves { forwarder: usize, since: Micros, back: Micros },
    Start(usize),
    Sample,
}

struct Part {
    message: usize,
    attempt: u32,
    cut_at: Micros,
    last: bool,
    waited_for: bool,
}

/// A call, or the room of one that is over. What was planned for an earlier version of it counts for nothing.
struct Call {
    forwarder: usize,
    endpoint: usize,
    sent: Micros,
    arrived: bool,
    /// The endpoint holds no more connections.
    unmade: bool,
    version: u32,
    parts: Vec<Part>,
}

/// A forwarder's connections to an endpoint.
#[derive(Clone, Default)]
struct Link {
    /// Calls out, each on one of them.
    out: u32,
    /// The most that were out at once.
    most: u32,
    /// Those that lead nowhere.
    stranded: u32,
    /// Since when those that carry nothing have stood idle, the oldest first.
    idle: VecDeque<Micros>,
}

impl Link {
    /// Connections that are there.
    fn held(&mut self, now: Micros) -> usize {
        while self.idle.front().is_some_and(|since| since + IDLE <= now) {
            self.idle.pop_front();
        }
        self.out as usize + self.idle.len()
    }
}

/// A message as the emulator knows it: one a hand-in.
struct Message {
    /// The client's first try, to which its worth and its later ones belong.
    first: u32,
    forwarder: u32,
    attempts: u32,
    call: Option<u32>,
    over: bool,
    retried: bool,
}

struct Forwarder {
    courier: DeliveryPolicy,
    events: Vec<Event>,
    last_step: Micros,
    due: Option<Micros>,
    /// What its list says of each endpoint.
    list: Vec<Lifecycle>,
    up: bool,
    takes: bool,
    starts: u64,
    /// Messages held.
    open: usize,
}

/// A forwarder's step.
struct Work {
    forwarder: usize,
    courier: DeliveryPolicy,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl Work {
    fn step(&mut self, now: Micros) {
        self.courier.step(now, &self.events, &mut self.actions);
    }
}

/// A day under way.
struct Day<'a> {
    world: &'a World,
    plan: Option<Arc<Plan>>,
    settings: cedarbridge::Settings,
    seed: u64,
    partners: Vec<DestinationModel>,
    forwarders: Vec<Forwarder>,
    messages: Vec<Message>,
    calls: Vec<Call>,
    free_calls: Vec<usize>,
    /// Calls out by partner.
    out: Vec<Vec<usize>>,
    /// By forwarder and endpoint.
    links: Vec<Link>,
    /// How many forwarders serve.
    size: usize,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    queue: Vec<Option<What>>,
    free: Vec<usize>,
    order: u64,
    rng: ChaCha8Rng,
    audit: Audit,
    figures: Figures,
    now: Micros,
    /// Messages without their final answer.
    open: usize,
    /// Forwarders step at common moments, so that many can be stepped side by side.
    grid: bool,
    /// Clients that look for a forwarder or will come again.
    looking: usize,
}

/// Plays a day with a plan, or without one; the seed is that of the network and the modules.
pub fn play(world: &World, plan: Option<Arc<Plan>>, seed: u64) -> (Figures, Vec<Breach>) {
    play_telling(world, plan, seed, &mut |_| {})
}

/// Plays a day and tells its time twice a second of it.
pub fn play_telling(
    world: &World,
    plan: Option<Arc<Plan>>,
    seed: u64,
    tell: &mut dyn FnMut(Micros),
) -> (Figures, Vec<Breach>) {
    let mut settings = world.settings.clone();
    settings.routes = plan.clone();
    let couriers = world.fleet.len();
    let size = world.sizes.first().filter(|s| s.at <= START).map_or(couriers, |s| s.count);
    let list: Vec<Lifecycle> = (0..world.list.len())
        .map(|e| if e < world.listed { Lifecycle::Listed } else { Lifecycle::Removed })
        .collect();
    settings.forwarders = size;
    let forwarders = (0..couriers)
        .map(|n| Forwarder {
            courier: courier(world, &settings, seed, n, 0),
            events: Vec::new(),
            last_step: 0,
            due: None,
            list: list.clone(),
            up: n < size,
            takes: n < size,
            starts: 0,
            open: 0,
        })
        .collect();
    let partners = world.partners.iter().zip(0u64..);
    let mut day = Day {
        audit: Audit::new(&settings, (couriers, world.partners.len(), world.list.len()), VIRTUAL),
        figures: Figures::new(world),
        partners: partners.map(|(m, n)| DestinationModel::new(m.clone(), seed ^ n << 16)).collect(),
        out: vec![Vec::new(); world.partners.len()],
        links: vec![Link::default(); couriers * world.list.len()],
        size,
        world,
        plan,
        settings,
        seed,
        forwarders,
        messages: Vec::with_capacity(world.hands.len() * 2),
        calls: Vec::new(),
        free_calls: Vec::new(),
        heap: BinaryHeap::new(),
        queue: Vec::new(),
        free: Vec::new(),
        order: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: START,
        open: 0,
        looking: 0,
        grid: couriers >= GRID,
    };
    day.begin();
    day.run(tell);
    let fallen: Vec<_> =
        day.partners.iter().enumerate().filter_map(|(i, p)| Some((i, p.overloaded_at()?))).collect();
    day.audit.close(day.now, fallen.into_iter());
    (day.figures, day.audit.broken)
}

fn courier(
    world: &World,
    of: &cedarbridge::Settings,
    seed: u64,
    forwarder: usize,
    start: u64,
) -> DeliveryPolicy {
    let seed = seed ^ (forwarder as u64 + 1) << 32 ^ start << 48;
    let routes = of.routes.clone();
    let settings = cedarbridge::Settings { routes, ..world.told_to(forwarder, of.forwarders) };
    DeliveryPolicy::new(settings, seed).expect("settings that make sense")
}

impl Day<'_> {
    /// Ties in time go by the order in which events were made.
    fn at(&mut self, time: Micros, what: What) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.queue.push(None);
            self.queue.len() - 1
        });
        self.queue[slot] = Some(what);
        self.order += 1;
        // The order above, the slot below: both fit, as no day has 2^24 events planned at once.
        self.heap.push(Reverse((time, self.order << 24 | slot as u64)));
    }

    fn begin(&mut self) {
        for f in 0..self.size {
            self.tell_whole_list(f);
        }
        for (n, size) in self.world.sizes.iter().enumerate().filter(|s| s.1.at > START) {
            self.at(size.at, What::Size(n));
        }
        for (_, from, to, _) in &self.world.troubles {
            self.at(*from, What::Trouble);
            self.at(*to, What::Trouble);
        }
        for forwarder in 0..self.forwarders.len() {
            for (at, endpoint, lifecycle) in self.world.changes.iter().copied() {
                let later = self.rng.random_range(0..LIST_DELAY);
                self.at(at + LIST_DELAY + later, What::List { forwarder, endpoint, lifecycle });
            }
        }
        for (n, stop) in self.world.stops.iter().enumerate() {
            self.at(stop.at, What::Stop(n));
        }
        if let Some(first) = self.world.hands.first() {
            self.at(first.at, What::Hand { first: 0, again: None, tried: first.at });
        }
        self.at(START, What::Sample);
    }

    fn run(&mut self, tell: &mut dyn FnMut(Micros)) {
        while let Some(Reverse((time, key))) = self.heap.pop() {
            let slot = (key & 0xff_ffff) as usize;
            let Some(what) = self.queue[slot].take() else { continue };
            self.free.push(slot);
            // What is left after the last end changes nothing.
            let over = time > self.world.end && self.open == 0 && self.looking == 0;
            if over && !matches!(what, What::Hand { .. }) {
                break;
            }
            self.now = time;
            match what {
                What::Hand { first, again, tried } => self.hand_in(first, again, tried),
                What::Step(f) if self.grid => self.steps(f),
                What::Step(f) => {
                    let mut one: Vec<Work> = self.prepare(f).into_iter().collect();
                    one.iter_mut().for_each(|w| w.step(time + self.world.fleet[f].clock));
                    one.into_iter().for_each(|w| self.carry_out(w));
                }
                What::Timer(f) => self.wake(f, time),
                What::Arrives(call, version) => self.arrives(call, version),
                What::Back { call, version, part, outcome, report } => {
                    if self.calls[call].version == version {
                        self.back(call, part, outcome, report);
                    }
                }
                What::Trouble => self.troubles(),
                What::List { forwarder, endpoint, lifecycle } => {
                    self.forwarders[forwarder].list[endpoint] = lifecycle;
                    if self.forwarders[forwarder].up {
                        self.audit.lists(time, forwarder, endpoint, lifecycle);
                        let entry = EndpointEntry { lifecycle, ..self.world.list[endpoint].0.clone() };
                        self.tell(forwarder, Event::EndpointList(EndpointListUpdate::Patch(vec![entry])));
                    }
                }
                What::Size(n) => self.resize(n),
                What::Told(forwarder) => self.tell_settings(forwarder),
                What::Stop(n) => self.stop(n),
                What::Leaves { forwarder, since, back } => self.leaves(forwarder, since, back),
                What::Start(forwarder) => self.start(forwarder),
                What::Sample => {
                    tell(time);
                    self.sample();
                }
            }
        }
    }

    fn sample(&mut self) {
        let out = self.out.iter().map(Vec::len).sum();
        self.figures.samples.push(Sample { at: self.now, held: self.open, out });
        if self.partners.len() <= SHOWN {
            let mut worst = vec![BreakerState::Closed; self.partners.len()];
            for f in self.forwarders.iter().filter(|f| f.up) {
                for s in f.courier.status(self.now) {
                    let w = &mut worst[s.destination.0 as usize];
                    *w = (*w).max(s.breaker);
                }
            }
            worst.into_iter().enumerate().for_each(|(p, s)| self.figures.breaker(self.now, p, s));
        }
        self.at(self.now + SAMPLES, What::Sample);
    }

    /// Troubles begin or end; several may hold at one partner.
    fn troubles(&mut self) {
        let now = self.now;
        let world = self.world;
        let touched = world.troubles.iter().filter(|t| t.1 == now || t.2 == now).map(|t| t.0);
        for partner in touched.collect::<std::collections::BTreeSet<_>>() {
            let of = || world.troubles.iter().filter(move |t| t.0 == partner);
            let held = of().filter(|t| t.1 <= now && now < t.2).map(|t| t.3).collect();
            self.partners[partner].set_faults(now, held);
            for begun in of().filter(|t| t.1 == now).map(|t| t.3) {
                if begun == Fault::HalfOpenConnections {
                    self.strand(partner);
                }
                if let Some(taken) = begun.effect_on_calls_in_flight() {
                    self.take_under_way(partner, taken);
                }
            }
        }
    }

    /// The connections that forwarders have to a partner lead nowhere from now on.
    fn strand(&mut self, partner: usize) {
        let width = self.world.list.len();
        for (n, link) in self.links.iter_mut().enumerate() {
            if self.world.list[n % width].1 == partner {
                link.stranded = link.most;
            }
        }
    }

    /// What a partner had in work comes to nothing.
    fn take_under_way(&mut self, partner: usize, taken: InFlightEffect) {
        for number in self.out[partner].clone() {
            if !self.calls[number].arrived {
                continue;
            }
            let answer = match taken {
                InFlightEffect::Broken => Some((self.now + self.network(), Outcome::Reset)),
                InFlightEffect::Silent => None,
            };
            self.settle(number, answer, None, false);
        }
    }

    fn tell(&mut self, forwarder: usize, event: Event) {
        self.forwarders[forwarder].events.push(event);
        self.wake(forwarder, self.now);
    }

    fn tell_whole_list(&mut self, forwarder: usize) {
        let list = &self.forwarders[forwarder].list;
        let entries = self.world.list.iter().zip(list).filter(|(_, l)| **l != Lifecycle::Removed);
        let all = entries.map(|(e, l)| EndpointEntry { lifecycle: *l, ..e.0.clone() }).collect();
        self.tell(forwarder, Event::EndpointList(EndpointListUpdate::Complete(all)));
    }

    /// A step no later than that, but not sooner after the last one than the settings say.
    fn wake(&mut self, forwarder: usize, at: Micros) {
        let f = &mut self.forwarders[forwarder];
        if !f.up {
            return;
        }
        let at = at.max(f.last_step + self.world.settings.min_step_interval);
        let at =
            if self.grid { at.next_multiple_of(self.world.settings.min_step_interval.max(1)) } else { at };
        if f.due.is_none_or(|due| at < due) {
            f.due = Some(at);
            self.at(at, What::Step(forwarder));
        }
    }

    fn timing(&self, message: usize) -> Timing {
        let partner = self.world.hands[self.messages[message].first as usize].partner;
        let (to, kind) = (DestinationId(partner as u64), KindId(self.world.kinds[partner]));
        self.plan.as_ref().map_or(Timing::default(), |p| p.timing(to, Some(kind), CLASS))
    }

    /// A forwarder that takes what is handed in: that one, or else the next.
    fn taker(&self, from: usize) -> Option<usize> {
        let n = self.forwarders.len();
        (0..n).map(|i| (from + i) % n).find(|f| self.forwarders[*f].takes)
    }

    fn hand_in(&mut self, first: usize, again: Option<usize>, tried: Micros) {
        let hand = self.world.hands[first];
        let fresh = again.is_none() && tried == self.now;
        if fresh {
            if let Some(next) = self.world.hands.get(first + 1) {
                self.at(next.at, What::Hand { first: first + 1, again: None, tried: next.at });
            }
        }
        self.looking -= usize::from(!fresh);
        // A client that comes again may come to any forwarder.
        let to = if again.is_some() { self.rng.random_range(0..self.size) } else { hand.forwarder };
        let deadline = hand.at + self.world.settings.classes[0].deadline;
        if self.now >= deadline {
            return;
        }
        let Some(forwarder) = self.taker(to) else {
            // Nobody there at all.
            if self.now + ELSEWHERE < tried + PATIENCE {
                self.looking += 1;
                self.at(self.now + ELSEWHERE, What::Hand { first, again, tried });
            } else {
                self.figures.given_up(true);
            }
            return;
        };
        if forwarder != to && tried == self.now {
            self.looking += 1;
            return self.at(self.now + ELSEWHERE, What::Hand { first, again, tried });
        }
        let id = self.messages.len();
        let message = Message {
            first: first as u32,
            forwarder: forwarder as u32,
            attempts: 0,
            call: None,
            over: false,
            retried: again.is_some(),
        };
        self.messages.push(message);
        self.open += 1;
        self.forwarders[forwarder].open += 1;
        self.audit.taken(self.now, forwarder, hand.at, deadline - self.now);
        self.give(forwarder, id, deadline, again.is_some(), false);
    }

    fn give(&mut self, forwarder: usize, id: usize, deadline: Micros, again: bool, orphan: bool) {
        let m = &self.messages[id];
        let hand = &self.world.hands[m.first as usize];
        let message = NewMessage {
            id: MessageId(id as u64),
            class: CLASS,
            tenant: Some(TenantId(hand.tenant)),
            key: None,
            time_left: deadline.saturating_sub(self.now),
            destination: DestinationId(hand.partner as u64),
            failed_over: orphan,
            first_attempt: None,
            client_retry: again,
            // Only what an earlier process had comes with attempts, or marked as an orphan.
            restored: orphan || m.attempts > 0,
            attempts: m.attempts,
        };
        self.tell(forwarder, Event::Message(message));
    }

    fn stop(&mut self, number: usize) {
        let stop = self.world.stops[number];
        match stop.signal {
            Signal::Hup => self.tell_settings(stop.forwarder),
            Signal::Stall => self.stall(stop.forwarder, stop.back),
            Signal::Kill => self.die(stop.forwarder, stop.back),
            // All that the module knows passes to the new process.
            Signal::Upgrade => {}
            Signal::Term => {
                let (forwarder, since, back) = (stop.forwarder, self.now, stop.back);
                self.at(self.now + LINGERS, What::Leaves { forwarder, since, back });
            }
        }
    }

    fn tell_settings(&mut self, forwarder: usize) {
        if self.forwarders[forwarder].up {
            let routes = self.settings.routes.clone();
            let told = self.world.told_to(forwarder, self.settings.forwarders);
            self.tell(forwarder, Event::Settings(Box::new(cedarbridge::Settings { routes, ..told })));
        }
    }

    /// More forwarders serve from now on, or fewer; each of the others is told so at a time of its own.
    fn resize(&mut self, number: usize) {
        let to = self.world.sizes[number];
        let before = std::mem::replace(&mut self.size, to.count);
        self.settings.forwarders = to.count;
        (before..to.count).for_each(|f| self.at(self.now, What::Start(f)));
        for forwarder in to.count..before {
            let since = self.now;
            self.at(self.now + LINGERS, What::Leaves { forwarder, since, back: NEVER });
        }
        for forwarder in 0..before.min(to.count) {
            let later = self.rng.random_range(0..=to.within);
            self.at(self.now + later, What::Told(forwarder));
        }
    }

    /// It takes no step until it goes on; what comes meanwhile waits for it.
    fn stall(&mut self, forwarder: usize, lasts: Micros) {
        let until = self.now + lasts;
        self.audit.excuse(forwarder, self.now, until + 1_500 * MS);
        let f = &mut self.forwarders[forwarder];
        if f.up {
            // The next step may not come sooner after this one.
            f.last_step = until.saturating_sub(self.world.settings.min_step_interval);
            f.due = None;
            self.wake(forwarder, until);
        }
    }

    /// It takes nothing any more and leaves once all it holds has ended, or in the end without that.
    fn leaves(&mut self, forwarder: usize, since: Micros, back: Micros) {
        self.forwarders[forwarder].takes = false;
        if self.forwarders[forwarder].open == 0 || self.now >= since + DECIDES {
            return self.die(forwarder, back);
        }
        self.at(self.now + LOOKS, What::Leaves { forwarder, since, back });
    }

    fn die(&mut self, forwarder: usize, back: Micros) {
        let f = &mut self.forwarders[forwarder];
        (f.up, f.takes, f.due) = (false, false, None);
        f.events.clear();
        self.audit.died(self.now, forwarder);
        let ready = self.now.saturating_add(back).saturating_add(STARTS);
        self.audit.excuse(forwarder, self.now, ready.saturating_add(1_500 * MS));
        for number in 0..self.calls.len() {
            let c = &mut self.calls[number];
            if c.forwarder == forwarder && c.parts.iter().any(|p| p.waited_for) {
                for p in &mut c.parts {
                    p.waited_for = false;
                    self.messages[p.message].call = None;
                }
                self.release(number, false);
            }
        }
        let width = self.world.list.len();
        for link in &mut self.links[forwarder * width..(forwarder + 1) * width] {
            link.idle.clear();
        }
        if back < NEVER {
            return self.at(ready, What::Start(forwarder));
        }
        // It leaves for good: what its folder held is handed to others.
        for id in 0..self.messages.len() {
            if self.messages[id].forwarder as usize == forwarder && !self.messages[id].over {
                let other = self.rng.random_range(0..self.size);
                self.messages[id].forwarder = other as u32;
                self.forwarders[forwarder].open -= 1;
                self.forwarders[other].open += 1;
                self.audit.moved(id, other);
                self.give_again(other, id);
            }
        }
    }

    /// A message that was held by a process that is gone.
    fn give_again(&mut self, forwarder: usize, id: usize) {
        let m = &self.messages[id];
        let ran = m.attempts > 0;
        let deadline = self.world.hands[m.first as usize].at + self.world.settings.classes[0].deadline;
        self.give(forwarder, id, deadline, !ran, ran);
    }

    /// It is back with what its journal holds.
    fn start(&mut self, forwarder: usize) {
        let f = &mut self.forwarders[forwarder];
        f.starts += 1;
        f.courier = courier(self.world, &self.settings, self.seed, forwarder, f.starts);
        (f.up, f.takes) = (true, true);
        for (endpoint, lifecycle) in f.list.clone().into_iter().enumerate() {
            self.audit.lists(self.now, forwarder, endpoint, lifecycle);
        }
        self.tell_whole_list(forwarder);
        for id in 0..self.messages.len() {
            let m = &self.messages[id];
            if m.forwarder as usize == forwarder && !m.over {
                self.give_again(forwarder, id);
            }
        }
    }

    /// All forwarders that step at this moment, side by side: none hears of another before the moment is over.
    fn steps(&mut self, first: usize) {
        let now = self.now;
        let mut due = vec![first];
        while let Some(Reverse((time, key))) = self.heap.peek().copied().filter(|h| h.0 .0 == now) {
            let slot = (key & 0xff_ffff) as usize;
            if !matches!(self.queue[slot], Some(What::Step(_))) {
                // It is heard before the steps: they are put off to behind it.
                due.drain(..).for_each(|f| self.at(time, What::Step(f)));
                return;
            }
            self.heap.pop();
            if let Some(What::Step(f)) = self.queue[slot].take() {
                due.push(f);
            }
            self.free.push(slot);
        }
        let mut work: Vec<Work> = due.into_iter().filter_map(|f| self.prepare(f)).collect();
        let fleet = &self.world.fleet;
        work.par_iter_mut().for_each(|w| w.step(now + fleet[w.forwarder].clock));
        work.into_iter().for_each(|w| self.carry_out(w));
    }

    /// A forwarder's step with its events, if it is due.
    fn prepare(&mut self, forwarder: usize) -> Option<Work> {
        let now = self.now;
        let f = &mut self.forwarders[forwarder];
        // One that was set for an earlier time has made this one idle.
        if f.due != Some(now) {
            return None;
        }
        f.due = None;
        f.last_step = now;
        let mut events = std::mem::take(&mut f.events);
        for event in &mut events {
            // A message's time runs on until the step that takes it.
            if let Event::Message(m) = event {
                let first = self.messages[m.id.0 as usize].first as usize;
                let deadline = self.world.hands[first].at + self.world.settings.classes[0].deadline;
                m.time_left = deadline.saturating_sub(now);
            }
        }
        Some(Work { forwarder, courier: std::mem::take(&mut f.courier), events, actions: Vec::new() })
    }

    fn carry_out(&mut self, work: Work) {
        let (now, forwarder) = (self.now, work.forwarder);
        let clock = self.world.fleet[forwarder].clock;
        self.forwarders[forwarder].courier = work.courier;
        let mut open: Option<(u64, usize)> = None;
        for action in work.actions {
            match action {
                Action::Send { id, endpoint, call, timeout_at: cut_at, final_attempt: last, .. } => {
                    let number = match open.filter(|o| o.0 == call) {
                        Some((_, number)) => number,
                        None => self.begin_call(forwarder, endpoint),
                    };
                    open = Some((call, number));
                    self.add_part(number, id.0 as usize, cut_at.saturating_sub(clock), last);
                }
                Action::Reject { id, retry_after, .. } => self.end(id.0 as usize, Some(retry_after)),
                Action::Fail { id, .. } => self.end(id.0 as usize, None),
                Action::Cancel { id, attempt } => self.cancel(id.0 as usize, attempt),
                Action::Timer { delay, .. } => self.at(now + delay, What::Timer(forwarder)),
                Action::CloseIdle { endpoint } => {
                    let at = forwarder * self.world.list.len() + endpoint.0 as usize - 1;
                    self.links[at].idle.clear();
                }
                Action::HealthCheck { .. } | Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn begin_call(&mut self, forwarder: usize, endpoint: EndpointId) -> usize {
        let endpoint = endpoint.0 as usize - 1;
        let number = self.free_calls.pop().unwrap_or_else(|| {
            let parts = Vec::new();
            let (forwarder, endpoint, sent, arrived, unmade, version) = Default::default();
            self.calls.push(Call { forwarder, endpoint, sent, arrived, unmade, version, parts });
            self.calls.len() - 1
        });
        let c = &mut self.calls[number];
        (c.forwarder, c.endpoint, c.sent, c.arrived) = (forwarder, endpoint, self.now, false);
        c.parts.clear();
        let version = c.version;
        self.out[self.world.list[endpoint].1].push(number);
        self.calls[number].unmade = !self.connect(forwarder, endpoint);
        let there = self.now + self.network();
        self.at(there, What::Arrives(number, version));
        number
    }

    /// A call takes an idle connection, or has one made; false if the endpoint holds no more.
    fn connect(&mut self, forwarder: usize, endpoint: usize) -> bool {
        let (now, width) = (self.now, self.world.list.len());
        let most = self.world.connections[self.world.list[endpoint].1];
        let at = forwarder * width + endpoint;
        self.links[at].held(now);
        let reused = self.links[at].idle.pop_back().is_some();
        let mut held =
            || self.links.iter_mut().skip(endpoint).step_by(width).map(|l| l.held(now)).sum::<usize>();
        let made = reused || most == usize::MAX || held() < most;
        let link = &mut self.links[at];
        link.out += u32::from(made);
        link.most = link.most.max(link.out);
        self.figures.connections += u64::from(made && !reused);
        made
    }

    /// A call is over: what is still planned for it counts for nothing, and its room is used again. Its connection
    /// stays, if an answer came on it.
    fn release(&mut self, number: usize, answered: bool) {
        let c = &mut self.calls[number];
        c.version = c.version.wrapping_add(1);
        let (forwarder, endpoint, unmade) = (c.forwarder, c.endpoint, c.unmade);
        let out = &mut self.out[self.world.list[endpoint].1];
        if let Some(at) = out.iter().position(|o| *o == number) {
            out.swap_remove(at);
        }
        let link = &mut self.links[forwarder * self.world.list.len() + endpoint];
        if !unmade {
            link.out = link.out.saturating_sub(1);
            link.idle.extend(answered.then_some(self.now));
        }
        self.free_calls.push(number);
    }

    fn network(&mut self) -> Micros {
        self.rng.random_range(self.world.network.0..=self.world.network.1)
    }

    fn add_part(&mut self, number: usize, message: usize, cut_at: Micros, last: bool) {
        let call = &mut self.calls[number];
        let endpoint = call.endpoint;
        let m = &mut self.messages[message];
        call.parts.push(Part { message, attempt: m.attempts, cut_at, last, waited_for: true });
        m.attempts += 1;
        m.call = Some(number as u32);
        let timing = self.timing(message);
        let partner = self.world.list[endpoint].1;
        self.audit.sent(self.now, self.now, (partner, endpoint), message, &timing);
        self.figures.attempt();
    }

    /// The call's last byte has come: its fate is settled, and with it what comes back first, answer or cut.
    fn arrives(&mut self, number: usize, version: u32) {
        let call = &mut self.calls[number];
        if call.version != version {
            return;
        }
        call.arrived = true;
        if call.unmade {
            let back = self.now + self.network();
            return self.settle(number, Some((back, Outcome::ConnectFailed)), None, true);
        }
        let (forwarder, endpoint, sent, parts) = (call.forwarder, call.endpoint, call.sent, call.parts.len());
        let (_, partner, place) = self.world.list[endpoint];
        let link = &mut self.links[forwarder * self.world.list.len() + endpoint];
        if link.stranded > 0 {
            link.stranded -= 1;
            if self.partners[partner].visible_fault() == Some(Fault::HalfOpenConnections) {
                return self.settle(number, None, None, false);
            }
        }
        self.figures.call(self.now, partner);
        let fate = self.partners[partner].call(self.now, place, parts);
        let back = self.network();
        let report = fate.report.map(|r| LoadReport { remaining_share: r.remaining_share, rate: r.rate });
        let answer = match fate.answer.map(|a| (a.at, a.answer)) {
            Some((_, Answer::ConnectionRefused)) => Some((self.now + back, Outcome::ConnectFailed)),
            Some((at, Answer::Ok)) => Some((at + back, Outcome::Ok)),
            Some((at, Answer::ConnectionBroken)) => Some((at + back, Outcome::Reset)),
            Some((at, Answer::Error)) => Some((at + back, Outcome::Error)),
            Some((at, Answer::Rejected(wait))) => Some((at + back, Outcome::Rejected(wait))),
            None if fate.unconnected => Some((sent + DIAL, Outcome::ConnectFailed)),
            None => None,
        };
        self.settle(number, answer, report, fate.unconnected);
    }

    /// Plans how a call ends: by its answer, if one comes, or by its cuts; what was planned before is void.
    fn settle(
        &mut self,
        number: usize,
        answer: Option<(Micros, Outcome)>,
        report: Option<LoadReport>,
        unconnected: bool,
    ) {
        // As on sockets: one whose own time is up is given up alone, or else the first cut ends the call.
        let call = &mut self.calls[number];
        call.version = call.version.wrapping_add(1);
        let version = call.version;
        let waited = || call.parts.iter().filter(|p| p.waited_for);
        let firm = waited().filter(|p| !p.last).map(|p| p.cut_at).min();
        let Some(latest) = waited().map(|p| p.cut_at).max() else { return };
        let cut = firm.unwrap_or(latest);
        let end = answer.map_or(cut, |a| a.0.min(cut));
        let alone: Vec<(usize, Micros)> =
            call.parts.iter().enumerate().map(|(n, p)| (n, p.cut_at)).filter(|p| p.1 < end).collect();
        for (part, at) in alone {
            let what = What::Back {
                call: number,
                version,
                part: Some(part),
                outcome: Outcome::TimedOut,
                report: None,
            };
            self.at(at.max(self.now), what);
        }
        let (outcome, report) = match answer {
            Some((at, outcome)) if at < cut => {
                (outcome, report.filter(|_| outcome != Outcome::ConnectFailed))
            }
            // Nothing was connected by then, so nothing can have run.
            _ if unconnected => (Outcome::ConnectFailed, None),
            _ => (Outcome::TimedOut, None),
        };
        let what = What::Back { call: number, version, part: None, outcome, report };
        self.at(end.max(self.now), what);
    }

    fn back(&mut self, number: usize, part: Option<usize>, outcome: Outcome, report: Option<LoadReport>) {
        let call = &mut self.calls[number];
        let (forwarder, endpoint, sent) = (call.forwarder, call.endpoint, call.sent);
        let partner = self.world.list[endpoint].1;
        let due: Vec<(usize, u32)> = call
            .parts
            .iter_mut()
            .enumerate()
            .filter(|(n, p)| p.waited_for && part.is_none_or(|only| only == *n))
            .map(|(_, p)| {
                p.waited_for = false;
                (p.message, p.attempt)
            })
            .collect();
        if call.parts.iter().all(|p| !p.waited_for) && !due.is_empty() {
            self.figures.slot(self.now, partner, self.now - sent);
            let answered = matches!(outcome, Outcome::Ok | Outcome::Rejected(_) | Outcome::Error);
            self.release(number, answered);
        }
        for (message, attempt) in due {
            self.audit.back(self.now, partner, message, sent, outcome);
            self.figures.outcome(outcome);
            self.messages[message].call = None;
            let ended = outcome == Outcome::Ok;
            if ended && !self.messages[message].over {
                let timing = self.timing(message);
                self.audit.ended(self.now, message, &timing, End::Delivered);
                self.over(message);
                self.figures.delivered(self.now, self.messages[message].first as usize);
            }
            self.tell(
                forwarder,
                Event::AttemptEnded {
                    id: MessageId(message as u64),
                    attempt,
                    endpoint: EndpointId(endpoint as u32 + 1),
                    outcome,
                    elapsed: self.now - sent,
                    ended,
                    report,
                },
            );
        }
    }

    fn over(&mut self, message: usize) {
        let m = &mut self.messages[message];
        if !m.over {
            m.over = true;
            self.open -= 1;
            self.forwarders[m.forwarder as usize].open -= 1;
        }
    }

    fn cancel(&mut self, message: usize, attempt: u32) {
        let Some(number) = self.messages[message].call.map(|c| c as usize) else { return };
        let call = &self.calls[number];
        let place = call.parts.iter().position(|p| p.message == message && p.attempt == attempt);
        if let Some(part) = place {
            let (part, outcome, version) = (Some(part), Outcome::Cancelled, call.version);
            self.at(self.now, What::Back { call: number, version, part, outcome, report: None });
        }
    }

    /// The module's end of a message; refused, with advice on when to come again, or failed.
    fn end(&mut self, message: usize, refused: Option<Option<Micros>>) {
        let timing = self.timing(message);
        let end = if refused.is_some() { End::Refused } else { End::Failed };
        self.audit.ended(self.now, message, &timing, end);
        self.over(message);
        let m = &self.messages[message];
        let (first, retried) = (m.first as usize, m.retried);
        self.figures.given_up(refused.is_some());
        let Some(advice) = refused else { return };
        if let Some(wait) = self.world.hands[first].again.filter(|_| !retried) {
            let later = self.now + advice.unwrap_or(0).max(wait);
            self.looking += 1;
            self.at(later, What::Hand { first, again: Some(message), tried: later });
        }
    }
}
