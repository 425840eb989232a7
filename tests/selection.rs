//! Selection: which destination and which message the next call is for.

mod common;
use cedarbridge::*;
use common::*;

#[test]
fn a_free_call_slot_goes_to_the_destination_dispatched_to_least_recently() {
    let s = Settings { max_concurrent_calls: 1, ..settings() };
    let mut harness = PolicyHarness::new(s, vec![entry(7, 1, 0), entry(8, 2, 0)]);
    let (first, e) = harness.send_one(IDEMPOTENT, 1);
    let (again, other) = (harness.new_message(IDEMPOTENT, 1), harness.new_message(IDEMPOTENT, 2));
    let id = other.id;
    harness.step(vec![Event::Message(again), Event::Message(other)]);
    assert_eq!(
        sends(&harness.step_after(10 * MS, vec![attempt_ended(first, 0, e, Outcome::Ok)])),
        [(id, EndpointId(8))]
    );
}

#[test]
fn messages_in_one_call_take_one_slot() {
    let s = Settings { max_concurrent_calls: 1, ..settings() };
    let mut harness = PolicyHarness::new(s, vec![entry(7, 1, 2)]);
    let five: Vec<Event> = (0..5).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    assert_eq!(sends(&harness.step(five)).len(), 3);
}

/// dakar-envoi, give_up: first attempts that are wanted for a short time only were taken for retries.
#[test]
fn a_first_attempt_with_little_time_left_goes_before_messages_that_can_wait() {
    let mut harness =
        PolicyHarness::new(Settings { max_concurrent_calls: 1, ..settings() }, vec![entry(7, 1, 0)]);
    let (first, e) = harness.send_one(IDEMPOTENT, 1);
    let (patient, mut urgent) = (harness.new_message(IDEMPOTENT, 1), harness.new_message(IDEMPOTENT, 1));
    urgent.time_left = 1500 * MS;
    let id = urgent.id;
    harness.step(vec![Event::Message(patient), Event::Message(urgent)]);
    assert_eq!(
        sends(&harness.step_after(10 * MS, vec![attempt_ended(first, 0, e, Outcome::Ok)])),
        [(id, EndpointId(7))]
    );
}
