//! Pacing: what a forwarder sends after rejections, backoffs and outages.

mod common;
use cedarbridge::*;
use common::*;

/// Guards against taking tokens, at the slow-start rate after an outage, for all the calls made before it while
/// the endpoint was not paced.
#[test]
fn calls_before_an_outage_take_no_tokens_from_the_rate_after_it() {
    let mut harness = one_destination();
    for _ in 0..400 {
        let (id, e) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(50 * MS, vec![attempt_ended(id, 0, e, Outcome::Ok)]);
    }
    harness.open_breaker(1);
    let mut events: Vec<Event> =
        (0..60).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    let mut sent = 0;
    for _ in 0..250 {
        let out = sends(&harness.step_after(20 * MS, std::mem::take(&mut events)));
        sent += out.len();
        events = out.iter().map(|(id, e)| attempt_ended(*id, 0, *e, Outcome::Ok)).collect();
    }
    // The trial call after two seconds, then three at 0.38 of 20 calls a second and more.
    assert!(sent >= 20, "{sent} sent");
}

/// Guards against a slow start that rejections long before it slow down, although the limit is reported.
#[test]
fn after_an_outage_earlier_rejections_do_not_lower_the_even_share_of_a_reported_limit() {
    let mut harness = PolicyHarness::new(Settings { forwarders: 2, ..settings() }, vec![entry(7, 1, 0)]);
    let with_report = |event| match event {
        Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, ended, .. } => {
            let report = Some(LoadReport { remaining_share: 0.0, rate: 20.0 });
            Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, ended, report }
        }
        other => other,
    };
    for _ in 0..10 {
        let (id, e) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(
            10 * MS,
            vec![with_report(attempt_ended(id, 0, e, Outcome::Rejected(None))), Event::Withdrawn { id }],
        );
        harness.step_after(2 * SECOND, vec![]);
        let (id, e) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(10 * MS, vec![with_report(attempt_ended(id, 0, e, Outcome::Ok))]);
    }
    harness.open_breaker(1);
    let mut events: Vec<Event> =
        (0..60).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    let mut sent = 0;
    for _ in 0..250 {
        let out = sends(&harness.step_after(20 * MS, std::mem::take(&mut events)));
        sent += out.len();
        events = out.iter().map(|(id, e)| attempt_ended(*id, 0, *e, Outcome::Ok)).collect();
    }
    // Half of 20 calls a second, times 0.38 and more, for three seconds.
    assert!((15..=30).contains(&sent), "{sent} sent");
}

/// Guards against a burst at the end of each backoff: where rejected calls use up the limit, all of it was rejected
/// again, over and over.
#[test]
fn tokens_saved_up_in_a_backoff_are_not_spent_at_once() {
    let mut harness = one_destination();
    for _ in 0..20 {
        let (id, e) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(100 * MS, vec![attempt_ended(id, 0, e, Outcome::Ok)]);
    }
    let (id, e) = harness.send_one(IDEMPOTENT, 1);
    let mut events: Vec<Event> =
        (0..60).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    events.push(attempt_ended(id, 0, e, Outcome::Rejected(None)));
    let mut first = sends(&harness.step(events)).len();
    assert_eq!(first, 0, "a backoff");
    while first == 0 {
        first = sends(&harness.step_after(10 * MS, vec![])).len();
    }
    assert_eq!(first, 1, "calls at its end");
}

/// Without a rejection a forwarder follows the demand, not its even share.
#[test]
fn uneven_messages_of_one_forwarder_go_within_a_second_until_a_rejection() {
    let mut harness = PolicyHarness::new(large_fleet(), vec![entry_with_weight(5.0)]);
    let three: Vec<Event> = (0..3).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))).collect();
    harness.step_after(SECOND, vec![]);
    let mut sent = sends(&harness.step(three)).len();
    for _ in 0..10 {
        sent += sends(&harness.step_after(100 * MS, vec![])).len();
    }
    assert_eq!(sent, 3, "far above the even share of one in 50 s");
}

/// Calls in each second after a rejection, all answered, with so many messages in each tenth of a second.
fn calls_after_rejection(
    s: Settings,
    report: Option<LoadReport>,
    messages: impl Fn(u64) -> u64,
) -> Vec<usize> {
    let mut harness = PolicyHarness::new(s, vec![entry_with_weight(25.0)]);
    let (id, e) = harness.send_one(IDEMPOTENT, 1);
    let outcome = Outcome::Rejected(None);
    let mut events =
        vec![Event::AttemptEnded { id, attempt: 0, endpoint: e, outcome, elapsed: 0, ended: false, report }];
    let mut attempts = std::collections::BTreeMap::from([(id, 1u32)]);
    let mut calls = vec![0; 18];
    for tick in 0..180 {
        events.extend((0..messages(tick)).map(|_| Event::Message(harness.new_message(IDEMPOTENT, 1))));
        for (id, endpoint) in sends(&harness.step_after(100 * MS, std::mem::take(&mut events))) {
            let n = attempts.entry(id).or_insert(0);
            events.push(Event::AttemptEnded {
                id,
                attempt: *n,
                endpoint,
                outcome: Outcome::Ok,
                elapsed: 100 * MS,
                ended: true,
                report,
            });
            *n += 1;
            calls[tick as usize / 10] += 1;
        }
    }
    calls
}

/// dakar-envoi: few forwarders have most of the traffic, and an even share of a limit that was not used up held them back.
#[test]
fn after_a_rejection_a_busy_forwarder_may_exceed_its_even_share_of_a_limit_that_is_not_used_up() {
    let report = Some(LoadReport { remaining_share: 0.1, rate: 25.0 });
    let medium = Settings { forwarders: 48, ..large_fleet() };
    let calls = calls_after_rejection(medium, report, |tick| u64::from(tick % 3 == 0));
    assert!(
        calls[8..].iter().sum::<usize>() >= 6,
        "{calls:?} of three a second, an even share is one in two"
    );
}

/// Fleet growth: a hundred forwarders that each lowered their rate a little at a rejection were together still far over
/// the limit, and where rejected calls use it up half of it was lost.
#[test]
fn one_rejection_takes_a_forwarder_of_a_large_fleet_to_its_even_share_and_no_further() {
    for (forwarders, rate) in [(100, 50.0), (300, 60.0)] {
        let s = Settings { forwarders, ..settings() };
        let report = Some(LoadReport { remaining_share: 0.1, rate });
        let calls = calls_after_rejection(s, report, |tick| u64::from(tick % 10 == 0));
        let (sum, even_share) = (calls[4..].iter().sum::<usize>() as f64, 14.0 * rate / forwarders as f64);
        assert!(
            (even_share * 0.8 - 1.0..=even_share * 1.2).contains(&sum),
            "{calls:?} of an even share of {even_share}"
        );
    }
}

#[test]
fn after_a_rejection_a_burst_of_messages_is_paced() {
    let report = Some(LoadReport { remaining_share: 0.1, rate: 25.0 });
    let medium = Settings { forwarders: 48, ..large_fleet() };
    let calls = calls_after_rejection(medium, report, |tick| if tick == 100 { 30 } else { 0 });
    assert!(calls.iter().all(|c| *c <= 8), "{calls:?}");
    assert!(calls.iter().sum::<usize>() >= 5, "{calls:?}");
}

#[test]
fn after_a_retry_after_a_large_fleet_uses_time_slots_and_a_small_one_calls_at_once() {
    for (forwarders, at_once) in [(3, true), (LARGE_FLEET, false)] {
        let s = Settings { forwarders, ..settings() };
        let mut harness = PolicyHarness::new(s, vec![entry_with_weight(25.0)]);
        let (id, e) = harness.send_one(IDEMPOTENT, 1);
        harness.step_after(10 * MS, vec![attempt_ended(id, 0, e, Outcome::Rejected(Some(500 * MS)))]);
        assert_eq!(!sends(&harness.step_after(510 * MS, vec![])).is_empty(), at_once, "{forwarders}");
    }
}

/// Guards against rejections that lower the rate to a third of what the endpoint takes: of a reported limit, a
/// forwarder's even share is its own (found by simulation: two forwarders used half of a small endpoint's limit).
#[test]
fn rejections_leave_a_forwarder_its_even_share_of_a_reported_limit() {
    let mut harness = PolicyHarness::new(Settings { forwarders: 2, ..settings() }, vec![entry(7, 1, 0)]);
    let report = Some(LoadReport { remaining_share: 0.1, rate: 10.0 });
    let (mut calls, mut calls_after, mut actions) = (0, 0, vec![]);
    // The limit is 10 calls a second, so 5 are its own, and 4 messages a second are received. Of the first 60 calls
    // every other one is rejected; then none is.
    let mut since = None;
    for tick in 0..6000 {
        let mut news: Vec<Event> = Vec::new();
        for (id, endpoint) in sends(&actions) {
            calls += 1;
            calls_after += usize::from(since.is_some());
            let outcome = if calls < 60 && calls % 2 == 0 { Outcome::Rejected(None) } else { Outcome::Ok };
            let (ended, attempt) = (outcome == Outcome::Ok, harness.next_attempt(id));
            let elapsed = 10 * MS;
            news.push(Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, ended, report });
        }
        if tick % 25 == 0 {
            news.push(Event::Message(harness.new_message(IDEMPOTENT, 1)));
        }
        if calls >= 60 {
            since.get_or_insert(harness.now);
        }
        if since.is_some_and(|s| harness.now >= s + 5 * SECOND) {
            assert!(calls_after >= 15, "{calls_after} calls in 5 s");
            return;
        }
        actions = harness.step_after(10 * MS, news);
    }
    panic!("only {calls} calls in a minute");
}
