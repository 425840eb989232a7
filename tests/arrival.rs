//! Since when something that is read may have lain unread, by hand-set time.

use cedarbridge::net::runtime::arrival::ArrivalBound;
use cedarbridge::Micros;

const MS: Micros = 1_000;

#[test]
fn what_is_read_between_heartbeats_in_time_has_just_arrived() {
    let bound = ArrivalBound::new(0);
    bound.heartbeat(100 * MS);
    assert_eq!(bound.earliest_arrival(150 * MS), 150 * MS);
    assert_eq!(bound.earliest_arrival(250 * MS), 250 * MS, "the next heartbeat is a little late");
}

/// Guards against taking what is read after a stall for new once the late heartbeat has come: much is read behind it.
#[test]
fn what_is_read_after_a_stall_may_be_as_old_as_the_last_heartbeat_before_it_up_to_one_in_time() {
    let bound = ArrivalBound::new(0);
    bound.heartbeat(100 * MS);
    assert_eq!(bound.earliest_arrival(480 * MS), 100 * MS, "before the late heartbeat");
    bound.heartbeat(481 * MS);
    assert_eq!(bound.earliest_arrival(570 * MS), 100 * MS, "behind it");
    bound.heartbeat(900 * MS);
    assert_eq!(bound.earliest_arrival(901 * MS), 100 * MS, "another stall before all was read");
    bound.heartbeat(1_000 * MS);
    assert_eq!(bound.earliest_arrival(1_001 * MS), 1_001 * MS);
}
