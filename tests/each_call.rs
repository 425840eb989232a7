//! Tests in which one system call of the forwarder fails: in one run the first call of a name, in the next run the second,
//! and so on. All accepted messages must be delivered, also after a kill, and the process must shut down in time. The tests
//! are scenarios over sockets, in the language of `scenario/mod.rs`.
//!
//! By default only the first few calls of each name fail. With `EACH_CALL_PLACES=60 cargo test --test each_call`, each of
//! the first 60 does.

mod scenario;

use scenario::run_scenario;

/// How many of the first calls of a name fail, each in a run of its own, unless `EACH_CALL_PLACES` is set.
const DEFAULT_FAILING_CALLS: u32 = 4;

fn failing_calls() -> u32 {
    std::env::var("EACH_CALL_PLACES").map_or(DEFAULT_FAILING_CALLS, |text| text.parse().expect("a number"))
}

/// Runs the forwarder from its start to its shutdown, with a kill between, for each failure and each number of the failing
/// call. The failure is injected once in each of the two processes.
fn fail_each_call_once(system_call: &str, failures: &[&str]) {
    for failure in failures {
        for call_number in 1..=failing_calls() {
            run_scenario(&format!(
                "with e1=1 e2=2:one:leaving operator=on open=64 faults=on
                 faults {system_call} {failure} nth={call_number} count=1
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

/// Defines a test for each system call with the failures to inject, so that the tests run in parallel.
macro_rules! each_may_fail_once {
    ($($name:ident: $system_call:literal $failures:expr,)*) => {
        $(
            #[test]
            fn $name() {
                fail_each_call_once($system_call, &$failures);
            }
        )*
    };
}

each_may_fail_once! {
    accept_may_fail_once_at_any_call: "accept" ["ECONNABORTED", "EMFILE", "EINTR"],
    socket_may_fail_once_at_any_call: "socket" ["EMFILE", "ENOBUFS"],
    connect_may_fail_once_at_any_call: "connect" ["ECONNREFUSED", "EADDRNOTAVAIL", "EINTR"],
    recv_may_fail_once_at_any_call: "recv" ["ECONNRESET", "EINTR"],
    send_may_fail_once_at_any_call: "send" ["EPIPE", "EINTR"],
    open_may_fail_once_at_any_call: "open" ["EIO", "EMFILE"],
    opendir_may_fail_once_at_any_call: "opendir" ["EIO"],
    read_may_fail_once_at_any_call: "read" ["EIO", "EINTR", "short"],
    write_may_fail_once_at_any_call: "write" ["EIO", "ENOSPC", "torn=EIO", "EINTR"],
    unlink_may_fail_once_at_any_call: "unlink" ["EIO"],
}

/// Without a registry, the file of the cordons is the only one that is replaced by a rename. A cordon that cannot be
/// persisted is rejected, and the request may be repeated.
#[test]
fn rename_may_fail_once_and_the_cordon_is_rejected() {
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
