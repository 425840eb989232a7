//! What a day came to: worth delivered against worth asked, for the troubled partners and the others, slots and
//! delivery times. It judges nothing.

use crate::world::{World, START};
use cedarbridge::Micros;
use hdrhistogram::Histogram;

const SECOND: Micros = 1_000_000;
/// Worth is shown by windows of so long, by the time of the hand-in.
pub const WINDOW: Micros = 5 * SECOND;
/// A message is wanted within this; its worth falls by half with each further one ...
const AIM: Micros = 2_500_000;
/// ... but not under this.
const LATE: f64 = 0.3;

/// Worth asked for and delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worth {
    /// Asked for.
    pub asked: f64,
    /// Delivered.
    pub got: f64,
}

impl Worth {
    /// The share that was delivered; all of nothing.
    pub fn share(self) -> f64 {
        if self.asked > 0.0 {
            self.got / self.asked
        } else {
            1.0
        }
    }
}

/// The figures of one day.
pub struct Figures {
    /// For each first try: when, for a troubled partner or not, its worth, and whether it was delivered.
    tries: Vec<(Micros, bool, f64, bool)>,
    troubled: Vec<bool>,
    trouble: (Micros, Micros),
    slots: usize,
    /// Worth by window, the troubled partners and the others together.
    pub windows: Vec<Worth>,
    /// Worth at the troubled partners.
    pub troubled_worth: Worth,
    /// Worth at all others.
    pub other_worth: Worth,
    /// Slot time that calls to troubled partners took while trouble held, from its begin on.
    slots_lost: Micros,
    /// Times of delivery from the hand-in, in milliseconds, to troubled partners and to the others.
    pub times: [Histogram<u32>; 2],
    /// Messages given back to their clients.
    pub refused: u64,
    /// Messages that failed.
    pub failed: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Attempts made.
    pub attempts: u64,
}

impl Figures {
    /// Figures of a day before it is played.
    pub fn new(world: &World) -> Self {
        let mut troubled = vec![false; world.partners.len()];
        world.troubles.iter().for_each(|t| troubled[t.0] = true);
        let from = world.troubles.iter().map(|t| t.1).min().unwrap_or(world.end);
        let to = world.troubles.iter().map(|t| t.2).max().unwrap_or(world.end);
        let windows = (world.end - START).div_ceil(WINDOW) as usize;
        let times = || Histogram::new_with_bounds(1, 60_000, 3).expect("bounds that are in order");
        let mut figures = Figures {
            tries: world.hands.iter().map(|h| (h.at, troubled[h.partner], h.worth, false)).collect(),
            troubled,
            trouble: (from, to),
            slots: world.settings.slots * world.settings.couriers,
            windows: vec![Worth::default(); windows],
            troubled_worth: Worth::default(),
            other_worth: Worth::default(),
            slots_lost: 0,
            times: [times(), times()],
            refused: 0,
            failed: 0,
            delivered: 0,
            attempts: 0,
        };
        for (at, troubled, worth, _) in figures.tries.clone() {
            figures.side(troubled).asked += worth;
            figures.windows[((at - START) / WINDOW) as usize].asked += worth;
        }
        figures
    }

    fn side(&mut self, troubled: bool) -> &mut Worth {
        if troubled {
            &mut self.troubled_worth
        } else {
            &mut self.other_worth
        }
    }

    /// An attempt went out.
    pub fn attempt(&mut self) {
        self.attempts += 1;
    }

    /// A first try, or what came of it, was delivered.
    pub fn delivered(&mut self, now: Micros, first: usize) {
        let (at, troubled, worth, before) = self.tries[first];
        if before {
            return;
        }
        self.tries[first].3 = true;
        let age = now - at;
        let late = age.saturating_sub(AIM) as f64 / AIM as f64;
        let got = worth * if age <= AIM { 1.0 } else { 0.5f64.powf(late).max(LATE) };
        self.side(troubled).got += got;
        self.windows[((at - START) / WINDOW) as usize].got += got;
        self.times[usize::from(!troubled)].saturating_record((age / 1000).max(1));
        self.delivered += 1;
    }

    /// A message was given up.
    pub fn given_up(&mut self, refused: bool) {
        if refused {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }

    /// A call came back that had held a slot for so long.
    pub fn slot(&mut self, now: Micros, partner: usize, held: Micros) {
        let (from, to) = self.trouble;
        if self.troubled[partner] {
            let begin = (now - held).max(from);
            self.slots_lost += now.min(to).saturating_sub(begin);
        }
    }

    /// Worth of the whole day.
    pub fn worth(&self) -> Worth {
        let (a, b) = (self.troubled_worth, self.other_worth);
        Worth { asked: a.asked + b.asked, got: a.got + b.got }
    }

    /// The share of all slot time during the trouble that calls to troubled partners took.
    pub fn slots_lost(&self) -> f64 {
        let (from, to) = self.trouble;
        let all = (to.saturating_sub(from)) as f64 * self.slots as f64;
        if all > 0.0 {
            self.slots_lost as f64 / all
        } else {
            0.0
        }
    }

    /// A quantile of the delivery times, in milliseconds.
    pub fn time(&self, troubled: bool, quantile: f64) -> u64 {
        self.times[usize::from(!troubled)].value_at_quantile(quantile)
    }
}
