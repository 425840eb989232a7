//! Each system call that the forwarder makes fails once, at each of its first places: whatever was accepted is delivered, across a
//! kill too, and the process ends in order. Scenarios over sockets, in the language of `scenario/mod.rs`.
//!
//! `EACH_CALL_PLACES=60 cargo test --test each_call` tries more places.

mod scenario;

use scenario::run_scenario;

/// Places that are tried for each failure, unless the environment says more.
const PLACES: u32 = 4;

fn places() -> u32 {
    std::env::var("EACH_CALL_PLACES").map_or(PLACES, |text| text.parse().expect("a number"))
}

/// Plays a life of the forwarder with a call that fails once in each of its processes, for each place.
fn fails_once(call: &str, failures: &[&str]) {
    for failure in failures {
        for place in 1..=places() {
            run_scenario(&format!(
                "with e1=1 e2=2:one:leaving operator=on open=64 faults=on
                 faults {call} {failure} nth={place} count=1
                 start

                 e1 answers-all
                 e2 answers-all
                 u1 sends-until-accepted 4 a
                 u2 sends-until-accepted 4 b dest=2 deadline=20000m
                 kill
                 start
                 u3 sends-until-accepted 2 c
                 platform send e2=active
                 all-delivered
                 wait open=0 notices_owed=0
                 term
                 exit-within 3700"
            ));
        }
    }
}

/// A test for each call, so that they run side by side.
macro_rules! each_may_fail_once {
    ($($name:ident: $call:literal $failures:expr,)*) => {
        $(
            #[test]
            fn $name() {
                fails_once($call, &$failures);
            }
        )*
    };
}

each_may_fail_once! {
    accept_may_fail_once_at_each_place: "accept" ["ECONNABORTED", "EMFILE", "EINTR"],
    socket_may_fail_once_at_each_place: "socket" ["EMFILE", "ENOBUFS"],
    connect_may_fail_once_at_each_place: "connect" ["ECONNREFUSED", "EADDRNOTAVAIL", "EINTR"],
    recv_may_fail_once_at_each_place: "recv" ["ECONNRESET", "EINTR"],
    send_may_fail_once_at_each_place: "send" ["EPIPE", "EINTR"],
    open_may_fail_once_at_each_place: "open" ["EIO", "EMFILE"],
    opendir_may_fail_once_at_each_place: "opendir" ["EIO"],
    read_may_fail_once_at_each_place: "read" ["EIO", "EINTR", "short"],
    write_may_fail_once_at_each_place: "write" ["EIO", "ENOSPC", "torn=EIO", "EINTR"],
    unlink_may_fail_once_at_each_place: "unlink" ["EIO"],
}

/// The one file that is replaced by a rename keeps cordons: one that is not kept is refused, and may be asked for again.
#[test]
fn rename_may_fail_once_and_the_cordon_is_refused() {
    run_scenario(
        "with e1=1 operator=on faults=on
         start

         faults rename EIO count=1
         admin cordon e1 507
         admin cordon e1 200
         kill
         faults
         start
         u1 send m1
         u1 expect 202
         wait calls=0 open=1
         admin uncordon e1 200
         e1 expect m1",
    );
}
