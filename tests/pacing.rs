//! Tests of pacing: the calls that a forwarder sends after rejections, backoffs and outages.

mod common;
use cedarbridge::*;
use common::*;

/// Guards against a negative number of tokens: calls sent while the endpoint was not paced took tokens, which
/// would lower the slow-start rate after an outage.
#[test]
fn calls_before_an_outage_do_not_lower_the_rate_after_it() {
    let mut harness = one_destination();
    for _ in 0..400 {
        let (id, endpoint) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(50 * MS, vec![attempt_ended(id, 0, endpoint, Outcome::Ok)]);
    }
    harness.open_breaker(1);
    let mut events: Vec<Event> =
        (0..60).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    let mut sent = 0;
    for _ in 0..250 {
        let new_sends = sends(&harness.step_after(20 * MS, std::mem::take(&mut events)));
        sent += new_sends.len();
        events =
            new_sends.iter().map(|(id, endpoint)| attempt_ended(*id, 0, *endpoint, Outcome::Ok)).collect();
    }
    // The trial call is sent after two seconds. Then follow three seconds at 0.38 (the slow-start floor of
    // 0.2, times the overload multiple of 2, times the utilization of 0.95) and more of the weight of 20
    // calls per second.
    assert!(sent >= 20, "{sent} messages sent");
}

/// Guards against rejections before an outage that lower the rate of the slow start below the even share of a
/// reported limit.
#[test]
fn after_an_outage_earlier_rejections_do_not_lower_the_even_share_of_a_reported_limit() {
    let mut harness = PolicyHarness::new(Settings { forwarders: 2, ..settings() }, vec![entry(7, 1, 0)]);
    let with_report = |event| match event {
        Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, completes_message, .. } => {
            let report = Some(LoadReport { remaining_share: 0.0, rate: 20.0 });
            Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, completes_message, report }
        }
        other => other,
    };
    for _ in 0..10 {
        let (id, endpoint) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(
            10 * MS,
            vec![
                with_report(attempt_ended(id, 0, endpoint, Outcome::Rejected(None))),
                Event::Withdrawn { id },
            ],
        );
        harness.step_after(2 * SECOND, vec![]);
        let (id, endpoint) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(10 * MS, vec![with_report(attempt_ended(id, 0, endpoint, Outcome::Ok))]);
    }
    harness.open_breaker(1);
    let mut events: Vec<Event> =
        (0..60).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    let mut sent = 0;
    for _ in 0..250 {
        let new_sends = sends(&harness.step_after(20 * MS, std::mem::take(&mut events)));
        sent += new_sends.len();
        events =
            new_sends.iter().map(|(id, endpoint)| attempt_ended(*id, 0, *endpoint, Outcome::Ok)).collect();
    }
    // The even share is half of the reported 20 calls per second. Of it, 0.38 (the slow-start floor of 0.2,
    // times the overload multiple of 2, times the utilization of 0.95) and more is used for three seconds.
    assert!((15..=30).contains(&sent), "{sent} messages sent");
}

/// Guards against a burst at the end of each backoff. Where rejected calls use up the limit, the whole burst
/// was rejected again, time after time.
#[test]
fn tokens_saved_up_in_a_backoff_are_not_spent_at_once() {
    let mut harness = one_destination();
    for _ in 0..20 {
        let (id, endpoint) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(100 * MS, vec![attempt_ended(id, 0, endpoint, Outcome::Ok)]);
    }
    let (id, endpoint) = harness.send_one(IDEMPOTENT, 1);
    let mut events: Vec<Event> =
        (0..60).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    events.push(attempt_ended(id, 0, endpoint, Outcome::Rejected(None)));
    let mut calls_after_backoff = sends(&harness.step(events)).len();
    assert_eq!(calls_after_backoff, 0, "no call during the backoff");
    while calls_after_backoff == 0 {
        calls_after_backoff = sends(&harness.step_after(10 * MS, vec![])).len();
    }
    assert_eq!(calls_after_backoff, 1, "exactly one call at the end of the backoff");
}

/// Guards against limiting a forwarder to its even share before any rejection: it follows the demand.
#[test]
fn before_any_rejection_a_burst_above_the_even_share_is_sent_within_a_second() {
    let mut harness = PolicyHarness::new(large_fleet(), vec![entry_with_weight(5.0)]);
    let messages: Vec<Event> = (0..3).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    harness.step_after(SECOND, vec![]);
    let mut sent = sends(&harness.step(messages)).len();
    for _ in 0..10 {
        sent += sends(&harness.step_after(100 * MS, vec![])).len();
    }
    assert_eq!(sent, 3, "all messages are sent, although the even share is one call in 50 s");
}

/// The number of calls in each second after a rejection. All later calls succeed. `messages` gives the number
/// of messages that arrive in each tick of 100 ms.
fn calls_after_rejection(
    settings: Settings,
    report: Option<LoadReport>,
    messages: impl Fn(u64) -> u64,
) -> Vec<usize> {
    let mut harness = PolicyHarness::new(settings, vec![entry_with_weight(25.0)]);
    let (id, endpoint_id) = harness.send_one(IDEMPOTENT, 1);
    let outcome = Outcome::Rejected(None);
    let mut events = vec![Event::AttemptEnded {
        id,
        attempt: 0,
        endpoint: endpoint_id,
        outcome,
        elapsed: 0,
        completes_message: false,
        report,
    }];
    let mut attempts = std::collections::BTreeMap::from([(id, 1u32)]);
    let mut calls = vec![0; 18];
    for tick in 0..180 {
        events.extend((0..messages(tick)).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))));
        for (id, endpoint) in sends(&harness.step_after(100 * MS, std::mem::take(&mut events))) {
            let attempt = attempts.entry(id).or_insert(0);
            events.push(Event::AttemptEnded {
                id,
                attempt: *attempt,
                endpoint,
                outcome: Outcome::Ok,
                elapsed: 100 * MS,
                completes_message: true,
                report,
            });
            *attempt += 1;
            calls[tick as usize / 10] += 1;
        }
    }
    calls
}

/// Guards against limiting a forwarder to its even share of a limit that is not used up, where few forwarders
/// have most of the traffic.
#[test]
fn after_a_rejection_a_busy_forwarder_may_exceed_its_even_share_of_a_limit_that_is_not_used_up() {
    let report = Some(LoadReport { remaining_share: 0.1, rate: 25.0 });
    let medium_fleet = Settings { forwarders: 48, ..large_fleet() };
    let calls = calls_after_rejection(medium_fleet, report, |tick| u64::from(tick % 3 == 0));
    assert!(
        calls[8..].iter().sum::<usize>() >= 6,
        "{calls:?} calls per second; 3.3 messages per second arrive, and the even share is 0.5 calls per second"
    );
}

/// Guards against a small reduction per forwarder in a large fleet. A hundred forwarders that each lowered
/// their rate a little after a rejection were together still far over the limit, and half of the limit was
/// lost where rejected calls use it up.
#[test]
fn one_rejection_takes_a_forwarder_of_a_large_fleet_to_its_even_share_and_no_further() {
    for (forwarders, rate) in [(100, 50.0), (300, 60.0)] {
        let fleet_settings = Settings { forwarders, ..settings() };
        let report = Some(LoadReport { remaining_share: 0.1, rate });
        let calls = calls_after_rejection(fleet_settings, report, |tick| u64::from(tick % 10 == 0));
        let (total, even_share) = (calls[4..].iter().sum::<usize>() as f64, 14.0 * rate / forwarders as f64);
        assert!(
            (even_share * 0.8 - 1.0..=even_share * 1.2).contains(&total),
            "{calls:?} calls per second, {total} in the last 14 s; the even share is {even_share}"
        );
    }
}

#[test]
fn after_a_rejection_a_burst_of_messages_is_paced() {
    let report = Some(LoadReport { remaining_share: 0.1, rate: 25.0 });
    let medium_fleet = Settings { forwarders: 48, ..large_fleet() };
    let calls = calls_after_rejection(medium_fleet, report, |tick| if tick == 100 { 30 } else { 0 });
    assert!(calls.iter().all(|c| *c <= 8), "{calls:?}");
    assert!(calls.iter().sum::<usize>() >= 5, "{calls:?}");
}

#[test]
fn after_a_retry_after_a_large_fleet_uses_time_slots_and_a_small_one_calls_at_once() {
    for (forwarders, at_once) in [(3, true), (LARGE_FLEET, false)] {
        let fleet_settings = Settings { forwarders, ..settings() };
        let mut harness = PolicyHarness::new(fleet_settings, vec![entry_with_weight(25.0)]);
        let (id, endpoint) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(10 * MS, vec![attempt_ended(id, 0, endpoint, Outcome::Rejected(Some(500 * MS)))]);
        assert_eq!(
            !sends(&harness.step_after(510 * MS, vec![])).is_empty(),
            at_once,
            "{forwarders} forwarders"
        );
    }
}

/// Guards against rejections that lower the rate of a forwarder to a third of what the endpoint can take. Its
/// even share of a reported limit is always available to it. Without that, two forwarders used half of the
/// limit of a small endpoint in a simulation.
#[test]
fn rejections_leave_a_forwarder_its_even_share_of_a_reported_limit() {
    let mut harness = PolicyHarness::new(Settings { forwarders: 2, ..settings() }, vec![entry(7, 1, 0)]);
    let report = Some(LoadReport { remaining_share: 0.1, rate: 10.0 });
    let (mut calls, mut calls_after, mut actions) = (0, 0, vec![]);
    // The limit is 10 calls per second, so the forwarder's even share is 5, and 4 messages per second arrive.
    // Every other one of the first 60 calls is rejected, and none after that.
    let mut unrejected_since = None;
    for tick in 0..6000 {
        let mut new_events: Vec<Event> = Vec::new();
        for (id, endpoint) in sends(&actions) {
            calls += 1;
            calls_after += usize::from(unrejected_since.is_some());
            let outcome = if calls < 60 && calls % 2 == 0 { Outcome::Rejected(None) } else { Outcome::Ok };
            let (completes_message, attempt) = (outcome == Outcome::Ok, harness.next_attempt(id));
            let elapsed = 10 * MS;
            new_events.push(Event::AttemptEnded {
                id,
                attempt,
                endpoint,
                outcome,
                elapsed,
                completes_message,
                report,
            });
        }
        if tick % 25 == 0 {
            new_events.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
        }
        if calls >= 60 {
            unrejected_since.get_or_insert(harness.now);
        }
        if unrejected_since.is_some_and(|since| harness.now >= since + 5 * SECOND) {
            assert!(calls_after >= 15, "{calls_after} calls in 5 s");
            return;
        }
        actions = harness.step_after(10 * MS, new_events);
    }
    panic!("only {calls} calls in a minute");
}
