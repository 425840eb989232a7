//! The verdict on a run, and its report: a text summary, an HTML page with plots, JSON for scripts, and JUnit XML for CI.
//! Each starts with the value delivered against the value offered.

mod export;
mod page;
mod summary;

use crate::audit::RuleViolation;
use crate::environment::Environment;
use crate::figures::Figures;
use crate::scenario::Scenario;
use cedarbridge::Micros;
use std::time::Duration;

/// How far a live run was behind its own schedule. A late run says nothing about the forwarder.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// The lateness of the run's event loop, at the 99th percentile.
    pub loop_p99: Micros,
    /// The largest lateness of the event loop.
    pub loop_max: Micros,
    /// The number of requests that were sent more than [`LATE_SEND`] after their planned time.
    pub late_sends: u64,
    /// The number of requests that were sent.
    pub sends: u64,
    /// The time that forwarders took to answer `/_counters`, at the 90th percentile.
    pub counters_p90: Micros,
}

/// A request that is sent more than this time after its planned time is late.
pub const LATE_SEND: Micros = 50_000;
/// A run gets no verdict if its event loop was later than this at the 99th percentile.
const MAX_LOOP_LATENESS: Micros = 40_000;
/// A run gets no verdict if more than this share of its requests was sent late.
const MAX_LATE_SEND_SHARE: f64 = 0.02;

/// A run gets no verdict if its forwarders took longer than this to answer `/_counters` at the 90th percentile.
const MAX_COUNTERS_TIME: Micros = 60_000;

/// How a run was made.
#[derive(Clone, Copy, Debug)]
pub enum RunMode {
    /// A simulation in virtual time.
    Virtual,
    /// A live rehearsal on sockets, with real forwarders.
    Live(Lateness),
}

/// A finished run and its result.
pub struct RunReport<'a> {
    /// The scenario that was run.
    pub scenario: &'a Scenario,
    /// The environment of the run.
    pub environment: &'a Environment,
    /// The seed of the run.
    pub seed: u64,
    /// The figures of the run.
    pub figures: &'a Figures,
    /// The rule violations found in the run.
    pub violations: &'a [RuleViolation],
    /// How the run was made.
    pub run_mode: RunMode,
    /// Descriptions of what else went wrong: a forwarder that ended by itself, a run that was aborted.
    pub incidents: &'a [String],
    /// The real time that the run took.
    pub took: Duration,
}

/// The verdict on a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// All expectations were met.
    Passed,
    /// These expectations were not met, each with what was observed.
    Failed(Vec<String>),
    /// The machine was too loaded for a verdict; the text has the measured lateness.
    NotJudged(String),
}

/// An expectation of the scenario, and what was observed.
struct ExpectationCheck {
    name: &'static str,
    met: bool,
    /// The observed and the expected value.
    description: String,
}

impl RunReport<'_> {
    /// The expectations, each with what was observed.
    fn checks(&self) -> Vec<ExpectationCheck> {
        let (expect, figures) = (&self.scenario.expect, self.figures);
        let mut checks = Vec::new();
        let mut check = |name, met, description| checks.push(ExpectationCheck { name, met, description });
        let violations = self.violations.len();
        check(
            "rules",
            violations <= expect.max_violations,
            format!("{violations} rules broken, {} allowed", expect.max_violations),
        );
        if let Some(min) = &expect.min_delivered_share {
            let share = figures.value().share();
            let description = format!("worth {share:.3}, {} expected at least", min.value);
            check("worth", share >= min.value, description);
        }
        for (name, max, observed) in [
            ("refused", expect.max_rejected, figures.rejected),
            ("failed", expect.max_failed, figures.failed),
        ] {
            if let Some(max) = max {
                check(name, observed <= max, format!("{observed} {name}, {max} expected at most"));
            }
        }
        if let Some(max) = expect.max_recovery_time {
            let recovery_times = figures.recovery_times(self.environment);
            let longest = recovery_times.iter().map(|r| r.1.unwrap_or(Micros::MAX)).max().unwrap_or(0);
            let ms = |t: Micros| if t == Micros::MAX { "never".into() } else { format!("{} ms", t / 1000) };
            let description =
                format!("first delivery after a return: {}, {} at most", ms(longest), ms(max.0));
            check("returns", longest <= max.0, description);
        }
        let incidents = self.incidents.join("; ");
        check(
            "run",
            self.incidents.is_empty(),
            if incidents.is_empty() { "nothing odd".into() } else { incidents },
        );
        checks
    }

    /// The verdict on the run.
    pub fn verdict(&self) -> Verdict {
        if let RunMode::Live(lateness) = self.run_mode {
            let share = lateness.late_sends as f64 / lateness.sends.max(1) as f64;
            if lateness.loop_p99 > MAX_LOOP_LATENESS
                || share > MAX_LATE_SEND_SHARE
                || lateness.counters_p90 > MAX_COUNTERS_TIME
            {
                return Verdict::NotJudged(format!(
                    "the machine was loaded: the kit ran late by {:.0} ms at p99 and sent {:.1}% of the messages late, \
                     forwarders took {:.0} ms at p90 to tell how they stand",
                    lateness.loop_p99 as f64 / 1e3,
                    share * 100.0,
                    lateness.counters_p90 as f64 / 1e3
                ));
            }
        }
        let failed: Vec<String> =
            self.checks().into_iter().filter(|c| !c.met).map(|c| c.description).collect();
        if failed.is_empty() {
            Verdict::Passed
        } else {
            Verdict::Failed(failed)
        }
    }

    /// The value delivered and offered, and the verdict, in one line.
    fn headline(&self) -> String {
        let value = self.figures.value();
        let verdict = match self.verdict() {
            Verdict::Passed => "as expected".into(),
            Verdict::Failed(reasons) => format!("NOT AS EXPECTED: {}", reasons.join("; ")),
            Verdict::NotJudged(reason) => format!("NOT JUDGED: {reason}"),
        };
        format!(
            "worth delivered {:.1} of {:.1} asked: {:.3}; {verdict}",
            value.delivered,
            value.offered,
            value.share()
        )
    }

    /// The seed, the mode and the duration of the run, in one line.
    fn run_description(&self) -> String {
        let mode = match self.run_mode {
            RunMode::Virtual => "in virtual time".into(),
            RunMode::Live(lateness) => format!(
                "live; the kit itself late by {:.1} ms at p99, {:.1} ms at most, {} of {} hand-ins late",
                lateness.loop_p99 as f64 / 1e3,
                lateness.loop_max as f64 / 1e3,
                lateness.late_sends,
                lateness.sends
            ),
        };
        format!("seed {}, {mode}; took {:.1} s", self.seed, self.took.as_secs_f64())
    }
}
