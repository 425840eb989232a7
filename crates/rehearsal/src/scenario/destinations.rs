//! The destinations of a scenario, their faults, and endpoints that are replaced.

use super::{Moment, SpannedName};
use crate::span::Span;
use cedarbridge_endpoint_model::Fault;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// The kinds of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DestinationKind {
    /// Accepts up to ten messages a call.
    CableOperator,
    /// Accepts one message a call.
    SmallPartner,
}

/// A destination, or several alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DestinationGroup {
    /// Its name; of several, the name with a number from 1 on.
    pub name: SpannedName,
    /// How many.
    #[serde(default = "super::single")]
    pub count: usize,
    /// Its kind.
    pub kind: DestinationKind,
    /// Its share of the traffic, against the others'.
    pub share: f64,
    /// The mean service time of a message.
    pub work: Span,
    /// Its spread: standard deviation over mean.
    #[serde(default = "spread")]
    pub spread: f64,
    /// Its limit over its traffic at full load; 0 for no limit.
    #[serde(default = "headroom")]
    pub headroom: f64,
    /// Its capacity over its limit.
    #[serde(default = "spare")]
    pub spare: f64,
    /// Endpoints.
    #[serde(default = "super::single")]
    pub endpoints: usize,
    /// Calls that may queue at an endpoint; by default 0.7 s of its capacity.
    pub queue: Option<usize>,
    /// The connection limit of an endpoint.
    #[serde(default = "connections")]
    pub connections: usize,
    /// The retry_after of a rejection.
    #[serde(rename = "tells-wait")]
    pub retry_after: Option<Span>,
    /// Rejected calls use up the limit too; by default they do at small partners.
    pub refused_count: Option<bool>,
    /// Share of calls that fail on a good day.
    #[serde(default)]
    pub errors: f64,
    /// Its share of capacity as it recovers, and when it is back at all of it.
    #[serde(default = "cold")]
    pub cold: (f64, Span),
}

fn spread() -> f64 {
    0.5
}

fn headroom() -> f64 {
    1.5
}

fn spare() -> f64 {
    1.4
}

fn connections() -> usize {
    64
}

fn cold() -> (f64, Span) {
    (0.28, Span(8_500_000))
}

/// The kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Its service time is longer by a factor.
    Slow,
    /// Accepts calls and answers none.
    Hang,
    /// Refuses connections, and resets those that are open.
    Refuse,
    /// Fails a share of its calls at once.
    Fail,
    /// Rejects every call as over capacity.
    Shut,
    /// Answers nothing, not even a new connection.
    Silent,
    /// Processes the call and resets the connection in place of an answer.
    Reset,
    /// Connections that are open get no answer; new ones work.
    HalfOpen,
    /// Its limit is reduced to a share.
    Lowered,
}

impl FaultKind {
    /// The destination model's fault; the size is a factor or a share, where the kind has one.
    pub fn fault(self, size: f64) -> Fault {
        match self {
            FaultKind::Slow => Fault::Slow(size),
            FaultKind::Hang => Fault::Hang,
            FaultKind::Refuse => Fault::RefuseConnections,
            FaultKind::Fail => Fault::FailCalls(size),
            FaultKind::Shut => Fault::RejectAll,
            FaultKind::Silent => Fault::Silent,
            FaultKind::Reset => Fault::ResetConnections,
            FaultKind::HalfOpen => Fault::HalfOpenConnections,
            FaultKind::Lowered => Fault::ReducedLimit(size),
        }
    }
}

/// One fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultSpec {
    /// Which.
    pub kind: Spanned<FaultKind>,
    /// How bad: a factor for `slow`, a share for `fail` and `lowered`.
    pub size: Option<f64>,
    /// Whose.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When it begins.
    pub at: Moment,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: Span,
}

impl FaultSpec {
    /// The destination model's fault.
    pub fn fault(&self) -> Fault {
        self.kind.value.fault(self.size.unwrap_or(1.0))
    }
}

/// An endpoint that is drained and replaced by another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Replacement {
    /// Whose: its first endpoint.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When it begins to drain.
    pub at: Moment,
    /// How long it drains before it is removed; the other is listed from the drain's begin on.
    pub drains: Span,
}
