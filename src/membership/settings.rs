//! What the site file says of a registry, checked. It knows nothing of the protocol.

use super::source_view::{HoldDown, ShrinkGuard, SourcePolicy};
use crate::Micros;
use std::collections::BTreeMap;

/// Where a registry listens: host, port and the prefix of its paths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryAddress {
    /// A name or an address.
    pub host: String,
    /// Its port.
    pub port: u16,
    /// What comes before `/apps`, without a slash at its end.
    pub path_prefix: String,
}

/// What is polled for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollScope {
    /// The complete list, then its changes.
    All,
    /// These applications, each completely.
    Applications(Vec<String>),
    /// What serves this virtual address, completely.
    VirtualAddress(String),
}

/// The keys of an instance's metadata under which the figures of an endpoint are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetadataNames {
    /// The number of its destination.
    pub destination: String,
    /// The name of its kind in the platform's settings.
    pub kind: String,
    /// The name of its zone there.
    pub zone: String,
    /// Its weight.
    pub weight: String,
}

/// This forwarder as an entry of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its application.
    pub application: String,
    /// From one renewal of its lease to the next.
    pub renewal_interval: Micros,
    /// How long a lease lasts without one.
    pub lease_duration: Micros,
    /// What else it publishes of itself.
    pub metadata: BTreeMap<String, String>,
}

/// The first and the longest pause after failed polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollBackoff {
    /// After the first round of failures; doubled with each further one, and drawn up to half shorter ...
    pub first: Micros,
    /// ... up to this.
    pub max: Micros,
}

/// The section `registry`.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// Where it listens, the preferred one first.
    pub addresses: Vec<RegistryAddress>,
    /// What is polled for.
    pub scope: PollScope,
    /// From one answer to the next poll.
    pub poll_interval: Micros,
    /// How long one poll may take.
    pub timeout: Micros,
    /// The pauses after failures.
    pub backoff: PollBackoff,
    /// So long after it failed, the preferred address is tried again.
    pub preferred_retry_after: Micros,
    /// The largest answer that is read, in bytes after decompression.
    pub max_response_bytes: usize,
    /// Under which metadata the figures of an endpoint are.
    pub metadata: MetadataNames,
    /// How long what comes back into service waits.
    pub hold_down: HoldDown,
    /// When complete answers that lack much are doubted.
    pub shrink_guard: ShrinkGuard,
    /// With no answer from the registry for so long after a start, the last persisted view is used.
    pub use_snapshot_after: Micros,
    /// This forwarder's own entry there.
    pub registration: Option<Registration>,
}

impl RegistrySettings {
    /// How far the registry is believed.
    pub fn source_policy(&self) -> SourcePolicy {
        SourcePolicy {
            hold_down: Some(self.hold_down),
            shrink_guard: Some(self.shrink_guard),
            by_address: true,
        }
    }
}
