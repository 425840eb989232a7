//! The registry as its answers have it: every instance, also those that are no endpoints of ours, so that the hash of a
//! delta can be checked; and what of an answer is an update of the endpoint list. It does no I/O.

use super::model::{hash_code, Action, Applications, Instance, Status};
use crate::membership::{Key, Listing, MetadataNames, SourceUpdate, State};
use crate::settings_json::{index_of, Names, UnknownName};
use crate::{DestinationId, KindId, ZoneId};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};

/// At most so many unusable entries are remembered, so that each is reported once.
const MAX_REPORTED: usize = 10_000;

/// Everything that the registry has sent.
#[derive(Default)]
pub struct RegistryCache {
    statuses: HashMap<Key, Status>,
    reported_unusable: HashSet<Key>,
}

/// What an answer has changed.
pub struct AppliedAnswer {
    /// The update of the endpoint list.
    pub update: SourceUpdate,
    /// Entries that cannot be used; each is reported once.
    pub unusable_entries: Vec<UnusableEntry>,
    /// The cached registry hashes to what the answer says.
    pub hash_matches: bool,
}

/// An entry that cannot be used.
#[derive(Debug)]
pub struct UnusableEntry {
    /// Which.
    pub key: Key,
    /// Why.
    pub reason: UnusableReason,
}

/// Why an entry cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum UnusableReason {
    /// Its metadata lacks a name.
    #[error("its metadata has no `{0}`")]
    MissingMetadata(String),
    /// Its destination is no number.
    #[error("`{name}` is no number: `{value}`")]
    MalformedDestination {
        /// The name in the metadata.
        name: String,
        /// Its value.
        value: String,
    },
    /// Its kind or zone is not configured.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// Its weight is no rate above 0.
    #[error("`{name}` is no rate: `{value}`")]
    MalformedWeight {
        /// The name in the metadata.
        name: String,
        /// Its value.
        value: String,
    },
    /// Its IP address cannot be read.
    #[error("`{0}` is no address")]
    MalformedAddress(String),
    /// It has no port, or none that is enabled.
    #[error("it has no port that is enabled")]
    NoPort,
}

impl RegistryCache {
    /// Applies an answer, which is the complete registry or a delta.
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
            let key = key(instance);
            self.set_status(&key, instance, complete);
            match listing(instance, metadata, names) {
                Ok(listing) => listings.push(listing),
                Err(reason) => {
                    removed.push((key.clone(), instance.modified_at_ms));
                    // Of one that is deleted the name is enough, whatever else it lacks.
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

    /// How many unusable entries are remembered.
    pub fn unusable_entry_count(&self) -> usize {
        self.reported_unusable.len()
    }

    fn set_status(&mut self, key: &Key, instance: &Instance, complete: bool) {
        if instance.action == Action::Delete && !complete {
            self.statuses.remove(key);
        } else {
            self.statuses.insert(key.clone(), instance.status);
        }
    }

    fn is_first_report(&mut self, key: &Key) -> bool {
        if self.reported_unusable.len() >= MAX_REPORTED {
            self.reported_unusable.clear();
        }
        self.reported_unusable.insert(key.clone())
    }
}

fn key(instance: &Instance) -> Key {
    Key { group: instance.app.clone(), id: instance.id.clone() }
}

fn state(instance: &Instance) -> State {
    match (instance.action, instance.status) {
        (Action::Delete, _) => State::Removed,
        (_, Status::Up) => State::Up,
        (_, Status::Down | Status::Starting | Status::OutOfService) => State::Draining,
        (_, Status::Unknown) => State::Unknown,
    }
}

/// Reads an endpoint, by the names under which its figures stand in the metadata; nothing is guessed.
fn listing(instance: &Instance, metadata: &MetadataNames, names: &Names) -> Result<Listing, UnusableReason> {
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
        key: key(instance),
        address: SocketAddr::new(ip, port),
        destination: DestinationId(destination),
        zone: ZoneId(zone),
        kind: KindId(kind),
        weight,
        state: state(instance),
        stamp: instance.modified_at_ms,
    })
}
