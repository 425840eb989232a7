//! Places in a round: what holds for any count of forwarders, partner, length and clock, and what a fleet that takes its
//! trials by them does.

mod common;
use cedarbridge::time_slots::{rounded_period, SlotAllocator};
use cedarbridge::*;
use common::*;
use proptest::prelude::*;

/// A day of the wall clock, so that a round's begin is nowhere special.
const CLOCK: Micros = 1_796_000_000_000_000;

fn place(at: Micros, number: u64, partner: u64, length: Micros) -> Micros {
    SlotAllocator::new(0).schedule(at, Some(number), partner).delay_to_slot(length as f64)
}

/// When each number's place comes within a round from a moment on, in order.
fn places(at: Micros, numbers: impl Iterator<Item = u64>, partner: u64, length: Micros) -> Vec<Micros> {
    let mut all: Vec<_> = numbers.map(|n| place(at, n, partner, length)).collect();
    all.sort();
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(23), ..ProptestConfig::default() })]

    #[test]
    fn each_number_has_one_place_a_round_and_no_two_share_one_and_gaps_are_even(
        count in 2u64..400, first in 0u64..1000, partner: u64, later in 0..3_600 * SECOND, grade in 0u32..60,
    ) {
        let length = rounded_period(2f64.powf(f64::from(grade) / 4.0) * SECOND as f64 / 10.0);
        let at = CLOCK + later;
        let all = places(at, first..first + count, partner, length);
        // Once a round: the next one after a place comes a round later, not sooner.
        for n in first..first + count.min(5) {
            let next = at + place(at, n, partner, length);
            prop_assert_eq!(place(next, n, partner, length), 0);
            prop_assert_eq!(place(next + 1, n, partner, length), length - 1);
        }
        let mut gaps: Vec<_> = all.windows(2).map(|w| w[1] - w[0]).collect();
        gaps.push(all[0] + length - all[all.len() - 1]);
        let (least, most) = (*gaps.iter().min().unwrap(), *gaps.iter().max().unwrap());
        prop_assert!(least > 0, "two at one place");
        let even = length as f64 / count as f64;
        // Three gaps, the largest the sum of the others (2.62 times the least); with two numbers 1.62 times.
        prop_assert!(most as f64 <= 2.0 * even + 2.0 && least as f64 >= 0.38 * even - 2.0, "{least} to {most} of {even}");
    }

    #[test]
    fn one_forwarder_more_or_a_count_that_is_wrong_moves_nobody(count in 1u64..400, partner: u64, at in CLOCK..2 * CLOCK) {
        let length = rounded_period(7e6);
        let before: Vec<_> = (0..count).map(|n| place(at, n, partner, length)).collect();
        let after: Vec<_> = (0..count + 1).map(|n| place(at, n, partner, length)).collect();
        prop_assert_eq!(&before[..], &after[..count as usize]);
    }

    /// Whatever clocks show, each comes once a round: clocks that differ make the order chance, never the rate higher.
    #[test]
    fn clocks_that_differ_change_no_rate(
        offsets in proptest::collection::vec(0..5 * SECOND, 3..60), partner: u64, length in SECOND / 2..60 * SECOND,
    ) {
        let length = rounded_period(length as f64);
        for (n, offset) in offsets.iter().enumerate() {
            let mut now = CLOCK;
            for _ in 0..4 {
                let turn = SlotAllocator::new(0).schedule(now + offset, Some(n as u64), partner);
                let wait = turn.delay_to_slot_after(length as f64, SECOND / 10);
                prop_assert!(wait >= SECOND / 10 && wait < length + SECOND / 10);
                now += wait;
            }
            // Four waits take in three whole rounds at least.
            prop_assert!(now - CLOCK > 3 * length);
        }
    }

    #[test]
    fn any_length_is_brought_to_a_round_hardly_shorter_and_at_most_a_fifth_longer(length in 1.0f64..3.0e9) {
        let brought = rounded_period(length) as f64;
        prop_assert!(brought >= 0.998 * length && brought <= 1.2 * length.max(1e3));
    }
}

#[test]
fn odd_lengths_stop_nobody() {
    for length in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE, 1e300] {
        for number in [None, Some(3)] {
            let mut slots = SlotAllocator::new(1);
            assert!(slots.schedule(CLOCK, number, 1).delay_to_slot(length) <= 4_000 * SECOND, "{length}");
            assert!(
                slots.schedule(Micros::MAX, number, 1).delay_to_slot_after(length, SECOND) <= 8_000 * SECOND,
                "{length}"
            );
        }
    }
}

/// Nobody is first everywhere: the order is another one at each partner.
#[test]
fn who_comes_first_differs_from_partner_to_partner() {
    let first = |partner| (0..100u64).min_by_key(|n| place(CLOCK, *n, partner, rounded_period(1e7))).unwrap();
    let mut all: Vec<u64> = (0..50).map(first).collect();
    all.sort();
    all.dedup();
    assert!(all.len() > 25, "{all:?}");
}

/// Drawn waits come as often in the mean as places do.
#[test]
fn without_a_number_the_rate_is_the_same_in_the_mean() {
    let mut slots = SlotAllocator::new(7);
    let sum: Micros =
        (0..10_000).map(|_| slots.schedule(CLOCK, None, 1).delay_to_slot_after(4e6, SECOND)).sum();
    assert!((3.9e6..4.1e6).contains(&(sum as f64 / 10_000.0)), "{sum}");
}

/// A partner that all have seen fail: when trials of the whole fleet came in twenty seconds of it.
fn trials(forwarders: usize, busy: usize, weight: f64, offset: impl Fn(usize) -> Micros) -> Vec<Micros> {
    const STEP: Micros = 10 * MS;
    let mut fleet: Vec<World> = (0..busy)
        .map(|n| {
            let (number, ahead) = (Some(n as u64), CLOCK + offset(n));
            let s = Settings { forwarders, forwarder_index: number, wall_clock_offset: ahead, ..settings() };
            let mut w = World::new(s, vec![EndpointEntry { weight, ..entry(7, 1, 0) }]);
            // It has been well for a while, or else each would count on more than its even part.
            w.at(60 * SECOND, vec![]);
            w
        })
        .collect();
    let mut due: Vec<Vec<Event>> = vec![vec![]; busy];
    let mut at = Vec::new();
    // Each message lives for 20 s, so there is always one that waits.
    for tick in 0..4500 {
        for (n, w) in fleet.iter_mut().enumerate() {
            let mut news = std::mem::take(&mut due[n]);
            if tick % 400 == 0 {
                news.push(Event::Message(w.message(SAFE, 1)));
            }
            for (id, e) in sends(&w.at(STEP, news)) {
                let attempt = w.attempt(id);
                due[n].push(result(id, attempt, e, Outcome::ConnectFailed));
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

/// Whenever the partner comes back, a trial comes within a second, and no second has many more than its part.
#[test]
fn trials_of_a_whole_fleet_come_evenly_and_the_first_within_a_second_of_the_return() {
    for (forwarders, weight) in [(3, 30.0), (48, 60.0), (100, 60.0), (300, 60.0)] {
        let at = trials(forwarders, forwarders, weight, |_| 0);
        let gap = at.windows(2).map(|w| w[1] - w[0]).max().unwrap();
        assert!(gap <= SECOND, "{forwarders}: {gap} between two of {} trials", at.len());
        let s = settings();
        let able = s.slow_start_floor * s.overload_multiple * weight;
        let most = (25..45).map(|sec| at.iter().filter(|t| **t / SECOND == sec).count()).max().unwrap();
        assert!(most as f64 <= 1.25 * able + 2.0, "{forwarders}: {most} in a second, it can take {able}");
    }
}

/// Clocks that are off by a fifth of a second or by five make heaps and gaps again, but no more trials.
#[test]
fn clocks_that_are_off_bring_no_more_trials() {
    let even = trials(48, 48, 60.0, |_| 0).len();
    for most in [20 * MS, 200 * MS, 5 * SECOND] {
        let off = trials(48, 48, 60.0, |n| n as u64 * 7919 * MS % most).len();
        assert!(off.abs_diff(even) * 10 <= even, "{off} of {even} with clocks up to {most} apart");
    }
}

/// A part of the fleet that is dead or has nothing to send leaves its places empty; nobody else comes less often.
#[test]
fn a_fleet_of_which_most_are_dead_still_tries() {
    let at = trials(100, 10, 60.0, |_| 0);
    assert!(at.len() >= 20, "{} trials of ten forwarders in 20 s", at.len());
}

/// A clock that was set back or forth, as a reload finds it, brings neither a trial more nor an end of trials.
#[test]
fn a_clock_that_steps_stops_nobody() {
    for step in [0, 5 * SECOND, 3_600 * SECOND] {
        let s = |ahead| Settings {
            forwarders: 48,
            forwarder_index: Some(7),
            wall_clock_offset: ahead,
            ..settings()
        };
        let mut w = World::new(s(CLOCK), vec![entry(7, 1, 0)]);
        w.at(60 * SECOND, vec![]);
        let mut news = vec![Event::Message(w.message(SAFE, 1))];
        let mut sent = Vec::new();
        for tick in 0..4800 {
            if tick == 2400 {
                news.push(Event::Settings(Box::new(s(CLOCK - step))));
            }
            for (id, e) in sends(&w.at(10 * MS, std::mem::take(&mut news))) {
                let attempt = w.attempt(id);
                news.push(result(id, attempt, e, Outcome::ConnectFailed));
                sent.push(tick);
                if attempt == 4 {
                    news.extend([Event::Withdrawn { id }, Event::Message(w.message(SAFE, 1))]);
                }
            }
            if tick % 1500 == 0 {
                news.push(Event::Message(w.message(SAFE, 1)));
            }
        }
        // In rounds of 5.5 s.
        let after = sent.iter().filter(|t| **t >= 2400).count();
        assert!((3..=6).contains(&after), "{after} trials in 24 s after a step of {step}: {sent:?}");
    }
}
