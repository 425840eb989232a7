//! The watch of the platform's endpoint list when it falls silent and when a reload moves it. The scenarios are scripts in
//! the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

#[test]
fn a_silent_watch_is_reopened_from_its_last_generation() {
    run_scenario(
        "with e1=1 e2=2:one:hidden
         start

         platform expect-watch -
         platform send e2=active
         wait lists>=2
         platform stops-heartbeats

         platform expect-watch 2
         log the watch is silent, opening another
         log reason: moved",
    );
}

/// Guards against four faults of a reload: the default action of the signal ends the program, an environment variable of the
/// start overrides the new address, there is a gap between the two watches, or the new platform is asked for the changes
/// since a version that the old one numbered.
#[test]
fn a_reload_moves_the_watch_without_a_gap() {
    run_scenario(
        "with e1=1 e2=2:one:hidden e3=3:one:hidden
         start

         platform expect-watch -
         platform delays-list
         platform moves
         reload
         log configuration reloaded
         platform expect-watch -
         platform send e2=active
         wait lists=2
         platform releases-list
         log reason: moved, side: endpoint-list
         platform closes-old-watches
         platform send e3=active
         wait lists>=4
         u1 send m2 dest=2
         u1 expect 202
         e2 expect m2
         e2 send m2 200
         u1 send m3 dest=3
         u1 expect 202
         e3 expect m3
         e3 send m3 200
         wait delivered=2
         term

         exit",
    );
}
