//! The start of a process: it starts the actors on what [`opening`](super::opening) has opened, and serves until it is terminated.

use super::background;
use super::clock::Clock;
use super::deadline::within;
use super::load::{ConfigLoader, LoadError, LoadOccasion};
use super::opening::{open, OpenedResources, StartError, START_RETRY_PAUSE};
use super::process_memory;
use super::reload;
use super::shutdown;
use super::signals::{Signal, Signals};
use crate::journal::JournaledMessage;
use crate::net::config::Config;
use crate::net::context::{Context, ContextParts};
use crate::net::delivery::DeliveryActor;
use crate::net::handover::{self, fence::Fence, fence_watch, frames::HandOverState, lock::Owner};
use crate::net::handover::{FolderClaim, FrameSender};
use crate::net::journal_handle::JournalHandle;
use crate::net::messages::{DeliveryReport, EndpointListMessage};
use crate::net::platform::endpoint_list::EndpointListActor;
use crate::net::platform::{delivery_reports, eureka};
use crate::net::{client, operator};
use crate::{DeliveryPolicy, Settings, SettingsError};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use serde_json::value::RawValue;
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the start is retried if a fence of an earlier process cannot be read.
const UNREADABLE_FENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The capacity of the delivery actor's mailbox, in items; senders wait while it is full.
const DELIVERY_MAILBOX_CAPACITY: usize = 1024;
/// The capacity of the queue of delivery reports to be sent, in reports; the delivery actor waits while it is full.
const REPORTS_MAILBOX_CAPACITY: usize = 4096;
/// The capacity of the endpoint list actor's mailbox, in items; most senders wait while it is full.
const ENDPOINT_LIST_MAILBOX_CAPACITY: usize = 16;

/// Why the forwarder could not start, or ended with a failure.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The configuration cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The delivery policy rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The state folder or an address cannot be used.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The connection to a successor that had taken over has ended, so requests could no longer be forwarded.
    #[error("lost the successor that had taken over")]
    SuccessorLost,
}

/// Runs the forwarder until a signal terminates it or a hand-over to a successor is complete.
///
/// # Errors
///
/// Returns an error if the forwarder could not start, or lost the successor to which it had handed over.
pub fn run(load_config: Arc<ConfigLoader>, log: Logger) -> Result<(), RunError> {
    let executor = Rc::new(LocalExecutor::new());
    let running = executor.clone();
    async_io::block_on(running.run(serve(&load_config, log, executor)))
}

/// Starts the process, serves until it is terminated or has handed over, and shuts it down.
async fn serve(
    load_config: &Arc<ConfigLoader>,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), RunError> {
    let signals = Signals::new().map_err(RunError::Signals)?;
    let (config, settings) = load_config(LoadOccasion::Start)?;
    let clock = Clock::start();
    let opening = async { Some(open(&config, clock, &log, &executor).await) };
    let reload_requested = Cell::new(false);
    let Some(opened) = future::or(opening, until_terminated(&signals, &reload_requested)).await else {
        info!(log, "terminated before the start was complete");
        return Ok(());
    };
    let RunningProcess { context, endpoint_list, accepting, registration } =
        start_actors(opened?, config, settings, clock, log, executor).await?;
    let terminated = async {
        if reload_requested.get() {
            reload::reload(&context, load_config, &endpoint_list).await;
        }
        reload::until_terminated(&context, &signals, load_config, &endpoint_list).await;
    };
    future::or(terminated, handover::until_hand_over_finished(&context)).await;
    shutdown::shut_down(&context, accepting).await;
    if let Some(registration) = registration {
        registration.cancel().await;
    }
    info!(context.log, "counters"; "report" => %context.report());
    match context.lifecycle.is_successor_lost() {
        true => Err(RunError::SuccessorLost),
        false => Ok(()),
    }
}

/// Waits for the signal that terminates the process while it starts, and returns `None`. A SIGHUP sets `reload_requested`:
/// the configuration has been read already, and is reloaded once the process serves.
async fn until_terminated<T>(signals: &Signals, reload_requested: &Cell<bool>) -> Option<T> {
    while signals.next().await == Signal::Reload {
        reload_requested.set(true);
    }
    None
}

/// The handles of a process whose actors run.
struct RunningProcess {
    context: Rc<Context>,
    /// The mailbox of the endpoint list actor.
    endpoint_list: Sender<EndpointListMessage>,
    /// The task that accepts clients; it ends when the listener is closed.
    accepting: Task<()>,
    /// The registration at the registry, if one is configured.
    registration: Option<Registration>,
}

/// Restores the actors' state, starts the actors and their background tasks, and begins to accept operators and clients.
async fn start_actors(
    opened: OpenedResources,
    mut config: Config,
    settings: Settings,
    clock: Clock,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<RunningProcess, RunError> {
    let OpenedResources { mut claim, listeners, journal, restored } = opened;
    for damage in &restored.damage {
        warn!(log, "skipped a damaged or unreadable part of the journal"; "what" => damage);
    }
    let predecessor = claim.as_ref().and_then(FolderClaim::predecessor);
    let inherited = claim.as_mut().and_then(|claim| claim.inherited.take());
    let (state, policy) = inherited.map(|inherited| (inherited.state, inherited.policy)).unzip();
    let initial_list = config.initial_endpoint_list.take();
    let routes = settings.routes.clone();
    let settings = Settings { wall_clock_offset: clock.wall_clock_offset(), ..settings };
    let policy = match policy {
        Some(policy) => policy,
        None => DeliveryPolicy::new(settings.clone(), config.seed)?,
    };
    let (delivery, delivery_mailbox) = async_channel::bounded(DELIVERY_MAILBOX_CAPACITY);
    let journal = JournalHandle::new(journal);
    journal.shrink_to_limit();
    let parts = ContextParts {
        log,
        clock,
        executor,
        delivery,
        journal,
        config,
        listen_address: listeners.client_address,
    };
    let context = Rc::new(Context::new(parts));
    context.gauges.predecessor_connections.set(state.as_ref().map_or(0, |state| state.client_connections));
    context.set_memory_shared(state.is_some());
    context.route_stats.set_route_table(routes);
    reload::warn_without_index(&context);
    let reports = start_background(&context);
    let (endpoint_list, endpoint_list_mailbox) = async_channel::bounded(ENDPOINT_LIST_MAILBOX_CAPACITY);
    let mut delivery_actor =
        DeliveryActor::new(context.clone(), policy, reports, endpoint_list.clone(), restored.highest_id);
    delivery_actor.restore_ended_ids(restored.completed);
    let mut endpoint_list_actor = EndpointListActor::new(context.clone(), endpoint_list.clone());
    let fences = find_fences(&context).await;
    delivery_actor.set_fenced_attempts(&fences);
    let origin = match state.zip(predecessor) {
        Some((state, predecessor)) => Origin::Predecessor(state, predecessor, Box::new(settings)),
        None => Origin::Folder(initial_list),
    };
    restore(&mut delivery_actor, &mut endpoint_list_actor, origin, restored.messages).await;
    context.executor.spawn(delivery_actor.run(delivery_mailbox)).detach();
    context.executor.spawn(endpoint_list_actor.run(endpoint_list_mailbox)).detach();
    let registration = Registration::start(&context);
    let predecessor_fence = watch_fences(&context, fences, claim.as_ref());
    if let Some((operators, claim)) = listeners.operators.zip(claim) {
        serve_operators(&context, operators, claim, &endpoint_list, predecessor_fence)?;
    }
    let accepting =
        context.executor.spawn(client::serve(context.clone(), listeners.clients, listeners.listening_since));
    info!(context.log, "serving"; "name" => &context.config().name, "listen" => %listeners.client_address,
        "restored" => context.gauges.open_messages.get());
    Ok(RunningProcess { context, endpoint_list, accepting, registration })
}

/// Finds the fences of earlier processes that still run. A fence that cannot be read is tried again for a while.
async fn find_fences(context: &Context) -> Vec<Fence> {
    let started_at = Instant::now();
    loop {
        match Fence::find_all(&context.config().state_folder) {
            Ok(fences) => return fences,
            Err(error) if started_at.elapsed() > UNREADABLE_FENCE_TIMEOUT => {
                warn!(context.log, "the calls of earlier processes are not known"; "error" => %error);
                return Vec::new();
            }
            Err(_) => drop(Timer::after(START_RETRY_PAUSE).await),
        }
    }
}

/// Watches the fences of earlier processes, except that of the predecessor that hands over, which is returned: as long as it
/// is connected, it says itself what becomes of its calls.
fn watch_fences(context: &Rc<Context>, fences: Vec<Fence>, claim: Option<&FolderClaim>) -> Option<Fence> {
    let is_of_predecessor = |fence: &Fence| claim.is_some_and(|claim| claim.is_of_predecessor(fence));
    let (of_predecessor, others): (Vec<_>, Vec<_>) = fences.into_iter().partition(is_of_predecessor);
    for fence in others {
        context.executor.spawn(fence_watch::watch(context.clone(), fence)).detach();
    }
    of_predecessor.into_iter().next()
}

/// Starts the tasks that run as long as the process; returns the queue for delivery reports.
fn start_background(context: &Rc<Context>) -> Sender<DeliveryReport> {
    let (reports, reports_mailbox) = async_channel::bounded(REPORTS_MAILBOX_CAPACITY);
    context.executor.spawn(delivery_reports::run(context.clone(), reports_mailbox)).detach();
    let stall_detector = context.stall_detector.clone();
    let watching = background::watch_for_stalls(stall_detector, context.clock, context.log.clone());
    context.executor.spawn(watching).detach();
    context.executor.spawn(background::retry_journal(context.clone())).detach();
    context.executor.spawn(background::watch_folder_size(context.clone())).detach();
    context.executor.spawn(process_memory::watch(context.clone())).detach();
    context.executor.spawn(process_memory::release_regularly()).detach();
    reports
}

/// What a process resumes, besides the messages in the state folder.
enum Origin {
    /// The state of its predecessor, which forwards frames, with the settings that replace the predecessor's.
    Predecessor(Box<HandOverState>, FrameSender, Box<Settings>),
    /// The endpoint list in the configuration, if there is one.
    Folder(Option<Box<RawValue>>),
}

/// Restores the state of the two actors from the predecessor, or from the state folder if there is no predecessor.
async fn restore(
    delivery: &mut DeliveryActor,
    endpoint_list: &mut EndpointListActor,
    origin: Origin,
    messages: Vec<(u64, JournaledMessage)>,
) {
    let config = delivery.context().config();
    if config.operator_address.is_some() {
        endpoint_list.restore_cordons().await;
    }
    match origin {
        Origin::Predecessor(state, predecessor, settings) => {
            let list = delivery.resume_from(*state, messages, &predecessor, *settings).await;
            endpoint_list.restore_inherited_list(list).await;
        }
        Origin::Folder(initial_list) => {
            if let Some(list) = initial_list {
                endpoint_list.restore_initial_list(&list).await;
            }
            delivery.restore(messages).await;
        }
    }
}

/// Starts to serve operators and whatever a predecessor forwards, and publishes this process's address in the state folder.
fn serve_operators(
    context: &Rc<Context>,
    operators: (SocketAddr, Async<TcpListener>),
    claim: FolderClaim,
    endpoint_list: &Sender<EndpointListMessage>,
    predecessor_fence: Option<Fence>,
) -> Result<(), StartError> {
    let (address, listener) = operators;
    let token = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
    claim
        .start_serving(context, Owner { operator: address, token }, endpoint_list, predecessor_fence)
        .map_err(|error| StartError::Folder(context.config().state_folder.clone(), error))?;
    info!(context.log, "listening for admin requests"; "operator" => %address);
    let serving = operator::serve(context.clone(), endpoint_list.clone(), listener);
    context.executor.spawn(serving).detach();
    Ok(())
}

/// The registration of this forwarder at the registry, kept up by a background task.
struct Registration {
    /// Dropping this sender makes the task cancel the registration.
    cancel_sender: Sender<()>,
    /// This channel is closed once the registration is cancelled.
    cancelled: Receiver<()>,
}

impl Registration {
    /// Starts to register this forwarder; returns `None` if the site file configures no registration.
    fn start(context: &Rc<Context>) -> Option<Registration> {
        let settings =
            context.config().registry.clone().filter(|registry| registry.registration.is_some())?;
        let (cancel_sender, cancel_requested) = async_channel::bounded(1);
        let (cancelled_sender, cancelled) = async_channel::bounded(1);
        let registering =
            eureka::register::run(context.clone(), settings, cancel_requested, cancelled_sender);
        context.executor.spawn(registering).detach();
        Some(Registration { cancel_sender, cancelled })
    }

    /// Cancels the registration and waits until the registry has confirmed that, for at most the cancellation's timeout.
    async fn cancel(self) {
        drop(self.cancel_sender);
        within(eureka::register::CANCEL_TIMEOUT, self.cancelled.recv()).await;
    }
}
