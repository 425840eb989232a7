//! The registry as its answers have it: every instance, also those that are no partners, so that the hash of a
//! delta can be held against it; and what of it is news for the membership. It does no I/O.

use super::model::{hash_code, Act, Applications, Instance, Status};
use crate::membership::{Key, Listing, MetadataNames, SourceUpdate, State};
use crate::settings_json::{index_of, Names};
use crate::{DestinationId, KindId, ZoneId};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};

/// So many entries that were passed over are remembered, so that each is told of once.
const TOLD: usize = 10_000;

/// Everything that the registry has told of.
#[derive(Default)]
pub struct Held {
    statuses: HashMap<Key, Status>,
    passed_over: HashSet<Key>,
}

/// What an answer came to.
pub struct Taken {
    /// For the membership.
    pub news: SourceUpdate,
    /// Entries that cannot be used, with the reason; each is told of once.
    pub passed_over: Vec<(Key, String)>,
    /// What is held hashes to what the answer says.
    pub fits: bool,
}

fn key(i: &Instance) -> Key {
    Key { group: i.app.clone(), id: i.id.clone() }
}

fn state(i: &Instance) -> State {
    match (i.act, i.status) {
        (Act::Delete, _) => State::Removed,
        (_, Status::Up) => State::Up,
        (_, Status::Down | Status::Starting | Status::OutOfService) => State::Draining,
        (_, Status::Unknown) => State::Unknown,
    }
}

/// A partner's endpoint, by the names under which its figures stand in the metadata; nothing is guessed.
fn listing(i: &Instance, by: &MetadataNames, names: &Names) -> Result<Listing, String> {
    let told = |name: &str| i.metadata.get(name).ok_or_else(|| format!("its metadata has no `{name}`"));
    let destination = told(&by.destination)?;
    let destination = destination
        .trim()
        .parse()
        .map_err(|_| format!("`{}` is no number: `{destination}`", by.destination))?;
    let kind = index_of(&names.kinds, told(&by.kind)?.trim(), "kind")?;
    let zone = index_of(&names.zones, told(&by.zone)?.trim(), "zone")?;
    let weight = told(&by.weight)?;
    let sound = weight.trim().parse().ok().filter(|w: &f64| w.is_finite() && *w > 0.0);
    let weight = sound.ok_or_else(|| format!("`{}` is no rate: `{weight}`", by.weight))?;
    let ip: IpAddr = i.ip.trim().parse().map_err(|_| format!("`{}` is no address", i.ip))?;
    let port = i.port.ok_or("it has no port that is enabled")?;
    Ok(Listing {
        key: key(i),
        address: SocketAddr::new(ip, port),
        destination: DestinationId(destination),
        zone: ZoneId(zone),
        kind: KindId(kind),
        weight,
        state: state(i),
        stamp: i.stamp,
    })
}

impl Held {
    /// Takes in an answer, the whole or a delta.
    pub fn take(&mut self, answer: Applications, whole: bool, by: &MetadataNames, names: &Names) -> Taken {
        let mut passed_over = Vec::new();
        let (mut listings, mut removed) = (Vec::new(), Vec::new());
        if whole {
            self.statuses.clear();
        }
        for i in &answer.instances {
            let key = key(i);
            match i.act {
                Act::Delete if !whole => drop(self.statuses.remove(&key)),
                _ => drop(self.statuses.insert(key.clone(), i.status)),
            }
            match listing(i, by, names) {
                Ok(listing) => listings.push(listing),
                // Its name is enough to take it out, whatever else it lacks.
                Err(_) if i.act == Act::Delete => removed.push((key, i.stamp)),
                Err(reason) => {
                    removed.push((key.clone(), i.stamp));
                    if self.passed_over.len() >= TOLD {
                        self.passed_over.clear();
                    }
                    if self.passed_over.insert(key.clone()) {
                        passed_over.push((key, reason));
                    }
                }
            }
        }
        let fits = answer.hash.is_none_or(|h| h == hash_code(self.statuses.values().copied()));
        let version = answer.version;
        let news = if whole {
            SourceUpdate::Complete { version, listings }
        } else {
            SourceUpdate::Patch { listings, removed }
        };
        Taken { news, passed_over, fits }
    }

    /// How many entries could not be used, as far as they are remembered.
    pub fn passed_over(&self) -> usize {
        self.passed_over.len()
    }
}
