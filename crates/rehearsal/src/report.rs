//! What an experiment came to, as a table and as a page with plots. The same figures give the same bytes.

use crate::experiment::Experiment;
use crate::figures::{DeliveredValue, Figures, WINDOW};
use crate::plot::{colour, escaped, PlotResult};
use plotters::prelude::*;
use std::fmt::Write;

/// All days of one load and variant.
pub struct Row {
    /// Traffic, as shares of full load.
    pub load: (f64, f64),
    /// The variant's name.
    pub variant: String,
    /// The days, by seed.
    pub days: Vec<Figures>,
    /// Rules broken, with their seeds.
    pub violations: Vec<String>,
}

/// Two-sided 95% points of Student's t by degrees of freedom, from 1; beyond them the normal one.
const T95: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086,
];

/// The mean, and half the width of its 95% interval.
pub fn mean(all: &[f64]) -> (f64, f64) {
    let n = all.len() as f64;
    let mean = all.iter().sum::<f64>() / n;
    if all.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = T95.get(all.len() - 2).copied().unwrap_or(1.96);
    (mean, t * (variance / n).sqrt())
}

impl Row {
    fn of(&self, figure: impl Fn(&Figures) -> f64) -> Vec<f64> {
        self.days.iter().map(figure).collect()
    }

    /// A quantile over all days together.
    fn time(&self, faulty: bool, quantile: f64) -> u64 {
        let side = usize::from(!faulty);
        let mut all = self.days[0].times[side].clone();
        for day in &self.days[1..] {
            all.add(&day.times[side]).expect("like bounds");
        }
        all.value_at_quantile(quantile)
    }
}

fn load(of: (f64, f64)) -> String {
    let percent = |x: f64| format!("{:.0}", x * 100.0);
    if of.0 == of.1 {
        format!("{}%", percent(of.0))
    } else {
        format!("{} to {}%", percent(of.0), percent(of.1))
    }
}

type Column = (&'static str, fn(&Figures) -> f64);

const SHARES: [Column; 3] = [
    ("worth", |f| f.value().share()),
    ("of the troubled", |f| f.faulty_value.share()),
    ("of the others", |f| f.healthy_value.share()),
];

/// The table: means over the days, and the change against the first variant on the same days with its 95%
/// interval.
pub fn table(experiment: &Experiment, rows: &[Row]) -> String {
    let mut out = format!(
        "{}: {} days of {} s a row, {} forwarders, {} partners\n\n",
        experiment.title,
        experiment.seeds,
        experiment.length.0 / 1_000_000,
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
    write_changes(&mut out, rows);
    for row in rows {
        for violation in row.violations.iter().take(5) {
            let _ = writeln!(out, "BROKEN {} {}: {violation}", load(row.load), row.variant);
        }
    }
    out
}

fn write_means(out: &mut String, rows: &[Row]) {
    for row in rows {
        let of = |f: fn(&Figures) -> f64| mean(&row.of(f)).0;
        let times = |t| format!("{}/{} ms", row.time(t, 0.5), row.time(t, 0.99));
        let _ = writeln!(
            out,
            "{:<12} {:<22} {:>7.3} {:>16.3} {:>14.3} {:>11.3} {:>17} {:>15} {:>9.1} {:>8.1} {:>8.0} {:>7}",
            load(row.load),
            row.variant,
            of(SHARES[0].1),
            of(SHARES[1].1),
            of(SHARES[2].1),
            of(Figures::slots_lost),
            times(true),
            times(false),
            of(|f| f.refused as f64),
            of(|f| f.failed as f64),
            of(|f| f.attempts as f64),
            row.violations.len()
        );
    }
}

fn write_changes(out: &mut String, rows: &[Row]) {
    let _ = writeln!(out, "\nchange against the first variant on the same days, mean and 95% interval");
    for row in rows {
        let first = rows.iter().find(|r| r.load == row.load).expect("itself at least");
        if std::ptr::eq(first, row) {
            continue;
        }
        let _ = write!(out, "{:<12} {:<22}", load(row.load), row.variant);
        for (name, figure) in SHARES {
            let pairs: Vec<f64> = row.of(figure).iter().zip(first.of(figure)).map(|(a, b)| a - b).collect();
            let (change, half) = mean(&pairs);
            let _ = write!(out, "  {name} {change:+.3} ±{half:.3}");
        }
        out.push('\n');
    }
}

const SIZE: (u32, u32) = (760, 300);

/// Value by the time of the request, a line for each variant.
fn draw_windows(rows: &[&Row], svg: &mut String) -> PlotResult {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let windows = rows.iter().flat_map(|r| r.days.iter().map(|d| d.windows.len())).max().unwrap_or(1);
    let span = WINDOW as f64 / 1e6;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("worth delivered, load {}", load(rows[0].load)), ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..windows as f64 * span, 0.0..1.02)?;
    chart.configure_mesh().x_desc("handed in at, s").y_desc("share of the worth").draw()?;
    for (n, row) in rows.iter().enumerate() {
        let points = (0..windows).map(|w| {
            let sum =
                row.days.iter().filter_map(|d| d.windows.get(w)).fold(DeliveredValue::default(), |a, b| {
                    DeliveredValue {
                        offered: a.offered + b.offered,
                        delivered_value: a.delivered_value + b.delivered_value,
                    }
                });
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

/// How long deliveries took: the share that was delivered within a time, a line a variant and side.
fn draw_times(rows: &[&Row], svg: &mut String) -> PlotResult {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
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
                ((row.time(faulty, q) as f64).max(50.0), q)
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

/// The page: the table and, for each load, the plots.
pub fn page(experiment: &Experiment, rows: &[Row]) -> Result<String, Box<dyn std::error::Error>> {
    let title = escaped(&experiment.title);
    let mut out = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <body style=\"font-family: sans-serif; max-width: 80em; margin: 2em auto\">\n<h1>{title}</h1>\n<pre>\n{}</pre>\n",
        escaped(&table(experiment, rows))
    );
    for of in &experiment.loads {
        let rows: Vec<&Row> = rows.iter().filter(|r| r.load == *of).collect();
        let mut plots = [String::new(), String::new()];
        draw_windows(&rows, &mut plots[0])?;
        draw_times(&rows, &mut plots[1])?;
        let _ = writeln!(out, "<h2>load {}</h2>\n{}\n{}", load(*of), plots[0], plots[1]);
    }
    Ok(out + "</body></html>\n")
}
