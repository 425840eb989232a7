//! The entries and updates that sources send, and the changes of the merged list that result from them.

use crate::{DestinationId, EndpointId, KindId, Lifecycle, Micros, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of an entry according to its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EntryState {
    /// The endpoint is in service.
    Up,
    /// The endpoint must get no new calls.
    #[serde(rename = "Leaving")]
    Draining,
    /// The source has removed the entry.
    #[serde(rename = "Gone")]
    Removed,
    /// The source does not know the state; the previous state of the entry stays.
    Unknown,
}

impl EntryState {
    /// The name of the state in the output of commands.
    pub fn name(self) -> &'static str {
        match self {
            EntryState::Up => "Up",
            EntryState::Draining => "Leaving",
            EntryState::Removed => "Gone",
            EntryState::Unknown => "Unknown",
        }
    }
}

/// Identifies an entry within its source.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// The application in the registry; empty for a source without groups.
    pub group: Arc<str>,
    /// The id within the group.
    pub id: Arc<str>,
}

/// An entry as its source lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Identifies the entry within its source.
    pub key: EntryKey,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The destination that the endpoint serves.
    pub destination: DestinationId,
    /// The failure domain of the endpoint.
    pub zone: ZoneId,
    /// The kind of the destination.
    pub kind: KindId,
    /// The capacity relative to other endpoints. An entry of the pushed list without a weight has 1.0.
    pub weight: f64,
    /// The state according to the source.
    pub state: EntryState,
    /// When the entry last changed, as a time or counter of its source; 0 if the source has none. Stamps of different
    /// sources are never compared.
    pub stamp: u64,
}

/// An update that a source has sent.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// All entries of the source; entries that are missing from it are removed.
    Complete {
        /// The version of the list, if the source numbers its versions.
        version: Option<u64>,
        /// All entries of the source.
        listings: Vec<Listing>,
    },
    /// Only the entries that have changed.
    Patch {
        /// The changed entries in their new state.
        listings: Vec<Listing>,
        /// The removed entries, with the stamps of their removal.
        removed: Vec<(EntryKey, u64)>,
    },
}

/// Index of a source in the list of sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourceId(pub usize);

/// A change of the merged list.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    /// The endpoint that has changed.
    pub endpoint: EndpointId,
    /// The source's entry for the endpoint.
    pub listing: Listing,
    /// The lifecycle of the endpoint from now on.
    pub lifecycle: Lifecycle,
    /// When the change was observed.
    pub observed_at: Micros,
    /// The source of the entry.
    pub source: SourceId,
    /// Why the endpoint has this lifecycle. It is logged, and the `registry` commands print it as `why`.
    pub reason: &'static str,
}
