//! Calls that stay unanswered: which are cancelled, and what they say of their endpoint.

mod common;
use cedarbridge::*;
use common::*;

#[test]
fn an_overdue_call_is_cancelled_to_free_its_slot_for_another_destination() {
    let s = Settings { max_concurrent_calls: 1, ..settings() };
    let mut harness = PolicyHarness::new(s, vec![entry(7, 1, 0), entry(8, 2, 0)]);
    let (hung, e) = harness.send_one(IDEMPOTENT, 1);
    let other = harness.new_message(IDEMPOTENT, 2);
    let wait = other.id;
    let cancel = Action::Cancel { id: hung, attempt: 0 };
    assert!(!harness.step_after(100 * MS, vec![Event::Message(other)]).contains(&cancel));
    assert!(harness.step_after(3 * SECOND, vec![]).contains(&cancel));
    assert!(!harness.step_after(10 * MS, vec![]).contains(&cancel), "cancelled once");
    let actions = harness.step_after(10 * MS, vec![attempt_ended(hung, 0, e, Outcome::Cancelled)]);
    assert_eq!(sends(&actions), [(wait, EndpointId(8))]);
}

/// Guards against calls that are only long being cancelled and made twice, and against breakers that open on them:
/// an endpoint takes short and long calls, and its mean latency lies between.
#[test]
fn a_class_with_long_calls_is_not_cancelled_for_exceeding_the_mean_latency() {
    let s = Settings { max_concurrent_calls: 1, ..settings() };
    let mut harness = PolicyHarness::new(s, vec![entry(7, 1, 0), entry(8, 2, 0)]);
    for _ in 0..40 {
        for (class, elapsed) in [(IDEMPOTENT, 100 * MS), (WITH_KEY, 500 * MS)] {
            let (id, endpoint) = harness.send_one(class, 1);
            let (outcome, report) = (Outcome::Ok, None);
            let answer =
                Event::AttemptEnded { id, attempt: 0, endpoint, outcome, elapsed, ended: true, report };
            harness.step_after(elapsed, vec![answer]);
        }
    }
    // The mean is 0.3 s, so the patience is 1.2 s; the long class has 1.6 times that, and is cancelled only at 1.2
    // times that.
    for (class, not_yet, long_overdue) in
        [(WITH_KEY, 2000 * MS, 2700 * MS), (IDEMPOTENT, 1300 * MS, 1700 * MS)]
    {
        let (id, e) = harness.send_one(class, 1);
        let cancel = Action::Cancel { id, attempt: 0 };
        let other = harness.new_message(IDEMPOTENT, 2);
        let wait = other.id;
        harness.step(vec![Event::Message(other)]);
        for _ in 0..not_yet / (50 * MS) {
            assert!(
                !harness.step_after(50 * MS, vec![]).contains(&cancel),
                "class {class}, {} us",
                harness.now
            );
        }
        let cancelled = (not_yet / (50 * MS)..long_overdue / (50 * MS))
            .any(|_| harness.step_after(50 * MS, vec![]).contains(&cancel));
        assert!(cancelled, "class {class}");
        let ended = Event::Withdrawn { id };
        let actions = harness.step_after(10 * MS, vec![attempt_ended(id, 0, e, Outcome::Cancelled), ended]);
        assert_eq!(sends(&actions), [(wait, EndpointId(8))]);
        harness.step_after(10 * MS, vec![attempt_ended(wait, 0, EndpointId(8), Outcome::Ok)]);
    }
}

/// Guards against one silent connection among good ones that occupies its slot and its message up to the timeout, and
/// then counts as a failure of an endpoint that answers all else.
#[test]
fn a_call_stuck_on_its_own_connection_is_cancelled_and_does_not_open_the_breaker() {
    let mut harness = one_destination();
    for round in 0..3 {
        let (lone, e) = harness.send_one(IDEMPOTENT, 1);
        // Once the first call is stuck one more goes, on another connection; it is answered.
        harness.step_after(1700 * MS, vec![]);
        let (other, _) = harness.send_one(IDEMPOTENT, 1);
        let actions = harness.step_after(50 * MS, vec![attempt_ended(other, 0, e, Outcome::Ok)]);
        let early = actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
        assert!(round > 0 || !early, "not before it is long overdue");
        let mut cancelled = early;
        for _ in 0..20 {
            let cancel = Action::Cancel { id: lone, attempt: 0 };
            cancelled |= harness.step_after(50 * MS, vec![]).contains(&cancel);
        }
        assert!(cancelled);
        let again = sends(&harness.step_after(10 * MS, vec![attempt_ended(lone, 0, e, Outcome::Cancelled)]));
        assert_eq!(again, [(lone, e)]);
        harness.step_after(50 * MS, vec![attempt_ended(lone, 1, e, Outcome::Ok)]);
    }
    let status = harness.policy.status(harness.now).next().expect("a destination");
    assert_eq!((status.breaker, status.warming_up), (BreakerState::Closed, false));
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
