//! Runs a scenario on sockets: destinations, a platform agent for each forwarder, clients, and real forwarder processes,
//! all on loopback and on ports that the system picks. The audit reads what clients and destinations observe.
//!
//! A run has one thread and one clock, so that its observations are in order. The system ends every forwarder process
//! together with this process, also when this process is killed.

mod agent;
mod call;
mod clients;
mod endpoint;
mod forwarder_process;
pub mod load;
pub mod proxy;
mod sampling;
mod schedule;

use crate::audit::{Audit, AuditSizes, MessageEnd, RuleViolation, SOCKET_TOLERANCES};
use crate::environment::{Environment, RUN_START};
use crate::figures::Figures;
use crate::verdict::Lateness;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::Signals;
use cedarbridge::net::http::HttpConnection;
use cedarbridge::routes::{RouteTable, RouteTiming};
use cedarbridge::{ClassId, DestinationId, KindId, Lifecycle, Micros};
use cedarbridge_endpoint_model::{DestinationModel, Fault};
pub use forwarder_process::StartError;
pub use sampling::counters;

use forwarder_process::LiveForwarder;
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

/// A forwarder must have exited this time after SIGTERM.
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(3_700);

/// The options of a live run.
pub struct Options {
    /// The forwarder's program and its first arguments.
    pub forwarder_command: Vec<PathBuf>,
    /// The program whose hidden command `under` starts a forwarder so that it ends with this process.
    pub launcher: PathBuf,
    /// The folder of the forwarders' files and logs.
    pub folder: PathBuf,
    /// The site file of the forwarders; `None` to run without one.
    pub site: Option<PathBuf>,
    /// The forwarders' log level, as their option `--log-level` takes it.
    pub log_level: String,
    /// A fault of a proxy between forwarders and their peers, to test that the audit detects it.
    pub proxy_fault: Option<ProxyFault>,
    /// The run is aborted after this time.
    pub time_limit: Duration,
}

/// The result of a live run.
pub struct LiveResult {
    /// The figures of the run.
    pub figures: Figures,
    /// The rule violations found in the run.
    pub violations: Vec<RuleViolation>,
    /// How far the run was behind its own schedule.
    pub lateness: Lateness,
    /// Descriptions of what else went wrong, such as a forwarder that did not end in time.
    pub incidents: Vec<String>,
}

/// Why a live run could not be completed.
#[derive(Debug, thiserror::Error)]
pub enum LiveError {
    /// The machine lacks a resource that the scenario needs.
    #[error("this machine cannot run the scenario: {0}")]
    Machine(String),
    /// A system call failed; the text says for which purpose.
    #[error("{0}: {1}")]
    System(String, std::io::Error),
    /// The run was interrupted by a signal or by the user.
    #[error("the run was interrupted by a signal or by the user")]
    Interrupted,
    /// A task of the run panicked.
    #[error("a task of the run panicked; all started processes were ended")]
    TaskPanic,
    /// A forwarder did not start.
    #[error("{0}")]
    Start(#[from] StartError),
}

/// An update to the view of a run.
#[derive(Clone, Debug)]
pub enum ViewUpdate {
    /// The progress of the run, sent after each sample.
    Progress(Progress),
}

/// The progress of a live run.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Two durations in microseconds: the time since the start of the run, and the length of the run.
    pub at: (Micros, Micros),
    /// The numbers of requests that were sent and that are planned.
    pub sent: (usize, usize),
    /// The value delivered and offered so far.
    pub value: (f64, f64),
    /// The number of rule violations so far.
    pub violations: usize,
    /// Each forwarder's `/_counters?by=partner`; `None` from one that does not answer.
    pub forwarders: Vec<Option<Value>>,
}

/// A command of the view to the run.
#[derive(Clone, Copy, Debug)]
pub enum ViewCommand {
    /// Inject a fault into a destination, or end all of its injected faults.
    InjectFault(usize, Option<Fault>),
    /// Abort the run.
    Quit,
}

/// A message that a client sent. A client's retry is another message for the same request.
#[derive(Clone, Copy)]
struct SentMessage {
    /// The index of the request.
    request: usize,
    is_retry: bool,
}

/// The model of a destination, with the state that its connections share.
struct LiveDestination {
    model: DestinationModel,
    /// The start of a half-open fault: connections that were opened before get no answers. `None` without the fault.
    half_open_since: Option<Micros>,
    /// Counts the faults that ended calls in flight. A call is ended if the count has changed since the call began.
    ended_calls_version: u32,
    /// Whether these faults reset the calls in flight, or else leave them without an answer.
    ended_by_reset: bool,
    /// A channel that is closed at each change of faults, to wake the tasks that wait for a change.
    fault_change: (Sender<()>, Receiver<()>),
    /// The faults that the user has injected.
    injected_faults: Vec<Fault>,
}

/// The state of a live run, shared by its tasks.
pub(crate) struct LiveRun {
    environment: Rc<Environment>,
    route_table: Option<Arc<RouteTable>>,
    options: Options,
    executor: Rc<LocalExecutor<'static>>,
    /// When the run started; `None` until all forwarders are ready.
    started: Cell<Option<Instant>>,
    audit: RefCell<Audit>,
    figures: RefCell<Figures>,
    destinations: RefCell<Vec<LiveDestination>>,
    sent_messages: RefCell<Vec<SentMessage>>,
    message_ids: RefCell<HashMap<String, usize>>,
    /// For each forwarder and endpoint, the address on which the endpoint listens for that forwarder.
    endpoint_addresses: RefCell<Vec<Vec<SocketAddr>>>,
    /// The current lifecycle of each endpoint in the list.
    lifecycles: RefCell<Vec<Lifecycle>>,
    list_version: Cell<u64>,
    /// Channels that are closed at a change of the list, to wake its watches.
    list_watchers: RefCell<Vec<Sender<()>>>,
    forwarders: RefCell<Vec<LiveForwarder>>,
    rng: RefCell<ChaCha8Rng>,
    /// The number of clients that will retry or are looking for a forwarder.
    clients_waiting: Cell<usize>,
    /// The number of messages without a final answer.
    open_messages: Cell<usize>,
    /// The number of requests that were sent.
    sent_count: Cell<usize>,
    /// The event loop's lateness in microseconds, the number of late sends, and the number of all sends.
    lateness: RefCell<(Histogram<u32>, u64, u64)>,
    /// The times that forwarders took to answer `/_counters`, in microseconds.
    counters_times: RefCell<Histogram<u32>>,
    incidents: RefCell<Vec<String>>,
    /// The clients' idle connections, by forwarder.
    idle_connections: RefCell<Vec<Vec<HttpConnection>>>,
    /// For each forwarder that is being upgraded, the number of requests rejected or left unanswered meanwhile.
    rejected_in_upgrade: RefCell<Vec<Option<usize>>>,
    /// The number of calls in flight at all destinations.
    calls_in_flight: Cell<usize>,
    /// The number of open connections of each endpoint, over all forwarders.
    open_connections: Vec<Cell<usize>>,
    /// A channel that signals the panic of a task.
    panicked: (Sender<()>, Receiver<()>),
}

impl LiveRun {
    /// The time on the run's clock; [`RUN_START`] until the run starts.
    fn now(&self) -> Micros {
        self.started.get().map_or(RUN_START, |s| RUN_START + s.elapsed().as_micros() as Micros)
    }

    /// Sleeps until a time on the run's clock. Returns at once if the run has not started.
    async fn sleep_until(&self, at: Micros) {
        if let Some(started) = self.started.get() {
            Timer::at(started + Duration::from_micros(at.saturating_sub(RUN_START))).await;
        }
    }

    /// The timing that the routes give a request's messages.
    fn timing(&self, request: usize) -> RouteTiming {
        let destination = self.environment.requests[request].destination;
        let (id, kind) =
            (DestinationId(destination as u64), KindId(self.environment.destination_kinds[destination]));
        self.route_table.as_ref().map_or(RouteTiming::default(), |p| p.timing(id, Some(kind), ClassId(0)))
    }

    /// Counts a request that got no connection, was disconnected or was left unanswered, if the forwarder is being upgraded.
    fn count_rejected_in_upgrade(&self, forwarder: usize) {
        self.rejected_in_upgrade.borrow_mut()[forwarder].iter_mut().for_each(|n| *n += 1);
    }

    fn report_incident(&self, description: String) {
        self.incidents.borrow_mut().push(description);
    }

    /// Spawns a task. Its panic ends the run.
    fn spawn(self: &Rc<Self>, task: impl std::future::Future<Output = ()> + 'static) {
        let panicked = self.panicked.0.clone();
        let task = std::panic::AssertUnwindSafe(task).catch_unwind();
        let task = async move {
            if task.await.is_err() {
                // If the channel is full, it already signals an earlier panic.
                let _ = panicked.try_send(());
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Records the end of a message, as its client got it or as a delivery report states it.
    fn message_ended(&self, message: usize, end: MessageEnd, by_delivery_report: bool) {
        let request = self.sent_messages.borrow()[message].request;
        let (now, timing) = (self.now(), self.timing(request));
        let mut audit = self.audit.borrow_mut();
        let was_open = audit.is_open(message);
        if by_delivery_report {
            audit.delivery_report_received(now, message, &timing, end);
        } else {
            audit.message_ended(now, message, &timing, end);
        }
        if was_open {
            self.open_messages.set(self.open_messages.get() - 1);
            match end {
                MessageEnd::Delivered => self.figures.borrow_mut().delivered(now, request),
                MessageEnd::Rejected => self.figures.borrow_mut().message_undelivered(true),
                MessageEnd::Failed => self.figures.borrow_mut().message_undelivered(false),
                MessageEnd::Disconnected => {}
            }
        }
    }

    /// Applies the planned and injected faults that a destination has now. `started` is the fault that starts now, if any.
    fn apply_faults(&self, destination: usize, started: Option<Fault>) {
        let now = self.now();
        let planned = self.environment.faults.iter().filter(|f| f.applies(destination, now));
        let mut faults: Vec<Fault> = planned.map(|f| f.fault).collect();
        let mut destinations = self.destinations.borrow_mut();
        let state = &mut destinations[destination];
        faults.extend(&state.injected_faults);
        state.half_open_since = match faults.contains(&Fault::HalfOpenConnections) {
            true => state.half_open_since.or(Some(now)),
            false => None,
        };
        state.model.set_faults(now, faults);
        if let Some(effect) = started.and_then(Fault::effect_on_calls_in_flight) {
            state.ended_calls_version += 1;
            state.ended_by_reset = effect == cedarbridge_endpoint_model::InFlightEffect::Reset;
        }
        // Closing the channel wakes all tasks that wait for a change.
        let (sender, receiver) = async_channel::bounded(1);
        let old = std::mem::replace(&mut state.fault_change, (sender, receiver));
        old.0.close();
    }
}

/// Checks that the process may open as many file descriptors as the scenario needs.
fn check_descriptors(environment: &Environment) -> Result<(), LiveError> {
    let forwarder_count = environment.fleet.len();
    let listeners = forwarder_count * (environment.endpoints.len() + 1);
    let calls = forwarder_count * environment.settings.max_concurrent_calls;
    let clients = forwarder_count * environment.settings.max_open_messages.min(2_000);
    let needed = listeners + 2 * calls + clients + 128;
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    match limit {
        Some(allowed) if (needed as u64) > allowed => Err(LiveError::Machine(format!(
            "it needs about {needed} descriptors ({listeners} listeners for {forwarder_count} forwarders and {} endpoints), \
             {allowed} are allowed; `simulate` runs it without sockets",
            environment.endpoints.len()
        ))),
        _ => Ok(()),
    }
}

/// Runs an environment on sockets, and returns it with the result. The view receives updates and may send commands.
///
/// # Errors
/// The machine lacks file descriptors, a forwarder does not start, a system call fails, or the run is interrupted.
pub fn rehearse(
    environment: Environment,
    route_table: Option<Arc<RouteTable>>,
    seed: u64,
    options: Options,
    view: Option<(Sender<ViewUpdate>, Receiver<ViewCommand>)>,
) -> (Rc<Environment>, Result<LiveResult, LiveError>) {
    let environment = Rc::new(environment);
    let result = run(environment.clone(), route_table, seed, options, view);
    (environment, result)
}

fn run(
    environment: Rc<Environment>,
    route_table: Option<Arc<RouteTable>>,
    seed: u64,
    options: Options,
    view: Option<(Sender<ViewUpdate>, Receiver<ViewCommand>)>,
) -> Result<LiveResult, LiveError> {
    check_descriptors(&environment)?;
    let executor = Rc::new(LocalExecutor::new());
    let time_limit = options.time_limit;
    let run = Rc::new(LiveRun::new(environment, route_table, seed, options, executor.clone()));
    let until_over = async {
        let timed_out = async {
            Timer::after(time_limit).await;
            run.report_incident(format!(
                "the run did not end within {} s and was aborted",
                time_limit.as_secs()
            ));
            Ok(())
        };
        let panicked = async {
            // The sender lives as long as the run, so a result means a panic.
            let _ = run.panicked.1.recv().await;
            Err(LiveError::TaskPanic)
        };
        future::or(
            panicked,
            future::or(interrupted(), future::or(schedule::run_schedule(&run, view), timed_out)),
        )
        .await
    };
    let done = async_io::block_on(executor.run(until_over));
    // Dropping the forwarders ends their processes, whatever the result is.
    run.forwarders.borrow_mut().clear();
    done?;
    Ok(run.take_result())
}

impl LiveRun {
    fn new(
        environment: Rc<Environment>,
        route_table: Option<Arc<RouteTable>>,
        seed: u64,
        options: Options,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        let destinations = environment.destinations.iter().zip(0u64..).map(|(m, n)| LiveDestination {
            model: DestinationModel::new(m.clone(), seed ^ n << 16),
            half_open_since: None,
            ended_calls_version: 0,
            ended_by_reset: false,
            fault_change: async_channel::bounded(1),
            injected_faults: Vec::new(),
        });
        let forwarder_count = environment.fleet.len();
        let lifecycles = (0..environment.endpoints.len())
            .map(|e| if e < environment.initially_listed { Lifecycle::Listed } else { Lifecycle::Removed })
            .collect();
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
        LiveRun {
            audit: RefCell::new(Audit::new(
                &environment.settings,
                AuditSizes::of(&environment),
                SOCKET_TOLERANCES,
            )),
            figures: RefCell::new(Figures::new(&environment)),
            destinations: RefCell::new(destinations.collect()),
            sent_messages: RefCell::default(),
            message_ids: RefCell::default(),
            endpoint_addresses: RefCell::new(vec![Vec::new(); forwarder_count]),
            lifecycles: RefCell::new(lifecycles),
            list_version: Cell::new(1),
            list_watchers: RefCell::default(),
            forwarders: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            clients_waiting: Cell::new(0),
            open_messages: Cell::new(0),
            sent_count: Cell::new(0),
            counters_times: RefCell::new(times.clone()),
            lateness: RefCell::new((times, 0, 0)),
            incidents: RefCell::default(),
            idle_connections: RefCell::new((0..forwarder_count).map(|_| Vec::new()).collect()),
            rejected_in_upgrade: RefCell::new(vec![None; forwarder_count]),
            calls_in_flight: Cell::new(0),
            open_connections: vec![Cell::new(0); environment.endpoints.len()],
            panicked: async_channel::bounded(1),
            started: Cell::new(None),
            executor,
            environment,
            route_table,
            options,
        }
    }

    /// Closes the audit and takes the result out of the finished run.
    fn take_result(&self) -> LiveResult {
        let now = self.now();
        let overloaded: Vec<_> = self
            .destinations
            .borrow()
            .iter()
            .enumerate()
            .filter_map(|(n, p)| Some((n, p.model.overloaded_at()?)))
            .collect();
        let mut audit = self.audit.replace(Audit::new(
            &self.environment.settings,
            AuditSizes::default(),
            SOCKET_TOLERANCES,
        ));
        audit.close(now, overloaded.into_iter());
        let (loop_times, late_sends, sends) = self.lateness.borrow().clone();
        let lateness = Lateness {
            loop_p99: loop_times.value_at_quantile(0.99),
            loop_max: loop_times.max(),
            late_sends,
            sends,
            counters_p90: self.counters_times.borrow().value_at_quantile(0.9),
        };
        let figures = self.figures.replace(Figures::new(&self.environment));
        LiveResult { figures, violations: audit.violations, lateness, incidents: self.incidents.take() }
    }
}

/// Waits for SIGINT or SIGTERM, and returns the error that ends the run.
async fn interrupted() -> Result<(), LiveError> {
    let signals = Signals::new([async_signal::Signal::Int, async_signal::Signal::Term]);
    match signals {
        Ok(mut signals) => {
            signals.next().await;
            Err(LiveError::Interrupted)
        }
        Err(_) => future::pending().await,
    }
}
