//! Time slots: what holds for any count of forwarders, destination, period and clock, and how a fleet spreads its trial
//! calls by them.

mod common;
use cedarbridge::time_slots::{rounded_period, SlotAllocator};
use cedarbridge::*;
use common::*;
use proptest::prelude::*;

/// A day of the wall clock, so that the begin of a period is nowhere special.
const CLOCK: Micros = 1_796_000_000_000_000;

fn delay(at: Micros, index: u64, destination: u64, period: Micros) -> Micros {
    SlotAllocator::new(0).schedule(at, Some(index), destination).delay_to_slot(period as f64)
}

/// How long until each forwarder's slot, in order.
fn delays(at: Micros, indexes: impl Iterator<Item = u64>, destination: u64, period: Micros) -> Vec<Micros> {
    let mut all: Vec<_> = indexes.map(|index| delay(at, index, destination, period)).collect();
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
        let at = CLOCK + later;
        let all = delays(at, first..first + count, destination, period);
        // Once a period: the next slot comes a period later, not sooner.
        for index in first..first + count.min(5) {
            let next = at + delay(at, index, destination, period);
            prop_assert_eq!(delay(next, index, destination, period), 0);
            prop_assert_eq!(delay(next + 1, index, destination, period), period - 1);
        }
        let mut gaps: Vec<_> = all.windows(2).map(|pair| pair[1] - pair[0]).collect();
        gaps.push(all[0] + period - all[all.len() - 1]);
        let (least, most) = (*gaps.iter().min().unwrap(), *gaps.iter().max().unwrap());
        prop_assert!(least > 0, "two forwarders in one slot");
        let even = period as f64 / count as f64;
        // Three gaps, the largest the sum of the others (2.62 times the least); with two forwarders 1.62 times.
        prop_assert!(most as f64 <= 2.0 * even + 2.0 && least as f64 >= 0.38 * even - 2.0, "{least} to {most} of {even}");
    }

    #[test]
    fn one_forwarder_more_or_a_wrong_count_moves_no_slot(count in 1u64..400, destination: u64, at in CLOCK..2 * CLOCK) {
        let period = rounded_period(7e6);
        let before: Vec<_> = (0..count).map(|index| delay(at, index, destination, period)).collect();
        let after: Vec<_> = (0..count + 1).map(|index| delay(at, index, destination, period)).collect();
        prop_assert_eq!(&before[..], &after[..count as usize]);
    }

    /// Whatever clocks show, each forwarder has one slot a period: clocks that differ make the order random, but do not raise
    /// the rate.
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
            // Four waits cover three complete periods at least.
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

/// No forwarder is first everywhere.
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

/// A forwarder without an index calls as often in the mean as one with.
#[test]
fn random_slots_have_the_same_mean_rate() {
    let mut slots = SlotAllocator::new(7);
    let sum: Micros =
        (0..10_000).map(|_| slots.schedule(CLOCK, None, 1).delay_to_slot_after(4e6, SECOND)).sum();
    assert!((3.9e6..4.1e6).contains(&(sum as f64 / 10_000.0)), "{sum}");
}

/// When the trial calls of a fleet went out, in twenty seconds of an outage that all forwarders have seen.
fn trial_calls(forwarders: usize, busy: usize, weight: f64, offset: impl Fn(usize) -> Micros) -> Vec<Micros> {
    const STEP: Micros = 10 * MS;
    let mut fleet: Vec<PolicyHarness> = (0..busy)
        .map(|n| {
            let (forwarder_index, wall_clock_offset) = (Some(n as u64), CLOCK + offset(n));
            let s = Settings { forwarders, forwarder_index, wall_clock_offset, ..settings() };
            let mut harness = PolicyHarness::new(s, vec![EndpointEntry { weight, ..entry(7, 1, 0) }]);
            // It has been healthy for a while, or else each would count on more than its even share.
            harness.step_after(60 * SECOND, vec![]);
            harness
        })
        .collect();
    let mut due: Vec<Vec<Event>> = vec![vec![]; busy];
    let mut at = Vec::new();
    // Each message has 20 s, so there is always one that waits.
    for tick in 0..4500 {
        for (n, harness) in fleet.iter_mut().enumerate() {
            let mut news = std::mem::take(&mut due[n]);
            if tick % 400 == 0 {
                news.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
            }
            for (id, e) in sends(&harness.step_after(STEP, news)) {
                let attempt = harness.next_attempt(id);
                due[n].push(attempt_ended(id, attempt, e, Outcome::ConnectFailed));
                if attempt == 4 {
                    due[n].push(Event::Withdrawn { id });
                }
                at.push(tick * STEP);
            }
        }
    }
    at.retain(|t| (25 * SECOND..45 * SECOND).contains(t));
    at
}

/// Whenever the destination recovers, a trial call follows within a second, and no second has many more than its share.
#[test]
fn trial_calls_of_a_fleet_are_spread_evenly_and_one_comes_within_a_second_of_the_recovery() {
    for (forwarders, weight) in [(3, 30.0), (48, 60.0), (100, 60.0), (300, 60.0)] {
        let at = trial_calls(forwarders, forwarders, weight, |_| 0);
        let gap = at.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(gap <= SECOND, "{forwarders}: {gap} between two of {} trial calls", at.len());
        let s = settings();
        let capacity = s.slow_start_floor * s.overload_multiple * weight;
        let most = (25..45).map(|sec| at.iter().filter(|t| **t / SECOND == sec).count()).max().unwrap();
        assert!(
            most as f64 <= 1.25 * capacity + 2.0,
            "{forwarders}: {most} in a second, it can take {capacity}"
        );
    }
}

/// Clocks that are off by a fifth of a second or by five cause bursts and gaps again, but no more trial calls.
#[test]
fn clocks_that_are_off_bring_no_more_trial_calls() {
    let even = trial_calls(48, 48, 60.0, |_| 0).len();
    for most in [20 * MS, 200 * MS, 5 * SECOND] {
        let off = trial_calls(48, 48, 60.0, |n| n as u64 * 7919 * MS % most).len();
        assert!(off.abs_diff(even) * 10 <= even, "{off} of {even} with clocks up to {most} apart");
    }
}

/// Forwarders that are dead or have nothing to send leave their slots empty; the others call no less often.
#[test]
fn a_fleet_of_which_most_are_dead_still_makes_trial_calls() {
    let at = trial_calls(100, 10, 60.0, |_| 0);
    assert!(at.len() >= 20, "{} trial calls of ten forwarders in 20 s", at.len());
}

/// A clock that was set back or forth, as a reload finds it.
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
        let mut news = vec![Event::Message(harness.new_message(IDEMPOTENT, 1))];
        let mut sent = Vec::new();
        for tick in 0..4800 {
            if tick == 2400 {
                news.push(Event::Settings(Box::new(settings_at(CLOCK - step))));
            }
            for (id, e) in sends(&harness.step_after(10 * MS, std::mem::take(&mut news))) {
                let attempt = harness.next_attempt(id);
                news.push(attempt_ended(id, attempt, e, Outcome::ConnectFailed));
                sent.push(tick);
                if attempt == 4 {
                    news.extend([
                        Event::Withdrawn { id },
                        Event::Message(harness.new_message(IDEMPOTENT, 1)),
                    ]);
                }
            }
            if tick % 1500 == 0 {
                news.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
            }
        }
        // In periods of 5.5 s.
        let after = sent.iter().filter(|t| **t >= 2400).count();
        assert!((3..=6).contains(&after), "{after} trial calls in 24 s after a step of {step}: {sent:?}");
    }
}
