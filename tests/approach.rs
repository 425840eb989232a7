//! The pauses between watches, with draws set by hand or from a fixed seed.

use cedarbridge::membership::WatchBackoff;
use cedarbridge::Micros;

const SECOND: Micros = 1_000_000;
/// The longest pause of one that is turned away, and of one whose watch breaks.
const LONGEST: (Micros, Micros) = (15 * SECOND, SECOND);

#[test]
fn the_pauses_grow_to_their_longest_and_start_anew_once_something_was_told() {
    let mut a = WatchBackoff::new(3);
    let away: Vec<Micros> = (0..10).map(|_| a.after_rejection(None, 0.5)).collect();
    let broke: Vec<Micros> = (0..10).map(|_| a.after_failure(0.5)).collect();
    for (pauses, longest) in [(&away, LONGEST.0), (&broke, LONGEST.1)] {
        assert!(pauses.windows(2).all(|p| p[0] <= p[1]), "{pauses:?}");
        assert_eq!(pauses[9], longest * 3 / 4);
    }
    a.received();
    assert_eq!((a.after_rejection(None, 0.5), a.after_failure(0.5)), (away[0], broke[0]));
}

/// Guards against a fleet whose own questions keep the platform from answering any: seen with 48 forwarders that each
/// asked four times a second, and got nothing for as long as they went on. What the platform has counts as told to each from
/// the first moment on, so all may ask once; from the first refusal on they ask no more than their part.
#[test]
fn a_fleet_that_lost_its_watches_at_once_asks_no_more_than_its_part() {
    let mut rng = fastrand::Rng::with_seed(7);
    for fleet in [8, 48, 300] {
        let mut calls = vec![0; 30];
        for _ in 0..fleet {
            let (mut a, mut at) = (WatchBackoff::new(fleet), 0);
            assert!(a.after_failure(rng.f64()) < SECOND / 10, "the first one comes at once");
            while at < 30 * SECOND {
                at += a.after_rejection(None, rng.f64());
                calls[(at / SECOND).min(29) as usize] += 1;
            }
        }
        let most = calls[..29].iter().max().expect("seconds");
        assert!(*most < 50, "{fleet}: {calls:?}");
    }
}

/// Guards against a forwarder that asks an agent that is gone over and over without a rest.
#[test]
fn one_whose_watch_breaks_each_time_asks_once_a_second_or_two_in_the_end() {
    for draw in [0.0, 1.0] {
        let mut a = WatchBackoff::new(300);
        let spent: Micros = (0..100).map(|_| a.after_failure(draw)).sum();
        assert!((40 * SECOND..100 * SECOND).contains(&spent), "{spent}");
    }
}

#[test]
fn a_wait_that_was_asked_for_is_kept() {
    let mut a = WatchBackoff::new(3);
    for _ in 0..20 {
        assert!(a.after_rejection(Some(5 * SECOND), 1.0) >= 5 * SECOND);
    }
    assert!(a.after_rejection(Some(Micros::MAX), 1.0) == Micros::MAX);
}
