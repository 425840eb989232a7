//! Time-division slots (as in TDMA): each forwarder of a fleet has its own slot in a period, computed alike by all from
//! their indexes and the wall clock, so that what each does once a period comes evenly from all of them together. It
//! decides when, never whether; it does no I/O, and the clock comes in as an argument.
//!
//! The offset of a forwarder's slot in a period is the fractional part of its index times the golden ratio, shifted for
//! each destination by a hash of the destination's number. Any range of successive indexes then lies evenly: the gaps
//! between neighbours have two or three lengths, of which the longest is 2.62 times the shortest at most. The count of
//! forwarders is not needed, so a wrong count moves no slot, and one forwarder more or less moves none of the others.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The golden ratio less one, as parts of 2^64: the distance of successive indexes' slots. No other figure keeps them as
/// far apart (Weyl's sequence; Steinhaus' three gaps).
const GOLDEN_RATIO_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// Periods are rounded up to lengths of which there are this many in an octave (a factor of two). Forwarders that
/// compute nearly the same period, as each has its own reading of a limit, would soon be in different periods, and the
/// order between them would be chance.
const PERIODS_PER_OCTAVE: f64 = 4.0;
/// No period is shorter than a millisecond, in microseconds.
const MIN_PERIOD_US: f64 = 1e3;
/// No period is longer than an hour, in microseconds, so that nothing overflows.
const MAX_PERIOD_US: f64 = 3.6e9;
/// A period longer than a rounded one by this part of the distance to the next is rounded down, as rounded periods are
/// whole microseconds.
const ROUNDING_TOLERANCE: f64 = 0.01;

/// Allocates slots to one forwarder, by its index in the fleet or, where that is not known, at random.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SlotAllocator {
    /// State of the random number generator (SplitMix64).
    #[serde(rename = "dice")]
    random_state: u64,
}

/// A forwarder's slots towards one destination, as seen at one moment.
#[derive(Clone, Copy, Debug)]
pub struct SlotSchedule {
    /// The wall clock, which all forwarders read.
    now: Micros,
    offset: SlotOffset,
}

/// Where in a period a slot lies.
#[derive(Clone, Copy, Debug)]
enum SlotOffset {
    /// As parts of 2^64 of any period.
    Fixed(u64),
    /// A random number from 0 to 1.
    Random(f64),
}

/// The last steps of SplitMix64: a hash of a number.
fn splitmix64(number: u64) -> u64 {
    let z = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Rounds a period in microseconds up to one of `PERIODS_PER_OCTAVE` lengths in an octave, in whole microseconds.
pub fn rounded_period(period_us: f64) -> Micros {
    // The calls of a limit of zero have an endless period, and one that is not a number is as good as that.
    let period_us =
        if period_us.is_nan() { MAX_PERIOD_US } else { period_us.clamp(MIN_PERIOD_US, MAX_PERIOD_US) };
    let step = (period_us.log2() * PERIODS_PER_OCTAVE - ROUNDING_TOLERANCE).ceil();
    2f64.powf(step / PERIODS_PER_OCTAVE).round() as Micros
}

impl SlotAllocator {
    /// With a seed for slots allocated at random.
    pub fn new(seed: u64) -> Self {
        SlotAllocator { random_state: seed }
    }

    /// The slots towards a destination, at a time of the wall clock; at random if the forwarder has no index.
    pub fn schedule(&mut self, now: Micros, forwarder_index: Option<u64>, destination: u64) -> SlotSchedule {
        self.random_state = self.random_state.wrapping_add(GOLDEN_RATIO_STEP);
        let offset = match forwarder_index {
            Some(index) => {
                let shift = splitmix64(destination.wrapping_add(1));
                SlotOffset::Fixed(index.wrapping_mul(GOLDEN_RATIO_STEP).wrapping_add(shift))
            }
            None => SlotOffset::Random((splitmix64(self.random_state) >> 11) as f64 / (1u64 << 53) as f64),
        };
        SlotSchedule { now, offset }
    }
}

impl SlotSchedule {
    /// How long until the forwarder's slot, for what all do once within a period.
    pub fn delay_to_slot(&self, period_us: f64) -> Micros {
        match self.offset {
            SlotOffset::Random(fraction) => (period_us.clamp(0.0, MAX_PERIOD_US) * fraction) as Micros,
            SlotOffset::Fixed(offset) => delay_to_offset(self.now, offset, rounded_period(period_us)),
        }
    }

    /// How long until the forwarder's first slot after a least delay, for what all do again and again, once a period.
    /// A random delay has to be twice as long in the mean, as the next one may be short.
    pub fn delay_to_slot_after(&self, period_us: f64, min_delay: Micros) -> Micros {
        match self.offset {
            SlotOffset::Random(fraction) => {
                let rest_us = (period_us.clamp(0.0, MAX_PERIOD_US) - min_delay as f64).max(0.0);
                min_delay + (2.0 * rest_us * fraction) as Micros
            }
            SlotOffset::Fixed(offset) => {
                let earliest = self.now.saturating_add(min_delay);
                min_delay + delay_to_offset(earliest, offset, rounded_period(period_us))
            }
        }
    }
}

/// From a moment to the next time at which an offset comes in periods of that length; less than one period.
fn delay_to_offset(now: Micros, offset: u64, period: Micros) -> Micros {
    let slot_at = ((u128::from(offset) * u128::from(period)) >> 64) as Micros;
    let elapsed = now % period;
    if slot_at >= elapsed {
        slot_at - elapsed
    } else {
        slot_at + period - elapsed
    }
}
