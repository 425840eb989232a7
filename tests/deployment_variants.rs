//! Tests of a deployment that differs from the one in the other tests: endpoints accept few connections, some classes have a
//! short deduplication window and others are idempotent, a call has up to five messages, only some rejections have a
//! retry-after, and no response states the limit of its endpoint. The tests are scenarios over sockets, in the language of
//! `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Guards against treating an endpoint at its connection limit as one at its capacity. The idle connections that used up the
/// limit were not closed then, and a large fleet had three of five calls rejected. An endpoint at its limit accepts a new
/// connection, responds with a 503 and closes it.
#[test]
fn an_endpoint_at_its_connection_limit_gets_idle_connections_back() {
    run_scenario(
        "with e1=1 e2=2
         start

         u1 send m1 dest=2
         u1 expect 202
         e2 expect m1
         e2 send m1 200
         wait delivered=1
         u1 send m2 dest=1
         u1 expect 202
         e1 expect m2
         e1 send m2 503 Connection:close
         log reason: crowded-out
         wait connect_failed=1 full=0
         u1 send m3 dest=2
         u1 expect 202
         e2 expect m3
         e2 send m3 200
         log reason: close-idle
         e1 expect m2
         e1 send m2 200

         wait delivered=3 opened=3 reused=1",
    );
}

/// Guards against closing idle connections because an endpoint is at its capacity. Such an endpoint responds with a 503 and
/// keeps the connection open. If it closes a connection on which it has responded before, this is no sign of its connection
/// limit either.
#[test]
fn an_endpoint_at_capacity_keeps_its_connection() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 503
         e1 expect m1
         e1 send m1 503 Connection:close
         wait full=2 connect_failed=0 opened=1 reused=1
         e1 expect m1
         e1 send m1 200

         wait delivered=1 opened=2",
    );
}

/// Guards against ignoring a retry-after because the endpoint closes the connection: a 503 with a retry-after is a rejection
/// of the message, not a sign of the connection limit.
#[test]
fn a_rejection_with_a_retry_after_is_honored_although_it_closes_the_connection() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 503 Connection:close X-RateLimit-Wait-Ms:300
         wait full=1 connect_failed=0
         e1 expect m1
         e1 send m1 200

         wait delivered=1",
    );
}

/// The responses to both messages are lost. The message whose deduplication window is short fails, and the idempotent one is
/// retried.
#[test]
fn a_short_deduplication_window_fails_one_class_and_not_the_other() {
    run_scenario(
        "with e1=1 e2=2
         config settings/categories/0/memory-span 400
         config settings/specifics/late \"halving\"
         start

         u1 send m1 dest=1 class=notice
         u1 expect 202
         e1 expect m1
         e1 close m1
         u2 send m2 dest=2 class=free
         u2 expect 202
         e2 expect m2
         e2 close m2
         e2 expect m2
         e2 send m2 200
         platform expect m1 failed

         wait delivered=1 failed=1 open=0",
    );
}

/// Five messages that wait for the only call slot are sent as one batch. Each gets its own result, and those that were
/// rejected or failed are retried.
#[test]
fn a_batch_of_five_gives_each_message_its_own_result() {
    run_scenario(
        "with e1=1:many tick=60
         config settings/specifics/per-call [5,5]
         config settings/specifics/call-slots 1
         start

         u0 send m0
         u0 expect 202
         e1 expect m0
         u1 send m1
         u2 send m2
         u3 send m3
         u4 send m4
         u5 send m5
         u1 expect 202
         u2 expect 202
         u3 expect 202
         u4 expect 202
         u5 expect 202
         wait open=6 calls=1
         e1 send m0 200
         e1 expect-unordered m1 m2 m3 m4 m5
         e1 send m1 200 m1=delivered m2=refused m3=delivered m4=failed m5=over
         e1 expect-unordered m2 m4
         e1 send m2 200 m2=delivered m4=delivered

         wait delivered=5 calls=3 attempts=8 open=0",
    );
}

/// Cross-zone calls have a cost, so the endpoint in the same zone is called first, and the other one when the first is busy.
#[test]
fn the_endpoint_in_the_same_zone_is_called_first_and_the_other_when_it_is_busy() {
    run_scenario(
        "with e1=1:one:west e2=1
         config settings/fees {\"cross-zone\":0.013,\"handshake\":0.02}
         start

         u1 send m1
         u1 expect 202
         e2 expect m1
         e2 send m1 200
         wait delivered=1
         u1 send m2
         u1 expect 202
         e2 expect m2
         u2 send m3
         u2 expect 202
         e1 expect m3
         e1 send m3 200
         e2 send m2 200

         wait delivered=3",
    );
}

/// A call that waits for its connection may send its first byte within the drain grace of its endpoint, and not after it.
#[test]
fn the_drain_grace_of_the_settings_applies_to_the_first_byte() {
    run_scenario(
        "with e1=1:one:stalled e2=1:one:hidden
         config settings/rules/drain-grace 500
         start

         u1 send m1
         u1 expect 202
         wait opened=1
         platform send e1=leaving
         wait lists=2
         stop
         sleep 600
         e1 open
         continue
         log not sent, reason: leaving
         platform send e2=active
         e2 expect m1
         e2 send m1 200

         wait delivered=1 calls=1",
    );
}
