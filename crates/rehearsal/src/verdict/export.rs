//! The report of a run for other programs: JSON for scripts, JUnit XML for CI.

use super::page::seconds;
use super::{ExpectationCheck, RunMode, RunReport, Verdict};
use crate::audit::{Rule, RuleViolation};
use crate::environment::RUN_START;
use crate::figures::{DeliveryStats, OUTCOME_NAMES};
use quick_junit::{NonSuccessKind, TestCase, TestCaseStatus, TestSuite};
use serde_json::{json, Value};

impl RunReport<'_> {
    /// The report as JSON, for scripts.
    pub fn json(&self) -> Value {
        let figures = self.figures;
        let stats_json = |stats: &DeliveryStats| {
            json!({"messages": stats.messages, "delivered": stats.delivered, "asked": stats.value.offered, "got": stats.value.delivered,
                "by_second": stats.by_second, "ms": {"p50": stats.delivery_time(0.5), "p90": stats.delivery_time(0.9), "p99": stats.delivery_time(0.99), "p99.9": stats.delivery_time(0.999)}})
        };
        let stats_by_name = |names: &[String], all: &[DeliveryStats]| -> Value {
            names
                .iter()
                .zip(all)
                .map(|(name, stats)| (name.clone(), stats_json(stats)))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let (verdict, reasons) = match self.verdict() {
            Verdict::Passed => ("passed", Vec::new()),
            Verdict::Failed(reasons) => ("failed", reasons),
            Verdict::NotJudged(reason) => ("not judged", vec![reason]),
        };
        let value = figures.value();
        let outcomes: serde_json::Map<String, Value> = OUTCOME_NAMES
            .iter()
            .zip(figures.outcomes)
            .map(|(name, count)| ((*name).to_owned(), count.into()))
            .collect();
        json!({
            "title": self.scenario.title, "seed": self.seed, "verdict": verdict, "reasons": reasons,
            "worth": {"asked": value.offered, "delivered": value.delivered, "share": value.share()},
            "live": matches!(self.run_mode, RunMode::Live(_)), "seconds": self.took.as_secs_f64(),
            "messages": self.environment.requests.len(), "delivered": figures.delivered, "refused": figures.rejected,
            "failed": figures.failed, "attempts": figures.attempts, "outcomes": outcomes,
            "upgrades": figures.upgrades.iter().map(|u| json!({"ready_us": u.ready_time, "left_us": u.exit_time,
                "at_the_door": u.rejected_during_upgrade})).collect::<Vec<_>>(),
            "channels": stats_by_name(&self.environment.names.tenants, &figures.by_tenant),
            "partners": stats_by_name(&self.environment.destination_names, &figures.by_destination),
            "breakers": self.environment.destination_names.iter().zip(&figures.breakers).map(|(name, changes)| {
                let changes = changes.iter().map(|(at, state)| json!([seconds(*at), state.name()]));
                (name.clone(), changes.collect::<Vec<_>>().into())
            }).collect::<serde_json::Map<_, Value>>(),
            "broken": self.violations.iter().map(|v| json!({"rule": v.rule.name(), "at_us": v.at.saturating_sub(RUN_START),
                "forwarder": v.forwarder.map(|f| f + 1), "message": v.message, "what": v.what})).collect::<Vec<_>>(),
        })
    }

    /// The report as JUnit XML, for CI: a test case for each expectation and for each rule. The cases are skipped if the
    /// run got no verdict.
    ///
    /// # Panics
    /// The scenario's title or a violation has control characters that XML does not allow.
    pub fn junit(&self) -> String {
        let mut report = quick_junit::Report::new("cedarbridge-rehearsal");
        let mut suite = TestSuite::new(self.scenario.title.clone());
        let skip_reason = match self.verdict() {
            Verdict::NotJudged(reason) => Some(reason),
            _ => None,
        };
        let mut add_case = |name: String, passed: bool, message: String| {
            let status = match &skip_reason {
                Some(reason) => {
                    let mut skipped = TestCaseStatus::skipped();
                    skipped.set_message(reason.clone());
                    skipped
                }
                None if passed => TestCaseStatus::success(),
                None => {
                    let mut failure = TestCaseStatus::non_success(NonSuccessKind::Failure);
                    failure.set_message(message);
                    failure
                }
            };
            suite.add_test_case(TestCase::new(name, status));
        };
        for ExpectationCheck { name, met, description } in
            self.checks().into_iter().filter(|c| c.name != "rules")
        {
            add_case(format!("expected {name}"), met, description);
        }
        let rules = [
            Rule::SingleAnswer,
            Rule::AnswerDeadline,
            Rule::SingleAttempt,
            Rule::AttemptLimit,
            Rule::RetryPermitted,
            Rule::RetryAfter,
            Rule::Draining,
            Rule::RecoveryOverload,
            Rule::UpgradeRejections,
            Rule::StrayMessages,
        ];
        for rule in rules {
            let violations: Vec<String> =
                self.violations.iter().filter(|v| v.rule == rule).map(RuleViolation::to_string).collect();
            add_case(format!("rule {}", rule.name()), violations.is_empty(), violations.join("\n"));
        }
        report.add_test_suite(suite);
        report.to_string().expect("text without control characters")
    }
}
