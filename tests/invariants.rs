//! What may be done now, and what is told when something was done that may not: each reason once, and nothing else.

use cedarbridge::invariants::connection::idle_until;
use cedarbridge::invariants::send::{last_begin, HELD_UP};
use cedarbridge::invariants::*;
use cedarbridge::{DedupScope, Idempotency, MessageId, Outcome, ZoneId};

const ID: MessageId = MessageId(1);
const EAST: ZoneId = ZoneId(0);
const WEST: ZoneId = ZoneId(1);

fn free() -> SendFacts {
    SendFacts {
        now: 1_000_000,
        message_over: false,
        handed_over: false,
        journal_writable: true,
        cut_at: 1_000_001,
        send_by: 1_000_001,
        drain_grace: 250_000,
        endpoint: Some(EndpointFacts::default()),
    }
}

#[test]
fn a_call_goes_out_unless_one_of_eight_reasons_holds_it_back() {
    assert!(may_send(&free()).is_ok());
    let leaving = |since| Some(EndpointFacts { leaving_since: Some(since), ..EndpointFacts::default() });
    let asked = |until| Some(EndpointFacts { retry_after: Some(until), ..EndpointFacts::default() });
    let cases = [
        (SendFacts { message_over: true, ..free() }, SendRefusal::MessageOver),
        (SendFacts { handed_over: true, ..free() }, SendRefusal::HandedOver),
        (SendFacts { journal_writable: false, ..free() }, SendRefusal::JournalFailing),
        (SendFacts { cut_at: 1_000_000, ..free() }, SendRefusal::Cut),
        (SendFacts { send_by: 1_000_000, ..free() }, SendRefusal::TooLate),
        (SendFacts { endpoint: None, ..free() }, SendRefusal::UnknownEndpoint),
        (SendFacts { endpoint: leaving(920_000), ..free() }, SendRefusal::Leaving),
        (SendFacts { endpoint: asked(1_000_001), ..free() }, SendRefusal::RetryAfter),
    ];
    for (facts, refusal) in cases {
        assert_eq!(may_send(&facts).err(), Some(refusal));
    }
    assert!(may_send(&SendFacts { endpoint: leaving(920_001), ..free() }).is_ok(), "within the grace");
    assert!(may_send(&SendFacts { endpoint: asked(1_000_000), ..free() }).is_ok(), "the pause is over");
    for grace in [0, 100_000, 250_000, 2_000_000] {
        assert!(last_begin(grace) == 0 || last_begin(grace) + HELD_UP <= grace);
    }
}

#[test]
fn a_message_is_taken_on_unless_there_is_a_reason_not_to() {
    let free =
        AdmissionFacts { closed: false, id_in_use: false, open: 7, max_open: 8, journal_writable: true };
    assert_eq!(may_take_on(&free), Ok(()));
    assert_eq!(may_take_on(&AdmissionFacts { closed: true, ..free }), Err(Rejection::Closing));
    assert_eq!(may_take_on(&AdmissionFacts { id_in_use: true, ..free }), Err(Rejection::IdInUse));
    assert_eq!(may_take_on(&AdmissionFacts { open: 8, ..free }), Err(Rejection::TooManyOpen));
    assert_eq!(
        may_take_on(&AdmissionFacts { journal_writable: false, ..free }),
        Err(Rejection::JournalFailing)
    );
}

#[test]
fn an_idle_connection_is_used_again_only_while_nothing_speaks_against_it() {
    let free = IdleFacts { now: 10, until: idle_until(0, 5_000_000), at_its_address: true, disturbed: None };
    assert_eq!(may_reuse(&free), Ok(()));
    assert_eq!(may_reuse(&IdleFacts { now: 4_750_000, ..free }), Err(CloseReason::Idle));
    assert_eq!(may_reuse(&IdleFacts { at_its_address: false, ..free }), Err(CloseReason::Moved));
    let disturbed = IdleFacts { disturbed: Some("unasked"), ..free };
    assert_eq!(may_reuse(&disturbed), Err(CloseReason::Disturbed("unasked")));
    assert_eq!(idle_until(0, 100), 75, "a short span leaves a quarter");
}

fn ledger(effect: Idempotency) -> Ledger {
    let rules = RepeatRules { effect, scope: DedupScope::Zone, window: 1_000, max_attempts: 3 };
    let mut ledger = Ledger::default();
    ledger.hold(ID, rules, 0, None, None);
    ledger
}

/// A first attempt of which the end is not known.
fn may_have_run(effect: Idempotency) -> Ledger {
    let mut ledger = ledger(effect);
    assert_eq!(ledger.attempt(ID, 0, 100, EAST), None);
    ledger.attempt_ended(ID, 0, Outcome::Reset);
    ledger
}

/// A check that cannot fail would prove nothing: each rule is broken once.
#[test]
fn each_rule_that_is_broken_is_told_by_its_name() {
    let mut fresh = ledger(Idempotency::Idempotent);
    assert_eq!(fresh.attempt(MessageId(2), 0, 0, EAST), Some(Violation::UnknownMessage));
    assert_eq!(fresh.attempt(ID, 0, 0, EAST), None);
    assert_eq!(fresh.attempt(ID, 1, 0, EAST), Some(Violation::TwoAttemptsOut));
    fresh.attempt_ended(ID, 1, Outcome::Rejected(None));
    assert_eq!(fresh.attempt(ID, 2, 0, EAST), None);
    fresh.attempt_ended(ID, 2, Outcome::Rejected(None));
    assert_eq!(fresh.attempt(ID, 3, 0, EAST), Some(Violation::TooManyAttempts));
    fresh.attempt_ended(ID, 3, Outcome::Rejected(None));
    assert_eq!(fresh.end(ID, true), None);
    assert_eq!(fresh.end(ID, true), Some(Violation::SecondEnd));
    assert_eq!(fresh.attempt(ID, 4, 0, EAST), Some(Violation::AttemptAfterEnd));
    fresh.forget(ID);
    assert!(fresh.is_empty());

    assert_eq!(
        may_have_run(Idempotency::NonIdempotent).attempt(ID, 1, 101, EAST),
        Some(Violation::RepeatForbidden)
    );
    assert_eq!(
        may_have_run(Idempotency::WithKey).attempt(ID, 1, 101, WEST),
        Some(Violation::RepeatElsewhere)
    );
    assert_eq!(
        may_have_run(Idempotency::WithKey).attempt(ID, 1, 1_100, EAST),
        Some(Violation::RepeatTooLate)
    );
    assert_eq!(may_have_run(Idempotency::WithKey).end(ID, true), Some(Violation::ReturnedThoughItMayHaveRun));
}

#[test]
fn what_is_allowed_is_no_violation() {
    assert_eq!(may_have_run(Idempotency::WithKey).attempt(ID, 1, 1_099, EAST), None);
    assert_eq!(may_have_run(Idempotency::Idempotent).attempt(ID, 1, 9_999, WEST), None);
    assert_eq!(may_have_run(Idempotency::WithKey).end(ID, false), None);
    let mut refused = ledger(Idempotency::NonIdempotent);
    refused.attempt(ID, 0, 100, EAST);
    refused.attempt_ended(ID, 0, Outcome::ConnectFailed);
    assert_eq!((refused.attempt(ID, 1, 101, WEST), refused.len()), (None, 1));
}
