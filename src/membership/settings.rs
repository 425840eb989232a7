//! The checked registry settings of the site file, independent of the registry's protocol.

use super::source_view::{HoldDown, ShrinkGuard, SourcePolicy};
use crate::Micros;
use std::collections::BTreeMap;

/// The address of a registry server and the prefix of its paths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryAddress {
    /// A host name or an IP address.
    pub host: String,
    /// The TCP port.
    pub port: u16,
    /// The path before `/apps`, without a slash at its end; may be empty.
    pub path_prefix: String,
}

/// Which part of the registry is polled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollScope {
    /// The whole registry: a complete poll, then deltas.
    All,
    /// The applications with these names; each poll asks for all instances of each.
    Applications(Vec<String>),
    /// The instances behind this virtual address; each poll asks for all of them.
    VirtualAddress(String),
}

/// The keys of an instance's metadata that hold the properties of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetadataNames {
    /// The key of the destination's number.
    pub destination: String,
    /// The key of the kind, whose value is a name of the platform's settings.
    pub kind: String,
    /// The key of the zone, whose value is a name of the platform's settings.
    pub zone: String,
    /// The key of the weight.
    pub weight: String,
}

/// The settings of this forwarder's own entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The application under which it is registered.
    pub application: String,
    /// Time between two renewals of its lease.
    pub renewal_interval: Micros,
    /// How long a lease lasts if it is not renewed.
    pub lease_duration: Micros,
    /// The metadata that the entry publishes.
    pub metadata: BTreeMap<String, String>,
}

/// The limits of the backoff after failed polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollBackoff {
    /// The pause after the first round of failures. It doubles with each further round and is shortened at random by up to
    /// half.
    pub first: Micros,
    /// The limit of the doubled pauses.
    pub max: Micros,
}

/// The checked `registry` section of the site file.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// The addresses of the registry, the preferred one first.
    pub addresses: Vec<RegistryAddress>,
    /// Which part of the registry is polled.
    pub scope: PollScope,
    /// Time from an answer to the next poll.
    pub poll_interval: Micros,
    /// The longest time for one request to the registry.
    pub timeout: Micros,
    /// The pauses after failed polls.
    pub backoff: PollBackoff,
    /// Time from a failure of the preferred address until that address is polled again.
    pub preferred_retry_after: Micros,
    /// The largest body that is read, in bytes after decompression.
    pub max_response_bytes: usize,
    /// The metadata keys of an endpoint's properties.
    pub metadata: MetadataNames,
    /// How long an entry that returns to service is held down.
    pub hold_down: HoldDown,
    /// When a complete answer is doubted because it lacks entries.
    pub shrink_guard: ShrinkGuard,
    /// How long a new process waits for an answer of the registry before it uses the persisted view.
    pub use_snapshot_after: Micros,
    /// This forwarder's own entry; `None` if it does not register.
    pub registration: Option<Registration>,
}

impl RegistrySettings {
    /// The policy by which updates from the registry are accepted.
    pub fn source_policy(&self) -> SourcePolicy {
        SourcePolicy {
            hold_down: Some(self.hold_down),
            shrink_guard: Some(self.shrink_guard),
            identifies_by_address: true,
        }
    }
}
