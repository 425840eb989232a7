//! Plays a day: forwarders, each with a decision module of its own, against the partners, in virtual time.
//!
//! It stands in for what the network code does round the module: steps no closer than the settings' granularity,
//! calls of several messages with one fate, cuts, timers, clients that come again after a refusal.

use crate::audit::{Audit, End, RuleViolation, VIRTUAL};
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
const IDLE_TIMEOUT: Micros = 5_000_000;
/// How long the list takes to tell a change.
const LIST_DELAY: Micros = 1_000_000;
/// A connection that is not made by then never comes.
const CONNECT_TIMEOUT: Micros = 1_500_000;
/// A forwarder that has been started is ready after this.
pub const STARTUP_TIME: Micros = 60 * MS;
/// A client that finds nobody at a forwarder's address comes to another after this, or, if there is none, again
/// and again until its patience ends.
pub const RECONNECT_DELAY: Micros = 50 * MS;
/// That patience.
pub const CLIENT_PATIENCE: Micros = 2_500 * MS;
/// A forwarder that ends in order takes connections for so long, ...
const ACCEPT_WHILE_DRAINING: Micros = 600 * MS;
/// ... and decides for so long, if it still holds something.
const DRAIN_LIMIT: Micros = 2_600 * MS;
/// In place of the time after which a forwarder is started again.
const NEVER_RESTARTED: Micros = Micros::MAX;
/// How often it looks.
const DRAIN_POLL: Micros = 20 * MS;
/// From so many forwarders on they step at common moments, up to a step's length later than alone.
const COMMON_STEP_FLEET: usize = 16;
/// What is held is noted this often.
const SAMPLE_INTERVAL: Micros = 500 * MS;
/// Breakers are noted for no more partners than a page shows.
const MAX_BREAKERS_SAMPLED: usize = 64;

enum SimulationEvent {
    Request {
        first: usize,
        retry_of: Option<usize>,
        first_tried: Micros,
    },
    PolicyStep(usize),
    Timer(usize),
    CallArrives(usize, u32),
    CallEnds {
        call: usize,
        version: u32,
        attempt_index: Option<usize>,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    FaultChange,
    ListChange {
        forwarder: usize,
        endpoint: usize,
        lifecycle: Lifecycle,
    },
    FleetSize(usize),
    SettingsUpdate(usize),
    Stop(usize),
    DrainCheck {
        forwarder: usize,
        since: Micros,
        back: Micros,
    },
    Start(usize),
    Sample,
}

struct Attempt {
    message: usize,
    attempt: u32,
    timeout_at: Micros,
    final_attempt: bool,
    pending: bool,
}

/// A call, or the room of one that is over. What was planned for an earlier version of it counts for nothing.
struct Call {
    forwarder: usize,
    endpoint: usize,
    sent: Micros,
    arrived: bool,
    /// The endpoint holds no more connections.
    connect_failed: bool,
    version: u32,
    attempts: Vec<Attempt>,
}

/// A forwarder's connections to an endpoint.
#[derive(Clone, Default)]
struct EndpointLink {
    /// Calls out, each on one of them.
    in_flight: u32,
    /// The most that were out at once.
    peak: u32,
    /// Those that lead nowhere.
    stranded: u32,
    /// Since when those that carry nothing have stood idle, the oldest first.
    idle: VecDeque<Micros>,
}

impl EndpointLink {
    /// Connections that are there.
    fn open_connections(&mut self, now: Micros) -> usize {
        while self.idle.front().is_some_and(|since| since + IDLE_TIMEOUT <= now) {
            self.idle.pop_front();
        }
        self.in_flight as usize + self.idle.len()
    }
}

/// A message as the emulator knows it: one a hand-in.
struct Message {
    /// The client's first try, to which its worth and its later ones belong.
    first: u32,
    forwarder: u32,
    attempts: u32,
    call: Option<u32>,
    closed: bool,
    is_retry: bool,
}

struct Forwarder {
    policy: DeliveryPolicy,
    events: Vec<Event>,
    last_step: Micros,
    due: Option<Micros>,
    /// What its list says of each endpoint.
    list: Vec<Lifecycle>,
    up: bool,
    accepts: bool,
    starts: u64,
    /// Messages held.
    open: usize,
}

/// A forwarder's step.
struct PolicyStep {
    forwarder: usize,
    policy: DeliveryPolicy,
    events: Vec<Event>,
    actions: Vec<Action>,
}

impl PolicyStep {
    fn step(&mut self, now: Micros) {
        self.policy.step(now, &self.events, &mut self.actions);
    }
}

/// A day under way.
struct Simulation<'a> {
    world: &'a World,
    plan: Option<Arc<Plan>>,
    settings: cedarbridge::Settings,
    seed: u64,
    destinations: Vec<DestinationModel>,
    forwarders: Vec<Forwarder>,
    messages: Vec<Message>,
    calls: Vec<Call>,
    free_calls: Vec<usize>,
    /// Calls out by partner.
    in_flight: Vec<Vec<usize>>,
    /// By forwarder and endpoint.
    links: Vec<EndpointLink>,
    /// How many forwarders serve.
    size: usize,
    agenda: BinaryHeap<Reverse<(Micros, u64)>>,
    event_slots: Vec<Option<SimulationEvent>>,
    free_slots: Vec<usize>,
    next_sequence: u64,
    rng: ChaCha8Rng,
    audit: Audit,
    figures: Figures,
    now: Micros,
    /// Messages without their final answer.
    open: usize,
    /// Forwarders step at common moments, so that many can be stepped side by side.
    common_steps: bool,
    /// Clients that look for a forwarder or will come again.
    clients_waiting: usize,
}

/// Plays a day with a plan, or without one; the seed is that of the network and the modules.
pub fn simulate(world: &World, plan: Option<Arc<Plan>>, seed: u64) -> (Figures, Vec<RuleViolation>) {
    simulate_with_progress(world, plan, seed, &mut |_| {})
}

/// Plays a day and tells its time twice a second of it.
pub fn simulate_with_progress(
    world: &World,
    plan: Option<Arc<Plan>>,
    seed: u64,
    report_progress: &mut dyn FnMut(Micros),
) -> (Figures, Vec<RuleViolation>) {
    let mut settings = world.settings.clone();
    settings.routes = plan.clone();
    let forwarder_count = world.fleet.len();
    let size = world.sizes.first().filter(|s| s.at <= START).map_or(forwarder_count, |s| s.count);
    let list: Vec<Lifecycle> = (0..world.list.len())
        .map(|e| if e < world.listed { Lifecycle::Listed } else { Lifecycle::Removed })
        .collect();
    settings.forwarders = size;
    let forwarders = (0..forwarder_count)
        .map(|n| Forwarder {
            policy: new_policy(world, &settings, seed, n, 0),
            events: Vec::new(),
            last_step: 0,
            due: None,
            list: list.clone(),
            up: n < size,
            accepts: n < size,
            starts: 0,
            open: 0,
        })
        .collect();
    let destinations = world.destinations.iter().zip(0u64..);
    let mut day = Simulation {
        audit: Audit::new(&settings, (forwarder_count, world.destinations.len(), world.list.len()), VIRTUAL),
        figures: Figures::new(world),
        destinations: destinations.map(|(m, n)| DestinationModel::new(m.clone(), seed ^ n << 16)).collect(),
        in_flight: vec![Vec::new(); world.destinations.len()],
        links: vec![EndpointLink::default(); forwarder_count * world.list.len()],
        size,
        world,
        plan,
        settings,
        seed,
        forwarders,
        messages: Vec::with_capacity(world.requests.len() * 2),
        calls: Vec::new(),
        free_calls: Vec::new(),
        agenda: BinaryHeap::new(),
        event_slots: Vec::new(),
        free_slots: Vec::new(),
        next_sequence: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: START,
        open: 0,
        clients_waiting: 0,
        common_steps: forwarder_count >= COMMON_STEP_FLEET,
    };
    day.begin();
    day.run(report_progress);
    let overloaded: Vec<_> =
        day.destinations.iter().enumerate().filter_map(|(i, p)| Some((i, p.overloaded_at()?))).collect();
    day.audit.close(day.now, overloaded.into_iter());
    (day.figures, day.audit.violations)
}

fn new_policy(
    world: &World,
    of: &cedarbridge::Settings,
    seed: u64,
    forwarder: usize,
    start: u64,
) -> DeliveryPolicy {
    let seed = seed ^ (forwarder as u64 + 1) << 32 ^ start << 48;
    let routes = of.routes.clone();
    let settings = cedarbridge::Settings { routes, ..world.settings_for(forwarder, of.forwarders) };
    DeliveryPolicy::new(settings, seed).expect("settings that make sense")
}

impl Simulation<'_> {
    /// Ties in time go by the order in which events were made.
    fn schedule(&mut self, time: Micros, event: SimulationEvent) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.event_slots.push(None);
            self.event_slots.len() - 1
        });
        self.event_slots[slot] = Some(event);
        self.next_sequence += 1;
        // The order above, the slot below: both fit, as no day has 2^24 events planned at once.
        self.agenda.push(Reverse((time, self.next_sequence << 24 | slot as u64)));
    }

    fn begin(&mut self) {
        for f in 0..self.size {
            self.push_complete_list(f);
        }
        for (n, size) in self.world.sizes.iter().enumerate().filter(|s| s.1.at > START) {
            self.schedule(size.at, SimulationEvent::FleetSize(n));
        }
        for (_, from, to, _) in &self.world.faults {
            self.schedule(*from, SimulationEvent::FaultChange);
            self.schedule(*to, SimulationEvent::FaultChange);
        }
        for forwarder in 0..self.forwarders.len() {
            for (at, endpoint, lifecycle) in self.world.changes.iter().copied() {
                let later = self.rng.random_range(0..LIST_DELAY);
                self.schedule(
                    at + LIST_DELAY + later,
                    SimulationEvent::ListChange { forwarder, endpoint, lifecycle },
                );
            }
        }
        for (n, stop) in self.world.stops.iter().enumerate() {
            self.schedule(stop.at, SimulationEvent::Stop(n));
        }
        if let Some(first) = self.world.requests.first() {
            self.schedule(
                first.at,
                SimulationEvent::Request { first: 0, retry_of: None, first_tried: first.at },
            );
        }
        self.schedule(START, SimulationEvent::Sample);
    }

    fn run(&mut self, report_progress: &mut dyn FnMut(Micros)) {
        while let Some(Reverse((time, key))) = self.agenda.pop() {
            let slot = (key & 0xff_ffff) as usize;
            let Some(event) = self.event_slots[slot].take() else { continue };
            self.free_slots.push(slot);
            // What is left after the last end changes nothing.
            let closed = time > self.world.end && self.open == 0 && self.clients_waiting == 0;
            if closed && !matches!(event, SimulationEvent::Request { .. }) {
                break;
            }
            self.now = time;
            match event {
                SimulationEvent::Request { first, retry_of, first_tried } => {
                    self.receive_request(first, retry_of, first_tried)
                }
                SimulationEvent::PolicyStep(f) if self.common_steps => self.step_together(f),
                SimulationEvent::PolicyStep(f) => {
                    let mut one: Vec<PolicyStep> = self.take_due_step(f).into_iter().collect();
                    one.iter_mut().for_each(|w| w.step(time + self.world.fleet[f].clock));
                    one.into_iter().for_each(|w| self.apply_step(w));
                }
                SimulationEvent::Timer(f) => self.schedule_step(f, time),
                SimulationEvent::CallArrives(call, version) => self.call_arrives(call, version),
                SimulationEvent::CallEnds { call, version, attempt_index, outcome, report } => {
                    if self.calls[call].version == version {
                        self.complete_attempts(call, attempt_index, outcome, report);
                    }
                }
                SimulationEvent::FaultChange => self.apply_faults(),
                SimulationEvent::ListChange { forwarder, endpoint, lifecycle } => {
                    self.forwarders[forwarder].list[endpoint] = lifecycle;
                    if self.forwarders[forwarder].up {
                        self.audit.lists(time, forwarder, endpoint, lifecycle);
                        let entry = EndpointEntry { lifecycle, ..self.world.list[endpoint].0.clone() };
                        self.push_event(
                            forwarder,
                            Event::EndpointList(EndpointListUpdate::Patch(vec![entry])),
                        );
                    }
                }
                SimulationEvent::FleetSize(n) => self.resize(n),
                SimulationEvent::SettingsUpdate(forwarder) => self.push_settings(forwarder),
                SimulationEvent::Stop(n) => self.stop(n),
                SimulationEvent::DrainCheck { forwarder, since, back } => self.drain(forwarder, since, back),
                SimulationEvent::Start(forwarder) => self.start(forwarder),
                SimulationEvent::Sample => {
                    report_progress(time);
                    self.sample();
                }
            }
        }
    }

    fn sample(&mut self) {
        let in_flight = self.in_flight.iter().map(Vec::len).sum();
        self.figures.samples.push(Sample { at: self.now, open_messages: self.open, in_flight });
        if self.destinations.len() <= MAX_BREAKERS_SAMPLED {
            let mut worst = vec![BreakerState::Closed; self.destinations.len()];
            for f in self.forwarders.iter().filter(|f| f.up) {
                for s in f.policy.status(self.now) {
                    let w = &mut worst[s.destination.0 as usize];
                    *w = (*w).max(s.breaker);
                }
            }
            worst.into_iter().enumerate().for_each(|(p, s)| self.figures.breaker(self.now, p, s));
        }
        self.schedule(self.now + SAMPLE_INTERVAL, SimulationEvent::Sample);
    }

    /// Troubles begin or end; several may hold at one partner.
    fn apply_faults(&mut self) {
        let now = self.now;
        let world = self.world;
        let touched = world.faults.iter().filter(|t| t.1 == now || t.2 == now).map(|t| t.0);
        for destination in touched.collect::<std::collections::BTreeSet<_>>() {
            let of = || world.faults.iter().filter(move |t| t.0 == destination);
            let held = of().filter(|t| t.1 <= now && now < t.2).map(|t| t.3).collect();
            self.destinations[destination].set_faults(now, held);
            for begun in of().filter(|t| t.1 == now).map(|t| t.3) {
                if begun == Fault::HalfOpenConnections {
                    self.strand_connections(destination);
                }
                if let Some(taken) = begun.effect_on_calls_in_flight() {
                    self.end_calls_in_flight(destination, taken);
                }
            }
        }
    }

    /// The connections that forwarders have to a partner lead nowhere from now on.
    fn strand_connections(&mut self, destination: usize) {
        let width = self.world.list.len();
        for (n, link) in self.links.iter_mut().enumerate() {
            if self.world.list[n % width].1 == destination {
                link.stranded = link.peak;
            }
        }
    }

    /// What a partner had in work comes to nothing.
    fn end_calls_in_flight(&mut self, destination: usize, taken: InFlightEffect) {
        for number in self.in_flight[destination].clone() {
            if !self.calls[number].arrived {
                continue;
            }
            let answer = match taken {
                InFlightEffect::Broken => Some((self.now + self.network(), Outcome::Reset)),
                InFlightEffect::Silent => None,
            };
            self.schedule_outcome(number, answer, None, false);
        }
    }

    fn push_event(&mut self, forwarder: usize, event: Event) {
        self.forwarders[forwarder].events.push(event);
        self.schedule_step(forwarder, self.now);
    }

    fn push_complete_list(&mut self, forwarder: usize) {
        let list = &self.forwarders[forwarder].list;
        let entries = self.world.list.iter().zip(list).filter(|(_, l)| **l != Lifecycle::Removed);
        let all = entries.map(|(e, l)| EndpointEntry { lifecycle: *l, ..e.0.clone() }).collect();
        self.push_event(forwarder, Event::EndpointList(EndpointListUpdate::Complete(all)));
    }

    /// A step no later than that, but not sooner after the last one than the settings say.
    fn schedule_step(&mut self, forwarder: usize, at: Micros) {
        let f = &mut self.forwarders[forwarder];
        if !f.up {
            return;
        }
        let at = at.max(f.last_step + self.world.settings.min_step_interval);
        let at = if self.common_steps {
            at.next_multiple_of(self.world.settings.min_step_interval.max(1))
        } else {
            at
        };
        if f.due.is_none_or(|due| at < due) {
            f.due = Some(at);
            self.schedule(at, SimulationEvent::PolicyStep(forwarder));
        }
    }

    fn timing(&self, message: usize) -> Timing {
        let destination = self.world.requests[self.messages[message].first as usize].destination;
        let (to, kind) = (DestinationId(destination as u64), KindId(self.world.kinds[destination]));
        self.plan.as_ref().map_or(Timing::default(), |p| p.timing(to, Some(kind), CLASS))
    }

    /// A forwarder that takes what is handed in: that one, or else the next.
    fn accepting_forwarder(&self, from: usize) -> Option<usize> {
        let n = self.forwarders.len();
        (0..n).map(|i| (from + i) % n).find(|f| self.forwarders[*f].accepts)
    }

    fn receive_request(&mut self, first: usize, retry_of: Option<usize>, first_tried: Micros) {
        let request = self.world.requests[first];
        let fresh = retry_of.is_none() && first_tried == self.now;
        if fresh {
            if let Some(next) = self.world.requests.get(first + 1) {
                self.schedule(
                    next.at,
                    SimulationEvent::Request { first: first + 1, retry_of: None, first_tried: next.at },
                );
            }
        }
        self.clients_waiting -= usize::from(!fresh);
        // A client that comes again may come to any forwarder.
        let to = if retry_of.is_some() { self.rng.random_range(0..self.size) } else { request.forwarder };
        let deadline = request.at + self.world.settings.classes[0].deadline;
        if self.now >= deadline {
            return;
        }
        let Some(forwarder) = self.accepting_forwarder(to) else {
            // Nobody there at all.
            if self.now + RECONNECT_DELAY < first_tried + CLIENT_PATIENCE {
                self.clients_waiting += 1;
                self.schedule(
                    self.now + RECONNECT_DELAY,
                    SimulationEvent::Request { first, retry_of, first_tried },
                );
            } else {
                self.figures.given_up(true);
            }
            return;
        };
        if forwarder != to && first_tried == self.now {
            self.clients_waiting += 1;
            return self.schedule(
                self.now + RECONNECT_DELAY,
                SimulationEvent::Request { first, retry_of, first_tried },
            );
        }
        let id = self.messages.len();
        let message = Message {
            first: first as u32,
            forwarder: forwarder as u32,
            attempts: 0,
            call: None,
            closed: false,
            is_retry: retry_of.is_some(),
        };
        self.messages.push(message);
        self.open += 1;
        self.forwarders[forwarder].open += 1;
        self.audit.taken(self.now, forwarder, request.at, deadline - self.now);
        self.push_message(forwarder, id, deadline, retry_of.is_some(), false);
    }

    fn push_message(
        &mut self,
        forwarder: usize,
        id: usize,
        deadline: Micros,
        retry_of: bool,
        failed_over: bool,
    ) {
        let m = &self.messages[id];
        let request = &self.world.requests[m.first as usize];
        let message = NewMessage {
            id: MessageId(id as u64),
            class: CLASS,
            tenant: Some(TenantId(request.tenant)),
            key: None,
            time_left: deadline.saturating_sub(self.now),
            destination: DestinationId(request.destination as u64),
            failed_over: failed_over,
            first_attempt: None,
            client_retry: retry_of,
            // Only what an earlier process had comes with attempts, or marked as an orphan.
            restored: failed_over || m.attempts > 0,
            attempts: m.attempts,
        };
        self.push_event(forwarder, Event::Message(message));
    }

    fn stop(&mut self, number: usize) {
        let stop = self.world.stops[number];
        match stop.signal {
            Signal::Hup => self.push_settings(stop.forwarder),
            Signal::Stall => self.stall(stop.forwarder, stop.back),
            Signal::Kill => self.stop_process(stop.forwarder, stop.back),
            // All that the module knows passes to the new process.
            Signal::Upgrade => {}
            Signal::Term => {
                let (forwarder, since, back) = (stop.forwarder, self.now, stop.back);
                self.schedule(
                    self.now + ACCEPT_WHILE_DRAINING,
                    SimulationEvent::DrainCheck { forwarder, since, back },
                );
            }
        }
    }

    fn push_settings(&mut self, forwarder: usize) {
        if self.forwarders[forwarder].up {
            let routes = self.settings.routes.clone();
            let told = self.world.settings_for(forwarder, self.settings.forwarders);
            self.push_event(forwarder, Event::Settings(Box::new(cedarbridge::Settings { routes, ..told })));
        }
    }

    /// More forwarders serve from now on, or fewer; each of the others is told so at a time of its own.
    fn resize(&mut self, number: usize) {
        let to = self.world.sizes[number];
        let before = std::mem::replace(&mut self.size, to.count);
        self.settings.forwarders = to.count;
        (before..to.count).for_each(|f| self.schedule(self.now, SimulationEvent::Start(f)));
        for forwarder in to.count..before {
            let since = self.now;
            self.schedule(
                self.now + ACCEPT_WHILE_DRAINING,
                SimulationEvent::DrainCheck { forwarder, since, back: NEVER_RESTARTED },
            );
        }
        for forwarder in 0..before.min(to.count) {
            let later = self.rng.random_range(0..=to.within);
            self.schedule(self.now + later, SimulationEvent::SettingsUpdate(forwarder));
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
            self.schedule_step(forwarder, until);
        }
    }

    /// It takes nothing any more and leaves once all it holds has ended, or in the end without that.
    fn drain(&mut self, forwarder: usize, since: Micros, back: Micros) {
        self.forwarders[forwarder].accepts = false;
        if self.forwarders[forwarder].open == 0 || self.now >= since + DRAIN_LIMIT {
            return self.stop_process(forwarder, back);
        }
        self.schedule(self.now + DRAIN_POLL, SimulationEvent::DrainCheck { forwarder, since, back });
    }

    fn stop_process(&mut self, forwarder: usize, back: Micros) {
        let f = &mut self.forwarders[forwarder];
        (f.up, f.accepts, f.due) = (false, false, None);
        f.events.clear();
        self.audit.died(self.now, forwarder);
        let ready = self.now.saturating_add(back).saturating_add(STARTUP_TIME);
        self.audit.excuse(forwarder, self.now, ready.saturating_add(1_500 * MS));
        for number in 0..self.calls.len() {
            let c = &mut self.calls[number];
            if c.forwarder == forwarder && c.attempts.iter().any(|p| p.pending) {
                for p in &mut c.attempts {
                    p.pending = false;
                    self.messages[p.message].call = None;
                }
                self.release_call(number, false);
            }
        }
        let width = self.world.list.len();
        for link in &mut self.links[forwarder * width..(forwarder + 1) * width] {
            link.idle.clear();
        }
        if back < NEVER_RESTARTED {
            return self.schedule(ready, SimulationEvent::Start(forwarder));
        }
        // It leaves for good: what its folder held is handed to others.
        for id in 0..self.messages.len() {
            if self.messages[id].forwarder as usize == forwarder && !self.messages[id].closed {
                let other = self.rng.random_range(0..self.size);
                self.messages[id].forwarder = other as u32;
                self.forwarders[forwarder].open -= 1;
                self.forwarders[other].open += 1;
                self.audit.moved(id, other);
                self.restore_message(other, id);
            }
        }
    }

    /// A message that was held by a process that is gone.
    fn restore_message(&mut self, forwarder: usize, id: usize) {
        let m = &self.messages[id];
        let attempted = m.attempts > 0;
        let deadline = self.world.requests[m.first as usize].at + self.world.settings.classes[0].deadline;
        self.push_message(forwarder, id, deadline, !attempted, attempted);
    }

    /// It is back with what its journal holds.
    fn start(&mut self, forwarder: usize) {
        let f = &mut self.forwarders[forwarder];
        f.starts += 1;
        f.policy = new_policy(self.world, &self.settings, self.seed, forwarder, f.starts);
        (f.up, f.accepts) = (true, true);
        for (endpoint, lifecycle) in f.list.clone().into_iter().enumerate() {
            self.audit.lists(self.now, forwarder, endpoint, lifecycle);
        }
        self.push_complete_list(forwarder);
        for id in 0..self.messages.len() {
            let m = &self.messages[id];
            if m.forwarder as usize == forwarder && !m.closed {
                self.restore_message(forwarder, id);
            }
        }
    }

    /// All forwarders that step at this moment, side by side: none hears of another before the moment is over.
    fn step_together(&mut self, first: usize) {
        let now = self.now;
        let mut due = vec![first];
        while let Some(Reverse((time, key))) = self.agenda.peek().copied().filter(|h| h.0 .0 == now) {
            let slot = (key & 0xff_ffff) as usize;
            if !matches!(self.event_slots[slot], Some(SimulationEvent::PolicyStep(_))) {
                // It is heard before the steps: they are put off to behind it.
                due.drain(..).for_each(|f| self.schedule(time, SimulationEvent::PolicyStep(f)));
                return;
            }
            self.agenda.pop();
            if let Some(SimulationEvent::PolicyStep(f)) = self.event_slots[slot].take() {
                due.push(f);
            }
            self.free_slots.push(slot);
        }
        let mut work: Vec<PolicyStep> = due.into_iter().filter_map(|f| self.take_due_step(f)).collect();
        let fleet = &self.world.fleet;
        work.par_iter_mut().for_each(|w| w.step(now + fleet[w.forwarder].clock));
        work.into_iter().for_each(|w| self.apply_step(w));
    }

    /// A forwarder's step with its events, if it is due.
    fn take_due_step(&mut self, forwarder: usize) -> Option<PolicyStep> {
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
                let deadline = self.world.requests[first].at + self.world.settings.classes[0].deadline;
                m.time_left = deadline.saturating_sub(now);
            }
        }
        Some(PolicyStep { forwarder, policy: std::mem::take(&mut f.policy), events, actions: Vec::new() })
    }

    fn apply_step(&mut self, work: PolicyStep) {
        let (now, forwarder) = (self.now, work.forwarder);
        let clock = self.world.fleet[forwarder].clock;
        self.forwarders[forwarder].policy = work.policy;
        let mut open: Option<(u64, usize)> = None;
        for action in work.actions {
            match action {
                Action::Send { id, endpoint, call, timeout_at, final_attempt: last, .. } => {
                    let number = match open.filter(|o| o.0 == call) {
                        Some((_, number)) => number,
                        None => self.begin_call(forwarder, endpoint),
                    };
                    open = Some((call, number));
                    self.add_attempt(number, id.0 as usize, timeout_at.saturating_sub(clock), last);
                }
                Action::Reject { id, retry_after, .. } => {
                    self.reject_or_fail(id.0 as usize, Some(retry_after))
                }
                Action::Fail { id, .. } => self.reject_or_fail(id.0 as usize, None),
                Action::Cancel { id, attempt } => self.cancel(id.0 as usize, attempt),
                Action::Timer { delay, .. } => self.schedule(now + delay, SimulationEvent::Timer(forwarder)),
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
            let attempts = Vec::new();
            let (forwarder, endpoint, sent, arrived, connect_failed, version) = Default::default();
            self.calls.push(Call { forwarder, endpoint, sent, arrived, connect_failed, version, attempts });
            self.calls.len() - 1
        });
        let c = &mut self.calls[number];
        (c.forwarder, c.endpoint, c.sent, c.arrived) = (forwarder, endpoint, self.now, false);
        c.attempts.clear();
        let version = c.version;
        self.in_flight[self.world.list[endpoint].1].push(number);
        self.calls[number].connect_failed = !self.connect(forwarder, endpoint);
        let arrives_at = self.now + self.network();
        self.schedule(arrives_at, SimulationEvent::CallArrives(number, version));
        number
    }

    /// A call takes an idle connection, or has one made; false if the endpoint holds no more.
    fn connect(&mut self, forwarder: usize, endpoint: usize) -> bool {
        let (now, width) = (self.now, self.world.list.len());
        let most = self.world.connections[self.world.list[endpoint].1];
        let at = forwarder * width + endpoint;
        self.links[at].open_connections(now);
        let reused = self.links[at].idle.pop_back().is_some();
        let mut held = || {
            self.links
                .iter_mut()
                .skip(endpoint)
                .step_by(width)
                .map(|l| l.open_connections(now))
                .sum::<usize>()
        };
        let made = reused || most == usize::MAX || held() < most;
        let link = &mut self.links[at];
        link.in_flight += u32::from(made);
        link.peak = link.peak.max(link.in_flight);
        self.figures.connections += u64::from(made && !reused);
        made
    }

    /// A call is over: what is still planned for it counts for nothing, and its room is used again. Its connection
    /// stays, if an answer came on it.
    fn release_call(&mut self, number: usize, answered: bool) {
        let c = &mut self.calls[number];
        c.version = c.version.wrapping_add(1);
        let (forwarder, endpoint, connect_failed) = (c.forwarder, c.endpoint, c.connect_failed);
        let in_flight = &mut self.in_flight[self.world.list[endpoint].1];
        if let Some(at) = in_flight.iter().position(|o| *o == number) {
            in_flight.swap_remove(at);
        }
        let link = &mut self.links[forwarder * self.world.list.len() + endpoint];
        if !connect_failed {
            link.in_flight = link.in_flight.saturating_sub(1);
            link.idle.extend(answered.then_some(self.now));
        }
        self.free_calls.push(number);
    }

    fn network(&mut self) -> Micros {
        self.rng.random_range(self.world.network.0..=self.world.network.1)
    }

    fn add_attempt(&mut self, number: usize, message: usize, timeout_at: Micros, last: bool) {
        let call = &mut self.calls[number];
        let endpoint = call.endpoint;
        let m = &mut self.messages[message];
        call.attempts.push(Attempt {
            message,
            attempt: m.attempts,
            timeout_at,
            final_attempt: last,
            pending: true,
        });
        m.attempts += 1;
        m.call = Some(number as u32);
        let timing = self.timing(message);
        let destination = self.world.list[endpoint].1;
        self.audit.sent(self.now, self.now, (destination, endpoint), message, &timing);
        self.figures.attempt();
    }

    /// The call's last byte has come: its fate is settled, and with it what comes back first, answer or cut.
    fn call_arrives(&mut self, number: usize, version: u32) {
        let call = &mut self.calls[number];
        if call.version != version {
            return;
        }
        call.arrived = true;
        if call.connect_failed {
            let back = self.now + self.network();
            return self.schedule_outcome(number, Some((back, Outcome::ConnectFailed)), None, true);
        }
        let (forwarder, endpoint, sent, attempts) =
            (call.forwarder, call.endpoint, call.sent, call.attempts.len());
        let (_, destination, place) = self.world.list[endpoint];
        let link = &mut self.links[forwarder * self.world.list.len() + endpoint];
        if link.stranded > 0 {
            link.stranded -= 1;
            if self.destinations[destination].visible_fault() == Some(Fault::HalfOpenConnections) {
                return self.schedule_outcome(number, None, None, false);
            }
        }
        self.figures.call(self.now, destination);
        let response = self.destinations[destination].call(self.now, place, attempts);
        let back = self.network();
        let report = response.report.map(|r| LoadReport { remaining_share: r.remaining_share, rate: r.rate });
        let answer = match response.answer.map(|a| (a.at, a.answer)) {
            Some((_, Answer::ConnectionRefused)) => Some((self.now + back, Outcome::ConnectFailed)),
            Some((at, Answer::Ok)) => Some((at + back, Outcome::Ok)),
            Some((at, Answer::ConnectionBroken)) => Some((at + back, Outcome::Reset)),
            Some((at, Answer::Error)) => Some((at + back, Outcome::Error)),
            Some((at, Answer::Rejected(wait))) => Some((at + back, Outcome::Rejected(wait))),
            None if response.unconnected => Some((sent + CONNECT_TIMEOUT, Outcome::ConnectFailed)),
            None => None,
        };
        self.schedule_outcome(number, answer, report, response.unconnected);
    }

    /// Plans how a call ends: by its answer, if one comes, or by its cuts; what was planned before is void.
    fn schedule_outcome(
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
        let waited = || call.attempts.iter().filter(|p| p.pending);
        let firm = waited().filter(|p| !p.final_attempt).map(|p| p.timeout_at).min();
        let Some(latest) = waited().map(|p| p.timeout_at).max() else { return };
        let cut = firm.unwrap_or(latest);
        let end = answer.map_or(cut, |a| a.0.min(cut));
        let alone: Vec<(usize, Micros)> =
            call.attempts.iter().enumerate().map(|(n, p)| (n, p.timeout_at)).filter(|p| p.1 < end).collect();
        for (attempt_index, at) in alone {
            let event = SimulationEvent::CallEnds {
                call: number,
                version,
                attempt_index: Some(attempt_index),
                outcome: Outcome::TimedOut,
                report: None,
            };
            self.schedule(at.max(self.now), event);
        }
        let (outcome, report) = match answer {
            Some((at, outcome)) if at < cut => {
                (outcome, report.filter(|_| outcome != Outcome::ConnectFailed))
            }
            // Nothing was connected by then, so nothing can have run.
            _ if unconnected => (Outcome::ConnectFailed, None),
            _ => (Outcome::TimedOut, None),
        };
        let event = SimulationEvent::CallEnds { call: number, version, attempt_index: None, outcome, report };
        self.schedule(end.max(self.now), event);
    }

    fn complete_attempts(
        &mut self,
        number: usize,
        attempt_index: Option<usize>,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let call = &mut self.calls[number];
        let (forwarder, endpoint, sent) = (call.forwarder, call.endpoint, call.sent);
        let destination = self.world.list[endpoint].1;
        let due: Vec<(usize, u32)> = call
            .attempts
            .iter_mut()
            .enumerate()
            .filter(|(n, p)| p.pending && attempt_index.is_none_or(|only| only == *n))
            .map(|(_, p)| {
                p.pending = false;
                (p.message, p.attempt)
            })
            .collect();
        if call.attempts.iter().all(|p| !p.pending) && !due.is_empty() {
            self.figures.slot_released(self.now, destination, self.now - sent);
            let answered = matches!(outcome, Outcome::Ok | Outcome::Rejected(_) | Outcome::Error);
            self.release_call(number, answered);
        }
        for (message, attempt) in due {
            self.audit.attempt_ended(self.now, destination, message, sent, outcome);
            self.figures.outcome(outcome);
            self.messages[message].call = None;
            let ended = outcome == Outcome::Ok;
            if ended && !self.messages[message].closed {
                let timing = self.timing(message);
                self.audit.ended(self.now, message, &timing, End::Delivered);
                self.close_message(message);
                self.figures.delivered(self.now, self.messages[message].first as usize);
            }
            self.push_event(
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

    fn close_message(&mut self, message: usize) {
        let m = &mut self.messages[message];
        if !m.closed {
            m.closed = true;
            self.open -= 1;
            self.forwarders[m.forwarder as usize].open -= 1;
        }
    }

    fn cancel(&mut self, message: usize, attempt: u32) {
        let Some(number) = self.messages[message].call.map(|c| c as usize) else { return };
        let call = &self.calls[number];
        let place = call.attempts.iter().position(|p| p.message == message && p.attempt == attempt);
        if let Some(attempt_index) = place {
            let (attempt_index, outcome, version) = (Some(attempt_index), Outcome::Cancelled, call.version);
            self.schedule(
                self.now,
                SimulationEvent::CallEnds { call: number, version, attempt_index, outcome, report: None },
            );
        }
    }

    /// The module's end of a message; refused, with advice on when to come again, or failed.
    fn reject_or_fail(&mut self, message: usize, refused: Option<Option<Micros>>) {
        let timing = self.timing(message);
        let end = if refused.is_some() { End::Refused } else { End::Failed };
        self.audit.ended(self.now, message, &timing, end);
        self.close_message(message);
        let m = &self.messages[message];
        let (first, is_retry) = (m.first as usize, m.is_retry);
        self.figures.given_up(refused.is_some());
        let Some(advice) = refused else { return };
        if let Some(wait) = self.world.requests[first].retry_after.filter(|_| !is_retry) {
            let later = self.now + advice.unwrap_or(0).max(wait);
            self.clients_waiting += 1;
            self.schedule(
                later,
                SimulationEvent::Request { first, retry_of: Some(message), first_tried: later },
            );
        }
    }
}
