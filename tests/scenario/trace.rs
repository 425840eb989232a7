//! Notes of what a scenario does and what its parties receive, with the time of day as in the forwarder's log. They are shown if
//! the scenario fails.

use std::fmt::Display;
use std::time::{SystemTime, UNIX_EPOCH};

const SECONDS_OF_A_DAY: u64 = 86_400;

/// Writes a note.
pub fn trace(what: impl Display) {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let second = since_epoch.as_secs() % SECONDS_OF_A_DAY;
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    eprintln!("{hour:02}:{minute:02}:{second:02}.{:03} {what}", since_epoch.subsec_millis());
}
