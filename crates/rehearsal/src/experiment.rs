//! The experiment file in YAML: the ranges that environments are generated from, their faults, and the variants to
//! compare.

use crate::config_duration::ConfigDuration;
use crate::scenario::FaultKind;
use cedarbridge::routes::{NamedSettings, RouteTable};
use cedarbridge::settings_json::Names;
use cedarbridge::site::Site;
use cedarbridge::Settings;
use cedarbridge_endpoint_model::Fault;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A range that a value is drawn from, from its lower to its upper end.
pub type Range = (f64, f64);

/// An experiment file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The title that reports show.
    pub title: String,
    /// How long clients send messages. A run lasts until all messages have ended.
    #[serde(rename = "length")]
    pub duration: ConfigDuration,
    /// The number of forwarders that share the traffic.
    pub forwarders: usize,
    /// The number of runs for each load and variant.
    pub seeds: u64,
    /// The loads to run with, each a range of shares of full load.
    pub loads: Vec<Range>,
    /// The ranges that the destinations' properties are drawn from.
    #[serde(default, rename = "partners")]
    pub destinations: DestinationRanges,
    /// The ranges that the bursts' properties are drawn from.
    #[serde(default, rename = "clumps")]
    pub bursts: BurstRanges,
    /// The destinations' faults.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<FaultSpec>,
    /// The variants to compare.
    pub variants: Vec<Variant>,
}

/// The ranges that the destinations' properties are drawn from.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DestinationRanges {
    /// How many destinations are drawn from these ranges.
    pub count: usize,
    /// Full load: messages a second for each destination, on average.
    pub rate: Range,
    /// How unevenly traffic is spread over the destinations: the exponent of Zipf's law.
    #[serde(rename = "zipf")]
    pub traffic_skew: Range,
    /// The mean service time of a message, in milliseconds.
    #[serde(rename = "work_ms")]
    pub service_time_ms: Range,
    /// The largest factor by which a destination is slower or faster than that.
    #[serde(rename = "unlike")]
    pub service_time_factor: f64,
    /// The rate limit as a multiple of the calls at full load.
    pub headroom: Range,
    /// The capacity as a multiple of the rate limit.
    #[serde(rename = "spare")]
    pub capacity_factor: Range,
    /// The one-way delay of the network, in milliseconds.
    #[serde(rename = "network_ms")]
    pub network_delay_ms: Range,
    /// Destinations whose service time is given in place of a drawn one.
    #[serde(rename = "paces")]
    pub service_times: Vec<ServiceTimeOverride>,
}

/// The service time of one destination, in place of a drawn one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTimeOverride {
    /// The destination's rank by traffic, 1 for the busiest.
    pub rank: usize,
    /// The mean service time of a message.
    #[serde(rename = "work")]
    pub service_time: ConfigDuration,
}

impl Default for DestinationRanges {
    fn default() -> Self {
        DestinationRanges {
            count: 14,
            rate: (4.6, 5.9),
            traffic_skew: (0.66, 0.96),
            service_time_ms: (120.0, 200.0),
            service_time_factor: 2.0,
            headroom: (1.2, 2.3),
            capacity_factor: (1.2, 1.6),
            network_delay_ms: (7.0, 22.0),
            service_times: Vec::new(),
        }
    }
}

/// The ranges that the properties of bursts are drawn from.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BurstRanges {
    /// The share of all messages that arrive in bursts.
    pub share: Range,
    /// The size of a burst, in seconds of the destination's rate limit.
    pub seconds: Range,
}

impl Default for BurstRanges {
    fn default() -> Self {
        BurstRanges { share: (0.052, 0.15), seconds: (1.2, 3.5) }
    }
}

/// A fault of a destination, with its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// The kind of fault.
    pub kind: FaultKind,
    /// The range of the factor of `slow` or of the share of `fail`; `None` for the other kinds.
    #[serde(default)]
    pub size: Option<Range>,
    /// The destination's rank by traffic, 1 for the busiest.
    pub rank: usize,
    /// When the fault starts, from the start of the run.
    #[serde(rename = "from")]
    pub start: ConfigDuration,
    /// How long the fault lasts.
    #[serde(rename = "for")]
    pub duration: ConfigDuration,
}

impl FaultSpec {
    /// The fault, with a size from its range: 0 for the lower end, 1 for the upper one.
    pub fn with_size_at(&self, position: f64) -> Fault {
        let size = self.size.map_or(1.0, |r| r.0 + (r.1 - r.0) * position);
        self.kind.fault(size)
    }
}

/// A configuration of the forwarders that an experiment compares with others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The name that reports show.
    pub name: String,
    /// The site file that the forwarders run with, relative to the experiment's folder; `None` to run without one.
    #[serde(default)]
    pub site: Option<PathBuf>,
}

/// Why an experiment or a scenario cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A file cannot be read or written.
    #[error("cannot read `{0}`: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// The file is not YAML in the form of an experiment.
    #[error("{0}:{1}")]
    Malformed(PathBuf, String),
    /// A value is out of its range, or the values contradict each other.
    #[error("{0}: {1}")]
    InvalidValues(PathBuf, String),
    /// A site file or a scenario has these errors, one a line.
    #[error("{0}")]
    Rejected(String),
}

impl Experiment {
    /// Reads an experiment and checks its values.
    ///
    /// # Errors
    /// The file cannot be read, is not an experiment, or has a value that is out of its range.
    pub fn read(path: &Path) -> Result<Self, InputError> {
        let text = std::fs::read_to_string(path).map_err(|e| InputError::Unreadable(path.into(), e))?;
        let options = serde_saphyr::options! { with_snippet: false };
        let experiment: Experiment = serde_saphyr::from_str_with_options(&text, options).map_err(|e| {
            let position = e.location().map(|l| format!("{}:{}: ", l.line(), l.column())).unwrap_or_default();
            InputError::Malformed(path.into(), format!("{position}{e}"))
        })?;
        let invalid = |reason: &str| Err(InputError::InvalidValues(path.into(), reason.into()));
        let destinations = experiment.destinations.count;
        if experiment.forwarders == 0 || experiment.seeds == 0 || destinations == 0 {
            return invalid("`forwarders`, `seeds` and the `count` of partners must be at least 1");
        }
        if experiment.variants.is_empty() || experiment.loads.is_empty() {
            return invalid("at least one variant and one load are required");
        }
        let ranks = experiment.faults.iter().map(|f| f.rank);
        if ranks
            .chain(experiment.destinations.service_times.iter().map(|s| s.rank))
            .any(|r| r == 0 || r > destinations)
        {
            return invalid("a `rank` must be from 1, for the busiest partner, to the number of partners");
        }
        let needs_size = |f: &FaultSpec| matches!(f.kind, FaultKind::Slow | FaultKind::FailCalls);
        if experiment.faults.iter().any(|f| needs_size(f) != f.size.is_some()) {
            return invalid("`slow` and `fail` need a `size`, other kinds have none");
        }
        let d = &experiment.destinations;
        let ranges = [
            d.rate,
            d.traffic_skew,
            d.service_time_ms,
            d.headroom,
            d.capacity_factor,
            d.network_delay_ms,
            experiment.bursts.share,
        ];
        let all = ranges.iter().chain(&experiment.loads).chain([&experiment.bursts.seconds]);
        if all.into_iter().any(|r| !(r.0 > 0.0 && r.0 <= r.1 && r.1.is_finite())) {
            return invalid("a range must go from a number above 0 to one that is no smaller");
        }
        Ok(experiment)
    }

    /// The routes of a variant's site file, checked as the forwarder checks them; `None` if the variant has no site file.
    /// `folder` is the experiment's folder, `platform` the settings and names that the site file is checked against.
    ///
    /// # Errors
    /// The site file cannot be read, or has errors.
    pub fn load_routes(
        &self,
        variant: &Variant,
        folder: &Path,
        platform: &(Settings, Names),
    ) -> Result<Option<Arc<RouteTable>>, InputError> {
        let Some(site) = &variant.site else { return Ok(None) };
        let path = folder.join(site);
        let text = std::fs::read_to_string(&path).map_err(|e| InputError::Unreadable(path.clone(), e))?;
        let site = Site::read(&text, NamedSettings { settings: &platform.0, names: &platform.1 });
        let to_lines = |errors: Vec<cedarbridge::config_error::ConfigError>| {
            let file = path.display().to_string();
            InputError::Rejected(errors.iter().map(|e| e.format_line(&file)).collect::<Vec<_>>().join("\n"))
        };
        Ok(Some(Arc::new(site.map_err(to_lines)?.routes)))
    }
}
