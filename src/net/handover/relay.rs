//! Forwards what a predecessor still receives to its successor, and passes the successor's replies back.

use super::call_log::CallLog;
use super::frames::{AcceptedFrames, PredecessorFrame, SuccessorFrame};
use super::link::{HandOverError, Link};
use crate::net::delivery::DeliveryActor;
use crate::net::messages::{AdminError, DeliveryMessage, ListLine, SubmitReply};
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::collections::BTreeMap;

/// Forwards the messages of the delivery actor's mailbox to the successor.
pub(super) struct Relay<'a> {
    actor: &'a mut DeliveryActor,
    link: Link,
    accepted_frames: AcceptedFrames,
    /// What becomes of the calls in flight, in case that the successor is lost.
    call_log: CallLog,
    /// The number of mailbox messages and frames received so far. A forwarded request gets this count as its number.
    last_number: u64,
    /// Where clients wait for replies, by the number of the forwarded message.
    replies: BTreeMap<u64, Sender<SubmitReply>>,
    /// Where operators wait for results, by the number of the forwarded command.
    admin_replies: BTreeMap<u64, Sender<Result<(), AdminError>>>,
}

/// The clients whose messages the lost successor may have accepted. While this value is kept, they get no response, as if
/// the process had died. A rejection could be wrong, as the next process may find their messages in the journal and deliver
/// them.
pub(super) struct UnansweredClients {
    _replies: Vec<Sender<SubmitReply>>,
}

/// What the relay handles next.
enum Received {
    /// A message in the delivery actor's mailbox.
    Message(DeliveryMessage),
    /// A frame from the successor.
    Frame(SuccessorFrame),
}

impl<'a> Relay<'a> {
    /// Creates a relay to the successor at the other end of the link.
    pub fn new(
        actor: &'a mut DeliveryActor,
        link: Link,
        accepted_frames: AcceptedFrames,
        call_log: CallLog,
    ) -> Self {
        Relay {
            actor,
            link,
            accepted_frames,
            call_log,
            last_number: 0,
            replies: BTreeMap::new(),
            admin_replies: BTreeMap::new(),
        }
    }

    /// Forwards until the connection to the successor ends. Returns the clients whose messages were forwarded and not
    /// answered, and what has become of the calls in flight.
    pub async fn run(mut self, mailbox: &Receiver<DeliveryMessage>) -> (UnansweredClients, CallLog) {
        while let Some(received) = self.receive(mailbox).await {
            self.last_number += 1;
            let forwarded = match received {
                Received::Message(message) => self.forward(message).await,
                Received::Frame(frame) => self.receive_frame(frame).await,
            };
            if forwarded.is_err() {
                break;
            }
        }
        (UnansweredClients { _replies: self.replies.into_values().collect() }, self.call_log)
    }

    /// Waits for the next frame or message; `None` once the connection or the mailbox has ended.
    async fn receive(&mut self, mailbox: &Receiver<DeliveryMessage>) -> Option<Received> {
        let frame = async { self.link.read().await.ok().map(|frame| Received::Frame(frame.head)) };
        let message = async { mailbox.recv().await.ok().map(Received::Message) };
        future::or(frame, message).await
    }

    /// Forwards a message of the mailbox, if the successor needs it.
    async fn forward(&mut self, message: DeliveryMessage) -> Result<(), HandOverError> {
        self.call_log.record(&message);
        let frames = &self.link.frames;
        let number = self.last_number;
        match message {
            DeliveryMessage::Submit { request, reply } => {
                self.replies.insert(number, reply);
                let body = request.body.clone();
                frames.send_with_body(&PredecessorFrame::Submit { number, request }, body).await
            }
            DeliveryMessage::Withdrawn { id } => frames.send(&PredecessorFrame::Withdrawn { id }).await,
            DeliveryMessage::CallCompleted(completion) => {
                frames.send(&PredecessorFrame::CallCompleted(completion)).await
            }
            DeliveryMessage::Admin { command, reply } => {
                self.admin_replies.insert(number, reply);
                frames.send(&PredecessorFrame::Admin { number, command }).await
            }
            DeliveryMessage::ListLine(line) if self.accepted_frames.list_lines => {
                let ListLine { line, available_since, address } = line;
                let head = PredecessorFrame::ListLine { available_since, address };
                frames.send_with_body(&head, line.into()).await
            }
            DeliveryMessage::CallAnswered(answered)
                if self.accepted_frames.read_ends && answered.ends_messages() =>
            {
                frames.send(&PredecessorFrame::EndRead(answered)).await
            }
            DeliveryMessage::EndRead(completion) if self.accepted_frames.read_ends => {
                frames.send(&PredecessorFrame::EndRead(completion)).await
            }
            DeliveryMessage::LateEnd(completion) if self.accepted_frames.read_ends => {
                frames.send(&PredecessorFrame::LateEnd(completion)).await
            }
            // This process's own predecessor is gone, and with it the calls that were in flight there.
            DeliveryMessage::PredecessorGone => {
                let mut sent = Ok(());
                for completion in self.actor.take_lost_calls() {
                    self.call_log.completed(&completion);
                    sent = frames.send(&PredecessorFrame::CallCompleted(completion)).await;
                }
                sent
            }
            // The result of a call that was answered is forwarded once the call is complete.
            // The successor has its own endpoint list and settings, serves its own status, and replies soon even without
            // a notice that a client has stopped sending.
            // The successor has reported a message that ended unconfirmed, as it cannot wait for a confirmation.
            DeliveryMessage::CallAnswered(_)
            | DeliveryMessage::EndRead(_)
            | DeliveryMessage::LateEnd(_)
            | DeliveryMessage::EndSettled { .. }
            | DeliveryMessage::ListLine(_)
            | DeliveryMessage::ClientHalfClosed { .. }
            | DeliveryMessage::EndpointList(_)
            | DeliveryMessage::Settings(_)
            | DeliveryMessage::HandOver(_)
            | DeliveryMessage::JournalWritable
            | DeliveryMessage::DescribeStatus { .. }
            // The successor watches the fences of earlier processes itself. While it lives, nobody else needs the calls.
            | DeliveryMessage::FencedCalls { .. }
            | DeliveryMessage::FencedExpired { .. }
            | DeliveryMessage::FenceReleased { .. }
            | DeliveryMessage::WatchCalls(_)
            | DeliveryMessage::Stop => Ok(()),
        }
    }

    /// Handles a frame from the successor.
    async fn receive_frame(&mut self, frame: SuccessorFrame) -> Result<(), HandOverError> {
        match frame {
            SuccessorFrame::Reply { number, reply } => return self.reply(number, reply).await,
            SuccessorFrame::Cancel { id, attempt } => self.actor.cancel(id, attempt),
            SuccessorFrame::AdminDone { number, result } => {
                if let Some(reply) = self.admin_replies.remove(&number) {
                    // Sending fails if the operator has disconnected; nobody needs the result then.
                    let _ = reply.try_send(result);
                }
            }
            SuccessorFrame::ReadyToOwn => {}
        }
        Ok(())
    }

    /// Passes the successor's reply to the client. If the client has disconnected, an accepted message is withdrawn.
    async fn reply(&mut self, number: u64, reply: SubmitReply) -> Result<(), HandOverError> {
        let Some(client) = self.replies.remove(&number) else { return Ok(()) };
        let replied = client.try_send(reply);
        match reply {
            SubmitReply::Accepted(id) if replied.is_err() => {
                self.link.frames.send(&PredecessorFrame::Withdrawn { id }).await
            }
            _ => Ok(()),
        }
    }
}
