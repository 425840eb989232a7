//! The shutdown of a process, within the time that the platform gives it.

use super::deadline::within;
use super::lifecycle::ShutdownPhase;
use crate::net::messages::DeliveryMessage;
use crate::net::Context;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use slog::{info, warn};
use std::time::{Duration, Instant};

/// Connections are still accepted for so long after the signal, and closed after their response.
const ACCEPT_UNTIL: Duration = Duration::from_millis(600);
/// Decisions go on for so long after the signal.
const DECIDE_UNTIL: Duration = Duration::from_millis(2600);
/// What is in flight may complete for so long after the signal. The platform kills after 3.7 s.
const COMPLETE_UNTIL: Duration = Duration::from_millis(3200);
/// Time between two looks at whether all is complete.
const POLL: Duration = Duration::from_millis(10);

/// Shuts down in order; the task is the one that accepts clients.
pub async fn shut_down(context: &Context, accepting: Task<()>) {
    let gauges = &context.gauges;
    info!(context.log, "ending"; "open" => gauges.open_messages.get());
    let begun = Instant::now();
    context.lifecycle.enter_shutdown(ShutdownPhase::Closing);
    Timer::after(ACCEPT_UNTIL).await;
    context.lifecycle.enter_shutdown(ShutdownPhase::ListenerClosing);
    // Where accepting fails all the time, the shutdown must not wait for it.
    within(DECIDE_UNTIL.saturating_sub(begun.elapsed()), accepting).await;
    let nothing_in_flight = || gauges.calls_in_flight.get() == 0 && gauges.reports_pending.get() == 0;
    let nothing_open = || gauges.open_messages.get() == 0 && gauges.client_connections.get() == 0;
    while begun.elapsed() < DECIDE_UNTIL && !(nothing_in_flight() && nothing_open()) {
        Timer::after(POLL).await;
    }
    context.lifecycle.enter_shutdown(ShutdownPhase::DecisionsStopped);
    // The delivery actor ends only with the process.
    let _ = context.delivery.send(DeliveryMessage::Stop).await;
    // A response counts as given only once its client has read it.
    let all_answered = || context.delivery.is_empty() && gauges.client_connections.get() == 0;
    while begun.elapsed() < COMPLETE_UNTIL && !(nothing_in_flight() && all_answered()) {
        Timer::after(POLL).await;
    }
    // The mailbox is empty before its last message is dealt with: the other tasks get one more turn.
    future::yield_now().await;
    write_journal(context);
    info!(context.log, "ended"; "left_in_journal" => gauges.open_messages.get());
}

/// Writes what the journal still owes, unless a successor owns the folder.
fn write_journal(context: &Context) {
    if context.journal.is_paused() {
        return;
    }
    if let Err(error) = context.journal.retry() {
        warn!(context.log, "the journal could not be written at the end"; "reason" => "journal", "error" => %error);
    }
}
