//! A scenario on sockets: destinations, a platform agent for each forwarder, clients, and real forwarders as
//! processes, all on loopback and on ports that the system picks. What both sides observe is audited as it happens.
//!
//! One thread and one clock, so that observations are in order. Every process ends with this one, however it ends.

mod agent;
mod call;
mod clients;
mod daemon;
mod day;
mod endpoint;
pub mod load;
pub mod proxy;
mod sampling;

use crate::audit::{Audit, AuditSizes, MessageEnd, RuleViolation, SOCKETS};
use crate::figures::Figures;
use crate::verdict::Lateness;
use crate::world::{World, START};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::Signals;
use cedarbridge::net::http::HttpConnection;
use cedarbridge::routes::{RouteTable, RouteTiming};
use cedarbridge::{ClassId, DestinationId, KindId, Lifecycle, Micros};
use cedarbridge_endpoint_model::{DestinationModel, Fault};
pub use daemon::DaemonError;
pub use sampling::counters;

use daemon::Daemon;
use futures_lite::{future, FutureExt, StreamExt};
use hdrhistogram::Histogram;
use proxy::ProxyFault;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A forwarder must be out so long after SIGTERM.
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(3_700);

/// How to run.
pub struct Options {
    /// The forwarder's program and the first of its arguments.
    pub daemon: Vec<PathBuf>,
    /// The program that starts it so that it ends with the kit: this one, with its hidden command.
    pub keeper: PathBuf,
    /// Where files and logs go.
    pub folder: PathBuf,
    /// The site file of the forwarders.
    pub site: Option<PathBuf>,
    /// What the forwarders log, by the daemon's own word for it.
    pub log_level: String,
    /// A fault put between a forwarder and the rest, to see it caught.
    pub fault: Option<ProxyFault>,
    /// Broken off after this.
    pub limit: Duration,
}

/// The result of a run.
pub struct LiveResult {
    /// The figures.
    pub figures: Figures,
    /// Rules broken.
    pub violations: Vec<RuleViolation>,
    /// How late the kit itself was.
    pub late: Lateness,
    /// What else went wrong.
    pub incidents: Vec<String>,
}

/// Why a run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum LiveError {
    /// The machine does not give what the scenario asks.
    #[error("this machine cannot play it: {0}")]
    Machine(String),
    /// Something of the system failed.
    #[error("{0}: {1}")]
    System(String, std::io::Error),
    /// It was broken off from outside.
    #[error("broken off")]
    BrokenOff,
    /// A part of the kit itself failed.
    #[error("a part of the kit panicked; all that it started was ended")]
    Panic,
    /// A forwarder did not start.
    #[error("{0}")]
    Daemon(#[from] DaemonError),
}

/// An update to the view of a run.
#[derive(Clone, Debug)]
pub enum ViewUpdate {
    /// Progress, twice a second.
    Progress(Progress),
}

/// A run's progress.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Microseconds since the day's begin, and its complete length.
    pub at: (Micros, Micros),
    /// Requests sent, and all that are planned.
    pub sent: (usize, usize),
    /// Value delivered and offered so far.
    pub value: (f64, f64),
    /// Rules broken so far.
    pub violations: usize,
    /// Each forwarder's `/_counters?by=partner`; none from one that does not answer.
    pub forwarders: Vec<Option<Value>>,
}

/// A command of the view.
#[derive(Clone, Copy, Debug)]
pub enum ViewCommand {
    /// Inject a fault into a destination, or end all of its injected faults.
    InjectFault(usize, Option<Fault>),
    /// Abort the run.
    Quit,
}

/// A request that was sent; a retry is another one.
#[derive(Clone, Copy)]
struct SentRequest {
    first: usize,
    retried: bool,
}

/// A destination's model, with what its connections must know.
struct LiveDestination {
    model: DestinationModel,
    /// Connections from before this are dead while they are half-open.
    half_open: Option<Micros>,
    /// Counts the faults that ended calls in flight; each call compares it.
    calls_ended: u32,
    /// Whether calls in flight are reset, or else left without an answer.
    ended_by_reset: bool,
    /// Closed at a change of faults, which wakes those that wait for it.
    changed: (Sender<()>, Receiver<()>),
    /// Faults injected by hand.
    injected: Vec<Fault>,
}

/// The state of a live run, shared by its tasks.
pub(crate) struct LiveRun {
    world: Rc<World>,
    plan: Option<Arc<RouteTable>>,
    options: Options,
    executor: Rc<LocalExecutor<'static>>,
    begun: Cell<Option<Instant>>,
    audit: RefCell<Audit>,
    figures: RefCell<Figures>,
    destinations: RefCell<Vec<LiveDestination>>,
    sent_requests: RefCell<Vec<SentRequest>>,
    ids: RefCell<HashMap<String, usize>>,
    /// By forwarder and endpoint of the list, where it listens for that forwarder.
    addresses: RefCell<Vec<Vec<SocketAddr>>>,
    /// The current endpoint list, and its version.
    list: RefCell<Vec<Lifecycle>>,
    version: Cell<u64>,
    /// Closed at a change of the list, which wakes its watches.
    list_watchers: RefCell<Vec<Sender<()>>>,
    daemons: RefCell<Vec<Daemon>>,
    rng: RefCell<ChaCha8Rng>,
    /// Clients that will retry or look for a forwarder.
    clients_waiting: Cell<usize>,
    open: Cell<usize>,
    sent: Cell<usize>,
    late: RefCell<(Histogram<u32>, u64, u64)>,
    /// How long forwarders took to answer `/_counters`, in microseconds.
    answer_times: RefCell<Histogram<u32>>,
    incidents: RefCell<Vec<String>>,
    pools: RefCell<Vec<Vec<HttpConnection>>>,
    /// For each forwarder that is being upgraded, the requests rejected or left unanswered meanwhile.
    rejected_in_upgrade: RefCell<Vec<Option<usize>>>,
    /// Calls in flight at destinations.
    calls_in_flight: Cell<usize>,
    /// Open connections, by endpoint.
    held: Vec<Cell<usize>>,
    /// Signals that a task has panicked.
    panicked: (Sender<()>, Receiver<()>),
}

impl LiveRun {
    /// The day's time; its begin, before that.
    fn now(&self) -> Micros {
        self.begun.get().map_or(START, |b| START + b.elapsed().as_micros() as Micros)
    }

    /// Sleeps until a time of the day.
    async fn until(&self, at: Micros) {
        if let Some(begun) = self.begun.get() {
            Timer::at(begun + Duration::from_micros(at.saturating_sub(START))).await;
        }
    }

    fn timing(&self, first: usize) -> RouteTiming {
        let destination = self.world.requests[first].destination;
        let (to, kind) = (DestinationId(destination as u64), KindId(self.world.kinds[destination]));
        self.plan.as_ref().map_or(RouteTiming::default(), |p| p.timing(to, Some(kind), ClassId(0)))
    }

    /// Counts a request that was refused a connection, disconnected or left unanswered.
    fn count_rejected_in_upgrade(&self, forwarder: usize) {
        self.rejected_in_upgrade.borrow_mut()[forwarder].iter_mut().for_each(|n| *n += 1);
    }

    fn report_incident(&self, what: String) {
        self.incidents.borrow_mut().push(what);
    }

    fn spawn(self: &Rc<Self>, task: impl std::future::Future<Output = ()> + 'static) {
        let panicked = self.panicked.0.clone();
        let task = std::panic::AssertUnwindSafe(task).catch_unwind();
        let task = async move {
            if task.await.is_err() {
                // A full channel has the news of an earlier panic.
                let _ = panicked.try_send(());
            }
        };
        self.executor.spawn(task).detach();
    }

    /// A message's end was reported to its client or the platform.
    fn ended(&self, message: usize, end: MessageEnd, notice: bool) {
        let first = self.sent_requests.borrow()[message].first;
        let (now, timing) = (self.now(), self.timing(first));
        let mut audit = self.audit.borrow_mut();
        let before = audit.open_at(message);
        if notice {
            audit.notified(now, message, &timing, end);
        } else {
            audit.ended(now, message, &timing, end);
        }
        if before {
            self.open.set(self.open.get() - 1);
            match end {
                MessageEnd::Delivered => self.figures.borrow_mut().delivered(now, first),
                MessageEnd::Rejected => self.figures.borrow_mut().given_up(true),
                MessageEnd::Failed => self.figures.borrow_mut().given_up(false),
                MessageEnd::Disconnected => {}
            }
        }
    }

    /// Applies the faults that a destination has now, planned and injected.
    fn apply_faults(&self, destination: usize, begun: Option<Fault>) {
        let now = self.now();
        let planned = self.world.faults.iter().filter(|f| f.applies(destination, now));
        let mut all: Vec<Fault> = planned.map(|f| f.fault).collect();
        let mut destinations = self.destinations.borrow_mut();
        let p = &mut destinations[destination];
        all.extend(&p.injected);
        p.half_open = match all.contains(&Fault::HalfOpenConnections) {
            true => p.half_open.or(Some(now)),
            false => None,
        };
        p.model.set_faults(now, all);
        if let Some(calls_ended) = begun.and_then(Fault::effect_on_calls_in_flight) {
            p.calls_ended += 1;
            p.ended_by_reset = calls_ended == cedarbridge_endpoint_model::InFlightEffect::Reset;
        }
        // Closing the channel wakes all that wait for a change.
        let (sender, receiver) = async_channel::bounded(1);
        let old = std::mem::replace(&mut p.changed, (sender, receiver));
        old.0.close();
    }
}

/// Checks that the machine allows as many descriptors as the scenario needs.
fn check_descriptors(world: &World) -> Result<(), LiveError> {
    let forwarder_count = world.fleet.len();
    let listeners = forwarder_count * (world.list.len() + 1);
    let calls = forwarder_count * world.settings.max_concurrent_calls;
    let clients = forwarder_count * world.settings.max_open_messages.min(2_000);
    let needed = listeners + 2 * calls + clients + 128;
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    match limit {
        Some(most) if (needed as u64) > most => Err(LiveError::Machine(format!(
            "it needs about {needed} descriptors ({listeners} listeners for {forwarder_count} forwarders and {} endpoints), \
             {most} are allowed; `simulate` plays it without sockets",
            world.list.len()
        ))),
        _ => Ok(()),
    }
}

/// Plays a day on sockets and returns it with its result. The view receives updates and may send commands.
pub fn rehearse(
    world: World,
    plan: Option<Arc<RouteTable>>,
    seed: u64,
    options: Options,
    view: Option<(Sender<ViewUpdate>, Receiver<ViewCommand>)>,
) -> (Rc<World>, Result<LiveResult, LiveError>) {
    let world = Rc::new(world);
    let day_done = play(world.clone(), plan, seed, options, view);
    (world, day_done)
}

fn play(
    world: Rc<World>,
    plan: Option<Arc<RouteTable>>,
    seed: u64,
    options: Options,
    view: Option<(Sender<ViewUpdate>, Receiver<ViewCommand>)>,
) -> Result<LiveResult, LiveError> {
    check_descriptors(&world)?;
    let executor = Rc::new(LocalExecutor::new());
    let limit = options.limit;
    let run = Rc::new(LiveRun::new(world, plan, seed, options, executor.clone()));
    let until_over = async {
        let too_long = async {
            Timer::after(limit).await;
            run.report_incident(format!("not over after {} s: broken off", limit.as_secs()));
            Ok(())
        };
        let panicked = async {
            // Its sender lives as long as the run, so this is a panic.
            let _ = run.panicked.1.recv().await;
            Err(LiveError::Panic)
        };
        future::or(panicked, future::or(interrupted(), future::or(day::day(&run, view), too_long))).await
    };
    let done = async_io::block_on(executor.run(until_over));
    // All processes are ended, whatever the result.
    run.daemons.borrow_mut().clear();
    done?;
    Ok(run.take_result())
}

impl LiveRun {
    fn new(
        world: Rc<World>,
        plan: Option<Arc<RouteTable>>,
        seed: u64,
        options: Options,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        let destinations = world.destinations.iter().zip(0u64..).map(|(m, n)| LiveDestination {
            model: DestinationModel::new(m.clone(), seed ^ n << 16),
            half_open: None,
            calls_ended: 0,
            ended_by_reset: false,
            changed: async_channel::bounded(1),
            injected: Vec::new(),
        });
        let forwarder_count = world.fleet.len();
        let list = (0..world.list.len())
            .map(|e| if e < world.listed { Lifecycle::Listed } else { Lifecycle::Removed })
            .collect();
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are in order");
        LiveRun {
            audit: RefCell::new(Audit::new(&world.settings, AuditSizes::of(&world), SOCKETS)),
            figures: RefCell::new(Figures::new(&world)),
            destinations: RefCell::new(destinations.collect()),
            sent_requests: RefCell::default(),
            ids: RefCell::default(),
            addresses: RefCell::new(vec![Vec::new(); forwarder_count]),
            list: RefCell::new(list),
            version: Cell::new(1),
            list_watchers: RefCell::default(),
            daemons: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            clients_waiting: Cell::new(0),
            open: Cell::new(0),
            sent: Cell::new(0),
            answer_times: RefCell::new(times.clone()),
            late: RefCell::new((times, 0, 0)),
            incidents: RefCell::default(),
            pools: RefCell::new((0..forwarder_count).map(|_| Vec::new()).collect()),
            rejected_in_upgrade: RefCell::new(vec![None; forwarder_count]),
            calls_in_flight: Cell::new(0),
            held: vec![Cell::new(0); world.list.len()],
            panicked: async_channel::bounded(1),
            begun: Cell::new(None),
            executor,
            world,
            plan,
            options,
        }
    }

    /// The figures and violations once the day is over.
    fn take_result(&self) -> LiveResult {
        let now = self.now();
        let overloaded: Vec<_> = self
            .destinations
            .borrow()
            .iter()
            .enumerate()
            .filter_map(|(n, p)| Some((n, p.model.overloaded_at()?)))
            .collect();
        let mut audit = self.audit.replace(Audit::new(&self.world.settings, AuditSizes::default(), SOCKETS));
        audit.close(now, overloaded.into_iter());
        let (times, late_sends, sends) = self.late.borrow().clone();
        let late = Lateness {
            loop_p99: times.value_at_quantile(0.99),
            loop_most: times.max(),
            late_sends,
            sends,
            counters_p90: self.answer_times.borrow().value_at_quantile(0.9),
        };
        let figures = self.figures.replace(Figures::new(&self.world));
        LiveResult { figures, violations: audit.violations, late, incidents: self.incidents.take() }
    }
}

/// Ends when the kit is asked to stop by a signal.
async fn interrupted() -> Result<(), LiveError> {
    let signals = Signals::new([async_signal::Signal::Int, async_signal::Signal::Term]);
    match signals {
        Ok(mut signals) => {
            signals.next().await;
            Err(LiveError::BrokenOff)
        }
        Err(_) => future::pending().await,
    }
}
