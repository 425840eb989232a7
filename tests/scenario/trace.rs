//! A trace of the lines of a scenario and of what its parties receive, on standard error. The test runner shows it if the
//! scenario fails. Each line has the UTC time of day, as in the forwarder's log, so that the two can be compared.

use std::fmt::Display;
use std::time::{SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: u64 = 86_400;

/// Writes a line to the trace.
pub fn trace(message: impl Display) {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let second = since_epoch.as_secs() % SECONDS_PER_DAY;
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    eprintln!("{hour:02}:{minute:02}:{second:02}.{:03} {message}", since_epoch.subsec_millis());
}
