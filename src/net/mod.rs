//! The forwarder on sockets: everything that the decisions in [`crate::logic`] need around them.

pub mod board;
pub mod clock;
pub mod config;
pub mod counters;
pub mod decider;
pub mod farm;
pub mod front;
pub mod http;
pub mod journal;
pub mod notices;
pub mod peer;
pub mod proxy_pass;
pub mod transaction;

use crate::words::Names;
use crate::{Courier, MessageId, Settings};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use board::Board;
use clock::Clock;
use config::Config;
use counters::Counters;
use decider::{Decider, ToDecider};
use farm::Farm;
use futures_lite::{future, StreamExt};
use journal::Journal;
use serde_json::Value;
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// How the program ends, from the signal on: connections are still taken for the first span, then the module
/// still decides up to the second, and what is out may come back up to the last. The platform kills after
/// 3.7 s.
const LINGER: Duration = Duration::from_millis(600);
const DECIDES: Duration = Duration::from_millis(2600);
const LEAVES: Duration = Duration::from_millis(3200);
const LOOK: Duration = Duration::from_millis(10);

/// What all actors share.
pub struct Context {
    /// Where the log goes.
    pub log: Logger,
    /// The clock of all decisions.
    pub clock: Clock,
    /// What the program was told.
    pub config: Config,
    /// Runs the actors.
    pub executor: Rc<LocalExecutor<'static>>,
    /// What binds every first byte.
    pub board: Board,
    /// What outlasts the process.
    pub journal: RefCell<Journal>,
    /// Counts.
    pub counters: Counters,
    /// The module's mailbox.
    pub decider: Sender<ToDecider>,
    /// Idle connections to endpoints that may still be kept.
    pub idle_room: Cell<usize>,
    /// Calls under way.
    pub passes_out: Cell<usize>,
    /// Messages held and not ended.
    pub open: Cell<usize>,
    /// Notices not yet confirmed.
    pub notices_owed: Cell<usize>,
    /// User agents connected.
    pub user_agents: Cell<usize>,
    /// The module has a list to go by.
    pub holds_list: Cell<bool>,
    closing: Receiver<()>,
}

impl Context {
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
        self.holds_list.get() && !self.closing()
    }

    /// The counters, with what is held just now.
    pub fn report(&self) -> Value {
        let mut report = self.counters.report();
        report["open"] = self.open.get().into();
        report["notices_owed"] = self.notices_owed.get().into();
        report["journal_bytes"] = self.journal.borrow().disk().into();
        report
    }

    /// Notes the end of a message in the journal.
    pub fn journal_end(&self, id: MessageId) {
        if let Err(e) = self.journal.borrow_mut().end(id.0) {
            warn!(self.log, "journal"; "error" => %e);
        }
    }
}

/// Runs the forwarder until it is told to end.
pub fn run(config: Config, settings: Settings, names: Names, log: Logger) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let running = executor.clone();
    async_io::block_on(running.run(start(config, settings, names, log, executor)))
}

async fn start(
    config: Config,
    settings: Settings,
    names: Names,
    log: Logger,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let signals = Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::start();
    let state = config.state.display().to_string();
    let (journal, restored) =
        Journal::open(&config.state, config.disk).map_err(|e| format!("state folder `{state}`: {e}"))?;
    for damage in &restored.damage {
        warn!(log, "journal damaged"; "what" => damage);
    }
    let courier = Courier::new(settings, config.seed).map_err(|e| e.to_string())?;
    let listen = config.listen;
    let listener =
        Async::<TcpListener>::bind(listen).map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    // The port may have been left to the system.
    let listen = listener.get_ref().local_addr().map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let (decider, mail) = async_channel::bounded(1024);
    let (close, closing) = async_channel::bounded(1);
    let context = Rc::new(Context {
        board: Board::new(clock, config.drain_grace),
        journal: RefCell::new(journal),
        idle_room: Cell::new(config.idle_peers()),
        log,
        clock,
        executor,
        decider,
        closing,
        config,
        counters: Counters::default(),
        passes_out: Cell::new(0),
        open: Cell::new(0),
        notices_owed: Cell::new(0),
        user_agents: Cell::new(0),
        holds_list: Cell::new(false),
    });
    let names = Rc::new(names);
    let (notices, notices_mail) = async_channel::bounded(4096);
    let (farm_box, farm_mail) = async_channel::bounded(4);
    context.executor.spawn(notices::run(context.clone(), notices_mail)).detach();
    let mut decider =
        Decider::new(context.clone(), names.clone(), courier, notices, farm_box, restored.last_id);
    let mut farm = Farm::new(context.clone(), names.clone());
    if let Some(known) = context.config.known.clone() {
        farm.take_known(&known).await;
    }
    decider.restore(restored.kept).await;
    context.executor.spawn(decider.run(mail)).detach();
    context.executor.spawn(farm.run(farm_mail)).detach();
    let front = context.executor.spawn(front::serve(context.clone(), names, listener));
    info!(context.log, "serving"; "name" => &context.config.name, "listen" => %listen, "restored" => context.open.get());
    end(&context, signals, close, front).await;
    info!(context.log, "counters"; "report" => %context.report());
    Ok(())
}

/// Waits for the signal and ends in order.
async fn end(context: &Context, mut signals: Signals, close: Sender<()>, front: async_executor::Task<()>) {
    let _ = signals.next().await;
    info!(context.log, "ending"; "open" => context.open.get());
    let since = std::time::Instant::now();
    close.close();
    Timer::after(LINGER).await;
    let _ = front.cancel().await;
    let idle = || context.passes_out.get() == 0 && context.notices_owed.get() == 0;
    while since.elapsed() < DECIDES && !(idle() && context.open.get() == 0 && context.user_agents.get() == 0)
    {
        Timer::after(LOOK).await;
    }
    let _ = context.decider.send(ToDecider::Close).await;
    while since.elapsed() < LEAVES && !(idle() && context.decider.is_empty()) {
        Timer::after(LOOK).await;
    }
    // The mailbox is empty before its last word is dealt with; one more turn of the others sees to that.
    future::yield_now().await;
    info!(context.log, "ended"; "left_in_journal" => context.open.get());
}
