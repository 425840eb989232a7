//! A run for other programs: JSON for scripts, JUnit for a CI.

use super::page::seconds;
use super::{Check, Run, RunMode, Verdict};
use crate::audit::{Rule, RuleViolation};
use crate::figures::{Tally, OUTCOMES};
use crate::world::START;
use quick_junit::{NonSuccessKind, TestCase, TestCaseStatus, TestSuite};
use serde_json::{json, Value};

impl Run<'_> {
    /// For scripts.
    pub fn json(&self) -> Value {
        let f = self.figures;
        let tally = |t: &Tally| {
            json!({"messages": t.messages, "delivered": t.delivered, "asked": t.value.offered, "got": t.value.delivered_value,
                "by_second": t.by_second, "ms": {"p50": t.time(0.5), "p90": t.time(0.9), "p99": t.time(0.99), "p99.9": t.time(0.999)}})
        };
        let named = |names: &[String], all: &[Tally]| -> Value {
            names
                .iter()
                .zip(all)
                .map(|(n, t)| (n.clone(), tally(t)))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let (verdict, reasons) = match self.verdict() {
            Verdict::Passed => ("passed", Vec::new()),
            Verdict::Failed(why) => ("failed", why),
            Verdict::NotJudged(why) => ("not judged", vec![why]),
        };
        let w = f.value();
        let outcomes: serde_json::Map<String, Value> =
            OUTCOMES.iter().zip(f.outcomes).map(|(n, c)| ((*n).to_owned(), c.into())).collect();
        json!({
            "title": self.scenario.title, "seed": self.seed, "verdict": verdict, "reasons": reasons,
            "worth": {"asked": w.offered, "delivered": w.delivered_value, "share": w.share()},
            "live": matches!(self.run_mode, RunMode::Live(_)), "seconds": self.took.as_secs_f64(),
            "messages": self.world.requests.len(), "delivered": f.delivered, "refused": f.refused,
            "failed": f.failed, "attempts": f.attempts, "outcomes": outcomes,
            "upgrades": f.upgrades.iter().map(|u| json!({"ready_us": u.ready, "left_us": u.left,
                "at_the_door": u.rejected_during_upgrade})).collect::<Vec<_>>(),
            "channels": named(&self.world.names.tenants, &f.by_channel),
            "partners": named(&self.world.destination_names, &f.by_destination),
            "breakers": self.world.destination_names.iter().zip(&f.breakers).map(|(name, line)| {
                let line = line.iter().map(|(at, s)| json!([seconds(*at), s.name()]));
                (name.clone(), line.collect::<Vec<_>>().into())
            }).collect::<serde_json::Map<_, Value>>(),
            "broken": self.violations.iter().map(|b| json!({"rule": b.rule.name(), "at_us": b.at.saturating_sub(START),
                "forwarder": b.forwarder.map(|f| f + 1), "message": b.message, "what": b.what})).collect::<Vec<_>>(),
        })
    }

    /// For a CI: a case for each expectation and one for each rule.
    pub fn junit(&self) -> String {
        let mut report = quick_junit::Report::new("cedarbridge-rehearsal");
        let mut suite = TestSuite::new(self.scenario.title.clone());
        let loaded = match self.verdict() {
            Verdict::NotJudged(why) => Some(why),
            _ => None,
        };
        let mut case = |name: String, fine: bool, what: String| {
            let status = match &loaded {
                Some(why) => {
                    let mut skipped = TestCaseStatus::skipped();
                    skipped.set_message(why.clone());
                    skipped
                }
                None if fine => TestCaseStatus::success(),
                None => {
                    let mut failure = TestCaseStatus::non_success(NonSuccessKind::Failure);
                    failure.set_message(what);
                    failure
                }
            };
            suite.add_test_case(TestCase::new(name, status));
        };
        for Check { name, met, what } in self.checks().into_iter().filter(|c| c.name != "rules") {
            case(format!("expected {name}"), met, what);
        }
        let rules = [
            Rule::OneAnswer,
            Rule::InTime,
            Rule::OneOut,
            Rule::Attempts,
            Rule::Repeats,
            Rule::Waits,
            Rule::Drains,
            Rule::PushedOver,
            Rule::Door,
            Rule::Strays,
        ];
        for rule in rules {
            let violations: Vec<String> =
                self.violations.iter().filter(|b| b.rule == rule).map(RuleViolation::to_string).collect();
            case(format!("rule {}", rule.name()), violations.is_empty(), violations.join("\n"));
        }
        report.add_test_suite(suite);
        report.to_string().expect("text without control characters")
    }
}
