//! Tests of the circuit breaker: when it opens, and when its trial calls are sent.

mod common;
use cedarbridge::*;
use common::*;

#[test]
fn consecutive_failures_open_the_breaker_and_nothing_is_sent_before_its_trial_call() {
    let mut harness = one_destination();
    harness.open_breaker(1);
    let messages: Vec<Event> = (0..10).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    assert!(sends(&harness.step(messages)).is_empty());
    // The open duration is 2 s on average, and up to half shorter or longer at random.
    assert!(sends(&harness.step_after(980 * MS, vec![])).is_empty());
    assert_eq!(sends(&harness.step_after(2020 * MS, vec![])).len(), 1, "one trial call");
    assert!(sends(&harness.step_after(20 * MS, vec![])).is_empty(), "one at a time");
}

#[test]
fn any_failure_of_a_trial_call_reopens_the_breaker() {
    let mut harness = one_destination();
    harness.open_breaker(1);
    let message = harness.new_message(IDEMPOTENT, 1);
    let id = message.id;
    harness.step(vec![Event::Message(message)]);
    let (_, endpoint) = sends(&harness.step_after(3000 * MS, vec![]))[0];
    assert!(
        sends(&harness.step_after(10 * MS, vec![attempt_ended(id, 0, endpoint, Outcome::Error)])).is_empty()
    );
    assert!(sends(&harness.step_after(980 * MS, vec![])).is_empty());
    assert_eq!(sends(&harness.step_after(2020 * MS, vec![])).len(), 1);
}

#[test]
fn a_trial_call_carries_the_message_that_can_most_safely_be_sent_again() {
    let mut harness = one_destination();
    harness.open_breaker(1);
    let (non_idempotent, with_key, idempotent) = (
        harness.new_message(NON_IDEMPOTENT, 1),
        harness.new_message(WITH_KEY, 1),
        harness.new_message(IDEMPOTENT, 1),
    );
    let send_order = [idempotent.id, with_key.id, non_idempotent.id];
    harness.step([non_idempotent, with_key, idempotent].into_iter().map(Event::Message).collect());
    let mut actions = harness.step_after(3000 * MS, vec![]);
    for id in send_order {
        assert_eq!(sends(&actions), [(id, EndpointId(7))]);
        actions = harness.step_after(
            10 * MS,
            vec![attempt_ended(id, 0, EndpointId(7), Outcome::ConnectFailed), Event::Withdrawn { id }],
        );
        actions.extend(harness.step_after(3000 * MS, vec![]));
    }
}

#[test]
fn rejections_open_the_breaker_only_after_two_seconds_without_a_success() {
    let mut harness = one_destination();
    let mut opened_after = None;
    let start = harness.now;
    let (id, _) = harness.send_one(IDEMPOTENT, 1);
    let mut attempt = Some(0);
    for _ in 0..200 {
        let events = attempt.take().map(|a| attempt_ended(id, a, EndpointId(7), Outcome::Rejected(None)));
        let actions = harness.step_after(20 * MS, events.into_iter().collect());
        if actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("Open"))) {
            opened_after.get_or_insert(harness.now - start);
        }
        if !sends(&actions).is_empty() {
            attempt = Some(attempt.unwrap_or(0) + 1);
        }
        if is_rejected(&actions, id) {
            break;
        }
    }
    assert!(opened_after.is_none_or(|t| t >= 2 * SECOND), "{opened_after:?}");
}

#[test]
fn a_dead_endpoint_gets_few_calls_although_other_endpoints_of_its_destination_respond() {
    let mut harness = PolicyHarness::new(settings(), vec![entry(7, 1, 0), entry(8, 1, 0)]);
    let (mut dead_calls, mut live_calls) = (0, 0);
    let mut events: Vec<Event> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    for _ in 0..80 {
        events.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
        for (id, endpoint) in sends(&harness.step_after(20 * MS, std::mem::take(&mut events))) {
            let attempt = attempts.entry(id).and_modify(|a| *a += 1).or_insert(0);
            let is_dead = endpoint == EndpointId(7);
            *(if is_dead { &mut dead_calls } else { &mut live_calls }) += 1;
            events.push(attempt_ended(
                id,
                *attempt,
                endpoint,
                if is_dead { Outcome::ConnectFailed } else { Outcome::Ok },
            ));
        }
    }
    assert!(live_calls >= 10, "{live_calls} calls to the live endpoint");
    assert!((1..=4).contains(&dead_calls), "{dead_calls} calls to the dead endpoint");
}

/// Guards against a breaker that opens on faults of the network: some connections are reset by chance, and a
/// stale idle connection says nothing about its endpoint.
#[test]
fn connection_resets_need_one_more_to_open_the_breaker_and_stale_connections_never_do() {
    for (outcome, expected_attempts) in
        [(Outcome::Error, 2), (Outcome::Reset, 3), (Outcome::StaleConnection, 6)]
    {
        let mut harness = one_destination();
        let (id, endpoint) = harness.send_one(IDEMPOTENT, 1);
        let mut attempts = 1;
        // At 20 calls per second for the only forwarder, each further attempt is sent well within 100 ms.
        while attempts < 6
            && !sends(&harness.step_after(100 * MS, vec![attempt_ended(id, attempts - 1, endpoint, outcome)]))
                .is_empty()
        {
            attempts += 1;
        }
        assert_eq!(attempts, expected_attempts, "{outcome:?}");
    }
}

/// Guards against a renamed variant that changes the text of a state change, which the simulator's adapter
/// sends.
#[test]
fn the_text_of_a_transition_keeps_its_names() {
    assert_eq!(transition_after(Outcome::Error), "breaker Open: at 7 failures 2: Error");
    assert_eq!(transition_after(Outcome::Rejected(None)), "breaker Open: at 7 failures 2: Full(None)");
}

/// The log line that is written when the breaker opens, if each call has this outcome.
fn transition_after(outcome: Outcome) -> String {
    let mut harness = one_destination();
    let mut attempts = std::collections::BTreeMap::new();
    let mut events: Vec<Event> = Vec::new();
    for _ in 0..400 {
        events.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
        let actions = harness.step_after(20 * MS, std::mem::take(&mut events));
        for (id, endpoint) in sends(&actions) {
            let attempt = attempts.entry(id).and_modify(|number| *number += 1).or_insert(0);
            events.push(attempt_ended(id, *attempt, endpoint, outcome));
        }
        let opened = actions.into_iter().find_map(|action| match action {
            Action::Log(line) if line.starts_with("breaker Open") => Some(line),
            _ => None,
        });
        if let Some(line) = opened {
            return line;
        }
    }
    panic!("the breaker stayed closed");
}
