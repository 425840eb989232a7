//! Restarts after a kill: what the forwarder restores from its journal, and how it handles a damaged or a full one. The
//! tests are scenarios over sockets, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

#[test]
fn after_a_kill_every_admitted_message_is_restored() {
    run_scenario(
        "with e1=1 e2=9:one:leaving e3=8:one:leaving
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         u2 send m2 dest=9
         u2 expect 202
         u3 send m3 class=once
         u3 expect 202
         e1 expect m3
         u4 send m4 dest=8 deadline=1000m
         u4 expect 202
         kill
         start
         wait restored=4
         e1 expect m1
         e1 send m1 200
         platform send e2=active
         e2 expect m2
         e2 send m2 200
         wait delivered=2 failed=1 returned=1 open=0 notices=2
         kill
         start

         wait restored=0",
    );
}

/// Guards against unlimited attempts of a message if the process is killed again and again.
#[test]
fn attempts_made_before_a_kill_count_toward_the_attempt_limit() {
    run_scenario(
        "with e1=1
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         kill
         start
         e1 expect m1
         kill
         start
         e1 expect m1
         kill
         start

         platform expect m1 failed
         wait attempts=0 open=0",
    );
}

#[test]
fn a_damaged_journal_loses_its_tail_and_nothing_else() {
    run_scenario(
        "with e1=9:one:leaving
         start

         u1 send m1 dest=9
         u1 expect 202
         u1 send m2 dest=9
         u1 expect 202
         kill
         damage cut 3
         start
         wait restored=1
         log damaged
         u2 send m3 dest=9
         u2 expect 202
         kill
         damage flip 9
         start
         wait restored=1
         kill
         start
         wait restored=1
         platform send e1=active

         e1 expect m1",
    );
}

#[test]
fn a_full_journal_gives_503_until_space_is_reclaimed() {
    run_scenario(
        "with b1=9:many:leaving disk=0.05
         start

         u1 send m1 dest=9 size=10000
         u1 expect 202
         u1 send m2 dest=9 size=10000
         u1 expect 202
         u1 send m3 dest=9 size=10000
         u1 expect 202
         u1 send m4 dest=9 size=10000
         u1 expect 503 Retry-After
         state-at-most 50000
         platform send b1=active
         b1 expect m1 m2 m3
         b1 send m1 200 m1=delivered m2=failed m3=failed
         wait delivered=1
         u1 send m5 dest=9 size=10000
         u1 expect 202
         state-at-most 50000
         kill
         start

         wait restored=3
         state-at-most 50000",
    );
}

/// Guards against a 503 that is sent before the withdrawal is in the journal: after a kill the message would be
/// restored and delivered.
#[test]
fn a_message_whose_client_half_closed_and_got_503_is_not_restored_after_a_kill() {
    run_scenario(
        "with e1=1:one:leaving tick=400
         start

         u1 send m1
         u1 expect 202
         u2 send m2
         sleep 50
         u2 end-sending
         u2 expect 503
         kill
         start

         wait restored=1",
    );
}
