//! The merged endpoint list, built from the sources' views, with the operators' cordons applied.

use super::listing::{EntryKey, Listing, MembershipChange, SourceId, SourceUpdate};
use super::small_set::SmallSet;
use super::source_view::{SourcePolicy, SourceStats, SourceView};
use crate::{EndpointId, Lifecycle, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies an endpoint across updates: as long as the identity is the same, the endpoint keeps its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(super) enum EndpointIdentity {
    /// The key of an entry, whatever its address.
    #[serde(rename = "Named")]
    ByKey(SourceId, EntryKey),
    /// The id and the address of an entry.
    #[serde(rename = "Placed")]
    ByAddress(SocketAddr, Arc<str>),
}

/// The part of the hand-over state with the endpoint list: the numbers of the endpoints and the view of each source.
#[derive(Serialize, Deserialize)]
pub struct MembershipSnapshot {
    ids: Vec<(EndpointIdentity, EndpointId)>,
    last_id: u32,
    /// The entries of each source, by [`SourceId`].
    pub views: Vec<Vec<Listing>>,
}

/// The views of all sources and the list merged from them.
pub struct Membership {
    pub(super) views: Vec<SourceView>,
    source_names: Vec<&'static str>,
    /// The entries at each address that come from sources that identify by address.
    pub(super) by_address_entries: HashMap<SocketAddr, SmallSet<(SourceId, EntryKey)>>,
    /// The entries at each address that come from sources that identify by key.
    pub(super) by_key_entries: HashMap<SocketAddr, SmallSet<(SourceId, EntryKey)>>,
    /// The number of each endpoint, also of a removed one until [`retain_ids`](Self::retain_ids) forgets it.
    pub(super) ids: HashMap<EndpointIdentity, EndpointId>,
    /// The highest number that was given to an endpoint.
    pub(super) last_id: u32,
    /// The last published change of each endpoint that is not removed, before cordons are applied.
    pub(super) published: BTreeMap<EndpointIdentity, MembershipChange>,
    /// The published endpoints at each address.
    pub(super) published_at: HashMap<SocketAddr, SmallSet<EndpointIdentity>>,
    /// When each cordoned id was cordoned.
    cordons: BTreeMap<String, Micros>,
}

impl Membership {
    /// Creates an empty list for the given sources, each with its name.
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

    /// Drains all entries of an id until it is uncordoned, whatever their sources report. Returns the resulting changes, or
    /// `None` if the id is neither cordoned nor listed. An id that was cordoned twice needs to be uncordoned only once.
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

    /// Ends the cordon of an id, so that its entries have the state that their sources report. Returns the resulting
    /// changes, or `None` if the id is neither cordoned nor listed.
    pub fn uncordon(&mut self, now: Micros, id: &str) -> Option<Vec<MembershipChange>> {
        if self.cordons.remove(id).is_none() {
            return self.lists_id(id).then(Vec::new);
        }
        let mut changes = self.changes_of_id(id, "uncordoned");
        changes.iter_mut().for_each(|change| change.observed_at = now);
        Some(changes)
    }

    /// The ids of all cordoned entries.
    pub fn cordoned(&self) -> impl Iterator<Item = &str> {
        self.cordons.keys().map(String::as_str)
    }

    /// Marks ids as cordoned without publishing changes. Used for the cordons that an earlier process persisted, and to undo
    /// an uncordon that could not be persisted.
    pub fn restore_cordons(&mut self, now: Micros, ids: impl IntoIterator<Item = String>) {
        self.cordons.extend(ids.into_iter().map(|id| (id, now)));
    }

    fn lists_id(&self, id: &str) -> bool {
        self.published.values().any(|change| *change.listing.key.id == *id)
    }

    fn changes_of_id(&self, id: &str, reason: &'static str) -> Vec<MembershipChange> {
        let entries = self.published.values().filter(|change| *change.listing.key.id == *id);
        entries.map(|change| MembershipChange { reason, ..self.with_cordon(change) }).collect()
    }

    /// Applies the cordons to a change: a listed endpoint whose id is cordoned drains.
    pub(super) fn with_cordon(&self, change: &MembershipChange) -> MembershipChange {
        match self.cordons.get(&*change.listing.key.id) {
            Some(since) if change.lifecycle == Lifecycle::Listed => MembershipChange {
                lifecycle: Lifecycle::Draining,
                observed_at: *since,
                reason: "cordoned",
                ..change.clone()
            },
            _ => change.clone(),
        }
    }

    /// The name of a source, for logs.
    pub fn source_name(&self, source: SourceId) -> &'static str {
        self.source_names[source.0]
    }

    /// Replaces the policy of a source; its view stays.
    pub fn set_policy(&mut self, source: SourceId, policy: SourcePolicy) {
        self.views[source.0].policy = policy;
    }

    /// The snapshot that is handed over to the successor.
    pub fn snapshot(&self) -> MembershipSnapshot {
        let ids = self.ids.iter().map(|(identity, id)| (identity.clone(), *id)).collect();
        let views = self.views.iter().map(|view| view.listings().cloned().collect()).collect();
        MembershipSnapshot { ids, last_id: self.last_id, views }
    }

    /// Takes over the endpoint numbers of the predecessor. Must be called before any update is applied.
    pub fn adopt_ids(&mut self, snapshot: &MembershipSnapshot) {
        self.ids = snapshot.ids.iter().cloned().collect();
        self.last_id = snapshot.last_id;
    }

    /// Applies an update of a source; returns the resulting changes, in the order of the update.
    pub fn apply(&mut self, now: Micros, source: SourceId, update: SourceUpdate) -> Vec<MembershipChange> {
        let touched = self.views[source.0].apply(now, update);
        self.merge(now, source, touched)
    }

    /// Restores the view of a source from persisted entries; returns the resulting changes. The source's own updates
    /// override these entries.
    pub fn restore(
        &mut self,
        now: Micros,
        source: SourceId,
        listings: Vec<Listing>,
    ) -> Vec<MembershipChange> {
        let touched = self.views[source.0].restore(now, listings);
        self.merge(now, source, touched)
    }

    /// Ends the hold-downs that have expired; returns the resulting changes.
    pub fn tick(&mut self, now: Micros) -> Vec<MembershipChange> {
        let sources = (0..self.views.len()).map(SourceId);
        let due: Vec<_> =
            sources.map(|source| (source, self.views[source.0].take_ended_hold_downs(now))).collect();
        due.into_iter().flat_map(|(source, touched)| self.merge(now, source, touched)).collect()
    }

    /// When [`tick`](Self::tick) is due next; `None` if no end of a hold-down is pending. A hold-down that the entry cut
    /// short by leaving service keeps its end, so a call of `tick` may change nothing.
    pub fn next_tick(&self) -> Option<Micros> {
        self.views.iter().filter_map(SourceView::next_hold_down_end).min()
    }

    /// Whether the source must be polled for its complete list, because a part of its last update is in doubt.
    pub fn needs_complete_poll(&self, source: SourceId) -> bool {
        self.views[source.0].is_in_doubt()
    }

    /// Counters of a source's updates.
    pub fn stats(&self, source: SourceId) -> SourceStats {
        self.views[source.0].stats
    }

    /// All entries in a source's view.
    pub fn source_listings(&self, source: SourceId) -> impl Iterator<Item = &Listing> {
        self.views[source.0].listings()
    }

    /// The merged list: every endpoint that is not removed, each as its last change with the cordons applied.
    pub fn endpoints(&self) -> impl Iterator<Item = MembershipChange> + '_ {
        self.published.values().map(|change| self.with_cordon(change))
    }

    /// Forgets the numbers of endpoints that are neither in the list nor in use.
    pub fn retain_ids(&mut self, is_in_use: impl Fn(EndpointId) -> bool) {
        let published = &self.published;
        self.ids.retain(|identity, id| published.contains_key(identity) || is_in_use(*id));
    }
}
