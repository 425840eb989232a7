//! Tests of attempts and batches: results, retries, retry-afters, and drains while a connection is being opened. Each runs a
//! scenario over sockets, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Guards against a call to an endpoint that started draining while the connection to it was being opened.
#[test]
fn an_endpoint_that_starts_draining_while_a_connection_is_made_gets_no_call() {
    run_scenario(
        "with e1=1:one:stalled e2=1:one:hidden grace=0
         start

         u1 send m1
         u1 expect 202
         wait opened=1
         platform send e1=leaving
         wait lists>=2
         e1 open
         wait moot=1 attempts=0
         platform send e2=active
         e2 expect m1
         e2 send m1 200

         wait delivered=1 attempts=1",
    );
}

/// Guards against a call during a retry-after that another endpoint of the destination sent while the connection was
/// being opened.
#[test]
fn a_retry_after_received_while_a_connection_is_made_applies_to_that_call() {
    run_scenario(
        "with e1=1:one:stalled e2=1
         start

         u1 send m1
         u1 expect 202
         wait opened=1
         u1 send m2
         u1 expect 202
         e2 expect m2
         e2 send m2 429 X-RateLimit-Wait-Ms:6000
         wait full=1
         e1 open

         wait moot=1 attempts=1",
    );
}

/// Guards against a call during a retry-after that arrives just after its call timed out. The message of that call
/// has ended, but the next message to the same destination must wait nevertheless.
#[test]
fn a_retry_after_received_by_a_call_that_just_timed_out_is_honored() {
    run_scenario(
        "with e1=1
         start

         u1 send m1 deadline=400m
         u1 expect 202
         e1 expect m1
         platform expect m1 failed
         e1 send m1 429 X-RateLimit-Wait-Ms:3000
         log late retry_after received
         u1 send m2 deadline=1000m
         u1 expect 503 Retry-After
         u1 send m3
         u1 expect 202
         e1 expect m3
         e1 send m3 200

         wait delivered=1 attempts=2 moot=0",
    );
}

/// Guards against ignoring a retry-after because the body of its response was truncated.
#[test]
fn a_retry_after_in_a_truncated_response_is_honored() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send-raw m1 HTTP/1.1 429 Busy\\r\\nX-RateLimit-Wait-Ms: 2500\\r\\nContent-Length: 9\\r\\n\\r\\nno
         e1 close m1
         wait reset=1
         u1 send m2 deadline=1000m
         u1 expect 503 Retry-After
         e1 expect m1
         e1 send m1 200

         wait delivered=1 attempts=2 moot=0",
    );
}

#[test]
fn each_message_of_a_batch_gets_its_own_result() {
    run_scenario(
        "with b1=2:many:leaving
         start

         u1 send m1 dest=2
         u1 expect 202
         u1 send m2 dest=2
         u1 expect 202
         u1 send m3 dest=2
         u1 expect 202
         platform send b1=active
         b1 expect m1 m2 m3
         b1 send m1 200 m1=delivered m2=refused m3=failed
         b1 expect m2 m3
         b1 send m2 200 m2=over m3=delivered

         wait delivered=2 open=0 calls=2 attempts=5 ok=2 full=1 error=1 moot=1",
    );
}

/// Guards against parts of a batch that are written in a wrong order or twice where its bodies are large.
#[test]
fn a_batch_carries_large_and_small_bodies_whole() {
    run_scenario(
        "with b1=2:many:leaving
         start

         u1 send m1 dest=2 size=60000
         u1 expect 202
         u1 send m2 dest=2 size=3
         u1 expect 202
         u1 send m3 dest=2 size=4097
         u1 expect 202
         platform send b1=active
         b1 expect-unordered m1 m2 m3
         b1 send m1 200 m1=delivered m2=delivered m3=delivered

         wait delivered=3 open=0 calls=1 attempts=3",
    );
}

/// Guards against cancelling a batch because one of its messages reached its deadline: the others would be sent again
/// and again, each time together with the next message close to its deadline. The message with the most time left
/// comes first.
#[test]
fn a_message_at_its_deadline_does_not_cancel_its_batch() {
    run_scenario(
        "with b1=2:many:leaving
         start

         u1 send m1 dest=2 deadline=1500m
         u1 expect 202
         u1 send m2 dest=2 deadline=19000m
         u1 expect 202
         platform send b1=active
         b1 expect m2 m1
         platform expect m1 failed
         b1 send m2 200 m1=delivered m2=delivered

         wait delivered=1 failed=1 open=0 calls=1 attempts=2 timed_out=1 ok=1",
    );
}

/// Guards against ignoring a retry-after because the response rejects no message.
#[test]
fn a_retry_after_in_a_response_that_rejects_nothing_is_honored() {
    run_scenario(
        "with b1=2:many:leaving
         start

         u1 send m1 dest=2
         u1 expect 202
         u1 send m2 dest=2
         u1 expect 202
         platform send b1=active
         b1 expect m1 m2
         b1 send m1 200 X-RateLimit-Wait-Ms:3000 m1=delivered m2=delivered
         wait delivered=2
         u1 send m3 dest=2 deadline=300m
         u1 expect 503 Retry-After
         u1 send m4 dest=2
         u1 expect 202
         b1 expect m4
         b1 send m4 200

         wait moot=0 attempts=3",
    );
}

#[test]
fn reset_rejected_and_failed_attempts_are_counted_separately() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 close m1
         wait reset=1
         e1 expect m1
         e1 send m1 503 X-Over-Slots:1
         wait moot=1
         e1 expect m1
         e1 send m1 410
         wait moot=2 open=0
         u1 send m2
         u1 expect 202
         e1 expect m2
         e1 send m2 500

         wait error=1",
    );
}

/// Guards against failing a non-idempotent message after a restart although no attempt of it ran at an endpoint.
#[test]
fn an_attempt_that_never_ran_does_not_count_as_one_that_may_have_run() {
    run_scenario(
        "with e1=1:one:closed e2=2
         start

         u1 send m1 class=once
         u1 expect 202
         u2 send m2 class=once dest=2
         u2 expect 202
         e2 expect m2
         e2 send m2 503
         wait full=1 connect_failed>=1
         kill
         e1 open
         start
         wait restored=2 failed=0
         e1 expect m1
         e1 send m1 200
         e2 expect m2
         e2 send m2 200

         wait delivered=2 reset=0 open=0",
    );
}
