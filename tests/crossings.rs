//! What comes between two steps of the program: a list, a signal, a byte or an end that crosses its own. Each crossing is
//! forced by a peer that acts on a cue, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::play;

/// Guards against a repeat where it is not dropped: the class drops repeats by zone, and the first attempt was out as the
/// process was killed.
#[test]
fn after_a_kill_a_message_that_may_have_run_is_repeated_in_its_zone_only() {
    play(
        "with e1=1:one:west e2=1:one:hidden window=2000
         start
         u1 send m1 class=zoned
         u1 expect 202
         e1 expect m1
         platform send e1=leaving e2=active
         kill
         start
         u2 send m2 class=zoned
         u2 expect 202
         e2 expect m2
         e2 send m2 200
         platform send e1=active
         e1 expect m1
         e1 send m1 200
         wait delivered=2 attempts=2",
    );
}

/// Guards against a window that is counted from when the message was handed in: it runs from the first attempt that may have
/// run, which came later here.
#[test]
fn after_a_kill_the_window_for_repeats_counts_from_the_first_attempt() {
    play(
        "with e1=1 window=2000
         start
         u1 send m1 class=brief
         u1 expect 202
         e1 expect m1
         kill
         start
         e1 expect m1
         e1 send m1 200
         wait delivered=1 attempts=1",
    );
}

/// Guards against a repeat whose connection comes up when its window is over: it would run twice. A message that is handed
/// in meanwhile and ends by its own time tells that the window is over.
#[test]
fn a_repeat_that_waits_for_its_connection_is_not_sent_after_its_window() {
    play(
        "with e1=1:one:closed e2=1:one:stalled:hidden e3=9:one:leaving window=2000
         start
         e1 open
         u1 send m1 class=brief
         u1 expect 202
         e1 expect m1
         u1 send m2 dest=9 deadline=2100m
         u1 expect 202
         platform send e1=leaving e2=active
         wait lists>=2
         e1 close m1
         wait reset=1
         platform expect m2 returned
         e2 open
         platform expect m1 failed
         wait attempts=1",
    );
}

/// Guards against a call by the list that was known at the start, to an endpoint of which the platform's agent has told by
/// then that it leaves.
#[test]
fn a_new_process_calls_nobody_before_it_has_been_told_the_list() {
    play(
        "with e1=1:one:leaving e2=1:one:hidden
         start
         u1 send m1
         u1 expect 202
         kill
         platform changes-silently e1=active
         caches-list
         platform changes-silently e1=leaving e2=active
         start
         e2 expect m1
         e2 send m1 200
         wait delivered=1 attempts=1",
    );
}

/// Guards against the whole grace for what left before this process began: it counts as told since long ago.
#[test]
fn what_left_before_the_start_gets_no_call_that_waited_for_its_connection() {
    play(
        "with e1=1:one:stalled e2=1:one:hidden e3=9:one:leaving grace=60000
         caches-list
         platform changes-silently e1=leaving e2=active
         platform delays-list
         start-without-list
         u1 send m1
         u1 expect 202
         wait opened=1
         platform releases-list
         wait lists=1
         e1 open
         e2 expect m1
         e2 send m1 200
         wait delivered=1 attempts=1",
    );
}

/// The agent may be silent: what is known must do then.
#[test]
fn a_new_process_that_is_told_nothing_calls_by_the_list_it_knows() {
    play(
        "with e1=1
         caches-list
         platform delays-list
         start-without-list
         u1 send m1
         u1 expect 202
         log reason: initial-list-timeout
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         platform releases-list",
    );
}

/// Guards against a reset that takes an answer with it: what came behind the last request lies unread as the connection ends.
#[test]
fn what_follows_the_last_answer_is_read_away_and_answered_by_nothing() {
    play(
        "with e1=1
         start
         u1 send-raw POST /api HTTP/1.1\\r\\nX-Request-Id: m1\\r\\nX-Class: free\\r\\nX-Tenant: acme\\r\\n
         u2 send m0
         u2 expect 202
         e1 expect m0
         term
         log ending
         u1 send-raw X-Deadline: 9000m\\r\\nX-Addressing: dest=1\\r\\nContent-Length: 0\\r\\n\\r\\n
         u1 expect 202 Connection: close
         u1 send m2
         u1 expect end
         e1 expect m1
         e1 send m1 200
         e1 send m0 200
         exit
         log \"delivered\":2
         log \"taken\":2",
    );
}

/// Guards against a request that crosses the end of a resting connection: it is neither taken on nor answered by a reset, so
/// that its user agent may send it once more.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_taken_on() {
    play(
        "with e1=1
         start
         u2 send m0
         u2 expect 202
         e1 expect m0
         u1 send-raw GET /_health HTTP/1.1\\r\\n\\r\\n
         u1 expect 200
         term
         log ending
         u1 expect end
         u1 send m1
         u1 expect end
         e1 send m0 200
         exit
         log \"taken\":1",
    );
}

/// Guards against a user agent that was let in just before the signal and whose first request is on its way.
#[test]
fn one_that_came_just_before_the_signal_is_still_answered() {
    play(
        "with e1=1
         start
         u1 connect
         wait user_agents=2
         term
         log ending
         u1 send m1
         u1 expect 202 Connection: close
         u1 expect end
         e1 expect m1
         e1 send m1 200
         exit
         log \"delivered\":1",
    );
}

/// Guards against the whole grace for an endpoint whose leaving a silent watch kept back: it counts as told since the watch
/// was last heard.
#[test]
fn what_a_silent_watch_kept_back_binds_a_call_that_waits_for_its_connection() {
    play(
        "with e1=1:one:stalled e2=1:one:hidden grace=2500
         start
         platform stops-heartbeats
         u1 send m1
         u1 expect 202
         wait opened=1
         platform changes-silently e1=leaving e2=active
         log the watch is silent, opening another
         wait lists=2
         e1 open
         e2 expect m1
         e2 send m1 200
         wait delivered=1 attempts=1",
    );
}

/// Guards against a single byte on a resting connection that is eaten unseen: what follows it would be read as the answer
/// to the next call.
#[test]
fn one_byte_on_a_resting_connection_ends_it() {
    play(
        "with e1=1
         start
         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         e1 send-raw m1 H
         log reason: unasked
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m2 200
         wait delivered=2 opened=2 reused=0",
    );
}

/// Guards against a request that gets no answer at all since its user agent has ended its sending with it, and may yet read.
#[test]
fn one_that_ends_its_sending_with_its_request_is_told_that_it_was_not_taken_on() {
    play(
        "with e1=1
         start
         stop
         u1 send m1
         u1 end-sending
         continue
         u1 expect 503 Retry-After close
         u1 expect end
         log reason: client-gone
         wait taken=0 attempts=0 user_agents=1",
    );
}

/// Guards against a notice that waits behind a connection that has fallen silent until its message is lost: it is told by
/// another one before the next is due, 400 ms later.
#[test]
fn a_notice_whose_connection_falls_silent_is_told_by_another_in_time() {
    play(
        "with e1=1:one:leaving
         start
         platform drops-next-report
         u1 send m1 deadline=500m
         u1 expect 202
         u1 send m2 deadline=900m
         u1 expect 202
         platform expect m1 returned alone
         platform expect m2 returned
         wait notices=2 notices_owed=0",
    );
}

/// Guards against an error, or no answer at all, for a request that is half there as the program stops deciding: it was not
/// taken on. The notice of a message that ends meanwhile is the cue to begin it late, while connections are still taken.
#[test]
fn a_request_that_is_half_there_as_decisions_end_may_come_again() {
    play(
        "with e1=1:one:leaving
         start
         u1 send m1 deadline=450m
         u1 expect 202
         term
         platform expect m1 returned
         u2 send-raw POST /api HTTP/1.1\\r\\n
         u2 expect 503 Retry-After close
         u2 expect end
         exit",
    );
}
