//! The summary of a run for a terminal.

use super::Run;
use crate::figures::{Tally, Upgrade, OUTCOMES};
use std::fmt::Write;

/// Destinations that the summary shows, those that fared worst; a page has all of them.
const SUMMARY_ROWS: usize = 20;
/// Rule violations that the summary shows.
const SUMMARY_VIOLATIONS: usize = 10;

impl Run<'_> {
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
        self.write_table(&mut out);
        self.write_upgrades(&mut out);
        self.write_violations(&mut out);
        out
    }

    fn write_table(&self, out: &mut String) {
        let f = self.figures;
        let _ = writeln!(
            out,
            "\n{:<24} {:>8} {:>10} {:>7} {:>8} {:>8} {:>8}",
            "", "messages", "delivered", "worth", "p50 ms", "p99 ms", "p99.9"
        );
        for (name, t) in self.world.names.tenants.iter().zip(&f.by_channel) {
            write_row(out, name, t);
        }
        out.push('\n');
        let mut destinations: Vec<_> = self.world.destination_names.iter().zip(&f.by_destination).collect();
        if destinations.len() > SUMMARY_ROWS {
            destinations.sort_by(|a, b| a.1.value.share().total_cmp(&b.1.value.share()));
        }
        for (name, t) in destinations.iter().take(SUMMARY_ROWS) {
            write_row(out, name, t);
        }
        if destinations.len() > SUMMARY_ROWS {
            let _ = writeln!(out, "... and {} more that fared better", destinations.len() - SUMMARY_ROWS);
        }
    }

    fn write_upgrades(&self, out: &mut String) {
        let f = self.figures;
        if f.upgrades.is_empty() {
            return;
        }
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

    fn write_violations(&self, out: &mut String) {
        for b in self.violations.iter().take(SUMMARY_VIOLATIONS) {
            let _ = writeln!(out, "BROKEN {b}");
        }
        if self.violations.len() > SUMMARY_VIOLATIONS {
            let _ = writeln!(out, "... and {} more", self.violations.len() - SUMMARY_VIOLATIONS);
        }
    }
}

/// A line of the summary's table.
fn write_row(out: &mut String, name: &str, t: &Tally) {
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
}
