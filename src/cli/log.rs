//! The log of a running forwarder. A thread of its own writes it, from a queue of limited length, so that a reader that is slow or
//! gone holds up no message: lines that don't fit are dropped and counted, and the count is logged once there is room.

use clap::ValueEnum;
use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::io::stderr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// The length of the queue, in lines.
const QUEUE_LINES: usize = 1024;
/// How long the end of the process waits for the queue to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The format of the log on standard error.
#[derive(Clone, Copy, ValueEnum)]
pub(super) enum LogFormat {
    /// One line of text per entry
    Text,
    /// One JSON object per line
    Json,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, ValueEnum)]
pub(super) enum LogLevel {
    /// Failures that end the program
    Critical,
    /// All failures
    Error,
    /// Failures and unusual conditions
    Warning,
    /// Failures, unusual conditions and normal events
    Info,
    /// All entries, including details
    Debug,
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Level {
        match level {
            LogLevel::Critical => Level::Critical,
            LogLevel::Error => Level::Error,
            LogLevel::Warning => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        }
    }
}

/// The log of the process. Dropping it writes what is queued, as far as its reader takes it in time.
pub(super) struct Log {
    pub logger: Logger,
    writer: Option<AsyncGuard>,
}

impl Log {
    /// Starts the thread that writes the log to standard error.
    pub fn start(format: LogFormat, level: LogLevel) -> Self {
        match format {
            LogFormat::Text => {
                let decorator = slog_term::PlainSyncDecorator::new(stderr());
                let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build();
                Log::write_to(drain.ignore_res(), level)
            }
            LogFormat::Json => Log::write_to(slog_json::Json::default(stderr()).ignore_res(), level),
        }
    }

    fn write_to<D>(drain: D, level: LogLevel) -> Self
    where
        D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
    {
        let queue =
            Async::new(drain).chan_size(QUEUE_LINES).overflow_strategy(OverflowStrategy::DropAndReport);
        let (queue, writer) = queue.build_with_guard();
        let logger = Logger::root(LevelFilter::new(queue, level.into()).ignore_res(), o!());
        Log { logger, writer: Some(writer) }
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        let writer = self.writer.take();
        finish_within(FLUSH_TIMEOUT, move || drop(writer));
    }
}

/// Prints an error of the program to standard error, as far as its reader takes it in time.
pub(super) fn print_error(text: String) {
    finish_within(FLUSH_TIMEOUT, move || eprintln!("{text}"));
}

/// Does work that may block in a thread of its own, and waits for it for at most `limit`. It ends with the process otherwise.
fn finish_within(limit: Duration, work: impl FnOnce() + Send + 'static) {
    let (done, finished) = mpsc::channel();
    thread::spawn(move || {
        work();
        // Sending fails if nobody waits any more.
        let _ = done.send(());
    });
    // Whether it is finished or not, the process ends.
    let _ = finished.recv_timeout(limit);
}
