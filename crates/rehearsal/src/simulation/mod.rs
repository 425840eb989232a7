//! Simulates a day in virtual time: forwarders, each with a delivery policy of its own, against destinations' models.
//!
//! It stands in for what the network code does around the policy: steps no closer than the minimum step interval,
//! calls of several messages that share an outcome, timeouts, timers, and clients that retry after a rejection.

mod calls;
mod event_queue;
mod forwarders;
mod policy_step;
mod requests;

use crate::audit::{Audit, AuditSizes, RuleViolation, VIRTUAL};
use crate::figures::{Figures, Sample};
use crate::world::{ListChange, World, START};
use calls::{Call, EndpointLink};
use cedarbridge::routes::RouteTable;
use cedarbridge::{BreakerState, ClassId, EndpointEntry, EndpointListUpdate, Event, Lifecycle, Micros};
use cedarbridge_endpoint_model::DestinationModel;
use event_queue::{EventQueue, SimulationEvent};
use forwarders::{new_policy, Forwarder};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use requests::Message;
use std::sync::Arc;

const CLASS: ClassId = ClassId(0);
const MS: Micros = 1_000;
/// The least time from a change of the endpoint list until a forwarder learns it.
const LIST_DELAY: Micros = 1_000_000;
/// From the start of a forwarder's process until it is ready.
pub const STARTUP_TIME: Micros = 60 * MS;
/// A client that is not let in tries the next forwarder after this, until its patience ends.
pub const RECONNECT_DELAY: Micros = 50 * MS;
/// How long a client looks for a forwarder.
pub const CLIENT_PATIENCE: Micros = 2_500 * MS;
/// Fleets from this size on step at common moments, so that they step in parallel.
const COMMON_STEP_FLEET: usize = 16;
/// Between two samples of open messages and breakers.
const SAMPLE_INTERVAL: Micros = 500 * MS;
/// Breakers are sampled for at most as many destinations as a page shows.
const MAX_BREAKERS_SAMPLED: usize = 64;

/// The state of a simulated day.
struct Simulation<'a> {
    world: &'a World,
    plan: Option<Arc<RouteTable>>,
    settings: cedarbridge::Settings,
    seed: u64,
    destinations: Vec<DestinationModel>,
    forwarders: Vec<Forwarder>,
    messages: Vec<Message>,
    calls: Vec<Call>,
    free_calls: Vec<usize>,
    /// Calls in flight by destination.
    in_flight: Vec<Vec<usize>>,
    /// By forwarder and endpoint.
    links: Vec<EndpointLink>,
    /// Forwarders in service.
    size: usize,
    events: EventQueue,
    rng: ChaCha8Rng,
    audit: Audit,
    figures: Figures,
    now: Micros,
    /// Messages without their final answer.
    open: usize,
    /// Forwarders step at common moments, so that they can step in parallel.
    common_steps: bool,
    /// Clients that look for a forwarder or will retry.
    clients_waiting: usize,
}

/// Simulates a day with a plan, or without one; the seed is that of the network and the policies.
pub fn simulate(world: &World, plan: Option<Arc<RouteTable>>, seed: u64) -> (Figures, Vec<RuleViolation>) {
    simulate_with_progress(world, plan, seed, &mut |_| {})
}

/// The same, and reports the virtual time twice a second of it.
pub fn simulate_with_progress(
    world: &World,
    plan: Option<Arc<RouteTable>>,
    seed: u64,
    report_progress: &mut dyn FnMut(Micros),
) -> (Figures, Vec<RuleViolation>) {
    let mut day = Simulation::new(world, plan, seed);
    day.begin();
    day.run(report_progress);
    let overloaded: Vec<_> =
        day.destinations.iter().enumerate().filter_map(|(i, p)| Some((i, p.overloaded_at()?))).collect();
    day.audit.close(day.now, overloaded.into_iter());
    (day.figures, day.audit.violations)
}

impl<'a> Simulation<'a> {
    fn new(world: &'a World, plan: Option<Arc<RouteTable>>, seed: u64) -> Self {
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
        Simulation {
            audit: Audit::new(&settings, AuditSizes::of(world), VIRTUAL),
            figures: Figures::new(world),
            destinations: destinations
                .map(|(m, n)| DestinationModel::new(m.clone(), seed ^ n << 16))
                .collect(),
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
            events: EventQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            open: 0,
            clients_waiting: 0,
            common_steps: forwarder_count >= COMMON_STEP_FLEET,
        }
    }

    fn schedule(&mut self, time: Micros, event: SimulationEvent) {
        self.events.push(time, event);
    }

    /// Schedules all that is planned for the day.
    fn begin(&mut self) {
        for f in 0..self.size {
            self.push_complete_list(f);
        }
        for (n, size) in self.world.sizes.iter().enumerate().filter(|s| s.1.at > START) {
            self.schedule(size.at, SimulationEvent::FleetSize(n));
        }
        for fault in &self.world.faults {
            self.schedule(fault.begin, SimulationEvent::FaultChange);
            self.schedule(fault.end, SimulationEvent::FaultChange);
        }
        for forwarder in 0..self.forwarders.len() {
            for ListChange { at, endpoint, lifecycle } in self.world.changes.iter().copied() {
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

    /// Processes events until the day is over.
    fn run(&mut self, report_progress: &mut dyn FnMut(Micros)) {
        while let Some((time, event)) = self.events.pop() {
            // Once the last message has ended, what is still queued changes no figure.
            let day_over = time > self.world.end && self.open == 0 && self.clients_waiting == 0;
            if day_over && !matches!(event, SimulationEvent::Request { .. }) {
                break;
            }
            self.now = time;
            match event {
                SimulationEvent::Request { first, retry_of, first_tried } => {
                    self.receive_request(first, retry_of, first_tried)
                }
                SimulationEvent::PolicyStep(f) if self.common_steps => self.step_together(f),
                SimulationEvent::PolicyStep(f) => self.step_alone(f),
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
                        let entry = EndpointEntry { lifecycle, ..self.world.list[endpoint].entry.clone() };
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

    /// Records open messages, calls in flight and breaker states.
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
}
