//! The view of one source: the entries that it has sent and that were accepted. It is independent of the other sources.

use super::listing::{EntryKey, EntryState, Listing, SourceUpdate};
use crate::{Lifecycle, Micros};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// How updates of a source are checked before they are accepted.
#[derive(Clone, Debug, Default)]
pub struct SourcePolicy {
    /// How long an entry that returns to service is held down; `None` for not at all. Hold-downs keep calls from an entry
    /// that flaps, as it is about to drain again, and from causing a burst each time that it returns.
    pub hold_down: Option<HoldDown>,
    /// When a complete update that lacks entries of the view is doubted; `None` for never. Without a guard, no
    /// complete update is doubted or ignored, and removals leave no tombstones.
    pub shrink_guard: Option<ShrinkGuard>,
    /// Whether an endpoint is identified by its id and its address together. If so, the same id at another address, or
    /// another id at the same address, is another endpoint. If not, an endpoint is identified by the key of its entry, and
    /// the same key is the same endpoint at any address.
    pub identifies_by_address: bool,
}

/// How long an entry that returns to service is held down, which means that it is not used although its source lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldDown {
    /// The hold-down after the first flap, in microseconds. A flap is a departure from service. Each further flap that is
    /// still remembered doubles the hold-down.
    pub first: Micros,
    /// The longest hold-down, in microseconds.
    pub max: Micros,
    /// One remembered flap is forgotten for each period of this length without a flap, in microseconds.
    pub forget_after: Micros,
}

/// When a complete update that lacks entries of the view is doubted, and for how long such doubts last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkGuard {
    /// The share of the view's entries that an update may lack without being doubted.
    pub max_missing_share: f64,
    /// How long a doubt lasts, in microseconds. An entry that is missing from a doubted update is removed by a complete
    /// update that lacks it at least this long after the first one that did. Lower versions are accepted this long after the
    /// first one, and a tombstone is kept this long after the removal.
    pub confirm_after: Micros,
}

/// Counters of a source's updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceStats {
    /// Entries, removals and complete updates that were ignored because the view had newer ones.
    pub stale_entries: u64,
    /// How often an entry left service.
    pub flaps: u64,
    /// How often an entry returned to service and was held down.
    pub held_down: u64,
    /// Complete updates that were doubted.
    pub doubted_updates: u64,
    /// When the source last sent an update; `None` if it has not sent any.
    pub last_update_at: Option<Micros>,
}

/// The lifecycle that results from an entry's state and its hold-down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EffectiveState {
    /// Listed or draining; a removed entry has no effective lifecycle.
    pub lifecycle: Lifecycle,
    /// When the entry last changed its state or its address; for an entry whose hold-down has ended, that end.
    pub observed_at: Micros,
    /// Why the entry has this lifecycle. The text "held down before" says that its hold-down has ended.
    pub reason: &'static str,
}

impl EffectiveState {
    /// Returns the state that drains if only one of the two does, otherwise `self`.
    pub fn most_restrictive(self, other: EffectiveState) -> EffectiveState {
        match (self.lifecycle, other.lifecycle) {
            (Lifecycle::Listed, Lifecycle::Draining) => other,
            _ => self,
        }
    }
}

/// An entry that an update touched.
pub(super) struct TouchedEntry {
    pub key: EntryKey,
    /// The address before the update; `None` if the entry was not in the view.
    pub previous_address: Option<SocketAddr>,
}

/// An accepted entry.
struct Entry {
    listing: Listing,
    /// When the entry last changed its state or its address.
    observed_at: Micros,
    /// The end of the entry's last hold-down, which may have passed; until then the entry is up, but not used. `None` if it
    /// was not held down when it came up.
    held_down_until: Option<Micros>,
}

/// How often and when an entry recently left service.
struct FlapHistory {
    count: u32,
    last_at: Micros,
}

impl FlapHistory {
    /// The number of flaps without those that are forgotten by now.
    fn recent_count(&self, now: Micros, hold_down: &HoldDown) -> u32 {
        let forgotten = now.saturating_sub(self.last_at) / hold_down.forget_after.max(1);
        self.count.saturating_sub(u32::try_from(forgotten).unwrap_or(u32::MAX))
    }
}

/// Remembers a removed entry, so that an update with the same or a lower stamp does not add it again.
struct Tombstone {
    stamp: u64,
    removed_at: Micros,
}

/// The accepted entries of one source, by key.
#[derive(Default)]
pub(super) struct SourceView {
    pub policy: SourcePolicy,
    pub stats: SourceStats,
    entries: HashMap<EntryKey, Entry>,
    flaps: HashMap<EntryKey, FlapHistory>,
    tombstones: HashMap<EntryKey, Tombstone>,
    /// When each entry was first missing from a doubted update.
    missing_since: HashMap<EntryKey, Micros>,
    /// The version of the last accepted complete update that had one; `None` if none had.
    version: Option<u64>,
    /// When the versions of updates first became lower than the view's version.
    version_lower_since: Option<Micros>,
    /// The highest stamp of any entry that was accepted.
    newest_stamp: u64,
    /// The ends of all hold-downs, earliest first, also of those that the entry cut short by leaving service again.
    hold_down_ends: BTreeSet<(Micros, EntryKey)>,
}

impl SourceView {
    pub fn new(policy: SourcePolicy) -> Self {
        SourceView { policy, ..SourceView::default() }
    }

    pub fn get(&self, key: &EntryKey) -> Option<&Listing> {
        self.entries.get(key).map(|entry| &entry.listing)
    }

    pub fn listings(&self) -> impl Iterator<Item = &Listing> {
        self.entries.values().map(|entry| &entry.listing)
    }

    /// Whether an update was doubted and the doubt is not resolved, so that the complete list should be polled.
    pub fn is_in_doubt(&self) -> bool {
        !self.missing_since.is_empty() || self.version_lower_since.is_some()
    }

    /// The lifecycle that an entry has now; `None` if it is not in the view.
    pub fn effective_state(&self, key: &EntryKey, now: Micros) -> Option<EffectiveState> {
        let entry = self.entries.get(key)?;
        let (lifecycle, observed_at, reason) = match (entry.listing.state, entry.held_down_until) {
            (EntryState::Up, Some(until)) if now < until => {
                (Lifecycle::Draining, entry.observed_at, "held down")
            }
            (EntryState::Up, Some(until)) => (Lifecycle::Listed, until, "held down before"),
            (EntryState::Up, None) => (Lifecycle::Listed, entry.observed_at, "up"),
            _ => (Lifecycle::Draining, entry.observed_at, "not in service"),
        };
        Some(EffectiveState { lifecycle, observed_at, reason })
    }

    /// The earliest end of a hold-down; `None` if there is none.
    pub fn next_hold_down_end(&self) -> Option<Micros> {
        self.hold_down_ends.first().map(|(at, _)| *at)
    }

    /// Removes the ends of hold-downs that have passed, and returns an entry for each. An entry that was held down again
    /// meanwhile is returned for each of its ends, and may still be held down.
    pub fn take_ended_hold_downs(&mut self, now: Micros) -> Vec<TouchedEntry> {
        let mut touched = Vec::new();
        while self.next_hold_down_end().is_some_and(|at| at <= now) {
            let Some((_, key)) = self.hold_down_ends.pop_first() else { break };
            let previous_address = self.get(&key).map(|listing| listing.address);
            touched.push(TouchedEntry { key, previous_address });
        }
        touched
    }

    /// Adds persisted entries with the stamp 0, so that any update of the source overrides them.
    pub fn restore(&mut self, now: Micros, listings: Vec<Listing>) -> Vec<TouchedEntry> {
        let mut touched = Vec::new();
        for listing in listings {
            self.apply_listing(now, Listing { stamp: 0, ..listing }, &mut touched);
        }
        touched
    }

    pub fn apply(&mut self, now: Micros, update: SourceUpdate) -> Vec<TouchedEntry> {
        self.stats.last_update_at = Some(now);
        self.forget_expired(now);
        let mut touched = Vec::new();
        match update {
            SourceUpdate::Patch { listings, removed } => {
                for listing in listings {
                    self.apply_listing(now, listing, &mut touched);
                }
                for (key, stamp) in removed {
                    self.apply_removal(now, &key, stamp, &mut touched);
                }
            }
            SourceUpdate::Complete { version, listings } => {
                if self.accept_version(now, version) {
                    self.apply_complete(now, listings, &mut touched);
                }
            }
        }
        touched
    }

    /// How long a doubt lasts; 0 without a shrink guard. See [`ShrinkGuard::confirm_after`].
    fn confirm_after(&self) -> Micros {
        self.policy.shrink_guard.map_or(0, |guard| guard.confirm_after)
    }

    /// Forgets tombstones and flap histories that have no effect any more.
    fn forget_expired(&mut self, now: Micros) {
        let tombstone_lifetime = self.confirm_after();
        self.tombstones.retain(|_, tombstone| now < tombstone.removed_at + tombstone_lifetime);
        match self.policy.hold_down {
            Some(hold_down) => self.flaps.retain(|_, flaps| flaps.recent_count(now, &hold_down) > 0),
            None => self.flaps.clear(),
        }
    }

    /// Whether a complete update of this version is accepted. A lower version than before is taken for that of a replica
    /// that lags. If versions stay lower for the confirmation time, the registry is assumed to have restarted, and its
    /// versions are accepted.
    fn accept_version(&mut self, now: Micros, version: Option<u64>) -> bool {
        let is_lower = version.zip(self.version).is_some_and(|(version, known)| version < known);
        if is_lower {
            let lower_since = *self.version_lower_since.get_or_insert(now);
            if now < lower_since + self.confirm_after() {
                self.stats.stale_entries += 1;
                self.stats.doubted_updates += 1;
                return false;
            }
        }
        self.version_lower_since = None;
        self.version = version.or(self.version);
        true
    }

    fn apply_complete(&mut self, now: Micros, listings: Vec<Listing>, touched: &mut Vec<TouchedEntry>) {
        let newest_stamp = listings.iter().map(|listing| listing.stamp).max().unwrap_or(0);
        let listed: HashSet<EntryKey> = listings.iter().map(|listing| listing.key.clone()).collect();
        let mut missing: Vec<EntryKey> =
            self.entries.keys().filter(|key| !listed.contains(*key)).cloned().collect();
        missing.sort();
        let is_doubted = self.is_doubtful(missing.len(), newest_stamp);
        self.stats.doubted_updates += u64::from(is_doubted);
        for listing in listings {
            self.apply_listing(now, listing, touched);
        }
        self.missing_since.retain(|key, _| !listed.contains(key));
        for key in missing {
            let since = *self.missing_since.entry(key.clone()).or_insert(now);
            if !is_doubted || now >= since + self.confirm_after() {
                self.remove(now, &key, None, touched);
            }
        }
        if !is_doubted {
            self.missing_since.clear();
        }
    }

    /// Whether a complete update is doubted: it lacks too many entries, or it lacks any entry and all its stamps are lower
    /// than the view's newest.
    fn is_doubtful(&self, missing: usize, newest_stamp: u64) -> bool {
        let Some(guard) = self.policy.shrink_guard else { return false };
        let max_missing = guard.max_missing_share * self.entries.len() as f64;
        missing > 0 && (missing as f64 > max_missing || newest_stamp < self.newest_stamp)
    }

    fn apply_removal(&mut self, now: Micros, key: &EntryKey, stamp: u64, touched: &mut Vec<TouchedEntry>) {
        let is_stale = self.get(key).is_some_and(|known| stamp > 0 && stamp < known.stamp);
        if is_stale {
            self.stats.stale_entries += 1;
        } else {
            self.remove(now, key, Some(stamp), touched);
        }
    }

    fn apply_listing(&mut self, now: Micros, listing: Listing, touched: &mut Vec<TouchedEntry>) {
        if listing.state == EntryState::Unknown {
            return;
        }
        let known = self.get(&listing.key);
        if known.is_none() && listing.state == EntryState::Removed {
            return;
        }
        // An unchanged entry is skipped, because a registry repeats each change in its deltas for minutes. Sources that
        // identify by key have each of their entries published again.
        if self.policy.identifies_by_address && known == Some(&listing) {
            self.missing_since.remove(&listing.key);
            return;
        }
        if self.is_stale(&listing) {
            self.stats.stale_entries += 1;
            return;
        }
        if listing.state == EntryState::Removed {
            return self.remove(now, &listing.key, Some(listing.stamp), touched);
        }
        self.upsert(now, listing, touched);
    }

    /// Whether the view has a newer entry, or a tombstone that is not older. An entry with the stamp 0 is never stale.
    fn is_stale(&self, listing: &Listing) -> bool {
        let is_older = self.get(&listing.key).is_some_and(|known| listing.stamp < known.stamp);
        let tombstone = self.tombstones.get(&listing.key);
        let is_removed = tombstone.is_some_and(|tombstone| listing.stamp <= tombstone.stamp);
        listing.stamp > 0 && (is_older || is_removed)
    }

    fn upsert(&mut self, now: Micros, listing: Listing, touched: &mut Vec<TouchedEntry>) {
        let key = listing.key.clone();
        self.missing_since.remove(&key);
        self.newest_stamp = self.newest_stamp.max(listing.stamp);
        let previous = self.entries.remove(&key);
        let previous_address = previous.as_ref().map(|entry| entry.listing.address);
        let previous_state = previous.as_ref().map(|entry| entry.listing.state);
        let has_moved = previous_address.is_some_and(|address| address != listing.address);
        let held_down_until = match (previous_state, listing.state) {
            (Some(EntryState::Up), EntryState::Up) if !has_moved => {
                previous.as_ref().and_then(|e| e.held_down_until)
            }
            // An entry that has moved to another address is a new process: it is held down only by the flaps of its key.
            (_, EntryState::Up) => self.hold_down(now, &key),
            (Some(EntryState::Up), _) => {
                self.count_flap(now, &key);
                None
            }
            _ => None,
        };
        let has_changed = previous_state != Some(listing.state) || has_moved;
        let observed_at = previous.filter(|_| !has_changed).map_or(now, |entry| entry.observed_at);
        self.tombstones.remove(&key);
        self.entries.insert(key.clone(), Entry { listing, observed_at, held_down_until });
        touched.push(TouchedEntry { key, previous_address });
    }

    /// Counts that an entry left service.
    fn count_flap(&mut self, now: Micros, key: &EntryKey) {
        let Some(hold_down) = self.policy.hold_down else { return };
        self.stats.flaps += 1;
        let recent = self.flaps.get(key).map_or(0, |flaps| flaps.recent_count(now, &hold_down));
        self.flaps.insert(key.clone(), FlapHistory { count: recent + 1, last_at: now });
    }

    /// Starts the hold-down of an entry that entered service; returns its end, or `None` if the entry did not leave service
    /// recently.
    fn hold_down(&mut self, now: Micros, key: &EntryKey) -> Option<Micros> {
        let hold_down = self.policy.hold_down?;
        let recent = self.flaps.get(key)?.recent_count(now, &hold_down);
        if recent == 0 {
            return None;
        }
        let factor = 1u64.checked_shl(recent - 1).unwrap_or(u64::MAX);
        let until = now + hold_down.first.saturating_mul(factor).min(hold_down.max);
        self.stats.held_down += 1;
        self.hold_down_ends.insert((until, key.clone()));
        Some(until)
    }

    fn remove(&mut self, now: Micros, key: &EntryKey, stamp: Option<u64>, touched: &mut Vec<TouchedEntry>) {
        let Some(entry) = self.entries.remove(key) else { return };
        self.missing_since.remove(key);
        if entry.listing.state == EntryState::Up {
            self.count_flap(now, key);
        }
        // Only an explicit removal leaves a tombstone: an entry that one complete update lacks may be in the next.
        if let Some(stamp) = stamp.filter(|_| self.policy.shrink_guard.is_some()) {
            let stamp = stamp.max(entry.listing.stamp);
            self.tombstones.insert(key.clone(), Tombstone { stamp, removed_at: now });
        }
        let previous_address = Some(entry.listing.address);
        touched.push(TouchedEntry { key: key.clone(), previous_address });
    }
}
