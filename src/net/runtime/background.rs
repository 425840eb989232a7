//! Tasks that run for as long as the process does.

use super::clock::Clock;
use super::stall_detector::{StallDetector, HEARTBEAT, LAP};
use crate::journal::JournalError;
use crate::net::journal_handle::JournalHandle;
use crate::net::messages::DeliveryMessage;
use crate::net::Context;
use async_io::Timer;
use slog::{info, warn, Logger};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The pause after the first failed write of the journal: a disk that is full for a moment is soon used again.
const JOURNAL_RETRY_FIRST: Duration = Duration::from_millis(10);
/// The pause doubles up to this: a disk that stays full is not kept busy.
const JOURNAL_RETRY_LONGEST: Duration = Duration::from_millis(100);

/// Beats for the detection of stalls, and logs each of them.
pub async fn watch_for_stalls(stall_detector: Rc<StallDetector>, clock: Clock, log: Logger) {
    loop {
        Timer::after(HEARTBEAT).await;
        stall_detector.heartbeat(clock.now());
        if let Some(stalled) = stall_detector.take_unlogged() {
            warn!(log, "process was stalled"; "reason" => "stalled", "ms" => stalled / 1000);
        }
        // What arrived while the process was late is read in laps.
        while !stall_detector.is_caught_up(clock.now()) {
            Timer::after(LAP).await;
            stall_detector.lap(clock.now());
        }
    }
}

/// Retries whenever the journal could not be written, for as long as the process runs.
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
        // The delivery actor ends only with the process: nobody is left to notify.
        let _ = context.delivery.send(DeliveryMessage::JournalWritable).await;
    }
}

/// Retries with a growing pause; ends early once the folder is handed over, as another process writes to it then.
async fn retry_until_writable(journal: &JournalHandle) {
    let mut pause = JOURNAL_RETRY_FIRST;
    loop {
        Timer::after(pause).await;
        match journal.retry() {
            Ok(()) | Err(JournalError::HandedOver) => return,
            Err(_) => pause = (2 * pause).min(JOURNAL_RETRY_LONGEST),
        }
    }
}
