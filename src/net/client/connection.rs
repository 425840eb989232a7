//! One client's connection, whose requests are served one after another until one side ends it.

use super::close::{CloseReason, ConnectionEnd};
use super::request;
use super::response::{Response, ResponseParts};
use crate::invariants::Rejection;
use crate::net::config::MAX_BODY_BYTES;
use crate::net::connection_registry::{Eviction, EvictionPriority, Registration};
use crate::net::http::{HttpConnection, HttpError, RequestHead};
use crate::net::in_flight::Request;
use crate::net::message_body::MessageBody;
use crate::net::messages::{DeliveryMessage, StatusReport, DEFAULT_RETRY_AFTER};
use crate::net::receive_bounds::ReceiveBounds;
use crate::net::runtime::lifecycle::Lifecycle;
use crate::net::Context;
use crate::settings_json::Names;
use crate::Micros;
use async_io::{Async, Timer};
use futures_lite::future;
use serde_json::value::{to_raw_value, RawValue};
use slog::info;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time from a response to the closing of a connection on which no further request has begun.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a request may take from its first byte until it is complete. For a client's first request the time begins when
/// the client connects: a silent client must get an error, or the end of its connection, within 3 s of connecting.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long writing a response may take.
const WRITE_TIMEOUT: Duration = REQUEST_TIMEOUT;
/// How long to read and discard what a client still sends after its last response. Closing a connection with unread data
/// would reset it, and the response could be lost.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);
/// A new client has at least this time for its first request after its connection was accepted, and again after the shutdown
/// begins if it has sent none by then. It is the same time as [`CLIENT_TIMEOUT_US`].
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);
/// The time from a quiesce to the closing of connections on which no request is being received or answered.
const QUIESCE_GRACE: Duration = Duration::from_millis(1000);
/// The time from the signal that begins the shutdown to the closing of connections on which no request is being received or
/// answered, if a successor has taken over.
const HANDED_OVER_GRACE: Duration = Duration::from_millis(1800);
/// How long the platform's clients wait for a response before they close the connection, in microseconds. Bytes that are
/// read from an open connection were therefore sent at most this long ago.
const CLIENT_TIMEOUT_US: Micros = 400_000;
/// A request that may have been sent longer ago than this, in microseconds, is logged.
const LOGGED_AGE_US: Micros = 50_000;
/// The `Retry-After` of the 503 to a message whose destination has never been in the endpoint list, in microseconds.
const UNKNOWN_DESTINATION_RETRY_AFTER_US: Micros = 1_000_000;

/// A request that was received completely.
struct ReceivedRequest {
    head: RequestHead,
    body: MessageBody,
    /// The earliest time at which the client may have sent the last byte, in microseconds of the monotonic clock.
    earliest_sent_at: Micros,
    /// Whether the client has closed its sending side after the request.
    has_ended_sending: bool,
}

/// Why a request is not awaited until it is complete.
enum Interruption {
    /// It took too long.
    TimedOut,
    /// Its connection was evicted.
    Evicted(Eviction),
    /// The delivery policy makes no more decisions in the shutdown.
    DecisionsStopped,
}

/// A connection that was accepted and is not served yet.
pub(super) struct AcceptedConnection {
    pub(super) stream: Async<TcpStream>,
    pub(super) address: SocketAddr,
    /// The earliest time from which it may have waited to be accepted, in microseconds of the monotonic clock.
    pub(super) waiting_since: Micros,
}

/// A client's connection while it is served.
pub(super) struct ClientConnection {
    pub(super) context: Rc<Context>,
    names: Arc<Names>,
    pub(super) connection: HttpConnection,
    /// The earliest time from which it may have waited to be accepted, in microseconds of the monotonic clock.
    waiting_since: Micros,
}

/// Serves a connection until it ends, and logs why it ended.
pub(super) async fn serve(context: Rc<Context>, accepted: AcceptedConnection) {
    let AcceptedConnection { stream, address, waiting_since } = accepted;
    let names = context.config().names.clone();
    let mut connection = HttpConnection::new(stream);
    connection.bounds = Some(ReceiveBounds::new(context.request_memory.clone()).into());
    let mut client = ClientConnection { context: context.clone(), names, connection, waiting_since };
    let Err(end) = client.serve_requests().await;
    let unfinished_bytes = client.connection.buffer.bytes().len();
    let reason = match end {
        ConnectionEnd::Disconnected(reason) => reason,
        ConnectionEnd::Closed(reason) => {
            client.linger().await;
            reason
        }
    };
    context.gauges.client_connections.decrement();
    info!(context.log, "connection ended"; "unfinished_bytes" => unfinished_bytes, "side" => "client",
        "address" => %address, "reason" => reason.code());
}

impl ClientConnection {
    /// Serves one request after another; the error says how the connection ended.
    async fn serve_requests(&mut self) -> Result<Infallible, ConnectionEnd> {
        let first_request_due = self.first_request_due();
        self.await_first_request(first_request_due).await?;
        let mut request_due = first_request_due;
        loop {
            let request = self.receive_request(request_due).await?;
            self.respond(request).await?;
            self.await_request(EvictionPriority::Idle, Instant::now() + IDLE_TIMEOUT).await?;
            request_due = Instant::now() + REQUEST_TIMEOUT;
        }
    }

    /// When a new client's first request must be complete. The time counts from when the client connected, not from the
    /// request's first byte, so that a silent connection is closed soon. A connection that was accepted late still has
    /// [`FIRST_REQUEST_GRACE`] from now on, so that a request that waits on it is read.
    fn first_request_due(&self) -> Instant {
        let connected = self.context.clock.instant_at(self.waiting_since);
        (connected + REQUEST_TIMEOUT).max(Instant::now() + FIRST_REQUEST_GRACE)
    }

    /// Waits for a new client's first request. If the connection is closed instead, a 503 is written first: a request may be
    /// on its way, and its client needs a response to know that the message was not accepted.
    async fn await_first_request(&mut self, until: Instant) -> Result<(), ConnectionEnd> {
        match self.await_request(EvictionPriority::NoRequestYet, until).await {
            Err(ConnectionEnd::Closed(reason)) => {
                let response = Response::service_unavailable(DEFAULT_RETRY_AFTER);
                Err(self.close_with(&response, reason).await)
            }
            result => result,
        }
    }

    /// Returns once the first bytes of a request were received. If a timeout, an eviction, a quiesce or a shutdown comes
    /// first, the connection is to be closed, and the error says why.
    async fn await_request(
        &mut self,
        priority: EvictionPriority,
        until: Instant,
    ) -> Result<(), ConnectionEnd> {
        let is_new = priority == EvictionPriority::NoRequestYet;
        let registration = self.context.request_memory.registry.register(priority);
        let shutdown = async {
            until_shutdown_grace_ends(&self.context.lifecycle, is_new).await;
            Err(ConnectionEnd::Closed(CloseReason::ShuttingDown))
        };
        let expired = async {
            Timer::at(until).await;
            Err(ConnectionEnd::Closed(if is_new { CloseReason::Silent } else { CloseReason::Idle }))
        };
        let evicted = async {
            until_evicted(&self.context, &registration, priority).await;
            Err(ConnectionEnd::Closed(CloseReason::Evicted))
        };
        let quiesced = async {
            self.context.lifecycle.until_quiesced().await;
            Timer::after(QUIESCE_GRACE).await;
            Err(ConnectionEnd::Closed(CloseReason::Quiesced))
        };
        let received = async {
            match self.connection.fill().await {
                Ok(0) => Err(ConnectionEnd::Disconnected(CloseReason::ClientClosed)),
                Ok(_) => Ok(()),
                Err(_) => Err(ConnectionEnd::Disconnected(CloseReason::ClientReset)),
            }
        };
        future::or(received, future::or(shutdown, future::or(expired, future::or(evicted, quiesced)))).await
    }

    /// Receives the request that has begun; one that cannot be read is answered with an error and ends the connection.
    async fn receive_request(&mut self, due: Instant) -> Result<ReceivedRequest, ConnectionEnd> {
        let received = self.read_before(due).await;
        let request_memory = self.connection.bounds.as_mut().map(|bounds| bounds.end_request());
        let (head, body) = match received {
            Ok(Ok(request)) => request,
            Ok(Err(error)) => return Err(self.reject_unreadable(error).await),
            Err(interruption) => return Err(self.reject_incomplete(interruption).await),
        };
        let body = match request_memory {
            Some(permit) => MessageBody::received(body, permit),
            None => body.into(),
        };
        let earliest_sent_at = self.earliest_sent_at();
        // Bytes that follow a request before its response may be the rest of a body whose length is wrong, or a request
        // smuggled in it. Nothing of either may be forwarded.
        let polled_fill = future::poll_once(self.connection.fill()).await;
        if !self.connection.buffer.bytes().is_empty() {
            return Err(self.reject_pipelined().await);
        }
        Ok(ReceivedRequest { head, body, earliest_sent_at, has_ended_sending: polled_fill.is_some() })
    }

    /// The earliest time at which the client may have sent the last byte that was read, in microseconds of the monotonic
    /// clock. That byte was sent after the socket was last found empty, or, if it never was, after the connection began to
    /// wait to be accepted.
    fn earliest_sent_at(&self) -> Micros {
        let now = self.context.clock.now();
        let earliest_arrival = match self.connection.last_empty() {
            Some(last_empty) => {
                self.context.clock.time_of(last_empty).max(self.context.stall_detector.earliest_arrival(now))
            }
            None => self.waiting_since,
        };
        earliest_arrival.max(now.saturating_sub(CLIENT_TIMEOUT_US))
    }

    /// Reads the request that has begun. The outer error says why it was not awaited until it was complete.
    async fn read_before(
        &mut self,
        due: Instant,
    ) -> Result<Result<(RequestHead, Vec<u8>), HttpError>, Interruption> {
        let held = self.connection.bounds.as_ref().map(|bounds| bounds.held()).unwrap_or_default();
        let registration = self.context.request_memory.registry.register_request(held);
        let expired = async {
            Timer::at(due).await;
            Err(Interruption::TimedOut)
        };
        let evicted = async {
            let eviction = until_evicted(&self.context, &registration, EvictionPriority::Reading).await;
            Err(Interruption::Evicted(eviction))
        };
        let stopped = async {
            self.context.lifecycle.until_delivery_stopped().await;
            Err(Interruption::DecisionsStopped)
        };
        let read = async { Ok(read_request(&mut self.connection).await) };
        future::or(read, future::or(expired, future::or(evicted, stopped))).await
    }

    /// Ends the connection on which a request was not awaited until it was complete.
    async fn reject_incomplete(&mut self, interruption: Interruption) -> ConnectionEnd {
        match interruption {
            Interruption::DecisionsStopped => self.reject_partial().await,
            Interruption::Evicted(Eviction::MemoryLimit) => {
                self.context.counters.unavailable.increment();
                let response = Response::service_unavailable(DEFAULT_RETRY_AFTER);
                self.close_with(&response, CloseReason::MemoryLimit).await
            }
            Interruption::TimedOut | Interruption::Evicted(Eviction::ConnectionLimit) => {
                self.reject(408, "the request took too long", CloseReason::SlowRequest).await
            }
        }
    }

    /// Answers a request and writes the response; an error ends the connection. An accepted message is withdrawn if the
    /// response cannot be written.
    async fn respond(&mut self, request: ReceivedRequest) -> Result<(), ConnectionEnd> {
        let request_keeps_alive = request.head.keep_alive;
        let response = self.answer(request).await?;
        let is_shutting_down = self.context.lifecycle.is_shutting_down();
        let keep_alive =
            request_keeps_alive && !is_shutting_down && !self.context.closes_connections_after_response();
        if self.send(&response, keep_alive).await.is_err() {
            if let Some(id) = response.accepted {
                self.withdraw(id).await;
            }
            return Err(ConnectionEnd::Disconnected(CloseReason::ClientGone));
        }
        if keep_alive {
            return Ok(());
        }
        // Checked again, because the shutdown may have begun while the response was written.
        let reason = if self.context.lifecycle.is_shutting_down() {
            CloseReason::ShuttingDown
        } else if self.context.closes_connections_after_response() {
            CloseReason::Quiesced
        } else {
            CloseReason::Answered
        };
        Err(ConnectionEnd::Closed(reason))
    }

    /// Returns the response to a request; an error ends the connection.
    async fn answer(&mut self, request: ReceivedRequest) -> Result<Response, ConnectionEnd> {
        let target = request.head.target.as_str();
        let path = target.split('?').next().unwrap_or_default();
        match (request.head.method.as_str(), path) {
            ("GET", "/_health") if self.context.accepts_clients() => Ok(Response::text(200, "ready\n")),
            ("GET", "/_health") => Ok(Response::text(503, "not ready\n")),
            ("GET", "/_counters") if target.ends_with("?by=partner") => {
                Ok(self.report_by_destination().await)
            }
            ("GET", "/_counters") => Ok(Response::text(200, format!("{}\n", self.context.report()))),
            ("POST", "/api") => self.answer_message(request).await,
            (_, "/api" | "/_health" | "/_counters") => Ok(Response::text(405, "not with this method\n")),
            _ => Ok(Response::text(404, "nothing here\n")),
        }
    }

    /// The counters together with the status of each destination and tenant.
    async fn report_by_destination(&self) -> Response {
        let (reply, status) = async_channel::bounded(1);
        // If the delivery actor has ended or handed over, the reply is dropped, and the report is that of the counters alone.
        let _ = self.context.delivery.send(DeliveryMessage::DescribeStatus { reply }).await;
        let Ok(status) = status.recv().await else {
            return Response::text(200, format!("{}\n", self.context.report()));
        };
        match status {
            Ok(status) => self.response_with_status(status),
            Err(error) => {
                info!(self.context.log, "request rejected with 503"; "reason" => %error);
                self.context.counters.count_shed_response();
                Response::service_unavailable(DEFAULT_RETRY_AFTER)
            }
        }
    }

    fn response_with_status(&self, status: StatusReport) -> Response {
        let StatusReport { destinations, tenants, memory } = status;
        let report = self.context.report();
        let mut fields: BTreeMap<&str, Box<RawValue>> = BTreeMap::new();
        for (name, value) in report.as_object().into_iter().flatten() {
            fields.insert(name, to_raw_value(value).unwrap_or_default());
        }
        fields.insert("channels", tenants);
        fields.insert("partners", destinations);
        let mut body = serde_json::to_string(&fields).unwrap_or_default();
        body.push('\n');
        Response::text(200, body).with_memory(memory)
    }

    /// Reads a message from its request and submits it; returns the response to its client.
    async fn answer_message(&mut self, received: ReceivedRequest) -> Result<Response, ConnectionEnd> {
        let ReceivedRequest { head, body, earliest_sent_at, has_ended_sending } = received;
        let config = self.context.config();
        let read = request::read_message(&head, body, earliest_sent_at, &self.names, &config);
        drop(config);
        let request = match read {
            Ok(request) => request,
            Err(error) => {
                self.context.counters.bad_requests.increment();
                info!(self.context.log, "request rejected with 400"; "reason" => %error);
                return Ok(Response::text(400, format!("{error}\n")));
            }
        };
        self.log_age(&request, earliest_sent_at);
        if has_ended_sending {
            // `ClientGone` also stands for a client that has closed only its sending side. It may still read: the response
            // tells it that the message was not accepted.
            self.context.counters.unavailable.increment();
            self.context.record_rejection(&request.request_id, Rejection::ClientGone);
            let response = Response::service_unavailable(DEFAULT_RETRY_AFTER);
            return Err(self.close_with(&response, CloseReason::ClientGone).await);
        }
        if !self.context.endpoint_table.has_destination(request.destination) {
            self.context.counters.unavailable.increment();
            self.context.record_rejection(&request.request_id, Rejection::UnknownDestination);
            info!(self.context.log, "message rejected: its destination was never in the endpoint list";
                "destination" => request.destination.0);
            return Ok(Response::service_unavailable(UNKNOWN_DESTINATION_RETRY_AFTER_US));
        }
        self.submit(request).await
    }

    /// Logs a request that may have waited in the socket buffer for longer than [`LOGGED_AGE_US`].
    fn log_age(&self, request: &Request, earliest_sent_at: Micros) {
        let age = self.context.clock.now().saturating_sub(earliest_sent_at);
        if age > LOGGED_AGE_US {
            info!(self.context.log, "request may have waited unread"; "id" => &request.request_id,
                "at_most_ms" => age / 1000);
        }
    }

    /// Ends the connection after an error in reading a request, with a response if one can still be written.
    async fn reject_unreadable(&mut self, error: HttpError) -> ConnectionEnd {
        let (status, reason) = match error {
            HttpError::Malformed(_) => (400, CloseReason::Malformed),
            HttpError::TooLarge => (413, CloseReason::TooLarge),
            HttpError::Closed | HttpError::UnexpectedEnd | HttpError::TimedOut => {
                (400, CloseReason::TornRequest)
            }
            HttpError::Socket(_) | HttpError::OutOfMemory | HttpError::TooManyResponses => {
                return ConnectionEnd::Disconnected(CloseReason::TornRequest)
            }
        };
        self.reject(status, &error.to_string(), reason).await
    }

    /// Ends the connection because the client sent more bytes after its request, before the response.
    pub(super) async fn reject_pipelined(&mut self) -> ConnectionEnd {
        self.reject(400, "more than a request came before its answer", CloseReason::Pipelined).await
    }

    /// Rejects a request that is not complete when the delivery policy stops making decisions in the shutdown.
    async fn reject_partial(&mut self) -> ConnectionEnd {
        self.context.counters.unavailable.increment();
        self.close_with(&Response::service_unavailable(DEFAULT_RETRY_AFTER), CloseReason::ShuttingDown).await
    }

    /// Increments the counter of bad requests and ends the connection with an error response.
    async fn reject(&mut self, status: u16, explanation: &str, reason: CloseReason) -> ConnectionEnd {
        self.context.counters.bad_requests.increment();
        self.close_with(&Response::text(status, format!("{explanation}\n")), reason).await
    }

    /// Writes a last response and ends the connection.
    pub(super) async fn close_with(&mut self, response: &Response, reason: CloseReason) -> ConnectionEnd {
        match self.send(response, false).await {
            Ok(()) => ConnectionEnd::Closed(reason),
            Err(_) => ConnectionEnd::Disconnected(reason),
        }
    }

    /// Writes a response within [`WRITE_TIMEOUT`].
    async fn send(&mut self, response: &Response, keep_alive: bool) -> io::Result<()> {
        let expired = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let ResponseParts { first, second } = response.parts(keep_alive);
        let written = async {
            self.connection.write(first.as_bytes()).await?;
            self.connection.write(second.as_bytes()).await
        };
        future::or(written, expired).await
    }

    /// Closes the sending side, then discards what is still received until the client ends the connection,
    /// [`LINGER_TIMEOUT`] is over, or the connection is evicted.
    async fn linger(&mut self) {
        let registration = self.context.request_memory.registry.register(EvictionPriority::Lingering);
        self.connection.shutdown_write();
        let expired = async {
            Timer::after(LINGER_TIMEOUT).await;
        };
        let evicted = until_evicted(&self.context, &registration, EvictionPriority::Lingering);
        let evicted = async {
            evicted.await;
        };
        let ended = future::or(expired, evicted);
        future::or(ended, self.connection.discard_until_end()).await;
    }
}

/// Returns once a connection in this state is evicted, and counts it.
async fn until_evicted(
    context: &Context,
    registration: &Registration,
    priority: EvictionPriority,
) -> Eviction {
    let eviction = registration.evicted().await;
    context.counters.count_eviction(priority, eviction);
    eviction
}

/// Returns when a connection on which no request has begun must be closed because of the shutdown. `is_new`: its client has
/// not sent a request yet.
async fn until_shutdown_grace_ends(lifecycle: &Lifecycle, is_new: bool) {
    lifecycle.until_shutdown().await;
    if lifecycle.is_handed_over() {
        // Clients can reconnect to the successor: a response within this time tells them to close the connection.
        Timer::after(HANDED_OVER_GRACE).await;
    } else if is_new {
        // A new client's first request may be on its way. It must be read, as the client may not send it a second time
        // without a response to the first.
        let grace_ended = async {
            Timer::after(FIRST_REQUEST_GRACE).await;
        };
        future::or(lifecycle.until_delivery_stopped(), grace_ended).await;
    }
}

/// Reads a request. If the client waits for `100 Continue` before it sends the body, that is written first.
async fn read_request(connection: &mut HttpConnection) -> Result<(RequestHead, Vec<u8>), HttpError> {
    let head = connection.read_request().await?;
    if head.headers.expects_continue() && !head.is_longer_than(MAX_BODY_BYTES) {
        connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = connection.request_body(&head, MAX_BODY_BYTES).await?;
    Ok((head, body))
}
