//! A scenario as it is written in YAML: destinations by name, traffic by phases, clumps, faults, forwarders that are
//! stopped and restarted, and what is expected. It is read and checked strictly, errors carry their place, and
//! nothing is played here; [`crate::scenario_day`] makes a day of it.

mod check;
mod destinations;
mod error;
mod forwarders;
mod traffic;

use crate::span::Span;
use cedarbridge::Micros;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::path::Path;

pub use destinations::{DestinationGroup, DestinationKind, FaultKind, FaultSpec, Replacement};
pub use error::ScenarioError;
pub use forwarders::{Dead, Fleet, Forwarders, Prices, Signal, Size, Stop};
pub use traffic::{Channel, Clients, Clump, Moment, Phase};

/// A text with its place.
pub type SpannedName = Spanned<String>;

/// The complete file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// What it is called in the report.
    pub title: String,
    /// The day's seed unless another is given.
    #[serde(default = "one")]
    pub seed: u64,
    /// Messages a second at full load, for all destinations together.
    pub rate: Spanned<f64>,
    /// The forwarders.
    #[serde(default)]
    pub forwarders: Forwarders,
    /// What clients do.
    #[serde(default)]
    pub clients: Clients,
    /// The channels that share the traffic; without any, three as at our platform.
    #[serde(default)]
    pub channels: Vec<Channel>,
    /// The destinations.
    #[serde(rename = "partners")]
    pub destinations: Vec<DestinationGroup>,
    /// The day, part by part.
    pub phases: Vec<Phase>,
    /// Messages for one destination that arrive at once.
    #[serde(default)]
    pub clumps: Vec<Clump>,
    /// Faults of destinations.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<FaultSpec>,
    /// Forwarders that are stopped.
    #[serde(default)]
    pub stops: Vec<Stop>,
    /// Endpoints that are drained and replaced by others.
    #[serde(default)]
    pub replacements: Vec<Replacement>,
    /// The fleets that `cedarbridge-rehearsal fleet` plays the day with.
    #[serde(default)]
    pub fleet: Option<Spanned<Fleet>>,
    /// What is expected of it.
    #[serde(default)]
    pub expect: Expect,
    /// A live run is aborted after this.
    #[serde(default = "limit")]
    pub limit: Span,
}

fn one() -> u64 {
    1
}

fn limit() -> Span {
    Span(540_000_000)
}

/// What is expected of it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// The least share of the value that is delivered.
    #[serde(rename = "worth")]
    pub delivered_share: Option<Spanned<f64>>,
    /// Messages rejected, at most.
    pub refused: Option<u64>,
    /// Messages failed, at most.
    pub failed: Option<u64>,
    /// Rules broken, at most.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// After each outage, the destination's first delivery is within this.
    pub returns: Option<Span>,
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn read(path: &Path) -> Result<Self, Vec<ScenarioError>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            vec![ScenarioError { line: 0, column: 0, reason: format!("cannot be read: {e}") }]
        })?;
        Scenario::parse(&text)
    }

    /// Reads a text.
    pub fn parse(text: &str) -> Result<Self, Vec<ScenarioError>> {
        let options = serde_saphyr::options! { with_snippet: false };
        let read = serde_saphyr::from_str_with_options::<Scenario>(text, options).map_err(|e| {
            let at = e.location().map_or((1, 1), |l| (l.line(), l.column()));
            let reason = e.to_string().lines().next().unwrap_or("not YAML").to_owned();
            vec![ScenarioError { line: at.0, column: at.1, reason }]
        })?;
        let mut found = Vec::new();
        read.check(&mut found);
        found.sort_by_key(|r| (r.line, r.column));
        if found.is_empty() {
            Ok(read)
        } else {
            Err(found)
        }
    }

    /// How many destinations there are, over all groups.
    pub fn destination_count(&self) -> usize {
        self.destinations.iter().map(|p| p.count).sum()
    }

    /// The destinations' names, each with its group's place in the file's list.
    pub fn destination_names(&self) -> Vec<(String, usize)> {
        let mut names = Vec::with_capacity(self.destination_count());
        for (n, p) in self.destinations.iter().enumerate() {
            match p.count {
                1 => names.push((p.name.value.clone(), n)),
                count => names.extend((1..=count).map(|i| (format!("{}-{i}", p.name.value), n))),
            }
        }
        names
    }

    /// The day's length: its last request is before.
    pub fn length(&self) -> Micros {
        self.phases.iter().map(|p| p.lasts.0).sum()
    }

    /// When a phase begins and ends, from the day's begin.
    pub fn phase(&self, name: &str) -> Option<(Micros, Micros)> {
        let mut begin = 0;
        for p in &self.phases {
            if p.name.value == name {
                return Some((begin, begin + p.lasts.0));
            }
            begin += p.lasts.0;
        }
        None
    }

    /// A moment, from the day's begin; none if it goes by a name that does not exist.
    pub fn moment(&self, of: &Moment) -> Option<Micros> {
        let begin = match (&of.phase, &of.clump) {
            (Some(phase), _) => self.phase(&phase.value)?.0,
            (None, Some(clump)) => {
                let c = self.clumps.iter().find(|c| c.name.value == clump.value)?;
                // A clump does not refer to another.
                self.moment(&Moment { clump: None, ..c.at.clone() })?
            }
            (None, None) => 0,
        };
        Some(begin + of.after.map_or(0, |s| s.0))
    }
}

fn single() -> usize {
    1
}

fn full_share() -> f64 {
    1.0
}
