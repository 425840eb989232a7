//! How failures of endpoint connections are classified and how load reports are parsed. Needs no sockets.

use cedarbridge::net::endpoint::connection_end::{CallFailure, STALE_CONNECTION_WINDOW};
use cedarbridge::net::endpoint::response::parse_load_report;
use cedarbridge::net::http::HttpError;
use cedarbridge::Outcome;

/// Guards against ejecting an endpoint for connections that were already dead before the call.
#[test]
fn only_a_reused_connection_that_fails_at_once_was_stale() {
    let outcome = |error, since_written| CallFailure::from_connection_error(&error, since_written).outcome();
    assert_eq!(outcome(HttpError::Closed, Some(1000)), Outcome::StaleConnection);
    assert_eq!(outcome(HttpError::Closed, Some(STALE_CONNECTION_WINDOW)), Outcome::Reset);
    assert_eq!(outcome(HttpError::Closed, None), Outcome::Reset);
    assert_eq!(outcome(HttpError::Malformed("noise"), Some(1000)), Outcome::Reset);
}

/// Guards against a malformed load report that sets the rate limit: a rate close to zero would delay the messages of
/// the destination until their deadlines.
#[test]
fn a_load_report_out_of_range_is_ignored() {
    let rate = |text| parse_load_report(text).map(|report| report.rate);
    assert_eq!(rate("x0=0.4,x1=25"), Some(25.0));
    assert_eq!(rate("x0=0, x1=0, x2=9"), Some(0.0));
    for malformed in
        ["x0=0.4", "x0=0.4,x1=", "x0=1.1,x1=2", "x0=-1,x1=2", "x0=0,x1=-2", "x0=0,x1=1e9", "=,=", "%"]
    {
        assert_eq!(rate(malformed), None, "{malformed}");
    }
    assert_eq!(rate("x0=nan,x1=5").or(rate("x0=1,x1=inf")), None);
}
