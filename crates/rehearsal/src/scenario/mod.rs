//! The scenario file in YAML: destinations by name, traffic by phases, bursts, faults, forwarders that are stopped and
//! restarted, and the expected result.
//!
//! This module reads and checks a scenario strictly; every error carries its position in the file.
//! [`crate::scenario_environment`] builds the environment of a run from a scenario.

mod check;
mod destinations;
mod error;
mod forwarders;
mod traffic;

use crate::config_duration::ConfigDuration;
use cedarbridge::Micros;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::path::Path;

pub use destinations::{DestinationGroup, DestinationKind, FaultKind, FaultSpec, Replacement};
pub use error::ScenarioError;
pub use forwarders::{Fleet, FleetOutage, FleetResize, Forwarders, Penalties, Signal, Stop};
pub use traffic::{Burst, Clients, Phase, RelativeTime, TenantTraffic};

/// A name with its position in the file.
pub type SpannedName = Spanned<String>;

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// The title that reports show.
    pub title: String,
    /// The seed of the run, unless the command line gives another.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Full load: messages a second, for all destinations together.
    pub rate: Spanned<f64>,
    /// The forwarders' configuration.
    #[serde(default)]
    pub forwarders: Forwarders,
    /// How clients react to a rejection.
    #[serde(default)]
    pub clients: Clients,
    /// The tenants that share the traffic; if empty, the three tenants of the platform.
    #[serde(default, rename = "channels")]
    pub tenants: Vec<TenantTraffic>,
    /// The destinations that receive the traffic, in groups.
    #[serde(rename = "partners")]
    pub destinations: Vec<DestinationGroup>,
    /// The phases of the run, in the order of time.
    pub phases: Vec<Phase>,
    /// The named bursts.
    #[serde(default, rename = "clumps")]
    pub bursts: Vec<Burst>,
    /// The destinations' faults.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<FaultSpec>,
    /// Forwarders that are stopped, reloaded, paused or upgraded.
    #[serde(default)]
    pub stops: Vec<Stop>,
    /// Endpoints that are drained and replaced.
    #[serde(default)]
    pub replacements: Vec<Replacement>,
    /// The fleets that `cedarbridge-rehearsal fleet` simulates; `None` if the scenario has no section `fleet`.
    #[serde(default)]
    pub fleet: Option<Spanned<Fleet>>,
    /// What the result of the run is expected to be.
    #[serde(default)]
    pub expect: Expect,
    /// A live run is aborted after this time.
    #[serde(default = "default_time_limit", rename = "limit")]
    pub time_limit: ConfigDuration,
}

fn default_seed() -> u64 {
    1
}

fn default_time_limit() -> ConfigDuration {
    ConfigDuration(540_000_000)
}

/// The expected result of a run. A run that does not meet each given expectation fails.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// The smallest share of the value that is delivered, from 0 to 1.
    #[serde(rename = "worth")]
    pub min_delivered_share: Option<Spanned<f64>>,
    /// The largest number of rejected messages.
    #[serde(rename = "refused")]
    pub max_rejected: Option<u64>,
    /// The largest number of failed messages.
    #[serde(rename = "failed")]
    pub max_failed: Option<u64>,
    /// The largest number of rule violations; 0 by default.
    #[serde(rename = "broken")]
    pub max_violations: usize,
    /// The longest time from the end of an outage to the destination's first delivery.
    #[serde(rename = "returns")]
    pub max_recovery_time: Option<ConfigDuration>,
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    /// The file cannot be read, or all errors that the check finds in it.
    pub fn read(path: &Path) -> Result<Self, Vec<ScenarioError>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            vec![ScenarioError { line: 0, column: 0, reason: format!("cannot read the file: {e}") }]
        })?;
        Scenario::parse(&text)
    }

    /// Parses and checks a scenario.
    ///
    /// # Errors
    /// The text is not YAML in the form of a scenario, or all errors that the check finds in it.
    pub fn parse(text: &str) -> Result<Self, Vec<ScenarioError>> {
        let options = serde_saphyr::options! { with_snippet: false };
        let scenario = serde_saphyr::from_str_with_options::<Scenario>(text, options).map_err(|e| {
            let position = e.location().map_or((1, 1), |l| (l.line(), l.column()));
            let reason = e.to_string().lines().next().unwrap_or("invalid YAML").to_owned();
            vec![ScenarioError { line: position.0, column: position.1, reason }]
        })?;
        let mut errors = Vec::new();
        scenario.check(&mut errors);
        errors.sort_by_key(|e| (e.line, e.column));
        if errors.is_empty() {
            Ok(scenario)
        } else {
            Err(errors)
        }
    }

    /// The number of destinations over all groups.
    pub fn destination_count(&self) -> usize {
        self.destinations.iter().map(|group| group.count).sum()
    }

    /// The destinations' names, each with the index of its group.
    pub fn destination_names(&self) -> Vec<(String, usize)> {
        let mut names = Vec::with_capacity(self.destination_count());
        for (index, group) in self.destinations.iter().enumerate() {
            match group.count {
                1 => names.push((group.name.value.clone(), index)),
                count => names.extend((1..=count).map(|i| (format!("{}-{i}", group.name.value), index))),
            }
        }
        names
    }

    /// The length of the run: all requests are sent within it.
    pub fn length(&self) -> Micros {
        self.phases.iter().map(|phase| phase.duration.0).sum()
    }

    /// When a phase starts and ends, from the start of the run; `None` if no phase has the name.
    pub fn phase(&self, name: &str) -> Option<(Micros, Micros)> {
        let mut start = 0;
        for phase in &self.phases {
            if phase.name.value == name {
                return Some((start, start + phase.duration.0));
            }
            start += phase.duration.0;
        }
        None
    }

    /// The time from the start of the run; `None` if the phase or burst that it is relative to does not exist.
    pub fn resolve_time(&self, time: &RelativeTime) -> Option<Micros> {
        let start = match (&time.phase, &time.burst) {
            (Some(phase), _) => self.phase(&phase.value)?.0,
            (None, Some(name)) => {
                let burst = self.bursts.iter().find(|b| b.name.value == name.value)?;
                // A burst's time is not relative to another burst.
                self.resolve_time(&RelativeTime { burst: None, ..burst.at.clone() })?
            }
            (None, None) => 0,
        };
        Some(start + time.after.map_or(0, |s| s.0))
    }
}

fn single() -> usize {
    1
}

fn full_share() -> f64 {
    1.0
}
