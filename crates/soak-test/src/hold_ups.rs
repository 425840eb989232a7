//! The hold-ups of writes that the fault library has injected into a forwarder, as the library records them.

use rustix::time::{clock_gettime, ClockId};
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The hold-ups of one forwarder, read from the library's record as it grows.
pub struct HoldUps {
    record: PathBuf,
    /// How much of the record was read, in bytes; it ends with a complete line.
    read_bytes: u64,
    last_end: Option<Instant>,
}

impl HoldUps {
    /// The hold-ups in the record that belongs to a fault plan.
    pub fn new(fault_plan: &Path) -> Self {
        HoldUps { record: fault_plan.with_extension("struck"), read_bytes: 0, last_end: None }
    }

    /// When the last hold-up so far ends or has ended; `None` without any.
    pub fn last_end(&mut self) -> Option<Instant> {
        let new_lines = self.read_new_lines();
        let ends = new_lines.lines().filter_map(end_of_hold_up);
        self.last_end = ends.chain(self.last_end).max();
        self.last_end
    }

    /// The complete lines that were appended since the last call. A record that cannot be read has none.
    fn read_new_lines(&mut self) -> String {
        let mut text = String::new();
        let Ok(mut file) = File::open(&self.record) else { return text };
        let read = file.seek(SeekFrom::Start(self.read_bytes)).and_then(|_| file.read_to_string(&mut text));
        if read.is_err() {
            return String::new();
        }
        text.truncate(text.rfind('\n').map_or(0, |end| end + 1));
        self.read_bytes += text.len() as u64;
        text
    }
}

/// When the hold-up on a line such as `send Stalls(140) 81733000123` ends; `None` for other lines.
fn end_of_hold_up(line: &str) -> Option<Instant> {
    let mut words = line.split(' ').skip(1);
    let milliseconds = words.next()?.strip_prefix("Stalls(")?.strip_suffix(')')?.parse().ok()?;
    let started_at = instant_of(Duration::from_micros(words.next()?.parse().ok()?))?;
    Some(started_at + Duration::from_millis(milliseconds))
}

/// Converts a time of the monotonic clock.
fn instant_of(monotonic: Duration) -> Option<Instant> {
    let now = clock_gettime(ClockId::Monotonic);
    let now = Duration::new(now.tv_sec as u64, now.tv_nsec as u32);
    Instant::now().checked_sub(now.saturating_sub(monotonic))
}
