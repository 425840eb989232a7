//! Whether a process was stalled, by hand-set time.

use cedarbridge::net::runtime::stall_detector::StallDetector;
use cedarbridge::Micros;

const MS: Micros = 1_000;

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
    assert!(detector.is_caught_up(1_530 * MS) && detector.arrived_since(1_531 * MS) == 1_531 * MS);
}

#[test]
fn a_process_that_is_stalled_again_before_it_has_caught_up_counts_from_the_first_stall() {
    let detector = StallDetector::new(0);
    assert!(!detector.is_caught_up(1_000 * MS));
    assert!(!detector.is_caught_up(2_000 * MS));
    assert_eq!(detector.arrived_since(2_010 * MS), 0);
    assert!(detector.is_caught_up(2_100 * MS));
    // A heartbeat in time shows that all was read.
    detector.heartbeat(2_100 * MS);
    assert!(!detector.is_caught_up(4_000 * MS) && detector.arrived_since(4_001 * MS) == 2_100 * MS);
}
