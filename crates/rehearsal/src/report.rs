//! The result of an experiment as a text table and as an HTML page with plots. The same figures give the same bytes.

use crate::experiment::Experiment;
use crate::figures::{DeliveredValue, Figures, WINDOW};
use crate::plot::{colour, escape_html, PlotResult};
use plotters::prelude::*;
use std::fmt::Write;

/// All runs of one load and variant.
pub struct Row {
    /// The range of the traffic, as shares of full load.
    pub load: (f64, f64),
    /// The variant's name.
    pub variant: String,
    /// The figures of the runs, in the order of their seeds.
    pub runs: Vec<Figures>,
    /// The rule violations, each with the seed of its run.
    pub violations: Vec<String>,
}

/// The two-sided 95% quantiles of Student's t distribution, by degrees of freedom from 1. Beyond them the quantile of the
/// normal distribution is used.
const T_95: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086,
];

/// The mean, and half the width of its 95% confidence interval; infinite for less than two values.
pub fn mean(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    if values.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = values.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = T_95.get(values.len() - 2).copied().unwrap_or(1.96);
    (mean, t * (variance / n).sqrt())
}

impl Row {
    fn values(&self, figure: impl Fn(&Figures) -> f64) -> Vec<f64> {
        self.runs.iter().map(figure).collect()
    }

    /// A quantile of the delivery times over all runs, in milliseconds.
    fn delivery_time(&self, faulty: bool, quantile: f64) -> u64 {
        let side = usize::from(!faulty);
        let mut times = self.runs[0].delivery_times[side].clone();
        for run in &self.runs[1..] {
            times.add(&run.delivery_times[side]).expect("histograms with the same bounds");
        }
        times.value_at_quantile(quantile)
    }
}

fn load_label(load: (f64, f64)) -> String {
    let percent = |x: f64| format!("{:.0}", x * 100.0);
    if load.0 == load.1 {
        format!("{}%", percent(load.0))
    } else {
        format!("{} to {}%", percent(load.0), percent(load.1))
    }
}

type Column = (&'static str, fn(&Figures) -> f64);

const SHARES: [Column; 3] = [
    ("worth", |f| f.value().share()),
    ("of the troubled", |f| f.faulty_value.share()),
    ("of the others", |f| f.healthy_value.share()),
];

/// The table: means over the runs, and the difference from the first variant on the same seeds with its 95% confidence
/// interval.
pub fn table(experiment: &Experiment, rows: &[Row]) -> String {
    let mut out = format!(
        "{}: {} days of {} s a row, {} forwarders, {} partners\n\n",
        experiment.title,
        experiment.seeds,
        experiment.duration.0 / 1_000_000,
        experiment.forwarders,
        experiment.destinations.count
    );
    let _ = writeln!(
        out,
        "{:<12} {:<22} {:>7} {:>16} {:>14} {:>11} {:>17} {:>15} {:>9} {:>8} {:>8} {:>7}",
        "load",
        "variant",
        "worth",
        "of the troubled",
        "of the others",
        "slots lost",
        "troubled p50/p99",
        "others p50/p99",
        "refused",
        "failed",
        "attempts",
        "broken"
    );
    write_means(&mut out, rows);
    write_differences(&mut out, rows);
    for row in rows {
        for violation in row.violations.iter().take(5) {
            let _ = writeln!(out, "BROKEN {} {}: {violation}", load_label(row.load), row.variant);
        }
    }
    out
}

fn write_means(out: &mut String, rows: &[Row]) {
    for row in rows {
        let mean_of = |f: fn(&Figures) -> f64| mean(&row.values(f)).0;
        let times =
            |faulty| format!("{}/{} ms", row.delivery_time(faulty, 0.5), row.delivery_time(faulty, 0.99));
        let _ = writeln!(
            out,
            "{:<12} {:<22} {:>7.3} {:>16.3} {:>14.3} {:>11.3} {:>17} {:>15} {:>9.1} {:>8.1} {:>8.0} {:>7}",
            load_label(row.load),
            row.variant,
            mean_of(SHARES[0].1),
            mean_of(SHARES[1].1),
            mean_of(SHARES[2].1),
            mean_of(Figures::slot_time_lost_share),
            times(true),
            times(false),
            mean_of(|f| f.rejected as f64),
            mean_of(|f| f.failed as f64),
            mean_of(|f| f.attempts as f64),
            row.violations.len()
        );
    }
}

fn write_differences(out: &mut String, rows: &[Row]) {
    let _ = writeln!(out, "\nchange against the first variant on the same days, mean and 95% interval");
    for row in rows {
        let first = rows.iter().find(|r| r.load == row.load).expect("itself at least");
        if std::ptr::eq(first, row) {
            continue;
        }
        let _ = write!(out, "{:<12} {:<22}", load_label(row.load), row.variant);
        for (name, figure) in SHARES {
            let differences: Vec<f64> =
                row.values(figure).iter().zip(first.values(figure)).map(|(a, b)| a - b).collect();
            let (change, half) = mean(&differences);
            let _ = write!(out, "  {name} {change:+.3} ±{half:.3}");
        }
        out.push('\n');
    }
}

/// The width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 300);

/// Plots the share of the value that was delivered over the time of the request, with a line for each variant.
fn draw_windows(rows: &[&Row], svg: &mut String) -> PlotResult {
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let windows = rows.iter().flat_map(|r| r.runs.iter().map(|run| run.windows.len())).max().unwrap_or(1);
    let span = WINDOW as f64 / 1e6;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("worth delivered, load {}", load_label(rows[0].load)), ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..windows as f64 * span, 0.0..1.02)?;
    chart.configure_mesh().x_desc("handed in at, s").y_desc("share of the worth").draw()?;
    for (n, row) in rows.iter().enumerate() {
        let points = (0..windows).map(|w| {
            let sum = row.runs.iter().filter_map(|run| run.windows.get(w)).fold(
                DeliveredValue::default(),
                |a, b| DeliveredValue {
                    offered: a.offered + b.offered,
                    delivered: a.delivered + b.delivered,
                },
            );
            ((w as f64 + 0.5) * span, sum.share())
        });
        let c = colour(n);
        let line = chart.draw_series(LineSeries::new(points, c.stroke_width(2)))?;
        line.label(&row.variant)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2)));
    }
    chart.configure_series_labels().position(SeriesLabelPosition::LowerLeft).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Plots the share of the deliveries over the delivery time, with two lines for each variant: destinations with faults,
/// and the others.
fn draw_times(rows: &[&Row], svg: &mut String) -> PlotResult {
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("delivery times: troubled partners (thin) and others (thick)", ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d((50.0..30_000.0f64).log_scale(), 0.0..1.02)?;
    chart.configure_mesh().x_desc("from the hand-in, ms").y_desc("share of the delivered").draw()?;
    for (n, row) in rows.iter().enumerate() {
        for (faulty, width) in [(true, 1), (false, 3)] {
            let points = (1..=100).map(|p| {
                let q = f64::from(p) / 100.0;
                ((row.delivery_time(faulty, q) as f64).max(50.0), q)
            });
            let c = colour(n);
            let line = chart.draw_series(LineSeries::new(points, c.stroke_width(width)))?;
            if !faulty {
                let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(3));
                line.label(&row.variant).legend(legend);
            }
        }
    }
    chart.configure_series_labels().position(SeriesLabelPosition::LowerRight).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// The HTML page: the table and, for each load, the plots.
///
/// # Errors
/// A plot cannot be drawn.
pub fn page(experiment: &Experiment, rows: &[Row]) -> Result<String, Box<dyn std::error::Error>> {
    let title = escape_html(&experiment.title);
    let mut out = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <body style=\"font-family: sans-serif; max-width: 80em; margin: 2em auto\">\n<h1>{title}</h1>\n<pre>\n{}</pre>\n",
        escape_html(&table(experiment, rows))
    );
    for load in &experiment.loads {
        let rows: Vec<&Row> = rows.iter().filter(|r| r.load == *load).collect();
        let mut plots = [String::new(), String::new()];
        draw_windows(&rows, &mut plots[0])?;
        draw_times(&rows, &mut plots[1])?;
        let _ = writeln!(out, "<h2>load {}</h2>\n{}\n{}", load_label(*load), plots[0], plots[1]);
    }
    Ok(out + "</body></html>\n")
}
