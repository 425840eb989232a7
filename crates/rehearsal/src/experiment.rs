//! An experiment as it is written in YAML: the days to draw, their faults, and the variants to compare. Nothing is
//! played here.

use crate::scenario::FaultKind;
use crate::span::Span;
use cedarbridge::routes::{NamedSettings, RouteTable};
use cedarbridge::settings_json::Names;
use cedarbridge::site::Site;
use cedarbridge::Settings;
use cedarbridge_endpoint_model::Fault;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A range that figures are drawn from, the ends included.
pub type Range = (f64, f64);

/// The complete file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it is called in the report.
    pub title: String,
    /// How long clients send messages; a day goes on until all have ended.
    pub length: Span,
    /// Forwarders that share the traffic.
    pub forwarders: usize,
    /// Days a load and variant.
    pub seeds: u64,
    /// Traffic as shares of full load, each from a range.
    pub loads: Vec<Range>,
    /// The ranges that destinations are drawn from.
    #[serde(default, rename = "partners")]
    pub destinations: Partners,
    /// Share of the messages that come in clumps, and their size in seconds of the destination's limit.
    #[serde(default)]
    pub clumps: Clumps,
    /// Faults of destinations.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<FaultSpec>,
    /// The variants to compare.
    pub variants: Vec<Variant>,
}

/// The ranges of the destinations' figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Partners {
    /// How many.
    pub count: usize,
    /// Messages a second for one at full load, in the mean.
    pub rate: Range,
    /// How unevenly traffic is spread: the exponent of the Zipf law.
    pub zipf: Range,
    /// The mean service time of a message.
    pub work_ms: Range,
    /// Destinations are slower or faster than that by a factor of up to this.
    pub unlike: f64,
    /// Limit over the calls at full load.
    pub headroom: Range,
    /// Capacity over the limit.
    pub spare: Range,
    /// One-way time of the network.
    pub network_ms: Range,
    /// Destinations, by their rank, with a service time of their own.
    pub paces: Vec<PaceOf>,
}

/// A destination with a service time of its own.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PaceOf {
    /// Its place by traffic, 1 for the busiest.
    pub rank: usize,
    /// The mean service time of a message.
    pub work: Span,
}

impl Default for Partners {
    fn default() -> Self {
        Partners {
            count: 14,
            rate: (4.6, 5.9),
            zipf: (0.66, 0.96),
            work_ms: (120.0, 200.0),
            unlike: 2.0,
            headroom: (1.2, 2.3),
            spare: (1.2, 1.6),
            network_ms: (7.0, 22.0),
            paces: Vec::new(),
        }
    }
}

/// Messages that arrive in clumps for one destination.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clumps {
    /// Their share of all.
    pub share: Range,
    /// Their size, in seconds of the destination's limit.
    pub seconds: Range,
}

impl Default for Clumps {
    fn default() -> Self {
        Clumps { share: (0.052, 0.15), seconds: (1.2, 3.5) }
    }
}

/// One fault of a day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Which.
    pub kind: FaultKind,
    /// How bad: a factor for `slow`, a share for `fail`.
    #[serde(default)]
    pub size: Option<Range>,
    /// The destination's rank by traffic, 1 for the busiest.
    pub rank: usize,
    /// When it begins.
    pub from: Span,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: Span,
}

impl FaultSpec {
    /// The fault, with its size drawn by a number from 0 to 1.
    pub fn drawn(&self, draw: f64) -> Fault {
        let size = self.size.map_or(1.0, |r| r.0 + (r.1 - r.0) * draw);
        self.kind.fault(size)
    }
}

/// A way to run the forwarders.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// What it is called in the report.
    pub name: String,
    /// The site file that it runs with, from the experiment's folder; without one, none.
    #[serde(default)]
    pub site: Option<PathBuf>,
}

/// Why an experiment cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A file cannot be read.
    #[error("cannot read `{0}`: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// The experiment's file is not in its form.
    #[error("{0}:{1}")]
    Malformed(PathBuf, String),
    /// Its figures make no sense.
    #[error("{0}: {1}")]
    InvalidFigures(PathBuf, String),
    /// A site file is refused, for these reasons.
    #[error("{0}")]
    Rejected(String),
}

impl Experiment {
    /// Reads an experiment and checks its figures.
    pub fn read(path: &Path) -> Result<Self, InputError> {
        let text = std::fs::read_to_string(path).map_err(|e| InputError::Unreadable(path.into(), e))?;
        let options = serde_saphyr::options! { with_snippet: false };
        let experiment: Experiment = serde_saphyr::from_str_with_options(&text, options).map_err(|e| {
            let at = e.location().map(|l| format!("{}:{}: ", l.line(), l.column())).unwrap_or_default();
            InputError::Malformed(path.into(), format!("{at}{e}"))
        })?;
        let unfit = |what: &str| Err(InputError::InvalidFigures(path.into(), what.into()));
        let destinations = experiment.destinations.count;
        if experiment.forwarders == 0 || experiment.seeds == 0 || destinations == 0 {
            return unfit("forwarders, seeds and partners must be 1 at least");
        }
        if experiment.variants.is_empty() || experiment.loads.is_empty() {
            return unfit("there must be a variant and a load");
        }
        let ranks = experiment.faults.iter().map(|t| t.rank);
        if ranks
            .chain(experiment.destinations.paces.iter().map(|p| p.rank))
            .any(|r| r == 0 || r > destinations)
        {
            return unfit("a `rank` is a place among the partners, 1 for the busiest");
        }
        let needs_size = |t: &FaultSpec| matches!(t.kind, FaultKind::Slow | FaultKind::Fail);
        if experiment.faults.iter().any(|t| needs_size(t) != t.size.is_some()) {
            return unfit("`slow` and `fail` need a `size`, the other troubles have none");
        }
        let p = &experiment.destinations;
        let ranges = [p.rate, p.zipf, p.work_ms, p.headroom, p.spare, p.network_ms, experiment.clumps.share];
        let all = ranges.iter().chain(&experiment.loads).chain([&experiment.clumps.seconds]);
        if all.into_iter().any(|r| !(r.0 > 0.0 && r.0 <= r.1 && r.1.is_finite())) {
            return unfit("a range goes from a figure above zero to one that is no smaller");
        }
        Ok(experiment)
    }

    /// The plan of a variant, checked by the forwarder's own check.
    pub fn plan(
        &self,
        of: &Variant,
        folder: &Path,
        as_of: &(Settings, Names),
    ) -> Result<Option<Arc<RouteTable>>, InputError> {
        let Some(site) = &of.site else { return Ok(None) };
        let path = folder.join(site);
        let text = std::fs::read_to_string(&path).map_err(|e| InputError::Unreadable(path.clone(), e))?;
        let read = Site::read(&text, NamedSettings { settings: &as_of.0, names: &as_of.1 });
        let lines = |b: Vec<cedarbridge::config_error::ConfigError>| {
            let file = path.display().to_string();
            InputError::Rejected(b.iter().map(|b| b.format_line(&file)).collect::<Vec<_>>().join("\n"))
        };
        Ok(Some(Arc::new(read.map_err(lines)?.routes)))
    }
}
