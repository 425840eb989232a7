//! A process that has handed over and whose successor is lost: its calls in flight go on, and the next process makes no second
//! attempt of their messages meanwhile. Each test runs a scenario over sockets, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Guards against a second attempt while the first is in flight at a process whose successor was killed, and against the loss
/// of the first one's result. What is not in flight does not wait.
#[test]
fn calls_of_a_process_that_lost_its_successor_are_awaited_and_their_results_used() {
    run_scenario(
        "with e1=1 e2=9:one:leaving operator=on
         start

         u1 sends 3 m
         u2 send queued dest=9
         u2 expect 202
         e1 expect-unordered m1
         e1 expect-unordered m2
         e1 expect-unordered m3
         upgrade
         kill
         start
         u3 send m4
         u3 expect 202
         platform send e2=active
         e2 expect queued
         e2 send queued 200
         e1 expect m4
         e1 send m4 200
         e1 send m1 200
         e1 send m2 503
         e1 expect m2
         e1 send m2 200
         old kill
         e1 expect m3
         e1 send m3 200

         wait delivered=5 open=0 failed=0",
    );
}

/// Guards against a result that arrives between the successor's death and the next start, and is forgotten.
#[test]
fn a_result_that_arrives_before_the_next_start_is_used() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 sends 2 m class=once
         e1 expect-unordered m1
         e1 expect-unordered m2
         upgrade
         kill
         old log the successor is gone
         e1 send m1 200
         start
         e1 send m2 200
         wait open=0 delivered=2 failed=0
         platform expect-no-report

         e1 expect-no-call 300",
    );
}

/// Guards against the same after SIGTERM, with several successors that are killed one after the other.
#[test]
fn several_successors_killed_in_a_row_make_no_second_attempt() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         upgrade
         old term
         kill
         start
         kill
         begin-start
         kill
         start
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 200
         e1 send m1 200

         wait delivered=2 open=0",
    );
}

/// Guards against a second attempt while the process that made the first is frozen. It cannot be asked, and may go on.
#[test]
fn a_frozen_process_is_not_taken_for_one_that_has_ended() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         u2 send short deadline=4000m
         u2 expect 202
         e1 expect-unordered m1
         e1 expect-unordered short
         upgrade
         old stop
         kill
         start-timer
         start
         within 6000
         u3 send m2
         u3 expect 202
         e1 expect m2
         e1 send m2 200
         e1 expect-no-call 1000
         platform expect short failed
         old continue
         e1 send m1 200

         wait delivered=2 open=0",
    );
}

/// Guards against a middle process of a chain that dies while the first one, whose calls it would have passed on, still runs.
#[test]
fn calls_of_the_first_of_three_processes_outlive_the_second() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         upgrade
         keep-first
         u2 send m2
         u2 expect 202
         e1 expect m2
         upgrade
         wait inherited=2
         old kill
         e1 expect m2
         e1 send m2 200
         e1 send m1 200

         wait delivered=2 open=0",
    );
}

/// Guards against a process that waits for an earlier one's call and then hands over: its successor has to wait as well.
#[test]
fn a_message_that_waits_for_an_earlier_process_still_waits_after_a_hand_over() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         upgrade
         kill
         keep-first
         start
         upgrade
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 200
         e1 send m1 200
         wait delivered=2 open=0
         old term

         old exit",
    );
}

/// Guards against a call that ignores the wait of a response to the earlier process.
#[test]
fn a_retry_after_that_the_earlier_process_received_is_heeded() {
    run_scenario(
        "with e1=1 operator=on
         caches-list
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         upgrade
         kill
         start
         wait open=1
         e1 send m1 429 X-RateLimit-Wait-Ms:1500
         e1 expect-no-call 1200
         e1 expect m1
         e1 send m1 200

         wait delivered=1 open=0",
    );
}

/// Guards against a moment between the release of the folder and the successor's readiness at which a kill leaves the calls in
/// flight without a fence.
#[test]
fn a_successor_killed_at_any_moment_of_its_start_causes_no_second_attempt() {
    for milliseconds in (0..48).step_by(4) {
        run_scenario(&format!(
            "with e1=1 operator=on
             start

             u1 send m1
             u1 expect 202
             e1 expect m1
             begin-upgrade
             sleep {milliseconds}
             kill
             start
             u2 send m2
             u2 expect 202
             e1 expect m2
             e1 send m2 200
             e1 send m1 200

             wait delivered=2 open=0"
        ));
    }
}

/// Guards against an attempt that was decided on and never sent, whose number is used again by the next process: the first one's
/// result says nothing of the second one, which may have run.
#[test]
fn the_result_of_an_attempt_that_was_never_sent_is_not_taken_for_that_of_a_later_one() {
    run_scenario(
        "with e1=1:one:stalled operator=on
         start

         u1 send m1 class=once
         u1 expect 202
         upgrade
         kill
         e1 open
         start
         e1 expect m1
         kill
         start
         platform expect m1 failed

         e1 expect-no-call 300",
    );
}
