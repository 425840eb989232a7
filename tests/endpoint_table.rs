//! The endpoint table, by which each call is checked before its first byte. Uses the real clock, but no sockets.

use cedarbridge::invariants::{may_send, SendFacts, SendRefusal};
use cedarbridge::net::endpoint::table::{EndpointState, EndpointTable};
use cedarbridge::net::runtime::clock::Clock;
use cedarbridge::{DestinationId, EndpointId, Lifecycle, ZoneId};

#[test]
fn a_removed_endpoint_is_kept_for_a_while_and_a_listed_one_for_good() {
    /// The retention of removed endpoints, in microseconds: no call to one is in flight any more by then.
    const RETENTION_AFTER_DRAIN: u64 = 120_000_000;
    let clock = Clock::start();
    let table = EndpointTable::new(clock, 250_000);
    let address = "127.0.0.1:1".parse().expect("an address");
    let state = EndpointState::new(address, DestinationId(1), ZoneId(0), false);
    table.update(EndpointId(1), Lifecycle::Listed, clock.now(), state.clone());
    table.update(EndpointId(2), Lifecycle::Removed, clock.now(), state);
    let is_kept = |now| {
        table.prune(now);
        [1, 2].map(|endpoint| table.get(EndpointId(endpoint)).is_some())
    };
    assert_eq!(is_kept(clock.now()), [true, true]);
    assert_eq!(is_kept(clock.now() + RETENTION_AFTER_DRAIN), [true, false]);
}

/// Guards against a first byte after the drain grace: a process may be stalled for 0.15 s between reading the clock
/// and writing.
#[test]
fn the_grace_of_a_drain_covers_a_process_that_is_held_up_before_it_writes() {
    const STALL: u64 = 150_000;
    let clock = Clock::start();
    let grace = 250_000;
    let table = EndpointTable::new(clock, grace);
    let refusal = |endpoint| {
        let facts = SendFacts {
            now: clock.now(),
            message_complete: false,
            handed_over: false,
            journal_writable: true,
            times_out_at: u64::MAX,
            send_by: u64::MAX,
            drain_grace: table.drain_grace(),
            endpoint: table.endpoint_facts(endpoint),
        };
        may_send(&facts).err()
    };
    let state =
        EndpointState::new("127.0.0.1:1".parse().expect("an address"), DestinationId(1), ZoneId(0), false);
    table.update(EndpointId(1), Lifecycle::Draining, clock.now() - (grace - STALL), state.clone());
    assert_eq!(
        refusal(EndpointId(1)),
        Some(SendRefusal::Draining),
        "a byte delayed by a stall would be written past the grace"
    );
    table.update(EndpointId(2), Lifecycle::Draining, clock.now(), state);
    assert_eq!(refusal(EndpointId(2)), None, "a call that was decided on before the drain may still be sent");
}
