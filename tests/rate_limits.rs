//! A fleet at an endpoint with a rate limit, and what wrong load reports do to it.

mod common;
use cedarbridge::*;
use common::*;
use std::collections::VecDeque;

/// What a fleet did to one endpoint that takes `rate` calls a second, counted by the second, rejected ones too.
struct LimitRun {
    received: usize,
    delivered: usize,
    rejected: usize,
}

/// A minute of a fleet with `load` of the rate, twice the rate for three seconds of each fifteen, and the endpoint's load
/// report at a time.
fn run_at_limit(
    forwarders: usize,
    rate: usize,
    load: f64,
    report: impl Fn(Micros) -> Option<LoadReport>,
) -> LimitRun {
    const STEP: Micros = 20 * MS;
    let settings = Settings { forwarders, ..settings() };
    let mut fleet: Vec<PolicyHarness> = (0..forwarders as u64)
        .map(|seed| {
            let policy = DeliveryPolicy::new(settings.clone(), seed).expect("good settings");
            let mut harness = PolicyHarness { policy, ..PolicyHarness::new(settings.clone(), vec![]) };
            harness.step(vec![Event::EndpointList(EndpointListUpdate::Complete(vec![entry_with_weight(
                rate as f64,
            )]))]);
            harness
        })
        .collect();
    let mut due: Vec<VecDeque<(u64, Event)>> = (0..forwarders).map(|_| VecDeque::new()).collect();
    let mut run = LimitRun { received: 0, delivered: 0, rejected: 0 };
    let (mut second, mut calls_in_second, mut due_messages, mut next) = (0, 0, 0.0, 0);
    for tick in 0..3000u64 {
        let now = tick * STEP;
        if now / SECOND != second {
            (second, calls_in_second) = (now / SECOND, 0);
        }
        let is_burst = (6..9).contains(&(second % 15));
        due_messages += rate as f64 * if is_burst { 2.0 } else { load } * STEP as f64 / SECOND as f64;
        let mut news: Vec<Vec<Event>> = (0..forwarders).map(|_| vec![]).collect();
        while due_messages >= 1.0 {
            // A stride that meets all forwarders before it meets one again.
            next = (next + 37) % forwarders;
            let m = fleet[next].new_message(IDEMPOTENT, 1);
            news[next].push(Event::Message(m));
            run.received += 1;
            due_messages -= 1.0;
        }
        let report = report(now);
        for (i, harness) in fleet.iter_mut().enumerate() {
            while due[i].front().is_some_and(|d| d.0 <= tick) {
                news[i].extend(due[i].pop_front().map(|d| d.1));
            }
            for (id, endpoint) in sends(&harness.step_after(STEP, std::mem::take(&mut news[i]))) {
                calls_in_second += 1;
                let ended = calls_in_second <= rate;
                let retry_after = SECOND - now % SECOND;
                let outcome = if ended { Outcome::Ok } else { Outcome::Rejected(Some(retry_after)) };
                run.delivered += usize::from(ended);
                run.rejected += usize::from(!ended);
                let (attempt, elapsed) = (harness.next_attempt(id), 5 * STEP);
                due[i].push_back((
                    tick + 5,
                    Event::AttemptEnded { id, attempt, endpoint, outcome, elapsed, ended, report },
                ));
            }
        }
    }
    run
}

/// Fleet days: an endpoint's reading of its limit is refreshed three times a second and off by up to a third. One
/// forwarder gets a wrong report and soon a better one; a hundred get the same wrong one, and are too fast together.
#[test]
fn noise_in_load_reports_does_not_take_a_fleet_over_the_limit() {
    let noise = [1.0, 0.75, 1.3, 0.9, 1.35, 0.72, 1.2, 0.8];
    // Off by up to a third, and the same for all calls in the same third of a second.
    let reports = |noise: [f64; 8]| {
        move |now| {
            let factor = noise[(now / (330 * MS)) as usize % noise.len()];
            Some(LoadReport { remaining_share: 0.5, rate: 50.0 * factor })
        }
    };
    let (exact, noisy) =
        (run_at_limit(100, 50, 0.7, reports([1.0; 8])), run_at_limit(100, 50, 0.7, reports(noise)));
    let (rejected, delivered) = ((exact.rejected, noisy.rejected), (exact.delivered, noisy.delivered));
    assert_eq!(exact.received, noisy.received);
    assert!(rejected.0 < 200 && rejected.1 < 275, "rejected {rejected:?}, without and with noise");
    assert!(delivered.1 * 100 >= delivered.0 * 83, "delivered {delivered:?}, without and with noise");
}

/// Guards against a fleet that stops, or overloads an endpoint, because load reports are missing, nonsense, or say that
/// all is left while calls are rejected.
#[test]
fn odd_load_reports_neither_stop_a_fleet_nor_let_it_overload_an_endpoint() {
    let reports = [
        ("none", None),
        ("no limit", Some(LoadReport { remaining_share: 0.0, rate: 0.0 })),
        ("all left", Some(LoadReport { remaining_share: 1.0, rate: 50.0 })),
    ];
    for forwarders in [3, 48, 100, 300] {
        for (what, report) in reports {
            let run = run_at_limit(forwarders, 50, 0.7, |_| report);
            let (delivered, rejected) = (run.delivered, run.rejected);
            assert!(
                delivered * 100 >= run.received * 70,
                "{forwarders} forwarders, {what}: {delivered} of {}",
                run.received
            );
            assert!(
                rejected * 100 <= run.received * if forwarders == 3 { 35 } else { 25 },
                "{forwarders} forwarders, {what}: {rejected} rejected"
            );
        }
    }
}
