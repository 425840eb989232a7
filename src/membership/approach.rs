//! When a watch of the pushed list is opened next: decisions on coming back to a platform that may be turning callers
//! away, so that a whole fleet that lost its watches at once does not keep it from answering any. It does no I/O; chance
//! comes in as an argument.

use crate::Micros;

/// What the whole fleet may ask in a second: one forwarder's part of it sets its first pause, which is doubled with each
/// further failure up to the longest, and drawn up to half shorter.
const FLEET_ASKS: f64 = 10.0;
/// The first pause of a small fleet, and the longest of any.
const PAUSE: (Micros, Micros) = (250_000, 15_000_000);
/// All may be turned away at once: the next ones are spread over this part of the first pause.
const SPREAD: f64 = 0.6;
/// After a watch that broke: the first pause, doubled with each further one up to the longest, and drawn up to half shorter.
/// What the agent has counts as told meanwhile, so it is short; one that refuses connections costs nobody anything.
const BROKE: (Micros, Micros) = (20_000, 1_000_000);

/// How the last watches went.
#[derive(Clone, Copy, Debug)]
pub struct WatchBackoff {
    first: Micros,
    /// Those in a row that were turned away, and that broke.
    failures: u32,
    breaks: u32,
}

impl WatchBackoff {
    /// One of so many forwarders.
    pub fn new(fleet: usize) -> Self {
        let first = (fleet as f64 / FLEET_ASKS * 1e6) as Micros;
        WatchBackoff { first: first.clamp(PAUSE.0, PAUSE.1), failures: 0, breaks: 0 }
    }

    /// A watch has told something.
    pub fn received(&mut self) {
        (self.failures, self.breaks) = (0, 0);
    }

    /// A watch was turned away: how long the next one waits, with the wait that the platform asked for, and a number from
    /// 0 to 1 drawn for it.
    pub fn after_rejection(&mut self, asked: Option<Micros>, draw: f64) -> Micros {
        self.failures += 1;
        if self.failures == 1 && asked.is_none() {
            return (self.first as f64 * SPREAD * draw) as Micros;
        }
        let pause = drawn(doubled(self.first, self.failures.max(2) - 2).min(PAUSE.1), draw);
        // Whoever is told a time comes a little later than that, as not all of them must come at once.
        asked.map_or(pause, |asked| asked.saturating_add(pause / 2))
    }

    /// A watch broke, or could not be opened: how long the next one waits, with a number from 0 to 1 drawn for it.
    pub fn after_failure(&mut self, draw: f64) -> Micros {
        let pause = drawn(doubled(BROKE.0, self.breaks).min(BROKE.1), draw);
        self.breaks += 1;
        pause
    }
}

fn doubled(first: Micros, times: u32) -> Micros {
    first.saturating_mul(1 << times.min(16))
}

/// Up to half shorter.
fn drawn(pause: Micros, draw: f64) -> Micros {
    (pause as f64 * (1.0 - draw / 2.0)) as Micros
}
