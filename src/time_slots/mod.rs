//! Places in an order that all forwarders of a fleet compute alike from their numbers and the clock, so that what each
//! does once a round comes evenly from all of them together. It decides when, never whether; it does no I/O, and the
//! clock comes in as an argument.
//!
//! A forwarder's place in a round is the fractional part of its number times the golden ratio, shifted for each partner
//! by a hash of the partner's number. Any set of successive numbers then lies evenly: the gaps between neighbours have
//! two or three lengths, of which the longest is 2.62 times the shortest at most. The count of forwarders is not needed,
//! so a count that is wrong moves nobody, and one forwarder more or less moves none of the others.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Where numbers lie in a round, as parts of 2^64: the golden ratio less one. No other step keeps successive numbers as
/// far apart (Weyl's sequence; Steinhaus' three gaps).
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// Rounds have lengths a fourth root of two apart. Forwarders that reckon nearly the same length, as each has its own
/// reading of a limit, would soon be in different rounds, and the order between them would be chance.
const GRADES: f64 = 4.0;
/// No round is shorter than a millisecond or longer than an hour, so that nothing runs over.
const LENGTH: (f64, f64) = (1e3, 3.6e9);
/// What is this part of a grade over one still belongs to it, as grades are rounded to whole microseconds.
const SAME: f64 = 0.01;

/// What a forwarder knows of its place: its number in the fleet, if it is told one, and a die for where it is not.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Turns {
    dice: u64,
}

/// A moment at which a turn is looked for.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// The clock that all forwarders read.
    at: Micros,
    place: Place,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    /// As a part of 2^64 of any round.
    Fixed(u64),
    /// A draw from 0 to 1.
    Drawn(f64),
}

/// Splitmix64's last steps: a hash of a number.
fn mixed(number: u64) -> u64 {
    let z = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The length of the rounds that a wanted length stands for: the next grade, in whole microseconds.
pub fn round(wanted: f64) -> Micros {
    // A limit of zero has rounds without end, and no figure at all is as good as that.
    let wanted = if wanted.is_nan() { LENGTH.1 } else { wanted.clamp(LENGTH.0, LENGTH.1) };
    2f64.powf((wanted.log2() * GRADES - SAME).ceil() / GRADES).round() as Micros
}

impl Turns {
    /// With a seed of its own for what goes by chance.
    pub fn new(seed: u64) -> Self {
        Turns { dice: seed }
    }

    /// A turn towards a partner, at a time of the clock that all forwarders read. Without a number it is drawn.
    pub fn at(&mut self, at: Micros, number: Option<u64>, partner: u64) -> Turn {
        self.dice = self.dice.wrapping_add(STEP);
        let fixed = |n: u64| Place::Fixed(n.wrapping_mul(STEP).wrapping_add(mixed(partner.wrapping_add(1))));
        let drawn = || Place::Drawn((mixed(self.dice) >> 11) as f64 / (1u64 << 53) as f64);
        Turn { at, place: number.map_or_else(drawn, fixed) }
    }
}

impl Turn {
    /// How long until one's place, for those who all come once within so many microseconds.
    pub fn once(&self, length: f64) -> Micros {
        match self.place {
            Place::Drawn(draw) => (length.clamp(0.0, LENGTH.1) * draw) as Micros,
            Place::Fixed(place) => next(self.at, place, round(length)),
        }
    }

    /// How long until one's place, at least so long, for those who come again and again, once in so many microseconds.
    /// Where it is drawn it has to be twice as long in the mean, as the next draw may come at once.
    pub fn again(&self, length: f64, least: Micros) -> Micros {
        match self.place {
            Place::Drawn(draw) => {
                least + (2.0 * (length.clamp(0.0, LENGTH.1) - least as f64).max(0.0) * draw) as Micros
            }
            Place::Fixed(place) => least + next(self.at.saturating_add(least), place, round(length)),
        }
    }
}

/// From a moment to the next time at which a place comes in rounds of that length; under one round.
fn next(at: Micros, place: u64, round: Micros) -> Micros {
    let due = ((u128::from(place) * u128::from(round)) >> 64) as Micros;
    let gone = at % round;
    if due >= gone {
        due - gone
    } else {
        due + round - gone
    }
}
