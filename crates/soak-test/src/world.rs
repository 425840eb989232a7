//! What all tasks of a run share: the present state of the forwarders' surroundings.

use crate::checker::InvariantChecker;
use crate::deployment::{Class, BUSY_DESTINATION, DESTINATIONS};
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
pub struct Discovery {
    /// They send nothing.
    pub silent: bool,
    /// They answer so late.
    pub slow: Duration,
}

/// What a run is like.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    pub forwarders: usize,
    pub fault_duration: Duration,
    /// Messages a second for each forwarder.
    pub rate: f64,
    /// A client waits so long for its response.
    pub patience: Duration,
    /// Processes are replaced by successors while they serve.
    pub hand_overs: bool,
    /// Idle clients take the forwarders' connections.
    pub crowds: bool,
}

/// Everything of a run.
pub struct World {
    pub executor: Rc<LocalExecutor<'static>>,
    pub options: RunOptions,
    pub seed: u64,
    pub random: RefCell<fastrand::Rng>,
    pub checker: RefCell<InvariantChecker>,
    pub endpoints: RefCell<Vec<Rc<Endpoint>>>,
    pub generation: Cell<u64>,
    pub discovery: Cell<Discovery>,
    pub classes: Vec<Class>,
    /// By destination: all its endpoints reset the connection of each call.
    pub down: RefCell<Vec<bool>>,
    /// No further faults are injected.
    pub faults_over: Cell<bool>,
    /// Clients send nothing more.
    pub submissions_over: Cell<bool>,
    pub begun: Instant,
    /// The faults are noted here, beside the forwarders' logs.
    pub events: RefCell<File>,
}

impl World {
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    pub fn below(&self, most: usize) -> usize {
        self.random.borrow_mut().usize(0..most.max(1))
    }

    /// Draws a destination: the busy one with a probability, or else any.
    pub fn destination(&self, busy: f64) -> usize {
        match self.chance(busy) {
            true => BUSY_DESTINATION,
            false => self.below(DESTINATIONS),
        }
    }

    /// A span between two numbers of milliseconds.
    pub fn span(&self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.borrow_mut().u64(from..=to))
    }

    pub fn chance(&self, part: f64) -> bool {
        self.random.borrow_mut().f64() < part
    }

    pub fn log(&self, what: &str) {
        let line = format!("{:8.3} {what}", self.begun.elapsed().as_secs_f64());
        eprintln!("{line}");
        // The line stands on standard error too.
        let _ = writeln!(self.events.borrow_mut(), "{line}");
    }
}

pub async fn sleep(span: Duration) {
    Timer::after(span).await;
}
