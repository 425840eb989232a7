//! Tests of a fleet at an endpoint with a rate limit, and of the effect of wrong load reports on it.

mod common;
use cedarbridge::*;
use common::*;
use std::collections::VecDeque;

/// The result of a run of a fleet at an endpoint that accepts `rate` calls in each second. Rejected calls
/// count against the limit, too.
struct LimitRun {
    received: usize,
    delivered: usize,
    rejected: usize,
}

/// Runs a fleet for a minute. Messages arrive at `load` times the rate of the endpoint, and at twice the rate
/// for three seconds of every fifteen. `report` gives the load report of the endpoint at a time.
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
    let mut due_events: Vec<VecDeque<(u64, Event)>> = (0..forwarders).map(|_| VecDeque::new()).collect();
    let mut run = LimitRun { received: 0, delivered: 0, rejected: 0 };
    let (mut second, mut calls_in_second, mut due_messages, mut next_forwarder) = (0, 0, 0.0, 0);
    for tick in 0..3000u64 {
        let now = tick * STEP;
        if now / SECOND != second {
            (second, calls_in_second) = (now / SECOND, 0);
        }
        let is_burst = (6..9).contains(&(second % 15));
        due_messages += rate as f64 * if is_burst { 2.0 } else { load } * STEP as f64 / SECOND as f64;
        let mut new_events: Vec<Vec<Event>> = (0..forwarders).map(|_| vec![]).collect();
        while due_messages >= 1.0 {
            // With this stride, each forwarder gets one message before any gets its next.
            next_forwarder = (next_forwarder + 37) % forwarders;
            let message = fleet[next_forwarder].new_message(IDEMPOTENT, 1);
            new_events[next_forwarder].push(Event::Message(message));
            run.received += 1;
            due_messages -= 1.0;
        }
        let report = report(now);
        for (i, harness) in fleet.iter_mut().enumerate() {
            while due_events[i].front().is_some_and(|due| due.0 <= tick) {
                new_events[i].extend(due_events[i].pop_front().map(|due| due.1));
            }
            for (id, endpoint) in sends(&harness.step_after(STEP, std::mem::take(&mut new_events[i]))) {
                calls_in_second += 1;
                let completes_message = calls_in_second <= rate;
                let retry_after = SECOND - now % SECOND;
                let outcome =
                    if completes_message { Outcome::Ok } else { Outcome::Rejected(Some(retry_after)) };
                run.delivered += usize::from(completes_message);
                run.rejected += usize::from(!completes_message);
                let (attempt, elapsed) = (harness.next_attempt(id), 5 * STEP);
                due_events[i].push_back((
                    tick + 5,
                    Event::AttemptEnded {
                        id,
                        attempt,
                        endpoint,
                        outcome,
                        elapsed,
                        completes_message,
                        report,
                    },
                ));
            }
        }
    }
    run
}

/// Guards against wrong load reports that speed up a whole fleet. An endpoint's reading of its limit is
/// refreshed three times a second and is wrong by up to a third. A single forwarder gets a wrong report and
/// soon a better one; of a hundred forwarders all get the same wrong report, and are too fast together.
#[test]
fn noise_in_load_reports_does_not_take_a_fleet_over_the_limit() {
    let noise = [1.0, 0.75, 1.3, 0.9, 1.35, 0.72, 1.2, 0.8];
    // Each factor is wrong by up to a third, and applies to all calls in the same third of a second.
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

/// Guards against a fleet that stops, or overloads an endpoint, because load reports are missing, contain no
/// limit, or say that the whole limit is left while calls are rejected.
#[test]
fn odd_load_reports_neither_stop_a_fleet_nor_let_it_overload_an_endpoint() {
    let reports = [
        ("none", None),
        ("no limit", Some(LoadReport { remaining_share: 0.0, rate: 0.0 })),
        ("all left", Some(LoadReport { remaining_share: 1.0, rate: 50.0 })),
    ];
    for forwarders in [3, 48, 100, 300] {
        for (report_name, report) in reports {
            let run = run_at_limit(forwarders, 50, 0.7, |_| report);
            let (delivered, rejected) = (run.delivered, run.rejected);
            assert!(
                delivered * 100 >= run.received * 70,
                "{forwarders} forwarders, {report_name}: {delivered} of {}",
                run.received
            );
            assert!(
                rejected * 100 <= run.received * if forwarders == 3 { 35 } else { 25 },
                "{forwarders} forwarders, {report_name}: {rejected} rejected"
            );
        }
    }
}
