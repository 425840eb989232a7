//! Tests of the forwarder while system calls fail with errors that the Linux manual pages list, or while the wall clock is
//! stepped. The library `crates/faultshim` is preloaded into the program and injects these faults, if the script has
//! `faults=on`. Three tests need no injected fault: those of the client that half-closes while it waits, of the unused
//! connection and of the request that lay unread.
//!
//! The tests are scenarios over sockets, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Guards against journal records that are written after a torn one: recovery stopped at the torn record, and the messages
/// admitted after it were lost.
#[test]
fn messages_admitted_after_a_torn_journal_write_survive_a_kill() {
    run_scenario(
        "with e1=1:one:leaving open=64 faults=on
         start

         u1 sends 10 a deadline=20000m
         faults write torn=EIO; ftruncate EIO
         u2 send t1
         u2 expect 503
         faults
         wait journal_writable=true
         u1 sends 20 b deadline=20000m
         kill
         start
         platform send e1=active

         e1 serves a*10 b*20
         wait delivered=30",
    );
}

/// Guards against deadlines that are measured by the wall clock, which may be set: after it was set forward by an hour, no
/// admitted message was delivered.
#[test]
fn a_wall_clock_set_forward_before_a_restart_does_not_shorten_deadlines() {
    run_scenario(
        "with e1=1:one:leaving open=64 faults=on
         start

         u1 sends 20 m deadline=20000m
         kill
         faults wall 3600000000
         start
         platform send e1=active

         e1 serves m*20
         wait delivered=20",
    );
}

/// Guards against deadlines that are measured by the wall clock: after it was set back by an hour, messages got no result
/// for an hour.
#[test]
fn a_wall_clock_set_back_before_a_restart_does_not_extend_deadlines() {
    run_scenario(
        "with e1=1:one:leaving open=64 faults=on
         start

         u1 sends 20 m deadline=5000m
         kill
         faults wall -3600000000
         start

         platform expect-all m*20 returned",
    );
}

/// Guards against counting an attempt as failed because it cannot be journaled in a full state folder: messages used up all
/// their attempts in some 60 ms and were returned, with 19 s left and a healthy endpoint.
#[test]
fn messages_wait_while_the_journal_cannot_be_written_and_then_proceed() {
    run_scenario(
        "with e1=1:one:leaving open=64 faults=on
         start

         u1 sends 20 m deadline=20000m
         faults write ENOSPC
         platform send e1=active
         fault-injected write
         u2 send x1
         u2 expect 503
         sleep 3000
         faults

         e1 serves m*20
         wait delivered=20 returned=0",
    );
}

/// Guards against a result that is lost because it cannot be written to the journal at first: after a kill, the message,
/// whose class `once` is not idempotent, was reported as failed although it was delivered.
#[test]
fn a_result_that_could_not_be_journaled_is_journaled_later() {
    run_scenario(
        "with e1=1 faults=on
         start

         u1 send m1 class=once
         u1 expect 202
         e1 expect m1
         faults write ENOSPC
         e1 send m1 200
         wait delivered=1
         faults
         wait journal_writable=true
         kill
         start

         wait restored=0 failed=0",
    );
}

/// Guards against a shutdown that stops accepting connections at the first error of accept: connections still in the
/// listener's backlog were reset, and with them their requests.
#[test]
fn queued_requests_are_answered_after_sigterm_although_accept_fails_at_first() {
    run_scenario(
        "with e1=1 faults=on
         start

         stop
         u1 send m1
         u2 send m2
         u3 send m3
         faults accept ECONNABORTED count=16
         term
         continue

         u1 expect 202
         u2 expect 202
         u3 expect 202
         e1 serves m*3
         exit",
    );
}

/// Guards against a shutdown that is delayed because accept keeps failing, so that the listener's backlog is never empty.
#[test]
fn a_listener_that_always_fails_does_not_delay_shutdown() {
    run_scenario(
        "with e1=1 faults=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         faults accept ENFILE
         u2 connect
         fault-injected accept
         term
         e1 send m1 200

         exit-within 3700",
    );
}

/// Guards against a start that fails because the first calls that read the state folder fail. The process must try again and
/// deliver the admitted messages in the folder.
#[test]
fn a_start_waits_for_a_state_folder_that_cannot_be_read_yet() {
    run_scenario(
        "with e1=1:one:leaving open=64 faults=on
         start

         u1 sends 5 m deadline=20000m
         kill
         faults read EIO count=2; opendir EIO count=1; open EIO count=1
         start
         platform send e1=active

         e1 serves m*5
         wait delivered=5",
    );
}

/// Guards against connections that are closed because a signal interrupted a read or a write on them.
#[test]
fn interrupted_reads_and_writes_are_retried() {
    run_scenario(
        "with e1=1 open=64 faults=on
         start

         faults recv EINTR chance=0.3; send EINTR chance=0.3
         u1 sends 20 m

         e1 serves m*20
         wait delivered=20 reset=0",
    );
}

/// Guards against treating a short read or write as an error, or as if all bytes had been read or written.
#[test]
fn short_reads_and_writes_lose_nothing() {
    run_scenario(
        "with e1=1 open=64 faults=on
         start

         faults recv short chance=0.5; send short chance=0.5; write short chance=0.5
         u1 sends 20 m
         e1 serves m*20
         wait delivered=20
         faults read short chance=0.5
         u1 sends 5 n
         kill
         start

         wait restored=5",
    );
}

/// Guards against a program that ends because it cannot write the file `owner` of the state folder, which contains its admin
/// address and token for a successor. It must serve, and hand over to a successor once the file is written.
#[test]
fn a_full_state_folder_at_the_start_does_not_end_a_process_with_an_admin_listener() {
    run_scenario(
        "with e1=1 operator=on faults=on
         faults write ENOSPC count=2; read EIO count=1
         start

         fault-injected write
         sleep 400
         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         upgrade
         admin health 200
         old term
         old exit",
    );
}

/// Guards against a connection that is closed without a response because its client closed its sending side while its
/// message waited for the decision step that admits messages, here up to 400 ms. The client may still read: it gets a 503,
/// and its message, m2, is not sent. m1, whose client has not closed, is accepted.
#[test]
fn a_client_that_half_closes_while_it_waits_gets_its_response() {
    run_scenario(
        "with e1=1 tick=400
         start

         u1 send m1
         u2 send m2
         sleep 50
         u2 end-sending
         u2 expect 503
         u1 expect 202
         e1 expect m1
         e1 send m1 200",
    );
}

/// Guards against a request that gets no response because the forwarder closes its connection, which was never used, while
/// the request is on its way. The client gets a 503 before the close, both after the timeout for silent clients (u1) and in
/// a shutdown (u2).
#[test]
fn an_unused_connection_gets_503_before_it_is_closed() {
    run_scenario(
        "with e1=1
         start

         u1 connect
         u1 expect 503
         u1 expect end
         u2 connect
         sleep 50
         term

         u2 expect 503
         u2 expect end
         exit",
    );
}

/// Guards against counting a connect that fails because this machine is short of ports or file descriptors as a failure of
/// the endpoint: its circuit breaker would open, and messages would use up their attempts.
#[test]
fn a_local_resource_shortage_is_no_endpoint_failure() {
    run_scenario(
        "with e1=1 faults=on
         start

         faults connect EADDRNOTAVAIL count=3; socket ENFILE count=2
         u1 send m1

         u1 expect 202
         e1 serves m1
         wait delivered=1 connect_failed=0",
    );
}

/// Guards against a message that fails at the first network error: the error fails one attempt, and the message is retried.
#[test]
fn an_unreachable_network_fails_the_attempt_and_not_the_message() {
    run_scenario(
        "with e1=1 faults=on
         start

         faults connect ENETUNREACH count=1
         u1 send m1

         u1 expect 202
         e1 serves m1
         wait delivered=1 connect_failed=1",
    );
}

/// Guards against lost signals. The process once read the numbers of signals, of several bytes each, from a descriptor.
/// After a short read, an interrupted one left a part of a number unread, so that each later read returned parts of two
/// numbers, and SIGTERM was never received.
#[test]
fn signals_are_received_although_reads_are_short_and_interrupted() {
    let reloads = "reload open=9\n sleep 5\n".repeat(12);
    let round = format!(
        "start
         faults recv short chance=0.5; recv EINTR chance=0.5; read short chance=0.5; read EINTR chance=0.5
         {reloads}
         term
         exit-within 3700
         faults\n"
    );
    // A second pair of such faults can restore the alignment, so that one round may pass by chance; six are run.
    run_scenario(&format!("with e1=1 faults=on\n{}", round.repeat(6)));
}

/// Guards against a result that comes more than 0.3 s after the deadline. The deadline of a request counts from when it was
/// sent, also if it lay unread for a while, here because the process was stopped.
#[test]
fn a_request_that_lay_unread_ends_within_the_deadline_of_its_client() {
    run_scenario(
        "with e1=1:one:leaving
         start

         u1 connect
         stop
         start-timer
         u1 send m1 deadline=1000m
         sleep 390
         continue

         u1 expect 202
         platform expect m1 returned
         within 1300",
    );
}

/// Guards against pausing after the first failed accepts: with a pause that grew with each failure, a request with little
/// time left was accepted too late.
#[test]
fn a_request_with_little_time_left_is_accepted_although_accept_fails_at_first() {
    run_scenario(
        "with e1=1 faults=on
         start

         faults accept ECONNABORTED count=15
         u1 send m1 deadline=250m

         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1",
    );
}

/// Guards against pausing after each connect that fails because this machine is short of ports: the connect is that of a
/// delivery report, which came late.
#[test]
fn a_delivery_report_comes_in_time_although_connect_fails_at_first() {
    run_scenario(
        "with e1=1:one:leaving faults=on
         start

         start-timer
         u1 send m1 deadline=600m
         u1 expect 202
         faults connect EADDRNOTAVAIL count=12

         platform expect m1 returned
         within 900",
    );
}

/// Guards against a growing pause between connects of a watch that fail because this machine is short of ports. The platform
/// expects a watch at its new address within four seconds of SIGHUP.
#[test]
fn a_moved_watch_is_opened_in_time_although_connect_fails_at_first() {
    run_scenario(
        "with e1=1 faults=on
         start

         platform expect-watch -
         faults connect EADDRNOTAVAIL count=14
         platform moves
         start-timer
         reload
         platform expect-watch -
         within 4000",
    );
}

/// Guards against a message that is sent again after a kill although its end was reported, because the end was not in the
/// journal yet. An end that cannot be journaled is reported at the deadline of its message: not before, because a restart
/// could send the message again, and not later, because the platform must learn of the end in time.
#[test]
fn an_end_that_cannot_be_journaled_is_not_reported_while_a_restart_could_send_its_message_again() {
    run_scenario(
        "with e1=1 faults=on
         start

         u1 send m1 deadline=2900m
         u1 expect 202
         e1 expect m1
         faults write ENOSPC
         e1 send m1 429 X-RateLimit-Wait-Ms:3000
         wait returned=1
         sleep 300
         platform expect-no-report
         kill
         faults
         start

         e1 expect m1
         e1 send m1 200
         wait delivered=1
         platform expect-no-report",
    );
}

/// Guards against an end that is not reported as long as the journal cannot be written. It must be reported once the
/// message's deadline has passed; a restart does not send a message after its deadline.
#[test]
fn an_end_that_cannot_be_journaled_is_reported_once_the_deadline_of_its_message_has_passed() {
    run_scenario(
        "with e1=1 faults=on
         start

         start-timer
         u1 send m1 deadline=1200m
         u1 expect 202
         e1 expect m1
         faults write ENOSPC
         e1 send m1 429 X-RateLimit-Wait-Ms:3000
         wait returned=1
         sleep 600
         platform expect-no-report

         platform expect m1 returned
         within 1500
         kill
         faults
         start
         wait restored=1 open=0 calls=0",
    );
}

/// Guards against a 503 for a message that is still open in the journal because its rejection could not be written: after a
/// kill, the message was sent. The client must get a 202.
#[test]
fn a_message_whose_rejection_cannot_be_journaled_is_accepted() {
    run_scenario(
        "with e1=1 faults=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 429 X-RateLimit-Wait-Ms:3000
         wait full=1
         faults write ENOSPC nth=2
         u2 send m2 deadline=2500m
         u2 expect 202
         kill
         faults
         start

         e1 serves m1 m2
         wait delivered=2",
    );
}
