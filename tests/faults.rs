//! System calls that fail as Linux documents them, and a wall clock that is stepped, against the real program: a library of
//! our own is preloaded (`crates/faultshim`), in the language of `scenario/mod.rs`.

mod scenario;

use scenario::play;

/// Guards against records that follow a torn one: recovery stopped there, and what had been taken on since was lost.
#[test]
fn what_is_taken_on_after_a_torn_journal_write_outlasts_a_kill() {
    play(
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

/// Guards against deadlines kept by a clock that is set: nothing of what had been taken on was delivered.
#[test]
fn a_wall_clock_set_forward_before_a_restart_takes_no_time_from_messages() {
    play(
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

/// Guards against the same the other way: messages stayed without an end for an hour.
#[test]
fn a_wall_clock_set_back_before_a_restart_gives_no_time_to_messages() {
    play(
        "with e1=1:one:leaving open=64 faults=on
         start
         u1 sends 20 m deadline=5000m
         kill
         faults wall -3600000000
         start
         platform expect-all m*20 returned",
    );
}

/// Guards against a full folder being taken for failed attempts: all tries were spent in some 60 ms, and messages were returned
/// that had 19 s left and a partner that was well.
#[test]
fn while_the_journal_cannot_be_written_messages_wait_and_come_back_by_themselves() {
    play(
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

/// Guards against an end that is forgotten as it cannot be written: after a kill the message, which must not run twice, was told
/// to have failed.
#[test]
fn an_end_that_could_not_be_written_is_written_later() {
    play(
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

/// Guards against a last look at the listener's queue that ends at the first error: requests that waited there were reset.
#[test]
fn requests_in_the_queue_are_answered_after_a_term_though_accept_fails_now_and_then() {
    play(
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

/// Guards against an end that waits for a listener that never gives anything.
#[test]
fn a_listener_that_fails_all_the_time_does_not_hold_up_the_end() {
    play(
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

/// Guards against a start that ends as the folder cannot be read at that moment: what was taken on is still owed.
#[test]
fn a_start_waits_for_a_folder_that_cannot_be_read_yet() {
    play(
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

/// Guards against connections that are given up as a signal interrupts a read or a write on them.
#[test]
fn interrupted_reads_and_writes_are_made_again() {
    play(
        "with e1=1 open=64 faults=on
         start
         faults recv EINTR chance=0.3; send EINTR chance=0.3
         u1 sends 20 m
         e1 serves m*20
         wait delivered=20 reset=0",
    );
}

/// Short reads and writes are no errors at all.
#[test]
fn short_reads_and_writes_lose_nothing() {
    play(
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

/// Guards against an end of the program as the owner's name cannot be written: it serves, and may be replaced once it can.
#[test]
fn a_full_folder_at_the_start_does_not_end_a_process_that_operators_may_call() {
    play(
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

/// Guards against a connection that is ended with no answer as its client ends its sending while the answer is decided.
#[test]
fn one_that_ends_its_sending_while_it_waits_gets_its_answer() {
    play(
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

/// Guards against a request that crosses the end of a connection that was never used: read, and answered by nothing. Whoever
/// opened it is told before it is closed.
#[test]
fn a_new_connection_is_not_closed_without_a_word() {
    play(
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

/// Guards against breakers that open, and tries that are spent, as this machine is short of ports or descriptors for a moment.
#[test]
fn a_shortage_on_this_machine_is_no_failure_of_an_endpoint() {
    play(
        "with e1=1 faults=on
         start
         faults connect EADDRNOTAVAIL count=3; socket ENFILE count=2
         u1 send m1
         u1 expect 202
         e1 serves m1
         wait delivered=1 connect_failed=0",
    );
}

/// What the network says of one try is a failed try, and the message goes again.
#[test]
fn a_network_that_cannot_be_reached_fails_a_try_and_not_the_message() {
    play(
        "with e1=1 faults=on
         start
         faults connect ENETUNREACH count=1
         u1 send m1
         u1 expect 202
         e1 serves m1
         wait delivered=1 connect_failed=1",
    );
}

/// Guards against signals that are lost: an interrupted read after a short one left half a signal's number behind, every later
/// one was read across two, and SIGTERM was never heard.
#[test]
fn signals_are_heard_though_reads_are_short_and_interrupted() {
    let reloads = "reload open=9\n sleep 5\n".repeat(12);
    let round = format!(
        "start
         faults recv short chance=0.5; recv EINTR chance=0.5; read short chance=0.5; read EINTR chance=0.5
         {reloads}
         term
         exit-within 3700
         faults\n"
    );
    // Two losses cancel each other out: one round alone would tell little.
    play(&format!("with e1=1 faults=on\n{}", round.repeat(6)));
}

/// Guards against an end past a message's time and 0.3 s: a request that lay unread, as its process stood still or accept failed,
/// is old as it is read, and its time counts from when it was sent.
#[test]
fn a_request_that_lay_unread_has_its_end_in_the_time_that_its_client_gave() {
    play(
        "with e1=1:one:leaving
         start
         u1 connect
         stop
         mark
         u1 send m1 deadline=1000m
         sleep 390
         continue
         u1 expect 202
         platform expect m1 returned
         within 1300",
    );
}
