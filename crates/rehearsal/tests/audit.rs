//! The audit of the rules: each violation is found, and what only looks like one is let through.

use cedarbridge::routes::RouteTiming;
use cedarbridge::{Idempotency, Lifecycle, Micros, Outcome};
use cedarbridge_rehearsal::audit::{Audit, AuditSizes, MessageEnd, Rule, SOCKETS, VIRTUAL};
use cedarbridge_rehearsal::world::platform;

const ONE_OF_EACH: AuditSizes = AuditSizes { forwarders: 1, destinations: 1, endpoints: 1 };

fn audit(effect: Idempotency) -> Audit {
    let mut settings = platform().0;
    settings.classes[0].idempotency = effect;
    let mut audit = Audit::new(&settings, ONE_OF_EACH, VIRTUAL);
    audit.taken(0, 0, 0, 28_000_000);
    audit
}

fn send(a: &mut Audit, now: Micros) {
    a.sent(now, now, (0, 0), 0, &RouteTiming { attempts: Some(3), ..RouteTiming::default() });
}

fn back(a: &mut Audit, now: Micros, outcome: Outcome) {
    a.attempt_ended(now, 0, 0, now - 1, outcome);
}

/// Each rule broken once, by hand: an audit that cannot fail would prove nothing.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of the rules, each with its breach")]
fn each_rule_that_is_broken_is_told() {
    type Break = fn(&mut Audit);
    let cases: [(&str, Break); 10] = [
        ("a second attempt while one is out", |a| (1..3).for_each(|t| send(a, t))),
        ("more attempts than allowed", |a| {
            (1..5).for_each(|t| {
                send(a, t * 10);
                back(a, t * 10 + 1, Outcome::Rejected(None));
            });
        }),
        ("memory of the first", |a| {
            send(a, 1);
            back(a, 10, Outcome::TimedOut);
            send(a, 30_000_010);
        }),
        ("sent within a told wait", |a| {
            send(a, 1);
            back(a, 10, Outcome::Rejected(Some(500_000)));
            send(a, 400_000);
        }),
        ("sent to an endpoint that drains", |a| {
            a.lists(5, 0, 0, Lifecycle::Draining);
            send(a, 250_006);
        }),
        ("a second final answer", |a| {
            (1..3).for_each(|t| a.ended(t, 0, &RouteTiming::default(), MessageEnd::Rejected))
        }),
        ("an attempt after its end", |a| {
            a.ended(1, 0, &RouteTiming::default(), MessageEnd::Rejected);
            send(a, 2);
        }),
        ("though it may have run", |a| {
            send(a, 1);
            back(a, 10, Outcome::Reset);
            a.ended(20, 0, &RouteTiming::default(), MessageEnd::Rejected);
        }),
        ("too late", |a| {
            a.ended(
                9_100_000,
                0,
                &RouteTiming { abandon_after: Some(9_000_000), ..RouteTiming::default() },
                MessageEnd::Rejected,
            )
        }),
        ("never got a final answer", |a| a.close(1, std::iter::empty())),
    ];
    for (what, break_it) in cases {
        let mut a = audit(Idempotency::WithKey);
        break_it(&mut a);
        assert!(
            a.violations.len() == 1 && a.violations[0].to_string().contains(what),
            "{what}: {:?}",
            a.violations
        );
    }
    let mut a = audit(Idempotency::NonIdempotent);
    send(&mut a, 1);
    back(&mut a, 10, Outcome::Error);
    send(&mut a, 20);
    assert!(a.violations[0].to_string().contains("may not run twice"));
    a.ended(30, 0, &RouteTiming::default(), MessageEnd::Failed);
    a.close(40, [(0, 35)].into_iter());
    assert!(a.violations[1].to_string().contains("pushed over"));
}

/// On sockets a destination observes a delivery before the forwarder does, and an attempt's end may be observed just
/// after the next one's begin.
#[test]
fn on_sockets_what_only_seems_wrong_is_let_through() {
    let settings = platform().0;
    let mut a = Audit::new(&settings, ONE_OF_EACH, SOCKETS);
    a.taken(0, 0, 0, 28_000_000);
    let t = RouteTiming::default();
    a.sent(1, 1, (0, 0), 0, &t);
    a.sent(100, 100, (0, 0), 0, &t);
    a.attempt_ended(200, 0, 0, 1, Outcome::TimedOut);
    a.ended(300, 0, &t, MessageEnd::Delivered);
    a.notified(400, 0, &t, MessageEnd::Failed);
    assert_eq!(a.violations, [], "a cut that was seen a moment late, and a notice after a delivery");
    a.attempt_ended(100_000, 0, 0, 100, Outcome::Ok);
    a.taken(0, 0, 0, 28_000_000);
    a.sent(200_000, 200_000, (0, 0), 1, &t);
    a.sent(200_001, 200_001, (0, 0), 1, &t);
    a.attempt_ended(400_000, 0, 1, 200_000, Outcome::Ok);
    assert_eq!(a.violations[0].rule, Rule::OneOut);
}

/// Guards against a notice that is told again for the lost confirmation of the first being called a second answer,
/// and against a real second one passing as that.
#[test]
fn a_notice_told_again_after_a_restart_is_the_same_one() {
    let settings = platform().0;
    let mut a = Audit::new(&settings, ONE_OF_EACH, SOCKETS);
    let t = RouteTiming::default();
    (0..2).for_each(|_| a.taken(0, 0, 0, 28_000_000));
    a.notified(10, 0, &t, MessageEnd::Rejected);
    a.died(20, 0);
    a.excuse(0, 20, 900);
    a.notified(800, 0, &t, MessageEnd::Rejected);
    assert_eq!(a.violations, []);
    a.notified(1000, 1, &t, MessageEnd::Rejected);
    a.notified(1100, 1, &t, MessageEnd::Rejected);
    assert_eq!(a.violations[0].rule, Rule::OneAnswer);
}
