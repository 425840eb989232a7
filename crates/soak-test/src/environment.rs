//! The state that all tasks of a run share: options, endpoints, faults in force, the random generator and the checker.

use crate::checker::InvariantChecker;
use crate::deployment::{Class, BUSY_DESTINATION, DESTINATION_COUNT};
use crate::hold_ups::HoldUps;
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How an endpoint treats calls and connections at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// It answers each call with 200 after a short random time.
    Normal,
    /// It accepts calls and never answers.
    Hangs,
    /// It rejects calls with 429 and this `retry_after`, in milliseconds.
    Rejects(u64),
    /// It answers calls with 500.
    Fails,
    /// It resets the connection after it has processed a call.
    Resets,
    /// It closes new connections immediately.
    ClosesConnections,
    /// It sends only the beginning of a response and then closes the connection.
    TruncatesAnswers,
}

/// An endpoint and the state of its entry in the endpoint list.
pub struct Endpoint {
    /// Its instance id in the endpoint list.
    pub name: String,
    /// The number of its destination, from 0.
    pub destination: usize,
    /// The index of its zone in `deployment::ZONES`.
    pub zone: usize,
    pub address: SocketAddr,
    pub behaviour: Cell<Behaviour>,
    /// The lifecycle as the endpoint list has it: `active`, `leaving` or `left`.
    pub lifecycle: Cell<&'static str>,
    /// While set, the endpoint accepts no connection: once its backlog is full, further connections are established late.
    pub accepts_late: Cell<bool>,
    /// Incremented to make the endpoint reset its idle connections.
    pub reset_count: Cell<u32>,
}

/// A change of the list counts as received this long after the forwarders could ask for it.
pub const NOTIFIED_AT_LATEST: Duration = Duration::from_secs(6);

/// How the platform's discovery agents behave at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryState {
    /// The agents hold back lists and list updates.
    pub silent: bool,
    /// Delay of each list and list update.
    pub delay: Duration,
    /// How the agents refuse watches; `None` if they accept them.
    pub refusal: Option<Refusal>,
}

impl DiscoveryState {
    /// Whether a forwarder that asks for the list gets it.
    pub fn is_reachable(&self) -> bool {
        !self.silent && self.refusal.is_none()
    }
}

/// How the platform's discovery agents refuse watches.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Whether open watches are ended; otherwise they fall silent.
    pub ends_watches: bool,
    /// The `Retry-After` of the responses, in seconds.
    pub retry_after_s: Option<usize>,
}

/// The options of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Number of forwarder processes.
    pub forwarders: usize,
    /// How long faults are injected.
    pub fault_duration: Duration,
    /// Messages per second to each forwarder.
    pub rate: f64,
    /// How long a client waits for its response.
    pub client_timeout: Duration,
    /// Some processes hand over to a successor while they serve.
    pub hand_overs: bool,
    /// Endpoints and agents sometimes send a response twice.
    pub copied_responses: bool,
    /// Idle clients sometimes use up all client connections of a forwarder.
    pub idle_clients: bool,
}

/// The shared state of a run.
pub struct Environment {
    pub executor: Rc<LocalExecutor<'static>>,
    pub options: RunOptions,
    pub seed: u64,
    /// The random generator that all tasks draw from.
    pub random: RefCell<fastrand::Rng>,
    pub checker: RefCell<InvariantChecker>,
    /// For each forwarder, the hold-ups of its writes.
    pub hold_ups: RefCell<Vec<HoldUps>>,
    /// All endpoints ever started, by number.
    pub endpoints: RefCell<Vec<Rc<Endpoint>>>,
    /// Incremented with each change of the endpoint list.
    pub list_generation: Cell<u64>,
    pub discovery: Cell<DiscoveryState>,
    pub classes: Vec<Class>,
    /// For each destination whether it is down: all its endpoints reset the connection of each call.
    pub destinations_down: RefCell<Vec<bool>>,
    /// Set when no further faults are injected.
    pub faults_ended: Cell<bool>,
    /// Set when clients submit no further messages.
    pub submissions_ended: Cell<bool>,
    /// The start of the run, from which the event log counts its times.
    pub started_at: Instant,
    /// A file of the run's folder that lists the injected faults with their times.
    pub event_log: RefCell<File>,
}

impl Environment {
    /// Runs a task in the background until the run ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Whether responses are sent twice at present.
    pub fn copies_responses(&self) -> bool {
        self.options.copied_responses && !self.faults_ended.get()
    }

    /// When the last injected hold-up of the forwarder that was sent this message ends; `None` without any.
    pub fn last_hold_up_end(&self, message_id: &str) -> Option<Instant> {
        let forwarder = self.checker.borrow().forwarder_of(message_id)?;
        self.hold_ups.borrow_mut().get_mut(forwarder)?.last_end()
    }

    /// Draws a number below `bound`; 0 if the bound is 0.
    pub fn random_below(&self, bound: usize) -> usize {
        self.random.borrow_mut().usize(0..bound.max(1))
    }

    /// Draws a destination: the busy one with the given probability, or else any one with equal probability.
    pub fn random_destination(&self, busy_probability: f64) -> usize {
        match self.random_bool(busy_probability) {
            true => BUSY_DESTINATION,
            false => self.random_below(DESTINATION_COUNT),
        }
    }

    /// Draws a duration of whole milliseconds between two bounds, both included.
    pub fn random_duration(&self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.random.borrow_mut().u64(from_ms..=to_ms))
    }

    /// Draws true with the given probability.
    pub fn random_bool(&self, probability: f64) -> bool {
        self.random.borrow_mut().f64() < probability
    }

    /// Writes a line with the time since the run's start to standard error and to the event log.
    pub fn log(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.started_at.elapsed().as_secs_f64());
        eprintln!("{line}");
        // An error is ignored, as standard error has the line too.
        let _ = writeln!(self.event_log.borrow_mut(), "{line}");
    }
}

/// Waits for the given time.
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}
