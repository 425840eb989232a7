//! Submits a client's message to the delivery actor and waits for its decision, for as long as the client is there.

use super::close::{CloseReason, ConnectionEnd};
use super::connection::ClientConnection;
use super::response::Response;
use crate::net::in_flight::Request;
use crate::net::messages::{DeliveryMessage, SubmitReply, DEFAULT_RETRY_AFTER};
use crate::MessageId;
use async_channel::Receiver;
use futures_lite::future;
use std::cell::Cell;

/// What ended the wait for the decision on a message.
enum WaitEnd {
    /// It was made, or nobody is there to make it.
    Decided(Option<SubmitReply>),
    /// The client has ended its sending; it may still read.
    EndedSending,
    /// The connection broke.
    Disconnected,
}

/// How the wait for the decision on a message went.
struct Wait {
    end: WaitEnd,
    /// More was received before the response.
    is_pipelined: bool,
}

impl ClientConnection {
    /// Submits a message. A client that goes meanwhile withdraws its message.
    pub(super) async fn submit(&mut self, request: Request) -> Result<Response, ConnectionEnd> {
        let (reply, decision) = async_channel::bounded(1);
        if self.context.delivery.send(DeliveryMessage::Submit { request, reply }).await.is_err() {
            return Ok(Response::service_unavailable(DEFAULT_RETRY_AFTER));
        }
        let Wait { end, is_pipelined } = self.wait_for(&decision).await;
        // From here on no reply can be sent that nobody reads: it is here, or the delivery actor finds the channel closed.
        decision.close();
        let reply = match end {
            WaitEnd::Decided(reply) => reply,
            WaitEnd::EndedSending | WaitEnd::Disconnected => decision.try_recv().ok(),
        };
        let is_lost = matches!(end, WaitEnd::Disconnected) || is_pipelined;
        if let Some(SubmitReply::Accepted(id)) = reply.filter(|_| is_lost) {
            self.withdraw(id).await;
        }
        match end {
            WaitEnd::Disconnected => Err(ConnectionEnd::Disconnected(CloseReason::ClientGone)),
            _ if is_pipelined => Err(self.reject_pipelined().await),
            // It may still read: undecided, its message is withdrawn, and the response says that it was not accepted.
            WaitEnd::EndedSending if reply.is_none() => {
                self.context.counters.unavailable.add();
                let response = Response::service_unavailable(DEFAULT_RETRY_AFTER);
                Err(self.close_with(&response, CloseReason::ClientGone).await)
            }
            WaitEnd::EndedSending | WaitEnd::Decided(_) => Ok(self.response_to(reply)),
        }
    }

    /// Waits for the decision, or the client's end.
    async fn wait_for(&mut self, decision: &Receiver<SubmitReply>) -> Wait {
        let is_pipelined = Cell::new(false);
        let decided = async { WaitEnd::Decided(decision.recv().await.ok()) };
        let interrupted = async {
            match self.connection.fill().await {
                Ok(0) => WaitEnd::EndedSending,
                Ok(_) => {
                    is_pipelined.set(true);
                    future::pending().await
                }
                Err(_) => WaitEnd::Disconnected,
            }
        };
        // Polled first, so that a client that went as the decision was made is not counted as notified.
        let end = future::or(interrupted, decided).await;
        Wait { end, is_pipelined: is_pipelined.get() }
    }

    fn response_to(&self, reply: Option<SubmitReply>) -> Response {
        match reply {
            Some(SubmitReply::Accepted(id)) => Response::accepted(id),
            Some(SubmitReply::Unavailable(retry_after)) => Response::service_unavailable(retry_after),
            Some(SubmitReply::Failed) => Response::plain(500, "failed\n"),
            Some(SubmitReply::DuplicateId) => {
                self.context.counters.bad_requests.add();
                Response::plain(409, "a message of that id is not over yet\n")
            }
            None => Response::service_unavailable(DEFAULT_RETRY_AFTER),
        }
    }

    /// Withdraws an accepted message of which the client may not have been notified.
    pub(super) async fn withdraw(&self, id: MessageId) {
        // The delivery actor ends only with the process, which restores the message from the journal.
        let _ = self.context.delivery.send(DeliveryMessage::Withdrawn { id }).await;
    }
}
