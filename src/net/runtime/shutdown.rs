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

/// How long after the signal connections are still accepted. Each is closed after its response.
const ACCEPT_PERIOD: Duration = Duration::from_millis(600);
/// How long after the signal the delivery policy still makes decisions.
const DECISION_PERIOD: Duration = Duration::from_millis(2600);
/// How long after the signal calls and responses in flight may still complete. The platform kills the process after 3.7 s.
const COMPLETION_PERIOD: Duration = Duration::from_millis(3200);
/// The interval at which the gauges are checked for work that is not yet complete.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Shuts the process down phase by phase, and returns once it can exit. `accepting` is the task that accepts clients.
pub async fn shut_down(context: &Context, accepting: Task<()>) {
    let gauges = &context.gauges;
    info!(context.log, "shutting down"; "open" => gauges.open_messages.get());
    let started_at = Instant::now();
    context.lifecycle.enter_shutdown(ShutdownPhase::Closing);
    Timer::after(ACCEPT_PERIOD).await;
    context.lifecycle.enter_shutdown(ShutdownPhase::ListenerClosing);
    // Waits for the listener to be closed, but not for long: if accepting keeps failing, it never is.
    within(DECISION_PERIOD.saturating_sub(started_at.elapsed()), accepting).await;
    // The next process of the folder may still ask for results that a lost successor may not have handled.
    let nothing_unsent = || gauges.reports_pending.get() == 0 && gauges.unsent_results.get() == 0;
    let nothing_in_flight = || gauges.calls_in_flight.get() == 0 && nothing_unsent();
    // A successor accepts few clients while its predecessor still runs, so that does not wait for confirmations.
    let nothing_unconfirmed = || gauges.unconfirmed_calls.get() == 0 || context.lifecycle.is_handed_over();
    let nothing_open = || gauges.open_messages.get() == 0 && gauges.client_connections.get() == 0;
    let is_done = || nothing_in_flight() && nothing_unconfirmed() && nothing_open();
    while started_at.elapsed() < DECISION_PERIOD && !is_done() {
        Timer::after(POLL_INTERVAL).await;
    }
    context.lifecycle.enter_shutdown(ShutdownPhase::DecisionsStopped);
    // Sending fails only if the delivery actor has ended, and it ends only with the process.
    let _ = context.delivery.send(DeliveryMessage::Stop).await;
    // A client has its response only once it has read it and its connection has ended.
    let all_answered = || context.delivery.is_empty() && gauges.client_connections.get() == 0;
    while started_at.elapsed() < COMPLETION_PERIOD && !(nothing_in_flight() && all_answered()) {
        Timer::after(POLL_INTERVAL).await;
    }
    // The mailbox is empty as soon as the actor has received its last message: yield once so that the message is also
    // handled.
    future::yield_now().await;
    write_journal(context);
    info!(context.log, "ended"; "left_in_journal" => gauges.open_messages.get());
}

/// Writes the records that the journal could not write so far, unless a successor owns the state folder.
fn write_journal(context: &Context) {
    if context.journal.is_paused() {
        return;
    }
    if let Err(error) = context.journal.retry() {
        warn!(context.log, "the journal could not be written at shutdown"; "reason" => "journal", "error" => %error);
    }
}
