//! One call of an operator: read, answered and logged.

use super::perform;
use crate::net::client::{Response, LINGER};
use crate::net::connection_registry::{ConnectionRegistry, EvictionPriority};
use crate::net::http::{HttpConnection, HttpError, RequestHead};
use crate::net::messages::{AdminCommand, AdminError, DeliveryMessage, EndpointListMessage};
use crate::net::{within, Context};
use async_channel::Sender;
use futures_lite::future;
use slog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A call must be complete so long after its connection was accepted, and its response be written within as long.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// What a call commands must hold so long after its connection was accepted, or the response is 503.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// The longest body of a call, in bytes: an id.
const MAX_BODY_BYTES: usize = 1024;
/// Where a successor asks.
pub(super) const HAND_OVER_TARGET: &str = "/admin/handover";
const PREFIX: &str = "/admin/";

/// A call on its connection.
pub(super) struct Call {
    pub context: Rc<Context>,
    pub endpoint_list: Sender<EndpointListMessage>,
    pub registry: Rc<ConnectionRegistry>,
    pub connection: HttpConnection,
}

/// A call, for the log.
pub(super) struct CallSummary {
    /// Its method and target; empty if it could not be read.
    pub call: String,
    /// Why its connection ends, as a code.
    pub reason: &'static str,
}

impl CallSummary {
    fn unreadable(reason: &'static str) -> Self {
        CallSummary { call: String::new(), reason }
    }
}

impl Call {
    /// Serves the call and logs the end of its connection.
    pub async fn serve(self, address: SocketAddr) {
        let context = self.context.clone();
        let CallSummary { call, reason } = self.read_and_answer().await;
        info!(context.log, "connection ended"; "side" => "operator", "address" => %address, "call" => call,
            "reason" => reason);
    }

    async fn read_and_answer(mut self) -> CallSummary {
        let accepted_at = Instant::now();
        let read = self.read().await;
        let (response, summary) = match read {
            Some(Ok((head, _))) if head.target == HAND_OVER_TARGET => {
                return self.serve_hand_over(&head).await;
            }
            Some(Ok((head, body))) => {
                let call = format!("{} {}", head.method, head.target);
                let time_left = COMMAND_TIMEOUT.saturating_sub(accepted_at.elapsed());
                let response = within(time_left, self.answer(&head, &body)).await;
                let too_late = || Response::plain(503, "it took too long and may yet happen\n");
                (response.unwrap_or_else(too_late), CallSummary { call, reason: "answered" })
            }
            Some(Err(HttpError::TooLarge)) => {
                (Response::plain(413, "too long\n"), CallSummary::unreadable("too-large"))
            }
            Some(Err(HttpError::Closed)) => return CallSummary::unreadable("operator-closed"),
            Some(Err(error)) => {
                (Response::plain(400, format!("{error}\n")), CallSummary::unreadable(error.code()))
            }
            None => {
                (Response::plain(408, "the call took too long\n"), CallSummary::unreadable("slow-request"))
            }
        };
        self.finish(&response, summary).await
    }

    /// Reads the call; `None` if it is not complete in time or its connection is evicted.
    async fn read(&mut self) -> Option<Result<(RequestHead, Vec<u8>), HttpError>> {
        let registration = self.registry.register(EvictionPriority::Reading);
        let reading = async {
            let head = self.connection.read_request().await?;
            let body = self.connection.request_body(&head, MAX_BODY_BYTES).await?;
            Ok((head, body))
        };
        let evicted = async {
            registration.evicted().await;
            None
        };
        future::or(evicted, within(CALL_TIMEOUT, reading)).await
    }

    /// Writes the response and lets the operator read it before the connection is closed.
    async fn finish(mut self, response: &Response, summary: CallSummary) -> CallSummary {
        let bytes = response.bytes(false);
        let written = within(CALL_TIMEOUT, self.connection.write(bytes.as_bytes())).await;
        if written.is_none_or(|written| written.is_err()) {
            return CallSummary { reason: "operator-gone", ..summary };
        }
        self.connection.shutdown_write();
        // Closing on what is still received would reset the connection, and the response could be lost with it.
        let registration = self.registry.register(EvictionPriority::Lingering);
        let discarded = async {
            within(LINGER, self.connection.discard_until_end()).await;
        };
        future::or(registration.evicted(), discarded).await;
        summary
    }

    async fn answer(&self, head: &RequestHead, body: &[u8]) -> Response {
        let path = head.target.split('?').next().unwrap_or_default();
        let Some(name) = path.strip_prefix(PREFIX) else { return Response::plain(404, "no such call\n") };
        let method = match name {
            "health" => "GET",
            "cordon" | "uncordon" | "quiesce" | "resume" => "POST",
            _ => return Response::plain(404, "no such call\n"),
        };
        if head.method != method {
            return Response::plain(405, format!("only with {method}\n"));
        }
        match name {
            "health" => self.health(),
            "quiesce" | "resume" => {
                let command = AdminCommand::Quiesce(name == "quiesce");
                self.execute(command, format!("{name}: it holds\n")).await
            }
            _ => self.cordon(name == "cordon", body).await,
        }
    }

    fn health(&self) -> Response {
        if self.context.lifecycle.is_handed_over() {
            return Response::plain(503, "another process has taken over\n");
        }
        if self.context.accepts_clients() {
            return Response::plain(200, "takes user agents\n");
        }
        if self.context.lifecycle.is_quiesced() {
            return Response::plain(503, "sends user agents away\n");
        }
        Response::plain(503, "not ready\n")
    }

    async fn cordon(&self, cordoned: bool, body: &[u8]) -> Response {
        let id = std::str::from_utf8(body).map(str::trim).unwrap_or_default();
        if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Response::plain(400, "the body must be the id of an endpoint\n");
        }
        let done = format!("{id} {}\n", if cordoned { "is left out" } else { "may serve" });
        self.execute(AdminCommand::Cordon { id: id.to_owned(), cordoned }, done).await
    }

    /// Has the command done by the process that decides.
    async fn execute(&self, command: AdminCommand, done: String) -> Response {
        let result = if self.context.lifecycle.is_handing_over() {
            let (reply, result) = async_channel::bounded(1);
            // Without the delivery actor the reply is dropped, which the next line sees.
            let _ = self.context.delivery.send(DeliveryMessage::Admin { command, reply }).await;
            result.recv().await.unwrap_or(Err(AdminError::ShuttingDown))
        } else {
            perform(&self.context, &self.endpoint_list, command).await
        };
        match result {
            Ok(()) => Response::plain(200, done),
            Err(AdminError::UnknownEndpoint) => Response::plain(404, "the list knows no such endpoint\n"),
            Err(AdminError::NotPersisted(why)) => Response::plain(507, format!("it cannot be kept: {why}\n")),
            Err(AdminError::ShuttingDown) => Response::plain(503, "the program is ending\n"),
        }
    }
}
