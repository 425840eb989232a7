//! The backoff between watches of the pushed list, with given random draws or a fixed seed.

use cedarbridge::membership::WatchBackoff;
use cedarbridge::Micros;

const SECOND: Micros = 1_000_000;
/// The longest pause after a rejection.
const MAX_REJECTION_PAUSE: Micros = 15 * SECOND;
/// The longest pause after a watch failed.
const MAX_FAILURE_PAUSE: Micros = SECOND;

#[test]
fn the_pauses_grow_to_their_longest_and_start_anew_once_something_was_received() {
    let mut backoff = WatchBackoff::new(3);
    let after_rejections: Vec<Micros> = (0..10).map(|_| backoff.after_rejection(None, 0.5)).collect();
    let after_failures: Vec<Micros> = (0..10).map(|_| backoff.after_failure(0.5)).collect();
    for (pauses, longest) in [(&after_rejections, MAX_REJECTION_PAUSE), (&after_failures, MAX_FAILURE_PAUSE)]
    {
        assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]), "{pauses:?}");
        assert_eq!(pauses[9], longest * 3 / 4);
    }
    backoff.received();
    assert_eq!(
        (backoff.after_rejection(None, 0.5), backoff.after_failure(0.5)),
        (after_rejections[0], after_failures[0])
    );
}

/// Guards against a fleet that overloads the platform with its own requests: 48 forwarders that each sent four requests a
/// second got no response for as long as they went on. Each forwarder may send one request at once, because the platform's
/// list counts as received from the start. After its first rejection it must keep to its share of the fleet's request rate.
#[test]
fn a_fleet_that_lost_its_watches_at_once_requests_no_more_than_its_share() {
    let mut rng = fastrand::Rng::with_seed(7);
    for fleet in [8, 48, 300] {
        let mut requests = vec![0; 30];
        for _ in 0..fleet {
            let (mut backoff, mut at) = (WatchBackoff::new(fleet), 0);
            assert!(backoff.after_failure(rng.f64()) < SECOND / 10, "the first retry comes at once");
            while at < 30 * SECOND {
                at += backoff.after_rejection(None, rng.f64());
                requests[(at / SECOND).min(29) as usize] += 1;
            }
        }
        let max_per_second = requests[..29].iter().max().expect("seconds");
        assert!(*max_per_second < 50, "{fleet}: {requests:?}");
    }
}

/// Guards against a forwarder that keeps reconnecting without a pause to an agent that is gone.
#[test]
fn a_watch_that_fails_each_time_is_opened_once_or_twice_a_second_in_the_end() {
    for draw in [0.0, 1.0] {
        let mut backoff = WatchBackoff::new(300);
        let total: Micros = (0..100).map(|_| backoff.after_failure(draw)).sum();
        assert!((40 * SECOND..100 * SECOND).contains(&total), "{total}");
    }
}

#[test]
fn a_retry_after_is_respected() {
    let mut backoff = WatchBackoff::new(3);
    for _ in 0..20 {
        assert!(backoff.after_rejection(Some(5 * SECOND), 1.0) >= 5 * SECOND);
    }
    assert!(backoff.after_rejection(Some(Micros::MAX), 1.0) == Micros::MAX);
}
