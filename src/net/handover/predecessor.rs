//! The predecessor's side of a hand-over.

use super::frames::{PredecessorFrame, StateFrame, SuccessorFrame};
use super::link::{HandOverError, Link};
use super::relay::Relay;
use crate::net::delivery::DeliveryActor;
use crate::net::http::HttpError;
use crate::net::messages::{
    AdminError, DeliveryMessage, EndpointListMessage, SubmitReply, Successor, DEFAULT_RETRY_AFTER,
};
use crate::net::runtime::lifecycle::HandOverPhase;
use crate::net::{within, Context};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use slog::{info, warn};
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
    let link = match send_result.unwrap_or(Err(HttpError::TimedOut.into())) {
        Ok(link) => link,
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
    context.folder_ownership.release();
    // Sending fails only if the successor is gone; the relay below then ends at once.
    let _ = link.frames.send(&PredecessorFrame::LockReleased).await;
    info!(context.log, "handed over"; "ms" => started_at.elapsed().as_millis() as u64,
        "open" => context.gauges.open_messages.get(), "in_flight" => context.gauges.calls_in_flight.get());
    actor.step_down();
    announce_hand_over(&context, actor.endpoint_list().clone());
    let _unanswered = Relay::new(actor, link, accepted_frames).run(mailbox).await;
    warn!(context.log, "the successor is gone");
    context.lifecycle.enter_hand_over(HandOverPhase::SuccessorLost);
    reject_all(mailbox).await;
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

/// Pauses the journal, sends the state, and waits until the successor confirms that it is ready to own the state folder.
async fn send_state(
    actor: &DeliveryActor,
    context: &Context,
    successor: Successor,
) -> Result<Link, HandOverError> {
    // A record that could not be written would be missing in the state folder that the successor reads.
    context.journal.pause().map_err(|_| HandOverError::JournalNotWritable)?;
    let mut link = Link::new(successor.connection, &context.executor)?;
    let state = actor.hand_over_state(successor.list);
    link.frames.send(&StateFrame::State(&state)).await?;
    drop(state);
    match link.read().await?.head {
        SuccessorFrame::ReadyToOwn => Ok(link),
        _ => Err(HandOverError::OwnershipNotConfirmed),
    }
}

/// Rejects messages and commands that still arrive, until the process ends.
async fn reject_all(mailbox: &Receiver<DeliveryMessage>) {
    while let Ok(message) = mailbox.recv().await {
        match message {
            DeliveryMessage::Submit { reply, .. } => {
                // Sending fails if the client has disconnected; nobody needs the reply then.
                let _ = reply.try_send(SubmitReply::Unavailable(DEFAULT_RETRY_AFTER));
            }
            DeliveryMessage::Admin { reply, .. } => {
                // Sending fails if the operator has disconnected; nobody needs the result then.
                let _ = reply.try_send(Err(AdminError::ShuttingDown));
            }
            _ => {}
        }
    }
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
