//! The circuit breaker: when it opens, and what its trial calls do.

mod common;
use cedarbridge::*;
use common::*;

#[test]
fn consecutive_failures_open_the_breaker_and_nothing_is_sent_before_its_trial_call() {
    let mut harness = one_destination();
    harness.open_breaker(1);
    let many: Vec<Event> = (0..10).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    assert!(sends(&harness.step(many)).is_empty());
    // The open timeout of 2 s, up to half shorter or longer at random.
    assert!(sends(&harness.step_after(980 * MS, vec![])).is_empty());
    assert_eq!(sends(&harness.step_after(2020 * MS, vec![])).len(), 1, "one trial call");
    assert!(sends(&harness.step_after(20 * MS, vec![])).is_empty(), "one at a time");
}

#[test]
fn any_failure_of_a_trial_call_reopens_the_breaker() {
    let mut harness = one_destination();
    harness.open_breaker(1);
    let m = harness.new_message(IDEMPOTENT, 1);
    let id = m.id;
    harness.step(vec![Event::Message(m)]);
    let (_, e) = sends(&harness.step_after(3000 * MS, vec![]))[0];
    assert!(sends(&harness.step_after(10 * MS, vec![attempt_ended(id, 0, e, Outcome::Error)])).is_empty());
    assert!(sends(&harness.step_after(980 * MS, vec![])).is_empty());
    assert_eq!(sends(&harness.step_after(2020 * MS, vec![])).len(), 1);
}

#[test]
fn a_trial_call_carries_the_message_that_is_cheapest_to_lose() {
    let mut harness = one_destination();
    harness.open_breaker(1);
    let (u, k, s) = (
        harness.new_message(NON_IDEMPOTENT, 1),
        harness.new_message(WITH_KEY, 1),
        harness.new_message(IDEMPOTENT, 1),
    );
    let order = [s.id, k.id, u.id];
    harness.step([u, k, s].into_iter().map(Event::Message).collect());
    let mut actions = harness.step_after(3000 * MS, vec![]);
    for id in order {
        assert_eq!(sends(&actions), [(id, EndpointId(7))]);
        actions = harness.step_after(
            10 * MS,
            vec![attempt_ended(id, 0, EndpointId(7), Outcome::ConnectFailed), Event::Withdrawn { id }],
        );
        actions.extend(harness.step_after(3000 * MS, vec![]));
    }
}

#[test]
fn rejections_open_the_breaker_only_after_two_seconds_of_nothing_else() {
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
fn a_dead_endpoint_gets_no_calls_although_other_endpoints_of_its_destination_answer() {
    let mut harness = PolicyHarness::new(settings(), vec![entry(7, 1, 0), entry(8, 1, 0)]);
    let (mut dead, mut live) = (0, 0);
    let mut events: Vec<Event> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    for _ in 0..80 {
        events.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
        for (id, e) in sends(&harness.step_after(20 * MS, std::mem::take(&mut events))) {
            let attempt = attempts.entry(id).and_modify(|a| *a += 1).or_insert(0);
            let bad = e == EndpointId(7);
            *(if bad { &mut dead } else { &mut live }) += 1;
            events.push(attempt_ended(
                id,
                *attempt,
                e,
                if bad { Outcome::ConnectFailed } else { Outcome::Ok },
            ));
        }
    }
    assert!(live >= 10, "{live} calls to the live one");
    assert!((1..=4).contains(&dead), "{dead} calls to the dead endpoint");
}

/// Guards against a breaker that the network opens: resets come by chance, and an idle connection that is stale
/// says nothing of its endpoint.
#[test]
fn connection_resets_need_one_more_to_open_the_breaker_and_stale_connections_never_do() {
    for (outcome, goes) in [(Outcome::Error, 2), (Outcome::Reset, 3), (Outcome::StaleConnection, 6)] {
        let mut harness = one_destination();
        let (id, e) = harness.send_one(IDEMPOTENT, 1);
        let mut attempts = 1;
        // At 20 calls a second for the one forwarder, each next attempt goes well within a tenth of a second.
        while attempts < 6
            && !sends(&harness.step_after(100 * MS, vec![attempt_ended(id, attempts - 1, e, outcome)]))
                .is_empty()
        {
            attempts += 1;
        }
        assert_eq!(attempts, goes, "{outcome:?}");
    }
}

/// Guards against a renamed variant that changes the text of a transition, which the simulator's adapter sends.
#[test]
fn the_text_of_a_transition_keeps_its_names() {
    assert_eq!(transition_after(Outcome::Error), "breaker Open: at 7 failures 2: Error");
    assert_eq!(transition_after(Outcome::Rejected(None)), "breaker Open: at 7 failures 2: Full(None)");
}

/// The text as the breaker opens, where each call has this outcome.
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
