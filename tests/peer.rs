//! What a broken connection and a report mean, apart from any socket.

use cedarbridge::net::endpoint::{broke, read_load, AT_ONCE};
use cedarbridge::net::http::HttpError;
use cedarbridge::Outcome;

/// Guards against a breaker that opens over connections that were dead already.
#[test]
fn only_a_kept_connection_that_breaks_at_once_was_stale() {
    let outcome = |e, since| broke(&e, since).0;
    assert_eq!(outcome(HttpError::Closed, Some(1000)), Outcome::StaleConnection);
    assert_eq!(outcome(HttpError::Closed, Some(AT_ONCE)), Outcome::Reset);
    assert_eq!(outcome(HttpError::Closed, None), Outcome::Reset);
    assert_eq!(outcome(HttpError::Malformed("noise"), Some(1000)), Outcome::Reset);
}

/// Guards against a spoilt report that sets the pace: a rate of next to nothing would hold its destination's
/// messages up to their end.
#[test]
fn a_report_out_of_range_is_left_out() {
    let rate = |text| read_load(text).map(|r| r.rate);
    assert_eq!(rate("x0=0.4,x1=25"), Some(25.0));
    assert_eq!(rate("x0=0, x1=0, x2=9"), Some(0.0));
    for odd in ["x0=0.4", "x0=0.4,x1=", "x0=1.1,x1=2", "x0=-1,x1=2", "x0=0,x1=-2", "x0=0,x1=1e9", "=,=", "%"]
    {
        assert_eq!(rate(odd), None, "{odd}");
    }
    assert_eq!(rate("x0=nan,x1=5").or(rate("x0=1,x1=inf")), None);
}
