//! When idle connections are closed.

mod common;
use cedarbridge::*;
use common::*;

/// Incident ibf1554: idle connections died unnoticed; each reuse after a pause went unanswered.
#[test]
fn idle_connections_are_closed_when_calls_on_reused_ones_go_unanswered() {
    let entries = (0..20).map(|i| entry(i, i as u64, 0)).collect();
    let mut harness = PolicyHarness::new(settings(), entries);
    let mut closed = false;
    for round in 0..2 {
        for d in 0..20 {
            let m = harness.new_message(IDEMPOTENT, d);
            let id = m.id;
            let actions = harness.step(vec![Event::Message(m)]);
            let (_, e) = sends(&actions)[0];
            closed |= actions.contains(&Action::CloseIdle { endpoint: e });
            assert!(round > 0 || !closed, "not while all calls are answered");
            let outcome = if round == 0 || closed { Outcome::Ok } else { Outcome::TimedOut };
            harness.step_after(10 * MS, vec![attempt_ended(id, 0, e, outcome), Event::Withdrawn { id }]);
        }
    }
    assert!(closed);
}

#[test]
fn a_failed_connect_has_idle_connections_of_its_kind_closed_for_a_while() {
    let list = vec![entry(7, 1, 0), EndpointEntry { destination: DestinationId(2), ..entry(8, 2, 0) }];
    let mut harness = PolicyHarness::new(settings(), list);
    let close = |actions: &[Action], e: EndpointId| actions.contains(&Action::CloseIdle { endpoint: e });
    let (id, e) = harness.send_one(IDEMPOTENT, 2);
    assert!(
        !close(&harness.step_after(10 * MS, vec![attempt_ended(id, 0, e, Outcome::Ok)]), e),
        "nothing known yet"
    );
    let (id, e) = harness.send_one(IDEMPOTENT, 1);
    harness
        .step_after(10 * MS, vec![attempt_ended(id, 0, e, Outcome::ConnectFailed), Event::Withdrawn { id }]);
    let (id, e) = harness.send_one(IDEMPOTENT, 2);
    assert!(
        close(&harness.step_after(10 * MS, vec![attempt_ended(id, 0, e, Outcome::Ok)]), e),
        "another destination of its kind"
    );
    let mut last = true;
    for _ in 0..150 {
        harness.step_after(SECOND, vec![]);
        let (id, e) = harness.send_one(IDEMPOTENT, 2);
        last = close(&harness.step_after(SECOND, vec![attempt_ended(id, 0, e, Outcome::Ok)]), e);
    }
    assert!(!last, "not for ever");
}

/// canal-office rough-1: after an outage of some destinations the idle connections of all the others were closed.
#[test]
fn an_outage_of_one_destination_does_not_close_the_connections_of_others_where_new_ones_are_costly() {
    let list = (0..4).map(|i| entry(i, u64::from(i), 0)).collect();
    let mut harness = PolicyHarness::new(Settings { connection_cost: 0.06, ..settings() }, list);
    for _ in 0..10 {
        for d in 1..4 {
            let (id, e) = harness.send_one(IDEMPOTENT, d);
            harness.step_after(50 * MS, vec![attempt_ended(id, 0, e, Outcome::Ok)]);
        }
    }
    harness.open_breaker(0);
    for d in 1..4 {
        let (id, e) = harness.send_one(IDEMPOTENT, d);
        let actions = harness.step_after(50 * MS, vec![attempt_ended(id, 0, e, Outcome::Ok)]);
        assert!(!actions.contains(&Action::CloseIdle { endpoint: e }));
    }
}
