//! The actor that maintains the endpoint list from the platform's watch, the registry, the configuration and the operators'
//! cordons.

mod cordon;
pub mod decode;
mod drain_log;
mod publish;
mod registry;
mod watch;
mod watches;

use crate::membership::{Membership, MembershipSnapshot, SourceId, SourcePolicy, WatchBackoff};
use crate::net::messages::{DeliveryMessage, EndpointListMessage, ListLine};
use crate::net::Context;
use crate::settings_json::Names;
use crate::Micros;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use decode::RawList;
use drain_log::DrainLog;
use futures_lite::future;
use publish::UpdateKind;
use registry::RegistrySource;
use serde_json::value::RawValue;
use slog::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use watches::Watches;

/// How long a new process holds its first calls back if it has not received a list. The limit is short because the agent
/// responds at once unless it is down, and because its list counts as observed from the start of the process. A longer wait
/// on a slow platform would make a whole fleet send its first calls at the same moment.
const INITIAL_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// The first list of a new process counts as received this long before the process started, because its drains and removals
/// may have happened before the start.
const RECEIVED_BEFORE_START_US: Micros = 60_000_000;

/// The pushed list of the platform's agent, as a source of the merged list.
const PUSHED_SOURCE: SourceId = SourceId(0);
/// The registry, as a source of the merged list.
const REGISTRY_SOURCE: SourceId = SourceId(1);

/// The actor that maintains the endpoint list of this process.
pub struct EndpointListActor {
    context: Rc<Context>,
    names: Arc<Names>,
    /// The sender of this actor's own mailbox, for its watches and timers.
    own_mailbox: Sender<EndpointListMessage>,
    membership: Membership,
    watches: Watches,
    /// When the current watch last received something. By then it had received everything that the agent had. The first list
    /// of the next watch may have existed ever since, so it counts as received at this time.
    last_line_at: Micros,
    watch_backoff: WatchBackoff,
    /// The number of the last version of the pushed list that the current watch received, or of the list in the
    /// configuration; `None` before the first.
    generation: Option<u64>,
    /// The agent that numbered that version; `None` if there is none, or if the list is from the configuration.
    generation_source: Option<SocketAddr>,
    registry: Option<RegistrySource>,
    drain_log: DrainLog,
    /// When the endpoint table was last pruned.
    pruned_at: Micros,
    /// Whether a successor was sent the list; it maintains the list from then on if it takes over.
    handed_over: bool,
    /// The lines that the watches have received since the list was sent to the successor, until it has taken over.
    lines_for_successor: Vec<ListLine>,
}

impl EndpointListActor {
    /// Creates the actor without a list. Its watches and timers send to the given mailbox.
    pub fn new(context: Rc<Context>, own_mailbox: Sender<EndpointListMessage>) -> Self {
        let sources = vec![("pushed", SourcePolicy::default()), ("registry", identified_by_address())];
        EndpointListActor {
            names: context.config().names.clone(),
            own_mailbox,
            membership: Membership::new(sources),
            watches: Watches::default(),
            last_line_at: context.clock.now().saturating_sub(RECEIVED_BEFORE_START_US),
            watch_backoff: WatchBackoff::new(context.config().forwarders),
            generation: None,
            generation_source: None,
            registry: None,
            drain_log: DrainLog::new(context.endpoint_table.clone(), context.log.clone()),
            pruned_at: 0,
            handed_over: false,
            lines_for_successor: Vec::new(),
            context,
        }
    }

    /// Restores the endpoint list in the configuration, which may be old.
    pub async fn restore_initial_list(&mut self, list: &RawValue) {
        match RawList::parse(list.get().as_bytes()).and_then(|list| self.decode(&list)) {
            Ok(version) => {
                self.generation = Some(version.generation);
                let now = self.context.clock.now();
                let changes = self.membership.restore(now, PUSHED_SOURCE, version.listings);
                self.publish(UpdateKind::Cached, changes).await;
            }
            Err(error) => warn!(self.context.log, "configured endpoint list malformed"; "error" => %error),
        }
    }

    /// Takes over the list of the predecessor with the same endpoint ids.
    pub async fn restore_inherited_list(&mut self, inherited: MembershipSnapshot) {
        self.membership.adopt_ids(&inherited);
        self.context.endpoint_list.allow_calls();
        let now = self.context.clock.now();
        for (source, listings) in inherited.views.into_iter().enumerate() {
            let source = SourceId(source);
            let kind = if source == PUSHED_SOURCE { UpdateKind::Cached } else { UpdateKind::Patch };
            let changes = self.membership.restore(now, source, listings);
            self.publish(kind, changes).await;
        }
    }

    /// Runs the actor until its mailbox is closed.
    pub async fn run(mut self, mailbox: Receiver<EndpointListMessage>) {
        self.start_initial_list_timeout();
        self.apply_config().await;
        loop {
            let clock = self.context.clock;
            let next_due = self.next_due();
            let due = async {
                match next_due {
                    Some(at) => Timer::at(clock.instant_at(at)).await,
                    None => future::pending().await,
                };
                None
            };
            match future::or(async { Some(mailbox.recv().await) }, due).await {
                Some(Ok(message)) => self.receive(message).await,
                Some(Err(_)) => return,
                None => {}
            }
            if !self.handed_over {
                self.handle_due().await;
            }
        }
    }

    fn start_initial_list_timeout(&self) {
        let own_mailbox = self.own_mailbox.clone();
        let timeout = async move {
            Timer::after(INITIAL_LIST_TIMEOUT).await;
            // If the actor has ended, no call waits for a list.
            let _ = own_mailbox.send(EndpointListMessage::InitialListTimeout).await;
        };
        self.context.executor.spawn(timeout).detach();
    }

    /// When the next timed work is due; `None` if there is none, or if a successor maintains the list.
    fn next_due(&self) -> Option<Micros> {
        if self.handed_over {
            return None;
        }
        let registry = self.registry.as_ref().and_then(RegistrySource::next_due);
        [self.membership.next_tick(), registry, self.drain_log.next_due()].into_iter().flatten().min()
    }

    /// Does the timed work that is due: hold-downs, the drain log and the registry's view.
    async fn handle_due(&mut self) {
        let now = self.context.clock.now();
        let changes = self.membership.tick(now);
        if !changes.is_empty() {
            self.publish(UpdateKind::Patch, changes).await;
        }
        self.drain_log.log_due(now);
        self.handle_registry_due(now).await;
    }

    async fn receive(&mut self, message: EndpointListMessage) {
        if self.handed_over {
            self.pass_to_successor(&message).await;
        }
        if !self.handed_over || self.is_still_handled(&message) {
            self.handle(message).await;
        }
    }

    /// Whether a message is handled although a successor was sent the list. The successor may still fail to take over, so
    /// the watches are read until it has done so; otherwise their lines would be lost.
    fn is_still_handled(&self, message: &EndpointListMessage) -> bool {
        match message {
            EndpointListMessage::HandOver { .. }
            | EndpointListMessage::HandOverAborted
            | EndpointListMessage::HandedOver => true,
            // Handling these would change the state folder.
            EndpointListMessage::RegistryUpdate { .. } | EndpointListMessage::Cordon { .. } => false,
            _ => !self.context.lifecycle.is_handed_over(),
        }
    }

    /// Keeps the lines that arrive after the list was sent to the successor, and sends them to it once it has taken over.
    async fn pass_to_successor(&mut self, message: &EndpointListMessage) {
        let line = match message {
            EndpointListMessage::WatchLine { watch, line } if !is_heartbeat(line) => {
                let Some(address) = self.watches.address_of(*watch) else { return };
                ListLine { line: line.clone(), available_since: self.line_available_since(*watch), address }
            }
            EndpointListMessage::PredecessorLine(line) => line.clone(),
            _ => return,
        };
        self.lines_for_successor.push(line);
        if self.context.lifecycle.is_handed_over() {
            self.send_lines_to_successor().await;
        }
    }

    async fn send_lines_to_successor(&mut self) {
        for line in self.lines_for_successor.drain(..) {
            // The delivery actor ends only with the process.
            let _ = self.context.delivery.send(DeliveryMessage::ListLine(line)).await;
        }
    }

    async fn handle(&mut self, message: EndpointListMessage) {
        match message {
            EndpointListMessage::ConfigReloaded => self.apply_config().await,
            // No watch is opened beside one that waits for its backoff: a rejected fleet must not send even more requests.
            EndpointListMessage::Resubscribe if self.watches.is_empty() => self.open_watch(0),
            EndpointListMessage::Resubscribe => {}
            EndpointListMessage::WatchLine { watch, line } => self.handle_line(watch, &line).await,
            EndpointListMessage::PredecessorLine(line) => self.handle_predecessor_line(line).await,
            EndpointListMessage::WatchSilent { watch } => self.handle_watch_silence(watch),
            EndpointListMessage::ReplacedWatchExpired { watch } => self.close_replaced_watch(watch),
            EndpointListMessage::WatchEnded { watch, end } => self.handle_watch_end(watch, end),
            EndpointListMessage::InitialListTimeout => self.handle_initial_list_timeout(),
            EndpointListMessage::HandOver { reply } => {
                self.handed_over = true;
                // If the receiver is gone, the hand-over has been aborted.
                let _ = reply.try_send(self.membership.snapshot());
            }
            EndpointListMessage::HandOverAborted => {
                self.handed_over = false;
                self.lines_for_successor.clear();
            }
            EndpointListMessage::HandedOver => self.send_lines_to_successor().await,
            EndpointListMessage::Cordon { id, cordoned, reply } => self.cordon(&id, cordoned, &reply).await,
            EndpointListMessage::RegistryUpdate { update, received_at, in_doubt_reply } => {
                self.apply_registry_update(update, received_at, &in_doubt_reply).await;
            }
        }
    }

    /// Starts the registry's poller and the watch at the addresses in the configuration.
    async fn apply_config(&mut self) {
        self.apply_registry_settings().await;
        self.reconnect();
    }

    fn handle_initial_list_timeout(&self) {
        if self.context.endpoint_list.are_calls_allowed() {
            return;
        }
        warn!(self.context.log, "no endpoint list yet, using the cached one"; "reason" => "initial-list-timeout");
        self.context.endpoint_list.allow_calls();
    }
}

/// Whether a line of a watch is empty, which the agent sends only to keep the connection alive.
fn is_heartbeat(line: &[u8]) -> bool {
    line.iter().all(u8::is_ascii_whitespace)
}

/// The policy of a source whose endpoints are identified by address, without hold-down and shrink guard.
fn identified_by_address() -> SourcePolicy {
    SourcePolicy { identifies_by_address: true, ..SourcePolicy::default() }
}
