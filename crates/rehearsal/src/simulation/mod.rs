//! Simulates a run in virtual time: forwarders, each with its own delivery policy, against models of the destinations.
//!
//! The simulation replaces the network code around the policy: it keeps the minimum step interval, carries several
//! messages in one call with a shared outcome, applies timeouts and timers, and lets clients retry after a rejection.

mod calls;
mod event_queue;
mod forwarders;
mod policy_step;
mod requests;

use crate::audit::{Audit, AuditSizes, RuleViolation, VIRTUAL_TIME_TOLERANCES};
use crate::environment::{Environment, ListChange, RUN_START};
use crate::figures::{Figures, Sample};
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
/// The shortest time from a change of the endpoint list until a forwarder learns it. The longest time is twice as long.
const LIST_DELAY: Micros = 1_000_000;
/// The time from the start of a forwarder's process until it is ready.
pub const STARTUP_TIME: Micros = 60 * MS;
/// A client that cannot connect to a forwarder tries the next one after this time, up to [`CLIENT_PATIENCE`].
pub const RECONNECT_DELAY: Micros = 50 * MS;
/// How long a client tries to find a forwarder that accepts its request.
pub const CLIENT_PATIENCE: Micros = 2_500 * MS;
/// Fleets of at least this size take their policy steps at common times, so that the steps run in parallel.
const COMMON_STEP_FLEET: usize = 16;
/// The time between two samples of open messages and breakers.
const SAMPLE_INTERVAL: Micros = 500 * MS;
/// Breakers are sampled only in runs with at most this many destinations, the number that an HTML report shows.
const MAX_BREAKERS_SAMPLED: usize = 64;

/// The state of a simulated run.
struct Simulation<'a> {
    environment: &'a Environment,
    route_table: Option<Arc<RouteTable>>,
    settings: cedarbridge::Settings,
    seed: u64,
    destinations: Vec<DestinationModel>,
    forwarders: Vec<Forwarder>,
    messages: Vec<Message>,
    calls: Vec<Call>,
    free_calls: Vec<usize>,
    /// The calls in flight, by destination.
    in_flight: Vec<Vec<usize>>,
    /// For each forwarder, its connections to each endpoint: index `forwarder * endpoints + endpoint`.
    links: Vec<EndpointLink>,
    /// The number of forwarders in service; they come first in `forwarders`.
    active_forwarders: usize,
    events: EventQueue,
    rng: ChaCha8Rng,
    audit: Audit,
    figures: Figures,
    now: Micros,
    /// Messages without a final answer.
    open: usize,
    /// Whether forwarders take policy steps at common times, so that the steps can run in parallel.
    common_steps: bool,
    /// Clients that are looking for a forwarder or will retry.
    clients_waiting: usize,
}

/// Simulates a run with the routes of a site file, or without any. The seed is that of the network, the destination
/// models and the policies.
pub fn simulate(
    environment: &Environment,
    route_table: Option<Arc<RouteTable>>,
    seed: u64,
) -> (Figures, Vec<RuleViolation>) {
    simulate_with_progress(environment, route_table, seed, &mut |_| {})
}

/// Like [`simulate`], and calls `report_progress` with the virtual time every 500 ms of it.
pub fn simulate_with_progress(
    environment: &Environment,
    route_table: Option<Arc<RouteTable>>,
    seed: u64,
    report_progress: &mut dyn FnMut(Micros),
) -> (Figures, Vec<RuleViolation>) {
    let mut simulation = Simulation::new(environment, route_table, seed);
    simulation.schedule_plan();
    simulation.run(report_progress);
    let overloaded: Vec<_> = simulation
        .destinations
        .iter()
        .enumerate()
        .filter_map(|(i, p)| Some((i, p.overloaded_at()?)))
        .collect();
    simulation.audit.close(simulation.now, overloaded.into_iter());
    (simulation.figures, simulation.audit.violations)
}

impl<'a> Simulation<'a> {
    fn new(environment: &'a Environment, route_table: Option<Arc<RouteTable>>, seed: u64) -> Self {
        let mut settings = environment.settings.clone();
        settings.routes = route_table.clone();
        let forwarder_count = environment.fleet.len();
        let active_forwarders = environment
            .fleet_sizes
            .first()
            .filter(|s| s.at <= RUN_START)
            .map_or(forwarder_count, |s| s.count);
        let lifecycles: Vec<Lifecycle> = (0..environment.endpoints.len())
            .map(|e| if e < environment.initially_listed { Lifecycle::Listed } else { Lifecycle::Removed })
            .collect();
        settings.forwarders = active_forwarders;
        let forwarders = (0..forwarder_count)
            .map(|n| Forwarder {
                policy: new_policy(environment, &settings, seed, n, 0),
                events: Vec::new(),
                last_step: 0,
                due: None,
                known_lifecycles: lifecycles.clone(),
                is_up: n < active_forwarders,
                accepts_requests: n < active_forwarders,
                restarts: 0,
                open_messages: 0,
            })
            .collect();
        let destinations = environment.destinations.iter().zip(0u64..);
        Simulation {
            audit: Audit::new(&settings, AuditSizes::of(environment), VIRTUAL_TIME_TOLERANCES),
            figures: Figures::new(environment),
            destinations: destinations
                .map(|(m, n)| DestinationModel::new(m.clone(), seed ^ n << 16))
                .collect(),
            in_flight: vec![Vec::new(); environment.destinations.len()],
            links: vec![EndpointLink::default(); forwarder_count * environment.endpoints.len()],
            active_forwarders,
            environment,
            route_table,
            settings,
            seed,
            forwarders,
            messages: Vec::with_capacity(environment.requests.len() * 2),
            calls: Vec::new(),
            free_calls: Vec::new(),
            events: EventQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: RUN_START,
            open: 0,
            clients_waiting: 0,
            common_steps: forwarder_count >= COMMON_STEP_FLEET,
        }
    }

    fn schedule(&mut self, time: Micros, event: SimulationEvent) {
        self.events.push(time, event);
    }

    /// Schedules everything that the environment plans for the run.
    fn schedule_plan(&mut self) {
        for f in 0..self.active_forwarders {
            self.push_complete_list(f);
        }
        for (n, resize) in self.environment.fleet_sizes.iter().enumerate().filter(|s| s.1.at > RUN_START) {
            self.schedule(resize.at, SimulationEvent::FleetSize(n));
        }
        for fault in &self.environment.faults {
            self.schedule(fault.start, SimulationEvent::FaultChange);
            self.schedule(fault.end, SimulationEvent::FaultChange);
        }
        for forwarder in 0..self.forwarders.len() {
            for ListChange { at, endpoint, lifecycle } in self.environment.list_changes.iter().copied() {
                let later = self.rng.random_range(0..LIST_DELAY);
                self.schedule(
                    at + LIST_DELAY + later,
                    SimulationEvent::ListChange { forwarder, endpoint, lifecycle },
                );
            }
        }
        for (n, stop) in self.environment.stops.iter().enumerate() {
            self.schedule(stop.at, SimulationEvent::Stop(n));
        }
        if let Some(first) = self.environment.requests.first() {
            self.schedule(
                first.at,
                SimulationEvent::Request { index: 0, retry_of: None, first_tried: first.at },
            );
        }
        self.schedule(RUN_START, SimulationEvent::Sample);
    }

    /// Processes events until the run is over.
    fn run(&mut self, report_progress: &mut dyn FnMut(Micros)) {
        while let Some((time, event)) = self.events.pop() {
            // Once the last message has ended, what is still queued changes no figure.
            let run_over = time > self.environment.end && self.open == 0 && self.clients_waiting == 0;
            if run_over && !matches!(event, SimulationEvent::Request { .. }) {
                break;
            }
            self.now = time;
            match event {
                SimulationEvent::Request { index, retry_of, first_tried } => {
                    self.receive_request(index, retry_of, first_tried)
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
                    self.forwarders[forwarder].known_lifecycles[endpoint] = lifecycle;
                    if self.forwarders[forwarder].is_up {
                        self.audit.lifecycle_received(time, forwarder, endpoint, lifecycle);
                        let entry =
                            EndpointEntry { lifecycle, ..self.environment.endpoints[endpoint].entry.clone() };
                        self.push_event(
                            forwarder,
                            Event::EndpointList(EndpointListUpdate::Patch(vec![entry])),
                        );
                    }
                }
                SimulationEvent::FleetSize(n) => self.resize(n),
                SimulationEvent::SettingsUpdate(forwarder) => self.push_settings(forwarder),
                SimulationEvent::Stop(n) => self.stop(n),
                SimulationEvent::DrainCheck { forwarder, since, restart_delay } => {
                    self.drain(forwarder, since, restart_delay)
                }
                SimulationEvent::Start(forwarder) => self.start(forwarder),
                SimulationEvent::Sample => {
                    report_progress(time);
                    self.sample();
                }
            }
        }
    }

    /// Records open messages, calls in flight and the worst breaker state of each destination.
    fn sample(&mut self) {
        let in_flight = self.in_flight.iter().map(Vec::len).sum();
        self.figures.samples.push(Sample { at: self.now, open_messages: self.open, in_flight });
        if self.destinations.len() <= MAX_BREAKERS_SAMPLED {
            let mut worst = vec![BreakerState::Closed; self.destinations.len()];
            for f in self.forwarders.iter().filter(|f| f.is_up) {
                for s in f.policy.status(self.now) {
                    let w = &mut worst[s.destination.0 as usize];
                    *w = (*w).max(s.breaker);
                }
            }
            worst.into_iter().enumerate().for_each(|(p, s)| self.figures.breaker_changed(self.now, p, s));
        }
        self.schedule(self.now + SAMPLE_INTERVAL, SimulationEvent::Sample);
    }
}
