//! The safety checks and the ledger: each reason for a refusal and each violation occurs once, and what is allowed passes.

use cedarbridge::invariants::connection::reusable_until;
use cedarbridge::invariants::send::{latest_start, WRITE_DELAY_ALLOWANCE};
use cedarbridge::invariants::*;
use cedarbridge::{DedupScope, Idempotency, MessageId, Outcome, ZoneId};

const ID: MessageId = MessageId(1);
const EAST: ZoneId = ZoneId(0);
const WEST: ZoneId = ZoneId(1);

fn sendable() -> SendFacts {
    SendFacts {
        now: 1_000_000,
        message_complete: false,
        handed_over: false,
        journal_writable: true,
        times_out_at: 1_000_001,
        send_by: 1_000_001,
        drain_grace: 250_000,
        endpoint: Some(EndpointFacts::default()),
    }
}

#[test]
fn a_call_may_be_sent_unless_one_of_eight_reasons_refuses_it() {
    assert!(may_send(&sendable()).is_ok());
    let draining = |since| Some(EndpointFacts { draining_since: Some(since), ..EndpointFacts::default() });
    let retry_after_until =
        |until| Some(EndpointFacts { retry_after_until: Some(until), ..EndpointFacts::default() });
    let cases = [
        (SendFacts { message_complete: true, ..sendable() }, SendRefusal::MessageComplete),
        (SendFacts { handed_over: true, ..sendable() }, SendRefusal::HandedOver),
        (SendFacts { journal_writable: false, ..sendable() }, SendRefusal::JournalFailing),
        (SendFacts { times_out_at: 1_000_000, ..sendable() }, SendRefusal::TimedOut),
        (SendFacts { send_by: 1_000_000, ..sendable() }, SendRefusal::TooLate),
        (SendFacts { endpoint: None, ..sendable() }, SendRefusal::UnknownEndpoint),
        (SendFacts { endpoint: draining(920_000), ..sendable() }, SendRefusal::Draining),
        (SendFacts { endpoint: retry_after_until(1_000_001), ..sendable() }, SendRefusal::RetryAfter),
    ];
    for (facts, refusal) in cases {
        assert_eq!(may_send(&facts).err(), Some(refusal));
    }
    assert!(may_send(&SendFacts { endpoint: draining(920_001), ..sendable() }).is_ok(), "within the grace");
    assert!(
        may_send(&SendFacts { endpoint: retry_after_until(1_000_000), ..sendable() }).is_ok(),
        "the time of the Retry-After has passed"
    );
    for grace in [0, 100_000, 250_000, 2_000_000] {
        assert!(latest_start(grace) == 0 || latest_start(grace) + WRITE_DELAY_ALLOWANCE <= grace);
    }
}

#[test]
fn a_message_is_admitted_unless_there_is_a_reason_to_reject_it() {
    let admissible = AdmissionFacts {
        draining: false,
        id_in_use: false,
        open_messages: 7,
        max_open_messages: 8,
        journal_writable: true,
    };
    assert_eq!(may_admit(&admissible), Ok(()));
    assert_eq!(may_admit(&AdmissionFacts { draining: true, ..admissible }), Err(Rejection::Draining));
    assert_eq!(may_admit(&AdmissionFacts { id_in_use: true, ..admissible }), Err(Rejection::IdInUse));
    assert_eq!(
        may_admit(&AdmissionFacts { open_messages: 8, ..admissible }),
        Err(Rejection::TooManyOpenMessages)
    );
    assert_eq!(
        may_admit(&AdmissionFacts { journal_writable: false, ..admissible }),
        Err(Rejection::JournalFailing)
    );
}

#[test]
fn an_idle_connection_is_reused_only_while_its_timeout_address_and_peer_allow_it() {
    let reusable = IdleFacts {
        now: 10,
        reusable_until: reusable_until(0, 5_000_000),
        address_is_current: true,
        peer_activity: None,
    };
    assert_eq!(may_reuse(&reusable), Ok(()));
    assert_eq!(may_reuse(&IdleFacts { now: 4_750_000, ..reusable }), Err(CloseReason::IdleTimeout));
    assert_eq!(
        may_reuse(&IdleFacts { address_is_current: false, ..reusable }),
        Err(CloseReason::EndpointMoved)
    );
    let with_peer_activity = IdleFacts { peer_activity: Some("unasked"), ..reusable };
    assert_eq!(may_reuse(&with_peer_activity), Err(CloseReason::PeerActivity("unasked")));
    assert_eq!(reusable_until(0, 100), 75, "the margin of a short timeout is a quarter of it");
}

fn ledger(idempotency: Idempotency) -> Ledger {
    let repeat_policy =
        RepeatPolicy { idempotency, dedup_scope: DedupScope::Zone, dedup_window: 1_000, max_attempts: 3 };
    let mut ledger = Ledger::default();
    ledger.track(
        ID,
        TrackedMessage {
            repeat_policy,
            attempts: 0,
            first_possible_effect: None,
            unknown_attempt_at: None,
            in_flight: None,
        },
    );
    ledger
}

/// A ledger with a message whose first attempt ended by a reset connection, so that it may have run.
fn may_have_run(idempotency: Idempotency) -> Ledger {
    let mut ledger = ledger(idempotency);
    assert_eq!(ledger.attempt_started(ID, 0, 100, EAST), None);
    ledger.attempt_ended(ID, 0, Outcome::Reset);
    ledger
}

/// Breaks each rule once, because a check that cannot fail proves nothing.
#[test]
fn each_broken_rule_is_reported_by_its_violation() {
    let mut idempotent = ledger(Idempotency::Idempotent);
    assert_eq!(idempotent.attempt_started(MessageId(2), 0, 0, EAST), Some(Violation::UnknownMessage));
    assert_eq!(idempotent.attempt_started(ID, 0, 0, EAST), None);
    assert_eq!(idempotent.attempt_started(ID, 1, 0, EAST), Some(Violation::TwoAttemptsInFlight));
    idempotent.attempt_ended(ID, 1, Outcome::Rejected(None));
    assert_eq!(idempotent.attempt_started(ID, 2, 0, EAST), None);
    idempotent.attempt_ended(ID, 2, Outcome::Rejected(None));
    assert_eq!(idempotent.attempt_started(ID, 3, 0, EAST), Some(Violation::TooManyAttempts));
    idempotent.attempt_ended(ID, 3, Outcome::Rejected(None));
    assert_eq!(idempotent.completed(ID, true), None);
    assert_eq!(idempotent.completed(ID, true), Some(Violation::CompletedTwice));
    assert_eq!(idempotent.attempt_started(ID, 4, 0, EAST), Some(Violation::AttemptAfterCompletion));
    idempotent.forget(ID);
    assert!(idempotent.is_empty());

    let mut answered = may_have_run(Idempotency::Idempotent);
    answered.end_read(ID, 0);
    answered.end_refuted(ID, 1);
    assert_eq!(answered.attempt_started(ID, 1, 101, EAST), Some(Violation::AttemptAfterCompletion));
    answered.attempt_ended(ID, 1, Outcome::NotSent);
    answered.end_refuted(ID, 0);
    assert_eq!(answered.attempt_started(ID, 2, 102, EAST), None);

    assert_eq!(
        may_have_run(Idempotency::NonIdempotent).attempt_started(ID, 1, 101, EAST),
        Some(Violation::RepeatForbidden)
    );
    assert_eq!(
        may_have_run(Idempotency::WithKey).attempt_started(ID, 1, 101, WEST),
        Some(Violation::RepeatInAnotherZone)
    );
    assert_eq!(
        may_have_run(Idempotency::WithKey).attempt_started(ID, 1, 1_100, EAST),
        Some(Violation::RepeatAfterWindow)
    );
    assert_eq!(
        may_have_run(Idempotency::WithKey).completed(ID, true),
        Some(Violation::ReturnedAlthoughItMayHaveRun)
    );
}

/// The attempt of another forwarder limits the time of a repeat, and that of this forwarder its zone as well.
#[test]
fn a_repeat_keeps_to_what_is_known_of_both_forwarders_attempts() {
    let handed_in_again = || {
        let mut ledger = ledger(Idempotency::WithKey);
        let repeat_policy = RepeatPolicy {
            idempotency: Idempotency::WithKey,
            dedup_scope: DedupScope::Zone,
            dedup_window: 1_000,
            max_attempts: 3,
        };
        let message = TrackedMessage {
            repeat_policy,
            attempts: 0,
            first_possible_effect: None,
            unknown_attempt_at: Some(40),
            in_flight: None,
        };
        ledger.track(ID, message);
        ledger
    };
    assert_eq!(handed_in_again().attempt_started(ID, 0, 1_040, EAST), Some(Violation::RepeatAfterWindow));
    for (now, zone, violation) in [
        (1_039, EAST, None),
        (1_040, EAST, Some(Violation::RepeatAfterWindow)),
        (1_039, WEST, Some(Violation::RepeatInAnotherZone)),
    ] {
        let mut ledger = handed_in_again();
        assert_eq!(ledger.attempt_started(ID, 0, 100, EAST), None);
        ledger.attempt_ended(ID, 0, Outcome::Error);
        assert_eq!(ledger.attempt_started(ID, 1, now, zone), violation);
    }
}

#[test]
fn allowed_attempts_and_completions_are_no_violation() {
    assert_eq!(may_have_run(Idempotency::WithKey).attempt_started(ID, 1, 1_099, EAST), None);
    assert_eq!(may_have_run(Idempotency::Idempotent).attempt_started(ID, 1, 9_999, WEST), None);
    assert_eq!(may_have_run(Idempotency::WithKey).completed(ID, false), None);
    let mut never_ran = ledger(Idempotency::NonIdempotent);
    never_ran.attempt_started(ID, 0, 100, EAST);
    never_ran.attempt_ended(ID, 0, Outcome::ConnectFailed);
    assert_eq!((never_ran.attempt_started(ID, 1, 101, WEST), never_ran.len()), (None, 1));
}
