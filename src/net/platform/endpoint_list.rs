//! The membership's actor: the platform's list of endpoints, watched as long as the program runs.

use crate::membership::{
    Key, Listing, Membership, MembershipChange, MembershipSnapshot, RegistrySettings, SourceId, SourcePolicy,
    SourceUpdate, State, WatchBackoff,
};
use crate::net::dial::connect;
use crate::net::endpoint::table::EndpointState;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::{AdminError, DeliveryMessage, EndpointListMessage, WatchEnd};
use crate::net::operator::cordons::Cordons;
use crate::net::platform::eureka::snapshot::Snapshot;
use crate::net::runtime::clock::wall;
use crate::net::{within, within_or_error, Context};
use crate::settings_json::{index_of, required, string, unsigned, Names};
use crate::{
    DestinationId, EndpointEntry, EndpointId, EndpointListUpdate, KindId, Lifecycle, Micros, ZoneId,
};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use serde_json::{json, Value};
use slog::{info, warn};
use std::collections::{HashSet, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A watch that says nothing for so long has fallen silent: an empty line comes every 2 s. Another is opened beside it,
/// as what it misses counts as told 6 s after it fell silent.
const SILENCE: Duration = Duration::from_millis(2600);
/// A watch that has told nothing for so long after it was opened has fallen silent too. With the silence of the one before it
/// that is 5 s; a shorter span has a whole fleet crowd a platform that is slow.
const OPENS: Duration = Duration::from_millis(2400);
/// One that stays silent is still listened to for so long, in case its answer is only late.
const GIVEN_UP: Duration = Duration::from_millis(8000);
/// So many watches are being opened at once at most.
const OPENING: usize = 3;
/// A new process holds its first calls back until it has been told a list, but no longer than this: the agent answers at
/// once unless it is down, and what it has counts as told from the first moment on. Where a slow platform has a whole fleet
/// wait, all of it calls at the same moment afterwards (herd+vast, seed 566030076732: G 0.68 with 1 s, 0.70 with this).
const FIRST_LIST: Duration = Duration::from_millis(300);
/// The file of the cordons is read so often at most, with a pause between two tries.
const CORDON_READS: u32 = 20;
const READ_AGAIN: Duration = Duration::from_millis(50);
/// A watch that another has replaced is still read for so long.
const PARTS: Duration = Duration::from_millis(200);
/// What left before this process began counts as told so long before its start.
const BEFORE_START: Micros = 60_000_000;
const LINE_LIMIT: usize = 4 * 1024 * 1024;

/// The sources of the list.
const PUSHED: SourceId = SourceId(0);
const REGISTRY: SourceId = SourceId(1);
/// The registry's view is written no more often than this.
const KEEP_EVERY: Micros = 2_000_000;
/// So long after an endpoint left, its last call is looked up.
const SETTLED: Micros = 1_000_000;
/// More changes at once are not told of one by one.
const LINES: usize = 100;
/// So many that left are looked at again; in a storm the rest is not.
const LEFT: usize = 10_000;

/// A watch: dropped, it closes its connection.
struct Watch {
    number: u64,
    address: SocketAddr,
    _task: Task<()>,
}

/// The registry as a source: who asks it, and its last view on the disk.
struct Asked {
    settings: Arc<RegistrySettings>,
    _task: Task<()>,
    snapshot: Snapshot,
    /// While nothing has come from it: when the view that was kept is served.
    serve_at: Option<Micros>,
    /// The view that is served was kept by an earlier process.
    stale: bool,
    /// When the view is to be written next.
    keep_at: Option<Micros>,
}

/// How a change of the list is told to the module.
#[derive(Clone, Copy, PartialEq)]
enum Telling {
    Patch,
    Whole,
    Stale,
}

/// The list as this program holds it.
pub struct EndpointListActor {
    context: Rc<Context>,
    names: Arc<Names>,
    own: Sender<EndpointListMessage>,
    membership: Membership,
    /// The watch that the list comes from.
    held: Option<Watch>,
    /// The one before it, for a moment: what it had been told and was not read yet has been told all the same.
    parting: Option<Watch>,
    /// Those of which the first to tell its list is to take its place, the newest last.
    opening: VecDeque<Watch>,
    watches: u64,
    /// When something was last heard on the watch that the list comes from. All that the agent had by then has been told; what
    /// the next watch tells first may have been there ever since, and counts as told then.
    heard: Micros,
    approach: WatchBackoff,
    generation: Option<u64>,
    /// Where that version comes from; not known of the list that the configuration brings.
    source: Option<SocketAddr>,
    registry: Option<Asked>,
    /// Endpoints that left, and when that was learnt; looked at once more when it is settled.
    left: VecDeque<(Micros, MembershipChange)>,
    /// When what is forgotten was last gone through.
    pruned: Micros,
    /// Another process goes on with the list.
    handed_over: bool,
}

impl EndpointListActor {
    /// An actor that holds nothing yet; its mailbox is for its watches.
    pub fn new(context: Rc<Context>, own: Sender<EndpointListMessage>) -> Self {
        let names = context.config().names.clone();
        let approach = WatchBackoff::new(context.config().forwarders);
        let sources = vec![("pushed", SourcePolicy::default()), ("registry", by_address())];
        let membership = Membership::new(sources);
        let (held, parting, opening, generation, source, registry, left) = Default::default();
        let heard = context.clock.now().saturating_sub(BEFORE_START);
        EndpointListActor {
            context,
            names,
            own,
            membership,
            held,
            parting,
            opening,
            watches: 0,
            heard,
            approach,
            generation,
            source,
            registry,
            left,
            pruned: 0,
            handed_over: false,
        }
    }

    /// Takes in the list that the configuration brings; it may be old.
    pub async fn take_known(&mut self, known: &Value) {
        match self.read(known) {
            Ok((_, listings)) => {
                let changes = self.membership.restore(self.context.clock.now(), PUSHED, listings);
                self.tell(Telling::Stale, changes).await;
            }
            Err(e) => warn!(self.context.log, "the known list makes no sense"; "error" => e),
        }
    }

    /// Goes on with the list of the process that this one replaces, under the same numbers.
    pub async fn inherit(&mut self, carried: MembershipSnapshot) {
        self.membership.adopt_ids(&carried);
        self.context.list_received.set();
        let now = self.context.clock.now();
        for (source, listings) in carried.views.into_iter().enumerate() {
            let how = if SourceId(source) == PUSHED { Telling::Stale } else { Telling::Patch };
            let changes = self.membership.restore(now, SourceId(source), listings);
            self.tell(how, changes).await;
        }
    }

    /// Writes changes on the board, then tells the module.
    async fn tell(&mut self, how: Telling, changes: Vec<MembershipChange>) {
        // One that is back before it was looked at again is looked at now: the board forgets that it left.
        if !self.left.is_empty() {
            let named: HashSet<EndpointId> = changes.iter().map(|c| c.endpoint).collect();
            let all = std::mem::take(&mut self.left).into_iter();
            let (back, rest): (VecDeque<_>, _) = all.partition(|l| named.contains(&l.1.endpoint));
            self.left = rest;
            back.into_iter().for_each(|(learnt, change)| self.settle(learnt, &change));
        }
        let board = &self.context.endpoint_table;
        let mut entries = Vec::with_capacity(changes.len());
        let mut write = |change: &MembershipChange| entries.push(self.write_on_board(change));
        for change in &changes {
            // What a complete list does not name is gone by that.
            if how == Telling::Patch || change.lifecycle != Lifecycle::Removed {
                write(change);
            }
        }
        if how != Telling::Patch {
            let told: HashSet<EndpointId> = changes.iter().map(|c| c.endpoint).collect();
            self.membership.endpoints().filter(|c| !told.contains(&c.endpoint)).for_each(|c| write(&c));
            let named: Vec<_> = entries.iter().map(|e| e.endpoint).collect();
            board.keep_only(&named);
        }
        // A large list is not gone through at each change of it.
        let now = self.context.clock.now();
        if now >= self.pruned + SETTLED {
            self.pruned = now;
            // With thousands of endpoints that costs more than all else that a change does.
            if board.prune(now) {
                self.membership.retain_ids(|id| board.get(id).is_some());
            }
        }
        if self.registry.is_some() {
            self.note(&changes);
        }
        self.context.has_endpoint_list.set(true);
        let news = match how {
            Telling::Patch => EndpointListUpdate::Patch(entries),
            Telling::Whole => EndpointListUpdate::Complete(entries),
            Telling::Stale => EndpointListUpdate::Cached(entries),
        };
        let _ = self.context.delivery.send(DeliveryMessage::EndpointList(news)).await;
    }

    /// One line a change, and for what leaves a second look later.
    fn note(&mut self, changes: &[MembershipChange]) {
        // A whole registry that comes at once is one line, but for what leaves.
        let many = changes.len() > LINES;
        if many {
            info!(self.context.log, "list changed"; "entries" => changes.len());
        }
        for change in changes.iter().filter(|c| !many || c.lifecycle != Lifecycle::Listed) {
            let source = self.membership.source_name(change.source);
            info!(self.context.log, "list changed"; "endpoint" => change.endpoint.0, "id" => &change.listing.key.id,
                "address" => %change.listing.address, "lifecycle" => ?change.lifecycle, "why" => change.reason,
                "source" => source, "learnt" => change.observed_at);
            if change.lifecycle != Lifecycle::Listed && self.left.len() < LEFT {
                self.left.push_back((change.observed_at, change.clone()));
            }
        }
    }

    /// Tells of endpoints that left a while ago: learnt, told to the module, last first byte.
    fn settle_left(&mut self, now: Micros) {
        while self.left.front().is_some_and(|l| l.0 + SETTLED <= now) {
            let (learnt, change) = self.left.pop_front().expect("just seen");
            self.settle(learnt, &change);
        }
    }

    fn settle(&self, learnt: Micros, change: &MembershipChange) {
        let known = self.context.endpoint_table.get(change.endpoint);
        // One that drained before it went is told of once.
        let Some(known) = known.filter(|k| k.draining_since == Some(learnt)) else { return };
        self.context.endpoint_table.count_drain(&known);
        let ms = |t: Option<Micros>| t.map(|t| (t as f64 - learnt as f64) / 1e3);
        info!(self.context.log, "endpoint left"; "endpoint" => change.endpoint.0,
            "id" => &change.listing.key.id, "lifecycle" => ?change.lifecycle, "learnt" => learnt,
            "told_ms" => ms(known.drain_observed_at), "last_byte_ms" => ms(known.last_first_byte_at));
    }

    /// Reads a version of the list.
    fn read(&mut self, v: &Value) -> Result<(bool, Vec<Listing>), String> {
        let generation = required(v, "generation", unsigned)?;
        let complete = v.get("reset").and_then(Value::as_bool).unwrap_or(false);
        let instances = v.get("instances").and_then(Value::as_array).ok_or("no `instances`")?;
        let mut listings = Vec::new();
        for instance in instances {
            match self.listing(instance) {
                Ok(listing) => listings.push(listing),
                // One odd entry must not hide the others.
                Err(e) => warn!(self.context.log, "entry passed over"; "error" => e),
            }
        }
        self.generation = Some(generation);
        Ok((complete, listings))
    }

    fn listing(&self, v: &Value) -> Result<Listing, String> {
        let id = required(v, "instanceId", string)?;
        let address: SocketAddr =
            required(v, "hostPort", string)?.parse().map_err(|_| format!("`{id}` has no address"))?;
        let state = match required(v, "lifecycle", string)?.as_str() {
            "active" => State::Up,
            "leaving" => State::Draining,
            "left" => State::Removed,
            other => return Err(format!("`{id}` has the unknown lifecycle `{other}`")),
        };
        let kind = index_of(&self.names.kinds, &required(v, "machineType", string)?, "kind")?;
        let zone = index_of(&self.names.zones, &required(v, "zone", string)?, "zone")?;
        let destination = DestinationId(required(v, "cell", unsigned)?);
        let weight = v.get("weight").and_then(Value::as_f64).unwrap_or(1.0);
        let (key, kind, zone) = (Key { group: String::new(), id }, KindId(kind), ZoneId(zone));
        Ok(Listing { key, address, destination, zone, kind, weight, state, stamp: 0 })
    }

    /// Keeps the list, by one watch after another and by the registry's answers, without end.
    pub async fn run(mut self, mail: Receiver<EndpointListMessage>) {
        let own = self.own.clone();
        let unheard = async move {
            Timer::after(FIRST_LIST).await;
            let _ = own.send(EndpointListMessage::InitialListTimeout).await;
        };
        self.context.executor.spawn(unheard).detach();
        self.look().await;
        loop {
            let clock = self.context.clock;
            let asked = self.registry.as_ref();
            // Where another process goes on with the list, nothing is due here.
            let here = |t: Option<Micros>| t.filter(|_| !self.handed_over);
            let times = [
                self.membership.next_tick(),
                asked.and_then(|a| a.serve_at),
                asked.and_then(|a| a.keep_at),
                self.left.front().map(|l| l.0 + SETTLED),
            ];
            let due = async {
                match here(times.into_iter().flatten().min()) {
                    Some(at) => Timer::at(clock.at(at)).await,
                    None => future::pending().await,
                };
                None
            };
            match future::or(async { Some(mail.recv().await) }, due).await {
                Some(Ok(news)) if self.ignores(&news) => continue,
                Some(Ok(news)) => self.take(news).await,
                Some(Err(_)) => return,
                None => {}
            }
            if !self.handed_over {
                self.pass_time().await;
            }
        }
    }

    /// What another process goes on with is no matter of this one any more.
    fn ignores(&self, news: &EndpointListMessage) -> bool {
        self.handed_over
            && !matches!(news, EndpointListMessage::HandOverAborted | EndpointListMessage::HandOver { .. })
    }

    async fn take(&mut self, news: EndpointListMessage) {
        match news {
            EndpointListMessage::ConfigReloaded => self.look().await,
            // One that waits its turn is on its way: a fleet that is turned away must not ask all the more.
            EndpointListMessage::Resubscribe if self.held.is_none() && self.opening.is_empty() => {
                self.open(0)
            }
            EndpointListMessage::Resubscribe => {}
            EndpointListMessage::WatchLine { watch, line } => self.take_line(watch, &line).await,
            EndpointListMessage::WatchSilent { watch } => self.fell_silent(watch),
            EndpointListMessage::ReplacedWatchExpired { watch } => {
                drop(self.parting.take_if(|w| w.number == watch))
            }
            EndpointListMessage::WatchEnded { watch, end: over } => self.ended(watch, over),
            EndpointListMessage::InitialListTimeout if !self.context.list_received.is_set() => {
                warn!(self.context.log, "no list yet, calling by the one that was known"; "reason" => "unheard");
                self.context.list_received.set();
            }
            EndpointListMessage::InitialListTimeout => {}
            EndpointListMessage::HandOver { reply } => {
                self.handed_over = true;
                let _ = reply.try_send(self.membership.snapshot());
            }
            EndpointListMessage::HandOverAborted => {
                // What was told meanwhile was missed: all is asked for anew.
                self.handed_over = false;
                (self.held, self.generation) = (None, None);
                self.opening.clear();
                self.open(0);
            }
            EndpointListMessage::Cordon { id, cordoned: out, reply } => self.cordon(&id, out, &reply).await,
            EndpointListMessage::RegistryUpdate { update: news, received_at: learnt, doubted: doubt } => {
                let changes = self.membership.apply(learnt, REGISTRY, news);
                if let Some(asked) = &mut self.registry {
                    if !changes.is_empty() {
                        asked.keep_at.get_or_insert(learnt + KEEP_EVERY);
                    }
                    (asked.serve_at, asked.stale) = (None, false);
                }
                // A registry that has nothing is a list to go by as well; after that only changes are news.
                if !changes.is_empty() || !self.context.has_endpoint_list.get() {
                    self.tell(Telling::Patch, changes).await;
                }
                let _ = doubt.try_send(self.membership.needs_complete_poll(REGISTRY));
                self.show();
            }
        }
    }

    /// Leaves an endpoint out or calls it back, and says yes once that is kept and binds every first byte.
    async fn cordon(&mut self, id: &str, out: bool, reply: &Sender<Result<(), AdminError>>) {
        let now = self.context.clock.now();
        let was = self.membership.cordoned().any(|c| c == id);
        let changes = match out {
            true => self.membership.cordon(now, id),
            false => self.membership.uncordon(now, id),
        };
        let Some(changes) = changes else {
            let _ = reply.try_send(Err(AdminError::UnknownEndpoint));
            return;
        };
        if was != out {
            let kept = Cordons::new(&self.context.config().state_folder).write(self.membership.cordoned());
            if let Err(e) = kept {
                warn!(self.context.log, "cordon not kept"; "id" => id, "out" => out, "error" => %e);
                // As it was: what would not hold over a kill is not said to hold.
                match out {
                    true => drop(self.membership.uncordon(now, id)),
                    false => self.membership.restore_cordons(now, [id.to_owned()]),
                }
                let _ = reply.try_send(Err(AdminError::NotPersisted(e.to_string())));
                return;
            }
        }
        info!(self.context.log, "cordon"; "id" => id, "out" => out, "entries" => changes.len());
        *self.context.cordoned.borrow_mut() = self.membership.cordoned().map(str::to_owned).collect();
        for change in &changes {
            self.write_on_board(change);
        }
        let _ = reply.try_send(Ok(()));
        if !changes.is_empty() {
            self.tell(Telling::Patch, changes).await;
        }
    }

    /// Takes in what operators left out while an earlier process ran.
    pub async fn take_cordons(&mut self) {
        let file = Cordons::new(&self.context.config().state_folder);
        let mut kept = file.read();
        // One error of the folder must not put back what operators left out.
        for _ in 0..CORDON_READS {
            let Err(e) = &kept else { break };
            warn!(self.context.log, "the cordons cannot be read"; "error" => %e);
            Timer::after(READ_AGAIN).await;
            kept = file.read();
        }
        let ids = kept.unwrap_or_default();
        self.membership.restore_cordons(self.context.clock.now(), ids);
        *self.context.cordoned.borrow_mut() = self.membership.cordoned().map(str::to_owned).collect();
    }

    /// Writes a change on the board; what the module is told of it.
    fn write_on_board(&self, change: &MembershipChange) -> EndpointEntry {
        let MembershipChange { endpoint, listing: l, lifecycle, observed_at: learnt, .. } = change;
        let (endpoint, lifecycle) = (*endpoint, *lifecycle);
        let apart = self.context.config().kinds[l.kind.0].per_endpoint_breaker;
        let known = EndpointState::new(l.address, l.destination, l.zone, apart);
        self.context.endpoint_table.list(endpoint, lifecycle, *learnt, known);
        let (destination, zone, kind, weight) = (l.destination, l.zone, l.kind, l.weight);
        EndpointEntry { endpoint, destination, zone, kind, lifecycle, weight }
    }

    /// What falls due by time alone.
    async fn pass_time(&mut self) {
        let now = self.context.clock.now();
        let changes = self.membership.tick(now);
        if !changes.is_empty() {
            self.tell(Telling::Patch, changes).await;
        }
        self.settle_left(now);
        let Some(asked) = &mut self.registry else { return };
        if asked.serve_at.take_if(|t| *t <= now).is_some() {
            match asked.snapshot.read() {
                Ok(Some(kept)) => {
                    asked.stale = true;
                    let age = wall().saturating_sub(kept.at) / 1000;
                    warn!(self.context.log, "the registry is silent, its last view is served";
                        "entries" => kept.listings.len(), "age_ms" => age);
                    let changes = self.membership.restore(now, REGISTRY, kept.listings);
                    self.tell(Telling::Patch, changes).await;
                    self.show();
                }
                Ok(None) => warn!(self.context.log, "the registry is silent, and no view of it was kept"),
                Err(e) => {
                    warn!(self.context.log, "the registry is silent, its last view is damaged"; "error" => %e)
                }
            }
            return;
        }
        if asked.keep_at.take_if(|t| *t <= now).is_some() {
            let limit = self.context.config().max_disk_bytes;
            match asked.snapshot.write(wall(), self.membership.source_listings(REGISTRY), limit) {
                Ok(Some(_)) => {}
                Ok(None) => warn!(self.context.log, "the registry's view is too large to be kept"),
                Err(e) => warn!(self.context.log, "the registry's view is not kept"; "error" => %e),
            }
        }
    }

    /// Shows operators what of the list comes from the registry.
    fn show(&self) {
        let counts = self.membership.stats(REGISTRY);
        let stale = self.registry.as_ref().is_some_and(|a| a.stale);
        let view = json!({
            "entries": self.membership.source_listings(REGISTRY).count(), "stale_entries": counts.stale_entries, "flaps": counts.flaps,
            "held_down": counts.held_down, "shrinks_not_believed": counts.doubted_updates, "heard": counts.last_update_at,
            "serves_kept_view": stale,
        });
        *self.context.registry_view.borrow_mut() = Some(view);
    }

    /// Asks the registry that the site file names; what it has told stands while another is asked. With none named
    /// any more its entries go.
    async fn look_at_registry(&mut self) {
        let wanted = self.context.config().registry.clone();
        let same = self.registry.as_ref().map(|a| &a.settings) == wanted.as_ref();
        if same {
            return;
        }
        let Some(settings) = wanted else {
            self.membership.set_policy(REGISTRY, by_address());
            let nothing = SourceUpdate::Complete { version: None, listings: Vec::new() };
            let changes = self.membership.apply(self.context.clock.now(), REGISTRY, nothing);
            self.tell(Telling::Patch, changes).await;
            self.registry = None;
            *self.context.registry_view.borrow_mut() = None;
            return;
        };
        self.membership.set_policy(REGISTRY, settings.source_policy());
        let asking =
            crate::net::platform::eureka::run(self.context.clone(), settings.clone(), self.own.clone());
        let heard = self.membership.stats(REGISTRY).last_update_at.is_some();
        let serve_at = (!heard).then(|| self.context.clock.now() + settings.use_snapshot_after);
        let snapshot = Snapshot::new(&self.context.config().state_folder);
        let task = self.context.executor.spawn(asking);
        self.registry =
            Some(Asked { settings, _task: task, snapshot, serve_at, stale: false, keep_at: None });
        self.show();
    }

    /// Opens a watch where the platform's agent listens, unless one is there or on its way.
    async fn look(&mut self) {
        self.look_at_registry().await;
        let wanted = self.context.config().agent_address;
        self.opening.retain(|w| w.address == wanted);
        if self.held.as_ref().is_some_and(|w| w.address == wanted) {
            self.opening.clear();
        } else if self.opening.is_empty() {
            self.open(0);
        }
    }

    /// Opens a watch after a pause; of many that are being opened the oldest is let go.
    fn open(&mut self, pause: Micros) {
        let pause = Duration::from_micros(pause);
        let address = self.context.config().agent_address;
        // A version number is worth nothing at an address that did not give it: there, the whole list is asked for.
        let after = self.generation.filter(|_| self.source.is_none_or(|s| s == address));
        self.watches += 1;
        let (context, own, number) = (self.context.clone(), self.own.clone(), self.watches);
        let task = self.context.executor.spawn(async move {
            Timer::after(pause).await;
            let over = watch(address, after, number, &own).await;
            match &over {
                WatchEnd::TurnedAway(status, _) => {
                    info!(context.log, "connection ended"; "side" => "membership", "reason" => "turned-away",
                        "status" => status);
                }
                WatchEnd::Broke(e) => {
                    info!(context.log, "connection ended"; "side" => "membership", "reason" => e.code());
                }
            };
            let _ = own.send(EndpointListMessage::WatchEnded { watch: number, end: over }).await;
        });
        self.opening.push_back(Watch { number, address, _task: task });
        if self.opening.len() > OPENING {
            self.opening.pop_front();
        }
    }

    /// A watch has fallen silent. Another is opened beside it, unless one that is younger is on its way.
    fn fell_silent(&mut self, watch: u64) {
        let newest = self.opening.back().or(self.held.as_ref());
        if newest.is_some_and(|w| w.number == watch) {
            info!(self.context.log, "the watch is silent, opening another"; "side" => "membership", "reason" => "silent");
            self.open(0);
        }
    }

    /// A watch is over. While another address is wanted than the one that is watched, only a watch there counts.
    fn ended(&mut self, watch: u64, over: WatchEnd) {
        let of = |w: &mut Watch| w.number == watch;
        self.parting.take_if(of);
        self.held.take_if(of);
        self.opening.retain_mut(|w| !of(w));
        // The agent is there and tells nothing: that is no reason to hold calls back.
        self.context.list_received.set();
        let wanted = self.context.config().agent_address;
        if self.opening.is_empty() && self.held.as_ref().is_none_or(|w| w.address != wanted) {
            let pause = match over {
                WatchEnd::TurnedAway(_, asked) => self.approach.after_rejection(asked, fastrand::f64()),
                WatchEnd::Broke(_) => self.approach.after_failure(fastrand::f64()),
            };
            self.open(pause);
        }
    }

    /// Lets a watch go a moment after another has taken its place. Guards against news that lay unread on it, as after a stall, and
    /// that the other does not have yet.
    fn part_with(&mut self, watch: Watch) {
        info!(self.context.log, "connection ended"; "side" => "membership", "reason" => "moved");
        let (own, number) = (self.own.clone(), watch.number);
        self.parting = Some(watch);
        let parting = async move {
            Timer::after(PARTS).await;
            let _ = own.send(EndpointListMessage::ReplacedWatchExpired { watch: number }).await;
        };
        self.context.executor.spawn(parting).detach();
    }

    /// What a watch still tells that another has replaced counts if it is newer than what that one has told.
    async fn take_parting_line(&mut self, line: &[u8]) {
        let Ok(told) = serde_json::from_slice::<Value>(line) else { return };
        let newer = told.get("generation").and_then(Value::as_u64) > self.generation;
        let complete = told.get("reset").and_then(Value::as_bool).unwrap_or(false);
        if !newer || complete {
            return;
        }
        let known = self.generation;
        let Ok((_, listings)) = self.read(&told) else { return };
        // The other watch goes on from what it has told itself.
        self.generation = known;
        let news = SourceUpdate::Patch { listings, removed: Vec::new() };
        let learnt = self.context.stall_detector.since(self.context.clock.now());
        let changes = self.membership.apply(learnt, PUSHED, news);
        info!(self.context.log, "list"; "generation" => told["generation"].as_u64(), "parting" => true);
        self.tell(Telling::Patch, changes).await;
    }

    async fn take_line(&mut self, watch: u64, line: &[u8]) {
        if self.parting.as_ref().is_some_and(|w| w.number == watch) {
            return self.take_parting_line(line).await;
        }
        let held = self.held.as_ref().is_some_and(|w| w.number == watch);
        let opened = self.opening.iter().position(|w| w.number == watch);
        let now = self.context.stall_detector.since(self.context.clock.now());
        let learnt = if opened.is_some() { self.heard } else { now };
        if held {
            self.heard = now;
        }
        if line.iter().all(u8::is_ascii_whitespace) || !(held || opened.is_some()) {
            return;
        }
        let read = serde_json::from_slice(line).map_err(|e| e.to_string());
        let (complete, listings) = match read.and_then(|v| self.read(&v)) {
            Ok(read) => read,
            Err(e) => {
                warn!(self.context.log, "the list makes no sense"; "error" => e);
                return self.ended(watch, WatchEnd::Broke(HttpError::Malformed("the list makes no sense")));
            }
        };
        if let Some(opened) = opened {
            // Only now is the old one let go: nothing that it told meanwhile was missed.
            let next = self.opening.remove(opened);
            self.opening.clear();
            if let Some(before) = std::mem::replace(&mut self.held, next) {
                self.part_with(before);
            }
        }
        self.heard = now;
        self.approach.received();
        self.source = self.held.as_ref().map(|w| w.address);
        info!(self.context.log, "list"; "generation" => self.generation, "complete" => complete, "entries" => listings.len());
        self.context.counters.lists.add();
        let news = match complete {
            true => SourceUpdate::Complete { version: None, listings },
            false => SourceUpdate::Patch { listings, removed: Vec::new() },
        };
        let changes = self.membership.apply(learnt, PUSHED, news);
        self.tell(if complete { Telling::Whole } else { Telling::Patch }, changes).await;
        // Only now: the board has it.
        self.context.list_received.set();
    }
}

fn by_address() -> SourcePolicy {
    SourcePolicy { by_address: true, ..SourcePolicy::default() }
}

/// What is heard on a watch. Its silence is told after a first span, and breaks it only long after.
async fn heard<T>(
    watch: u64,
    patience: Duration,
    members: &Sender<EndpointListMessage>,
    what: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    let mut what = std::pin::pin!(what);
    if let Some(heard) = within(patience, what.as_mut()).await {
        return heard;
    }
    let _ = members.send(EndpointListMessage::WatchSilent { watch }).await;
    within_or_error(what, GIVEN_UP.saturating_sub(patience)).await
}

/// Hands on line after line until the connection ends; why it did.
async fn watch(
    address: SocketAddr,
    after: Option<u64>,
    number: u64,
    members: &Sender<EndpointListMessage>,
) -> WatchEnd {
    let opening = async {
        let mut wire = HttpConnection::new(connect(address).await.map_err(HttpError::Socket)?);
        let after = after.map_or(String::new(), |g| format!("&after={g}"));
        let request = format!("GET /catalog/members?watch=1{after} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        wire.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
        let head = wire.read_answer().await?;
        if head.status != 200 {
            let asked = head.fields.get("Retry-After").and_then(|r| r.parse::<f64>().ok());
            let asked = asked.filter(|s| (0.0..=60.0).contains(s)).map(|s| (s * 1e6) as Micros);
            return Ok(Err((head.status, asked)));
        }
        // The first list comes at once, too.
        let first = wire.chunk(LINE_LIMIT).await?;
        Ok(Ok((wire, first)))
    };
    let (mut wire, mut next) = match heard(number, OPENS, members, opening).await {
        Ok(Ok(opened)) => opened,
        Ok(Err((status, asked))) => return WatchEnd::TurnedAway(status, asked),
        Err(e) => return WatchEnd::Broke(e),
    };
    let mut line = Vec::new();
    loop {
        let Some(part) = next else { return WatchEnd::Broke(HttpError::Ended) };
        line.extend_from_slice(&part);
        while let Some(end) = line.iter().position(|b| *b == b'\n') {
            let rest = line.split_off(end + 1);
            let line = std::mem::replace(&mut line, rest);
            if members.send(EndpointListMessage::WatchLine { watch: number, line }).await.is_err() {
                return WatchEnd::Broke(HttpError::Ended);
            }
        }
        if line.len() > LINE_LIMIT {
            return WatchEnd::Broke(HttpError::TooLarge);
        }
        next = match heard(number, SILENCE, members, wire.chunk(LINE_LIMIT)).await {
            Ok(part) => part,
            Err(e) => return WatchEnd::Broke(e),
        };
    }
}
