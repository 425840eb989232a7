//! What a rehearsal came to, in all its forms: a summary for the terminal, a page with plots, JSON for scripts and
//! JUnit for other people's CI. Worth delivered against worth asked stands at the top of each.

use crate::audit::{Rule, RuleViolation};
use crate::figures::{Figures, Tally, Upgrade, OUTCOMES, WINDOW};
use crate::report::PlotResult;
use crate::scenario::Scenario;
use crate::world::{World, START};
use cedarbridge::{BreakerState, Micros};
use cedarbridge_endpoint_model::Fault;
use plotters::prelude::*;
use quick_junit::{NonSuccessKind, TestCase, TestCaseStatus, TestSuite};
use serde_json::{json, Value};
use std::fmt::Write;
use std::time::Duration;

/// How far behind its schedule the kit itself was, on sockets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// Its event loop, at the 99th percentile and the most.
    pub loop_p99: Micros,
    /// The most.
    pub loop_most: Micros,
    /// Hand-ins that were sent later than planned by more than [`LATE`], of all.
    pub late_sends: u64,
    /// All hand-ins.
    pub sends: u64,
    /// How long forwarders took to tell how they stand, at the 90th percentile.
    pub counters_p90: Micros,
}

/// A hand-in is late beyond this.
pub const SEND_LATE: Micros = 50_000;
/// A run whose event loop was late by more than this at the 99th percentile is not judged, ...
const LOOP_LATE: Micros = 40_000;
/// ... nor one with more than this share of late hand-ins.
const SENDS_LATE: f64 = 0.02;

/// ... nor one whose forwarders got so little of the machine that they took longer than this, at the 90th percentile, to
/// answer a question that needs no thought.
const COUNTERS_LATE: Micros = 60_000;

/// How a run was made.
#[derive(Clone, Copy, Debug)]
pub enum RunMode {
    /// In virtual time.
    Virtual,
    /// On sockets, with real forwarders.
    Live(Lateness),
}

/// A run and what came of it.
pub struct Run<'a> {
    /// What was asked.
    pub scenario: &'a Scenario,
    /// The day that was played.
    pub world: &'a World,
    /// Its seed.
    pub seed: u64,
    /// What came of it.
    pub figures: &'a Figures,
    /// Rules broken.
    pub violations: &'a [RuleViolation],
    /// How it was made.
    pub run_mode: RunMode,
    /// What else went wrong: a forwarder that ended by itself, a run broken off.
    pub incidents: &'a [String],
    /// How long it took.
    pub took: Duration,
}

/// What is to be thought of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// All that was expected came.
    Passed,
    /// These expectations were not met.
    Failed(Vec<String>),
    /// The machine was too slow for the run to tell anything.
    NotJudged(String),
}

impl Run<'_> {
    /// The expectations, each with what was seen and whether that will do.
    fn checks(&self) -> Vec<(&'static str, bool, String)> {
        let (e, f) = (&self.scenario.expect, self.figures);
        let mut all = Vec::new();
        let rules = self.violations.len();
        all.push(("rules", rules <= e.violations, format!("{rules} rules broken, {} allowed", e.violations)));
        if let Some(least) = &e.delivered_share {
            let worth = f.value().share();
            let what = format!("worth {worth:.3}, {} expected at least", least.value);
            all.push(("worth", worth >= least.value, what));
        }
        for (name, most, seen) in [("refused", e.refused, f.refused), ("failed", e.failed, f.failed)] {
            if let Some(most) = most {
                all.push((name, seen <= most, format!("{seen} {name}, {most} expected at most")));
            }
        }
        if let Some(most) = e.returns {
            let returns = f.returns(self.world);
            let longest = returns.iter().map(|r| r.1.unwrap_or(Micros::MAX)).max().unwrap_or(0);
            let ms = |t: Micros| if t == Micros::MAX { "never".into() } else { format!("{} ms", t / 1000) };
            let what = format!("first delivery after a return: {}, {} at most", ms(longest), ms(most.0));
            all.push(("returns", longest <= most.0, what));
        }
        let incidents = self.incidents.join("; ");
        all.push((
            "run",
            self.incidents.is_empty(),
            if incidents.is_empty() { "nothing odd".into() } else { incidents },
        ));
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
        let failed: Vec<String> = self.checks().into_iter().filter(|c| !c.1).map(|c| c.2).collect();
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

    /// The summary for a terminal.
    pub fn summary(&self) -> String {
        let f = self.figures;
        let mut out = format!("{}\n{}\n{}\n\n", self.scenario.title, self.headline(), self.run_mode());
        let _ = writeln!(
            out,
            "{} messages: {} delivered, {} refused, {} failed; {} attempts ({})",
            self.world.requests.len(),
            f.delivered,
            f.refused,
            f.failed,
            f.attempts,
            OUTCOMES
                .iter()
                .zip(f.outcomes)
                .filter(|o| o.1 > 0)
                .map(|(n, c)| format!("{c} {n}"))
                .collect::<Vec<_>>()
                .join(", ")
        );
        let row = |out: &mut String, name: &str, t: &Tally| {
            let _ = writeln!(
                out,
                "{:<24} {:>8} {:>10} {:>7.3} {:>8} {:>8} {:>8}",
                name,
                t.messages,
                t.delivered,
                t.value.share(),
                t.time(0.5),
                t.time(0.99),
                t.time(0.999)
            );
        };
        let _ = writeln!(
            out,
            "\n{:<24} {:>8} {:>10} {:>7} {:>8} {:>8} {:>8}",
            "", "messages", "delivered", "worth", "p50 ms", "p99 ms", "p99.9"
        );
        for (name, t) in self.world.names.tenants.iter().zip(&f.by_channel) {
            row(&mut out, name, t);
        }
        out.push('\n');
        // The worst first; a page has all of them.
        const ROWS: usize = 20;
        let mut destinations: Vec<_> = self.world.destination_names.iter().zip(&f.by_destination).collect();
        if destinations.len() > ROWS {
            destinations.sort_by(|a, b| a.1.value.share().total_cmp(&b.1.value.share()));
        }
        for (name, t) in destinations.iter().take(ROWS) {
            row(&mut out, name, t);
        }
        if destinations.len() > ROWS {
            let _ = writeln!(out, "... and {} more that fared better", destinations.len() - ROWS);
        }
        if !f.upgrades.is_empty() {
            let of = |what: fn(&Upgrade) -> u64| {
                let mut all: Vec<u64> = f.upgrades.iter().map(what).collect();
                all.sort_unstable();
                (all[all.len() / 2] as f64 / 1e3, all[all.len() - 1] as f64 / 1e3)
            };
            let (ready, left) = (of(|u| u.ready), of(|u| u.left));
            let door: usize = f.upgrades.iter().map(|u| u.rejected_during_upgrade).sum();
            let _ = writeln!(
                out,
                "\n{} processes replaced: the new one took clients after {:.0} ms at the median, {:.0} ms at most; the old \
                 one left after {:.0} ms, {:.0} ms at most; {door} hand-ins ended at the door",
                f.upgrades.len(),
                ready.0,
                ready.1,
                left.0,
                left.1
            );
        }
        for b in self.violations.iter().take(10) {
            let _ = writeln!(out, "BROKEN {b}");
        }
        if self.violations.len() > 10 {
            let _ = writeln!(out, "... and {} more", self.violations.len() - 10);
        }
        out
    }

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
                let line = line.iter().map(|(at, s)| json!([Self::s(*at), s.name()]));
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
        for (name, fine, what) in self.checks().into_iter().filter(|c| c.0 != "rules") {
            case(format!("expected {name}"), fine, what);
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

    /// The page: one file with its plots in it.
    pub fn page(&self) -> Result<String, Box<dyn std::error::Error>> {
        let title = escaped(&self.scenario.title);
        let mut out = format!(
            "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
             <body style=\"font-family: sans-serif; max-width: 62em; margin: 2em auto\">\n<h1>{title}</h1>\n\
             <p><b>{}</b></p>\n<p>{}</p>\n",
            escaped(&self.headline()),
            escaped(&self.run_mode())
        );
        if !self.violations.is_empty() {
            out += "<h2>Rules broken</h2>\n<ul>\n";
            for b in self.violations.iter().take(200) {
                let _ = writeln!(out, "<li>{}</li>", escaped(&b.to_string()));
            }
            out += "</ul>\n";
        }
        for (heading, draw) in [
            ("Worth by the time of the hand-in", Self::draw_value as fn(&Self, &mut String) -> PlotResult),
            ("Held and in flight", Self::draw_held),
            ("Breakers", Self::draw_breakers),
            ("Delivery times by channel", Self::draw_times),
            ("Attempts by outcome", Self::draw_outcomes),
        ] {
            let mut svg = String::new();
            draw(self, &mut svg)?;
            let _ = writeln!(out, "<h2>{heading}</h2>\n{svg}");
        }
        out += "<h2>By channel and partner</h2>\n<table cellpadding=\"4\"><tr><th><th>messages<th>delivered<th>worth\
                <th>p50 ms<th>p90<th>p99<th>p99.9</tr>\n";
        let f = self.figures;
        let channels = self.world.names.tenants.iter().zip(&f.by_channel);
        for (name, t) in channels.chain(self.world.destination_names.iter().zip(&f.by_destination)) {
            let _ = writeln!(
                out,
                "<tr><td>{}<td align=right>{}<td align=right>{}<td align=right>{:.3}<td align=right>{}\
                 <td align=right>{}<td align=right>{}<td align=right>{}</tr>",
                escaped(name),
                t.messages,
                t.delivered,
                t.value.share(),
                t.time(0.5),
                t.time(0.9),
                t.time(0.99),
                t.time(0.999)
            );
        }
        Ok(out + "</table></body></html>\n")
    }

    /// Seconds from the day's begin.
    fn s(at: Micros) -> f64 {
        at.saturating_sub(START) as f64 / 1e6
    }

    /// The end of the plots' time.
    fn end(&self) -> f64 {
        let last = self.figures.samples.last().map_or(self.world.end, |s| s.at);
        Self::s(last.max(self.world.end))
    }

    fn draw_value(&self, svg: &mut String) -> PlotResult {
        let root = SVGBackend::with_string(svg, (820, 300)).into_drawing_area();
        root.fill(&WHITE)?;
        let end = self.end();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..end, 0.0..1.06)?;
        for (n, (destination, from, to, fault)) in self.world.faults.iter().enumerate().take(40) {
            let (from, to) = (Self::s(*from), Self::s(*to));
            let c = colour(n + 1);
            let band = Rectangle::new([(from, 0.0), (to, 1.06)], c.mix(0.10).filled());
            chart.draw_series([band])?;
            let label = format!("{} {}", self.world.destination_names[*destination], word(*fault));
            let place = (from, 1.04 - 0.06 * (n % 8) as f64);
            chart.draw_series([Text::new(label, place, ("sans-serif", 10).into_font().color(&c))])?;
        }
        for stop in &self.world.stops {
            let at = Self::s(stop.at);
            chart.draw_series([PathElement::new([(at, 0.0), (at, 1.06)], BLACK.mix(0.6))])?;
            let label = format!("forwarder {} {:?}", stop.forwarder + 1, stop.signal);
            let font = ("sans-serif", 10).into_font().transform(FontTransform::Rotate270);
            chart.draw_series([Text::new(label, (at, 0.3), font)])?;
        }
        chart.configure_mesh().disable_x_mesh().x_desc("s").y_desc("share of the worth").draw()?;
        let span = WINDOW as f64 / 1e6;
        let points =
            self.figures.windows.iter().enumerate().map(|(n, w)| ((n as f64 + 0.5) * span, w.share()));
        chart.draw_series(LineSeries::new(points, colour(0).stroke_width(3)))?;
        root.present()?;
        Ok(())
    }

    fn draw_held(&self, svg: &mut String) -> PlotResult {
        let root = SVGBackend::with_string(svg, (820, 220)).into_drawing_area();
        root.fill(&WHITE)?;
        let samples = &self.figures.samples;
        let most = samples.iter().map(|s| s.open_messages.max(s.in_flight)).max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..self.end(), 0.0..most * 1.05)?;
        chart.configure_mesh().disable_x_mesh().x_desc("s").y_desc("messages, calls").draw()?;
        let held = samples.iter().map(|s| (Self::s(s.at), s.open_messages as f64));
        let out = samples.iter().map(|s| (Self::s(s.at), s.in_flight as f64));
        let legend = |c: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2));
        chart
            .draw_series(LineSeries::new(held, colour(0).stroke_width(2)))?
            .label("held")
            .legend(legend(colour(0)));
        let line = chart.draw_series(LineSeries::new(out, colour(1).stroke_width(1)))?;
        line.label("calls out").legend(legend(colour(1)));
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }

    /// A line a partner: closed, half and open, with its troubles above.
    fn draw_breakers(&self, svg: &mut String) -> PlotResult {
        let shown = self.world.destination_names.len().min(64);
        let height = 60 + 18 * shown as u32;
        let root = SVGBackend::with_string(svg, (820, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let end = self.end();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(110)
            .build_cartesian_2d(0.0..end, 0.0..shown as f64)?;
        let names = &self.world.destination_names;
        let name = |y: &f64| names.get(shown.wrapping_sub(1 + *y as usize)).cloned().unwrap_or_default();
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("s: green closed, amber half, red open; grey lines are troubles")
            .y_labels(shown + 1)
            .y_label_formatter(&name)
            .draw()?;
        let place = |destination: usize| (shown - 1 - destination) as f64;
        for (destination, line) in self.figures.breakers.iter().enumerate().take(shown) {
            let y = place(destination);
            let ends = line.iter().map(|l| Self::s(l.0)).skip(1).chain([end]);
            let first = line.first().map_or(end, |l| Self::s(l.0));
            let spans = line.iter().zip(ends).map(|(l, to)| (Self::s(l.0), to, l.1));
            for (from, to, status) in [(0.0, first, BreakerState::Closed)].into_iter().chain(spans) {
                let c = match status {
                    BreakerState::Closed => RGBColor(0x6a, 0xb0, 0x6a),
                    BreakerState::HalfOpen => RGBColor(0xe0, 0xa0, 0x30),
                    BreakerState::Open => RGBColor(0xcc, 0x33, 0x33),
                };
                chart.draw_series([Rectangle::new([(from, y + 0.15), (to, y + 0.7)], c.filled())])?;
            }
        }
        for (destination, from, to, _) in self.world.faults.iter().filter(|t| t.0 < shown) {
            let y = place(*destination) + 0.85;
            let line = [(Self::s(*from), y), (Self::s(*to), y)];
            chart.draw_series([PathElement::new(line, RGBColor(0x55, 0x55, 0x55).stroke_width(2))])?;
        }
        root.present()?;
        Ok(())
    }

    fn draw_times(&self, svg: &mut String) -> PlotResult {
        let root = SVGBackend::with_string(svg, (820, 260)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d((10.0..30_000.0f64).log_scale(), 0.0..1.02)?;
        chart.configure_mesh().x_desc("from the hand-in, ms").y_desc("share of the delivered").draw()?;
        for (n, (name, t)) in self.world.names.tenants.iter().zip(&self.figures.by_channel).enumerate() {
            let c = colour(n);
            let points = (1..=200).map(|p| {
                let q = f64::from(p) / 200.0;
                ((t.time(q) as f64).max(10.0), q)
            });
            let line = chart.draw_series(LineSeries::new(points, c.stroke_width(2)))?;
            line.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }

    fn draw_outcomes(&self, svg: &mut String) -> PlotResult {
        let root = SVGBackend::with_string(svg, (820, 200)).into_drawing_area();
        root.fill(&WHITE)?;
        let all: Vec<(&str, u64)> =
            OUTCOMES.iter().copied().zip(self.figures.outcomes).filter(|o| o.1 > 0).collect();
        let most = all.iter().map(|o| o.1).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..all.len().max(1) as f64, 0.0..most as f64 * 1.15)?;
        chart.configure_mesh().disable_mesh().x_labels(0).y_desc("attempts").draw()?;
        for (n, (name, count)) in all.iter().enumerate() {
            let x = n as f64;
            let bar = [(x + 0.15, 0.0), (x + 0.85, *count as f64)];
            chart.draw_series([Rectangle::new(bar, colour(n).filled())])?;
            let label = format!("{name}: {count}");
            let place = (x + 0.15, *count as f64 + most as f64 * 0.09);
            chart.draw_series([Text::new(label, place, ("sans-serif", 12).into_font())])?;
        }
        root.present()?;
        Ok(())
    }
}

/// What a trouble is called in a scenario.
pub fn word(fault: Fault) -> String {
    match fault {
        Fault::Slow(factor) => format!("slow ×{factor}"),
        Fault::FailCalls(share) => format!("fails {:.0}%", share * 100.0),
        Fault::Hang => "hangs".into(),
        Fault::RefuseConnections => "refuses".into(),
        Fault::RejectAll => "shut".into(),
        Fault::Silent => "silent".into(),
        Fault::ResetConnections => "resets".into(),
        Fault::HalfOpenConnections => "half-open".into(),
        Fault::ReducedLimit(share) => format!("limit at {:.0}%", share * 100.0),
    }
}

/// The colour of a plot's line, by its place.
pub fn colour(at: usize) -> RGBColor {
    const ALL: [RGBColor; 6] = [
        RGBColor(0x33, 0x66, 0xaa),
        RGBColor(0xcc, 0x66, 0x22),
        RGBColor(0x33, 0x88, 0x44),
        RGBColor(0x88, 0x44, 0x88),
        RGBColor(0xaa, 0x33, 0x55),
        RGBColor(0x66, 0x66, 0x66),
    ];
    ALL[at % ALL.len()]
}

/// A text as HTML has it.
pub fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
