//! Tests of the estimate of a reported rate limit.

use cedarbridge::rates::RateLimitEstimate;
use cedarbridge::LoadReport;

/// The estimated rate after reports of these rates and a response without a report.
fn estimate_after(rates: &[f64]) -> f64 {
    let mut estimate = RateLimitEstimate::default();
    for rate in rates {
        estimate.observe(Some(LoadReport { remaining_share: 0.5, rate: *rate }));
    }
    estimate.observe(None);
    estimate.current.expect("a reading").rate
}

#[test]
fn noise_is_averaged_and_a_change_is_followed_at_once() {
    assert_eq!(estimate_after(&[100.0]), 100.0);
    assert!((estimate_after(&[100.0, 130.0]) - 109.0).abs() < 1e-9);
    assert!((estimate_after(&[100.0, 75.0]) - 92.5).abs() < 1e-9);
    assert_eq!(estimate_after(&[100.0, 50.0]), 50.0);
    assert_eq!(estimate_after(&[50.0, 100.0]), 100.0);
    // A limit that is introduced, and one that is removed.
    assert_eq!((estimate_after(&[0.0, 0.0, 80.0]), estimate_after(&[80.0, 0.0])), (80.0, 0.0));
}

/// Guards against counting the report of a call with ten messages as ten readings.
#[test]
fn a_report_repeated_for_each_message_of_a_call_counts_once() {
    assert_eq!(estimate_after(&[100.0, 130.0, 130.0, 130.0]), estimate_after(&[100.0, 130.0]));
}
