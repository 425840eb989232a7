//! Captured traffic: read from a log, written to a file and read again.

use cedarbridge_rehearsal::captured_traffic::CapturedTraffic;
use cedarbridge_rehearsal::environment::{PlannedMessage, RUN_START};

#[test]
fn traffic_captured_from_a_log_can_be_written_and_read_again() {
    let log = "{\"msg\":\"handed in\",\"wall_ms\":1005.5,\"destination\":7,\"channel\":\"b\"}\nnot json\n\
               {\"msg\":\"serving\"}\n{\"msg\":\"message received\",\"wall_ms\":1000.0,\"destination\":2,\"channel\":\"a\"}\n";
    let (traffic, invalid_lines) = CapturedTraffic::from_log(log.as_bytes()).expect("a log");
    assert_eq!(invalid_lines, 1);
    let path = std::env::temp_dir().join(format!("cedarbridge-capture-{}.zst", std::process::id()));
    traffic.write(&path).expect("written");
    let read = CapturedTraffic::read(&path).expect("read");
    std::fs::remove_file(&path).expect("there");
    assert_eq!(read, traffic);
    let destinations = [("x".to_owned(), 0), ("y".to_owned(), 0), ("z".to_owned(), 0)];
    let messages = read.planned_messages(&destinations, &["b".into(), "a".into()], 5_000_000);
    let planned = |at, destination, tenant| PlannedMessage { at, destination, tenant };
    assert_eq!(messages, [planned(RUN_START, 2, 1), planned(RUN_START + 5500, 1, 0)]);
    assert_eq!(
        read.planned_messages(&destinations, &[], 5_000).len(),
        1,
        "messages after the end are left out"
    );
}
