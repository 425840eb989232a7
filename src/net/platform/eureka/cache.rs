//! Caches the status of every instance in the registry and converts answers to updates of the endpoint list. The cache
//! includes instances that are not endpoints, because the hash of a delta covers them as well. This module does no I/O.

use super::model::{hash_code, Action, Applications, Instance, Status};
use crate::membership::{EntryKey, EntryState, Listing, MetadataNames, SourceUpdate};
use crate::settings_json::{index_of, Names, UnknownName};
use crate::{DestinationId, KindId, ZoneId};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};

/// How many keys of unusable entries are remembered, so that each is reported only once. The set is cleared when it is full.
const MAX_REPORTED: usize = 10_000;

/// The status of each instance in the registry, and the unusable entries that have been reported.
#[derive(Default)]
pub struct RegistryCache {
    statuses: HashMap<EntryKey, Status>,
    reported_unusable: HashSet<EntryKey>,
}

/// The result of applying an answer to the cache.
pub struct AppliedAnswer {
    /// The update for the endpoint list.
    pub update: SourceUpdate,
    /// The entries that cannot be used and were not reported before.
    pub unusable_entries: Vec<UnusableEntry>,
    /// Whether the hash of the cached instances equals the hash in the answer; `true` if the answer has none.
    pub hash_matches: bool,
}

/// An entry that cannot be used as an endpoint.
#[derive(Debug)]
pub struct UnusableEntry {
    /// The application and id of the entry.
    pub key: EntryKey,
    /// Why the entry cannot be used.
    pub reason: UnusableReason,
}

/// Why an entry cannot be used as an endpoint. The commands print these texts.
#[derive(Debug, thiserror::Error)]
pub enum UnusableReason {
    /// A required key is missing from its metadata.
    #[error("its metadata has no `{0}`")]
    MissingMetadata(String),
    /// The destination in its metadata is not a number.
    #[error("`{name}` is no number: `{value}`")]
    MalformedDestination {
        /// The key in the metadata.
        name: String,
        /// The value in the metadata.
        value: String,
    },
    /// Its kind or zone is not configured.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The weight in its metadata is not a finite number above 0.
    #[error("`{name}` is no rate: `{value}`")]
    MalformedWeight {
        /// The key in the metadata.
        name: String,
        /// The value in the metadata.
        value: String,
    },
    /// Its IP address cannot be parsed.
    #[error("`{0}` is no address")]
    MalformedAddress(String),
    /// It has no enabled port.
    #[error("it has no port that is enabled")]
    NoPort,
}

impl RegistryCache {
    /// Applies an answer, which is either the complete registry or a delta.
    pub fn apply(
        &mut self,
        answer: Applications,
        complete: bool,
        metadata: &MetadataNames,
        names: &Names,
    ) -> AppliedAnswer {
        if complete {
            self.statuses.clear();
        }
        let (mut listings, mut removed, mut unusable_entries) = (Vec::new(), Vec::new(), Vec::new());
        for instance in &answer.instances {
            let key = entry_key(instance);
            self.set_status(&key, instance, complete);
            match to_listing(instance, metadata, names) {
                Ok(listing) => listings.push(listing),
                Err(reason) => {
                    removed.push((key.clone(), instance.modified_at_ms));
                    // A deletion needs nothing but the key, so an otherwise unusable entry is not reported.
                    if instance.action != Action::Delete && self.is_first_report(&key) {
                        unusable_entries.push(UnusableEntry { key, reason });
                    }
                }
            }
        }
        let cached_hash = || hash_code(self.statuses.values().copied());
        let hash_matches = answer.hash.is_none_or(|hash| hash == cached_hash());
        let version = answer.version;
        let update = match complete {
            true => SourceUpdate::Complete { version, listings },
            false => SourceUpdate::Patch { listings, removed },
        };
        AppliedAnswer { update, unusable_entries, hash_matches }
    }

    /// How many unusable entries have been reported since the set was last cleared.
    pub fn unusable_entry_count(&self) -> usize {
        self.reported_unusable.len()
    }

    /// Updates the cached status of an instance. In a complete answer an instance is kept whatever its action.
    fn set_status(&mut self, key: &EntryKey, instance: &Instance, complete: bool) {
        if instance.action == Action::Delete && !complete {
            self.statuses.remove(key);
        } else {
            self.statuses.insert(key.clone(), instance.status);
        }
    }

    fn is_first_report(&mut self, key: &EntryKey) -> bool {
        if self.reported_unusable.len() >= MAX_REPORTED {
            self.reported_unusable.clear();
        }
        self.reported_unusable.insert(key.clone())
    }
}

fn entry_key(instance: &Instance) -> EntryKey {
    EntryKey { group: instance.app.as_str().into(), id: instance.id.as_str().into() }
}

fn entry_state(instance: &Instance) -> EntryState {
    match (instance.action, instance.status) {
        (Action::Delete, _) => EntryState::Removed,
        (_, Status::Up) => EntryState::Up,
        (_, Status::Down | Status::Starting | Status::OutOfService) => EntryState::Draining,
        (_, Status::Unknown) => EntryState::Unknown,
    }
}

/// Converts an instance to an entry of the list, by the configured metadata keys. There are no defaults for missing values.
fn to_listing(
    instance: &Instance,
    metadata: &MetadataNames,
    names: &Names,
) -> Result<Listing, UnusableReason> {
    let value = |name: &str| {
        let value = instance.metadata.get(name).map(|value| value.trim());
        value.ok_or_else(|| UnusableReason::MissingMetadata(name.to_owned()))
    };
    let destination = value(&metadata.destination)?;
    let destination = destination.parse().map_err(|_| UnusableReason::MalformedDestination {
        name: metadata.destination.clone(),
        value: instance.metadata[&metadata.destination].clone(),
    })?;
    let kind = index_of(&names.kinds, value(&metadata.kind)?, "kind")?;
    let zone = index_of(&names.zones, value(&metadata.zone)?, "zone")?;
    let weight = value(&metadata.weight)?.parse().ok();
    let weight = weight.filter(|weight: &f64| weight.is_finite() && *weight > 0.0);
    let weight = weight.ok_or_else(|| UnusableReason::MalformedWeight {
        name: metadata.weight.clone(),
        value: instance.metadata[&metadata.weight].clone(),
    })?;
    let ip: IpAddr =
        instance.ip.trim().parse().map_err(|_| UnusableReason::MalformedAddress(instance.ip.clone()))?;
    let port = instance.port.ok_or(UnusableReason::NoPort)?;
    Ok(Listing {
        key: entry_key(instance),
        address: SocketAddr::new(ip, port),
        destination: DestinationId(destination),
        zone: ZoneId(zone),
        kind: KindId(kind),
        weight,
        state: entry_state(instance),
        stamp: instance.modified_at_ms,
    })
}
