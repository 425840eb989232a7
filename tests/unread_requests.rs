//! Tests of requests that wait unread in a socket buffer or in the backlog: the deadline of a message counts from when its
//! client sent the request. Each runs a scenario over sockets, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Guards against a call for a message whose deadline had passed before its request was read.
#[test]
fn a_request_whose_deadline_passed_before_it_was_read_is_rejected_without_a_call() {
    run_scenario(
        "with e1=1
         start

         u1 connect
         stop
         u1 send m1 deadline=300m
         sleep 380
         continue

         u1 expect 503
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 200
         wait calls=1 taken=1 given_up/time-up=1",
    );
}

/// Guards against a call to a hanging endpoint that lasts beyond the deadline of its message, because the time for which the
/// request waited unread was not subtracted from the time left.
#[test]
fn a_call_for_a_request_that_waited_unread_ends_by_the_deadline_of_its_client() {
    run_scenario(
        "with e1=1
         start

         u1 connect
         stop
         start-timer
         u1 send m1 deadline=1000m
         sleep 370
         continue
         u1 expect 202
         e1 expect m1

         platform expect m1 failed
         within 1300",
    );
}

/// Guards against a deadline that counts from the accept. While accepting fails, a connection waits in the listener's
/// backlog, with its request already sent.
#[test]
fn a_request_that_waited_for_its_connection_to_be_accepted_ends_by_the_deadline_of_its_client() {
    run_scenario(
        "with e1=1:one:leaving faults=on
         start

         faults accept ENFILE
         start-timer
         u1 send m1 deadline=1000m
         u2 send m2 deadline=300m
         fault-injected accept
         sleep 370
         faults

         u1 expect 202
         u2 expect 503
         platform expect m1 returned
         within 1300",
    );
}

/// Guards against a deadline that counts anew from the restart: the journal must hold the client's deadline.
#[test]
fn a_request_that_waited_unread_ends_by_the_deadline_of_its_client_after_a_restart() {
    run_scenario(
        "with e1=1:one:leaving
         start

         u1 connect
         stop
         start-timer
         u1 send m1 deadline=2000m
         sleep 370
         continue
         u1 expect 202
         kill
         start

         platform expect m1 returned
         within 2300",
    );
}

/// Guards against a deadline that counts anew when a predecessor forwards a request, whichever of the two processes was
/// stalled.
#[test]
fn a_request_that_waited_unread_at_a_predecessor_ends_by_the_deadline_of_its_client() {
    for (stop, resume) in [("old stop", "old continue"), ("stop", "continue")] {
        run_scenario(&format!(
            "with e1=1:one:leaving operator=on
             start

             u1 connect
             u2 connect
             wait user_agents=3
             upgrade
             {stop}
             start-timer
             u1 send m1 deadline=1000m
             u2 send m2 deadline=300m
             sleep 370
             {resume}

             u1 expect 202
             u2 expect 503
             platform expect m1 returned
             within 1300",
        ));
    }
}

/// The deadline of a client that sends the last bytes of its request late counts from those bytes.
#[test]
fn the_deadline_of_a_request_counts_from_its_last_byte() {
    run_scenario(
        "with e1=1:one:leaving
         start

         u1 send-raw POST /api HTTP/1.1\\r\\nX-Request-Id: m1\\r\\nX-Class: notice\\r\\nX-Tenant: acme\\r\\n
         sleep 600
         u1 send-raw X-Deadline: 900m\\r\\nIdempotency-Key: k1\\r\\nX-Addressing: dest=1\\r\\nContent-Length: 1\\r\\n\\r\\nx
         u1 expect 202
         sleep 500
         platform send e1=active

         e1 serves m1
         wait delivered=1",
    );
}
