//! Fleets of several sizes that play one day in virtual time: what each serves, what is rejected, how soon it uses a
//! destination that recovers, and how evenly its forwarders fare.

use crate::figures::Figures;
use crate::plot::{colour, escaped, PlotResult};
use crate::report::mean;
use crate::scenario::{Fleet, Scenario, Signal};
use crate::scenario_day::day;
use crate::simulation::simulate;
use crate::world::{ForwarderProfile, PlannedFault, PlannedSize, PlannedStop, World, START};
use cedarbridge::routes::RouteTable;
use cedarbridge::Micros;
use plotters::prelude::*;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::fmt::Write;
use std::sync::Arc;

const SECOND: Micros = 1_000_000;
/// A destination is back at its rate once a second brings this share of its mean before.
const BACK: f64 = 0.9;
/// That second is looked for in steps of this.
const STEP: Micros = SECOND / 10;
/// Keeps the fleet's random draws apart from the day's.
const APART: u64 = 0xf1ee7;

/// How forwarders get their turns at a destination that recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOrder {
    /// By their indexes in the fleet.
    Numbered,
    /// At random: none has an index.
    Random,
    /// A single forwarder with the capacity of all, the reference for what a fleet without coordination loses.
    Single,
}

impl TurnOrder {
    /// The label that the progress lines of the command `fleet` print.
    pub fn progress_label(self) -> &'static str {
        match self {
            TurnOrder::Numbered => "Places",
            TurnOrder::Random => "Chance",
            TurnOrder::Single => "One",
        }
    }

    fn name(self) -> &'static str {
        match self {
            TurnOrder::Numbered => "places",
            TurnOrder::Random => "chance",
            TurnOrder::Single => "one for all",
        }
    }
}

/// The result of one day.
#[derive(Clone, Debug)]
pub struct DayResult {
    /// The share of the value that was delivered.
    pub served: f64,
    /// The same less the prices.
    pub priced: f64,
    /// Calls that were refused, as a share of all.
    pub refused: f64,
    /// Connections made, for each message.
    pub connections: f64,
    /// The longest time from a destination's recovery to its first delivery; none without a recovery.
    pub first: Option<Micros>,
    /// The longest time from a recovery to the rate from before; at most up to the day's end.
    pub rate: Option<Micros>,
    /// Jain's fairness index of the share that each forwarder served of its messages: 1 if all served alike.
    pub fairness: f64,
    /// Calls that reached destinations with a limit, over that limit, in the mean.
    pub offered: f64,
    /// The share of seconds in which a destination was sent more calls than its limit, over all that have one.
    pub over: f64,
    /// The worst such second, as a multiple of the limit.
    pub worst: f64,
    /// Rules broken.
    pub violations: Vec<String>,
}

/// Days of one fleet.
pub struct Row {
    /// How many forwarders it has at the begin.
    pub count: usize,
    /// How they get their turns.
    pub turns: TurnOrder,
    /// The days, by seed.
    pub days: Vec<DayResult>,
}

/// The day of a scenario for a fleet.
pub fn draw(scenario: &Scenario, count: usize, turns: TurnOrder, seed: u64) -> World {
    let mut scenario = scenario.clone();
    scenario.forwarders.count = if turns == TurnOrder::Single { 1 } else { count };
    let mut world = day(&scenario, seed, None);
    if let Some(fleet) = scenario.fleet.as_ref().filter(|_| turns != TurnOrder::Single) {
        assign_forwarders(&mut world, &scenario, &fleet.value, turns, seed);
    }
    world
}

/// Gives the day its forwarders, with their indexes, clocks, stops and shares of the traffic.
fn assign_forwarders(world: &mut World, scenario: &Scenario, of: &Fleet, turns: TurnOrder, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ APART);
    let count = world.fleet.len();
    let moment = |m| START + scenario.moment(m).expect("checked as it was read");
    world.sizes = vec![PlannedSize { at: START, count, within: 0 }];
    let later =
        of.sizes.iter().map(|s| PlannedSize { at: moment(&s.at), count: s.count.value, within: s.within.0 });
    world.sizes.extend(later);
    let most = world.sizes.iter().map(|s| s.count).max().unwrap_or(count);
    world.forwarder_count_factor = of.forwarder_count_factor;
    world.fleet = (0..most as u64)
        .map(|n| {
            let clock = rng.random_range(0..=of.clocks.0);
            let (bare, doubled) = (rng.random_bool(of.unnumbered), rng.random_bool(of.doubled));
            let number = n - u64::from(doubled && n > 0);
            ForwarderProfile { number: (!bare && turns == TurnOrder::Numbered).then_some(number), clock }
        })
        .collect();
    if let Some(dead) = &of.dead {
        let mut all: Vec<usize> = (0..count).collect();
        all.shuffle(&mut rng);
        all.truncate((count as f64 * dead.share).round() as usize);
        let (at, back) = (moment(&dead.at), dead.lasts.0);
        world.stops = all
            .into_iter()
            .map(|forwarder| PlannedStop { forwarder, at, signal: Signal::Kill, back })
            .collect();
    }
    // A forwarder's share of the traffic is independent of its index.
    let mut ranks: Vec<usize> = (0..most).collect();
    ranks.shuffle(&mut rng);
    let mut sum = 0.0;
    let upto: Vec<f64> = ranks
        .iter()
        .map(|r| {
            sum += 1.0 / ((r + 1) as f64).powf(of.uneven);
            sum
        })
        .collect();
    for request in &mut world.requests {
        let size = world.sizes.iter().rfind(|s| s.at <= request.at).map_or(count, |s| s.count);
        let draw = rng.random::<f64>() * upto[size - 1];
        request.forwarder = upto[..size].partition_point(|s| *s <= draw).min(size - 1);
    }
}

/// Plays the day of one fleet.
pub fn simulate_fleet_day(
    scenario: &Scenario,
    plan: Option<Arc<RouteTable>>,
    count: usize,
    turns: TurnOrder,
    seed: u64,
) -> DayResult {
    let world = draw(scenario, count, turns, seed);
    let (figures, violations) = simulate(&world, plan, seed);
    let prices = scenario.fleet.as_ref().map(|f| f.value.prices).unwrap_or_default();
    DayResult {
        violations: violations.iter().map(ToString::to_string).collect(),
        ..summarize(&world, &figures, prices)
    }
}

fn summarize(world: &World, f: &Figures, prices: crate::scenario::Prices) -> DayResult {
    let messages = world.requests.len().max(1) as f64;
    let (served, full) = (f.value().share(), f.outcomes[2] as f64);
    let connections = f.connections as f64 / messages;
    let shares = f.by_forwarder.iter().filter(|w| w.offered > 0.0).map(|w| w.share());
    let (n, sum, squares) = shares.fold((0.0, 0.0, 0.0), |a, x| (a.0 + 1.0, a.1 + x, a.2 + x * x));
    let (mut seconds, mut over, mut worst, mut offered) = (0u32, 0u32, 0.0f64, 0.0f64);
    for (destination, model) in world.destinations.iter().enumerate() {
        let Some(limit) = model.limit else { continue };
        for (second, calls) in f.offered[destination].iter().enumerate() {
            let at = START + second as Micros * SECOND;
            let lowered = world.faults.iter().filter(|f| f.applies(destination, at));
            let now = limit * lowered.filter_map(|f| f.fault.limit_share()).product::<f64>();
            let part = f64::from(*calls) / now;
            (seconds, over, worst) = (seconds + 1, over + u32::from(part > 1.0), worst.max(part));
            offered += part;
        }
    }
    let returns = || world.faults.iter().filter(|f| f.fault.is_outage());
    let end = |t: &PlannedFault| world.end.saturating_sub(t.end);
    DayResult {
        served,
        priced: served - prices.refused * full / messages - prices.connections * connections,
        refused: full / (f.attempts as f64).max(1.0),
        connections,
        first: returns().map(|t| f.next_delivery(t.destination, t.end).unwrap_or(end(t))).max(),
        rate: returns().map(|t| back_at_rate(f, t).unwrap_or(end(t))).max(),
        fairness: if squares > 0.0 { sum * sum / (n * squares) } else { 1.0 },
        offered: offered / f64::from(seconds.max(1)),
        over: f64::from(over) / f64::from(seconds.max(1)),
        worst,
        violations: Vec::new(),
    }
}

/// How long after a destination's recovery a second brings [`BACK`] of its mean before.
fn back_at_rate(f: &Figures, fault: &PlannedFault) -> Option<Micros> {
    let (begin, end) = (fault.begin, fault.end);
    let all = &f.deliveries[fault.destination];
    let between =
        |from: Micros, to: Micros| all.partition_point(|t| *t < to) - all.partition_point(|t| *t < from);
    let before = between(START, begin) as f64 * SECOND as f64 / (begin - START).max(1) as f64;
    let last = *all.last()?;
    let mut at = end;
    while at <= last {
        if between(at, at + SECOND) as f64 >= BACK * before {
            return Some(at - end);
        }
        at += STEP;
    }
    None
}

/// A figure of a day: its name, what it is, and how it is drawn.
type Column = (&'static str, &'static str, fn(&DayResult) -> f64);

const COLUMNS: [Column; 10] = [
    ("served", "share of the worth delivered", |d| d.served),
    ("priced", "the same less the prices", |d| d.priced),
    ("refused", "refused calls of all", |d| d.refused),
    ("connects", "connections made for each message", |d| d.connections),
    ("first s", "from a return to the first delivery, s", |d| d.first.map_or(f64::NAN, |t| t as f64 / 1e6)),
    ("rate s", "from a return to 90% of the rate, s", |d| d.rate.map_or(f64::NAN, |t| t as f64 / 1e6)),
    ("jain", "Jain's index of the served shares", |d| d.fairness),
    ("offered", "calls over the limits, in the mean", |d| d.offered),
    ("over", "share of seconds over a limit", |d| d.over),
    ("worst", "the worst second, in limits", |d| d.worst),
];

impl Row {
    /// Mean and half of its 95% interval.
    fn of(&self, figure: fn(&DayResult) -> f64) -> (f64, f64) {
        mean(&self.days.iter().map(figure).collect::<Vec<_>>())
    }

    fn violations(&self) -> usize {
        self.days.iter().map(|d| d.violations.len()).sum()
    }
}

/// The table, and the rules that were broken.
pub fn table(scenario: &Scenario, rows: &[Row]) -> String {
    let days = rows.first().map_or(0, |r| r.days.len());
    let mut out =
        format!("{}: {days} days a row, means\n\n{:>10} {:<12}", scenario.title, "forwarders", "turns by");
    COLUMNS.iter().for_each(|c| out += &format!(" {:>9}", c.0));
    out += &format!(" {:>7}\n", "broken");
    for row in rows {
        let _ = write!(out, "{:>10} {:<12}", row.count, row.turns.name());
        for c in COLUMNS {
            let value = row.of(c.2).0;
            out += &if value.is_nan() { format!(" {:>9}", "-") } else { format!(" {value:>9.3}") };
        }
        let _ = writeln!(out, " {:>7}", row.violations());
    }
    for row in rows {
        for what in row.days.iter().flat_map(|d| &d.violations).take(5) {
            let _ = writeln!(out, "BROKEN {} {}: {what}", row.count, row.turns.name());
        }
    }
    out
}

/// The same for scripts.
pub fn as_json(scenario: &Scenario, rows: &[Row]) -> Value {
    let finite = |x: f64| if x.is_finite() { json!(x) } else { Value::Null };
    let row = |r: &Row| {
        let mut figures: serde_json::Map<String, Value> = COLUMNS
            .iter()
            .map(|c| {
                let (value, half) = r.of(c.2);
                (c.0.replace(' ', "_"), json!({"mean": finite(value), "half_interval": finite(half)}))
            })
            .collect();
        figures.insert("forwarders".into(), json!(r.count));
        figures.insert("turns".into(), json!(r.turns.name()));
        figures.insert("days".into(), json!(r.days.len()));
        figures.insert("broken".into(), json!(r.violations()));
        Value::Object(figures)
    };
    json!({"title": scenario.title, "fleets": rows.iter().map(row).collect::<Vec<_>>()})
}

/// The scenario's expectations that were not met.
pub fn unmet(scenario: &Scenario, rows: &[Row]) -> Vec<String> {
    let mut all = Vec::new();
    for row in rows.iter().filter(|r| r.turns == TurnOrder::Numbered) {
        let (count, expect) = (row.count, &scenario.expect);
        if row.violations() > expect.violations {
            all.push(format!(
                "{count} forwarders: {} rules broken, {} allowed",
                row.violations(),
                expect.violations
            ));
        }
        let least = row.days.iter().map(|d| d.served).fold(f64::INFINITY, f64::min);
        if let Some(expected) = expect.delivered_share.as_ref().filter(|w| least < w.value) {
            all.push(format!("{count} forwarders: {least:.3} served, {} expected at least", expected.value));
        }
        let longest = row.days.iter().filter_map(|d| d.first).max().unwrap_or(0);
        if let Some(most) = expect.returns.filter(|m| longest > m.0) {
            let ms = (longest / 1000, most.0 / 1000);
            all.push(format!(
                "{count} forwarders: {} ms from a return to the first delivery, {} at most",
                ms.0, ms.1
            ));
        }
    }
    all
}

const SIZE: (u32, u32) = (520, 260);

/// A figure over the fleet's size, a line for each way.
fn plot(rows: &[Row], column: Column, svg: &mut String) -> PlotResult {
    let value = |r: &Row| (r.count.max(1) as f64, r.of(column.2).0);
    let all: Vec<(f64, f64)> = rows.iter().map(value).filter(|p| p.1.is_finite()).collect();
    let most = all.iter().map(|p| p.1).fold(0.0, f64::max).max(1e-6) * 1.08;
    let counts = all.iter().map(|p| p.0).fold((f64::INFINITY, 1.0f64), |a, x| (a.0.min(x), a.1.max(x)));
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(column.1, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d((counts.0.min(counts.1) * 0.9..counts.1 * 1.1).log_scale(), 0.0..most)?;
    chart.configure_mesh().x_desc("forwarders").x_label_formatter(&|x| format!("{x:.0}")).draw()?;
    for (n, turns) in [TurnOrder::Numbered, TurnOrder::Random, TurnOrder::Single].into_iter().enumerate() {
        let points: Vec<_> =
            rows.iter().filter(|r| r.turns == turns).map(value).filter(|p| p.1.is_finite()).collect();
        let Some(first) = points.first().copied() else { continue };
        let c = colour(n);
        // The single forwarder has one figure, drawn across.
        let line =
            if turns == TurnOrder::Single { vec![(counts.0, first.1), (counts.1, first.1)] } else { points };
        let drawn = chart.draw_series(LineSeries::new(line, c.stroke_width(2)))?;
        drawn
            .label(turns.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2)));
    }
    chart.configure_series_labels().position(SeriesLabelPosition::LowerLeft).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// The page: the table and a plot of each figure.
pub fn page(scenario: &Scenario, rows: &[Row]) -> Result<String, Box<dyn std::error::Error>> {
    let title = escaped(&scenario.title);
    let mut out = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <body style=\"font-family: sans-serif; max-width: 80em; margin: 2em auto\">\n<h1>{title}</h1>\n<pre>\n{}</pre>\n",
        escaped(&table(scenario, rows))
    );
    for column in COLUMNS {
        let mut svg = String::new();
        plot(rows, column, &mut svg)?;
        out += &svg;
        out.push('\n');
    }
    Ok(out + "</body></html>\n")
}
