//! The predecessor's side of a hand-over.

use super::frames::{PredecessorFrame, SuccessorFrame};
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

/// The successor must have said that it owns the folder so long after it was sent the state; clients wait meanwhile.
const OWNED_WITHIN: Duration = Duration::from_millis(1500);
/// With nothing left to forward, the predecessor waits so long for its signal, then ends.
const IDLE_BEFORE_END: Duration = Duration::from_secs(10);
/// Time between two looks at whether anything is left to forward.
const IDLE_POLL: Duration = Duration::from_millis(20);

/// Hands over to a successor and forwards to it what still comes, for as long as both live. Returns if the successor did not take
/// over, with everything as it was before.
pub async fn hand_over(actor: &mut DeliveryActor, successor: Successor, mail: &Receiver<DeliveryMessage>) {
    let context = actor.context().clone();
    let begun = Instant::now();
    let accepts_list_lines = successor.accepts_list_lines;
    let handing_over = within(OWNED_WITHIN, send_state(actor, &context, successor)).await;
    let link = match handing_over.unwrap_or(Err(HttpError::TimedOut.into())) {
        Ok(link) => link,
        Err(error) => {
            warn!(context.log, "hand-over failed, serving on"; "reason" => error.code(), "error" => %error);
            context.journal.resume();
            context.lifecycle.enter_hand_over(HandOverPhase::Owner);
            // The endpoint list actor ends only with the process.
            let _ = actor.endpoint_list().send(EndpointListMessage::HandOverAborted).await;
            return;
        }
    };
    // From here on the successor decides. It listens, so this process's listener may close.
    context.lifecycle.enter_hand_over(HandOverPhase::HandedOver);
    context.folder_ownership.release();
    // Where the successor is gone, the relay ends at once.
    let _ = link.frames.send(&PredecessorFrame::Granted).await;
    info!(context.log, "handed over"; "ms" => begun.elapsed().as_millis() as u64,
        "open" => context.gauges.open_messages.get(), "in_flight" => context.gauges.calls_in_flight.get());
    actor.step_down();
    announce_hand_over(&context, actor.endpoint_list().clone());
    let _unanswered = Relay::new(actor, link, accepts_list_lines).run(mail).await;
    warn!(context.log, "the successor is gone");
    context.lifecycle.enter_hand_over(HandOverPhase::SuccessorLost);
    reject_all(mail).await;
}

/// Has the endpoint list actor pass on what its watches have sent meanwhile. In a task of its own: that actor may wait for the
/// delivery actor.
fn announce_hand_over(context: &Context, endpoint_list: Sender<EndpointListMessage>) {
    let announcing = async move {
        // The endpoint list actor ends only with the process.
        let _ = endpoint_list.send(EndpointListMessage::HandedOver).await;
    };
    context.executor.spawn(announcing).detach();
}

/// Sends the state, and waits until the successor owns the folder.
async fn send_state(
    actor: &DeliveryActor,
    context: &Context,
    successor: Successor,
) -> Result<Link, HandOverError> {
    // What could not be written would not be in the folder that the successor reads.
    context.journal.pause().map_err(|_| HandOverError::JournalNotWritable)?;
    let mut link = Link::new(successor.connection, &context.executor)?;
    let state = Box::new(actor.hand_over_state(successor.list));
    link.frames.send(&PredecessorFrame::State(state)).await?;
    match link.read().await?.head {
        SuccessorFrame::Owns => Ok(link),
        _ => Err(HandOverError::OwnershipNotClaimed),
    }
}

/// Rejects whatever still comes, up to the end of the process.
async fn reject_all(mail: &Receiver<DeliveryMessage>) {
    while let Ok(message) = mail.recv().await {
        match message {
            DeliveryMessage::Submit { reply, .. } => {
                // Where the client is gone, nobody waits for the reply.
                let _ = reply.try_send(SubmitReply::Unavailable(DEFAULT_RETRY_AFTER));
            }
            DeliveryMessage::Admin { reply, .. } => {
                // Where the operator is gone, nobody waits for the reply.
                let _ = reply.try_send(Err(AdminError::ShuttingDown));
            }
            _ => {}
        }
    }
}

/// Returns once this process has handed over and has nothing left to do: nothing came to be forwarded for a while, or the
/// successor is gone.
pub async fn until_drained(context: &Context) {
    context.lifecycle.until_handed_over().await;
    let idle = async {
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < IDLE_BEFORE_END {
            Timer::after(IDLE_POLL).await;
            if context.gauges.client_connections.get() + context.gauges.calls_in_flight.get() > 0 {
                idle_since = Instant::now();
            }
        }
    };
    future::or(idle, context.lifecycle.until_successor_lost()).await;
}
