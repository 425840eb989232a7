//! Time-division slots, as in TDMA: each forwarder of a fleet has its own slot in a period, so that calls
//! which every forwarder makes once a period are spread evenly over the period. Each forwarder computes its
//! slot from its index and the wall clock, without communication. This module decides when a call is made,
//! never whether. It does no I/O, and the time is passed in.
//!
//! The offset of a forwarder's slot within a period is the fractional part of its index times the golden
//! ratio, shifted for each destination by a hash of the destination's number. The slots of any range of
//! successive indexes are then spread evenly: the gaps between neighbours have two or three different
//! lengths, of which the longest is at most 2.62 times the shortest. The offset does not depend on the number
//! of forwarders, so a wrong number does not change it, and adding or removing a forwarder moves none of the
//! others within a period.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The golden ratio minus one, as a fraction of 2^64: the distance between the slots of successive indexes.
/// No other value keeps them as far apart (Weyl's sequence, three-gap theorem of Steinhaus).
const GOLDEN_RATIO_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// Periods are rounded up to one of this many lengths per octave (a factor of two). Forwarders compute
/// slightly different periods, as each computes its own from the rate limit that was last reported to it.
/// Without the rounding they would soon be in different periods, and their slots would be in random order.
const PERIODS_PER_OCTAVE: f64 = 4.0;
/// The shortest period, one millisecond, in microseconds.
const MIN_PERIOD_US: f64 = 1e3;
/// The longest period, one hour, in microseconds. It prevents overflows.
const MAX_PERIOD_US: f64 = 3.6e9;
/// A period that exceeds a rounded one by no more than this part of a rounding step is rounded down to it, so
/// that a rounded period, which is a whole number of microseconds, is rounded to itself.
const ROUNDING_TOLERANCE: f64 = 0.01;

/// Allocates time slots to one forwarder: fixed ones by its index in the fleet, or random ones if it has no
/// index.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SlotAllocator {
    /// State of the random number generator (SplitMix64).
    #[serde(rename = "dice")]
    random_state: u64,
}

/// A forwarder's slots for calls to one destination, from which the delay to the next slot is computed.
#[derive(Clone, Copy, Debug)]
pub struct SlotSchedule {
    /// The wall-clock time from which delays are counted, in microseconds. All forwarders share the wall
    /// clock.
    computed_at: Micros,
    offset: SlotOffset,
}

/// The position of a slot in a period.
#[derive(Clone, Copy, Debug)]
enum SlotOffset {
    /// A fixed position, as a fraction of 2^64 of a period of any length.
    Fixed(u64),
    /// A random position, as a fraction from 0 to 1 of the period.
    Random(f64),
}

/// The output function of SplitMix64, used as a hash.
fn splitmix64(number: u64) -> u64 {
    let z = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Rounds a period in microseconds up to one of `PERIODS_PER_OCTAVE` lengths per octave, in whole
/// microseconds.
pub fn rounded_period(period_us: f64) -> Micros {
    // A limit of zero calls gives an infinite period, and NaN is treated in the same way.
    let period_us =
        if period_us.is_nan() { MAX_PERIOD_US } else { period_us.clamp(MIN_PERIOD_US, MAX_PERIOD_US) };
    let step = (period_us.log2() * PERIODS_PER_OCTAVE - ROUNDING_TOLERANCE).ceil();
    2f64.powf(step / PERIODS_PER_OCTAVE).round() as Micros
}

impl SlotAllocator {
    /// Creates an allocator. The seed determines the random slots of a forwarder without an index.
    pub fn new(seed: u64) -> Self {
        SlotAllocator { random_state: seed }
    }

    /// Returns the slots for calls to a destination. `now` is the wall-clock time in microseconds. The slots
    /// are random if the forwarder has no index.
    pub fn schedule(&mut self, now: Micros, forwarder_index: Option<u64>, destination: u64) -> SlotSchedule {
        self.random_state = self.random_state.wrapping_add(GOLDEN_RATIO_STEP);
        let offset = match forwarder_index {
            Some(index) => {
                let shift = splitmix64(destination.wrapping_add(1));
                SlotOffset::Fixed(index.wrapping_mul(GOLDEN_RATIO_STEP).wrapping_add(shift))
            }
            None => SlotOffset::Random((splitmix64(self.random_state) >> 11) as f64 / (1u64 << 53) as f64),
        };
        SlotSchedule { computed_at: now, offset }
    }
}

impl SlotSchedule {
    /// The time in microseconds until the forwarder's next slot, for a call that every forwarder makes once.
    pub fn delay_to_slot(&self, period_us: f64) -> Micros {
        match self.offset {
            SlotOffset::Random(fraction) => (period_us.clamp(0.0, MAX_PERIOD_US) * fraction) as Micros,
            SlotOffset::Fixed(offset) => delay_to_offset(self.computed_at, offset, rounded_period(period_us)),
        }
    }

    /// The time in microseconds until the forwarder's first slot that is at least `min_delay` away, for calls
    /// that every forwarder repeats once a period. A random delay is `min_delay` plus a random time of up to
    /// twice the period without `min_delay`, so that the calls are one period apart on average.
    pub fn delay_to_slot_after(&self, period_us: f64, min_delay: Micros) -> Micros {
        match self.offset {
            SlotOffset::Random(fraction) => {
                let remaining_period_us = (period_us.clamp(0.0, MAX_PERIOD_US) - min_delay as f64).max(0.0);
                min_delay + (2.0 * remaining_period_us * fraction) as Micros
            }
            SlotOffset::Fixed(offset) => {
                let earliest = self.computed_at.saturating_add(min_delay);
                min_delay + delay_to_offset(earliest, offset, rounded_period(period_us))
            }
        }
    }
}

/// The time from `now` to the next occurrence of an offset in periods of the given length; less than one
/// period.
fn delay_to_offset(now: Micros, offset: u64, period: Micros) -> Micros {
    let slot_at = ((u128::from(offset) * u128::from(period)) >> 64) as Micros;
    let elapsed = now % period;
    if slot_at >= elapsed {
        slot_at - elapsed
    } else {
        slot_at + period - elapsed
    }
}
