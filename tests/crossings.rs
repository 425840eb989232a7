//! Tests of races: an event (a watch event, a signal, a byte or a close) reaches the forwarder while it already acts on
//! another one that the event contradicts. Each script forces the order: a party acts only after an event that the script
//! waits for. The tests are scenarios over sockets, in the language of `scenario/mod.rs`.
//!
//! The forwarder decides in steps: in each decision step the delivery policy receives the events since the previous one and
//! decides which messages are admitted, sent or abandoned.

mod scenario;

use scenario::run_scenario;

/// Guards against a retry in a zone where the message is not deduplicated: its class is deduplicated by zone, and its first
/// attempt, which may have run, was in flight when the process was killed.
#[test]
fn after_a_kill_a_message_that_may_have_run_is_retried_in_its_zone_only() {
    run_scenario(
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

/// Guards against a deduplication window that counts from the receipt of the message instead of its first attempt that may
/// have run. The journal has the time of that attempt and not that of the receipt: the receipt of a restored message that
/// may have run is assumed at its deadline minus the deadline of its class. Here this is 11 s (20 s minus 9 s) before the
/// message was sent, so a window of 2 s would be over, and the message would fail instead of being retried.
#[test]
fn after_a_kill_the_deduplication_window_counts_from_the_first_attempt() {
    run_scenario(
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

/// Guards against a message that runs twice because its retry waits for a connection and is then sent after the
/// deduplication window. The script waits until the window of 2000 ms is over: it is when the other message, m2, is returned
/// at its deadline of 2100 ms.
#[test]
fn a_retry_that_waits_for_its_connection_is_not_sent_after_its_deduplication_window() {
    run_scenario(
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

/// Guards against a call to a draining endpoint that a new process makes because the endpoint is still active in the cached
/// endpoint list.
#[test]
fn a_new_process_makes_no_call_before_it_has_received_the_endpoint_list() {
    run_scenario(
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

/// Guards against starting a new drain grace when the process learns from its first list that an endpoint drains: the drain
/// may be older than the process, so its grace counts as over, and the call that waits for a connection is not sent.
#[test]
fn an_endpoint_that_drained_before_the_start_gets_no_call_that_waited_for_its_connection() {
    run_scenario(
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

/// Guards against a forwarder that sends nothing because the platform sends no list. After a timeout it must use the cached
/// one.
#[test]
fn a_new_process_that_receives_no_endpoint_list_uses_the_cached_one() {
    run_scenario(
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

/// Guards against a response that is lost because the connection is reset. The system resets a connection that is closed
/// while bytes on it are unread, here those of a request after the last one that is answered.
#[test]
fn bytes_behind_the_last_request_are_discarded_without_a_response() {
    run_scenario(
        "with e1=1
         start

         u1 send-raw POST /api HTTP/1.1\\r\\nX-Request-Id: m1\\r\\nX-Class: free\\r\\nX-Tenant: acme\\r\\n
         u2 send m0
         u2 expect 202
         e1 expect m0
         term
         log shutting down
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

/// Guards against admitting a request that arrives on an idle connection while the forwarder closes it, and against
/// resetting that connection. The client sees an orderly end and may send the request again.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_admitted() {
    run_scenario(
        "with e1=1
         start

         u2 send m0
         u2 expect 202
         e1 expect m0
         u1 send-raw GET /_health HTTP/1.1\\r\\n\\r\\n
         u1 expect 200
         term
         log shutting down
         u1 expect end
         u1 send m1
         u1 expect end
         e1 send m0 200

         exit
         log \"taken\":1",
    );
}

/// Guards against closing a connection that was accepted just before SIGTERM and whose first request is in flight.
#[test]
fn a_client_that_connected_just_before_sigterm_still_gets_its_response() {
    run_scenario(
        "with e1=1
         start

         u1 connect
         wait user_agents=2
         term
         log shutting down
         u1 send m1
         u1 expect 202 Connection: close
         u1 expect end
         e1 expect m1
         e1 send m1 200

         exit
         log \"delivered\":1",
    );
}

/// Guards against starting a new drain grace when the process learns late of a drain because its watch was silent. The grace
/// counts from the last event that was received on that watch, as the endpoint may have drained since.
#[test]
fn a_drain_delayed_by_a_silent_watch_applies_to_a_call_that_waits_for_its_connection() {
    run_scenario(
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

/// Guards against reading and dropping a single unsolicited byte on an idle connection while the connection stays in use:
/// the bytes after it would be read as the response to the next call.
#[test]
fn one_byte_on_an_idle_connection_closes_it() {
    run_scenario(
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

/// Guards against a request that gets no response because its client closed its sending side right after it: the client may
/// still read.
#[test]
fn a_client_that_half_closes_with_its_request_gets_503_and_is_not_admitted() {
    run_scenario(
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

/// Guards against a delivery report that waits too long for an answer on a silent connection. It must be sent again on
/// another connection within 400 ms: the script expects m1 to be reported before m2, whose report is due 400 ms after that
/// of m1.
#[test]
fn a_delivery_report_on_a_silent_connection_is_sent_on_another_in_time() {
    run_scenario(
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

/// Guards against an error, or no response at all, for a request that is incomplete when the last decision step is over. It
/// is not admitted, so its client must be told to retry. The script begins the request after the delivery report of another
/// message, which is late in the shutdown, while connections are still accepted.
#[test]
fn a_request_that_is_incomplete_as_decisions_end_gets_503_for_a_retry() {
    run_scenario(
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

/// Guards against a drain that is lost because it lies unread on a watch that is replaced. The platform moves, and the new
/// watch waits for its list. While the process is stopped, the new watch gets a list from before the drain, and the drain is
/// sent only on the old watch. Without the guard, the process would use the new list alone and call the draining endpoint.
#[test]
fn a_drain_that_lies_unread_on_a_replaced_watch_applies_to_calls() {
    // The order in which the two watches are read is random, so the scenario runs three times.
    for _ in 0..3 {
        run_scenario(
            "with e1=1 e2=1:one:hidden
             start
             platform expect-watch -
             u1 connect
             platform delays-list
             platform moves
             reload
             platform expect-watch -

             stop
             platform releases-list
             sleep 50
             platform changes-on-old-watches e1=leaving
             u1 send m1
             sleep 600
             continue
             u1 expect 202
             platform send e2=active

             e2 serves m1
             wait delivered=1 attempts=1
             log replaced: true",
        );
    }
}
