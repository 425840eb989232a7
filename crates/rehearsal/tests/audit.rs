//! The audit: it reports each kind of violation, and allows what only looks like one.

use cedarbridge::routes::RouteTiming;
use cedarbridge::{Idempotency, Lifecycle, Micros, Outcome};
use cedarbridge_rehearsal::audit::{
    Audit, AuditSizes, MessageEnd, Rule, SOCKET_TOLERANCES, VIRTUAL_TIME_TOLERANCES,
};
use cedarbridge_rehearsal::environment::platform_defaults;

const ONE_OF_EACH: AuditSizes = AuditSizes { forwarders: 1, destinations: 1, endpoints: 1 };

/// An audit in virtual time with one message at one forwarder.
fn audit(idempotency: Idempotency) -> Audit {
    let mut settings = platform_defaults().0;
    settings.classes[0].idempotency = idempotency;
    let mut audit = Audit::new(&settings, ONE_OF_EACH, VIRTUAL_TIME_TOLERANCES);
    audit.message_received(0, 0, 0, 28_000_000);
    audit
}

/// Sends an attempt of the message.
fn send(a: &mut Audit, now: Micros) {
    a.attempt_sent(now, now, (0, 0), 0, &RouteTiming { attempts: Some(3), ..RouteTiming::default() });
}

/// Ends the message's attempt.
fn end_attempt(a: &mut Audit, now: Micros, outcome: Outcome) {
    a.attempt_ended(now, 0, 0, now - 1, outcome);
}

/// Guards against an audit that detects nothing: each rule is violated once.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of the rules, each with a violation")]
fn each_violated_rule_is_reported() {
    type Violate = fn(&mut Audit);
    let cases: [(&str, Violate); 10] = [
        ("a second attempt while one is out", |a| (1..3).for_each(|t| send(a, t))),
        ("more attempts than allowed", |a| {
            (1..5).for_each(|t| {
                send(a, t * 10);
                end_attempt(a, t * 10 + 1, Outcome::Rejected(None));
            });
        }),
        ("memory of the first", |a| {
            send(a, 1);
            end_attempt(a, 10, Outcome::TimedOut);
            send(a, 30_000_010);
        }),
        ("sent within a told wait", |a| {
            send(a, 1);
            end_attempt(a, 10, Outcome::Rejected(Some(500_000)));
            send(a, 400_000);
        }),
        ("sent to an endpoint that drains", |a| {
            a.lifecycle_received(5, 0, 0, Lifecycle::Draining);
            send(a, 250_006);
        }),
        ("a second final answer", |a| {
            (1..3).for_each(|t| a.message_ended(t, 0, &RouteTiming::default(), MessageEnd::Rejected))
        }),
        ("an attempt after its end", |a| {
            a.message_ended(1, 0, &RouteTiming::default(), MessageEnd::Rejected);
            send(a, 2);
        }),
        ("though it may have run", |a| {
            send(a, 1);
            end_attempt(a, 10, Outcome::Reset);
            a.message_ended(20, 0, &RouteTiming::default(), MessageEnd::Rejected);
        }),
        ("too late", |a| {
            a.message_ended(
                9_100_000,
                0,
                &RouteTiming { abandon_after: Some(9_000_000), ..RouteTiming::default() },
                MessageEnd::Rejected,
            )
        }),
        ("never got a final answer", |a| a.close(1, std::iter::empty())),
    ];
    for (description, violate) in cases {
        let mut a = audit(Idempotency::WithKey);
        violate(&mut a);
        assert!(
            a.violations.len() == 1 && a.violations[0].to_string().contains(description),
            "{description}: {:?}",
            a.violations
        );
    }
    let mut a = audit(Idempotency::NonIdempotent);
    send(&mut a, 1);
    end_attempt(&mut a, 10, Outcome::Error);
    send(&mut a, 20);
    assert!(a.violations[0].to_string().contains("may not run twice"));
    a.message_ended(30, 0, &RouteTiming::default(), MessageEnd::Failed);
    a.close(40, [(0, 35)].into_iter());
    assert!(a.violations[1].to_string().contains("pushed over"));
}

/// On sockets a destination observes a delivery before the forwarder does, and the end of an attempt may be observed just
/// after the start of the next one.
#[test]
fn on_sockets_early_deliveries_and_short_overlaps_are_allowed() {
    let settings = platform_defaults().0;
    let mut a = Audit::new(&settings, ONE_OF_EACH, SOCKET_TOLERANCES);
    a.message_received(0, 0, 0, 28_000_000);
    let t = RouteTiming::default();
    a.attempt_sent(1, 1, (0, 0), 0, &t);
    a.attempt_sent(100, 100, (0, 0), 0, &t);
    a.attempt_ended(200, 0, 0, 1, Outcome::TimedOut);
    a.message_ended(300, 0, &t, MessageEnd::Delivered);
    a.delivery_report_received(400, 0, &t, MessageEnd::Failed);
    assert_eq!(a.violations, [], "a timeout that was observed a little late, and a notice after a delivery");
    a.attempt_ended(100_000, 0, 0, 100, Outcome::Ok);
    a.message_received(0, 0, 0, 28_000_000);
    a.attempt_sent(200_000, 200_000, (0, 0), 1, &t);
    a.attempt_sent(200_001, 200_001, (0, 0), 1, &t);
    a.attempt_ended(400_000, 0, 1, 200_000, Outcome::Ok);
    assert_eq!(a.violations[0].rule, Rule::SingleAttempt);
}

/// Guards against a notice that is repeated after a restart, because its acknowledgement was lost, counting as a second
/// answer, and against a real second answer passing as such a notice.
#[test]
fn a_notice_repeated_after_a_restart_is_no_second_answer() {
    let settings = platform_defaults().0;
    let mut a = Audit::new(&settings, ONE_OF_EACH, SOCKET_TOLERANCES);
    let t = RouteTiming::default();
    (0..2).for_each(|_| a.message_received(0, 0, 0, 28_000_000));
    a.delivery_report_received(10, 0, &t, MessageEnd::Rejected);
    a.forwarder_stopped(20, 0);
    a.excuse_late_answers(0, 20, 900);
    a.delivery_report_received(800, 0, &t, MessageEnd::Rejected);
    assert_eq!(a.violations, []);
    a.delivery_report_received(1000, 1, &t, MessageEnd::Rejected);
    a.delivery_report_received(1100, 1, &t, MessageEnd::Rejected);
    assert_eq!(a.violations[0].rule, Rule::SingleAnswer);
}
