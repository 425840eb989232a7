//! Tests of connections to endpoints: reuse, stale connections, malformed responses and unsolicited bytes. Each runs a
//! scenario over sockets, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

#[test]
fn messages_are_admitted_and_delivered_over_a_reused_connection() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200 X-Load:x0=0.4,x1=25
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m2 200

         wait delivered=2 opened=1 reused=1 accepted>=1 open=0",
    );
}

/// Guards against writing a request to a connection that the endpoint has closed: the attempt would end as a reset.
#[test]
fn a_stale_idle_connection_is_not_reused() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         e1 close m1
         log peer-closed
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m2 200

         wait delivered=2 opened=2 reset=0",
    );
}

/// Guards against reusing connections to a former address of an endpoint.
#[test]
fn an_endpoint_that_moves_is_called_at_its_new_address() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         platform send e1=moved
         wait lists>=2
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m2 200

         log reason: moved
         wait delivered=2 opened=2",
    );
}

/// Guards against a stalled response that occupies its slot until the timeout, against trusting a malformed response,
/// and against reusing its connection.
#[test]
fn a_malformed_response_fails_the_attempt_unless_its_status_line_is_a_success() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send-raw m1 HTTP/1.1 200 OK\\r\\nContent-Length: 500\\r\\n\\r\\nabc
         wait delivered=1 open=0
         log reason: stalled
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send-raw m2 HTTP/1.1 200 OK\\r\\nno colon here\\r\\n\\r\\n
         wait delivered=2 opened=2 reset=0
         u1 send m3
         u1 expect 202
         e1 expect m3
         e1 send-raw m3 HTTP/1.1 503 No\\r\\nContent-Length: 9\\r\\n\\r\\n
         wait reset=1 full=0
         e1 expect m3
         e1 send-raw m3 HTTP/1.1 2000 OK\\r\\nno colon here\\r\\n\\r\\n
         wait reset=2
         e1 expect m3
         e1 send-raw m3 HTTP/1.1 103 Early Hints\\r\\nLink: </a>\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok
         wait delivered=3 opened=5 open=0
         u1 send m4
         u1 expect 202
         e1 expect m4
         e1 send-raw m4 HTTP/1.1 200 OK\\r\\nContent-Length: 3000000000\\r\\n\\r\\nabc

         wait delivered=4 opened=5 reused=1",
    );
}

/// Guards against reading unsolicited bytes on a connection as the response to the next call.
#[test]
fn unsolicited_bytes_close_the_connection_and_answer_no_call() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send-raw m1 HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nokHTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         wait opened=2 delivered=1
         e1 send m2 200
         wait delivered=2
         e1 send m2 200
         log reason: unasked
         u1 send m3
         u1 expect 202
         e1 expect m3
         wait opened=3 delivered=2
         e1 send m3 500

         wait error=1",
    );
}

/// Guards against code that depends on how many bytes one read returns: the peer may write in pieces of any size.
#[test]
fn bytes_received_one_by_one_on_every_side_are_read_as_if_received_at_once() {
    run_scenario(
        "with e1=1 e2=2:many e3=3:one:hidden operator=on
         start

         write-byte-by-byte
         u1 send m1 size=40
         u1 expect 202
         e1 expect m1
         e1 send m1 200 X-Load:x0=0.4,x1=25
         wait delivered=1
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m2 429 X-RateLimit-Wait-Ms:100
         e1 expect m2
         e1 send m2 200
         u1 send m3 dest=2
         u1 expect 202
         e2 expect m3
         e2 send m3 200 m3=delivered
         platform send e3=active
         wait lists=2
         u1 send m4 dest=3
         u1 expect 202
         e3 expect m4
         admin cordon e3 200
         e3 send m4 200

         wait delivered=4 reset=0 bad_requests=0",
    );
}
