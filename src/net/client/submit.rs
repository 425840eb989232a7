//! Submits a client's message to the delivery actor and waits for the decision on it, for as long as the client is
//! connected.

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
    /// The decision was made; `None` if the delivery actor ended without one.
    Decided(Option<SubmitReply>),
    /// The client's connection failed before the decision.
    Disconnected,
}

/// The outcome of the wait for the decision on a message.
struct WaitOutcome {
    end: WaitEnd,
    /// More bytes were received before the response.
    is_pipelined: bool,
    /// The client has closed its sending side; it may still read.
    has_ended_sending: bool,
}

impl ClientConnection {
    /// Submits a message and returns the response; an error ends the connection. The message is withdrawn if its client
    /// disconnects meanwhile.
    pub(super) async fn submit(&mut self, request: Request) -> Result<Response, ConnectionEnd> {
        let (reply, decision) = async_channel::bounded(1);
        let request_id = request.request_id.clone();
        if self.context.delivery.send(DeliveryMessage::Submit { request, reply }).await.is_err() {
            return Ok(Response::service_unavailable(DEFAULT_RETRY_AFTER));
        }
        let WaitOutcome { end, is_pipelined, has_ended_sending } = self.wait_for(&decision, request_id).await;
        // From here on sending a reply fails, so the delivery actor knows that nobody reads it. An earlier reply is still in
        // the channel.
        decision.close();
        let reply = match end {
            WaitEnd::Decided(reply) => reply,
            WaitEnd::Disconnected => decision.try_recv().ok(),
        };
        let is_accepted = matches!(reply, Some(SubmitReply::Accepted(_)));
        let gets_no_acceptance = matches!(end, WaitEnd::Disconnected) || is_pipelined;
        if let Some(SubmitReply::Accepted(id)) = reply.filter(|_| gets_no_acceptance) {
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

    /// Waits for the decision or the end of the connection. A client that has closed its sending side may still read: the
    /// delivery actor is notified, withdraws the message if it is undecided, and replies at once.
    async fn wait_for(&mut self, decision: &Receiver<SubmitReply>, request_id: String) -> WaitOutcome {
        let (is_pipelined, has_ended_sending) = (Cell::new(false), Cell::new(false));
        let decided = async { WaitEnd::Decided(decision.recv().await.ok()) };
        let interrupted = async {
            match self.connection.fill().await {
                Ok(0) => {
                    has_ended_sending.set(true);
                    // Sending fails only if the delivery actor has ended, and it ends only with the process.
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
        // The connection is polled before the decision: a client that has just disconnected must not be treated as if it
        // would receive the reply.
        let end = future::or(interrupted, decided).await;
        WaitOutcome { end, is_pipelined: is_pipelined.get(), has_ended_sending: has_ended_sending.get() }
    }

    /// The response that tells a client the decision on its message.
    fn response_to(&self, reply: Option<SubmitReply>) -> Response {
        match reply {
            Some(SubmitReply::Accepted(id)) => Response::accepted(id),
            Some(SubmitReply::Unavailable(retry_after)) => Response::service_unavailable(retry_after),
            Some(SubmitReply::Failed) => Response::text(500, "failed\n"),
            Some(SubmitReply::DuplicateId) => {
                self.context.counters.bad_requests.increment();
                Response::text(409, "a message of that id is not over yet\n")
            }
            None => Response::service_unavailable(DEFAULT_RETRY_AFTER),
        }
    }

    /// Withdraws an accepted message whose client may not have received the response.
    pub(super) async fn withdraw(&self, id: MessageId) {
        // Sending fails only if the delivery actor has ended with the process; the next one restores the message from the
        // journal.
        let _ = self.context.delivery.send(DeliveryMessage::Withdrawn { id }).await;
    }
}
