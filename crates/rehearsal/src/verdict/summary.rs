//! The text summary of a run, for a terminal.

use super::RunReport;
use crate::figures::{DeliveryStats, Upgrade, OUTCOME_NAMES};
use std::fmt::Write;

/// The largest number of destinations that the summary shows: those with the smallest share of the value. The HTML page
/// has all of them.
const MAX_DESTINATIONS: usize = 20;
/// The largest number of rule violations that the summary shows.
const MAX_VIOLATIONS: usize = 10;

impl RunReport<'_> {
    /// The text summary: headline, figures, tables, upgrades and violations.
    pub fn summary(&self) -> String {
        let figures = self.figures;
        let mut out = format!("{}\n{}\n{}\n\n", self.scenario.title, self.headline(), self.run_description());
        let _ = writeln!(
            out,
            "{} messages: {} delivered, {} refused, {} failed; {} attempts ({})",
            self.environment.requests.len(),
            figures.delivered,
            figures.rejected,
            figures.failed,
            figures.attempts,
            OUTCOME_NAMES
                .iter()
                .zip(figures.outcomes)
                .filter(|o| o.1 > 0)
                .map(|(name, count)| format!("{count} {name}"))
                .collect::<Vec<_>>()
                .join(", ")
        );
        self.write_table(&mut out);
        self.write_upgrades(&mut out);
        self.write_violations(&mut out);
        out
    }

    fn write_table(&self, out: &mut String) {
        let figures = self.figures;
        let _ = writeln!(
            out,
            "\n{:<24} {:>8} {:>10} {:>7} {:>8} {:>8} {:>8}",
            "", "messages", "delivered", "worth", "p50 ms", "p99 ms", "p99.9"
        );
        for (name, stats) in self.environment.names.tenants.iter().zip(&figures.by_tenant) {
            write_row(out, name, stats);
        }
        out.push('\n');
        let mut destinations: Vec<_> =
            self.environment.destination_names.iter().zip(&figures.by_destination).collect();
        if destinations.len() > MAX_DESTINATIONS {
            destinations.sort_by(|a, b| a.1.value.share().total_cmp(&b.1.value.share()));
        }
        for (name, stats) in destinations.iter().take(MAX_DESTINATIONS) {
            write_row(out, name, stats);
        }
        if destinations.len() > MAX_DESTINATIONS {
            let _ = writeln!(out, "... and {} more that fared better", destinations.len() - MAX_DESTINATIONS);
        }
    }

    fn write_upgrades(&self, out: &mut String) {
        let figures = self.figures;
        if figures.upgrades.is_empty() {
            return;
        }
        let median_and_max = |time: fn(&Upgrade) -> u64| {
            let mut times: Vec<u64> = figures.upgrades.iter().map(time).collect();
            times.sort_unstable();
            (times[times.len() / 2] as f64 / 1e3, times[times.len() - 1] as f64 / 1e3)
        };
        let (ready, exit) = (median_and_max(|u| u.ready_time), median_and_max(|u| u.exit_time));
        let rejected: usize = figures.upgrades.iter().map(|u| u.rejected_during_upgrade).sum();
        let _ = writeln!(
            out,
            "\n{} processes replaced: the new one took clients after {:.0} ms at the median, {:.0} ms at most; the old \
             one left after {:.0} ms, {:.0} ms at most; {rejected} hand-ins ended at the door",
            figures.upgrades.len(),
            ready.0,
            ready.1,
            exit.0,
            exit.1
        );
    }

    fn write_violations(&self, out: &mut String) {
        for violation in self.violations.iter().take(MAX_VIOLATIONS) {
            let _ = writeln!(out, "BROKEN {violation}");
        }
        if self.violations.len() > MAX_VIOLATIONS {
            let _ = writeln!(out, "... and {} more", self.violations.len() - MAX_VIOLATIONS);
        }
    }
}

/// Writes a line of the table: a tenant or a destination with its figures.
fn write_row(out: &mut String, name: &str, stats: &DeliveryStats) {
    let _ = writeln!(
        out,
        "{:<24} {:>8} {:>10} {:>7.3} {:>8} {:>8} {:>8}",
        name,
        stats.messages,
        stats.delivered,
        stats.value.share(),
        stats.delivery_time(0.5),
        stats.delivery_time(0.99),
        stats.delivery_time(0.999)
    );
}
