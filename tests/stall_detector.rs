//! Whether a process was late, and since when what it reads may have lain unread, by hand-set time.

use cedarbridge::net::runtime::stall_detector::StallDetector;
use cedarbridge::Micros;

const MS: Micros = 1_000;

/// Makes the last laps of a process that catches up, from a time on.
fn catch_up(detector: &StallDetector, laps: Micros, from: Micros) {
    for lap in 1..=laps {
        assert!(!detector.allows_calls(from + lap * 5 * MS), "before lap {lap}");
        detector.lap(from + lap * 5 * MS);
    }
}

#[test]
fn a_process_that_was_stalled_reads_first_and_takes_what_it_reads_for_as_old_as_it_may_be() {
    let detector = StallDetector::new(0);
    let late = 200 * MS;
    assert!(
        detector.arrived_since(150 * MS) == 150 * MS && detector.allows_calls(late),
        "a heartbeat that is a little late"
    );
    assert!(!detector.allows_calls(1_500 * MS), "nothing is sent");
    assert_eq!((detector.arrived_since(1_501 * MS), detector.arrived_since(1_529 * MS)), (0, 0));
    catch_up(&detector, 6, 1_500 * MS);
    assert!(detector.is_caught_up(1_530 * MS) && detector.arrived_since(1_531 * MS) == 1_531 * MS);
}

#[test]
fn a_process_that_is_stalled_again_before_it_has_caught_up_counts_from_the_first_stall() {
    let detector = StallDetector::new(0);
    assert!(!detector.allows_calls(1_000 * MS));
    assert!(!detector.allows_calls(2_000 * MS));
    assert_eq!(detector.arrived_since(2_010 * MS), 0);
    catch_up(&detector, 6, 2_010 * MS);
    assert!(detector.is_caught_up(2_100 * MS));
    // A heartbeat in time shows that all was read.
    detector.heartbeat(2_100 * MS);
    assert!(!detector.allows_calls(4_000 * MS) && detector.arrived_since(4_001 * MS) == 2_100 * MS);
}

/// Guards against catching up by the clock alone: a process that is held up for 150 ms right after a stall has read nothing
/// meanwhile, and called an endpoint whose drain lay unread.
#[test]
fn a_process_that_is_held_up_while_it_catches_up_goes_on_catching_up() {
    let detector = StallDetector::new(0);
    assert!(!detector.allows_calls(1_000 * MS));
    detector.lap(1_005 * MS);
    assert!(!detector.allows_calls(1_156 * MS), "held up for 150 ms");
    detector.lap(1_156 * MS);
    assert_eq!(detector.arrived_since(1_157 * MS), 0);
    catch_up(&detector, 4, 1_156 * MS);
    assert!(detector.is_caught_up(1_190 * MS));
}

/// Guards against taking what is read after a stall for new once the late heartbeat has come: much is read behind it.
#[test]
fn what_is_read_after_a_stall_may_be_as_old_as_the_last_heartbeat_before_it_up_to_the_last_lap() {
    let detector = StallDetector::new(0);
    detector.heartbeat(100 * MS);
    assert_eq!(detector.arrived_since(150 * MS), 150 * MS, "it has just arrived");
    assert_eq!(detector.arrived_since(250 * MS), 250 * MS, "the next heartbeat is a little late");
    assert_eq!(detector.arrived_since(480 * MS), 100 * MS, "before the late heartbeat");
    detector.heartbeat(481 * MS);
    assert_eq!(detector.arrived_since(570 * MS), 100 * MS, "behind it");
    detector.heartbeat(900 * MS);
    assert_eq!(detector.arrived_since(901 * MS), 100 * MS, "another stall before all was read");
    detector.heartbeat(1_000 * MS);
    assert_eq!(detector.arrived_since(1_001 * MS), 100 * MS, "a heartbeat in time shows no lap");
    catch_up(&detector, 6, 1_001 * MS);
    assert_eq!(detector.arrived_since(1_035 * MS), 1_035 * MS);
}

/// A lateness that holds no call back still dates what is read, and a hold-up in a row does not end it.
#[test]
fn what_is_read_after_a_short_lateness_is_dated_until_the_process_has_caught_up() {
    let detector = StallDetector::new(0);
    detector.heartbeat(160 * MS);
    assert!(detector.allows_calls(161 * MS) && detector.arrived_since(161 * MS) == 0);
    for lap in 1..=5 {
        detector.lap(161 * MS + lap * 151 * MS);
        assert_eq!(detector.arrived_since(162 * MS + lap * 151 * MS), 0, "lap {lap}");
    }
    detector.lap(920 * MS);
    assert_eq!(detector.arrived_since(921 * MS), 921 * MS);
}
