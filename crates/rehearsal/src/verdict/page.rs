//! The HTML page of a run: one file that contains its plots as SVG.

use super::RunReport;
use crate::environment::RUN_START;
use crate::figures::{OUTCOME_NAMES, WINDOW};
use crate::plot::{colour, escape_html, PlotResult};
use cedarbridge::{BreakerState, Micros};
use cedarbridge_endpoint_model::Fault;
use plotters::prelude::*;
use std::fmt::Write;

impl RunReport<'_> {
    /// The HTML page with plots.
    ///
    /// # Errors
    /// A plot cannot be drawn.
    pub fn page(&self) -> Result<String, Box<dyn std::error::Error>> {
        let title = escape_html(&self.scenario.title);
        let mut out = format!(
            "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
             <body style=\"font-family: sans-serif; max-width: 62em; margin: 2em auto\">\n<h1>{title}</h1>\n\
             <p><b>{}</b></p>\n<p>{}</p>\n",
            escape_html(&self.headline()),
            escape_html(&self.run_description())
        );
        if !self.violations.is_empty() {
            out += "<h2>Rules broken</h2>\n<ul>\n";
            for violation in self.violations.iter().take(200) {
                let _ = writeln!(out, "<li>{}</li>", escape_html(&violation.to_string()));
            }
            out += "</ul>\n";
        }
        for (heading, draw) in [
            ("Worth by the time of the hand-in", Self::draw_value as fn(&Self, &mut String) -> PlotResult),
            ("Held and in flight", Self::draw_open_messages),
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
        let figures = self.figures;
        let tenants = self.environment.names.tenants.iter().zip(&figures.by_tenant);
        for (name, stats) in
            tenants.chain(self.environment.destination_names.iter().zip(&figures.by_destination))
        {
            let _ = writeln!(
                out,
                "<tr><td>{}<td align=right>{}<td align=right>{}<td align=right>{:.3}<td align=right>{}\
                 <td align=right>{}<td align=right>{}<td align=right>{}</tr>",
                escape_html(name),
                stats.messages,
                stats.delivered,
                stats.value.share(),
                stats.delivery_time(0.5),
                stats.delivery_time(0.9),
                stats.delivery_time(0.99),
                stats.delivery_time(0.999)
            );
        }
        Ok(out + "</table></body></html>\n")
    }

    /// The end of the plots' time axes, in seconds.
    fn end(&self) -> f64 {
        let last = self.figures.samples.last().map_or(self.environment.end, |s| s.at);
        seconds(last.max(self.environment.end))
    }

    /// Plots the share of the value that was delivered over the time of the request, with the planned faults and stops.
    fn draw_value(&self, svg: &mut String) -> PlotResult {
        let root = SVGBackend::with_string(svg, (820, 300)).into_drawing_area();
        root.fill(&WHITE)?;
        let end = self.end();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..end, 0.0..1.06)?;
        for (n, planned) in self.environment.faults.iter().enumerate().take(40) {
            let (from, to) = (seconds(planned.start), seconds(planned.end));
            let c = colour(n + 1);
            let band = Rectangle::new([(from, 0.0), (to, 1.06)], c.mix(0.10).filled());
            chart.draw_series([band])?;
            let label = format!(
                "{} {}",
                self.environment.destination_names[planned.destination],
                fault_label(planned.fault)
            );
            let position = (from, 1.04 - 0.06 * (n % 8) as f64);
            chart.draw_series([Text::new(label, position, ("sans-serif", 10).into_font().color(&c))])?;
        }
        for stop in &self.environment.stops {
            let at = seconds(stop.at);
            chart.draw_series([PathElement::new([(at, 0.0), (at, 1.06)], BLACK.mix(0.6))])?;
            let label = format!("forwarder {} {:?}", stop.forwarder + 1, stop.signal);
            let font = ("sans-serif", 10).into_font().transform(FontTransform::Rotate270);
            chart.draw_series([Text::new(label, (at, 0.3), font)])?;
        }
        chart.configure_mesh().disable_x_mesh().x_desc("s").y_desc("share of the worth").draw()?;
        let span = WINDOW as f64 / 1e6;
        let points = self
            .figures
            .windows
            .iter()
            .enumerate()
            .map(|(n, value)| ((n as f64 + 0.5) * span, value.share()));
        chart.draw_series(LineSeries::new(points, colour(0).stroke_width(3)))?;
        root.present()?;
        Ok(())
    }

    /// Plots open messages and calls in flight over time.
    fn draw_open_messages(&self, svg: &mut String) -> PlotResult {
        let root = SVGBackend::with_string(svg, (820, 220)).into_drawing_area();
        root.fill(&WHITE)?;
        let samples = &self.figures.samples;
        let max = samples.iter().map(|s| s.open_messages.max(s.in_flight)).max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..self.end(), 0.0..max * 1.05)?;
        chart.configure_mesh().disable_x_mesh().x_desc("s").y_desc("messages, calls").draw()?;
        let open_messages = samples.iter().map(|s| (seconds(s.at), s.open_messages as f64));
        let in_flight = samples.iter().map(|s| (seconds(s.at), s.in_flight as f64));
        let legend = |c: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2));
        chart
            .draw_series(LineSeries::new(open_messages, colour(0).stroke_width(2)))?
            .label("held")
            .legend(legend(colour(0)));
        let line = chart.draw_series(LineSeries::new(in_flight, colour(1).stroke_width(1)))?;
        line.label("calls out").legend(legend(colour(1)));
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }

    /// Plots a line for each destination: the state of its breaker, with its faults above.
    fn draw_breakers(&self, svg: &mut String) -> PlotResult {
        let shown = self.environment.destination_names.len().min(64);
        let height = 60 + 18 * shown as u32;
        let root = SVGBackend::with_string(svg, (820, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let end = self.end();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(110)
            .build_cartesian_2d(0.0..end, 0.0..shown as f64)?;
        let names = &self.environment.destination_names;
        let name = |y: &f64| names.get(shown.wrapping_sub(1 + *y as usize)).cloned().unwrap_or_default();
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("s: green closed, amber half, red open; grey lines are troubles")
            .y_labels(shown + 1)
            .y_label_formatter(&name)
            .draw()?;
        let row = |destination: usize| (shown - 1 - destination) as f64;
        for (destination, changes) in self.figures.breakers.iter().enumerate().take(shown) {
            let y = row(destination);
            let ends = changes.iter().map(|c| seconds(c.0)).skip(1).chain([end]);
            let first = changes.first().map_or(end, |c| seconds(c.0));
            let spans = changes.iter().zip(ends).map(|(c, to)| (seconds(c.0), to, c.1));
            for (from, to, state) in [(0.0, first, BreakerState::Closed)].into_iter().chain(spans) {
                let c = match state {
                    BreakerState::Closed => RGBColor(0x6a, 0xb0, 0x6a),
                    BreakerState::HalfOpen => RGBColor(0xe0, 0xa0, 0x30),
                    BreakerState::Open => RGBColor(0xcc, 0x33, 0x33),
                };
                chart.draw_series([Rectangle::new([(from, y + 0.15), (to, y + 0.7)], c.filled())])?;
            }
        }
        for fault in self.environment.faults.iter().filter(|f| f.destination < shown) {
            let y = row(fault.destination) + 0.85;
            let line = [(seconds(fault.start), y), (seconds(fault.end), y)];
            chart.draw_series([PathElement::new(line, RGBColor(0x55, 0x55, 0x55).stroke_width(2))])?;
        }
        root.present()?;
        Ok(())
    }

    /// Plots the share of the deliveries over the delivery time, with a line for each tenant.
    fn draw_times(&self, svg: &mut String) -> PlotResult {
        let root = SVGBackend::with_string(svg, (820, 260)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d((10.0..30_000.0f64).log_scale(), 0.0..1.02)?;
        chart.configure_mesh().x_desc("from the hand-in, ms").y_desc("share of the delivered").draw()?;
        for (n, (name, stats)) in
            self.environment.names.tenants.iter().zip(&self.figures.by_tenant).enumerate()
        {
            let c = colour(n);
            let points = (1..=200).map(|p| {
                let q = f64::from(p) / 200.0;
                ((stats.delivery_time(q) as f64).max(10.0), q)
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

    /// Plots the number of attempts by outcome.
    fn draw_outcomes(&self, svg: &mut String) -> PlotResult {
        let root = SVGBackend::with_string(svg, (820, 200)).into_drawing_area();
        root.fill(&WHITE)?;
        let outcomes: Vec<(&str, u64)> =
            OUTCOME_NAMES.iter().copied().zip(self.figures.outcomes).filter(|o| o.1 > 0).collect();
        let max = outcomes.iter().map(|o| o.1).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..outcomes.len().max(1) as f64, 0.0..max as f64 * 1.15)?;
        chart.configure_mesh().disable_mesh().x_labels(0).y_desc("attempts").draw()?;
        for (n, (name, count)) in outcomes.iter().enumerate() {
            let x = n as f64;
            let bar = [(x + 0.15, 0.0), (x + 0.85, *count as f64)];
            chart.draw_series([Rectangle::new(bar, colour(n).filled())])?;
            let label = format!("{name}: {count}");
            let position = (x + 0.15, *count as f64 + max as f64 * 0.09);
            chart.draw_series([Text::new(label, position, ("sans-serif", 12).into_font())])?;
        }
        root.present()?;
        Ok(())
    }
}

/// The seconds from the start of the run to a time.
pub(super) fn seconds(at: Micros) -> f64 {
    at.saturating_sub(RUN_START) as f64 / 1e6
}

/// The label of a fault in a plot.
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
