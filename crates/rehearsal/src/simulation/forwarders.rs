//! The forwarders' processes: starts, stops, graceful shutdowns, stalls, reloads, and changes of the fleet's size.

use super::event_queue::SimulationEvent;
use super::{Simulation, MS, STARTUP_TIME};
use crate::environment::Environment;
use crate::scenario::Signal;
use cedarbridge::{DeliveryPolicy, EndpointEntry, EndpointListUpdate, Event, Lifecycle, Micros};
use rand::RngExt;

/// A forwarder that shuts down gracefully still accepts requests for this time after the signal.
const ACCEPT_WHILE_DRAINING: Micros = 600 * MS;
/// A draining forwarder stops after this time, even with open messages.
const DRAIN_LIMIT: Micros = 2_600 * MS;
/// How often a draining forwarder checks its open messages.
const DRAIN_POLL: Micros = 20 * MS;
/// The restart delay of a forwarder that leaves the fleet.
const NEVER_RESTARTED: Micros = Micros::MAX;

/// A forwarder's process.
pub(super) struct Forwarder {
    pub(super) policy: DeliveryPolicy,
    /// Events that the next policy step reads.
    pub(super) events: Vec<Event>,
    pub(super) last_step: Micros,
    /// When its next policy step is due; `None` if none is scheduled.
    pub(super) due: Option<Micros>,
    /// The lifecycle of each endpoint as the forwarder knows it.
    pub(super) known_lifecycles: Vec<Lifecycle>,
    pub(super) is_up: bool,
    pub(super) accepts_requests: bool,
    pub(super) restarts: u64,
    pub(super) open_messages: usize,
}

/// Creates the policy of a forwarder, with its own seed for each start of the process.
pub(super) fn new_policy(
    environment: &Environment,
    settings: &cedarbridge::Settings,
    seed: u64,
    forwarder: usize,
    start: u64,
) -> DeliveryPolicy {
    let seed = seed ^ (forwarder as u64 + 1) << 32 ^ start << 48;
    let routes = settings.routes.clone();
    let settings =
        cedarbridge::Settings { routes, ..environment.forwarder_settings(forwarder, settings.forwarders) };
    DeliveryPolicy::new(settings, seed).expect("valid settings")
}

impl Simulation<'_> {
    /// Carries out the planned stop, reload, stall or upgrade with this index.
    pub(super) fn stop(&mut self, number: usize) {
        let stop = self.environment.stops[number];
        match stop.signal {
            Signal::Hup => self.push_settings(stop.forwarder),
            Signal::Stall => self.stall(stop.forwarder, stop.restart_delay),
            Signal::Kill => self.stop_process(stop.forwarder, stop.restart_delay),
            // The successor takes over the policy's state, so the simulation has nothing to do.
            Signal::Upgrade => {}
            Signal::Term => {
                let (forwarder, since, restart_delay) = (stop.forwarder, self.now, stop.restart_delay);
                self.schedule(
                    self.now + ACCEPT_WHILE_DRAINING,
                    SimulationEvent::DrainCheck { forwarder, since, restart_delay },
                );
            }
        }
    }

    /// Queues the forwarder's settings for its policy, as a reload does.
    pub(super) fn push_settings(&mut self, forwarder: usize) {
        if self.forwarders[forwarder].is_up {
            let routes = self.settings.routes.clone();
            let settings = self.environment.forwarder_settings(forwarder, self.settings.forwarders);
            self.push_event(
                forwarder,
                Event::Settings(Box::new(cedarbridge::Settings { routes, ..settings })),
            );
        }
    }

    /// Queues the complete endpoint list for a forwarder's policy.
    pub(super) fn push_complete_list(&mut self, forwarder: usize) {
        let lifecycles = &self.forwarders[forwarder].known_lifecycles;
        let entries =
            self.environment.endpoints.iter().zip(lifecycles).filter(|(_, l)| **l != Lifecycle::Removed);
        let complete_list =
            entries.map(|(e, l)| EndpointEntry { lifecycle: *l, ..e.entry.clone() }).collect();
        self.push_event(forwarder, Event::EndpointList(EndpointListUpdate::Complete(complete_list)));
    }

    /// Grows or shrinks the fleet. Each forwarder that stays learns the new size after its own random delay.
    pub(super) fn resize(&mut self, number: usize) {
        let resize = self.environment.fleet_sizes[number];
        let before = std::mem::replace(&mut self.active_forwarders, resize.count);
        self.settings.forwarders = resize.count;
        (before..resize.count).for_each(|f| self.schedule(self.now, SimulationEvent::Start(f)));
        for forwarder in resize.count..before {
            let since = self.now;
            self.schedule(
                self.now + ACCEPT_WHILE_DRAINING,
                SimulationEvent::DrainCheck { forwarder, since, restart_delay: NEVER_RESTARTED },
            );
        }
        for forwarder in 0..before.min(resize.count) {
            let delay = self.rng.random_range(0..=resize.propagation_time);
            self.schedule(self.now + delay, SimulationEvent::SettingsUpdate(forwarder));
        }
    }

    /// Pauses a forwarder for a time: it takes no policy step until it resumes, and its events wait.
    pub(super) fn stall(&mut self, forwarder: usize, duration: Micros) {
        let until = self.now + duration;
        self.audit.excuse_late_answers(forwarder, self.now, until + 1_500 * MS);
        let process = &mut self.forwarders[forwarder];
        if process.is_up {
            // Any step that is scheduled earlier moves to the end of the pause.
            process.last_step = until.saturating_sub(self.environment.settings.min_step_interval);
            process.due = None;
            self.schedule_step(forwarder, until);
        }
    }

    /// Rejects new requests, and stops the process once all open messages have ended or the drain limit has passed.
    pub(super) fn drain(&mut self, forwarder: usize, since: Micros, restart_delay: Micros) {
        self.forwarders[forwarder].accepts_requests = false;
        if self.forwarders[forwarder].open_messages == 0 || self.now >= since + DRAIN_LIMIT {
            return self.stop_process(forwarder, restart_delay);
        }
        self.schedule(self.now + DRAIN_POLL, SimulationEvent::DrainCheck { forwarder, since, restart_delay });
    }

    /// Ends a forwarder's process. Its calls break; its open messages wait for the restart, or move to other forwarders if
    /// it is not restarted.
    pub(super) fn stop_process(&mut self, forwarder: usize, restart_delay: Micros) {
        let process = &mut self.forwarders[forwarder];
        (process.is_up, process.accepts_requests, process.due) = (false, false, None);
        process.events.clear();
        self.audit.forwarder_stopped(self.now, forwarder);
        let ready = self.now.saturating_add(restart_delay).saturating_add(STARTUP_TIME);
        self.audit.excuse_late_answers(forwarder, self.now, ready.saturating_add(1_500 * MS));
        for number in 0..self.calls.len() {
            let call = &mut self.calls[number];
            if call.forwarder == forwarder && call.attempts.iter().any(|a| a.pending) {
                for attempt in &mut call.attempts {
                    attempt.pending = false;
                    self.messages[attempt.message].call = None;
                }
                self.release_call(number, false);
            }
        }
        let endpoint_count = self.environment.endpoints.len();
        for link in &mut self.links[forwarder * endpoint_count..(forwarder + 1) * endpoint_count] {
            link.idle.clear();
        }
        if restart_delay < NEVER_RESTARTED {
            return self.schedule(ready, SimulationEvent::Start(forwarder));
        }
        // The forwarder is not restarted: the open messages of its journal move to other forwarders.
        for id in 0..self.messages.len() {
            if self.messages[id].forwarder as usize == forwarder && !self.messages[id].closed {
                let other = self.rng.random_range(0..self.active_forwarders);
                self.messages[id].forwarder = other as u32;
                self.forwarders[forwarder].open_messages -= 1;
                self.forwarders[other].open_messages += 1;
                self.audit.message_moved(id, other);
                self.restore_message(other, id);
            }
        }
    }

    /// Starts a forwarder's process, which restores the open messages of its journal.
    pub(super) fn start(&mut self, forwarder: usize) {
        let process = &mut self.forwarders[forwarder];
        process.restarts += 1;
        process.policy = new_policy(self.environment, &self.settings, self.seed, forwarder, process.restarts);
        (process.is_up, process.accepts_requests) = (true, true);
        for (endpoint, lifecycle) in process.known_lifecycles.clone().into_iter().enumerate() {
            self.audit.lifecycle_received(self.now, forwarder, endpoint, lifecycle);
        }
        self.push_complete_list(forwarder);
        for id in 0..self.messages.len() {
            let message = &self.messages[id];
            if message.forwarder as usize == forwarder && !message.closed {
                self.restore_message(forwarder, id);
            }
        }
    }
}
