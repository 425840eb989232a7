//! Tests of admin requests: cordons, quiesce, health and bad input. Each runs a scenario over sockets, in the language of
//! `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

#[test]
fn bad_admin_requests_get_an_error_status() {
    run_scenario(
        "with e1=1 operator=on
         start

         admin health 200
         admin raw 404 GET /admin/nothing HTTP/1.1\\r\\n\\r\\n
         admin raw 404 GET /_health HTTP/1.1\\r\\n\\r\\n
         admin raw 405 POST /admin/health HTTP/1.1\\r\\nContent-Length: 0\\r\\n\\r\\n
         admin raw 405 GET /admin/cordon HTTP/1.1\\r\\n\\r\\n
         admin raw 400 what is this\\r\\n\\r\\n
         admin raw 400 POST /admin/cordon HTTP/1.1\\r\\nContent-Length: 3\\r\\n\\r\\ne 1
         admin cordon 400
         admin raw 413 POST /admin/cordon HTTP/1.1\\r\\nContent-Length: 99999\\r\\n\\r\\n
         admin raw 408 GET /admin/hea
         admin cordon e7 404
         admin uncordon e7 404
         admin health 200",
    );
}

#[test]
fn silent_and_incomplete_admin_connections_delay_no_request() {
    run_scenario(
        "with e1=1 operator=on
         start

         admin connect-idle 20
         admin health 200
         admin connect-idle 20 POST /admin/cordon HTTP/1.1\\r\\nContent-Length: 2\\r\\n\\r\\ne
         admin cordon e1 200
         admin connect-idle 20
         admin uncordon e1 200

         wait cordoned=0",
    );
}

/// A cordon has the same effect as a drain: a call in flight finishes, queued messages go to another endpoint, and messages
/// wait if the last endpoint of their destination is cordoned.
#[test]
fn a_cordoned_endpoint_gets_no_new_call_until_it_is_uncordoned_once() {
    run_scenario(
        "with e1=1 e2=1 e3=2 operator=on
         start

         u1 send m1
         u1 expect 202
         u2 send m2
         u2 expect 202
         e1 expect m1
         e2 expect m2
         admin cordon e1 200
         admin cordon e1 200
         u3 send m3
         u3 expect 202
         e1 send m1 200
         wait delivered=1
         e2 send m2 200
         e2 expect m3
         e2 send m3 200
         admin cordon e3 200
         u4 send m4 dest=2
         u4 expect 202
         platform send e3=active
         wait lists=2
         admin uncordon e1 200
         admin uncordon e1 200
         admin uncordon e3 200
         e3 expect m4
         e3 send m4 200

         wait delivered=4",
    );
}

#[test]
fn a_cordon_survives_a_kill_and_applies_to_an_id_that_is_listed_again() {
    run_scenario(
        "with e1=1 operator=on
         start

         admin cordon e1 200
         kill
         start
         u1 send m1
         u1 expect 202
         platform send e1=left
         wait lists=2
         platform send e1=active
         wait lists=3 calls=0 open=1
         kill
         start
         wait restored=1 calls=0
         platform send e1=left
         wait lists=2
         admin uncordon e1 200
         admin uncordon e1 404
         platform send e1=active
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         kill
         start
         u2 send m2

         u2 expect 202
         e1 expect m2",
    );
}

#[test]
fn a_cordon_that_cannot_be_persisted_is_rejected_and_not_applied() {
    run_scenario(
        "with e1=1 operator=on
         start

         state-create-folder cordons.new
         admin cordon e1 507
         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 200

         wait delivered=1",
    );
}

#[test]
fn after_quiesce_clients_are_served_and_disconnected_until_resume() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         u2 connect
         u3 send-raw POST /api HTTP/1.1\\r\\nX-Requ
         wait user_agents>=3
         admin quiesce 200
         admin quiesce 200
         admin health 503
         health 503
         u4 send m4
         u4 expect 202 Connection: close
         u4 expect end
         u1 expect end
         u2 expect 503 close
         u2 expect end
         u3 expect 408
         e1 send m1 200
         e1 expect m4
         e1 send m4 200
         wait delivered=2
         admin resume 200
         admin resume 200
         admin health 200
         health 200
         u5 send m5
         u5 expect 202
         u5 send m6

         u5 expect 202
         e1 expect m5",
    );
}

#[test]
fn sigterm_during_quiesce_shuts_down_gracefully() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         admin quiesce 200
         term
         e1 send m1 200

         exit",
    );
}
