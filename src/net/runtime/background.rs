//! Tasks that run for as long as the process does.

use super::clock::Clock;
use super::stall_detector::{StallDetector, CATCH_UP_PASS_INTERVAL, HEARTBEAT_INTERVAL};
use crate::journal::JournalError;
use crate::net::journal_handle::JournalHandle;
use crate::net::messages::DeliveryMessage;
use crate::net::Context;
use async_io::Timer;
use slog::{info, warn, Logger};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The pause after the first failed write of the journal. It is short, as a full disk often has free space again soon.
const JOURNAL_RETRY_FIRST: Duration = Duration::from_millis(10);
/// The longest pause: each pause is twice the previous one up to this, so that a disk that stays full is not kept busy.
const JOURNAL_RETRY_LONGEST: Duration = Duration::from_millis(100);
/// The interval at which the files of other programs in the state folder are measured.
const FOLDER_SIZE_INTERVAL: Duration = Duration::from_secs(1);

/// Sends heartbeats to the stall detector, logs each stall that it detects, and makes the catch-up passes after a stall.
pub async fn watch_for_stalls(stall_detector: Rc<StallDetector>, clock: Clock, log: Logger) {
    loop {
        Timer::after(HEARTBEAT_INTERVAL).await;
        stall_detector.heartbeat(clock.now());
        if let Some(stall_duration) = stall_detector.take_unlogged_stall() {
            warn!(log, "process was stalled"; "reason" => "stalled", "ms" => stall_duration / 1000);
        }
        // During each pause the other tasks read what arrived while the process did not run.
        while !stall_detector.is_caught_up(clock.now()) {
            Timer::after(CATCH_UP_PASS_INTERVAL).await;
            stall_detector.catch_up_pass(clock.now());
        }
    }
}

/// Measures regularly how much of the state folder the files of other programs take.
pub async fn watch_folder_size(context: Rc<Context>) {
    loop {
        Timer::after(FOLDER_SIZE_INTERVAL).await;
        context.journal.measure_other_files();
    }
}

/// Waits for failed writes of the journal and retries each until it succeeds, for as long as the process runs.
pub async fn retry_journal(context: Rc<Context>) {
    let journal = &context.journal;
    loop {
        journal.until_failing().await;
        let failing_since = Instant::now();
        context.counters.journal_failures.increment();
        warn!(context.log, "the journal cannot be written, no message is accepted and no attempt starts";
            "reason" => "journal", "open" => context.gauges.open_messages.get());
        retry_until_writable(journal).await;
        journal.clear_failing();
        let duration_ms = failing_since.elapsed().as_millis() as u64;
        info!(context.log, "the journal can be written again"; "ms" => duration_ms);
        // Sending fails only if the delivery actor has ended, and it ends only with the process.
        let _ = context.delivery.send(DeliveryMessage::JournalWritable).await;
    }
}

/// Retries the write with a growing pause until it succeeds. Also returns once the state folder is handed over, because
/// another process writes to the folder from then on.
async fn retry_until_writable(journal: &JournalHandle) {
    let mut pause = JOURNAL_RETRY_FIRST;
    loop {
        Timer::after(pause).await;
        match journal.retry() {
            Ok(()) | Err(JournalError::Paused) => return,
            Err(_) => pause = (2 * pause).min(JOURNAL_RETRY_LONGEST),
        }
    }
}
