//! What all tasks of a run share: the forwarders' surroundings as they are now.

use crate::judge::{Effect, Judge};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How an endpoint behaves just now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Well,
    /// It takes calls and answers none.
    Hangs,
    /// It turns calls away, and asks for a pause of so many milliseconds.
    Refuses(u64),
    /// It answers 500.
    Errs,
    /// It resets the connection once a call has come.
    Resets,
    /// It closes new connections at once.
    Shuts,
    /// Its answers stop in the middle.
    HalfAnswers,
}

/// An entry of the list.
pub struct Endpoint {
    pub name: String,
    pub destination: usize,
    pub zone: usize,
    pub address: SocketAddr,
    pub mood: Cell<Mood>,
    pub lifecycle: Cell<&'static str>,
    /// Counts up as it forgets its idle connections: they are reset.
    pub forgets: Cell<u32>,
}

/// How the platform's agents behave just now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Discovery {
    /// It says nothing.
    pub silent: bool,
    /// It answers so late.
    pub slow: Duration,
}

/// A class of messages.
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
}

/// Sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub forwarders: usize,
    pub lasts: Duration,
    /// Messages a second for each forwarder.
    pub rate: f64,
    /// A client waits so long for its answer.
    pub patience: Duration,
}

/// Everything of a run.
pub struct World {
    pub executor: Rc<LocalExecutor<'static>>,
    pub size: Size,
    pub seed: u64,
    pub random: RefCell<fastrand::Rng>,
    pub judge: RefCell<Judge>,
    pub endpoints: RefCell<Vec<Rc<Endpoint>>>,
    pub generation: Cell<u64>,
    pub discovery: Cell<Discovery>,
    pub classes: Vec<Class>,
    /// Troubles are over: what is left may end.
    pub quiet: Cell<bool>,
    /// Nothing more is handed in.
    pub closing: Cell<bool>,
    pub begun: Instant,
}

impl World {
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    pub fn below(&self, most: usize) -> usize {
        self.random.borrow_mut().usize(0..most.max(1))
    }

    /// A span between two numbers of milliseconds.
    pub fn span(&self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.borrow_mut().u64(from..=to))
    }

    pub fn chance(&self, part: f64) -> bool {
        self.random.borrow_mut().f64() < part
    }

    pub fn log(&self, what: &str) {
        eprintln!("{:8.3} {what}", self.begun.elapsed().as_secs_f64());
    }
}

pub async fn sleep(span: Duration) {
    Timer::after(span).await;
}
