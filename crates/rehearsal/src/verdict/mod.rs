//! The result of a rehearsal, in all its forms: a summary for the terminal, a page with plots, JSON for scripts and
//! JUnit for a CI. Value delivered against value offered stands at the top of each.

mod export;
mod page;
mod summary;

use crate::audit::RuleViolation;
use crate::figures::Figures;
use crate::scenario::Scenario;
use crate::world::World;
use cedarbridge::Micros;
use std::time::Duration;

/// How far behind its schedule the kit itself was, on sockets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// Its event loop, at the 99th percentile and the most.
    pub loop_p99: Micros,
    /// The most.
    pub loop_most: Micros,
    /// Requests that were sent later than planned by more than [`SEND_LATE`], of all.
    pub late_sends: u64,
    /// All requests.
    pub sends: u64,
    /// How long forwarders took to answer `/_counters`, at the 90th percentile.
    pub counters_p90: Micros,
}

/// A request is late beyond this.
pub const SEND_LATE: Micros = 50_000;
/// A run whose event loop was late by more than this at the 99th percentile is not judged, ...
const LOOP_LATE: Micros = 40_000;
/// ... nor one with more than this share of late requests.
const SENDS_LATE: f64 = 0.02;

/// ... nor one whose forwarders took longer than this, at the 90th percentile, to answer `/_counters`.
const COUNTERS_LATE: Micros = 60_000;

/// How a run was made.
#[derive(Clone, Copy, Debug)]
pub enum RunMode {
    /// In virtual time.
    Virtual,
    /// On sockets, with real forwarders.
    Live(Lateness),
}

/// A run and its result.
pub struct Run<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// Its day.
    pub world: &'a World,
    /// Its seed.
    pub seed: u64,
    /// The result.
    pub figures: &'a Figures,
    /// Rules broken.
    pub violations: &'a [RuleViolation],
    /// How it was made.
    pub run_mode: RunMode,
    /// What else went wrong: a forwarder that ended by itself, an aborted run.
    pub incidents: &'a [String],
    /// How long it took.
    pub took: Duration,
}

/// The verdict on a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// All expectations were met.
    Passed,
    /// These expectations were not met.
    Failed(Vec<String>),
    /// The machine was too loaded for a verdict.
    NotJudged(String),
}

/// An expectation of the scenario, and what was observed.
struct Check {
    name: &'static str,
    met: bool,
    what: String,
}

impl Run<'_> {
    /// The expectations, each with what was observed.
    fn checks(&self) -> Vec<Check> {
        let (e, f) = (&self.scenario.expect, self.figures);
        let mut all = Vec::new();
        let mut check = |name, met, what| all.push(Check { name, met, what });
        let rules = self.violations.len();
        check("rules", rules <= e.violations, format!("{rules} rules broken, {} allowed", e.violations));
        if let Some(least) = &e.delivered_share {
            let value = f.value().share();
            let what = format!("worth {value:.3}, {} expected at least", least.value);
            check("worth", value >= least.value, what);
        }
        for (name, most, seen) in [("refused", e.refused, f.refused), ("failed", e.failed, f.failed)] {
            if let Some(most) = most {
                check(name, seen <= most, format!("{seen} {name}, {most} expected at most"));
            }
        }
        if let Some(most) = e.returns {
            let returns = f.returns(self.world);
            let longest = returns.iter().map(|r| r.1.unwrap_or(Micros::MAX)).max().unwrap_or(0);
            let ms = |t: Micros| if t == Micros::MAX { "never".into() } else { format!("{} ms", t / 1000) };
            let what = format!("first delivery after a return: {}, {} at most", ms(longest), ms(most.0));
            check("returns", longest <= most.0, what);
        }
        let incidents = self.incidents.join("; ");
        check(
            "run",
            self.incidents.is_empty(),
            if incidents.is_empty() { "nothing odd".into() } else { incidents },
        );
        all
    }

    /// The verdict.
    pub fn verdict(&self) -> Verdict {
        if let RunMode::Live(late) = self.run_mode {
            let share = late.late_sends as f64 / late.sends.max(1) as f64;
            if late.loop_p99 > LOOP_LATE || share > SENDS_LATE || late.counters_p90 > COUNTERS_LATE {
                return Verdict::NotJudged(format!(
                    "the machine was loaded: the kit ran late by {:.0} ms at p99 and sent {:.1}% of the messages late, \
                     forwarders took {:.0} ms at p90 to tell how they stand",
                    late.loop_p99 as f64 / 1e3,
                    share * 100.0,
                    late.counters_p90 as f64 / 1e3
                ));
            }
        }
        let failed: Vec<String> = self.checks().into_iter().filter(|c| !c.met).map(|c| c.what).collect();
        if failed.is_empty() {
            Verdict::Passed
        } else {
            Verdict::Failed(failed)
        }
    }

    fn headline(&self) -> String {
        let w = self.figures.value();
        let verdict = match self.verdict() {
            Verdict::Passed => "as expected".into(),
            Verdict::Failed(why) => format!("NOT AS EXPECTED: {}", why.join("; ")),
            Verdict::NotJudged(why) => format!("NOT JUDGED: {why}"),
        };
        format!(
            "worth delivered {:.1} of {:.1} asked: {:.3}; {verdict}",
            w.delivered_value,
            w.offered,
            w.share()
        )
    }

    fn run_mode(&self) -> String {
        let what = match self.run_mode {
            RunMode::Virtual => "in virtual time".into(),
            RunMode::Live(l) => format!(
                "live; the kit itself late by {:.1} ms at p99, {:.1} ms at most, {} of {} hand-ins late",
                l.loop_p99 as f64 / 1e3,
                l.loop_most as f64 / 1e3,
                l.late_sends,
                l.sends
            ),
        };
        format!("seed {}, {what}; took {:.1} s", self.seed, self.took.as_secs_f64())
    }
}
