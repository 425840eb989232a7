//! What our own file says of a registry, checked. It knows nothing of the protocol.

use super::{HoldDown, ShrinkGuard, SourcePolicy};
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

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollScope {
    /// Everything, then its changes.
    All,
    /// These applications, each as a whole.
    Applications(Vec<String>),
    /// What serves this virtual address, as a whole.
    VirtualAddress(String),
}

/// In which of an instance's metadata the figures of a partner stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetadataNames {
    /// The partner's number.
    pub destination: String,
    /// Its kind, by its name in the platform's settings.
    pub kind: String,
    /// Its zone, by its name there.
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
    /// What else it tells of itself.
    pub metadata: BTreeMap<String, String>,
}

/// The section `registry`.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// Where it listens, the preferred one first.
    pub addresses: Vec<RegistryAddress>,
    /// What is asked for.
    pub scope: PollScope,
    /// From one answer to the next question.
    pub poll_interval: Micros,
    /// How long one question may take.
    pub timeout: Micros,
    /// After a failure: the first pause and the longest, drawn up to half shorter.
    pub back_off: (Micros, Micros),
    /// So long after it failed, the preferred address is tried again.
    pub preferred_retry_after: Micros,
    /// The largest answer that is read, in bytes after unpacking.
    pub max_response_bytes: usize,
    /// In which metadata a partner's figures stand.
    pub metadata: MetadataNames,
    /// What comes back waits.
    pub hold_down: HoldDown,
    /// Full answers that lack much are doubted.
    pub shrink_guard: ShrinkGuard,
    /// With no word from the registry for so long after a start, the last view that was kept is served.
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
