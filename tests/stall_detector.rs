//! Whether a process was stalled, by hand-set time.

use cedarbridge::net::runtime::stall_detector::StallDetector;
use cedarbridge::Micros;

const MS: Micros = 1_000;

/// Makes the last laps of a process that catches up, from a time on.
fn catch_up(detector: &StallDetector, laps: Micros, from: Micros) {
    for lap in 1..=laps {
        assert!(!detector.is_caught_up(from + lap * 5 * MS), "before lap {lap}");
        detector.lap(from + lap * 5 * MS);
    }
}

#[test]
fn a_process_that_was_stalled_reads_first_and_takes_what_it_reads_for_as_old_as_it_may_be() {
    let detector = StallDetector::new(0);
    let late = 200 * MS;
    assert!(
        detector.is_caught_up(late) && detector.arrived_since(late) == late,
        "a heartbeat that is a little late"
    );
    assert!(!detector.is_caught_up(1_500 * MS), "nothing is sent");
    assert_eq!((detector.arrived_since(1_501 * MS), detector.arrived_since(1_529 * MS)), (0, 0));
    catch_up(&detector, 6, 1_500 * MS);
    assert!(detector.is_caught_up(1_530 * MS) && detector.arrived_since(1_531 * MS) == 1_531 * MS);
}

#[test]
fn a_process_that_is_stalled_again_before_it_has_caught_up_counts_from_the_first_stall() {
    let detector = StallDetector::new(0);
    assert!(!detector.is_caught_up(1_000 * MS));
    assert!(!detector.is_caught_up(2_000 * MS));
    assert_eq!(detector.arrived_since(2_010 * MS), 0);
    catch_up(&detector, 6, 2_010 * MS);
    assert!(detector.is_caught_up(2_100 * MS));
    // A heartbeat in time shows that all was read.
    detector.heartbeat(2_100 * MS);
    assert!(!detector.is_caught_up(4_000 * MS) && detector.arrived_since(4_001 * MS) == 2_100 * MS);
}

/// Guards against catching up by the clock alone: a process that is held up for 150 ms right after a stall has read nothing
/// meanwhile, and called an endpoint whose drain lay unread.
#[test]
fn a_process_that_is_held_up_while_it_catches_up_goes_on_catching_up() {
    let detector = StallDetector::new(0);
    assert!(!detector.is_caught_up(1_000 * MS));
    detector.lap(1_005 * MS);
    assert!(!detector.is_caught_up(1_156 * MS), "held up for 150 ms");
    detector.lap(1_156 * MS);
    assert_eq!(detector.arrived_since(1_157 * MS), 0);
    catch_up(&detector, 4, 1_156 * MS);
    assert!(detector.is_caught_up(1_190 * MS));
}
