//! Reads, answers and logs one operator request.

use super::perform_command;
use crate::net::client::{Response, LINGER_TIMEOUT};
use crate::net::connection_registry::{ConnectionRegistry, EvictionPriority};
use crate::net::handover::fence_watch::CALLS_TARGET;
use crate::net::http::{HttpConnection, HttpError, RequestHead};
use crate::net::messages::{AdminCommand, AdminError, DeliveryMessage, EndpointListMessage};
use crate::net::{within, Context};
use async_channel::Sender;
use futures_lite::future;
use slog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a request may take from the accept of its connection until it is complete, and how long writing its response may
/// take.
pub(super) const ADMIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// The time from the accept of a connection after which a command that is not known to be in effect is answered with 503.
/// The command may still take effect.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// The largest body of a request, in bytes. A body holds only an endpoint's id.
const MAX_BODY_BYTES: usize = 1024;
/// The target at which a successor requests the hand-over.
pub(super) const HAND_OVER_TARGET: &str = "/admin/handover";
/// The prefix of the paths of all operations of the API.
const API_ROOT: &str = "/admin/";

/// A connection from an operator or a successor, and the handles needed to serve its one request.
pub(super) struct AdminRequest {
    pub context: Rc<Context>,
    pub endpoint_list: Sender<EndpointListMessage>,
    pub registry: Rc<ConnectionRegistry>,
    pub connection: HttpConnection,
}

/// What is logged of a request.
pub(super) struct RequestSummary {
    /// The method and target; empty if the request could not be read.
    pub request: String,
    /// The code of the reason for which the connection ended.
    pub reason: &'static str,
}

impl RequestSummary {
    fn unreadable(reason: &'static str) -> Self {
        RequestSummary { request: String::new(), reason }
    }
}

impl AdminRequest {
    /// Serves the request and logs the end of its connection.
    pub async fn serve(self, address: SocketAddr) {
        let context = self.context.clone();
        let RequestSummary { request, reason } = self.read_and_answer().await;
        info!(context.log, "connection ended"; "side" => "operator", "address" => %address, "call" => request,
            "reason" => reason);
    }

    /// Reads the request, answers it and waits for the end of the connection; returns what is logged.
    async fn read_and_answer(mut self) -> RequestSummary {
        let accepted_at = Instant::now();
        let read = self.read().await;
        let (response, summary) = match read {
            Some(Ok((head, _))) if head.target == HAND_OVER_TARGET => {
                return self.serve_hand_over(&head).await;
            }
            Some(Ok((head, _))) if head.target == CALLS_TARGET => {
                return self.serve_calls(&head).await;
            }
            Some(Ok((head, body))) => {
                let request = format!("{} {}", head.method, head.target);
                let time_left = COMMAND_TIMEOUT.saturating_sub(accepted_at.elapsed());
                let response = within(time_left, self.answer(&head, &body)).await;
                let too_late = || Response::text(503, "it took too long and may yet happen\n");
                (response.unwrap_or_else(too_late), RequestSummary { request, reason: "answered" })
            }
            Some(Err(HttpError::TooLarge)) => {
                (Response::text(413, "too long\n"), RequestSummary::unreadable("too-large"))
            }
            Some(Err(HttpError::Closed)) => return RequestSummary::unreadable("operator-closed"),
            Some(Err(error)) => {
                (Response::text(400, format!("{error}\n")), RequestSummary::unreadable(error.code()))
            }
            None => {
                (Response::text(408, "the call took too long\n"), RequestSummary::unreadable("slow-request"))
            }
        };
        self.finish(&response, summary).await
    }

    /// Reads the request; `None` if it is not complete in time or its connection is evicted.
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
        future::or(evicted, within(ADMIN_REQUEST_TIMEOUT, reading)).await
    }

    /// Writes the response and gives the operator time to read it before the connection is closed.
    async fn finish(mut self, response: &Response, summary: RequestSummary) -> RequestSummary {
        let bytes = response.bytes(false);
        let written = within(ADMIN_REQUEST_TIMEOUT, self.connection.write(bytes.as_bytes())).await;
        if written.is_none_or(|written| written.is_err()) {
            return RequestSummary { reason: "operator-gone", ..summary };
        }
        self.connection.shutdown_write();
        // Closing a connection with unread data would reset it, and the response could be lost.
        let registration = self.registry.register(EvictionPriority::Lingering);
        let discarded = async {
            within(LINGER_TIMEOUT, self.connection.discard_until_end()).await;
        };
        let evicted = async {
            registration.evicted().await;
        };
        future::or(evicted, discarded).await;
        summary
    }

    /// Returns the response to a request other than one for the hand-over.
    async fn answer(&self, head: &RequestHead, body: &[u8]) -> Response {
        let path = head.target.split('?').next().unwrap_or_default();
        let Some(name) = path.strip_prefix(API_ROOT) else { return Response::text(404, "no such call\n") };
        let method = match name {
            "health" => "GET",
            "cordon" | "uncordon" | "quiesce" | "resume" => "POST",
            _ => return Response::text(404, "no such call\n"),
        };
        if head.method != method {
            return Response::text(405, format!("only with {method}\n"));
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

    /// Answers whether this process accepts clients.
    fn health(&self) -> Response {
        if self.context.lifecycle.is_handed_over() {
            return Response::text(503, "another process has taken over\n");
        }
        if self.context.accepts_clients() {
            return Response::text(200, "takes user agents\n");
        }
        if self.context.lifecycle.is_quiesced() {
            return Response::text(503, "sends user agents away\n");
        }
        Response::text(503, "not ready\n")
    }

    /// Cordons or uncordons the endpoint whose id is the body.
    async fn cordon(&self, cordoned: bool, body: &[u8]) -> Response {
        let id = std::str::from_utf8(body).map(str::trim).unwrap_or_default();
        if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Response::text(400, "the body must be the id of an endpoint\n");
        }
        let success_body = format!("{id} {}\n", if cordoned { "is left out" } else { "may serve" });
        self.execute(AdminCommand::Cordon { id: id.to_owned(), cordoned }, success_body).await
    }

    /// Performs the command in the process that makes the decisions, which after a hand-over is the successor.
    async fn execute(&self, command: AdminCommand, success_body: String) -> Response {
        let result = if self.context.lifecycle.is_handing_over() {
            let (reply, result) = async_channel::bounded(1);
            // If the delivery actor has ended, the reply is dropped, and the next line answers that the process shuts down.
            let _ = self.context.delivery.send(DeliveryMessage::Admin { command, reply }).await;
            result.recv().await.unwrap_or(Err(AdminError::ShuttingDown))
        } else {
            perform_command(&self.context, &self.endpoint_list, command).await
        };
        match result {
            Ok(()) => Response::text(200, success_body),
            Err(AdminError::UnknownEndpoint) => Response::text(404, "the list knows no such endpoint\n"),
            Err(AdminError::NotPersisted(reason)) => {
                Response::text(507, format!("it cannot be kept: {reason}\n"))
            }
            Err(AdminError::ShuttingDown) => Response::text(503, "the program is ending\n"),
        }
    }
}
