//! Tests of the graceful shutdown on SIGTERM. Each runs a scenario over sockets, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

#[test]
fn after_sigterm_calls_finish_and_the_rest_stays_in_the_journal() {
    run_scenario(
        "with e1=1 e2=9:one:leaving
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         u2 send m2 dest=9
         u2 expect 202
         u4 send-raw POST /api HTTP/1.1\\r\\n
         wait open=2
         term
         log shutting down
         u1 expect end
         u3 send m3
         u3 expect 202 Connection: close
         u3 expect end
         u4 send-raw Content-Length: 0\\r\\n\\r\\n
         u4 expect 400 close
         e1 send m1 200
         e1 expect m3
         e1 send m3 200
         exit
         log left_in_journal: 1
         log \"delivered\":2
         start
         wait restored=1
         platform send e2=active
         e2 expect m2
         e2 send m2 200

         wait delivered=1",
    );
}

/// Guards against a process that never exits: after its last step the delivery actor found the same timer due again and
/// again.
#[test]
fn after_sigterm_the_process_exits_although_a_call_is_in_flight_and_a_deadline_passes() {
    run_scenario(
        "with e1=1 e2=9:one:leaving
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         u2 send m2 dest=9 deadline=2900m
         u2 expect 202
         term

         exit
         log left_in_journal: 2",
    );
}
