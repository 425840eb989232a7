//! What all tasks of a run share: the present state of the forwarders' surroundings.

use crate::checker::InvariantChecker;
use crate::deployment::{Class, BUSY_DESTINATION, DESTINATION_COUNT};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How an endpoint behaves at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    Normal,
    /// It accepts calls and answers none.
    Hangs,
    /// It rejects calls, with a `retry_after` of so many milliseconds.
    Rejects(u64),
    /// It answers 500.
    Fails,
    /// It resets the connection once it has received a call.
    Resets,
    /// It closes new connections at once.
    ClosesConnections,
    /// Its answers stop in the middle.
    TruncatesAnswers,
}

/// An endpoint, and its entry of the list.
pub struct Endpoint {
    pub name: String,
    pub destination: usize,
    pub zone: usize,
    pub address: SocketAddr,
    pub behaviour: Cell<Behaviour>,
    pub lifecycle: Cell<&'static str>,
    /// It accepts no connection now: once its backlog is full, connects come up late.
    pub accepts_late: Cell<bool>,
    /// Counts up as it resets its idle connections.
    pub reset_count: Cell<u32>,
}

/// How the platform's agents behave at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryState {
    /// They send nothing.
    pub silent: bool,
    /// They answer so late.
    pub delay: Duration,
}

/// What a run is like.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    pub forwarders: usize,
    pub fault_duration: Duration,
    /// Messages a second for each forwarder.
    pub rate: f64,
    /// A client waits so long for its response.
    pub client_timeout: Duration,
    /// Processes are replaced by successors while they serve.
    pub hand_overs: bool,
    /// Idle clients take the forwarders' connections.
    pub idle_clients: bool,
}

/// Everything of a run.
pub struct Environment {
    pub executor: Rc<LocalExecutor<'static>>,
    pub options: RunOptions,
    pub seed: u64,
    pub random: RefCell<fastrand::Rng>,
    pub checker: RefCell<InvariantChecker>,
    pub endpoints: RefCell<Vec<Rc<Endpoint>>>,
    pub list_generation: Cell<u64>,
    pub discovery: Cell<DiscoveryState>,
    pub classes: Vec<Class>,
    /// By destination: all its endpoints reset the connection of each call.
    pub destinations_down: RefCell<Vec<bool>>,
    /// No further faults are injected.
    pub faults_ended: Cell<bool>,
    /// Clients send nothing more.
    pub submissions_ended: Cell<bool>,
    pub started_at: Instant,
    /// The faults are noted here, beside the forwarders' logs.
    pub event_log: RefCell<File>,
}

impl Environment {
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    pub fn random_below(&self, bound: usize) -> usize {
        self.random.borrow_mut().usize(0..bound.max(1))
    }

    /// Draws a destination: the busy one with a probability, or else any.
    pub fn random_destination(&self, busy_probability: f64) -> usize {
        match self.random_bool(busy_probability) {
            true => BUSY_DESTINATION,
            false => self.random_below(DESTINATION_COUNT),
        }
    }

    /// A span between two numbers of milliseconds.
    pub fn random_duration(&self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.random.borrow_mut().u64(from_ms..=to_ms))
    }

    pub fn random_bool(&self, probability: f64) -> bool {
        self.random.borrow_mut().f64() < probability
    }

    pub fn log(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.started_at.elapsed().as_secs_f64());
        eprintln!("{line}");
        // The line stands on standard error too.
        let _ = writeln!(self.event_log.borrow_mut(), "{line}");
    }
}

pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}
