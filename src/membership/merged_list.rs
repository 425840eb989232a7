//! The one list that the sources' views make, with the operators' cordons applied.

use super::listing::{Key, Listing, MembershipChange, SourceId, SourceUpdate};
use super::source_view::{SourcePolicy, SourceStats, SourceView};
use crate::{EndpointId, Lifecycle, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// What makes an endpoint the same one over time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) enum EndpointIdentity {
    /// An entry of a source, wherever it listens.
    #[serde(rename = "Named")]
    ByKey(SourceId, Key),
    /// An id at an address.
    #[serde(rename = "Placed")]
    ByAddress(SocketAddr, String),
}

/// What a process hands over to its successor: the numbers of endpoints, and the view of each source.
#[derive(Serialize, Deserialize)]
pub struct MembershipSnapshot {
    ids: Vec<(EndpointIdentity, EndpointId)>,
    last_id: u32,
    /// The entries of each source, by [`SourceId`].
    pub views: Vec<Vec<Listing>>,
}

/// The views of the sources and the list that they make.
pub struct Membership {
    pub(super) views: Vec<SourceView>,
    source_names: Vec<&'static str>,
    /// The entries at each address, of sources that identify by address.
    pub(super) by_address_entries: HashMap<SocketAddr, BTreeSet<(SourceId, Key)>>,
    /// The entries at each address, of sources that identify by key.
    pub(super) by_key_entries: HashMap<SocketAddr, BTreeSet<(SourceId, Key)>>,
    pub(super) ids: HashMap<EndpointIdentity, EndpointId>,
    pub(super) last_id: u32,
    /// The last change of each endpoint that is not removed, without the cordons.
    pub(super) published: BTreeMap<EndpointIdentity, MembershipChange>,
    /// The published endpoints at each address.
    pub(super) published_at: HashMap<SocketAddr, BTreeSet<EndpointIdentity>>,
    /// Since when operators want the entries of an id drained, whatever the sources say.
    cordons: BTreeMap<String, Micros>,
}

impl Membership {
    /// An empty list from these sources, each with its name.
    pub fn new(sources: Vec<(&'static str, SourcePolicy)>) -> Self {
        let (source_names, policies): (Vec<_>, Vec<_>) = sources.into_iter().unzip();
        Membership {
            views: policies.into_iter().map(SourceView::new).collect(),
            source_names,
            by_address_entries: HashMap::new(),
            by_key_entries: HashMap::new(),
            ids: HashMap::new(),
            last_id: 0,
            published: BTreeMap::new(),
            published_at: HashMap::new(),
            cordons: BTreeMap::new(),
        }
    }

    /// The entries of an id are drained until they are uncordoned, whatever sources say; returns what changes by it. None if
    /// the list has no such id. Cordoning twice is undone by uncordoning once.
    pub fn cordon(&mut self, now: Micros, id: &str) -> Option<Vec<MembershipChange>> {
        if self.cordons.contains_key(id) {
            return Some(Vec::new());
        }
        if !self.lists_id(id) {
            return None;
        }
        self.cordons.insert(id.to_owned(), now);
        Some(self.changes_of_id(id, "cordoned"))
    }

    /// The entries of an id may serve again, as far as sources say so; returns what changes by it. None if it is neither
    /// cordoned nor listed.
    pub fn uncordon(&mut self, now: Micros, id: &str) -> Option<Vec<MembershipChange>> {
        if self.cordons.remove(id).is_none() {
            return self.lists_id(id).then(Vec::new);
        }
        let mut changes = self.changes_of_id(id, "uncordoned");
        changes.iter_mut().for_each(|change| change.observed_at = now);
        Some(changes)
    }

    /// The ids that are cordoned.
    pub fn cordoned(&self) -> impl Iterator<Item = &str> {
        self.cordons.keys().map(String::as_str)
    }

    /// What was cordoned under an earlier process still is.
    pub fn restore_cordons(&mut self, now: Micros, ids: impl IntoIterator<Item = String>) {
        self.cordons.extend(ids.into_iter().map(|id| (id, now)));
    }

    fn lists_id(&self, id: &str) -> bool {
        self.published.values().any(|change| change.listing.key.id == id)
    }

    fn changes_of_id(&self, id: &str, reason: &'static str) -> Vec<MembershipChange> {
        let entries = self.published.values().filter(|change| change.listing.key.id == id);
        entries.map(|change| MembershipChange { reason, ..self.with_cordon(change) }).collect()
    }

    /// What holds for an endpoint with the operators' cordons applied.
    pub(super) fn with_cordon(&self, change: &MembershipChange) -> MembershipChange {
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

    /// The name of a source.
    pub fn source_name(&self, source: SourceId) -> &'static str {
        self.source_names[source.0]
    }

    /// Another policy holds for a source; its view stays.
    pub fn set_policy(&mut self, source: SourceId, policy: SourcePolicy) {
        self.views[source.0].policy = policy;
    }

    /// What the successor of this process goes on with.
    pub fn snapshot(&self) -> MembershipSnapshot {
        let ids = self.ids.iter().map(|(identity, id)| (identity.clone(), *id)).collect();
        let views = self.views.iter().map(|view| view.listings().cloned().collect()).collect();
        MembershipSnapshot { ids, last_id: self.last_id, views }
    }

    /// Goes on with the endpoints' numbers of the predecessor; to be called before any update.
    pub fn adopt_ids(&mut self, snapshot: &MembershipSnapshot) {
        self.ids = snapshot.ids.iter().cloned().collect();
        self.last_id = snapshot.last_id;
    }

    /// Applies what a source has sent; returns what changes by it, in the order in which it was sent.
    pub fn apply(&mut self, now: Micros, source: SourceId, update: SourceUpdate) -> Vec<MembershipChange> {
        let touched = self.views[source.0].apply(now, update);
        self.merge(now, source, touched)
    }

    /// Takes persisted entries as a source's view until the source sends something itself; returns what changes by it.
    pub fn restore(
        &mut self,
        now: Micros,
        source: SourceId,
        listings: Vec<Listing>,
    ) -> Vec<MembershipChange> {
        let touched = self.views[source.0].restore(now, listings);
        self.merge(now, source, touched)
    }

    /// Returns what changes by the mere passing of time.
    pub fn tick(&mut self, now: Micros) -> Vec<MembershipChange> {
        let sources = (0..self.views.len()).map(SourceId);
        let due: Vec<_> = sources.map(|source| (source, self.views[source.0].take_due(now))).collect();
        due.into_iter().flat_map(|(source, touched)| self.merge(now, source, touched)).collect()
    }

    /// When time alone changes something next.
    pub fn next_tick(&self) -> Option<Micros> {
        self.views.iter().filter_map(SourceView::next_due).min()
    }

    /// A complete update of this source is needed, whatever partial ones say: something is in doubt.
    pub fn needs_complete_poll(&self, source: SourceId) -> bool {
        self.views[source.0].is_in_doubt()
    }

    /// What was counted of a source's updates.
    pub fn stats(&self, source: SourceId) -> SourceStats {
        self.views[source.0].stats
    }

    /// The entries of a source's view.
    pub fn source_listings(&self, source: SourceId) -> impl Iterator<Item = &Listing> {
        self.views[source.0].listings()
    }

    /// The merged list: every endpoint that is not removed.
    pub fn endpoints(&self) -> impl Iterator<Item = MembershipChange> + '_ {
        self.published.values().map(|change| self.with_cordon(change))
    }

    /// Forgets the numbers of endpoints that are neither listed nor in use.
    pub fn retain_ids(&mut self, is_in_use: impl Fn(EndpointId) -> bool) {
        let published = &self.published;
        self.ids.retain(|identity, id| published.contains_key(identity) || is_in_use(*id));
    }
}
