//! The destinations of a scenario, their faults, and endpoints that are replaced.

use super::{Moment, SpannedName};
use crate::span::Span;
use cedarbridge_endpoint_model::Fault;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// The kinds of partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DestinationKind {
    /// Takes up to ten messages a call.
    CableOperator,
    /// Takes one a call.
    SmallPartner,
}

/// A partner, or several alike.
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
    /// Its part of the traffic, against the others'.
    pub share: f64,
    /// The mean time of a message's work.
    pub work: Span,
    /// Its spread: standard deviation over mean.
    #[serde(default = "spread")]
    pub spread: f64,
    /// Its limit over what it gets at full load; 0 for a partner without a limit.
    #[serde(default = "headroom")]
    pub headroom: f64,
    /// What it can work off over its limit.
    #[serde(default = "spare")]
    pub spare: f64,
    /// Addresses that take calls.
    #[serde(default = "super::single")]
    pub endpoints: usize,
    /// Calls that may queue at an endpoint; by default as many as it works off in 0.7 s.
    pub queue: Option<usize>,
    /// Connections that an endpoint holds.
    #[serde(default = "connections")]
    pub connections: usize,
    /// What a refusal tells to wait.
    pub tells_wait: Option<Span>,
    /// Refused calls use up the limit too; by default they do at small partners.
    pub refused_count: Option<bool>,
    /// Share of calls that fail on a good day.
    #[serde(default)]
    pub errors: f64,
    /// Its share of strength as it comes back, and when it has all of it.
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

/// The kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Works so many times slower.
    Slow,
    /// Takes calls and answers none.
    Hang,
    /// Refuses connections, and breaks those it has.
    Refuse,
    /// Fails a share of its calls at once.
    Fail,
    /// Turns everything away as full.
    Shut,
    /// Says nothing at all, not even to a new connection.
    Silent,
    /// Does the work and breaks the connection in place of an answer.
    Reset,
    /// Leaves the connections it has silent; new ones are as ever.
    HalfOpen,
    /// Takes a share of its limit.
    Lowered,
}

impl FaultKind {
    /// What the partner model knows it as; the size is a factor or a share, where the kind has one.
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

/// One trouble.
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
    /// What the partner model knows it as.
    pub fn fault(&self) -> Fault {
        self.kind.value.fault(self.size.unwrap_or(1.0))
    }
}

/// An endpoint that drains, leaves, and another in its place.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Replacement {
    /// Whose: its first endpoint.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When it begins to drain.
    pub at: Moment,
    /// How long it drains before it is gone; the other is listed as it begins.
    pub drains: Span,
}
