//! Request ids that come again after their message has ended: a client never uses an id twice, so such a request is no new
//! message. The scenarios are scripts in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Guards against an id that is free again as soon as its message is delivered.
#[test]
fn an_id_that_comes_again_after_its_message_was_delivered_is_rejected() {
    run_scenario(
        "with e1=1
         start

         u1 send m1 class=once
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u2 send m1 class=once
         u2 expect 409
         u1 send m1 class=once
         u1 expect 409
         e1 expect-no-call 300
         wait taken=1",
    );
}

/// Guards against a second run of a message whose client left behind its request.
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    run_scenario(
        "with e1=1
         start

         u1 send m1 class=once
         wait taken=1
         u1 close
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u2 send m1 class=once
         u2 expect 409
         e1 expect-no-call 300",
    );
}

/// Guards against an id that is free again once the report of its message is confirmed.
#[test]
fn an_id_that_comes_again_after_its_message_was_reported_is_rejected() {
    run_scenario(
        "with e1=1
         start

         u1 send m1 class=once
         u1 expect 202
         e1 expect m1
         e1 close m1
         platform expect m1 failed
         wait notices=1
         u2 send m1 class=once
         u2 expect 409
         e1 expect-no-call 300",
    );
}

/// Guards against a successor that does not know which messages its predecessor has delivered.
#[test]
fn an_id_that_comes_again_at_the_other_process_of_a_hand_over_is_rejected() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1 class=once
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         upgrade
         u2 send m1 class=once
         u2 expect 409
         u1 send m1 class=once
         u1 expect 409
         e1 expect-no-call 300",
    );
}

/// Guards against a restart that forgets which messages were delivered.
#[test]
fn an_id_that_comes_again_after_a_kill_is_rejected() {
    run_scenario(
        "with e1=1
         start

         u1 send m1 class=once
         u1 expect 202
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         kill
         start
         u2 send m1 class=once
         u2 expect 409
         e1 expect-no-call 300",
    );
}

/// Guards against a rejected message whose id counts as used: its client may send it again.
#[test]
fn an_id_whose_message_was_rejected_may_come_again() {
    run_scenario(
        "with e1=1:one:leaving open=1
         start

         u1 send m1 deadline=9000m
         u1 expect 202
         u2 send m2
         u2 expect 503
         platform send e1=active
         e1 expect m1
         e1 send m1 200
         wait delivered=1
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 200
         wait delivered=2",
    );
}
