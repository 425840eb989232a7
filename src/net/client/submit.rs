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
    /// The connection broke.
    Disconnected,
}

/// How the wait for the decision on a message went.
struct Wait {
    end: WaitEnd,
    /// More was received before the response.
    is_pipelined: bool,
    /// The client has ended its sending; it may still read.
    has_ended_sending: bool,
}

impl ClientConnection {
    /// Submits a message. A client that goes meanwhile withdraws its message.
    pub(super) async fn submit(&mut self, request: Request) -> Result<Response, ConnectionEnd> {
        let (reply, decision) = async_channel::bounded(1);
        let request_id = request.request_id.clone();
        if self.context.delivery.send(DeliveryMessage::Submit { request, reply }).await.is_err() {
            return Ok(Response::service_unavailable(DEFAULT_RETRY_AFTER));
        }
        let Wait { end, is_pipelined, has_ended_sending } = self.wait_for(&decision, request_id).await;
        // From here on no reply can be sent that nobody reads: it is here, or the delivery actor finds the channel closed.
        decision.close();
        let reply = match end {
            WaitEnd::Decided(reply) => reply,
            WaitEnd::Disconnected => decision.try_recv().ok(),
        };
        let is_accepted = matches!(reply, Some(SubmitReply::Accepted(_)));
        let is_lost = matches!(end, WaitEnd::Disconnected) || is_pipelined;
        if let Some(SubmitReply::Accepted(id)) = reply.filter(|_| is_lost) {
            self.withdraw(id).await;
        }
        match end {
            WaitEnd::Disconnected => Err(ConnectionEnd::Disconnected(CloseReason::ClientGone)),
            _ if is_pipelined => Err(self.reject_pipelined().await),
            WaitEnd::Decided(_) if has_ended_sending && !is_accepted => {
                let response = self.response_to(reply);
                Err(self.close_with(&response, CloseReason::ClientGone).await)
            }
            WaitEnd::Decided(_) => Ok(self.response_to(reply)),
        }
    }

    /// Waits for the decision, or the client's end. A client that has ended its sending may still read: its message is withdrawn
    /// where it is undecided, and the delivery actor replies at once.
    async fn wait_for(&mut self, decision: &Receiver<SubmitReply>, request_id: String) -> Wait {
        let (is_pipelined, has_ended_sending) = (Cell::new(false), Cell::new(false));
        let decided = async { WaitEnd::Decided(decision.recv().await.ok()) };
        let interrupted = async {
            match self.connection.fill().await {
                Ok(0) => {
                    has_ended_sending.set(true);
                    // The delivery actor ends only with the process.
                    let _ =
                        self.context.delivery.send(DeliveryMessage::ClientHalfClosed { request_id }).await;
                    future::pending().await
                }
                Ok(_) => {
                    is_pipelined.set(true);
                    future::pending().await
                }
                Err(_) => WaitEnd::Disconnected,
            }
        };
        // Polled first, so that a client that went as the decision was made is not counted as notified.
        let end = future::or(interrupted, decided).await;
        Wait { end, is_pipelined: is_pipelined.get(), has_ended_sending: has_ended_sending.get() }
    }

    fn response_to(&self, reply: Option<SubmitReply>) -> Response {
        match reply {
            Some(SubmitReply::Accepted(id)) => Response::accepted(id),
            Some(SubmitReply::Unavailable(retry_after)) => Response::service_unavailable(retry_after),
            Some(SubmitReply::Failed) => Response::plain(500, "failed\n"),
            Some(SubmitReply::DuplicateId) => {
                self.context.counters.bad_requests.increment();
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
