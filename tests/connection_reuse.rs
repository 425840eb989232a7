//! Tests of connection reuse: when idle connections are closed.

mod common;
use cedarbridge::*;
use common::*;

/// Guards against incident ibf1554: idle connections died without a notification, and each call that reused
/// one after a pause remained unanswered.
#[test]
fn idle_connections_are_closed_when_calls_on_reused_ones_go_unanswered() {
    let entries = (0..20).map(|i| entry(i, i as u64, 0)).collect();
    let mut harness = PolicyHarness::new(settings(), entries);
    let mut closed = false;
    for round in 0..2 {
        for destination in 0..20 {
            let message = harness.new_message(IDEMPOTENT, destination);
            let id = message.id;
            let actions = harness.step(vec![Event::Message(message)]);
            let (_, endpoint_id) = sends(&actions)[0];
            closed |= actions.contains(&Action::CloseIdle { endpoint: endpoint_id });
            assert!(round > 0 || !closed, "not while all calls are answered");
            let outcome = if round == 0 || closed { Outcome::Ok } else { Outcome::TimedOut };
            harness.step_after(
                10 * MS,
                vec![attempt_ended(id, 0, endpoint_id, outcome), Event::Withdrawn { id }],
            );
        }
    }
    assert!(closed);
}

#[test]
fn a_failed_connect_has_idle_connections_of_its_kind_closed_for_a_while() {
    let entries = vec![entry(7, 1, 0), EndpointEntry { destination: DestinationId(2), ..entry(8, 2, 0) }];
    let mut harness = PolicyHarness::new(settings(), entries);
    let closes_idle =
        |actions: &[Action], id: EndpointId| actions.contains(&Action::CloseIdle { endpoint: id });
    let (id, endpoint_id) = harness.send_one(IDEMPOTENT, 2);
    assert!(
        !closes_idle(
            &harness.step_after(10 * MS, vec![attempt_ended(id, 0, endpoint_id, Outcome::Ok)]),
            endpoint_id
        ),
        "nothing known yet"
    );
    let (id, endpoint_id) = harness.send_one(IDEMPOTENT, 1);
    harness.step_after(
        10 * MS,
        vec![attempt_ended(id, 0, endpoint_id, Outcome::ConnectFailed), Event::Withdrawn { id }],
    );
    let (id, endpoint_id) = harness.send_one(IDEMPOTENT, 2);
    assert!(
        closes_idle(
            &harness.step_after(10 * MS, vec![attempt_ended(id, 0, endpoint_id, Outcome::Ok)]),
            endpoint_id
        ),
        "another destination of its kind"
    );
    let mut closes_last = true;
    for _ in 0..150 {
        harness.step_after(SECOND, vec![]);
        let (id, endpoint_id) = harness.send_one(IDEMPOTENT, 2);
        closes_last = closes_idle(
            &harness.step_after(SECOND, vec![attempt_ended(id, 0, endpoint_id, Outcome::Ok)]),
            endpoint_id,
        );
    }
    assert!(!closes_last, "not for ever");
}

/// Guards against closing the idle connections to all other destinations of a kind after an outage of some.
#[test]
fn an_outage_of_one_destination_does_not_close_the_connections_of_others_where_new_ones_are_costly() {
    let entries = (0..4).map(|i| entry(i, u64::from(i), 0)).collect();
    let mut harness = PolicyHarness::new(Settings { connection_cost: 0.06, ..settings() }, entries);
    for _ in 0..10 {
        for destination in 1..4 {
            let (id, endpoint_id) = harness.send_one(IDEMPOTENT, destination);
            harness.step_after(50 * MS, vec![attempt_ended(id, 0, endpoint_id, Outcome::Ok)]);
        }
    }
    harness.open_breaker(0);
    for destination in 1..4 {
        let (id, endpoint_id) = harness.send_one(IDEMPOTENT, destination);
        let actions = harness.step_after(50 * MS, vec![attempt_ended(id, 0, endpoint_id, Outcome::Ok)]);
        assert!(!actions.contains(&Action::CloseIdle { endpoint: endpoint_id }));
    }
}
