//! Tests of selection: to which destination the next call is sent, and with which message.

mod common;
use cedarbridge::*;
use common::*;

#[test]
fn a_free_call_slot_goes_to_the_destination_dispatched_to_least_recently() {
    let single_slot = Settings { max_concurrent_calls: 1, ..settings() };
    let mut harness = PolicyHarness::new(single_slot, vec![entry(7, 1, 0), entry(8, 2, 0)]);
    let (first, endpoint) = harness.send_one(IDEMPOTENT, 1);
    let (second, other) = (harness.new_message(IDEMPOTENT, 1), harness.new_message(IDEMPOTENT, 2));
    let id = other.id;
    harness.step(vec![Event::Message(second), Event::Message(other)]);
    assert_eq!(
        sends(&harness.step_after(10 * MS, vec![attempt_ended(first, 0, endpoint, Outcome::Ok)])),
        [(id, EndpointId(8))]
    );
}

#[test]
fn messages_in_one_call_take_one_slot() {
    let single_slot = Settings { max_concurrent_calls: 1, ..settings() };
    let mut harness = PolicyHarness::new(single_slot, vec![entry(7, 1, 2)]);
    let messages: Vec<Event> = (0..5).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    assert_eq!(sends(&harness.step(messages)).len(), 3);
}

/// Guards against taking the first attempt of a message for a retry because its client allows it only a short
/// time.
#[test]
fn a_first_attempt_with_little_time_left_goes_before_messages_that_can_wait() {
    let mut harness =
        PolicyHarness::new(Settings { max_concurrent_calls: 1, ..settings() }, vec![entry(7, 1, 0)]);
    let (first, endpoint) = harness.send_one(IDEMPOTENT, 1);
    let (patient, mut urgent) = (harness.new_message(IDEMPOTENT, 1), harness.new_message(IDEMPOTENT, 1));
    urgent.time_left = 1500 * MS;
    let id = urgent.id;
    harness.step(vec![Event::Message(patient), Event::Message(urgent)]);
    assert_eq!(
        sends(&harness.step_after(10 * MS, vec![attempt_ended(first, 0, endpoint, Outcome::Ok)])),
        [(id, EndpointId(7))]
    );
}
