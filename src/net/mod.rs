//! The forwarder on sockets: everything that the decisions in [`crate::policy`] need around them.

pub mod call;
pub mod client;
pub mod config;
pub mod connection_registry;
pub mod counters;
pub mod delivery;
pub mod dial;
pub mod endpoint;
pub mod handover;
pub mod http;
pub mod in_flight;
pub mod journal_handle;
pub mod messages;
pub mod operator;
pub mod platform;
pub mod route_stats;
pub mod runtime;
pub mod storage;

use crate::invariants::{Ledger, Rejection, Violation};
use crate::journal::{Journal, Restored, UnreadableSegmentPolicy};
use crate::net::messages::{DeliveryMessage, EndpointListMessage};
use crate::{DeliveryPolicy, EndpointId, Settings};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use config::Config;
use counters::Counters;
use delivery::DeliveryActor;
use endpoint::table::EndpointTable;
use futures_lite::future;
use handover::FolderClaim;
use journal_handle::JournalHandle;
use platform::endpoint_list::EndpointListActor;
use runtime::clock::Clock;
use runtime::latch::Latch;
use runtime::signals::{Signal, Signals};
use runtime::stall_detector::StallDetector;
use rustix::io::Errno;
use serde_json::Value;
use slog::{error, info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use storage::FolderStorage;

/// How the program ends, from the signal on: connections are still taken for the first span, then the module
/// still decides up to the second, and what is out may come back up to the last. The platform kills after
/// 3.7 s.
const LINGER: Duration = Duration::from_millis(600);
const DECIDES: Duration = Duration::from_millis(2600);
const LEAVES: Duration = Duration::from_millis(3200);
const LOOK: Duration = Duration::from_millis(10);
/// At a start, what fails for want of something is tried again so often, for so long. A folder of which a part cannot be read
/// is waited for a while; then that part is left for a later start.
const START_AGAIN: Duration = Duration::from_millis(50);
const READABLE: Duration = Duration::from_secs(4);
const GIVES_UP: Duration = Duration::from_secs(25);

/// What all actors share.
pub struct Context {
    /// Where the log goes.
    pub log: Logger,
    /// The clock of all decisions.
    pub clock: Clock,
    config: RefCell<Rc<Config>>,
    /// Runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// What binds every first byte.
    pub endpoint_table: EndpointTable,
    /// Whether this process stood still.
    pub stall_detector: StallDetector,
    /// What outlasts the process.
    pub journal: JournalHandle,
    /// Counts.
    pub counters: Counters,
    /// What was done for each message, held against the rules.
    pub ledger: RefCell<Ledger>,
    /// Counts by the entries of the site file.
    pub routes: route_stats::Routes,
    /// Counts of what the registry was asked.
    pub registry: platform::eureka::Counts,
    /// What of the list comes from the registry, as far as counters show it.
    pub registry_view: RefCell<Option<Value>>,
    listen: SocketAddr,
    /// The module's mailbox.
    pub delivery: Sender<DeliveryMessage>,
    /// Idle connections to endpoints that are kept.
    pub idle_endpoint_connections: Cell<usize>,
    /// Connections of calls that were given up, on which a wait may still be told.
    pub late_answer_readers: Cell<usize>,
    /// Calls under way.
    pub calls_in_flight: Cell<usize>,
    /// Messages held and not ended.
    pub open_messages: Cell<usize>,
    /// Notices not yet confirmed.
    pub reports_pending: Cell<usize>,
    /// User agents connected.
    pub client_connections: Cell<usize>,
    /// The module has a list to go by.
    pub has_endpoint_list: Cell<bool>,
    /// The platform's agent has told its list to this process, or won't just now: calls may go out.
    pub list_received: Latch,
    /// The program is ending and takes no more connections.
    pub listener_closes: Latch,
    /// The program is ending and decides no more: what is not whole by now is turned away.
    pub decisions_stopped: Latch,
    /// Operators want user agents sent away.
    pub quiesced: Latch,
    /// Another process is taking over, or has: nothing may change here meanwhile.
    pub handing_over: Cell<bool>,
    /// Another process has taken over.
    pub handed_over: Latch,
    /// The process that has taken over is gone.
    pub successor_lost: Latch,
    /// User agents connected to the process that this one has replaced, at most.
    pub predecessor_connections: Cell<usize>,
    /// This process owns the folder.
    pub folder_lock: RefCell<Option<handover::lock::Lock>>,
    /// What one that asks to take over must know.
    pub hand_over_token: RefCell<String>,
    /// The ids of endpoints that operators left out.
    pub cordoned: RefCell<Vec<String>>,
    /// The names that user agents gave to messages, each for as long as the message is held or its notice owed.
    request_ids: RefCell<HashMap<String, usize>>,
    closing: Receiver<()>,
}

impl Context {
    /// What the program was told last.
    pub fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Where user agents connect, with the port that the system gave.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// The program is ending.
    pub fn closing(&self) -> bool {
        self.closing.is_closed()
    }

    /// Comes back once the program is ending.
    pub async fn until_closing(&self) {
        let _ = self.closing.recv().await;
    }

    /// User agents may come.
    pub fn ready(&self) -> bool {
        self.has_endpoint_list.get() && !self.closing()
    }

    /// User agents may come, and operators have not sent them away; those that come yet are passed on where another
    /// process has taken over.
    pub fn accepts_clients(&self) -> bool {
        (self.ready() || self.handed_over.is_set()) && !self.quiesced.is_set()
    }

    /// An answered user agent is to come again by another connection, if at all.
    pub fn closes_after_response(&self) -> bool {
        self.quiesced.is_set() || self.handed_over.is_set()
    }

    /// The counters, with what is held just now.
    pub fn report(&self) -> Value {
        let mut report = self.counters.report();
        if let Some(routes) = self.routes.report() {
            report["routes"] = routes;
        }
        if let Some(view) = self.registry_view.borrow().as_ref() {
            report["registry"] = self.registry.report(view, self.clock.now());
            report["drains"] = self.endpoint_table.drains();
        }
        if self.config().operator_address.is_some() {
            report["cordoned"] = self.cordoned.borrow().clone().into();
            report["handed_over"] = self.handed_over.is_set().into();
            report["sends_away"] = self.quiesced.is_set().into();
        }
        report["user_agents"] = self.client_connections.get().into();
        report["open"] = self.open_messages.get().into();
        report["notices_owed"] = self.reports_pending.get().into();
        let journal = self.journal.usage();
        report["journal_bytes"] = journal.disk_bytes.into();
        report["journal_owed"] = journal.unwritten_records.into();
        report["journal_writable"] = self.journal.is_writable().into();
        report
    }

    /// Counts and logs a message that is not taken on, and why.
    pub fn rejected(&self, request_id: &str, why: Rejection) {
        self.counters.rejected(why);
        info!(self.log, "message"; "state" => "rejected", "id" => request_id, "reason" => why.name());
    }

    /// Counts and logs a rule that was broken, with the ids that it is about. The program goes on.
    pub fn violated(&self, violation: Violation, request_id: &str, endpoint: Option<EndpointId>) {
        self.counters.violation(violation);
        error!(self.log, "invariant violated"; "rule" => violation.name(), "id" => request_id,
            "endpoint" => endpoint.map(|e| e.0));
    }

    /// A message of that name is not over yet.
    pub fn request_id_in_use(&self, word: &str) -> bool {
        self.request_ids.borrow().contains_key(word)
    }

    /// Keeps a name in use.
    pub fn keep_request_id(&self, word: &str) {
        *self.request_ids.borrow_mut().entry(word.to_owned()).or_default() += 1;
    }

    /// Lets go of a name, once for each time that it was kept.
    pub fn release_request_id(&self, word: &str) {
        let mut words = self.request_ids.borrow_mut();
        let left = words.get(word).map_or(0, |count| count - 1);
        match left {
            0 => drop(words.remove(word)),
            _ => drop(words.insert(word.to_owned(), left)),
        }
    }
}

/// Reads the configuration. At a reload the file's word on the platform's address goes before the variable's,
/// which still tells what held at the start.
pub type Load = dyn Fn(Reading) -> Loaded + Send + Sync;
/// A configuration, or why there is none.
pub type Loaded = Result<(Config, Settings), String>;

/// What the configuration is read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The start of the program.
    Start,
    /// A change while it runs.
    Reload,
}

/// Runs the forwarder until it is told to end.
pub fn run(load: Arc<Load>, log: Logger) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let running = executor.clone();
    async_io::block_on(running.run(start(&load, log, executor)))
}

async fn start(load: &Arc<Load>, log: Logger, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let (config, settings) = load(Reading::Start)?;
    let clock = Clock::start();
    let opening = async { Some(open(&config, clock, &log, &executor).await) };
    let asked_to_reload = Cell::new(false);
    let Some(opened) = future::or(opening, until_ended(&signals, &asked_to_reload)).await else {
        info!(log, "ended before it owned the folder");
        return Ok(());
    };
    let Opened { mut claim, sockets, journal, restored } = opened?;
    for damage in &restored.damage {
        warn!(log, "journal damaged"; "what" => damage);
    }
    let older = claim.as_ref().and_then(FolderClaim::speaker);
    let passed = claim.as_mut().and_then(|c| c.passed.take());
    let routes = settings.routes.clone();
    let (state, passed) = passed.unzip();
    let settings = Settings { wall_clock_offset: clock.behind_wall(), ..settings };
    let fresh = || DeliveryPolicy::new(settings.clone(), config.seed).map_err(|e| e.to_string());
    let policy = passed.map_or_else(fresh, Ok)?;
    let (decider, mail) = async_channel::bounded(1024);
    let (close, closing) = async_channel::bounded(1);
    let context = Rc::new(Context {
        endpoint_table: EndpointTable::new(clock, config.drain_grace),
        stall_detector: StallDetector::new(clock.now()),
        journal: JournalHandle::new(journal),
        idle_endpoint_connections: Cell::new(0),
        late_answer_readers: Cell::new(0),
        log,
        clock,
        executor,
        delivery: decider,
        closing,
        request_ids: RefCell::default(),
        config: RefCell::new(Rc::new(config)),
        counters: Counters::default(),
        ledger: RefCell::default(),
        routes: route_stats::Routes::default(),
        registry: platform::eureka::Counts::default(),
        registry_view: RefCell::default(),
        listen: sockets.at,
        calls_in_flight: Cell::new(0),
        open_messages: Cell::new(0),
        reports_pending: Cell::new(0),
        client_connections: Cell::new(0),
        has_endpoint_list: Cell::new(false),
        list_received: Latch::default(),
        listener_closes: Latch::default(),
        decisions_stopped: Latch::default(),
        quiesced: Latch::default(),
        handing_over: Cell::new(false),
        handed_over: Latch::default(),
        successor_lost: Latch::default(),
        predecessor_connections: Cell::new(state.as_ref().map_or(0, |s| s.client_connections)),
        folder_lock: RefCell::default(),
        hand_over_token: RefCell::default(),
        cordoned: RefCell::default(),
    });
    context.routes.apply(routes);
    tell_number(&context);
    let config = context.config();
    let (notices, notices_mail) = async_channel::bounded(4096);
    let (members_box, members_mail) = async_channel::bounded(16);
    context.executor.spawn(platform::delivery_reports::run(context.clone(), notices_mail)).detach();
    context.executor.spawn(runtime::stall_detector::run(context.clone())).detach();
    context.executor.spawn(journal_handle::run(context.clone())).detach();
    let mut decider =
        DeliveryActor::new(context.clone(), policy, notices, members_box.clone(), restored.highest_id);
    let mut members = EndpointListActor::new(context.clone(), members_box.clone());
    if config.operator_address.is_some() {
        members.take_cordons().await;
    }
    match (state, older) {
        (Some(state), Some(older)) => {
            let list = decider.resume_from(*state, restored.messages, &older, settings).await;
            members.inherit(list).await;
        }
        _ => {
            if let Some(known) = &config.initial_endpoint_list {
                members.take_known(known).await;
            }
            decider.restore(restored.messages).await;
        }
    }
    context.executor.spawn(decider.run(mail)).detach();
    context.executor.spawn(members.run(members_mail)).detach();
    let registration = register(&context);
    if let Some(((at, listener), claim)) = sockets.operators.zip(claim) {
        let token = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
        let settled =
            claim.start_serving(&context, handover::lock::Owner { operator: at, token }, &members_box);
        settled.map_err(|e| format!("state folder `{}`: {e}", config.state_folder.display()))?;
        info!(context.log, "operators may call"; "operator" => %at);
        context.executor.spawn(operator::serve(context.clone(), members_box.clone(), listener)).detach();
    }
    let front = context.executor.spawn(client::serve(context.clone(), sockets.listener));
    info!(context.log, "serving"; "name" => &config.name, "listen" => %sockets.at, "restored" => context.open_messages.get());
    drop(config);
    let signalled = async {
        if asked_to_reload.get() {
            reread(&context, load, &members_box).await;
        }
        attend_signals(&context, &signals, load, &members_box).await;
    };
    future::or(signalled, handover::until_drained(&context)).await;
    end(&context, close, front).await;
    if let Some((end, gone)) = registration {
        drop(end);
        within(platform::eureka::register::LAST_WORD, gone.recv()).await;
    }
    info!(context.log, "counters"; "report" => %context.report());
    match context.successor_lost.is_set() {
        true => Err("the process that took over is gone".into()),
        false => Ok(()),
    }
}

/// What a process holds as it begins.
struct Opened {
    claim: Option<FolderClaim>,
    sockets: Sockets,
    journal: Journal,
    restored: Restored,
}

/// Claims the folder, reads it and listens. What fails as it may for a while is tried again: what was taken on is still owed.
async fn open(
    config: &Config,
    clock: Clock,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> Result<Opened, String> {
    let begun = Instant::now();
    loop {
        let unreadable = match begun.elapsed() < READABLE {
            true => UnreadableSegmentPolicy::Fail,
            false => UnreadableSegmentPolicy::KeepForLaterStart,
        };
        let error = match open_once(config, clock, unreadable, log, executor).await {
            Ok(Some(opened)) => return Ok(opened),
            Ok(None) => {
                warn!(log, "the process that serves goes on, asking once more");
                continue;
            }
            Err(error) => error,
        };
        if !error.may_pass() || begun.elapsed() > GIVES_UP {
            return Err(error.to_string());
        }
        warn!(log, "cannot start yet"; "reason" => "system", "error" => %error);
        Timer::after(START_AGAIN).await;
    }
}

async fn open_once(
    config: &Config,
    clock: Clock,
    unreadable: UnreadableSegmentPolicy,
    log: &Logger,
    executor: &LocalExecutor<'static>,
) -> Result<Option<Opened>, StartError> {
    let folder = |e: std::io::Error| StartError::Folder(config.state_folder.clone(), e);
    let mut claim = match config.operator_address {
        Some(_) => Some(handover::claim(config, log, executor).await.map_err(folder)?),
        None => None,
    };
    let storage = FolderStorage::open(&config.state_folder).map_err(folder)?;
    let (limit, salt) = (config.journal_limit_bytes(), fastrand::u32(..));
    let opened = Journal::open(Box::new(storage), limit, move || clock.moment(), salt, unreadable);
    let (journal, restored) = opened.map_err(folder)?;
    let sockets = Sockets::open(config)?;
    if let Some(claim) = &mut claim {
        if !claim.take_over(config).await.map_err(folder)? {
            return Ok(None);
        }
    }
    Ok(Some(Opened { claim, sockets, journal, restored }))
}

/// Why a process could not begin.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("state folder `{}`: {}", .0.display(), .1)]
    Folder(PathBuf, #[source] std::io::Error),
    #[error("cannot listen {0}on {1}: {2}")]
    Listen(&'static str, SocketAddr, #[source] std::io::Error),
}

impl StartError {
    /// It may go well a moment later: the system was short of something, or its storage failed.
    fn may_pass(&self) -> bool {
        let (StartError::Folder(_, e) | StartError::Listen(_, _, e)) = self;
        let short =
            [Errno::IO, Errno::NOSPC, Errno::INTR, Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
        e.raw_os_error().is_some_and(|number| short.contains(&Errno::from_raw_os_error(number)))
    }
}

/// Nothing, once a signal ends the program; a SIGHUP that comes before it serves is noted, as the configuration was read already.
async fn until_ended<T>(signals: &Signals, asked_to_reload: &Cell<bool>) -> Option<T> {
    while signals.next().await == Signal::Reload {
        asked_to_reload.set(true);
    }
    None
}

/// Where this process listens.
struct Sockets {
    at: SocketAddr,
    listener: Async<TcpListener>,
    operators: Option<(SocketAddr, Async<TcpListener>)>,
}

impl Sockets {
    fn open(config: &Config) -> Result<Sockets, StartError> {
        let open = |at: SocketAddr, shared: bool, whom: &'static str| {
            // The port may have been left to the system.
            let opened = client::listen(at, shared).and_then(|l| Ok((l.get_ref().local_addr()?, l)));
            opened.map_err(|e| StartError::Listen(whom, at, e))
        };
        let (at, listener) = open(config.listen_address, config.operator_address.is_some(), "")?;
        let operators = config.operator_address.map(|at| open(at, false, "for operators ")).transpose()?;
        Ok(Sockets { at, listener, operators })
    }
}

/// Registers this forwarder, where the site file says so: dropping the first ends it, the second closes then.
fn register(context: &Rc<Context>) -> Option<(Sender<()>, Receiver<()>)> {
    let settings = context.config().registry.clone().filter(|r| r.registration.is_some())?;
    let (end, ending) = async_channel::bounded(1);
    let (going, gone) = async_channel::bounded(1);
    let keeping = platform::eureka::register::run(context.clone(), settings, ending, going);
    context.executor.spawn(keeping).detach();
    Some((end, gone))
}

/// Does what would hold up the actors in a thread beside them; nothing if it does not come to an end.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    let (done, result) = async_channel::bounded(1);
    std::thread::spawn(move || drop(done.try_send(work())));
    result.recv().await.ok()
}

/// What comes within a span; nothing if it takes longer.
pub async fn within<T>(span: Duration, what: impl std::future::Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(span).await;
        None
    };
    future::or(async { Some(what.await) }, late).await
}

/// What comes within a span; silence is a broken connection.
pub async fn within_or_error<T, E: From<http::HttpError>>(
    what: impl std::future::Future<Output = Result<T, E>>,
    span: Duration,
) -> Result<T, E> {
    within(span, what).await.unwrap_or_else(|| Err(http::HttpError::Malformed("silent").into()))
}

/// Reads the configuration again on each SIGHUP, up to the signal that ends the program. A SIGHUP that comes
/// later finds it ending and changes nothing.
async fn attend_signals(
    context: &Context,
    signals: &Signals,
    load: &Arc<Load>,
    members: &Sender<EndpointListMessage>,
) {
    while signals.next().await == Signal::Reload {
        reread(context, load, members).await;
    }
}

async fn reread(context: &Context, load: &Arc<Load>, members: &Sender<EndpointListMessage>) {
    match reload(context, load).await {
        Ok(settings) => {
            let discovery = context.config().agent_address;
            info!(context.log, "configuration reloaded"; "discovery" => %discovery);
            let _ = context.delivery.send(DeliveryMessage::Settings(Box::new(settings))).await;
            let _ = members.send(EndpointListMessage::ConfigReloaded).await;
            context.counters.reloads.add();
        }
        Err(e) => {
            warn!(context.log, "configuration not reloaded, the old one holds"; "error" => e.replace('\n', "; "))
        }
    }
}

/// A large file takes a while to check. Guards against news of the list that waits for it: what leaves must get
/// nothing new 250 ms later.
async fn reload(context: &Context, load: &Arc<Load>) -> Result<Settings, String> {
    let load = load.clone();
    let loaded = run_blocking(move || load(Reading::Reload)).await;
    let (config, settings) = loaded.ok_or("the check did not come to an end")??;
    if let Some(why) = config.needs_restart(&context.config()) {
        return Err(why.to_string());
    }
    context.journal.set_limit(config.journal_limit_bytes());
    context.endpoint_table.set_grace(config.drain_grace);
    context.routes.apply(settings.routes.clone());
    *context.config.borrow_mut() = Rc::new(config);
    tell_number(context);
    // A step of the machine's clock is followed here, and between reloads it moves no place.
    Ok(Settings { wall_clock_offset: context.clock.behind_wall(), ..settings })
}

/// Tells why the forwarder goes by chance where others take places, if it does.
fn tell_number(context: &Context) {
    if let Err(reason) = &context.config().forwarder_index {
        warn!(context.log, "no place among the forwarders, going by chance"; "reason" => %reason);
    }
}

/// Ends in order.
async fn end(context: &Context, close: Sender<()>, front: async_executor::Task<()>) {
    info!(context.log, "ending"; "open" => context.open_messages.get());
    let since = std::time::Instant::now();
    close.close();
    Timer::after(LINGER).await;
    // It takes what waits in its queue, then closes.
    context.listener_closes.set();
    // Where taking them fails all the time, the end must not wait for it.
    within(DECIDES.saturating_sub(since.elapsed()), front).await;
    let idle = || context.calls_in_flight.get() == 0 && context.reports_pending.get() == 0;
    while since.elapsed() < DECIDES
        && !(idle() && context.open_messages.get() == 0 && context.client_connections.get() == 0)
    {
        Timer::after(LOOK).await;
    }
    context.decisions_stopped.set();
    let _ = context.delivery.send(DeliveryMessage::Stop).await;
    // An answer is not given before it is written, and not safe before its reader has it.
    let told = || context.delivery.is_empty() && context.client_connections.get() == 0;
    while since.elapsed() < LEAVES && !(idle() && told()) {
        Timer::after(LOOK).await;
    }
    // The mailbox is empty before its last word is dealt with; one more turn of the others sees to that.
    future::yield_now().await;
    let owed = !context.journal.is_paused();
    if let Some(Err(e)) = owed.then(|| context.journal.retry()) {
        warn!(context.log, "the journal could not be written at the end"; "reason" => "journal", "error" => %e);
    }
    info!(context.log, "ended"; "left_in_journal" => context.open_messages.get());
}
