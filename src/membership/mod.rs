//! The partner list, from several sources: what each says is kept as a view of its own, and the views are merged
//! into the one list that the decision module and the board get. It decides what of an answer is believed and when
//! something that comes back is used again. It does no I/O, takes time as an argument, and implies nothing about
//! health.
//!
//! `docs/registry.md` weighs the ways; `docs/operating-registry.md` is for operators.

mod approach;
mod poll;
mod settings;
mod view;

use crate::{DestinationId, EndpointId, KindId, Lifecycle, Micros, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

pub use approach::WatchBackoff;
pub use poll::{PollKind, Poller};
pub use settings::{MetadataNames, PollScope, Registration, RegistryAddress, RegistrySettings};
use view::{Effective, View};
pub use view::{HoldDown, ShrinkGuard, SourceStats};

/// What a source says of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// In service.
    Up,
    /// Nothing new should be sent there.
    #[serde(rename = "Leaving")]
    Draining,
    /// Removed.
    #[serde(rename = "Gone")]
    Removed,
    /// Not known: whatever the source said before still holds.
    Unknown,
}

impl State {
    /// Its name in what the program prints.
    pub fn name(self) -> &'static str {
        match self {
            State::Up => "Up",
            State::Draining => "Leaving",
            State::Removed => "Gone",
            State::Unknown => "Unknown",
        }
    }
}

/// What an entry is called: within its source, by group (an application of the registry; empty where there are no
/// groups) and id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The group.
    pub group: String,
    /// The id.
    pub id: String,
}

/// An entry, as its source tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// What it is called.
    pub key: Key,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whose it is.
    pub destination: DestinationId,
    /// Its failure domain.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// What it takes, as far as the source tells.
    pub weight: f64,
    /// What its source says of it.
    pub state: State,
    /// When it last changed, by its source's own clock or count; never compared between entries of two sources.
    pub stamp: u64,
}

/// What a source has told.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// All that it has; what is missing is gone.
    Complete {
        /// Its version, where the source counts them.
        version: Option<u64>,
        /// The entries.
        listings: Vec<Listing>,
    },
    /// Entries that changed, each named.
    Patch {
        /// As they are now.
        listings: Vec<Listing>,
        /// Those that are gone, with their stamps.
        removed: Vec<(Key, u64)>,
    },
}

/// How far a source is believed.
#[derive(Clone, Debug, Default)]
pub struct SourcePolicy {
    /// What comes back waits, so that flapping costs neither late drains nor stampedes.
    pub hold_down: Option<HoldDown>,
    /// A full answer that lacks too much is not believed at once.
    pub shrink_guard: Option<ShrinkGuard>,
    /// An entry is its id at its address: an id elsewhere, or another id there, is another endpoint. Without it an
    /// id is one endpoint wherever it listens.
    pub by_address: bool,
}

/// A source's place among the sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourceId(pub usize);

/// A change of the merged list.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// The entry that it comes from.
    pub listing: Listing,
    /// What holds for it now.
    pub lifecycle: Lifecycle,
    /// When it was learnt.
    pub observed_at: Micros,
    /// From which source.
    pub source: SourceId,
    /// Why it is what it is.
    pub reason: &'static str,
}

/// What an endpoint goes by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
enum Slot {
    /// An id of a source, wherever it listens.
    Named(SourceId, Key),
    /// An id at an address.
    Placed(SocketAddr, String),
}

/// What one process passes on to the one that replaces it: the numbers of endpoints, and what each source has told.
#[derive(Serialize, Deserialize)]
pub struct MembershipSnapshot {
    ids: Vec<(Slot, EndpointId)>,
    last_id: u32,
    /// By source.
    pub views: Vec<Vec<Listing>>,
}

/// The views and the list that they make.
pub struct Membership {
    views: Vec<View>,
    names: Vec<&'static str>,
    /// Entries of sources that go by address: who stands there.
    places: HashMap<SocketAddr, BTreeSet<(SourceId, Key)>>,
    /// Addresses that sources name that go by id.
    named: HashMap<SocketAddr, BTreeSet<(SourceId, Key)>>,
    ids: HashMap<Slot, EndpointId>,
    last_id: u32,
    /// What the sources say now.
    told: BTreeMap<Slot, MembershipChange>,
    /// What operators want left out, by id, and since when: laid over whatever the sources say.
    cordons: BTreeMap<String, Micros>,
    /// At each address, the slots there that were told and are not gone.
    told_at: HashMap<SocketAddr, BTreeSet<Slot>>,
}

impl Membership {
    /// No entries yet, from these sources, each with its name.
    pub fn new(sources: Vec<(&'static str, SourcePolicy)>) -> Self {
        let names = sources.iter().map(|s| s.0).collect();
        let views = sources.into_iter().map(|s| View::new(s.1)).collect();
        let (places, named, ids, told, told_at, cordons) = Default::default();
        Membership { views, names, places, named, ids, last_id: 0, told, told_at, cordons }
    }

    /// The entries of that id are left out until they are called back, whatever sources say; what changes by it. None
    /// if the list knows no such id. Two calls out are undone by one back.
    pub fn cordon(&mut self, now: Micros, id: &str) -> Option<Vec<MembershipChange>> {
        if !self.cordons.contains_key(id) && !self.names_id(id) {
            return None;
        }
        let new = !self.cordons.contains_key(id);
        self.cordons.entry(id.to_owned()).or_insert(now);
        Some(if new { self.of_id(id, "cordoned") } else { Vec::new() })
    }

    /// The entries of that id may serve again, as far as sources say so. None if it is neither cordoned nor known.
    pub fn uncordon(&mut self, now: Micros, id: &str) -> Option<Vec<MembershipChange>> {
        if self.cordons.remove(id).is_none() {
            return self.names_id(id).then(Vec::new);
        }
        let back = |c: MembershipChange| MembershipChange { observed_at: now, ..c };
        Some(self.of_id(id, "uncordoned").into_iter().map(back).collect())
    }

    /// The ids that are left out.
    pub fn cordoned(&self) -> impl Iterator<Item = &str> {
        self.cordons.keys().map(String::as_str)
    }

    /// What was left out by an earlier process still is.
    pub fn restore_cordons(&mut self, now: Micros, ids: impl IntoIterator<Item = String>) {
        self.cordons.extend(ids.into_iter().map(|id| (id, now)));
    }

    fn names_id(&self, id: &str) -> bool {
        self.told.values().any(|c| c.listing.key.id == id)
    }

    fn of_id(&self, id: &str, why: &'static str) -> Vec<MembershipChange> {
        let entries = self.told.values().filter(|c| c.listing.key.id == id);
        entries.map(|c| MembershipChange { reason: why, ..self.laid_over(c) }).collect()
    }

    /// What holds for an entry with what operators want laid over it.
    fn laid_over(&self, change: &MembershipChange) -> MembershipChange {
        match self.cordons.get(&change.listing.key.id) {
            Some(since) if change.lifecycle == Lifecycle::Listed => MembershipChange {
                lifecycle: Lifecycle::Draining,
                observed_at: *since,
                reason: "cordoned",
                ..change.clone()
            },
            _ => change.clone(),
        }
    }

    /// What a source is called.
    pub fn source_name(&self, source: SourceId) -> &'static str {
        self.names[source.0]
    }

    /// Other figures hold for a source; what it has told stays.
    pub fn set_policy(&mut self, source: SourceId, policy: SourcePolicy) {
        self.views[source.0].policy = policy;
    }

    /// What the process that replaces this one goes on with.
    pub fn snapshot(&self) -> MembershipSnapshot {
        let ids = self.ids.iter().map(|(slot, id)| (slot.clone(), *id)).collect();
        let views = self.views.iter().map(|v| v.listings().cloned().collect()).collect();
        MembershipSnapshot { ids, last_id: self.last_id, views }
    }

    /// Goes on with the numbers of the process that this one replaces; before any entry is told.
    pub fn adopt_ids(&mut self, carried: &MembershipSnapshot) {
        self.ids = carried.ids.iter().cloned().collect();
        self.last_id = carried.last_id;
    }

    /// Takes in what a source has told and tells what changes by it, in the order in which it was told.
    pub fn apply(&mut self, now: Micros, source: SourceId, news: SourceUpdate) -> Vec<MembershipChange> {
        let touched = self.views[source.0].take(now, news);
        self.settle(now, source, touched)
    }

    /// What a source told long ago, as it was kept: held as its view until it says something itself.
    pub fn restore(
        &mut self,
        now: Micros,
        source: SourceId,
        listings: Vec<Listing>,
    ) -> Vec<MembershipChange> {
        let touched = self.views[source.0].restore(now, listings);
        self.settle(now, source, touched)
    }

    /// Tells what changes by the mere passing of time.
    pub fn tick(&mut self, now: Micros) -> Vec<MembershipChange> {
        let sources = (0..self.views.len()).map(SourceId);
        let due: Vec<_> = sources.map(|s| (s, self.views[s.0].due(now))).collect();
        due.into_iter().flat_map(|(s, touched)| self.settle(now, s, touched)).collect()
    }

    /// When time alone changes something next.
    pub fn next_tick(&self) -> Option<Micros> {
        self.views.iter().filter_map(View::next_due).min()
    }

    /// A full answer of this source is wanted, whatever partial ones say: something is in doubt.
    pub fn needs_complete_poll(&self, source: SourceId) -> bool {
        self.views[source.0].in_doubt()
    }

    /// What a source's answers have come to.
    pub fn stats(&self, source: SourceId) -> SourceStats {
        self.views[source.0].counts
    }

    /// The entries of a source that are held, as it told them.
    pub fn source_listings(&self, source: SourceId) -> impl Iterator<Item = &Listing> {
        self.views[source.0].listings()
    }

    /// The merged list: every endpoint that is not gone.
    pub fn endpoints(&self) -> impl Iterator<Item = MembershipChange> + '_ {
        self.told.values().map(|c| self.laid_over(c))
    }

    /// Forgets the numbers of endpoints that nobody knows any more.
    pub fn retain_ids(&mut self, known: impl Fn(EndpointId) -> bool) {
        let told = &self.told;
        self.ids.retain(|slot, id| told.contains_key(slot) || known(*id));
    }

    /// Works out what holds for the entries that a source's news touched.
    fn settle(
        &mut self,
        now: Micros,
        source: SourceId,
        touched: Vec<(Key, Option<SocketAddr>)>,
    ) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        if !self.views[source.0].policy.by_address {
            for (key, before) in touched {
                self.settle_named(now, source, key, before, &mut changes);
            }
            return changes;
        }
        let mut places: Vec<SocketAddr> = Vec::new();
        for (key, before) in touched {
            let after = self.views[source.0].get(&key).map(|l| l.address);
            if let Some(old) = before.filter(|b| Some(*b) != after) {
                leave(&mut self.places, old, &(source, key.clone()));
                places.push(old);
            }
            if let Some(new) = after {
                self.places.entry(new).or_default().insert((source, key));
                places.push(new);
            }
        }
        let mut seen = std::collections::HashSet::new();
        places.retain(|p| seen.insert(*p));
        places.into_iter().for_each(|p| self.settle_place(now, p, &mut changes));
        changes
    }

    fn settle_named(
        &mut self,
        now: Micros,
        source: SourceId,
        key: Key,
        before: Option<SocketAddr>,
        changes: &mut Vec<MembershipChange>,
    ) {
        let slot = Slot::Named(source, key.clone());
        let (after, effective) = {
            let view = &self.views[source.0];
            (view.get(&key).cloned(), view.effective(&key, now))
        };
        let at = after.as_ref().map(|l| l.address);
        let left = before.filter(|b| Some(*b) != at);
        if let Some(old) = left {
            leave(&mut self.named, old, &(source, key.clone()));
        }
        match after.zip(effective) {
            Some((listing, effective)) => {
                self.named.entry(listing.address).or_default().insert((source, key));
                self.tell(slot, listing, effective, source, changes);
            }
            None => self.tell_gone(now, &slot, source, "missing", changes),
        }
        // What other sources have at these addresses may hold again, or no longer.
        left.into_iter().chain(at).for_each(|place| self.settle_place(now, place, changes));
    }

    /// Who stands at an address, of the sources that go by it: of several ids the one that changed last; of one
    /// id in several groups the newest entry, and a drain if any of them says so. Where a source that goes by id
    /// names the address, its word holds alone.
    fn settle_place(&mut self, now: Micros, address: SocketAddr, changes: &mut Vec<MembershipChange>) {
        let mut best: Option<(Listing, Effective, SourceId)> = None;
        if !self.named.contains_key(&address) {
            for (source, key) in self.places.get(&address).into_iter().flatten() {
                let view = &self.views[source.0];
                let Some((listing, effective)) = view.get(key).zip(view.effective(key, now)) else {
                    continue;
                };
                let Some((held, state, from)) = &mut best else {
                    best = Some((listing.clone(), effective, *source));
                    continue;
                };
                let same = held.key.id == listing.key.id;
                let severe = if same { effective.severest(*state) } else { effective };
                if listing.stamp > held.stamp {
                    (*held, *from) = (listing.clone(), *source);
                    *state = severe;
                } else if same {
                    *state = severe;
                }
            }
        }
        let wins = best.as_ref().map(|b| Slot::Placed(address, b.0.key.id.clone()));
        let others: Vec<Slot> = self.told_at.get(&address).into_iter().flatten().cloned().collect();
        for slot in others.into_iter().filter(|s| matches!(s, Slot::Placed(..)) && Some(s) != wins.as_ref()) {
            let source = self.told[&slot].source;
            let why = if best.is_some() { "replaced at its address" } else { "missing" };
            self.tell_gone(now, &slot, source, why, changes);
        }
        if let Some(((listing, effective, source), slot)) = best.zip(wins) {
            // What drains and was never in service is not added.
            if effective.lifecycle == Lifecycle::Listed || self.told.contains_key(&slot) {
                self.tell(slot, listing, effective, source, changes);
            }
        }
    }

    fn tell(
        &mut self,
        slot: Slot,
        listing: Listing,
        effective: Effective,
        source: SourceId,
        changes: &mut Vec<MembershipChange>,
    ) {
        let last = &mut self.last_id;
        let endpoint = *self.ids.entry(slot.clone()).or_insert_with(|| {
            *last += 1;
            EndpointId(*last)
        });
        let Effective { lifecycle, learnt, why } = effective;
        let change =
            MembershipChange { endpoint, listing, lifecycle, observed_at: learnt, source, reason: why };
        let known = self.told.get(&slot);
        if known.is_some_and(|k| k.listing.address != change.listing.address) {
            let old = known.expect("just seen").listing.address;
            leave(&mut self.told_at, old, &slot);
        }
        // A source that goes by id is passed on as it tells; of the others only what changes.
        let news = matches!(slot, Slot::Named(..))
            || known.is_none_or(|k| {
                let (a, b) = (&k.listing, &change.listing);
                k.lifecycle != lifecycle
                    || (a.destination, a.zone, a.kind, a.weight) != (b.destination, b.zone, b.kind, b.weight)
            });
        self.told_at.entry(change.listing.address).or_default().insert(slot.clone());
        if news {
            changes.push(self.laid_over(&change));
            self.told.insert(slot, change);
        }
    }

    fn tell_gone(
        &mut self,
        now: Micros,
        slot: &Slot,
        source: SourceId,
        why: &'static str,
        changes: &mut Vec<MembershipChange>,
    ) {
        let Some(known) = self.told.remove(slot) else { return };
        leave(&mut self.told_at, known.listing.address, slot);
        changes.push(MembershipChange {
            lifecycle: Lifecycle::Removed,
            observed_at: now,
            source,
            reason: why,
            ..known
        });
    }
}

/// Takes one out of a set at an address; an empty set is let go.
fn leave<T: Ord>(sets: &mut HashMap<SocketAddr, BTreeSet<T>>, at: SocketAddr, one: &T) {
    if let Some(set) = sets.get_mut(&at) {
        set.remove(one);
        if set.is_empty() {
            sets.remove(&at);
        }
    }
}
