//! The table of the terminal views.

use cedarbridge_rehearsal::table::{DestinationRow, SortOrder, Table};
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use serde_json::json;

/// Guards against a view that loses a destination, or sorts the failing one out of sight.
#[test]
fn partners_of_all_forwarders_are_drawn_with_the_worst_first() {
    let one = json!({"partners": [{"destination": 0, "breaker": "closed", "held": 1, "out": 2, "answer_ms": 120.0,
        "wait_ms": 0.0, "cold": false}, {"destination": 1, "breaker": "half", "held": 3, "out": 0, "cold": true}],
        "channels": [{"name": "a", "handed_in": 30}, {"name": "b", "handed_in": 10}]});
    let two = json!({"partners": [{"destination": 1, "breaker": "open", "held": 4, "wait_ms": 250.0}],
        "channels": [{"name": "a", "handed_in": 0}]});
    let names = ["elva".to_owned(), "tartu".to_owned()];
    let mut table = Table::new("a rehearsal", "keys");
    table.rows = DestinationRow::of(&[&one, &two], Some(&names));
    table.channels = DestinationRow::channels(&[&one, &two]);
    assert_eq!((table.rows[1].held, table.rows[1].breaker, table.rows[1].slow_start), (7, 2, true));
    assert_eq!(table.channels, [("a".to_owned(), 30, 0.75), ("b".to_owned(), 10, 0.25)]);
    table.sorted = SortOrder::Worst;
    assert_eq!(table.chosen(), Some(1));
    table.down();
    assert_eq!(table.chosen(), Some(0));
    let mut terminal = Terminal::new(TestBackend::new(100, 16)).expect("a terminal");
    terminal.draw(|f| table.draw(f)).expect("drawn");
    let drawn = terminal.backend().to_string();
    let place = |what: &str| drawn.find(what).unwrap_or_else(|| panic!("no {what} in {drawn}"));
    assert!(place("tartu") < place("elva") && place("open, cold") < place("closed"), "{drawn}");
    assert!(drawn.contains("75.0%"), "{drawn}");
}
