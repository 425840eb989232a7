//! Merges the sources' views: which entries become endpoints of the merged list, and which changes an update causes.

use super::listing::{Listing, MembershipChange, SourceId};
use super::merged_list::{EndpointIdentity, Membership};
use super::small_set::SmallSet;
use super::source_view::{EffectiveState, TouchedEntry};
use crate::{EndpointId, Lifecycle, Micros};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// An entry that may become the endpoint at its address.
struct Candidate {
    listing: Listing,
    effective: EffectiveState,
    source: SourceId,
}

impl Candidate {
    /// Chooses the entry with the higher stamp, or `self` if the stamps are equal. If both entries have the same id (in two
    /// groups), the chosen one drains if either drains.
    fn choose_to_publish(self, other: Candidate) -> Candidate {
        let is_newer = other.listing.stamp > self.listing.stamp;
        if self.listing.key.id != other.listing.key.id {
            return if is_newer { other } else { self };
        }
        let effective = other.effective.most_restrictive(self.effective);
        let newest = if is_newer { other } else { self };
        Candidate { effective, ..newest }
    }
}

impl Membership {
    /// Merges the entries that an update touched; returns the resulting changes of the merged list.
    pub(super) fn merge(
        &mut self,
        now: Micros,
        source: SourceId,
        touched: Vec<TouchedEntry>,
    ) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        if self.views[source.0].policy.identifies_by_address {
            for address in self.index_by_address(source, touched) {
                self.merge_address(now, address, &mut changes);
            }
        } else {
            for entry in touched {
                self.merge_keyed(now, source, entry, &mut changes);
            }
        }
        changes
    }

    /// Updates the index of entries by address for the touched entries of a source that identifies by address. Returns the
    /// addresses that an entry has or had, each once.
    fn index_by_address(&mut self, source: SourceId, touched: Vec<TouchedEntry>) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for TouchedEntry { key, previous_address } in touched {
            let current_address = self.views[source.0].get(&key).map(|listing| listing.address);
            if let Some(left) = previous_address.filter(|previous| Some(*previous) != current_address) {
                remove_from_address(&mut self.by_address_entries, left, &(source, key.clone()));
                addresses.push(left);
            }
            if let Some(current) = current_address {
                self.by_address_entries.entry(current).or_default().insert((source, key));
                addresses.push(current);
            }
        }
        let mut seen = HashSet::new();
        addresses.retain(|address| seen.insert(*address));
        addresses
    }

    /// Publishes an entry of a source that identifies by key, or its removal, and merges the addresses that it has or had.
    fn merge_keyed(
        &mut self,
        now: Micros,
        source: SourceId,
        entry: TouchedEntry,
        changes: &mut Vec<MembershipChange>,
    ) {
        let TouchedEntry { key, previous_address } = entry;
        let identity = EndpointIdentity::ByKey(source, key.clone());
        let view = &self.views[source.0];
        let current = view.get(&key).cloned().zip(view.effective_state(&key, now));
        let current_address = current.as_ref().map(|(listing, _)| listing.address);
        let left_address = previous_address.filter(|previous| Some(*previous) != current_address);
        if let Some(left) = left_address {
            remove_from_address(&mut self.by_key_entries, left, &(source, key.clone()));
        }
        match current {
            Some((listing, effective)) => {
                self.by_key_entries.entry(listing.address).or_default().insert((source, key));
                self.publish(identity, Candidate { listing, effective, source }, changes);
            }
            None => self.publish_removal(now, &identity, source, "missing", changes),
        }
        // An entry of another source at one of these addresses may become visible again, or hidden.
        for address in left_address.into_iter().chain(current_address) {
            self.merge_address(now, address, changes);
        }
    }

    /// Merges the entries at an address that come from sources that identify by address. If a source that identifies by key
    /// lists the address, its entry replaces all of them.
    fn merge_address(&mut self, now: Micros, address: SocketAddr, changes: &mut Vec<MembershipChange>) {
        let best = self.best_candidate(now, address);
        let best_identity =
            best.as_ref().map(|best| EndpointIdentity::ByAddress(address, best.listing.key.id.clone()));
        // Without a candidate the reason is "missing", also if an entry of a source that identifies by key is the cause.
        let reason = if best.is_some() { "replaced at its address" } else { "missing" };
        let published = self.published_at.get(&address).into_iter().flat_map(SmallSet::iter);
        let replaced: Vec<EndpointIdentity> = published
            .filter(|identity| matches!(identity, EndpointIdentity::ByAddress(..)))
            .filter(|identity| Some(*identity) != best_identity.as_ref())
            .cloned()
            .collect();
        for identity in replaced {
            let source = self.published[&identity].source;
            self.publish_removal(now, &identity, source, reason, changes);
        }
        let Some((best, identity)) = best.zip(best_identity) else { return };
        // An entry that drains is published only if its endpoint is in the list, so an entry that is draining when it is
        // first seen adds none.
        if best.effective.lifecycle == Lifecycle::Listed || self.published.contains_key(&identity) {
            self.publish(identity, best, changes);
        }
    }

    /// The entry to publish at an address, from the sources that identify by address. `None` if none of them lists the
    /// address, or if a source that identifies by key lists it.
    fn best_candidate(&self, now: Micros, address: SocketAddr) -> Option<Candidate> {
        if self.by_key_entries.contains_key(&address) {
            return None;
        }
        let entries = self.by_address_entries.get(&address)?.iter();
        let candidates = entries.filter_map(|(source, key)| {
            let view = &self.views[source.0];
            let (listing, effective) = view.get(key).zip(view.effective_state(key, now))?;
            Some(Candidate { listing: listing.clone(), effective, source: *source })
        });
        candidates.reduce(Candidate::choose_to_publish)
    }

    /// Publishes a candidate as the endpoint of this identity, and updates the index of published endpoints by address.
    fn publish(
        &mut self,
        identity: EndpointIdentity,
        candidate: Candidate,
        changes: &mut Vec<MembershipChange>,
    ) {
        let endpoint = self.endpoint_id(&identity);
        let Candidate { listing, effective, source } = candidate;
        let EffectiveState { lifecycle, observed_at, reason } = effective;
        let change = MembershipChange { endpoint, listing, lifecycle, observed_at, source, reason };
        let known = self.published.get(&identity);
        // Every entry from a source that identifies by key is published. From other sources only changed ones are.
        let must_publish = matches!(identity, EndpointIdentity::ByKey(..))
            || known.is_none_or(|known| is_changed(known, &change));
        let known_address = known.map(|known| known.listing.address);
        if let Some(left) = known_address.filter(|known| *known != change.listing.address) {
            remove_from_address(&mut self.published_at, left, &identity);
        }
        self.published_at.entry(change.listing.address).or_default().insert(identity.clone());
        if must_publish {
            changes.push(self.with_cordon(&change));
            self.published.insert(identity, change);
        }
    }

    /// The number of the endpoint of this identity. A new identity gets the next number.
    fn endpoint_id(&mut self, identity: &EndpointIdentity) -> EndpointId {
        if let Some(id) = self.ids.get(identity) {
            return *id;
        }
        self.last_id += 1;
        let id = EndpointId(self.last_id);
        self.ids.insert(identity.clone(), id);
        id
    }

    /// Publishes the removal of the endpoint of this identity. Does nothing if it is not in the list.
    fn publish_removal(
        &mut self,
        now: Micros,
        identity: &EndpointIdentity,
        source: SourceId,
        reason: &'static str,
        changes: &mut Vec<MembershipChange>,
    ) {
        let Some(known) = self.published.remove(identity) else { return };
        remove_from_address(&mut self.published_at, known.listing.address, identity);
        let lifecycle = Lifecycle::Removed;
        changes.push(MembershipChange { lifecycle, observed_at: now, source, reason, ..known });
    }
}

/// Whether the lifecycle, destination, zone, kind or weight differs from the endpoint's last published change.
fn is_changed(known: &MembershipChange, change: &MembershipChange) -> bool {
    let (old, new) = (&known.listing, &change.listing);
    known.lifecycle != change.lifecycle
        || old.destination != new.destination
        || old.zone != new.zone
        || old.kind != new.kind
        || old.weight != new.weight
}

/// Removes a value from the set of an address, and drops the set once it is empty.
fn remove_from_address<T: Ord>(sets: &mut HashMap<SocketAddr, SmallSet<T>>, address: SocketAddr, value: &T) {
    if let Some(set) = sets.get_mut(&address) {
        set.remove(value);
        if set.is_empty() {
            sets.remove(&address);
        }
    }
}
