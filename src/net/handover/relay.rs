//! What a predecessor forwards to its successor, and the replies that come back.

use super::frames::{PredecessorFrame, SuccessorFrame};
use super::link::{HandOverError, Link};
use crate::net::delivery::DeliveryActor;
use crate::net::messages::{AdminError, DeliveryMessage, ListLine, SubmitReply};
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::collections::BTreeMap;

/// Forwards the messages of the delivery actor's mailbox.
pub(super) struct Relay<'a> {
    actor: &'a mut DeliveryActor,
    link: Link,
    accepts_list_lines: bool,
    /// Counts what was received, and so numbers the requests.
    last_number: u64,
    replies: BTreeMap<u64, Sender<SubmitReply>>,
    admin_replies: BTreeMap<u64, Sender<Result<(), AdminError>>>,
}

/// Clients whose messages a successor may have accepted that is gone. While this is kept they get no response, as from a process that
/// died: a rejection would be wrong where the next process finds their messages in the journal.
pub(super) struct UnansweredClients {
    _replies: Vec<Sender<SubmitReply>>,
}

enum Received {
    Message(DeliveryMessage),
    Frame(SuccessorFrame),
}

impl<'a> Relay<'a> {
    /// A relay to the successor at the other end of the link.
    pub fn new(actor: &'a mut DeliveryActor, link: Link, accepts_list_lines: bool) -> Self {
        Relay {
            actor,
            link,
            accepts_list_lines,
            last_number: 0,
            replies: BTreeMap::new(),
            admin_replies: BTreeMap::new(),
        }
    }

    /// Forwards up to the end of the connection. Returns where the clients wait whose messages were forwarded without a reply.
    pub async fn run(mut self, mail: &Receiver<DeliveryMessage>) -> UnansweredClients {
        while let Some(received) = self.receive(mail).await {
            self.last_number += 1;
            let forwarded = match received {
                Received::Message(message) => self.forward(message).await,
                Received::Frame(frame) => self.receive_frame(frame).await,
            };
            if forwarded.is_err() {
                break;
            }
        }
        UnansweredClients { _replies: self.replies.into_values().collect() }
    }

    async fn receive(&mut self, mail: &Receiver<DeliveryMessage>) -> Option<Received> {
        let frame = async { self.link.read().await.ok().map(|frame| Received::Frame(frame.head)) };
        let message = async { mail.recv().await.ok().map(Received::Message) };
        future::or(frame, message).await
    }

    async fn forward(&mut self, message: DeliveryMessage) -> Result<(), HandOverError> {
        let frames = &self.link.frames;
        let number = self.last_number;
        match message {
            DeliveryMessage::Submit { request, reply } => {
                self.replies.insert(number, reply);
                let body = request.body.clone();
                frames.send_with_body(&PredecessorFrame::Submit { number, request }, &body).await
            }
            DeliveryMessage::Withdrawn { id } => frames.send(&PredecessorFrame::Withdrawn { id }).await,
            DeliveryMessage::CallCompleted(completion) => {
                frames.send(&PredecessorFrame::CallCompleted(completion)).await
            }
            DeliveryMessage::Admin { command, reply } => {
                self.admin_replies.insert(number, reply);
                frames.send(&PredecessorFrame::Admin { number, command }).await
            }
            DeliveryMessage::ListLine(line) if self.accepts_list_lines => {
                let ListLine { line, received_at, address } = line;
                frames.send_with_body(&PredecessorFrame::ListLine { received_at, address }, &line).await
            }
            // A process before this one is gone.
            DeliveryMessage::PredecessorGone => {
                let mut sent = Ok(());
                for completion in self.actor.take_lost_calls() {
                    sent = frames.send(&PredecessorFrame::CallCompleted(completion)).await;
                }
                sent
            }
            // The successor has its own list and settings, is asked for its status itself, and replies soon in any case.
            DeliveryMessage::ListLine(_)
            | DeliveryMessage::ClientHalfClosed { .. }
            | DeliveryMessage::EndpointList(_)
            | DeliveryMessage::Settings(_)
            | DeliveryMessage::HandOver(_)
            | DeliveryMessage::JournalWritable
            | DeliveryMessage::DescribeStatus { .. }
            | DeliveryMessage::Stop => Ok(()),
        }
    }

    async fn receive_frame(&mut self, frame: SuccessorFrame) -> Result<(), HandOverError> {
        match frame {
            SuccessorFrame::Reply { number, reply } => return self.reply(number, reply).await,
            SuccessorFrame::Cancel { id, attempt } => self.actor.cancel(id, attempt),
            SuccessorFrame::AdminDone { number, result } => {
                if let Some(reply) = self.admin_replies.remove(&number) {
                    // Where the operator is gone, nobody waits for the reply.
                    let _ = reply.try_send(result);
                }
            }
            SuccessorFrame::Owns => {}
        }
        Ok(())
    }

    /// Replies to a client; a message whose client is gone is withdrawn.
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
