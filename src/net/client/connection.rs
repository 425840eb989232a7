//! One client's connection: it is served request after request until one side ends it.

use super::close::{CloseReason, ConnectionEnd};
use super::request;
use super::response::Response;
use crate::invariants::Rejection;
use crate::net::config::MAX_BODY_BYTES;
use crate::net::connection_registry::{ConnectionRegistry, EvictionPriority};
use crate::net::http::{HttpConnection, HttpError, RequestHead};
use crate::net::in_flight::Request;
use crate::net::messages::{DeliveryMessage, DEFAULT_RETRY_AFTER};
use crate::net::runtime::lifecycle::Lifecycle;
use crate::net::Context;
use crate::settings_json::Names;
use crate::Micros;
use async_io::{Async, Timer};
use futures_lite::future;
use serde_json::Value;
use slog::info;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A client may leave its connection unused for so long once it has been served.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A request must be complete so long after its first byte; the first one after its client connected.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// A response must be written within this.
const WRITE_TIMEOUT: Duration = REQUEST_TIMEOUT;
/// What a client still sends after its last response is discarded for so long: closing on it would reset the connection,
/// and the response could be lost with it.
pub const LINGER: Duration = Duration::from_millis(1000);
/// A client that was just accepted, or has not yet sent its first request as the program ends, has at least so long for it; the
/// platform's clients wait that long for a response.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);
/// While clients are quiesced, one that has no request under way may stay for so long.
const QUIESCE_GRACE: Duration = Duration::from_millis(1000);
/// Where a successor has taken over, a connection between requests is closed so long after the signal.
const HANDED_OVER_GRACE: Duration = Duration::from_millis(1800);
/// A client waits so long for its response and then ends its connection: what is read is no older.
const CLIENT_TIMEOUT_US: Micros = 400_000;
/// A request that may be older than this is logged.
const LOGGED_AGE_US: Micros = 50_000;
/// When a message for a destination that no version of the list has named may be sent again.
const UNKNOWN_DESTINATION_RETRY_AFTER_US: Micros = 1_000_000;

/// A request that was received completely.
struct ReceivedRequest {
    head: RequestHead,
    body: Vec<u8>,
    /// The earliest time at which the client may have sent its last byte.
    sent_at: Micros,
    /// The client has ended its sending with it.
    ended_sending: bool,
}

/// A connection that was accepted.
pub(super) struct AcceptedConnection {
    pub(super) stream: Async<TcpStream>,
    pub(super) address: SocketAddr,
    /// The earliest time since which it may have waited to be accepted.
    pub(super) waiting_since: Micros,
}

/// A client's connection.
pub(super) struct ClientConnection {
    pub(super) context: Rc<Context>,
    names: Arc<Names>,
    registry: Rc<ConnectionRegistry>,
    pub(super) connection: HttpConnection,
    /// The earliest time since which it may have waited to be accepted.
    waiting_since: Micros,
}

/// Serves a connection to its end.
pub(super) async fn serve(
    context: Rc<Context>,
    registry: Rc<ConnectionRegistry>,
    accepted: AcceptedConnection,
) {
    let AcceptedConnection { stream, address, waiting_since } = accepted;
    let names = context.config().names.clone();
    let connection = HttpConnection::new(stream);
    let mut client =
        ClientConnection { context: context.clone(), names, registry, connection, waiting_since };
    let Err(end) = client.serve_requests().await;
    let reason = match end {
        ConnectionEnd::Disconnected(reason) => reason,
        ConnectionEnd::Closed(reason) => {
            client.linger().await;
            reason
        }
    };
    context.gauges.client_connections.decrement();
    info!(context.log, "connection ended"; "side" => "client", "address" => %address, "reason" => reason.code());
}

impl ClientConnection {
    /// Serves request after request; the error is how the connection ends.
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

    /// When a new client's first request must be complete. Its silence counts together with its request, and from its connecting, as the
    /// connection must end soon; but one that has just been accepted is read in any case.
    fn first_request_due(&self) -> Instant {
        let connected = self.context.clock.at(self.waiting_since);
        (connected + REQUEST_TIMEOUT).max(Instant::now() + FIRST_REQUEST_GRACE)
    }

    /// Waits for a new client's first request. One may be on its way and has nowhere else to go: whatever crosses the end of
    /// the connection has its response.
    async fn await_first_request(&mut self, until: Instant) -> Result<(), ConnectionEnd> {
        match self.await_request(EvictionPriority::NoRequestYet, until).await {
            Err(ConnectionEnd::Closed(reason)) => {
                let response = Response::service_unavailable(DEFAULT_RETRY_AFTER);
                Err(self.close_with(&response, reason).await)
            }
            result => result,
        }
    }

    /// Returns once a request has begun. A connection between requests is closed when the program ends or another connection
    /// needs its place, but what has been received by then is read first.
    async fn await_request(
        &mut self,
        priority: EvictionPriority,
        until: Instant,
    ) -> Result<(), ConnectionEnd> {
        let is_new = priority == EvictionPriority::NoRequestYet;
        let registration = self.registry.register(priority);
        let closing = async {
            until_closing_grace_ends(&self.context.lifecycle, is_new).await;
            Err(ConnectionEnd::Closed(CloseReason::Closing))
        };
        let expired = async {
            Timer::at(until).await;
            Err(ConnectionEnd::Closed(if is_new { CloseReason::Silent } else { CloseReason::Idle }))
        };
        let evicted = async {
            registration.evicted().await;
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
        future::or(received, future::or(closing, future::or(expired, future::or(evicted, quiesced)))).await
    }

    /// Receives the request that has begun.
    async fn receive_request(&mut self, due: Instant) -> Result<ReceivedRequest, ConnectionEnd> {
        let (head, body) = match self.read_before(due).await {
            Some(Ok(request)) => request,
            Some(Err(error)) => return Err(self.reject_unreadable(error).await),
            None if self.context.lifecycle.is_stopped() => return Err(self.reject_as_closing().await),
            None => {
                let reason = CloseReason::SlowRequest;
                return Err(self.reject(408, "the request took too long", reason).await);
            }
        };
        let sent_at = self.earliest_sending();
        // What follows a request before its response may be the rest of a body whose length is wrong, or a
        // request hidden in it: none of it may be forwarded.
        let followed_by = future::poll_once(self.connection.fill()).await;
        if !self.connection.buffer.bytes().is_empty() {
            return Err(self.reject_pipelined().await);
        }
        Ok(ReceivedRequest { head, body, sent_at, ended_sending: followed_by.is_some() })
    }

    /// The earliest time at which the client may have sent the last byte that was read: after the socket was last empty, or,
    /// where it has not been, while the connection waited to be accepted.
    fn earliest_sending(&self) -> Micros {
        let now = self.context.clock.now();
        let earliest_arrival = match self.connection.last_empty() {
            Some(empty) => {
                self.context.clock.time_of(empty).max(self.context.stall_detector.arrived_since(now))
            }
            None => self.waiting_since,
        };
        earliest_arrival.max(now.saturating_sub(CLIENT_TIMEOUT_US))
    }

    /// The request that has begun; `None` if it is not complete in time, or its place is needed, or the program ends.
    async fn read_before(&mut self, due: Instant) -> Option<Result<(RequestHead, Vec<u8>), HttpError>> {
        let registration = self.registry.register(EvictionPriority::Reading);
        let expired = async {
            Timer::at(due).await;
            None
        };
        let ended = async {
            future::or(registration.evicted(), self.context.lifecycle.until_stopped()).await;
            None
        };
        let read = async { Some(read_request(&mut self.connection).await) };
        future::or(read, future::or(expired, ended)).await
    }

    /// Answers a request; an error ends the connection.
    async fn respond(&mut self, request: ReceivedRequest) -> Result<(), ConnectionEnd> {
        let request_keeps_alive = request.head.keep_alive;
        let response = self.answer(request).await?;
        let is_closing = self.context.lifecycle.is_closing();
        let keep_alive = request_keeps_alive && !is_closing && !self.context.closes_after_response();
        if self.send(&response, keep_alive).await.is_err() {
            if let Some(id) = response.accepted {
                self.withdraw(id).await;
            }
            return Err(ConnectionEnd::Disconnected(CloseReason::ClientGone));
        }
        if keep_alive {
            return Ok(());
        }
        // Read again: the program may have begun to end while the response was written.
        let reason = if self.context.lifecycle.is_closing() {
            CloseReason::Closing
        } else if self.context.closes_after_response() {
            CloseReason::Quiesced
        } else {
            CloseReason::Answered
        };
        Err(ConnectionEnd::Closed(reason))
    }

    async fn answer(&mut self, request: ReceivedRequest) -> Result<Response, ConnectionEnd> {
        let target = request.head.target.as_str();
        let path = target.split('?').next().unwrap_or_default();
        match (request.head.method.as_str(), path) {
            ("GET", "/_health") if self.context.accepts_clients() => Ok(Response::plain(200, "ready\n")),
            ("GET", "/_health") => Ok(Response::plain(503, "not ready\n")),
            ("GET", "/_counters") if target.ends_with("?by=partner") => {
                Ok(Response::plain(200, format!("{}\n", self.report_by_destination().await)))
            }
            ("GET", "/_counters") => Ok(Response::plain(200, format!("{}\n", self.context.report()))),
            ("POST", "/api") => self.answer_message(request).await,
            (_, "/api" | "/_health" | "/_counters") => Ok(Response::plain(405, "not with this method\n")),
            _ => Ok(Response::plain(404, "nothing here\n")),
        }
    }

    /// The counters, with the status of each destination and channel.
    async fn report_by_destination(&self) -> Value {
        let mut report = self.context.report();
        let (reply, status) = async_channel::bounded(1);
        if self.context.delivery.send(DeliveryMessage::DescribeStatus { reply }).await.is_ok() {
            if let Ok(Value::Object(status)) = status.recv().await {
                report.as_object_mut().expect("the report of counters is an object").extend(status);
            }
        }
        report
    }

    async fn answer_message(&mut self, received: ReceivedRequest) -> Result<Response, ConnectionEnd> {
        let ReceivedRequest { head, body, sent_at, ended_sending } = received;
        let config = self.context.config();
        let read = request::read_message(&head, body, sent_at, &self.names, &config);
        drop(config);
        let request = match read {
            Ok(request) => request,
            Err(error) => {
                self.context.counters.bad_requests.increment();
                info!(self.context.log, "bad request"; "reason" => %error);
                return Ok(Response::plain(400, format!("{error}\n")));
            }
        };
        self.log_age(&request, sent_at);
        if ended_sending {
            // It may still read: the response says that the message was not accepted.
            self.context.counters.unavailable.increment();
            self.context.record_rejection(&request.request_id, Rejection::ClientGone);
            let response = Response::service_unavailable(DEFAULT_RETRY_AFTER);
            return Err(self.close_with(&response, CloseReason::ClientGone).await);
        }
        if !self.context.endpoint_table.has_destination(request.destination) {
            self.context.counters.unavailable.increment();
            self.context.record_rejection(&request.request_id, Rejection::UnknownDestination);
            info!(self.context.log, "unknown destination"; "destination" => request.destination.0);
            return Ok(Response::service_unavailable(UNKNOWN_DESTINATION_RETRY_AFTER_US));
        }
        self.submit(request).await
    }

    fn log_age(&self, request: &Request, sent_at: Micros) {
        let age = self.context.clock.now().saturating_sub(sent_at);
        if age > LOGGED_AGE_US {
            info!(self.context.log, "request may have lain unread"; "id" => &request.request_id,
                "at_most_ms" => age / 1000);
        }
    }

    async fn reject_unreadable(&mut self, error: HttpError) -> ConnectionEnd {
        let (status, reason) = match error {
            HttpError::Malformed(_) => (400, CloseReason::Malformed),
            HttpError::TooLarge => (413, CloseReason::TooLarge),
            HttpError::Closed | HttpError::UnexpectedEnd | HttpError::TimedOut => {
                (400, CloseReason::TornRequest)
            }
            HttpError::Socket(_) => return ConnectionEnd::Disconnected(CloseReason::TornRequest),
        };
        self.reject(status, &error.to_string(), reason).await
    }

    /// Ends the connection because more than a request was received before its response.
    pub(super) async fn reject_pipelined(&mut self) -> ConnectionEnd {
        self.reject(400, "more than a request came before its answer", CloseReason::Pipelined).await
    }

    /// Rejects a request that is not complete as the program ends.
    async fn reject_as_closing(&mut self) -> ConnectionEnd {
        self.context.counters.unavailable.increment();
        self.close_with(&Response::service_unavailable(DEFAULT_RETRY_AFTER), CloseReason::Closing).await
    }

    /// Ends the connection with an error.
    async fn reject(&mut self, status: u16, why: &str, reason: CloseReason) -> ConnectionEnd {
        self.context.counters.bad_requests.increment();
        self.close_with(&Response::plain(status, format!("{why}\n")), reason).await
    }

    /// Ends the connection with a response.
    pub(super) async fn close_with(&mut self, response: &Response, reason: CloseReason) -> ConnectionEnd {
        match self.send(response, false).await {
            Ok(()) => ConnectionEnd::Closed(reason),
            Err(_) => ConnectionEnd::Disconnected(reason),
        }
    }

    async fn send(&mut self, response: &Response, keep_alive: bool) -> io::Result<()> {
        let expired = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        future::or(self.connection.write(response.bytes(keep_alive).as_bytes()), expired).await
    }

    /// Ends the sending, then discards what is still received, up to the other side's end or a bounded time.
    async fn linger(&mut self) {
        let registration = self.registry.register(EvictionPriority::Lingering);
        self.connection.shutdown_write();
        let expired = async {
            Timer::after(LINGER).await;
        };
        let ended = future::or(expired, registration.evicted());
        future::or(ended, self.connection.discard_until_end()).await;
    }
}

/// Returns when the program ends and a connection between requests has had its time to begin another.
async fn until_closing_grace_ends(lifecycle: &Lifecycle, is_new: bool) {
    lifecycle.until_closing().await;
    if lifecycle.is_handed_over() {
        // The successor is there for clients that connect again; the next response says so.
        Timer::after(HANDED_OVER_GRACE).await;
    } else if is_new {
        // Its request is on its way, and has nowhere else to go: nobody may send it a second time unasked.
        let grace_ended = async {
            Timer::after(FIRST_REQUEST_GRACE).await;
        };
        future::or(lifecycle.until_stopped(), grace_ended).await;
    }
}

/// Reads a request, and asks for its body where the client waits for that.
async fn read_request(connection: &mut HttpConnection) -> Result<(RequestHead, Vec<u8>), HttpError> {
    let head = connection.read_request().await?;
    if head.headers.expects_continue() && !head.is_longer_than(MAX_BODY_BYTES) {
        connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = connection.request_body(&head, MAX_BODY_BYTES).await?;
    Ok((head, body))
}
