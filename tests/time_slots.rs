//! Tests of time slots: properties that hold for any number of forwarders, destination, period and clock, and
//! how a fleet spreads its trial calls by means of them.

mod common;
use cedarbridge::time_slots::{rounded_period, SlotAllocator};
use cedarbridge::*;
use common::*;
use proptest::prelude::*;

/// A present-day wall-clock time in microseconds, which is not the start of a period.
const CLOCK: Micros = 1_796_000_000_000_000;

fn delay(now: Micros, index: u64, destination: u64, period: Micros) -> Micros {
    SlotAllocator::new(0).schedule(now, Some(index), destination).delay_to_slot(period as f64)
}

/// The times until the forwarders' slots, in ascending order.
fn delays(now: Micros, indexes: impl Iterator<Item = u64>, destination: u64, period: Micros) -> Vec<Micros> {
    let mut all: Vec<_> = indexes.map(|index| delay(now, index, destination, period)).collect();
    all.sort();
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(23), ..ProptestConfig::default() })]

    #[test]
    fn each_forwarder_has_one_slot_of_its_own_a_period_and_gaps_are_even(
        count in 2u64..400, first in 0u64..1000, destination: u64, later in 0..3_600 * SECOND, quarter_octave in 0u32..60,
    ) {
        let period = rounded_period(2f64.powf(f64::from(quarter_octave) / 4.0) * SECOND as f64 / 10.0);
        let now = CLOCK + later;
        let slot_delays = delays(now, first..first + count, destination, period);
        // Each forwarder has one slot per period: the next one comes exactly one period later.
        for index in first..first + count.min(5) {
            let next_slot = now + delay(now, index, destination, period);
            prop_assert_eq!(delay(next_slot, index, destination, period), 0);
            prop_assert_eq!(delay(next_slot + 1, index, destination, period), period - 1);
        }
        let mut gaps: Vec<_> = slot_delays.windows(2).map(|pair| pair[1] - pair[0]).collect();
        gaps.push(slot_delays[0] + period - slot_delays[slot_delays.len() - 1]);
        let (min_gap, max_gap) = (*gaps.iter().min().unwrap(), *gaps.iter().max().unwrap());
        prop_assert!(min_gap > 0, "two forwarders in one slot");
        let even_gap = period as f64 / count as f64;
        // There are three lengths of gaps, of which the largest is the sum of the other two (2.62 times the
        // smallest). With two forwarders the largest is 1.62 times the smallest.
        prop_assert!(max_gap as f64 <= 2.0 * even_gap + 2.0 && min_gap as f64 >= 0.38 * even_gap - 2.0, "{min_gap} to {max_gap} of {even_gap}");
    }

    #[test]
    fn one_forwarder_more_or_a_wrong_count_moves_no_slot(count in 1u64..400, destination: u64, now in CLOCK..2 * CLOCK) {
        let period = rounded_period(7e6);
        let before: Vec<_> = (0..count).map(|index| delay(now, index, destination, period)).collect();
        let after: Vec<_> = (0..count + 1).map(|index| delay(now, index, destination, period)).collect();
        prop_assert_eq!(&before[..], &after[..count as usize]);
    }

    /// Guards against a higher call rate when clocks differ. Each forwarder still has one slot per period;
    /// only the order of the forwarders becomes random.
    #[test]
    fn clocks_that_differ_do_not_raise_the_rate(
        offsets in proptest::collection::vec(0..5 * SECOND, 3..60), destination: u64, wanted in SECOND / 2..60 * SECOND,
    ) {
        let period = rounded_period(wanted as f64);
        for (index, offset) in offsets.iter().enumerate() {
            let mut now = CLOCK;
            for _ in 0..4 {
                let slot = SlotAllocator::new(0).schedule(now + offset, Some(index as u64), destination);
                let wait = slot.delay_to_slot_after(period as f64, SECOND / 10);
                prop_assert!(wait >= SECOND / 10 && wait < period + SECOND / 10);
                now += wait;
            }
            // Four waits cover at least three complete periods.
            prop_assert!(now - CLOCK > 3 * period);
        }
    }

    #[test]
    fn a_rounded_period_is_hardly_shorter_and_at_most_a_fifth_longer(wanted in 1.0f64..3.0e9) {
        let rounded = rounded_period(wanted) as f64;
        prop_assert!(rounded >= 0.998 * wanted && rounded <= 1.2 * wanted.max(1e3));
    }
}

#[test]
fn odd_periods_give_finite_delays() {
    for period in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE, 1e300] {
        for index in [None, Some(3)] {
            let mut slots = SlotAllocator::new(1);
            assert!(slots.schedule(CLOCK, index, 1).delay_to_slot(period) <= 4_000 * SECOND, "{period}");
            assert!(
                slots.schedule(Micros::MAX, index, 1).delay_to_slot_after(period, SECOND) <= 8_000 * SECOND,
                "{period}"
            );
        }
    }
}

/// Guards against the same forwarder being first at every destination.
#[test]
fn the_order_of_slots_differs_from_destination_to_destination() {
    let first = |destination| {
        (0..100u64).min_by_key(|index| delay(CLOCK, *index, destination, rounded_period(1e7))).unwrap()
    };
    let mut all: Vec<u64> = (0..50).map(first).collect();
    all.sort();
    all.dedup();
    assert!(all.len() > 25, "{all:?}");
}

/// Guards against a forwarder without an index that calls more or less often on average than one with an
/// index.
#[test]
fn random_slots_have_the_same_mean_rate() {
    let mut slots = SlotAllocator::new(7);
    let sum: Micros =
        (0..10_000).map(|_| slots.schedule(CLOCK, None, 1).delay_to_slot_after(4e6, SECOND)).sum();
    assert!((3.9e6..4.1e6).contains(&(sum as f64 / 10_000.0)), "{sum}");
}

/// Runs a fleet of which `busy` forwarders have messages, in an outage of the destination that all of them
/// have noticed. `offset` is the clock error of each. Returns the times of the trial calls in a period of
/// twenty seconds.
fn trial_calls(forwarders: usize, busy: usize, weight: f64, offset: impl Fn(usize) -> Micros) -> Vec<Micros> {
    const STEP: Micros = 10 * MS;
    let mut fleet: Vec<PolicyHarness> = (0..busy)
        .map(|index| {
            let (forwarder_index, wall_clock_offset) = (Some(index as u64), CLOCK + offset(index));
            let forwarder_settings =
                Settings { forwarders, forwarder_index, wall_clock_offset, ..settings() };
            let mut harness =
                PolicyHarness::new(forwarder_settings, vec![EndpointEntry { weight, ..entry(7, 1, 0) }]);
            // The destination was healthy for a while; otherwise each forwarder would assume more than its
            // even share.
            harness.step_after(60 * SECOND, vec![]);
            harness
        })
        .collect();
    let mut due_events: Vec<Vec<Event>> = vec![vec![]; busy];
    let mut call_times = Vec::new();
    // Each message lives for 20 s, so that one is always waiting.
    for tick in 0..4500 {
        for (index, harness) in fleet.iter_mut().enumerate() {
            let mut new_events = std::mem::take(&mut due_events[index]);
            if tick % 400 == 0 {
                new_events.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
            }
            for (id, endpoint) in sends(&harness.step_after(STEP, new_events)) {
                let attempt = harness.next_attempt(id);
                due_events[index].push(attempt_ended(id, attempt, endpoint, Outcome::ConnectFailed));
                if attempt == 4 {
                    due_events[index].push(Event::Withdrawn { id });
                }
                call_times.push(tick * STEP);
            }
        }
    }
    call_times.retain(|time| (25 * SECOND..45 * SECOND).contains(time));
    call_times
}

/// Guards against gaps and bursts of trial calls: whenever the destination recovers, one follows within a
/// second, and no second has many more calls than its share.
#[test]
fn trial_calls_of_a_fleet_are_spread_evenly_and_one_comes_within_a_second_of_the_recovery() {
    for (forwarders, weight) in [(3, 30.0), (48, 60.0), (100, 60.0), (300, 60.0)] {
        let call_times = trial_calls(forwarders, forwarders, weight, |_| 0);
        let gap = call_times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(gap <= SECOND, "{forwarders}: {gap} between two of {} trial calls", call_times.len());
        let defaults = settings();
        let capacity = defaults.slow_start_floor * defaults.overload_multiple * weight;
        let max_calls = (25..45)
            .map(|second| call_times.iter().filter(|time| **time / SECOND == second).count())
            .max()
            .unwrap();
        assert!(
            max_calls as f64 <= 1.25 * capacity + 2.0,
            "{forwarders}: {max_calls} in a second, it can take {capacity}"
        );
    }
}

/// Guards against more trial calls because of wrong clocks. Errors of 0.2 s or 5 s cause bursts and gaps
/// again, but the number of calls remains.
#[test]
fn clocks_that_are_off_bring_no_more_trial_calls() {
    let calls_with_exact_clocks = trial_calls(48, 48, 60.0, |_| 0).len();
    for max_error in [20 * MS, 200 * MS, 5 * SECOND] {
        let calls = trial_calls(48, 48, 60.0, |index| index as u64 * 7919 * MS % max_error).len();
        assert!(
            calls.abs_diff(calls_with_exact_clocks) * 10 <= calls_with_exact_clocks,
            "{calls} of {calls_with_exact_clocks} with clocks up to {max_error} apart"
        );
    }
}

/// Guards against a fleet that makes too few trial calls because dead or idle forwarders leave their slots
/// empty.
#[test]
fn a_fleet_of_which_most_are_dead_still_makes_trial_calls() {
    let call_times = trial_calls(100, 10, 60.0, |_| 0);
    assert!(call_times.len() >= 20, "{} trial calls of ten forwarders in 20 s", call_times.len());
}

/// Guards against a clock change, noticed at a reload of the settings, that adds or prevents trial calls.
#[test]
fn a_clock_that_steps_neither_adds_nor_stops_trial_calls() {
    for step in [0, 5 * SECOND, 3_600 * SECOND] {
        let settings_at = |wall_clock_offset| Settings {
            forwarders: 48,
            forwarder_index: Some(7),
            wall_clock_offset,
            ..settings()
        };
        let mut harness = PolicyHarness::new(settings_at(CLOCK), vec![entry(7, 1, 0)]);
        harness.step_after(60 * SECOND, vec![]);
        let mut new_events = vec![Event::Message(harness.new_message(IDEMPOTENT, 1))];
        let mut sent = Vec::new();
        for tick in 0..4800 {
            if tick == 2400 {
                new_events.push(Event::Settings(Box::new(settings_at(CLOCK - step))));
            }
            for (id, endpoint) in sends(&harness.step_after(10 * MS, std::mem::take(&mut new_events))) {
                let attempt = harness.next_attempt(id);
                new_events.push(attempt_ended(id, attempt, endpoint, Outcome::ConnectFailed));
                sent.push(tick);
                if attempt == 4 {
                    new_events.extend([
                        Event::Withdrawn { id },
                        Event::Message(harness.new_message(IDEMPOTENT, 1)),
                    ]);
                }
            }
            if tick % 1500 == 0 {
                new_events.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
            }
        }
        // The period is 5.5 s.
        let calls_after = sent.iter().filter(|sent_tick| **sent_tick >= 2400).count();
        assert!(
            (3..=6).contains(&calls_after),
            "{calls_after} trial calls in 24 s after a step of {step}: {sent:?}"
        );
    }
}
