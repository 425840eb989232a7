//! The traffic section of a scenario: client behaviour, tenants, phases and bursts.

use super::SpannedName;
use crate::config_duration::ConfigDuration;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// How clients react to a rejection.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// The share of clients that retry after a rejection, from 0 to 1.
    #[serde(rename = "again")]
    pub retry_share: f64,
    /// The shortest and the longest time that a client waits before its retry.
    #[serde(rename = "after")]
    pub retry_delay: (ConfigDuration, ConfigDuration),
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retry_share: 0.75, retry_delay: (ConfigDuration(530_000), ConfigDuration(1_500_000)) }
    }
}

/// A tenant's part of the traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TenantTraffic {
    /// The tenant's name.
    pub name: SpannedName,
    /// The tenant's agreed share of full load, relative to the other tenants' shares.
    pub share: f64,
    /// What the tenant sends, as a multiple of its agreed share.
    #[serde(default = "super::full_share", rename = "uses")]
    pub usage: f64,
}

/// A time span of the run with a constant load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Phase {
    /// The name that other sections refer to.
    pub name: SpannedName,
    /// How long the phase lasts.
    #[serde(rename = "for")]
    pub duration: ConfigDuration,
    /// The phase's traffic, as a share of full load.
    pub load: Spanned<f64>,
    /// The share of the phase's traffic that arrives in unnamed bursts, in addition to the named ones.
    #[serde(default, rename = "clumps")]
    pub burst_share: Option<Spanned<f64>>,
}

/// A time relative to the start of the run, of a phase or of a burst.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RelativeTime {
    /// The phase whose start the time is relative to.
    pub phase: Option<SpannedName>,
    /// The burst whose start the time is relative to.
    #[serde(rename = "clump")]
    pub burst: Option<SpannedName>,
    /// The offset from that start; `None` means 0.
    pub after: Option<ConfigDuration>,
}

/// A burst: many messages for one destination within a short time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Burst {
    /// The name that other sections refer to.
    pub name: SpannedName,
    /// The destination of all messages of the burst.
    #[serde(rename = "partner")]
    pub destination: SpannedName,
    /// When the first message is sent.
    pub at: RelativeTime,
    /// How many messages are sent in the burst.
    pub messages: Spanned<usize>,
    /// The time over which the messages are spread evenly.
    pub within: ConfigDuration,
}
