//! Tests of calls that remain unanswered: which of them are cancelled, and when their endpoint gets no more
//! calls.

mod common;
use cedarbridge::*;
use common::*;

#[test]
fn an_overdue_call_is_cancelled_to_free_its_slot_for_another_destination() {
    let single_slot = Settings { max_concurrent_calls: 1, ..settings() };
    let mut harness = PolicyHarness::new(single_slot, vec![entry(7, 1, 0), entry(8, 2, 0)]);
    let (stuck, endpoint) = harness.send_one(IDEMPOTENT, 1);
    let other = harness.new_message(IDEMPOTENT, 2);
    let waiting = other.id;
    let cancel = Action::Cancel { id: stuck, attempt: 0 };
    assert!(!harness.step_after(100 * MS, vec![Event::Message(other)]).contains(&cancel));
    assert!(harness.step_after(3 * SECOND, vec![]).contains(&cancel));
    assert!(!harness.step_after(10 * MS, vec![]).contains(&cancel), "cancelled once");
    let actions = harness.step_after(10 * MS, vec![attempt_ended(stuck, 0, endpoint, Outcome::Cancelled)]);
    assert_eq!(sends(&actions), [(waiting, EndpointId(8))]);
}

/// Guards against cancelling and repeating calls that merely take long, and against breakers that open on
/// them. The endpoint takes short and long calls, and its mean latency lies between the two.
#[test]
fn a_class_with_long_calls_is_not_cancelled_for_exceeding_the_mean_latency() {
    let single_slot = Settings { max_concurrent_calls: 1, ..settings() };
    let mut harness = PolicyHarness::new(single_slot, vec![entry(7, 1, 0), entry(8, 2, 0)]);
    for _ in 0..40 {
        for (class, elapsed) in [(IDEMPOTENT, 100 * MS), (WITH_KEY, 500 * MS)] {
            let (id, endpoint) = harness.send_one(class, 1);
            let (outcome, report) = (Outcome::Ok, None);
            let response = Event::AttemptEnded {
                id,
                attempt: 0,
                endpoint,
                outcome,
                elapsed,
                completes_message: true,
                report,
            };
            harness.step_after(elapsed, vec![response]);
        }
    }
    // The mean latency is 0.3 s, so a call counts as stuck after 1.2 s. For the class with long calls that
    // time is 1.6 times as long. A call is cancelled after 1.2 times that time.
    for (class, not_before, not_after) in
        [(WITH_KEY, 2000 * MS, 2700 * MS), (IDEMPOTENT, 1300 * MS, 1700 * MS)]
    {
        let (id, endpoint) = harness.send_one(class, 1);
        let cancel = Action::Cancel { id, attempt: 0 };
        let other = harness.new_message(IDEMPOTENT, 2);
        let waiting = other.id;
        harness.step(vec![Event::Message(other)]);
        for _ in 0..not_before / (50 * MS) {
            assert!(
                !harness.step_after(50 * MS, vec![]).contains(&cancel),
                "class {class}, {} us",
                harness.now
            );
        }
        let cancelled = (not_before / (50 * MS)..not_after / (50 * MS))
            .any(|_| harness.step_after(50 * MS, vec![]).contains(&cancel));
        assert!(cancelled, "class {class}");
        let withdrawal = Event::Withdrawn { id };
        let actions =
            harness.step_after(10 * MS, vec![attempt_ended(id, 0, endpoint, Outcome::Cancelled), withdrawal]);
        assert_eq!(sends(&actions), [(waiting, EndpointId(8))]);
        harness.step_after(10 * MS, vec![attempt_ended(waiting, 0, EndpointId(8), Outcome::Ok)]);
    }
}

/// Guards against a single dead connection among good ones, whose call held a slot and its message until the
/// timeout and then counted as a failure of an endpoint that answered all other calls.
#[test]
fn a_call_stuck_on_its_own_connection_is_cancelled_and_does_not_open_the_breaker() {
    let mut harness = one_destination();
    for round in 0..3 {
        let (stuck, endpoint) = harness.send_one(IDEMPOTENT, 1);
        // Once the first call is stuck, one more is sent on another connection, and is answered.
        harness.step_after(1700 * MS, vec![]);
        let (other, _) = harness.send_one(IDEMPOTENT, 1);
        let actions = harness.step_after(50 * MS, vec![attempt_ended(other, 0, endpoint, Outcome::Ok)]);
        let early = actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
        assert!(round > 0 || !early, "not before it is long overdue");
        let mut cancelled = early;
        for _ in 0..20 {
            let cancel = Action::Cancel { id: stuck, attempt: 0 };
            cancelled |= harness.step_after(50 * MS, vec![]).contains(&cancel);
        }
        assert!(cancelled);
        let retries =
            sends(&harness.step_after(10 * MS, vec![attempt_ended(stuck, 0, endpoint, Outcome::Cancelled)]));
        assert_eq!(retries, [(stuck, endpoint)]);
        harness.step_after(50 * MS, vec![attempt_ended(stuck, 1, endpoint, Outcome::Ok)]);
    }
    let status = harness.policy.status(harness.now).next().expect("a destination");
    assert_eq!((status.breaker, status.in_slow_start), (BreakerState::Closed, false));
}

#[test]
fn an_endpoint_with_two_stuck_calls_gets_no_third() {
    let mut harness = one_destination();
    harness.send_one(IDEMPOTENT, 1);
    harness.step_after(1700 * MS, vec![]);
    harness.send_one(IDEMPOTENT, 1);
    harness.step_after(1700 * MS, vec![]);
    let third = harness.new_message(IDEMPOTENT, 1);
    assert!(sends(&harness.step(vec![Event::Message(third)])).is_empty());
}
