//! Tests of the forwarder's clients: requests, responses, timeouts and disconnects. Each runs a scenario over sockets, in
//! the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

#[test]
fn messages_beyond_the_limit_of_open_messages_get_503() {
    run_scenario(
        "with e1=1 e2=9:one:leaving open=2
         start

         u1 send m1 dest=9
         u1 expect 202
         u1 send m2 dest=9
         u1 expect 202
         u1 send m3

         u1 expect 503 Retry-After
         wait taken=2 unavailable=1 open=2",
    );
}

/// Guards against a message that is delivered twice: a client that disconnects without a response sends it to another
/// forwarder.
#[test]
fn a_client_that_disconnects_before_its_response_withdraws_its_message() {
    run_scenario(
        "with e1=1
         start

         stop
         u1 send m1
         u1 close
         continue
         log client-gone
         wait taken=0 open=0
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 200
         wait attempts=1
         kill
         start

         wait restored=0",
    );
}

/// Guards against a message that is delivered twice, like
/// `a_client_that_disconnects_before_its_response_withdraws_its_message`. Here the client disconnects after its message was
/// submitted and before the delivery policy's next step.
#[test]
fn a_client_that_disconnects_between_two_decision_steps_withdraws_its_message() {
    run_scenario(
        "with e1=1 tick=1500
         start

         u1 send m1
         wait open=1
         u1 close
         wait withdrawn=1 open=0
         log client-gone
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 200

         wait taken=1 attempts=1 delivered=1 open=0",
    );
}

#[test]
fn a_chunked_body_is_forwarded_and_the_connection_closed_on_request() {
    run_scenario(
        "with e1=1
         start

         u1 send-raw POST /api HTTP/1.1\\r\\nX-Request-Id: m1\\r\\nX-Class: free\\r\\nX-Tenant: acme\\r\\n
         u1 send-raw X-Deadline: 9000000u\\r\\nX-Addressing: dest=1\\r\\nConnection: close\\r\\n
         u1 send-raw Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nab\\r\\n1\\r\\nc\\r\\n0\\r\\n\\r\\n
         u1 expect 202 close
         u1 expect end
         e1 expect m1
         e1 send m1 200

         wait delivered=1",
    );
}

#[test]
fn bad_requests_get_an_error_status_and_affect_nothing_else() {
    run_scenario(
        "with e1=1
         start

         u1 send-raw NONSENSE\\r\\n\\r\\n
         u1 expect 400
         u1 expect end
         u2 send-raw POST /api HTTP/1.1\\r\\nContent-Length: 65537\\r\\n\\r\\n
         u2 expect 413
         u2 expect end
         u3 send m1 class=unheard
         u3 expect 400
         u3 send m1 deadline=soon
         u3 expect 400
         u3 send m1 dest=here
         u3 expect 400
         u3 send-raw POST /api HTTP/1.1\\r\\nX-Request-Id: m1\\r\\nX-Class: notice\\r\\nContent-Length: 0\\r\\n\\r\\n
         u3 expect 400
         u3 send-raw GET /api HTTP/1.1\\r\\n\\r\\n
         u3 expect 405
         u3 send-raw GET /elsewhere HTTP/1.1\\r\\n\\r\\n
         u3 expect 404
         wait bad_requests=6
         u3 send m1 size=65536
         u3 expect 202
         e1 expect m1
         e1 send m1 200

         wait delivered=1",
    );
}

/// Guards against silent connections that use up the connection limit and keep other clients out. Also guards against the
/// eviction of a client that sends requests while a silent one could be evicted.
#[test]
fn silent_connections_are_evicted_for_clients_that_send_requests() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         connect-idle 300
         log reason: evicted
         u2 send m2
         u2 expect 202
         u1 send m3

         u1 expect 202
         e1 expect m1
         e1 expect m2
         e1 expect m3
         wait taken=3",
    );
}

/// Guards against connections that stay open for a minute without a request, and against requests that are never complete.
#[test]
fn silent_connections_and_incomplete_requests_time_out() {
    run_scenario(
        "with e1=1
         start

         u1 connect
         u2 send-raw POST /api HTTP/1.1\\r\\nX-Request-Id: m1\\r\\n

         u1 expect 503 close
         u1 expect end
         log reason: silent
         u2 expect 408 close
         u2 expect end
         log reason: slow-request",
    );
}

/// Guards against a client that ends, withdraws or duplicates another client's message by using its request id.
#[test]
fn a_request_id_in_use_is_rejected_and_its_message_proceeds() {
    run_scenario(
        "with e1=9:one:leaving e2=1:one:leaving
         start

         u1 send m1 dest=9
         u1 expect 202
         u2 send m1 dest=9
         u2 expect 409
         stop
         u2 send m1 dest=9
         u2 close
         continue
         log reason: client-gone
         wait open=1 withdrawn=0 taken=1
         platform send e1=active
         e1 expect m1
         e1 send m1 200
         wait delivered=1 attempts=1 open=0
         platform rejects-reports
         u1 send m2 deadline=300m
         u1 expect 202
         wait notices_owed=1
         u2 send m2
         u2 expect 409
         platform accepts-reports
         platform expect m2 returned
         wait notices_owed=0 open=0
         u2 send m2

         u2 expect 202",
    );
}

/// Guards against request smuggling, in which a request with a wrong body length hides a second request.
#[test]
fn a_request_followed_by_more_bytes_before_its_response_is_rejected() {
    run_scenario(
        "with e1=1
         start

         u1 send-raw POST /api HTTP/1.1\\r\\nX-Request-Id: m1\\r\\nX-Class: free\\r\\nX-Tenant: acme\\r\\nX-Deadline: 9000m\\r\\nX-Addressing: dest=1\\r\\nContent-Length: 3\\r\\n\\r\\nabcPOST /api HTTP/1.1\\r\\nX-Request-Id: m2\\r\\nX-Class: free\\r\\nX-Tenant: acme\\r\\nX-Deadline: 9000m\\r\\nX-Addressing: dest=1\\r\\nContent-Length: 0\\r\\n\\r\\n
         u1 expect 400 close
         u1 expect end
         log reason: followed
         u2 send-raw POST /api HTTP/1.1\\r\\nX-Request-Id: m3\\r\\nX-Request-Id: m4\\r\\nX-Class: free\\r\\nX-Tenant: acme\\r\\nX-Deadline: 9000m\\r\\nX-Addressing: dest=1\\r\\nContent-Length: 0\\r\\n\\r\\n
         u2 expect 400
         u3 send m5 size=3000000

         u3 expect 413
         u3 expect end
         wait taken=0 attempts=0",
    );
}

/// Guards against a message that is queued until its deadline although its destination has no endpoint.
#[test]
fn a_destination_that_was_never_listed_gets_503() {
    run_scenario(
        "with e1=1 e2=2:one:hidden
         start

         u1 send m1 dest=2
         u1 expect 503 Retry-After
         wait taken=0 open=0
         platform send e2=active
         wait lists>=2
         u1 send m1 dest=2

         u1 expect 202
         e2 expect m1",
    );
}

/// Guards against a timeout for silent clients that starts when the connection is accepted instead of when it was made. A
/// silent client must get an error or the end of its connection within 3 s of connecting, also if its connection waited to
/// be accepted.
#[test]
fn a_silent_client_whose_connection_was_accepted_late_is_ended_in_time() {
    run_scenario(
        "with e1=1 faults=on
         start

         faults accept ENFILE
         start-timer
         u1 connect
         fault-injected accept
         sleep 1200
         faults

         u1 expect 503
         u1 expect end
         within 3000",
    );
}
