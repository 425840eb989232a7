//! One source's view: what it has told, what of that is believed, and since when. It knows nothing of the others.

use super::{Key, Listing, SourcePolicy, SourceUpdate, State};
use crate::{Lifecycle, Micros};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// How long what comes back waits before it is used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldDown {
    /// After the first time that it left service; doubled with each further one ...
    pub first: Micros,
    /// ... up to this.
    pub max: Micros,
    /// One time is forgotten for each such span without another.
    pub forget_after: Micros,
}

/// What a full answer may lack before it is doubted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkGuard {
    /// More than this share of what is held.
    pub max_missing_share: f64,
    /// What is missing in a doubted answer is gone if it is missing still, in an answer so long after.
    pub confirm_after: Micros,
}

/// What a source's answers have come to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceStats {
    /// Entries that were older than what was held.
    pub stale_entries: u64,
    /// Times that something left service.
    pub flaps: u64,
    /// Times that something came back and was held down.
    pub held_down: u64,
    /// Full answers whose gaps were not believed at once.
    pub doubted_updates: u64,
    /// When it last told something, if it ever did.
    pub last_update_at: Option<Micros>,
}

/// What holds for an entry now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effective {
    /// In service or leaving; what is gone has none.
    pub lifecycle: Lifecycle,
    /// When that was learnt.
    pub learnt: Micros,
    /// Why it is so.
    pub why: &'static str,
}

impl Effective {
    /// The severer of two.
    pub fn severest(self, other: Effective) -> Effective {
        match (self.lifecycle, other.lifecycle) {
            (Lifecycle::Listed, Lifecycle::Draining) => other,
            _ => self,
        }
    }
}

struct Held {
    listing: Listing,
    learnt: Micros,
    /// It is up, but not used before this.
    until: Option<Micros>,
}

/// What is remembered of an entry that left service.
struct Flaps {
    count: u32,
    at: Micros,
}

impl Flaps {
    fn now(&self, now: Micros, h: &HoldDown) -> u32 {
        let forgotten = now.saturating_sub(self.at) / h.forget_after.max(1);
        self.count.saturating_sub(u32::try_from(forgotten).unwrap_or(u32::MAX))
    }
}

/// What a source has told, by key.
pub struct View {
    pub policy: SourcePolicy,
    pub counts: SourceStats,
    entries: HashMap<Key, Held>,
    flaps: HashMap<Key, Flaps>,
    /// Entries that are gone, with their stamps: an older answer does not bring them back.
    tombs: HashMap<Key, (u64, Micros)>,
    /// Since when an entry has been missing in answers that are in doubt.
    missing: HashMap<Key, Micros>,
    version: Option<u64>,
    /// Since when versions have gone back.
    back_since: Option<Micros>,
    newest: u64,
    timers: BTreeSet<(Micros, Key)>,
}

/// An entry that news touched, and its address before.
type Touched = Vec<(Key, Option<SocketAddr>)>;

impl View {
    pub fn new(policy: SourcePolicy) -> Self {
        let (counts, entries, flaps, tombs, missing, version) = Default::default();
        let (back_since, timers) = Default::default();
        View { policy, counts, entries, flaps, tombs, missing, version, back_since, newest: 0, timers }
    }

    pub fn get(&self, key: &Key) -> Option<&Listing> {
        self.entries.get(key).map(|h| &h.listing)
    }

    pub fn listings(&self) -> impl Iterator<Item = &Listing> {
        self.entries.values().map(|h| &h.listing)
    }

    pub fn in_doubt(&self) -> bool {
        !self.missing.is_empty() || self.back_since.is_some()
    }

    /// What holds for an entry, if it is there.
    pub fn effective(&self, key: &Key, now: Micros) -> Option<Effective> {
        let held = self.entries.get(key)?;
        let as_is = |lifecycle, why| Effective { lifecycle, learnt: held.learnt, why };
        Some(match (held.listing.state, held.until) {
            (State::Up, Some(until)) if now < until => as_is(Lifecycle::Draining, "held down"),
            (State::Up, Some(until)) => {
                Effective { learnt: until, ..as_is(Lifecycle::Listed, "held down before") }
            }
            (State::Up, None) => as_is(Lifecycle::Listed, "up"),
            _ => as_is(Lifecycle::Draining, "not in service"),
        })
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|t| t.0)
    }

    /// Entries whose waiting is over.
    pub fn due(&mut self, now: Micros) -> Touched {
        let mut touched = Vec::new();
        while self.timers.first().is_some_and(|t| t.0 <= now) {
            let (_, key) = self.timers.pop_first().expect("just seen");
            let address = self.entries.get(&key).map(|h| h.listing.address);
            touched.push((key, address));
        }
        touched
    }

    pub fn restore(&mut self, now: Micros, listings: Vec<Listing>) -> Touched {
        // It is no answer: nothing is missing in it, and whatever comes goes before it.
        let all = listings.into_iter().map(|l| Listing { stamp: 0, ..l });
        let mut touched = Vec::new();
        all.for_each(|l| self.apply(now, l, &mut touched));
        touched
    }

    pub fn take(&mut self, now: Micros, news: SourceUpdate) -> Touched {
        self.counts.last_update_at = Some(now);
        self.forget(now);
        let mut touched = Vec::new();
        match news {
            SourceUpdate::Patch { listings, removed } => {
                listings.into_iter().for_each(|l| self.apply(now, l, &mut touched));
                for (key, stamp) in removed {
                    match self.entries.get(&key).is_some_and(|h| stamp > 0 && stamp < h.listing.stamp) {
                        true => self.counts.stale_entries += 1,
                        false => self.remove(now, &key, Some(stamp), &mut touched),
                    }
                }
            }
            SourceUpdate::Complete { version, listings } => {
                self.take_whole(now, version, listings, &mut touched)
            }
        }
        touched
    }

    fn confirm(&self) -> Micros {
        self.policy.shrink_guard.map_or(0, |s| s.confirm_after)
    }

    /// What is remembered has an end: tombstones and flaps that no longer bind are let go.
    fn forget(&mut self, now: Micros) {
        let span = self.confirm();
        self.tombs.retain(|_, t| now < t.1 + span);
        let hold = self.policy.hold_down;
        self.flaps.retain(|_, f| hold.is_some_and(|h| f.now(now, &h) > 0));
    }

    fn take_whole(
        &mut self,
        now: Micros,
        version: Option<u64>,
        listings: Vec<Listing>,
        touched: &mut Touched,
    ) {
        // A version that goes back comes from a replica that lags; one that stays back, from a registry that
        // began anew.
        let back = version.zip(self.version).is_some_and(|(v, held)| v < held);
        if back {
            let since = *self.back_since.get_or_insert(now);
            if now < since + self.confirm() {
                self.counts.stale_entries += 1;
                self.counts.doubted_updates += 1;
                return;
            }
        }
        self.back_since = None;
        self.version = version.or(self.version);
        let newest = listings.iter().map(|l| l.stamp).max().unwrap_or(0);
        let named: HashSet<Key> = listings.iter().map(|l| l.key.clone()).collect();
        let mut lacks: Vec<Key> = self.entries.keys().filter(|k| !named.contains(*k)).cloned().collect();
        lacks.sort();
        let held = self.entries.len();
        let doubted = self.policy.shrink_guard.is_some_and(|s| {
            let much = lacks.len() as f64 > s.max_missing_share * held as f64;
            !lacks.is_empty() && (much || newest < self.newest)
        });
        self.counts.doubted_updates += u64::from(doubted);
        listings.into_iter().for_each(|l| self.apply(now, l, touched));
        self.missing.retain(|k, _| !named.contains(k));
        for key in lacks {
            let since = *self.missing.entry(key.clone()).or_insert(now);
            if !doubted || now >= since + self.confirm() {
                self.remove(now, &key, None, touched);
            }
        }
        if !doubted {
            self.missing.clear();
        }
    }

    /// One entry, named by its source.
    fn apply(&mut self, now: Micros, listing: Listing, touched: &mut Touched) {
        if listing.state == State::Unknown {
            return;
        }
        let key = listing.key.clone();
        let known = self.entries.get(&key);
        if known.is_none() && listing.state == State::Removed {
            return;
        }
        // A delta says the same again for minutes. Who goes by id is passed on as it is told.
        if self.policy.by_address && known.is_some_and(|h| h.listing == listing) {
            self.missing.remove(&key);
            return;
        }
        let held = known.map(|h| h.listing.stamp);
        let buried = self.tombs.get(&key).map(|t| t.0);
        // A stamp of nothing tells nothing; what was buried comes back only with a newer one.
        let stale = listing.stamp > 0
            && (held.is_some_and(|s| listing.stamp < s) || buried.is_some_and(|s| listing.stamp <= s));
        if stale {
            self.counts.stale_entries += 1;
            return;
        }
        if listing.state == State::Removed {
            return self.remove(now, &key, Some(listing.stamp), touched);
        }
        self.missing.remove(&key);
        self.newest = self.newest.max(listing.stamp);
        let before = self.entries.get(&key);
        let (was, address) = (before.map(|h| h.listing.state), before.map(|h| h.listing.address));
        let (learnt, until) = before.map_or((now, None), |h| (h.learnt, h.until));
        let moved = address.is_some_and(|a| a != listing.address);
        let until = match (was, listing.state) {
            // Another process: it has a past only under its name.
            (Some(State::Up), State::Up) if !moved => until,
            (_, State::Up) => self.hold(now, &key),
            (Some(State::Up), _) => {
                self.flapped(now, &key);
                None
            }
            _ => None,
        };
        let changed = was != Some(listing.state) || moved;
        let learnt = if changed { now } else { learnt };
        self.tombs.remove(&key);
        self.entries.insert(key.clone(), Held { listing, learnt, until });
        touched.push((key, address));
    }

    /// Something left service.
    fn flapped(&mut self, now: Micros, key: &Key) {
        let Some(h) = self.policy.hold_down else { return };
        self.counts.flaps += 1;
        let known = self.flaps.get(key).map_or(0, |f| f.now(now, &h));
        self.flaps.insert(key.clone(), Flaps { count: known + 1, at: now });
    }

    /// Until when something that has come up is not used, if it left service lately.
    fn hold(&mut self, now: Micros, key: &Key) -> Option<Micros> {
        let h = self.policy.hold_down?;
        let count = self.flaps.get(key).map(|f| f.now(now, &h)).filter(|c| *c > 0)?;
        let doubled = 1u64.checked_shl(count - 1).unwrap_or(u64::MAX);
        let until = now + h.first.saturating_mul(doubled).min(h.max);
        self.counts.held_down += 1;
        self.timers.insert((until, key.clone()));
        Some(until)
    }

    fn remove(&mut self, now: Micros, key: &Key, stamp: Option<u64>, touched: &mut Touched) {
        let Some(held) = self.entries.remove(key) else { return };
        self.missing.remove(key);
        if held.listing.state == State::Up {
            self.flapped(now, key);
        }
        // One that an answer lacked may be there at the next: only a removal by name is remembered.
        if let Some(stamp) = stamp.filter(|_| self.policy.shrink_guard.is_some()) {
            self.tombs.insert(key.clone(), (stamp.max(held.listing.stamp), now));
        }
        touched.push((key.clone(), Some(held.listing.address)));
    }
}
