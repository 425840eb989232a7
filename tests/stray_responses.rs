//! Tests of stray responses: a copy of an earlier response that arrives on a connection, by itself or after the next request.
//! A response is told from a copy by what the connection has carried before, never by its place alone. The tests are
//! scenarios over sockets, in the language of `scenario/mod.rs`; `e1 send-raw m1` writes on the connection of the call of m1,
//! which also carries the next call while it is reused.

mod scenario;

use scenario::run_scenario;

/// Guards against a message that is held for delivered by a copy of the response before, although its own response says that
/// it never ran.
#[test]
fn a_copy_of_the_response_before_does_not_end_the_next_message() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m1 200
         e1 send m2 503
         e1 expect m2
         wait open=1 full=1 stray_responses/in-call=1 connections_given_up=1
         e1 send m2 200

         log stray response
         wait delivered=2 opened=2 reused=1 open=0",
    );
}

/// Guards against the second run of a non-idempotent message whose call is still out: a copy of an earlier refusal says that
/// it never ran.
#[test]
fn a_copy_of_a_refusal_does_not_make_a_non_idempotent_message_run_twice() {
    run_scenario(
        "with e1=1
         start

         u1 send m1 class=free
         u1 expect 202
         e1 expect m1
         e1 send m1 503
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2 class=once
         u1 expect 202
         e1 expect m2
         e1 send-raw m1 HTTP/1.1 503 X\\r\\nContent-Length: 0\\r\\n\\r\\n
         e1 send m2 200

         wait delivered=2 open=0 attempts=3
         platform expect-no-report",
    );
}

/// Guards against a second attempt of a message while its call is out: a copy of an earlier refusal ends only the wait.
#[test]
fn a_copy_of_a_refusal_does_not_end_a_call_that_is_out() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 503
         e1 expect m1
         e1 send-raw m1 HTTP/1.1 503 X\\r\\nContent-Length: 0\\r\\n\\r\\n
         e1 send m1 200

         wait delivered=1 open=0 attempts=2 reused=1",
    );
}

/// Guards against a message that is forgotten when the process is killed between a copy of the response before and the
/// message's own response. As the copy may be its own response, it is reported and not called again.
#[test]
fn a_message_whose_only_response_may_be_a_copy_survives_a_kill() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         u2 send m3 class=once
         u2 expect 202
         e1 expect m2
         e1 expect m3
         e1 send m1 200
         sleep 10
         kill
         start
         platform expect-all m2 m3 failed
         e1 expect-no-call 1000

         wait restored=1 unconfirmed_reports=1 attempts=0 open=0 notices=2",
    );
}

/// Guards against a successor that takes a message for delivered by a copy that its predecessor received.
#[test]
fn a_copy_received_before_a_hand_over_does_not_end_the_message_at_the_successor() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         upgrade
         e1 send m1 200
         e1 send m2 503
         e1 expect m2
         e1 send m2 200

         wait inherited=1 delivered=1 open=0",
    );
}

/// Guards against a batch that is ended by a copy of another call's response, which names none of its messages.
#[test]
fn a_batch_is_ended_only_by_the_response_that_names_its_messages() {
    run_scenario(
        "with e1=2:many e9=9:one:leaving tick=400
         start

         u1 send m1 dest=2
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2 dest=2
         u2 send m3 dest=2
         u1 expect 202
         u2 expect 202
         e1 expect-unordered m2 m3
         e1 send m1 200
         e1 send m2 200 m2=delivered m3=refused
         e1 expect m3
         e1 send m3 200

         wait delivered=3 error=0 attempts=4 open=0",
    );
}

/// Guards against reading on: the calls behind a stray response would each get the response to the call before.
#[test]
fn a_connection_that_carried_a_stray_response_is_not_used_again() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m1 200
         e1 send m2 200
         wait delivered=2 connections_given_up=1
         u1 send m3
         u1 expect 202
         e1 expect m3
         e1 send m3 200
         wait delivered=3 opened=2
         u1 send m4
         u1 expect 202
         e1 expect m4
         e1 send m4 200

         wait delivered=4 opened=3 reused=1",
    );
}

/// Guards against a copy that arrives after the pool's check and before the first byte of the call, here while the attempt is
/// written to the journal.
#[test]
fn a_copy_that_arrives_while_the_attempt_is_journaled_ends_no_call() {
    run_scenario(
        "with e1=1 faults=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         faults write stall=400 nth=2 count=1
         u1 send m2
         fault-injected write
         e1 send m1 200
         u1 expect 202
         e1 expect m2
         wait stray_responses/before-request=1 opened=2 reused=0
         e1 send m2 200

         wait delivered=2 open=0",
    );
}

/// Guards against a retry-after that is not obeyed because a copy arrives before the late response that carries it.
#[test]
fn a_late_retry_after_behind_a_copy_is_obeyed() {
    run_scenario(
        "with e1=1
         config settings/specifics/call-slots 1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2 deadline=700m
         u1 expect 202
         e1 expect m2
         wait timed_out=1
         e1 send m1 200
         e1 send m2 429 X-RateLimit-Wait-Ms:1500

         log late retry_after received
         log ms: 1500",
    );
}

/// Guards against reports that are held for confirmed by a copy of an earlier confirmation.
#[test]
fn a_copy_of_a_confirmation_confirms_no_other_report() {
    run_scenario(
        "with e1=1:one:leaving
         start

         platform copies-responses
         u1 send m1 deadline=500m
         u1 expect 202
         platform expect m1 returned
         wait notices=1
         platform rejects-reports
         u1 send m2 deadline=500m
         u1 expect 202
         log delivery reports rejected
         platform accepts-reports
         platform expect m2 returned

         wait notices=2 notices_owed=0",
    );
}

/// Guards against a message that is lost because its own response comes later than any that its endpoint has given before.
#[test]
fn a_copy_ends_no_message_however_late_its_own_response_comes() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m1 200
         sleep 1500
         e1 send m2 503
         e1 expect m2
         e1 send m2 200

         wait delivered=2 open=0 full=1
         platform expect-no-report",
    );
}

/// Guards against a message that is held for refused by the response to the call before on a connection that was reused while
/// that response was still to come.
#[test]
fn a_late_refusal_is_not_read_as_that_of_the_next_call_on_the_connection() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2 class=once
         u1 expect 202
         e1 expect m2
         e1 send m1 200
         sleep 1200
         u1 send m3 class=once
         u1 expect 202
         e1 expect m3
         e1 send m2 503
         e1 send m3 200
         platform expect m2 failed
         platform expect m3 failed

         wait open=0 attempts=3 full=0",
    );
}

/// Guards against a lost message in a batch whose messages were refused late, behind a copy of the response to a call with one
/// of them.
#[test]
fn a_batch_refused_behind_a_copy_is_sent_again() {
    run_scenario(
        "with e1=2:many e9=9:one:leaving tick=400
         start

         u1 send m1 dest=2
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2 dest=2
         u2 send m3 dest=2
         u1 expect 202
         u2 expect 202
         e1 expect-unordered m2 m3
         e1 send m1 200
         sleep 1500
         e1 send m2 503
         e1 expect-unordered m2 m3
         e1 send m2 200 m2=delivered m3=delivered

         wait delivered=3 open=0 full=2",
    );
}

/// Guards against a second attempt that goes out, or a return to the client, because a copy of an earlier refusal was read as
/// that of a call that is out.
#[test]
fn a_copy_of_a_refusal_is_no_proof_that_a_call_never_ran() {
    run_scenario(
        "with e1=1 e2=1:one:hidden:west window=20000
         start

         u1 send m1 class=zoned deadline=3000m
         u1 expect 202
         e1 expect m1
         e1 send m1 503
         e1 expect m1
         platform send e2=active e1=leaving
         wait lists>=2
         e1 send-raw m1 HTTP/1.1 503 X\\r\\nContent-Length: 0\\r\\n\\r\\n
         platform expect m1 failed

         wait open=0 attempts=2",
    );
}

/// Guards against a successor that takes a message for delivered once its predecessor has stopped waiting for the message's
/// own response.
#[test]
fn a_late_response_behind_a_copy_is_awaited_across_a_hand_over() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m1 200
         upgrade
         sleep 1500
         e1 send m2 503
         e1 expect m2
         e1 send m2 200

         wait inherited=1 delivered=1 open=0",
    );
}

/// Guards against a message that is held for delivered by a copy although the connection ends without its own response. As the
/// copy may be its own response, it is reported and not called again.
#[test]
fn a_connection_that_ends_behind_a_copy_ends_its_message_by_a_report() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         u2 send m3 class=once
         u2 expect 202
         e1 expect m2
         e1 expect m3
         e1 send m3 200
         e1 send m1 200
         sleep 1200
         e1 close m2
         platform expect m2 failed
         e1 expect-no-call 1500

         wait attempts=3 unconfirmed_reports=1 open=0 notices=1
         platform expect-no-report",
    );
}

/// Guards against connections that are no longer reused because the response to each call may be a copy.
#[test]
fn without_copies_one_connection_carries_call_after_call() {
    let call = |number: u32| {
        format!(
            "u1 send m{number}
             u1 expect 202
             e1 expect m{number}
             e1 send m{number} 200
             sleep 120\n"
        )
    };
    let calls: String = (1..=12).map(call).collect();
    run_scenario(&format!(
        "with e1=1
         start

         {calls}
         wait delivered=12 opened=1 reused=11 open=0 stale=0
         platform expect-no-report"
    ));
}

/// Guards against a retry-after that is not obeyed because its response comes as one too many, behind two calls whose responses
/// may be copies.
#[test]
fn a_retry_after_in_a_surplus_response_is_obeyed() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m2 200
         sleep 150
         u1 send m3
         u1 expect 202
         e1 expect m3
         e1 send m1 200
         sleep 20
         e1 send m3 429 X-RateLimit-Wait-Ms:2500
         platform expect-all m2 m3 failed
         u1 send m4
         u1 expect 202
         e1 expect-no-call 1500
         e1 expect m4
         e1 send m4 200

         log late retry_after received
         wait open=0 attempts=4",
    );
}
