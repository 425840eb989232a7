//! The page of a run: one HTML file with its plots in it.

use super::Run;
use crate::figures::{OUTCOMES, WINDOW};
use crate::plot::{colour, escaped, PlotResult};
use crate::world::START;
use cedarbridge::{BreakerState, Micros};
use cedarbridge_endpoint_model::Fault;
use plotters::prelude::*;
use std::fmt::Write;

impl Run<'_> {
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

    /// The end of the plots' time.
    fn end(&self) -> f64 {
        let last = self.figures.samples.last().map_or(self.world.end, |s| s.at);
        seconds(last.max(self.world.end))
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
        for (n, planned) in self.world.faults.iter().enumerate().take(40) {
            let (from, to) = (seconds(planned.begin), seconds(planned.end));
            let c = colour(n + 1);
            let band = Rectangle::new([(from, 0.0), (to, 1.06)], c.mix(0.10).filled());
            chart.draw_series([band])?;
            let label = format!(
                "{} {}",
                self.world.destination_names[planned.destination],
                fault_label(planned.fault)
            );
            let place = (from, 1.04 - 0.06 * (n % 8) as f64);
            chart.draw_series([Text::new(label, place, ("sans-serif", 10).into_font().color(&c))])?;
        }
        for stop in &self.world.stops {
            let at = seconds(stop.at);
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
        let held = samples.iter().map(|s| (seconds(s.at), s.open_messages as f64));
        let out = samples.iter().map(|s| (seconds(s.at), s.in_flight as f64));
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

    /// A line for each destination: its breaker closed, half-open and open, with its faults above.
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
            let ends = line.iter().map(|l| seconds(l.0)).skip(1).chain([end]);
            let first = line.first().map_or(end, |l| seconds(l.0));
            let spans = line.iter().zip(ends).map(|(l, to)| (seconds(l.0), to, l.1));
            for (from, to, status) in [(0.0, first, BreakerState::Closed)].into_iter().chain(spans) {
                let c = match status {
                    BreakerState::Closed => RGBColor(0x6a, 0xb0, 0x6a),
                    BreakerState::HalfOpen => RGBColor(0xe0, 0xa0, 0x30),
                    BreakerState::Open => RGBColor(0xcc, 0x33, 0x33),
                };
                chart.draw_series([Rectangle::new([(from, y + 0.15), (to, y + 0.7)], c.filled())])?;
            }
        }
        for fault in self.world.faults.iter().filter(|f| f.destination < shown) {
            let y = place(fault.destination) + 0.85;
            let line = [(seconds(fault.begin), y), (seconds(fault.end), y)];
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

/// Seconds from the day's begin.
pub(super) fn seconds(at: Micros) -> f64 {
    at.saturating_sub(START) as f64 / 1e6
}

/// A fault's label in a plot.
fn fault_label(fault: Fault) -> String {
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
