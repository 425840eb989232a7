//! The table in the terminal views.

use cedarbridge_rehearsal::table::{DestinationRow, SortOrder, Table};
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use serde_json::json;

/// Guards against a view that omits a destination, or does not sort a failing one to the top.
#[test]
fn destinations_of_all_forwarders_are_drawn_with_the_worst_first() {
    let one = json!({"partners": [{"destination": 0, "breaker": "closed", "held": 1, "out": 2, "answer_ms": 120.0,
        "wait_ms": 0.0, "cold": false}, {"destination": 1, "breaker": "half", "held": 3, "out": 0, "cold": true}],
        "channels": [{"name": "a", "handed_in": 30}, {"name": "b", "handed_in": 10}]});
    let two = json!({"partners": [{"destination": 1, "breaker": "open", "held": 4, "wait_ms": 250.0}],
        "channels": [{"name": "a", "handed_in": 0}]});
    let names = ["elva".to_owned(), "tartu".to_owned()];
    let mut table = Table::new("a rehearsal", "keys");
    table.rows = DestinationRow::from_reports(&[&one, &two], Some(&names));
    table.tenants = DestinationRow::tenants(&[&one, &two]);
    assert_eq!(
        (table.rows[1].open_messages, table.rows[1].breaker, table.rows[1].in_slow_start),
        (7, 2, true)
    );
    assert_eq!(table.tenants, [("a".to_owned(), 30, 0.75), ("b".to_owned(), 10, 0.25)]);
    table.sort_order = SortOrder::Worst;
    assert_eq!(table.selected(), Some(1));
    table.select_next();
    assert_eq!(table.selected(), Some(0));
    let mut terminal = Terminal::new(TestBackend::new(100, 16)).expect("a terminal");
    terminal.draw(|f| table.draw(f)).expect("drawn");
    let drawn = terminal.backend().to_string();
    let position = |text: &str| drawn.find(text).unwrap_or_else(|| panic!("no {text} in {drawn}"));
    assert!(position("tartu") < position("elva") && position("open, cold") < position("closed"), "{drawn}");
    assert!(drawn.contains("75.0%"), "{drawn}");
}
