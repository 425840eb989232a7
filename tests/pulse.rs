//! Whether a process stood still, by hand-set time.

use cedarbridge::net::runtime::stall_detector::StallDetector;
use cedarbridge::Micros;

const MS: Micros = 1_000;

#[test]
fn who_stood_still_reads_first_and_takes_what_he_reads_for_as_old_as_it_may_be() {
    let p = StallDetector::new(0);
    assert!(p.caught_up(200 * MS) && p.since(200 * MS) == 200 * MS, "a beat that is a little late");
    assert!(!p.caught_up(1_500 * MS), "nothing is sent");
    assert_eq!((p.since(1_501 * MS), p.since(1_529 * MS)), (0, 0));
    assert!(p.caught_up(1_530 * MS) && p.since(1_531 * MS) == 1_531 * MS);
}

#[test]
fn who_stands_still_again_before_he_has_read_counts_from_the_first_time() {
    let p = StallDetector::new(0);
    assert!(!p.caught_up(1_000 * MS));
    assert!(!p.caught_up(2_000 * MS));
    assert_eq!(p.since(2_010 * MS), 0);
    assert!(p.caught_up(2_100 * MS));
    // A beat that came in time shows that all was read.
    p.beat(2_100 * MS);
    assert!(!p.caught_up(4_000 * MS) && p.since(4_001 * MS) == 2_100 * MS);
}
