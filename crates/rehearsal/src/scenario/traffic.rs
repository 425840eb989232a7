//! The traffic of a scenario: clients, channels, phases and clumps.

use super::SpannedName;
use crate::span::Span;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// The share of them that retry after a rejection.
    #[serde(rename = "again")]
    pub retry_share: f64,
    /// How long they wait before, at least.
    pub after: (Span, Span),
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retry_share: 0.75, after: (Span(530_000), Span(1_500_000)) }
    }
}

/// A channel.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Channel {
    /// Its name.
    pub name: SpannedName,
    /// Its agreed share of full load.
    pub share: f64,
    /// What it sends of its share.
    #[serde(default = "super::full_share")]
    pub uses: f64,
}

/// A phase of the day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Phase {
    /// Its name.
    pub name: SpannedName,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: Span,
    /// Its traffic, as a share of full load.
    pub load: Spanned<f64>,
    /// The share of it that arrives in clumps, beside the named ones.
    #[serde(default)]
    pub clumps: Option<Spanned<f64>>,
}

/// When something happens: from the day's begin, a phase's or a clump's.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Moment {
    /// A phase's name.
    pub phase: Option<SpannedName>,
    /// A clump's name: while it is in flight.
    pub clump: Option<SpannedName>,
    /// So long after its begin.
    pub after: Option<Span>,
}

/// Messages for one destination that arrive at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Clump {
    /// Its name.
    pub name: SpannedName,
    /// For which destination.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When it begins.
    pub at: Moment,
    /// How many.
    pub messages: Spanned<usize>,
    /// Within which time.
    pub within: Span,
}
