//! The predecessor's side of a hand-over.

use super::call_log::CallLog;
use super::calls_server::CallsServer;
use super::fence::OwnFence;
use super::frames::{PredecessorFrame, StateFrame, SuccessorFrame};
use super::link::{HandOverError, Link};
use super::relay::Relay;
use crate::net::delivery::DeliveryActor;
use crate::net::http::HttpError;
use crate::net::messages::{DeliveryMessage, EndpointListMessage, Successor};
use crate::net::runtime::lifecycle::HandOverPhase;
use crate::net::{within, Context};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use slog::{info, warn};
use std::io;
use std::time::{Duration, Instant};

/// The time limit for sending the state and receiving [`SuccessorFrame::ReadyToOwn`]. Clients wait meanwhile.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a predecessor with nothing left to forward waits for the signal that terminates it before it ends by itself.
const IDLE_EXIT_DELAY: Duration = Duration::from_secs(10);
/// The interval at which a predecessor checks whether anything is left to forward.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Hands over to a successor and then forwards to it everything that still arrives. Returns only if the successor did not
/// take over; everything is then as before. After a successful hand-over it runs until this process ends.
pub async fn hand_over(actor: &mut DeliveryActor, successor: Successor, mailbox: &Receiver<DeliveryMessage>) {
    let context = actor.context().clone();
    let started_at = Instant::now();
    let accepted_frames = successor.accepted_frames;
    let send_result = within(OWNERSHIP_TIMEOUT, send_state(actor, &context, successor)).await;
    let (link, fence) = match send_result.unwrap_or(Err(HttpError::TimedOut.into())) {
        Ok(confirmed) => confirmed,
        Err(error) => {
            warn!(context.log, "hand-over failed, continuing to serve"; "reason" => error.code(), "error" => %error);
            context.journal.resume();
            context.set_memory_shared(false);
            context.lifecycle.enter_hand_over(HandOverPhase::Owner);
            // Sending fails only if the endpoint list actor has ended, and it ends only with the process.
            let _ = actor.endpoint_list().send(EndpointListMessage::HandOverAborted).await;
            return;
        }
    };
    // From here on the successor makes all decisions. It listens already, so the listener of this process may close.
    context.lifecycle.enter_hand_over(HandOverPhase::HandedOver);
    let call_log = CallLog::new(context.clone(), actor.attempts_in_flight());
    if let Some(fence) = fence {
        fence.keep_until_exit();
    }
    context.folder_ownership.release();
    // Sending fails only if the successor is gone; the relay below then ends at once.
    let _ = link.frames.send(&PredecessorFrame::LockReleased).await;
    info!(context.log, "handed over"; "ms" => started_at.elapsed().as_millis() as u64,
        "open" => context.gauges.open_messages.get(), "in_flight" => context.gauges.calls_in_flight.get());
    actor.step_down();
    announce_hand_over(&context, actor.endpoint_list().clone());
    let (_unanswered, call_log) = Relay::new(actor, link, accepted_frames, call_log).run(mailbox).await;
    warn!(context.log, "the successor is gone");
    let calls_server = CallsServer::new(actor, call_log);
    context.lifecycle.enter_hand_over(HandOverPhase::SuccessorLost);
    calls_server.run(mailbox).await;
}

/// Has the endpoint list actor send the successor the lines that its watches received during the hand-over. This runs in a
/// task of its own to avoid a deadlock: that actor may be waiting for the delivery actor, which runs the hand-over.
fn announce_hand_over(context: &Context, endpoint_list: Sender<EndpointListMessage>) {
    let announce = async move {
        // Sending fails only if the endpoint list actor has ended, and it ends only with the process.
        let _ = endpoint_list.send(EndpointListMessage::HandedOver).await;
    };
    context.executor.spawn(announce).detach();
}

/// Pauses the journal, fences the attempts in flight, sends the state, and waits until the successor confirms that it is ready
/// to own the state folder. Returns the fence with the link; `None` if no attempt is in flight.
async fn send_state(
    actor: &DeliveryActor,
    context: &Context,
    successor: Successor,
) -> Result<(Link, Option<OwnFence>), HandOverError> {
    // A record that could not be written would be missing in the state folder that the successor reads.
    context.journal.pause().map_err(|_| HandOverError::JournalNotWritable)?;
    let fence = fence_attempts(actor, context).map_err(HandOverError::FenceNotWritten)?;
    let mut link = Link::new(successor.connection, &context.executor)?;
    let state = actor.hand_over_state(successor.list);
    link.frames.send(&StateFrame::State(&state)).await?;
    drop(state);
    match link.read().await?.head {
        SuccessorFrame::ReadyToOwn => Ok((link, fence)),
        _ => Err(HandOverError::OwnershipNotConfirmed),
    }
}

/// Writes the fence of the attempts in flight; `None` if there are none. No further attempt starts while the journal is paused.
fn fence_attempts(actor: &DeliveryActor, context: &Context) -> io::Result<Option<OwnFence>> {
    let attempts = actor.attempts_in_flight();
    if attempts.is_empty() {
        return Ok(None);
    }
    let owner = context.folder_ownership.owner();
    let owner = owner.ok_or_else(|| io::Error::other("this process does not own the state folder"))?;
    let has_space = |bytes| context.journal.has_space_for_file(bytes);
    OwnFence::create(&context.config().state_folder, &owner, attempts, has_space).map(Some)
}

/// Returns once this process has handed over and has nothing left to do: it had no clients and no calls in flight for
/// 10 seconds, or the successor is gone.
pub async fn until_hand_over_finished(context: &Context) {
    context.lifecycle.until_handed_over().await;
    let idle = async {
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < IDLE_EXIT_DELAY {
            Timer::after(IDLE_POLL_INTERVAL).await;
            let gauges = &context.gauges;
            let calls = gauges.calls_in_flight.get() + gauges.unconfirmed_calls.get();
            if gauges.client_connections.get() + calls > 0 {
                idle_since = Instant::now();
            }
        }
    };
    future::or(idle, context.lifecycle.until_successor_lost()).await;
}
