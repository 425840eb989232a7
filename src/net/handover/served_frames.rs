//! Serves, at the successor, the frames that a predecessor forwards, until the predecessor ends.

use super::fence::Fence;
use super::fence_watch;
use super::frames::{PredecessorFrame, SuccessorFrame};
use super::link::{HandOverError, Link};
use crate::invariants::Rejection;
use crate::memory::MemoryUser;
use crate::net::in_flight::Request;
use crate::net::message_body::MessageBody;
use crate::net::messages::{
    AdminCommand, DeliveryMessage, EndSettlement, EndpointListMessage, ListLine, SubmitReply,
    DEFAULT_RETRY_AFTER,
};
use crate::net::{operator, Context};
use async_channel::{SendError, Sender};
use slog::info;
use std::convert::Infallible;
use std::rc::Rc;

/// Serves the frames of the predecessor until its connection ends, then notifies the delivery actor that it is gone. The
/// attempts that its fence names may be in flight until the fence is released.
pub(super) async fn serve(
    context: Rc<Context>,
    link: Link,
    endpoint_list: Sender<EndpointListMessage>,
    fence: Option<Fence>,
) {
    let mut server = PredecessorServer { context: context.clone(), link, endpoint_list };
    let Err(end) = server.serve_frames().await;
    info!(context.log, "connection ended"; "side" => "predecessor", "reason" => end.code());
    context.gauges.predecessor_connections.set(0);
    context.set_memory_shared(false);
    // Sending fails only if the delivery actor has ended, and it ends only with the process.
    let _ = context.delivery.send(DeliveryMessage::PredecessorGone).await;
    if let Some(fence) = fence {
        fence_watch::watch(context, fence).await;
    }
}

/// Why the predecessor's frames are no longer served.
enum ServingEnd {
    /// The connection failed: the predecessor is gone.
    Link(HandOverError),
    /// The delivery actor has ended, so this process is ending.
    ProcessEnding,
}

impl ServingEnd {
    /// The reason's code in the log.
    fn code(&self) -> &'static str {
        match self {
            ServingEnd::Link(error) => error.code(),
            ServingEnd::ProcessEnding => "ending",
        }
    }
}

impl From<HandOverError> for ServingEnd {
    fn from(error: HandOverError) -> Self {
        ServingEnd::Link(error)
    }
}

impl From<SendError<DeliveryMessage>> for ServingEnd {
    fn from(_: SendError<DeliveryMessage>) -> Self {
        ServingEnd::ProcessEnding
    }
}

/// Serves the requests and events of one predecessor.
struct PredecessorServer {
    context: Rc<Context>,
    link: Link,
    endpoint_list: Sender<EndpointListMessage>,
}

impl PredecessorServer {
    /// Serves frames until the connection fails or this process ends.
    async fn serve_frames(&mut self) -> Result<Infallible, ServingEnd> {
        loop {
            let frame = self.link.read().await?;
            self.serve(frame.head, frame.body).await?;
        }
    }

    async fn serve(&self, frame: PredecessorFrame, body: Vec<u8>) -> Result<(), SendError<DeliveryMessage>> {
        let delivery = &self.context.delivery;
        match frame {
            PredecessorFrame::Submit { number, mut request } => {
                match self.context.memory.reserve(MemoryUser::Requests, body.len()) {
                    Ok(permit) => request.body = MessageBody::received(body, permit),
                    Err(_) => return self.reject(number, &request).await,
                }
                self.submit(number, request).await
            }
            PredecessorFrame::Withdrawn { id } => delivery.send(DeliveryMessage::Withdrawn { id }).await,
            PredecessorFrame::CallCompleted(completion) => {
                if let Some(retry_after) = completion.result.retry_after {
                    self.context.endpoint_table.record_retry_after(completion.endpoint, retry_after);
                }
                let messages = completion.unconfirmed_messages();
                delivery.send(DeliveryMessage::CallCompleted(completion)).await?;
                // The predecessor does not notify this process of a confirmation.
                let settlement = EndSettlement::Unsettled;
                delivery.send(DeliveryMessage::EndSettled { messages, settlement }).await
            }
            PredecessorFrame::EndRead(completion) => {
                delivery.send(DeliveryMessage::EndRead(completion)).await
            }
            PredecessorFrame::LateEnd(completion) => {
                delivery.send(DeliveryMessage::LateEnd(completion)).await
            }
            PredecessorFrame::ListLine { available_since, address } => {
                let line = ListLine { line: body, available_since, address };
                let line = EndpointListMessage::PredecessorLine(line);
                // Sending fails only if the endpoint list actor has ended, and it ends only with the process.
                let _ = self.endpoint_list.send(line).await;
                Ok(())
            }
            PredecessorFrame::Admin { number, command } => {
                self.spawn_command(number, command);
                Ok(())
            }
            PredecessorFrame::State(_) | PredecessorFrame::LockReleased => Ok(()),
        }
    }

    /// Rejects a forwarded message for which there is no memory.
    async fn reject(&self, number: u64, request: &Request) -> Result<(), SendError<DeliveryMessage>> {
        self.context.counters.unavailable.increment();
        self.context.record_rejection(&request.request_id, Rejection::MemoryFull);
        let reply = SubmitReply::Unavailable(DEFAULT_RETRY_AFTER);
        // Sending fails if the predecessor is gone, and then its client has lost its connection as well.
        let _ = self.link.frames.send(&SuccessorFrame::Reply { number, reply }).await;
        Ok(())
    }

    /// Submits a forwarded message to the delivery actor, and starts a task that sends the reply back.
    async fn submit(&self, number: u64, request: Request) -> Result<(), SendError<DeliveryMessage>> {
        let (reply, replied) = async_channel::bounded(1);
        let frames = self.link.frames.clone();
        let replying = async move {
            let reply = replied.recv().await.unwrap_or(SubmitReply::Unavailable(DEFAULT_RETRY_AFTER));
            // Sending fails if the predecessor is gone, and then its client has lost its connection as well.
            let _ = frames.send(&SuccessorFrame::Reply { number, reply }).await;
        };
        self.context.executor.spawn(replying).detach();
        self.context.delivery.send(DeliveryMessage::Submit { request, reply }).await
    }

    /// Starts a task that performs an operator's command and sends the result back.
    fn spawn_command(&self, number: u64, command: AdminCommand) {
        let (context, endpoint_list) = (self.context.clone(), self.endpoint_list.clone());
        let frames = self.link.frames.clone();
        let perform = async move {
            let result = operator::perform_command(&context, &endpoint_list, command).await;
            // Sending fails if the predecessor is gone, and then its operator has lost its connection as well.
            let _ = frames.send(&SuccessorFrame::AdminDone { number, result }).await;
        };
        self.context.executor.spawn(perform).detach();
    }
}
