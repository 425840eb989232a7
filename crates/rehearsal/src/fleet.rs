//! Simulates fleets of several sizes with the same workload in virtual time. The result has the share of the value that
//! each fleet delivers, the rejected calls, how soon the fleet uses a destination that recovers, and how evenly its
//! forwarders deliver.

use crate::environment::{Environment, ForwarderSetup, PlannedFault, PlannedResize, PlannedStop, RUN_START};
use crate::figures::Figures;
use crate::plot::{colour, escape_html, PlotResult};
use crate::report::mean;
use crate::scenario::{Fleet, Scenario, Signal};
use crate::scenario_environment::build_environment;
use crate::simulation::simulate;
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
/// A destination has recovered once the deliveries of one second reach this share of the mean before the outage.
const RECOVERED_SHARE: f64 = 0.9;
/// The step in which the start of that second is searched.
const SEARCH_STEP: Micros = SECOND / 10;
/// Changes the seed, so that the fleet's random draws are independent of the environment's.
const SEED_MASK: u64 = 0xf1ee7;

/// How forwarders get their turns to send to a destination that recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOrder {
    /// By their indexes in the fleet.
    Indexed,
    /// At random: no forwarder has an index.
    Random,
    /// A single forwarder with the capacity of all. It is the reference for what a fleet without coordination loses.
    Single,
}

impl TurnOrder {
    /// The label that the progress lines of the command `fleet` print.
    pub fn progress_label(self) -> &'static str {
        match self {
            TurnOrder::Indexed => "Places",
            TurnOrder::Random => "Chance",
            TurnOrder::Single => "One",
        }
    }

    /// The name in tables, plots and JSON.
    fn name(self) -> &'static str {
        match self {
            TurnOrder::Indexed => "places",
            TurnOrder::Random => "chance",
            TurnOrder::Single => "one for all",
        }
    }
}

/// The result of one run.
#[derive(Clone, Debug)]
pub struct FleetRunResult {
    /// The share of the value that was delivered.
    pub delivered_share: f64,
    /// The delivered share minus the penalties.
    pub penalized_share: f64,
    /// The share of attempts that destinations rejected.
    pub rejected_share: f64,
    /// The number of connections made, per message.
    pub connections_per_message: f64,
    /// The longest time from the end of an outage to the destination's first delivery; `None` without an outage.
    pub time_to_first_delivery: Option<Micros>,
    /// The longest time from the end of an outage until one second's deliveries reach 90% of the mean before the
    /// outage, or else to the end of the run; `None` without an outage.
    pub time_to_full_rate: Option<Micros>,
    /// Jain's fairness index of the shares that the forwarders delivered of their messages: 1 if all shares are equal.
    pub fairness: f64,
    /// The calls in a second as a multiple of the limit, averaged over all seconds of all destinations with a limit.
    pub mean_offered_load: f64,
    /// The share of these seconds in which the calls exceeded the limit.
    pub overload_share: f64,
    /// The largest number of calls in a second, as a multiple of the limit.
    pub peak_offered_load: f64,
    /// Descriptions of the rule violations in the run.
    pub violations: Vec<String>,
}

/// The runs of one fleet.
pub struct Row {
    /// The number of forwarders at the start.
    pub count: usize,
    /// How the forwarders get their turns.
    pub turn_order: TurnOrder,
    /// The results of the runs, in the order of their seeds.
    pub runs: Vec<FleetRunResult>,
}

/// Builds the environment of a scenario's run for a fleet.
pub fn build_fleet_environment(
    scenario: &Scenario,
    count: usize,
    turn_order: TurnOrder,
    seed: u64,
) -> Environment {
    let mut scenario = scenario.clone();
    scenario.forwarders.count = if turn_order == TurnOrder::Single { 1 } else { count };
    let mut environment = build_environment(&scenario, seed, None);
    if let Some(fleet) = scenario.fleet.as_ref().filter(|_| turn_order != TurnOrder::Single) {
        configure_fleet(&mut environment, &scenario, &fleet.value, turn_order, seed);
    }
    environment
}

/// Sets the forwarders' indexes, clocks, stops and shares of the traffic.
fn configure_fleet(
    environment: &mut Environment,
    scenario: &Scenario,
    fleet: &Fleet,
    turn_order: TurnOrder,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK);
    let count = environment.fleet.len();
    let run_time = |time| RUN_START + scenario.resolve_time(time).expect("the scenario was checked");
    environment.fleet_sizes = vec![PlannedResize { at: RUN_START, count, propagation_time: 0 }];
    let resizes = fleet.resizes.iter().map(|r| PlannedResize {
        at: run_time(&r.at),
        count: r.count.value,
        propagation_time: r.propagation_time.0,
    });
    environment.fleet_sizes.extend(resizes);
    let max_count = environment.fleet_sizes.iter().map(|s| s.count).max().unwrap_or(count);
    environment.forwarder_count_factor = fleet.forwarder_count_factor;
    environment.fleet = (0..max_count as u64)
        .map(|n| {
            let clock_offset = rng.random_range(0..=fleet.clock_skew.0);
            let (unindexed, duplicate) =
                (rng.random_bool(fleet.unindexed_share), rng.random_bool(fleet.duplicate_index_share));
            let index = n - u64::from(duplicate && n > 0);
            ForwarderSetup {
                index: (!unindexed && turn_order == TurnOrder::Indexed).then_some(index),
                clock_offset,
            }
        })
        .collect();
    if let Some(outage) = &fleet.outage {
        let mut killed: Vec<usize> = (0..count).collect();
        killed.shuffle(&mut rng);
        killed.truncate((count as f64 * outage.share).round() as usize);
        let (at, restart_delay) = (run_time(&outage.at), outage.duration.0);
        environment.stops = killed
            .into_iter()
            .map(|forwarder| PlannedStop { forwarder, at, signal: Signal::Kill, restart_delay })
            .collect();
    }
    // A forwarder's share of the traffic is independent of its index.
    let mut ranks: Vec<usize> = (0..max_count).collect();
    ranks.shuffle(&mut rng);
    let mut sum = 0.0;
    let cumulative_shares: Vec<f64> = ranks
        .iter()
        .map(|r| {
            sum += 1.0 / ((r + 1) as f64).powf(fleet.traffic_skew);
            sum
        })
        .collect();
    for request in &mut environment.requests {
        let size = environment.fleet_sizes.iter().rfind(|s| s.at <= request.at).map_or(count, |s| s.count);
        let draw = rng.random::<f64>() * cumulative_shares[size - 1];
        request.forwarder = cumulative_shares[..size].partition_point(|s| *s <= draw).min(size - 1);
    }
}

/// Simulates one run of a fleet.
pub fn simulate_fleet_run(
    scenario: &Scenario,
    route_table: Option<Arc<RouteTable>>,
    count: usize,
    turn_order: TurnOrder,
    seed: u64,
) -> FleetRunResult {
    let environment = build_fleet_environment(scenario, count, turn_order, seed);
    let (figures, violations) = simulate(&environment, route_table, seed);
    let penalties = scenario.fleet.as_ref().map(|f| f.value.penalties).unwrap_or_default();
    FleetRunResult {
        violations: violations.iter().map(ToString::to_string).collect(),
        ..summarize(&environment, &figures, penalties)
    }
}

/// Computes the result of a run, without the violations.
fn summarize(
    environment: &Environment,
    figures: &Figures,
    penalties: crate::scenario::Penalties,
) -> FleetRunResult {
    let messages = environment.requests.len().max(1) as f64;
    // Outcome 2 is `Outcome::Rejected`; see `outcome_index`.
    let (delivered_share, rejected) = (figures.value().share(), figures.outcomes[2] as f64);
    let connections_per_message = figures.connections as f64 / messages;
    let shares = figures.by_forwarder.iter().filter(|v| v.offered > 0.0).map(|v| v.share());
    let (n, sum, squares) = shares.fold((0.0, 0.0, 0.0), |a, x| (a.0 + 1.0, a.1 + x, a.2 + x * x));
    let (mut seconds, mut overloaded, mut peak, mut total) = (0u32, 0u32, 0.0f64, 0.0f64);
    for (destination, model) in environment.destinations.iter().enumerate() {
        let Some(limit) = model.limit else { continue };
        for (second, calls) in figures.calls_by_second[destination].iter().enumerate() {
            let at = RUN_START + second as Micros * SECOND;
            let active = environment.faults.iter().filter(|f| f.applies(destination, at));
            let current_limit = limit * active.filter_map(|f| f.fault.limit_share()).product::<f64>();
            let load = f64::from(*calls) / current_limit;
            (seconds, overloaded, peak) = (seconds + 1, overloaded + u32::from(load > 1.0), peak.max(load));
            total += load;
        }
    }
    let outages = || environment.faults.iter().filter(|f| f.fault.is_outage());
    let until_end = |f: &PlannedFault| environment.end.saturating_sub(f.end);
    FleetRunResult {
        delivered_share,
        penalized_share: delivered_share
            - penalties.rejected_attempts * rejected / messages
            - penalties.connections * connections_per_message,
        rejected_share: rejected / (figures.attempts as f64).max(1.0),
        connections_per_message,
        time_to_first_delivery: outages()
            .map(|f| figures.next_delivery(f.destination, f.end).unwrap_or(until_end(f)))
            .max(),
        time_to_full_rate: outages().map(|f| time_to_full_rate(figures, f).unwrap_or(until_end(f))).max(),
        fairness: if squares > 0.0 { sum * sum / (n * squares) } else { 1.0 },
        mean_offered_load: total / f64::from(seconds.max(1)),
        overload_share: f64::from(overloaded) / f64::from(seconds.max(1)),
        peak_offered_load: peak,
        violations: Vec::new(),
    }
}

/// The time from the end of an outage until one second's deliveries reach [`RECOVERED_SHARE`] of the mean before; `None`
/// if none does.
fn time_to_full_rate(figures: &Figures, fault: &PlannedFault) -> Option<Micros> {
    let (start, end) = (fault.start, fault.end);
    let deliveries = &figures.deliveries[fault.destination];
    let between = |from: Micros, to: Micros| {
        deliveries.partition_point(|t| *t < to) - deliveries.partition_point(|t| *t < from)
    };
    let before = between(RUN_START, start) as f64 * SECOND as f64 / (start - RUN_START).max(1) as f64;
    let last = *deliveries.last()?;
    let mut at = end;
    while at <= last {
        if between(at, at + SECOND) as f64 >= RECOVERED_SHARE * before {
            return Some(at - end);
        }
        at += SEARCH_STEP;
    }
    None
}

/// A figure of a run: its name in the table, its title in the page, and its value. In the titles, "worth" is the value of
/// messages, "prices" are the penalties, "a return" is the end of an outage, and "over" a limit means divided by it.
type Column = (&'static str, &'static str, fn(&FleetRunResult) -> f64);

const COLUMNS: [Column; 10] = [
    ("served", "share of the worth delivered", |r| r.delivered_share),
    ("priced", "the same less the prices", |r| r.penalized_share),
    ("refused", "refused calls of all", |r| r.rejected_share),
    ("connects", "connections made for each message", |r| r.connections_per_message),
    ("first s", "from a return to the first delivery, s", |r| {
        r.time_to_first_delivery.map_or(f64::NAN, |t| t as f64 / 1e6)
    }),
    ("rate s", "from a return to 90% of the rate, s", |r| {
        r.time_to_full_rate.map_or(f64::NAN, |t| t as f64 / 1e6)
    }),
    ("jain", "Jain's index of the served shares", |r| r.fairness),
    ("offered", "calls over the limits, in the mean", |r| r.mean_offered_load),
    ("over", "share of seconds over a limit", |r| r.overload_share),
    ("worst", "the worst second, in limits", |r| r.peak_offered_load),
];

impl Row {
    /// The mean of a figure over the runs, and half the width of its 95% confidence interval.
    fn mean_of(&self, figure: fn(&FleetRunResult) -> f64) -> (f64, f64) {
        mean(&self.runs.iter().map(figure).collect::<Vec<_>>())
    }

    fn violations(&self) -> usize {
        self.runs.iter().map(|r| r.violations.len()).sum()
    }
}

/// The table of the figures, and the first rule violations of each fleet. In it, "days" are runs, and "broken" counts rule
/// violations.
pub fn table(scenario: &Scenario, rows: &[Row]) -> String {
    let runs = rows.first().map_or(0, |r| r.runs.len());
    let mut out =
        format!("{}: {runs} days a row, means\n\n{:>10} {:<12}", scenario.title, "forwarders", "turns by");
    COLUMNS.iter().for_each(|c| out += &format!(" {:>9}", c.0));
    out += &format!(" {:>7}\n", "broken");
    for row in rows {
        let _ = write!(out, "{:>10} {:<12}", row.count, row.turn_order.name());
        for c in COLUMNS {
            let value = row.mean_of(c.2).0;
            out += &if value.is_nan() { format!(" {:>9}", "-") } else { format!(" {value:>9.3}") };
        }
        let _ = writeln!(out, " {:>7}", row.violations());
    }
    for row in rows {
        for violation in row.runs.iter().flat_map(|r| &r.violations).take(5) {
            let _ = writeln!(out, "BROKEN {} {}: {violation}", row.count, row.turn_order.name());
        }
    }
    out
}

/// The figures as JSON, for scripts.
pub fn as_json(scenario: &Scenario, rows: &[Row]) -> Value {
    let finite = |x: f64| if x.is_finite() { json!(x) } else { Value::Null };
    let row = |r: &Row| {
        let mut figures: serde_json::Map<String, Value> = COLUMNS
            .iter()
            .map(|c| {
                let (value, half) = r.mean_of(c.2);
                (c.0.replace(' ', "_"), json!({"mean": finite(value), "half_interval": finite(half)}))
            })
            .collect();
        figures.insert("forwarders".into(), json!(r.count));
        figures.insert("turns".into(), json!(r.turn_order.name()));
        figures.insert("days".into(), json!(r.runs.len()));
        figures.insert("broken".into(), json!(r.violations()));
        Value::Object(figures)
    };
    json!({"title": scenario.title, "fleets": rows.iter().map(row).collect::<Vec<_>>()})
}

/// Descriptions of the scenario's expectations that the fleets with [`TurnOrder::Indexed`] did not meet. Other fleets are
/// not checked.
pub fn unmet_expectations(scenario: &Scenario, rows: &[Row]) -> Vec<String> {
    let mut all = Vec::new();
    for row in rows.iter().filter(|r| r.turn_order == TurnOrder::Indexed) {
        let (count, expect) = (row.count, &scenario.expect);
        if row.violations() > expect.max_violations {
            all.push(format!(
                "{count} forwarders: {} rules broken, {} allowed",
                row.violations(),
                expect.max_violations
            ));
        }
        let smallest = row.runs.iter().map(|r| r.delivered_share).fold(f64::INFINITY, f64::min);
        if let Some(expected) = expect.min_delivered_share.as_ref().filter(|e| smallest < e.value) {
            all.push(format!(
                "{count} forwarders: {smallest:.3} served, {} expected at least",
                expected.value
            ));
        }
        let longest = row.runs.iter().filter_map(|r| r.time_to_first_delivery).max().unwrap_or(0);
        if let Some(limit) = expect.max_recovery_time.filter(|l| longest > l.0) {
            let ms = (longest / 1000, limit.0 / 1000);
            all.push(format!(
                "{count} forwarders: {} ms from a return to the first delivery, {} at most",
                ms.0, ms.1
            ));
        }
    }
    all
}

/// The width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (520, 260);

/// Plots a figure over the fleet's size, with a line for each turn order.
fn plot(rows: &[Row], column: Column, svg: &mut String) -> PlotResult {
    let value = |r: &Row| (r.count.max(1) as f64, r.mean_of(column.2).0);
    let all: Vec<(f64, f64)> = rows.iter().map(value).filter(|p| p.1.is_finite()).collect();
    let max_value = all.iter().map(|p| p.1).fold(0.0, f64::max).max(1e-6) * 1.08;
    let counts = all.iter().map(|p| p.0).fold((f64::INFINITY, 1.0f64), |a, x| (a.0.min(x), a.1.max(x)));
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(column.1, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d((counts.0.min(counts.1) * 0.9..counts.1 * 1.1).log_scale(), 0.0..max_value)?;
    chart.configure_mesh().x_desc("forwarders").x_label_formatter(&|x| format!("{x:.0}")).draw()?;
    for (n, turn_order) in [TurnOrder::Indexed, TurnOrder::Random, TurnOrder::Single].into_iter().enumerate()
    {
        let points: Vec<_> = rows
            .iter()
            .filter(|r| r.turn_order == turn_order)
            .map(value)
            .filter(|p| p.1.is_finite())
            .collect();
        let Some(first) = points.first().copied() else { continue };
        let c = colour(n);
        // The single forwarder has only one size, so its value is drawn as a horizontal line.
        let line = if turn_order == TurnOrder::Single {
            vec![(counts.0, first.1), (counts.1, first.1)]
        } else {
            points
        };
        let drawn = chart.draw_series(LineSeries::new(line, c.stroke_width(2)))?;
        drawn
            .label(turn_order.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2)));
    }
    chart.configure_series_labels().position(SeriesLabelPosition::LowerLeft).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// The HTML page: the table and a plot of each figure.
///
/// # Errors
/// A plot cannot be drawn.
pub fn page(scenario: &Scenario, rows: &[Row]) -> Result<String, Box<dyn std::error::Error>> {
    let title = escape_html(&scenario.title);
    let mut out = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <body style=\"font-family: sans-serif; max-width: 80em; margin: 2em auto\">\n<h1>{title}</h1>\n<pre>\n{}</pre>\n",
        escape_html(&table(scenario, rows))
    );
    for column in COLUMNS {
        let mut svg = String::new();
        plot(rows, column, &mut svg)?;
        out += &svg;
        out.push('\n');
    }
    Ok(out + "</body></html>\n")
}
