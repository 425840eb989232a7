//! Tests of two rules that stand together: once an end of a message was read, no call is made for it; and no message is without
//! an end, also if that response was a copy of an earlier one. They are scenarios over sockets, in the language of
//! `scenario/mod.rs`; the first message of each makes the response that later ones are equal to.

mod scenario;

use scenario::run_scenario;

/// Guards against a second call for a message whose 410 was taken for a copy of the 410 before.
#[test]
fn a_message_that_a_repeated_410_has_ended_is_not_called_again() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 410
         wait open=0
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m2 410
         e1 expect-no-call 1500
         platform expect m2 failed

         wait open=0 attempts=2",
    );
}

/// Guards against a second call for a delivered message whose connection ends behind its 200.
#[test]
fn a_message_whose_connection_ends_behind_its_200_is_not_called_again() {
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
         sleep 100
         e1 close m2
         e1 expect-no-call 7000
         platform expect m2 failed

         wait open=0 attempts=2",
    );
}

/// Guards against a second call for a message of which only the status line was read before its connection ended.
#[test]
fn a_message_whose_200_is_cut_behind_the_status_line_is_not_called_again() {
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
         e1 send-raw m2 HTTP/1.1 200 X\\r\\nContent-Len
         sleep 100
         e1 close m2
         e1 expect-no-call 1500
         platform expect m2 failed

         wait open=0 attempts=2",
    );
}

/// Guards against a second call for a delivered message because the next call on its connection gets no response.
#[test]
fn a_message_whose_endpoint_hangs_behind_its_200_is_not_called_again() {
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
         u1 send m3 deadline=1500m
         u1 expect 202
         e1 expect m3
         e1 expect-no-call 7000
         platform expect-all m2 m3 failed

         wait open=0 attempts=3 opened=1",
    );
}

/// Guards against a second call for messages of a batch that were sent before, as their response came behind an unconfirmed one.
#[test]
fn a_batch_of_messages_sent_before_is_ended_by_the_response_that_names_them() {
    run_scenario(
        "with e1=2:many e9=9:one:leaving tick=400
         start

         u1 send m1 dest=2
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2 dest=2
         u1 expect 202
         e1 expect m2
         u2 send m3 dest=2
         u3 send m4 dest=2
         u2 expect 202
         u3 expect 202
         e1 expect-unordered m3 m4
         e1 send m2 200
         sleep 100
         e1 close m3
         e1 expect-unordered m3 m4
         e1 send m3 200 m3=delivered m4=over
         e1 expect-no-call 7000
         platform expect-no-report

         wait open=0 delivered=3 attempts=6",
    );
}

/// Guards against a call by the next process for a message whose 200 was read before the kill.
#[test]
fn a_message_answered_before_a_kill_is_not_called_by_the_next_process() {
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
         sleep 100
         kill
         start
         platform expect m2 failed
         e1 expect-no-call 500

         wait restored=0 unconfirmed_reports=1 open=0 attempts=0",
    );
}

/// Guards against a message that a planned exit leaves to the next process, which may be of a release that calls it again.
#[test]
fn a_message_answered_before_sigterm_has_its_end_before_the_exit() {
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
         sleep 100
         term
         platform expect m2 failed
         exit-within 3700
         start
         e1 expect-no-call 500

         wait restored=0 open=0",
    );
}

/// Guards against a call by the successor for a message whose 200 its predecessor has read, before the hand-over or after it.
#[test]
fn a_message_answered_at_a_predecessor_that_dies_is_not_called_by_the_successor() {
    run_scenario(
        "with e1=1 e2=2 operator=on
         start

         u1 send m1
         u2 send n1 dest=2
         u1 expect 202
         u2 expect 202
         e1 expect m1
         e2 expect n1
         e1 send m1 200
         e2 send n1 200
         wait delivered=2
         u1 send m2
         u2 send n2 dest=2
         u1 expect 202
         u2 expect 202
         e1 expect m2
         e2 expect n2
         e1 send m2 200
         sleep 100
         upgrade
         e2 send n2 200
         sleep 100
         old kill
         platform expect-all m2 n2 failed
         e1 expect-no-call 500
         e2 expect-no-call 500

         wait open=0 attempts=0",
    );
}

/// Guards against a message that is held for delivered by a copy because its call's time is over, while its call still hangs.
#[test]
fn a_message_whose_call_hangs_behind_a_copy_until_its_time_is_over_has_an_end() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2 deadline=2000m
         u1 expect 202
         start-timer
         e1 expect m2
         e1 send m1 200
         platform expect m2 failed
         within 2300

         wait open=0 attempts=2",
    );
}

/// Guards against a message that is held for delivered by a copy, as above, where the connection ends later than the call's time.
#[test]
fn a_message_whose_hanging_call_is_reset_after_its_time_has_an_end() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u1 send m2 deadline=600m
         u1 expect 202
         start-timer
         e1 expect m2
         e1 send m1 200
         sleep 700
         e1 close m2
         platform expect m2 failed
         within 900

         wait open=0 attempts=2",
    );
}

/// Guards against a second call for a message whose 410 came after its call had timed out, while it waited to be sent again.
#[test]
fn a_message_that_a_late_410_has_ended_is_not_called_again() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         sleep 5000
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 429 X-RateLimit-Wait-Ms:2500
         wait timed_out=1
         e1 send m1 410
         e1 expect m2
         e1 send m2 200
         e1 expect-no-call 1500

         wait open=0 delivered=1 attempts=3",
    );
}

/// Guards against a second call for a message whose late 410 is equal to an earlier one, so that it may be a copy.
#[test]
fn a_message_that_a_late_and_repeated_410_has_ended_is_reported_and_not_called_again() {
    run_scenario(
        "with e1=1
         start

         u1 send m0
         u1 expect 202
         e1 expect m0
         e1 send m0 410
         wait open=0
         u1 send m1
         u1 expect 202
         e1 expect m1
         sleep 5000
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 429 X-RateLimit-Wait-Ms:2500
         wait timed_out=1
         e1 send m1 410
         platform expect m1 failed
         e1 expect m2
         e1 send m2 200
         e1 expect-no-call 1500

         wait open=0 delivered=1 attempts=4",
    );
}
