//! The start of a process: it claims the state folder, reads it, listens and starts the actors.

use super::background;
use super::clock::Clock;
use super::deadline::within;
use super::load::{Load, LoadError, Reading};
use super::reload;
use super::shutdown;
use super::signals::{Signal, Signals};
use crate::journal::{Journal, JournaledMessage, Restored, UnreadableSegmentPolicy};
use crate::net::config::Config;
use crate::net::context::{Context, ContextParts};
use crate::net::delivery::DeliveryActor;
use crate::net::handover::{self, frames::HandOverState, lock::Owner, FolderClaim, FrameSender};
use crate::net::journal_handle::JournalHandle;
use crate::net::messages::{DeliveryReport, EndpointListMessage};
use crate::net::platform::endpoint_list::EndpointListActor;
use crate::net::platform::{delivery_reports, eureka};
use crate::net::storage::FolderStorage;
use crate::net::{client, operator};
use crate::{DeliveryPolicy, Micros, Settings, SettingsError};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::io::Errno;
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The pause between two tries of a start that failed for want of a resource.
const RETRY: Duration = Duration::from_millis(50);
/// A folder of which a part cannot be read is tried again for so long; then that part is left for a later start.
const READABLE_WITHIN: Duration = Duration::from_secs(4);
/// A start that fails for so long is abandoned.
const START_WITHIN: Duration = Duration::from_secs(25);
/// Messages that wait for the delivery actor; senders wait beyond that.
const DELIVERY_MAILBOX: usize = 1024;
/// Delivery reports that wait to be sent.
const REPORTS_MAILBOX: usize = 4096;
/// Messages that wait for the endpoint list actor.
const ENDPOINT_LIST_MAILBOX: usize = 16;

/// Why the forwarder did not start, or did not end in order.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// There is no usable configuration.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The decisions cannot be made under these settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The state folder or an address cannot be used.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The successor that had taken over is gone.
    #[error("the process that took over is gone")]
    SuccessorLost,
}

/// Why a process could not begin.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The state folder cannot be used.
    #[error("state folder `{}`: {}", .0.display(), .1)]
    Folder(PathBuf, #[source] io::Error),
    /// An address cannot be listened on.
    #[error("cannot listen {0}on {1}: {2}")]
    Listen(&'static str, SocketAddr, #[source] io::Error),
}

impl StartError {
    /// Whether it may go well a moment later: the system was short of something, or its storage failed.
    fn is_transient(&self) -> bool {
        let (StartError::Folder(_, error) | StartError::Listen(_, _, error)) = self;
        let transient =
            [Errno::IO, Errno::NOSPC, Errno::INTR, Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
        error.raw_os_error().is_some_and(|number| transient.contains(&Errno::from_raw_os_error(number)))
    }
}

/// Runs the forwarder until a signal or the hand-over ends it.
///
/// # Errors
///
/// It could not start, or its successor was lost.
pub fn run(load: Arc<Load>, log: Logger) -> Result<(), RunError> {
    let executor = Rc::new(LocalExecutor::new());
    let running = executor.clone();
    async_io::block_on(running.run(serve(&load, log, executor)))
}

async fn serve(load: &Arc<Load>, log: Logger, executor: Rc<LocalExecutor<'static>>) -> Result<(), RunError> {
    let signals = Signals::new().map_err(RunError::Signals)?;
    let (config, settings) = load(Reading::Start)?;
    let clock = Clock::start();
    let opening = async { Some(open(&config, clock, &log, &executor).await) };
    let reload_requested = Cell::new(false);
    let Some(opened) = future::or(opening, until_terminated(&signals, &reload_requested)).await else {
        info!(log, "ended before it owned the folder");
        return Ok(());
    };
    let Actors { context, endpoint_list, accepting, registration } =
        start_actors(opened?, config, settings, clock, log, executor).await?;
    let signalled = async {
        if reload_requested.get() {
            reload::reload(&context, load, &endpoint_list).await;
        }
        reload::until_terminated(&context, &signals, load, &endpoint_list).await;
    };
    future::or(signalled, handover::until_drained(&context)).await;
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

/// Waits for the signal that ends the process; a SIGHUP that comes before it serves is noted, as the configuration was read already.
async fn until_terminated<T>(signals: &Signals, reload_requested: &Cell<bool>) -> Option<T> {
    while signals.next().await == Signal::Reload {
        reload_requested.set(true);
    }
    None
}

/// A process whose actors run.
struct Actors {
    context: Rc<Context>,
    endpoint_list: Sender<EndpointListMessage>,
    accepting: Task<()>,
    registration: Option<Registration>,
}

async fn start_actors(
    opened: Opened,
    config: Config,
    settings: Settings,
    clock: Clock,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<Actors, RunError> {
    let Opened { mut claim, sockets, journal, restored } = opened;
    for damage in &restored.damage {
        warn!(log, "journal damaged"; "what" => damage);
    }
    let predecessor = claim.as_ref().and_then(FolderClaim::predecessor);
    let inherited = claim.as_mut().and_then(|claim| claim.inherited.take());
    let (state, policy) = inherited.map(|inherited| (inherited.state, inherited.policy)).unzip();
    let routes = settings.routes.clone();
    let settings = Settings { wall_clock_offset: clock.behind_wall(), ..settings };
    let policy = match policy {
        Some(policy) => policy,
        None => DeliveryPolicy::new(settings.clone(), config.seed)?,
    };
    let (delivery, delivery_mail) = async_channel::bounded(DELIVERY_MAILBOX);
    let journal = JournalHandle::new(journal);
    let parts = ContextParts { log, clock, executor, delivery, journal, config, listen: sockets.listen };
    let context = Rc::new(Context::new(parts));
    context.gauges.predecessor_connections.set(state.as_ref().map_or(0, |state| state.client_connections));
    context.routes.apply(routes);
    reload::warn_without_index(&context);
    let reports = start_background(&context);
    let (endpoint_list, endpoint_list_mail) = async_channel::bounded(ENDPOINT_LIST_MAILBOX);
    let mut delivery_actor =
        DeliveryActor::new(context.clone(), policy, reports, endpoint_list.clone(), restored.highest_id);
    let mut endpoint_list_actor = EndpointListActor::new(context.clone(), endpoint_list.clone());
    let inherited = state.zip(predecessor);
    restore(&mut delivery_actor, &mut endpoint_list_actor, inherited, restored.messages, settings).await;
    context.executor.spawn(delivery_actor.run(delivery_mail)).detach();
    context.executor.spawn(endpoint_list_actor.run(endpoint_list_mail)).detach();
    let registration = Registration::start(&context);
    if let Some((operators, claim)) = sockets.operators.zip(claim) {
        serve_operators(&context, operators, claim, &endpoint_list)?;
    }
    let accepting =
        context.executor.spawn(client::serve(context.clone(), sockets.listener, sockets.listening_since));
    info!(context.log, "serving"; "name" => &context.config().name, "listen" => %sockets.listen,
        "restored" => context.gauges.open_messages.get());
    Ok(Actors { context, endpoint_list, accepting, registration })
}

/// Starts the tasks that run as long as the process; returns where delivery reports are sent.
fn start_background(context: &Rc<Context>) -> Sender<DeliveryReport> {
    let (reports, reports_mail) = async_channel::bounded(REPORTS_MAILBOX);
    context.executor.spawn(delivery_reports::run(context.clone(), reports_mail)).detach();
    let stall_detector = context.stall_detector.clone();
    let watching = background::watch_for_stalls(stall_detector, context.clock, context.log.clone());
    context.executor.spawn(watching).detach();
    context.executor.spawn(background::retry_journal(context.clone())).detach();
    reports
}

/// Brings the two actors to where the predecessor stopped, or to what the state folder holds.
async fn restore(
    delivery: &mut DeliveryActor,
    endpoint_list: &mut EndpointListActor,
    inherited: Option<(Box<HandOverState>, FrameSender)>,
    messages: Vec<(u64, JournaledMessage)>,
    settings: Settings,
) {
    let config = delivery.context().config();
    if config.operator_address.is_some() {
        endpoint_list.restore_cordons().await;
    }
    match inherited {
        Some((state, predecessor)) => {
            let list = delivery.resume_from(*state, messages, &predecessor, settings).await;
            endpoint_list.inherit(list).await;
        }
        None => {
            if let Some(known) = &config.initial_endpoint_list {
                endpoint_list.restore_initial_list(known).await;
            }
            delivery.restore(messages).await;
        }
    }
}

/// Serves operators and, through the claim, what a predecessor forwards.
fn serve_operators(
    context: &Rc<Context>,
    operators: (SocketAddr, Async<TcpListener>),
    claim: FolderClaim,
    endpoint_list: &Sender<EndpointListMessage>,
) -> Result<(), StartError> {
    let (address, listener) = operators;
    let token = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
    claim
        .start_serving(context, Owner { operator: address, token }, endpoint_list)
        .map_err(|error| StartError::Folder(context.config().state_folder.clone(), error))?;
    info!(context.log, "operators may call"; "operator" => %address);
    let serving = operator::serve(context.clone(), endpoint_list.clone(), listener);
    context.executor.spawn(serving).detach();
    Ok(())
}

/// What a process has opened before its actors start.
struct Opened {
    claim: Option<FolderClaim>,
    sockets: Sockets,
    journal: Journal,
    restored: Restored,
}

/// Claims the folder, reads it and listens. A failure that may pass is retried: what was accepted is still owed.
async fn open(
    config: &Config,
    clock: Clock,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> Result<Opened, StartError> {
    let begun = Instant::now();
    loop {
        let unreadable = match begun.elapsed() < READABLE_WITHIN {
            true => UnreadableSegmentPolicy::Fail,
            false => UnreadableSegmentPolicy::KeepForLaterStart,
        };
        let error = match open_once(config, clock, unreadable, log, executor).await {
            Ok(Some(opened)) => return Ok(opened),
            Ok(None) => {
                warn!(log, "the predecessor serves on, asking it once more");
                continue;
            }
            Err(error) => error,
        };
        if !error.is_transient() || begun.elapsed() > START_WITHIN {
            return Err(error);
        }
        warn!(log, "cannot start yet"; "reason" => "system", "error" => %error);
        Timer::after(RETRY).await;
    }
}

/// One try; `None` if the predecessor serves on after all.
async fn open_once(
    config: &Config,
    clock: Clock,
    unreadable: UnreadableSegmentPolicy,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> Result<Option<Opened>, StartError> {
    let folder_error = |error: io::Error| StartError::Folder(config.state_folder.clone(), error);
    let mut claim = match config.operator_address {
        Some(_) => Some(handover::claim(config, log, executor).await.map_err(folder_error)?),
        None => None,
    };
    let storage = FolderStorage::open(&config.state_folder).map_err(folder_error)?;
    let (limit, salt) = (config.journal_limit_bytes(), fastrand::u32(..));
    let opened = Journal::open(Box::new(storage), limit, move || clock.moment(), salt, unreadable);
    let (journal, restored) = opened.map_err(folder_error)?;
    let sockets = Sockets::open(config, clock)?;
    if let Some(claim) = &mut claim {
        if !claim.take_over(config).await.map_err(folder_error)? {
            return Ok(None);
        }
    }
    Ok(Some(Opened { claim, sockets, journal, restored }))
}

/// The listeners of this process.
struct Sockets {
    /// Where clients connect, with the port that the system gave.
    listen: SocketAddr,
    listener: Async<TcpListener>,
    /// Since when clients can connect.
    listening_since: Micros,
    /// Where operators call, if they may.
    operators: Option<(SocketAddr, Async<TcpListener>)>,
}

impl Sockets {
    fn open(config: &Config, clock: Clock) -> Result<Sockets, StartError> {
        let open = |address: SocketAddr, shared: bool, purpose: &'static str| {
            let opened = client::listen(address, shared)
                .and_then(|listener| Ok((listener.get_ref().local_addr()?, listener)));
            opened.map_err(|error| StartError::Listen(purpose, address, error))
        };
        let listening_since = clock.now();
        // A successor listens beside its predecessor for a moment.
        let (listen, listener) = open(config.listen_address, config.operator_address.is_some(), "")?;
        let operators =
            config.operator_address.map(|address| open(address, false, "for operators ")).transpose()?;
        Ok(Sockets { listen, listener, listening_since, operators })
    }
}

/// The registration of this forwarder at the registry.
struct Registration {
    cancel: Sender<()>,
    cancelled: Receiver<()>,
}

impl Registration {
    /// Registers this forwarder, where the site file says so.
    fn start(context: &Rc<Context>) -> Option<Registration> {
        let settings =
            context.config().registry.clone().filter(|registry| registry.registration.is_some())?;
        let (cancel, cancelling) = async_channel::bounded(1);
        let (done, cancelled) = async_channel::bounded(1);
        let keeping = eureka::register::run(context.clone(), settings, cancelling, done);
        context.executor.spawn(keeping).detach();
        Some(Registration { cancel, cancelled })
    }

    /// Cancels it, and waits a moment until the registry knows.
    async fn cancel(self) {
        drop(self.cancel);
        within(eureka::register::CANCEL_TIMEOUT, self.cancelled.recv()).await;
    }
}
