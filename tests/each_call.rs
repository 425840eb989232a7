//! Each system call that the forwarder makes fails once, at each of its first places: whatever was accepted is delivered, across a
//! kill too, and the process ends in order. Scenarios over sockets, in the language of `scenario/mod.rs`.
//!
//! `EACH_CALL_PLACES=60 cargo test --test each_call` tries more places.

mod scenario;

use scenario::play;

/// Places that are tried for each failure, unless the environment says more.
const PLACES: u32 = 4;

fn places() -> u32 {
    std::env::var("EACH_CALL_PLACES").map_or(PLACES, |text| text.parse().expect("a number"))
}

/// Plays a life of the forwarder with a call that fails once in each of its processes, for each place.
fn fails_once(call: &str, failures: &[&str]) {
    for failure in failures {
        for place in 1..=places() {
            play(&format!(
                "with e1=1 e2=2:one:leaving operator=on open=64 faults=on
                 faults {call} {failure} nth={place} count=1
                 start

                 e1 answers-all
                 e2 answers-all
                 u1 submits 4 a
                 u2 submits 4 b dest=2 deadline=20000m
                 kill
                 start
                 u3 submits 2 c
                 platform send e2=active
                 all-delivered
                 wait open=0 notices_owed=0
                 term
                 exit-within 3700"
            ));
        }
    }
}

#[test]
fn accept_may_fail_once_at_each_place() {
    fails_once("accept", &["ECONNABORTED", "EMFILE", "EINTR"]);
}

#[test]
fn socket_may_fail_once_at_each_place() {
    fails_once("socket", &["EMFILE", "ENOBUFS"]);
}

#[test]
fn connect_may_fail_once_at_each_place() {
    fails_once("connect", &["ECONNREFUSED", "EADDRNOTAVAIL", "EINTR"]);
}

#[test]
fn recv_may_fail_once_at_each_place() {
    fails_once("recv", &["ECONNRESET", "EINTR"]);
}

#[test]
fn send_may_fail_once_at_each_place() {
    fails_once("send", &["EPIPE", "EINTR"]);
}

#[test]
fn open_may_fail_once_at_each_place() {
    fails_once("open", &["EIO", "EMFILE"]);
}

#[test]
fn opendir_may_fail_once_at_each_place() {
    fails_once("opendir", &["EIO"]);
}

#[test]
fn read_may_fail_once_at_each_place() {
    fails_once("read", &["EIO", "EINTR", "short"]);
}

#[test]
fn write_may_fail_once_at_each_place() {
    fails_once("write", &["EIO", "ENOSPC", "torn=EIO", "EINTR"]);
}

#[test]
fn unlink_may_fail_once_at_each_place() {
    fails_once("unlink", &["EIO"]);
}

/// The one file that is replaced by a rename keeps cordons: one that is not kept is refused, and may be asked for again.
#[test]
fn rename_may_fail_once_and_the_cordon_is_refused() {
    play(
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
