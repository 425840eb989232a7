//! The forwarders of a scenario: how they are set up, when they are stopped, and fleets of several sizes.

use super::Moment;
use crate::span::Span;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::path::PathBuf;

/// The forwarders, all alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Forwarders {
    /// How many.
    pub count: usize,
    /// Calls in flight at once for each; by default twice what full load needs.
    pub slots: Option<usize>,
    /// Open messages at once for each; by default nine seconds of full load.
    pub held: Option<usize>,
    /// A site file to run with, from the scenario's folder.
    pub site: Option<PathBuf>,
}

impl Default for Forwarders {
    fn default() -> Self {
        Forwarders { count: 2, slots: None, held: None, site: None }
    }
}

/// How a forwarder is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Signal {
    /// Gracefully, by SIGTERM.
    Term,
    /// By SIGKILL.
    Kill,
    /// Not at all: it reloads its configuration (SIGHUP).
    Hup,
    /// Not at all: it is paused (SIGSTOP) for the time of `back`, and resumes (SIGCONT).
    Stall,
    /// A successor takes over while it serves, and then it shuts down gracefully.
    Upgrade,
}

/// A forwarder that is stopped or reloaded.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Stop {
    /// Which, from 1.
    pub forwarder: Spanned<usize>,
    /// How.
    pub signal: Signal,
    /// When.
    pub at: Moment,
    /// It is restarted so long after its end.
    #[serde(default = "back")]
    pub back: Span,
    /// So often in all.
    #[serde(default = "once")]
    pub times: usize,
    /// From one time to the next.
    #[serde(default = "every")]
    pub every: Span,
}

fn once() -> usize {
    1
}

fn every() -> Span {
    Span(10_000_000)
}

fn back() -> Span {
    Span(600_000)
}

/// Fleets of several sizes that share the same day, in virtual time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    /// How many forwarders there are, in one play after another.
    pub counts: Vec<Spanned<usize>>,
    /// Days for each, from the scenario's seed on.
    #[serde(default = "super::single")]
    pub seeds: usize,
    /// How unevenly messages are spread over forwarders: the exponent of Zipf's law, 0 for evenly.
    #[serde(default)]
    pub uneven: f64,
    /// The clocks of any two differ by this at most.
    #[serde(default = "none")]
    pub clocks: Span,
    /// The forwarder count in their settings, over the true one.
    #[serde(default = "super::full_share", rename = "told")]
    pub forwarder_count_factor: f64,
    /// The share of them without an index.
    #[serde(default)]
    pub unnumbered: f64,
    /// The share of them with the index of the one before.
    #[serde(default)]
    pub doubled: f64,
    /// Forwarders that are killed together.
    #[serde(default)]
    pub dead: Option<Dead>,
    /// How many serve, from some time on.
    #[serde(default)]
    pub sizes: Vec<Size>,
    /// What is taken off the served share.
    #[serde(default)]
    pub prices: Prices,
}

/// Forwarders that are killed together and restarted together.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Dead {
    /// Their share of the fleet.
    pub share: f64,
    /// When.
    pub at: Moment,
    /// They are restarted after this.
    #[serde(rename = "for")]
    pub lasts: Span,
}

/// A fleet that grows or shrinks while it serves.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Size {
    /// When.
    pub at: Moment,
    /// How many serve from then on.
    pub count: Spanned<usize>,
    /// Each forwarder learns it at some time within this.
    pub within: Span,
}

/// Prices, as points of the served share.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// If as many calls were rejected as there are messages.
    pub refused: f64,
    /// If as many connections were made as there are messages.
    pub connections: f64,
}

fn none() -> Span {
    Span(0)
}
