//! System calls that fail as Linux documents them, and a wall clock that is stepped, against the real program: a library of
//! our own is preloaded (`crates/faultshim`), in the language of `scenario/mod.rs`.

mod scenario;

use scenario::play;

/// Guards against records that follow a torn one: recovery stopped there, and what had been taken on since was lost.
#[test]
fn what_is_taken_on_after_a_torn_journal_write_outlasts_a_kill() {
    play(
        "with e1=1:one:leaving open=64 faults=on
         start
         u1 sends 10 a deadline=20000m
         faults write torn=EIO; ftruncate EIO
         u2 send t1
         u2 expect 503
         faults
         wait journal_writable=true
         u1 sends 20 b deadline=20000m
         kill
         start
         p send e1=active
         e1 serves a*10 b*20
         wait delivered=30",
    );
}

/// Guards against deadlines kept by a clock that is set: nothing of what had been taken on was delivered.
#[test]
fn a_wall_clock_set_forward_before_a_restart_takes_no_time_from_messages() {
    play(
        "with e1=1:one:leaving open=64 faults=on
         start
         u1 sends 20 m deadline=20000m
         kill
         faults wall 3600000000
         start
         p send e1=active
         e1 serves m*20
         wait delivered=20",
    );
}

/// Guards against the same the other way: messages stayed without an end for an hour.
#[test]
fn a_wall_clock_set_back_before_a_restart_gives_no_time_to_messages() {
    play(
        "with e1=1:one:leaving open=64 faults=on
         start
         u1 sends 20 m deadline=5000m
         kill
         faults wall -3600000000
         start
         p expect-all m*20 returned",
    );
}
