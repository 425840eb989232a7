//! The destinations of a scenario, their faults, and the replacement of endpoints.

use super::{RelativeTime, SpannedName};
use crate::config_duration::ConfigDuration;
use cedarbridge_endpoint_model::Fault;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// The kinds of destination that a scenario can simulate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DestinationKind {
    /// Accepts up to ten messages a call.
    CableOperator,
    /// Accepts one message a call.
    SmallPartner,
}

/// One destination, or several with the same properties.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DestinationGroup {
    /// The destination's name; with a `count` above 1, each name gets a number from 1 as its suffix.
    pub name: SpannedName,
    /// The number of destinations in the group.
    #[serde(default = "super::single")]
    pub count: usize,
    /// The destinations' kind.
    pub kind: DestinationKind,
    /// Each destination's share of the traffic, relative to the shares of the others.
    pub share: f64,
    /// The mean service time of a message.
    #[serde(rename = "work")]
    pub service_time: ConfigDuration,
    /// The coefficient of variation of the service time: standard deviation over mean.
    #[serde(default = "default_service_time_variation", rename = "spread")]
    pub service_time_variation: f64,
    /// The rate limit as a multiple of the destination's traffic at full load; 0 for no limit.
    #[serde(default = "default_headroom")]
    pub headroom: f64,
    /// The capacity as a multiple of the rate limit.
    #[serde(default = "default_capacity_factor", rename = "spare")]
    pub capacity_factor: f64,
    /// The number of endpoints of each destination.
    #[serde(default = "super::single")]
    pub endpoints: usize,
    /// Calls that may queue at an endpoint; by default 0.7 s of its capacity.
    #[serde(rename = "queue")]
    pub queue_length: Option<usize>,
    /// The connection limit of an endpoint, over all forwarders.
    #[serde(default = "default_connections", rename = "connections")]
    pub max_connections: usize,
    /// The `retry_after` that comes with a rejection; `None` if rejections carry none.
    #[serde(rename = "tells-wait")]
    pub retry_after: Option<ConfigDuration>,
    /// Whether rejected calls count against the rate limit; by default only at small partners.
    pub refused_count: Option<bool>,
    /// The share of calls that fail while the destination has no fault, from 0 to 1.
    #[serde(default, rename = "errors")]
    pub error_rate: f64,
    /// The share of its capacity that a destination has when it recovers, and the time until it has all of it.
    #[serde(default = "default_slow_start", rename = "cold")]
    pub slow_start: (f64, ConfigDuration),
}

fn default_service_time_variation() -> f64 {
    0.5
}

fn default_headroom() -> f64 {
    1.5
}

fn default_capacity_factor() -> f64 {
    1.4
}

fn default_connections() -> usize {
    64
}

fn default_slow_start() -> (f64, ConfigDuration) {
    (0.28, ConfigDuration(8_500_000))
}

/// The kinds of fault that a scenario can give a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Multiplies the service time by a factor.
    Slow,
    /// Accepts calls and answers none.
    Hang,
    /// Refuses new connections, and resets open ones.
    #[serde(rename = "refuse")]
    RefuseConnections,
    /// Fails a share of the calls at once.
    #[serde(rename = "fail")]
    FailCalls,
    /// Rejects every call as over capacity.
    #[serde(rename = "shut")]
    RejectAll,
    /// Answers nothing, not even a new connection.
    Silent,
    /// Processes the call and resets the connection in place of an answer.
    #[serde(rename = "reset")]
    ResetConnections,
    /// Leaves calls on the connections that were open without an answer; new connections work.
    #[serde(rename = "half-open")]
    HalfOpenConnections,
    /// Reduces the rate limit to a share of it.
    Lowered,
}

impl FaultKind {
    /// The fault of the destination model. The size is a factor or a share; kinds that have neither ignore it.
    pub fn fault(self, size: f64) -> Fault {
        match self {
            FaultKind::Slow => Fault::Slow(size),
            FaultKind::Hang => Fault::Hang,
            FaultKind::RefuseConnections => Fault::RefuseConnections,
            FaultKind::FailCalls => Fault::FailCalls(size),
            FaultKind::RejectAll => Fault::RejectAll,
            FaultKind::Silent => Fault::Silent,
            FaultKind::ResetConnections => Fault::ResetConnections,
            FaultKind::HalfOpenConnections => Fault::HalfOpenConnections,
            FaultKind::Lowered => Fault::ReducedLimit(size),
        }
    }
}

/// A fault of a destination, with its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultSpec {
    /// The kind of fault.
    pub kind: Spanned<FaultKind>,
    /// The factor of `slow`, or the share of `fail` and `lowered`; `None` for the other kinds.
    pub size: Option<f64>,
    /// The destination that has the fault.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When the fault begins.
    pub at: RelativeTime,
    /// How long the fault lasts.
    #[serde(rename = "for")]
    pub duration: ConfigDuration,
}

impl FaultSpec {
    /// The fault of the destination model.
    pub fn fault(&self) -> Fault {
        self.kind.value.fault(self.size.unwrap_or(1.0))
    }
}

/// The replacement of a destination's first endpoint: a new endpoint is listed and the old one is drained.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Replacement {
    /// The destination whose first endpoint is replaced.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When the new endpoint is listed and the old one begins to drain.
    pub at: RelativeTime,
    /// How long the old endpoint drains before it is removed from the list.
    #[serde(rename = "drains")]
    pub drain_time: ConfigDuration,
}
