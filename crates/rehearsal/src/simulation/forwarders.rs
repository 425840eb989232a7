//! Forwarders' processes: starts, stops, graceful shutdown, stalls, reloads, and the fleet's size.

use super::event_queue::SimulationEvent;
use super::{Simulation, MS, STARTUP_TIME};
use crate::scenario::Signal;
use crate::world::World;
use cedarbridge::{DeliveryPolicy, EndpointEntry, EndpointListUpdate, Event, Lifecycle, Micros};
use rand::RngExt;

/// A forwarder that shuts down gracefully accepts requests for so long after the signal.
const ACCEPT_WHILE_DRAINING: Micros = 600 * MS;
/// A draining forwarder stops after this, even with open messages.
const DRAIN_LIMIT: Micros = 2_600 * MS;
/// How often a draining forwarder checks its open messages.
const DRAIN_POLL: Micros = 20 * MS;
/// In place of the time until a forwarder is restarted: it stays away.
const NEVER_RESTARTED: Micros = Micros::MAX;

/// A forwarder's process.
pub(super) struct Forwarder {
    pub(super) policy: DeliveryPolicy,
    pub(super) events: Vec<Event>,
    pub(super) last_step: Micros,
    pub(super) due: Option<Micros>,
    /// What its list says of each endpoint.
    pub(super) list: Vec<Lifecycle>,
    pub(super) up: bool,
    pub(super) accepts: bool,
    pub(super) starts: u64,
    /// Open messages.
    pub(super) open: usize,
}

/// The policy of a forwarder, with a seed of its own for each start.
pub(super) fn new_policy(
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
    /// Carries out a planned stop, reload, stall or upgrade.
    pub(super) fn stop(&mut self, number: usize) {
        let stop = self.world.stops[number];
        match stop.signal {
            Signal::Hup => self.push_settings(stop.forwarder),
            Signal::Stall => self.stall(stop.forwarder, stop.back),
            Signal::Kill => self.stop_process(stop.forwarder, stop.back),
            // The policy's state passes to the new process.
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

    /// Sends a forwarder its settings, as a reload does.
    pub(super) fn push_settings(&mut self, forwarder: usize) {
        if self.forwarders[forwarder].up {
            let routes = self.settings.routes.clone();
            let settings = self.world.settings_for(forwarder, self.settings.forwarders);
            self.push_event(
                forwarder,
                Event::Settings(Box::new(cedarbridge::Settings { routes, ..settings })),
            );
        }
    }

    /// Sends a forwarder its complete endpoint list.
    pub(super) fn push_complete_list(&mut self, forwarder: usize) {
        let list = &self.forwarders[forwarder].list;
        let entries = self.world.list.iter().zip(list).filter(|(_, l)| **l != Lifecycle::Removed);
        let all = entries.map(|(e, l)| EndpointEntry { lifecycle: *l, ..e.entry.clone() }).collect();
        self.push_event(forwarder, Event::EndpointList(EndpointListUpdate::Complete(all)));
    }

    /// Grows or shrinks the fleet; each forwarder that stays learns the new size at a time of its own.
    pub(super) fn resize(&mut self, number: usize) {
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

    /// Pauses a forwarder: it takes no step until it resumes, and events wait meanwhile.
    pub(super) fn stall(&mut self, forwarder: usize, lasts: Micros) {
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

    /// Stops accepting, and stops the process once all open messages have ended or the drain limit has passed.
    pub(super) fn drain(&mut self, forwarder: usize, since: Micros, back: Micros) {
        self.forwarders[forwarder].accepts = false;
        if self.forwarders[forwarder].open == 0 || self.now >= since + DRAIN_LIMIT {
            return self.stop_process(forwarder, back);
        }
        self.schedule(self.now + DRAIN_POLL, SimulationEvent::DrainCheck { forwarder, since, back });
    }

    /// Ends a forwarder's process: its calls break, and its open messages wait for the restart or move to other forwarders.
    pub(super) fn stop_process(&mut self, forwarder: usize, back: Micros) {
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
        // It stays away: the open messages of its journal move to other forwarders.
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

    /// Starts a forwarder with the open messages of its journal.
    pub(super) fn start(&mut self, forwarder: usize) {
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
}
