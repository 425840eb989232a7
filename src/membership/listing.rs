//! What sources say of endpoints, and the changes of the merged list that follow.

use crate::{DestinationId, EndpointId, KindId, Lifecycle, Micros, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

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

/// What identifies an entry within its source: its group (an application of the registry; empty where there are no groups) and
/// its id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The group.
    pub group: String,
    /// The id.
    pub id: String,
}

/// An entry as its source lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// What identifies it.
    pub key: Key,
    /// Where it listens.
    pub address: SocketAddr,
    /// Which destination it serves.
    pub destination: DestinationId,
    /// Its failure domain.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// Its capacity in relation to others, as far as the source says.
    pub weight: f64,
    /// What its source says of it.
    pub state: State,
    /// When it last changed, by its source's own clock or count; never compared between entries of two sources.
    pub stamp: u64,
}

/// What a source has sent.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// All its entries; what is missing is removed.
    Complete {
        /// Its version, where the source counts them.
        version: Option<u64>,
        /// The entries.
        listings: Vec<Listing>,
    },
    /// Entries that changed.
    Patch {
        /// As they are now.
        listings: Vec<Listing>,
        /// Those that are removed, with their stamps.
        removed: Vec<(Key, u64)>,
    },
}

/// A source, by its position among the sources.
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
    /// When it was observed.
    pub observed_at: Micros,
    /// From which source.
    pub source: SourceId,
    /// Why it is what it is, for logs and operators.
    pub reason: &'static str,
}
