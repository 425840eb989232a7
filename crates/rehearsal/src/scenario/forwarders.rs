//! The forwarders of a scenario: their configuration, when they are stopped, and fleets of several sizes.

use super::RelativeTime;
use crate::config_duration::ConfigDuration;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::path::PathBuf;

/// The configuration that all forwarders of the scenario share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Forwarders {
    /// How many forwarders share the traffic.
    pub count: usize,
    /// Calls in flight at once for each forwarder; by default about twice what full load needs.
    #[serde(rename = "slots")]
    pub call_slots: Option<usize>,
    /// Open messages at once for each forwarder; by default nine seconds of full load.
    #[serde(rename = "held")]
    pub max_open_messages: Option<usize>,
    /// The site file that the forwarders run with; a path relative to the scenario's folder.
    pub site: Option<PathBuf>,
}

impl Default for Forwarders {
    fn default() -> Self {
        Forwarders { count: 2, call_slots: None, max_open_messages: None, site: None }
    }
}

/// What is done to a forwarder's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Signal {
    /// SIGTERM: the process shuts down gracefully and is restarted.
    Term,
    /// SIGKILL: the process ends at once and is restarted.
    Kill,
    /// SIGHUP: the process reloads its configuration and keeps running.
    Hup,
    /// SIGSTOP, and SIGCONT after the time in `back`: the process pauses and resumes.
    Stall,
    /// A successor takes over while the process serves; the predecessor then shuts down gracefully.
    Upgrade,
}

/// A forwarder that is stopped, reloaded, paused or upgraded, once or several times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Stop {
    /// The forwarder's number, from 1.
    pub forwarder: Spanned<usize>,
    /// What is done to the process.
    pub signal: Signal,
    /// When it is done for the first time.
    pub at: RelativeTime,
    /// The time from the end of the process to its restart; for `stall`, the length of the pause.
    #[serde(default = "default_restart_delay", rename = "back")]
    pub restart_delay: ConfigDuration,
    /// How many times it is done.
    #[serde(default = "default_repetitions", rename = "times")]
    pub repetitions: usize,
    /// The time from the start of one repetition to the start of the next.
    #[serde(default = "default_interval", rename = "every")]
    pub interval: ConfigDuration,
}

fn default_repetitions() -> usize {
    1
}

fn default_interval() -> ConfigDuration {
    ConfigDuration(10_000_000)
}

fn default_restart_delay() -> ConfigDuration {
    ConfigDuration(600_000)
}

/// Fleets of several sizes that are simulated with the same workload, in virtual time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    /// The number of forwarders in each fleet.
    pub counts: Vec<Spanned<usize>>,
    /// The number of runs for each fleet; their seeds count up from the scenario's seed.
    #[serde(default = "super::single")]
    pub seeds: usize,
    /// How unevenly messages are spread over the forwarders: the exponent of Zipf's law, 0 for evenly.
    #[serde(default, rename = "uneven")]
    pub traffic_skew: f64,
    /// The largest difference between the clocks of two forwarders.
    #[serde(default = "no_duration", rename = "clocks")]
    pub clock_skew: ConfigDuration,
    /// The forwarder count in the forwarders' settings, as a multiple of the actual count.
    #[serde(default = "super::full_share", rename = "told")]
    pub forwarder_count_factor: f64,
    /// The share of the forwarders that have no index, from 0 to 1.
    #[serde(default, rename = "unnumbered")]
    pub unindexed_share: f64,
    /// The share of the forwarders that have the index of the forwarder before them, from 0 to 1.
    #[serde(default, rename = "doubled")]
    pub duplicate_index_share: f64,
    /// An outage of part of the fleet; `None` for none.
    #[serde(default, rename = "dead")]
    pub outage: Option<FleetOutage>,
    /// Changes of the fleet's size during the run, in the order of time.
    #[serde(default, rename = "sizes")]
    pub resizes: Vec<FleetResize>,
    /// Penalties that are subtracted from the delivered share.
    #[serde(default, rename = "prices")]
    pub penalties: Penalties,
}

/// An outage of part of the fleet: forwarders that are killed together and restarted together.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FleetOutage {
    /// The share of the fleet that is killed, from 0 to 1.
    pub share: f64,
    /// When the forwarders are killed.
    pub at: RelativeTime,
    /// The time after which they are restarted.
    #[serde(rename = "for")]
    pub duration: ConfigDuration,
}

/// A change of the fleet's size while it serves.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FleetResize {
    /// When the size changes.
    pub at: RelativeTime,
    /// The number of forwarders that serve from then on.
    pub count: Spanned<usize>,
    /// Each forwarder learns the new size at a random time within this span after the change.
    #[serde(rename = "within")]
    pub propagation_time: ConfigDuration,
}

/// Penalties, as amounts that are subtracted from the delivered share.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Penalties {
    /// The penalty if as many attempts are rejected as there are messages; it is proportional to the rejected attempts.
    #[serde(rename = "refused")]
    pub rejected_attempts: f64,
    /// The penalty if as many connections are made to endpoints as there are messages; it is proportional, too.
    pub connections: f64,
}

fn no_duration() -> ConfigDuration {
    ConfigDuration(0)
}
