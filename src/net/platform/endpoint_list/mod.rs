//! The actor that keeps the endpoint list: from the platform's watch, the registry, the configuration and operators.

mod cordon;
pub mod decode;
mod drain_log;
mod publish;
mod registry;
mod watch;
mod watching;

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
use serde_json::Value;
use slog::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use watching::Watches;

/// A new process keeps its first calls waiting until it has received a list, but no longer than this: the agent answers at
/// once unless it is down, and what it has sent counts as observed from the first moment on. Where a slow platform has a whole
/// fleet wait, all of it calls at the same moment afterwards.
const INITIAL_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// What was removed before this process began counts as received so long before its start.
const RECEIVED_BEFORE_START_US: Micros = 60_000_000;

/// The platform's watch as a source of the list.
const PUSHED: SourceId = SourceId(0);
/// The registry as a source of the list.
const REGISTRY: SourceId = SourceId(1);

/// The endpoint list of this process.
pub struct EndpointListActor {
    context: Rc<Context>,
    names: Arc<Names>,
    /// This actor's mailbox, for its watches and timers.
    own: Sender<EndpointListMessage>,
    membership: Membership,
    watches: Watches,
    /// When something last came on the current watch. All that the agent had by then has been received; what the next watch
    /// sends first may have been there ever since, and counts as received then.
    last_line_at: Micros,
    approach: WatchBackoff,
    generation: Option<u64>,
    /// Which agent gave that generation; not known of the list that the configuration brings.
    generation_source: Option<SocketAddr>,
    registry: Option<RegistrySource>,
    drain_log: DrainLog,
    /// When the endpoint table was last pruned.
    pruned_at: Micros,
    /// A successor was sent the list, and keeps it from then on if it takes over.
    handed_over: bool,
    /// What the watches have sent since, until it has taken over.
    lines_for_successor: Vec<ListLine>,
}

impl EndpointListActor {
    /// An actor without a list; its mailbox is for its watches.
    pub fn new(context: Rc<Context>, own: Sender<EndpointListMessage>) -> Self {
        let sources = vec![("pushed", SourcePolicy::default()), ("registry", identified_by_address())];
        EndpointListActor {
            names: context.config().names.clone(),
            own,
            membership: Membership::new(sources),
            watches: Watches::default(),
            last_line_at: context.clock.now().saturating_sub(RECEIVED_BEFORE_START_US),
            approach: WatchBackoff::new(context.config().forwarders),
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

    /// Restores the list that the configuration brings; it may be old.
    pub async fn restore_known(&mut self, known: &Value) {
        match RawList::from_value(known.clone()).and_then(|list| self.decode(list)) {
            Ok(version) => {
                self.generation = Some(version.generation);
                let now = self.context.clock.now();
                let changes = self.membership.restore(now, PUSHED, version.listings);
                self.publish(UpdateKind::Cached, changes).await;
            }
            Err(error) => warn!(self.context.log, "known endpoint list malformed"; "error" => %error),
        }
    }

    /// Goes on with the list of the predecessor, under the same endpoint ids.
    pub async fn inherit(&mut self, carried: MembershipSnapshot) {
        self.membership.adopt_ids(&carried);
        self.context.endpoint_list.set_received();
        let now = self.context.clock.now();
        for (source, listings) in carried.views.into_iter().enumerate() {
            let source = SourceId(source);
            let kind = if source == PUSHED { UpdateKind::Cached } else { UpdateKind::Patch };
            let changes = self.membership.restore(now, source, listings);
            self.publish(kind, changes).await;
        }
    }

    /// Keeps the list until the mailbox is closed.
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
        let own = self.own.clone();
        let timeout = async move {
            Timer::after(INITIAL_LIST_TIMEOUT).await;
            // Without the actor nobody waits for a list.
            let _ = own.send(EndpointListMessage::InitialListTimeout).await;
        };
        self.context.executor.spawn(timeout).detach();
    }

    /// When something is due by time alone; nothing is where a successor keeps the list.
    fn next_due(&self) -> Option<Micros> {
        if self.handed_over {
            return None;
        }
        let registry = self.registry.as_ref().and_then(RegistrySource::next_due);
        [self.membership.next_tick(), registry, self.drain_log.next_due()].into_iter().flatten().min()
    }

    /// Does what is due by time alone.
    async fn handle_due(&mut self) {
        let now = self.context.clock.now();
        let changes = self.membership.tick(now);
        if !changes.is_empty() {
            self.publish(UpdateKind::Patch, changes).await;
        }
        self.drain_log.log_due(now);
        self.registry_due(now).await;
    }

    async fn receive(&mut self, message: EndpointListMessage) {
        if self.handed_over {
            self.pass_on(&message).await;
        }
        if !self.handed_over || self.is_still_handled(&message) {
            self.handle(message).await;
        }
    }

    /// Whether a message is handled here although a successor was sent the list. It may not take over after all: up to then the
    /// watches are read on, or what they send would be missed.
    fn is_still_handled(&self, message: &EndpointListMessage) -> bool {
        match message {
            EndpointListMessage::HandOver { .. }
            | EndpointListMessage::HandOverAborted
            | EndpointListMessage::HandedOver => true,
            // They change the state folder.
            EndpointListMessage::RegistryUpdate { .. } | EndpointListMessage::Cordon { .. } => false,
            _ => !self.context.lifecycle.is_handed_over(),
        }
    }

    /// Keeps for the successor what the watches send that it has not been sent with the list; once it has taken over, it is sent that.
    async fn pass_on(&mut self, message: &EndpointListMessage) {
        let line = match message {
            EndpointListMessage::WatchLine { watch, line } if !is_heartbeat(line) => {
                let Some(address) = self.watches.address_of(*watch) else { return };
                ListLine { line: line.clone(), received_at: self.earliest_arrival(*watch), address }
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
            // A watch that waits to be opened is on its way: a fleet that is rejected must not ask all the more.
            EndpointListMessage::Resubscribe if self.watches.is_empty() => self.open_watch(0),
            EndpointListMessage::Resubscribe => {}
            EndpointListMessage::WatchLine { watch, line } => self.take_line(watch, &line).await,
            EndpointListMessage::PredecessorLine(line) => self.take_predecessor_line(line).await,
            EndpointListMessage::WatchSilent { watch } => self.watch_silent(watch),
            EndpointListMessage::ReplacedWatchExpired { watch } => self.replaced_watch_expired(watch),
            EndpointListMessage::WatchEnded { watch, end } => self.watch_ended(watch, end),
            EndpointListMessage::InitialListTimeout => self.initial_list_timeout(),
            EndpointListMessage::HandOver { reply } => {
                self.handed_over = true;
                // If nobody waits any more, the hand-over is aborted.
                let _ = reply.try_send(self.membership.snapshot());
            }
            EndpointListMessage::HandOverAborted => {
                self.handed_over = false;
                self.lines_for_successor.clear();
            }
            EndpointListMessage::HandedOver => self.send_lines_to_successor().await,
            EndpointListMessage::Cordon { id, cordoned, reply } => self.cordon(&id, cordoned, &reply).await,
            EndpointListMessage::RegistryUpdate { update, received_at, doubted } => {
                self.take_registry_update(update, received_at, &doubted).await;
            }
        }
    }

    /// Polls and watches where the configuration says.
    async fn apply_config(&mut self) {
        self.apply_registry_settings().await;
        self.reconnect();
    }

    fn initial_list_timeout(&self) {
        if self.context.endpoint_list.is_received() {
            return;
        }
        warn!(self.context.log, "no endpoint list yet, using the cached one"; "reason" => "initial-list-timeout");
        self.context.endpoint_list.set_received();
    }
}

/// Whether a line of a watch is empty, so that it only keeps the connection alive.
fn is_heartbeat(line: &[u8]) -> bool {
    line.iter().all(u8::is_ascii_whitespace)
}

/// What is believed of a source whose endpoints are identified by their address.
fn identified_by_address() -> SourcePolicy {
    SourcePolicy { by_address: true, ..SourcePolicy::default() }
}
