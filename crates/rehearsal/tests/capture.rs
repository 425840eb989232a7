//! Captured days: read from a log, written and read again.

use cedarbridge_rehearsal::capture::CapturedDay;
use cedarbridge_rehearsal::world::{PlannedMessage, START};

#[test]
fn a_log_becomes_a_day_that_can_be_kept_and_read_again() {
    let log = "{\"msg\":\"handed in\",\"wall_ms\":1005.5,\"destination\":7,\"channel\":\"b\"}\nnot json\n\
               {\"msg\":\"serving\"}\n{\"msg\":\"message received\",\"wall_ms\":1000.0,\"destination\":2,\"channel\":\"a\"}\n";
    let (day, odd) = CapturedDay::from_log(log.as_bytes()).expect("a log");
    assert_eq!(odd, 1);
    let path = std::env::temp_dir().join(format!("cedarbridge-capture-{}.zst", std::process::id()));
    day.write(&path).expect("written");
    let read = CapturedDay::read(&path).expect("read");
    std::fs::remove_file(&path).expect("there");
    assert_eq!(read, day);
    let destinations = [("x".to_owned(), 0), ("y".to_owned(), 0), ("z".to_owned(), 0)];
    let messages = read.messages(&destinations, &["b".into(), "a".into()], 5_000_000);
    let planned = |at, destination, tenant| PlannedMessage { at, destination, tenant };
    assert_eq!(messages, [planned(START, 2, 1), planned(START + 5500, 1, 0)]);
    assert_eq!(read.messages(&destinations, &[], 5_000).len(), 1, "what comes after the end is left out");
}
