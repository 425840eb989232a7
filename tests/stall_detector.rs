//! The stall detector with times set by the tests: whether the process was late, and since when the data that it reads may
//! have waited unread.

use cedarbridge::net::runtime::stall_detector::StallDetector;
use cedarbridge::Micros;

const MS: Micros = 1_000;

/// Makes the last `passes` catch-up passes after a stall, one every 5 ms after `from`, and checks that calls must wait until
/// the last of them.
fn catch_up(detector: &StallDetector, passes: Micros, from: Micros) {
    for pass in 1..=passes {
        assert!(!detector.allows_calls(from + pass * 5 * MS), "before pass {pass}");
        detector.catch_up_pass(from + pass * 5 * MS);
    }
}

#[test]
fn a_stalled_process_allows_no_calls_until_it_has_caught_up_and_dates_data_from_before_the_stall() {
    let detector = StallDetector::new(0);
    let slightly_late = 200 * MS;
    assert!(
        detector.earliest_arrival(150 * MS) == 150 * MS && detector.allows_calls(slightly_late),
        "a heartbeat that is slightly late"
    );
    assert!(!detector.allows_calls(1_500 * MS), "no call is sent");
    assert_eq!((detector.earliest_arrival(1_501 * MS), detector.earliest_arrival(1_529 * MS)), (0, 0));
    catch_up(&detector, 6, 1_500 * MS);
    assert!(detector.is_caught_up(1_530 * MS) && detector.earliest_arrival(1_531 * MS) == 1_531 * MS);
}

#[test]
fn a_process_that_is_stalled_again_before_it_has_caught_up_counts_from_the_first_stall() {
    let detector = StallDetector::new(0);
    assert!(!detector.allows_calls(1_000 * MS));
    assert!(!detector.allows_calls(2_000 * MS));
    assert_eq!(detector.earliest_arrival(2_010 * MS), 0);
    catch_up(&detector, 6, 2_010 * MS);
    assert!(detector.is_caught_up(2_100 * MS));
    // After it has caught up, a heartbeat in time shows that everything before it was read.
    detector.heartbeat(2_100 * MS);
    assert!(!detector.allows_calls(4_000 * MS) && detector.earliest_arrival(4_001 * MS) == 2_100 * MS);
}

/// Guards against a process that counts as caught up after a fixed time. One that was held up for another 150 ms right after
/// a stall had read nothing meanwhile, and called an endpoint whose drain was still unread.
#[test]
fn a_process_that_is_held_up_while_it_catches_up_goes_on_catching_up() {
    let detector = StallDetector::new(0);
    assert!(!detector.allows_calls(1_000 * MS));
    detector.catch_up_pass(1_005 * MS);
    assert!(!detector.allows_calls(1_156 * MS), "held up for 150 ms");
    detector.catch_up_pass(1_156 * MS);
    assert_eq!(detector.earliest_arrival(1_157 * MS), 0);
    catch_up(&detector, 4, 1_156 * MS);
    assert!(detector.is_caught_up(1_190 * MS));
}

/// Guards against data that counts as new once the first heartbeat after a stall was made. Much of what arrived during the
/// stall is read only after that heartbeat.
#[test]
fn data_read_after_a_stall_counts_from_the_last_heartbeat_before_it_until_the_last_catch_up_pass() {
    let detector = StallDetector::new(0);
    detector.heartbeat(100 * MS);
    assert_eq!(detector.earliest_arrival(150 * MS), 150 * MS, "before the next heartbeat is due");
    assert_eq!(detector.earliest_arrival(250 * MS), 250 * MS, "the next heartbeat is slightly late");
    assert_eq!(detector.earliest_arrival(480 * MS), 100 * MS, "before the late heartbeat");
    detector.heartbeat(481 * MS);
    assert_eq!(detector.earliest_arrival(570 * MS), 100 * MS, "after the late heartbeat");
    detector.heartbeat(900 * MS);
    assert_eq!(detector.earliest_arrival(901 * MS), 100 * MS, "another stall before all was read");
    detector.heartbeat(1_000 * MS);
    assert_eq!(detector.earliest_arrival(1_001 * MS), 100 * MS, "a heartbeat in time is not a catch-up pass");
    catch_up(&detector, 6, 1_001 * MS);
    assert_eq!(detector.earliest_arrival(1_035 * MS), 1_035 * MS);
}

/// A delay that is too short to hold calls back still dates the data that is read after it, and further such delays during
/// the catch-up passes do not end that early.
#[test]
fn data_read_after_a_short_delay_counts_from_the_last_heartbeat_until_the_process_has_caught_up() {
    let detector = StallDetector::new(0);
    detector.heartbeat(160 * MS);
    assert!(detector.allows_calls(161 * MS) && detector.earliest_arrival(161 * MS) == 0);
    for pass in 1..=5 {
        detector.catch_up_pass(161 * MS + pass * 151 * MS);
        assert_eq!(detector.earliest_arrival(162 * MS + pass * 151 * MS), 0, "pass {pass}");
    }
    detector.catch_up_pass(920 * MS);
    assert_eq!(detector.earliest_arrival(921 * MS), 921 * MS);
}
