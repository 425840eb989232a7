//! The board that binds first bytes, with a clock but no sockets.

use cedarbridge::net::board::{Board, Known};
use cedarbridge::net::clock::Clock;
use cedarbridge::{DestinationId, EndpointId, Lifecycle, ZoneId};

#[test]
fn what_left_is_known_for_a_while_and_what_stays_always() {
    /// Nothing is under way any more after this.
    const LONG_AGO: u64 = 120_000_000;
    let clock = Clock::start();
    let board = Board::new(clock, 250_000);
    let address = "127.0.0.1:1".parse().expect("an address");
    let known = Known::new(address, DestinationId(1), ZoneId(0), false);
    board.list(EndpointId(1), Lifecycle::Listed, clock.now(), known.clone());
    board.list(EndpointId(2), Lifecycle::Gone, clock.now(), known);
    let still = |now| {
        board.prune(now);
        [1, 2].map(|e| board.get(EndpointId(e)).is_some())
    };
    assert_eq!(still(clock.now()), [true, true]);
    assert_eq!(still(clock.now() + LONG_AGO), [true, false]);
}
