//! The board that binds first bytes, with a clock but no sockets.

use cedarbridge::invariants::{may_send, SendFacts, SendRefusal};
use cedarbridge::net::endpoint::table::{EndpointState, EndpointTable};
use cedarbridge::net::runtime::clock::Clock;
use cedarbridge::{DestinationId, EndpointId, Lifecycle, ZoneId};

#[test]
fn what_left_is_known_for_a_while_and_what_stays_always() {
    /// Nothing is under way any more after this.
    const LONG_AGO: u64 = 120_000_000;
    let clock = Clock::start();
    let board = EndpointTable::new(clock, 250_000);
    let address = "127.0.0.1:1".parse().expect("an address");
    let known = EndpointState::new(address, DestinationId(1), ZoneId(0), false);
    board.list(EndpointId(1), Lifecycle::Listed, clock.now(), known.clone());
    board.list(EndpointId(2), Lifecycle::Removed, clock.now(), known);
    let still = |now| {
        board.prune(now);
        [1, 2].map(|e| board.get(EndpointId(e)).is_some())
    };
    assert_eq!(still(clock.now()), [true, true]);
    assert_eq!(still(clock.now() + LONG_AGO), [true, false]);
}

/// Guards against a first byte past the grace: a process may be held up for 0.15 s between its look at the clock and the write.
#[test]
fn the_grace_of_a_drain_covers_a_process_that_is_held_up_before_it_writes() {
    const HELD_UP: u64 = 150_000;
    let clock = Clock::start();
    let grace = 250_000;
    let board = EndpointTable::new(clock, grace);
    let bars = |endpoint| {
        let open = SendFacts {
            now: clock.now(),
            message_complete: false,
            handed_over: false,
            journal_writable: true,
            abandon_at: u64::MAX,
            send_by: u64::MAX,
            drain_grace: board.grace(),
            endpoint: board.facts(endpoint),
        };
        may_send(&open).err()
    };
    let known =
        EndpointState::new("127.0.0.1:1".parse().expect("an address"), DestinationId(1), ZoneId(0), false);
    board.list(EndpointId(1), Lifecycle::Draining, clock.now() - (grace - HELD_UP), known.clone());
    assert_eq!(bars(EndpointId(1)), Some(SendRefusal::Draining), "a byte held up would come past the grace");
    board.list(EndpointId(2), Lifecycle::Draining, clock.now(), known);
    assert_eq!(bars(EndpointId(2)), None, "what was under way goes through");
}
