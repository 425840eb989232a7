//! The platform's protocol towards user agents.

use crate::invariants::Rejection;
use crate::net::config::MAX_BODY_BYTES;
use crate::net::connection_registry::{ConnectionRegistry, EvictionPriority};
use crate::net::http::{HttpConnection, HttpError, RequestHead};
use crate::net::in_flight::Request;
use crate::net::messages::{DeliveryMessage, SubmitReply, DEFAULT_RETRY_AFTER};
use crate::net::Context;
use crate::settings_json::{index_of, Names};
use crate::{ClassId, DestinationId, MessageId, Micros, TenantId};
use async_io::{Async, Timer};
use futures_lite::future;
use serde_json::Value;
use slog::{info, warn};
use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A user agent may leave its connection unused for so long once it has been served.
const IDLE: Duration = Duration::from_secs(10);
/// A request must have come whole so long after its first byte; the first one after the connection was taken.
const SLOW: Duration = Duration::from_millis(2400);
/// What a user agent still sends after its last answer is read away for so long: closing on it would reset the connection,
/// and the answer could be lost with it.
pub const LINGER: Duration = Duration::from_millis(1000);
/// Where the program ends, one that has come and not yet sent its first request has so long for it; the platform's clients
/// wait that long for an answer.
const FIRST_WORD: Duration = Duration::from_millis(400);
/// Where user agents are sent away, one that has no request under way may stay for so long.
const REST: Duration = Duration::from_millis(1000);
/// The advice to come again with a message for a destination that no version of the list has named.
const UNKNOWN_FOR: Micros = 1_000_000;
/// What a message is read from; a field that comes twice says two things.
const FIELDS: [&str; 7] =
    ["X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Addressing", "Idempotency-Key", "X-Retry"];
/// Where another process has taken over, a connection between requests is closed so long after the signal.
const PASSED_ON: Duration = Duration::from_millis(1800);
/// Between two looks at whether there is room for another connection.
const LOOK: Duration = Duration::from_millis(5);
/// The pause after a failed accept grows by the first with each in a row, up to the second.
const ACCEPT_RETRY: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(50));
/// So many tries in a row are made at once.
const AT_ONCE: u32 = 16;
/// So many connections wait at most to be taken; a crowd must not make the system drop those behind it.
const QUEUE: i32 = 1024;

/// Opens a listener; one that is shared leaves the address to another process too.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.bind(&address.into())?;
    socket.listen(QUEUE)?;
    Async::new(socket.into())
}

/// Takes connections until the listener is dropped, or another process takes them.
pub async fn serve(context: Rc<Context>, listener: Async<TcpListener>) {
    let lobby = Rc::new(ConnectionRegistry::default());
    let room =
        || context.config().max_client_connections().saturating_sub(context.predecessor_connections.get());
    let full = || context.client_connections.get().saturating_sub(lobby.evictions_pending()) >= room();
    let mut retry = AcceptRetry::default();
    loop {
        let accepted = async {
            while full() {
                // Where all are being served, what does not fit waits in the listener's queue.
                if !lobby.evict_one() {
                    Timer::after(LOOK).await;
                }
            }
            Some(listener.accept().await)
        };
        let closes = async {
            future::or(context.handed_over.wait(), context.listener_closes.wait()).await;
            None
        };
        match future::or(closes, accepted).await {
            Some(Ok((stream, address))) => {
                retry.succeeded();
                welcome(&context, &lobby, stream, address);
            }
            Some(Err(e)) => retry.pause(&context, &e).await,
            None => break,
        }
        // A crowd that is always ready must not keep the others from their turn.
        future::yield_now().await;
    }
    let last = accept_last(&context, &lobby, &listener, full).await;
    drop(listener);
    info!(context.log, "listener closed"; "taken_last" => last);
}

/// Takes all that waits in the queue, which would be reset with the listener; how many those were. Nothing comes between the
/// last look and the listener's end but what arrives in that very moment.
async fn accept_last(
    context: &Rc<Context>,
    lobby: &Rc<ConnectionRegistry>,
    listener: &Async<TcpListener>,
    full: impl Fn() -> bool,
) -> usize {
    let mut retry = AcceptRetry::default();
    let mut taken = 0;
    // Who ends the program drops this where it takes too long.
    loop {
        if full() && !lobby.evict_one() {
            Timer::after(LOOK).await;
            continue;
        }
        match listener.get_ref().accept().and_then(|(stream, address)| Ok((Async::new(stream)?, address))) {
            Ok((stream, address)) => {
                welcome(context, lobby, stream, address);
                taken += 1;
            }
            // Only this says that the queue is empty.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => retry.pause(context, &e).await,
        }
    }
    taken
}

/// How soon a failed accept is tried again. The first few tries follow at once: an error may belong to one connection alone, and
/// requests in the queue run out of time while it waits. Where it goes on failing, something has run out, and it is left in peace.
#[derive(Default)]
struct AcceptRetry {
    failures: u32,
}

impl AcceptRetry {
    fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Counts and logs a failure, and waits as long as its kind asks for.
    async fn pause(&mut self, context: &Context, error: &io::Error) {
        self.failures += 1;
        context.counters.accept_failures.add();
        if self.failures.is_power_of_two() {
            warn!(context.log, "cannot accept"; "error" => %error, "in_a_row" => self.failures);
        }
        if self.failures < AT_ONCE {
            return future::yield_now().await;
        }
        let pause = ACCEPT_RETRY.0 * (self.failures - AT_ONCE + 1);
        Timer::after(pause.min(ACCEPT_RETRY.1)).await;
    }
}

fn welcome(
    context: &Rc<Context>,
    lobby: &Rc<ConnectionRegistry>,
    stream: Async<TcpStream>,
    address: SocketAddr,
) {
    context.counters.accepted.add();
    context.client_connections.set(context.client_connections.get() + 1);
    context.executor.spawn(attend(context.clone(), lobby.clone(), stream, address)).detach();
}

async fn attend(
    context: Rc<Context>,
    lobby: Rc<ConnectionRegistry>,
    stream: Async<TcpStream>,
    address: SocketAddr,
) {
    let names = context.config().names.clone();
    let mut agent = UserAgent { context: context.clone(), names, lobby, wire: HttpConnection::new(stream) };
    let reason = match agent.converse().await {
        Parting::Gone(reason) => reason,
        Parting::Closes(reason) => {
            agent.take_leave().await;
            reason
        }
    };
    context.client_connections.set(context.client_connections.get() - 1);
    info!(context.log, "connection ended"; "side" => "user-agent", "address" => %address, "reason" => reason);
}

/// An answer to be written.
pub struct Answer {
    status: u16,
    extra: String,
    body: String,
    /// The message that it says is taken on.
    taken: Option<MessageId>,
}

impl Answer {
    /// A status and a text.
    pub fn plain(status: u16, body: impl Into<String>) -> Self {
        Answer { status, extra: String::new(), body: body.into(), taken: None }
    }

    /// A 503: what was handed in may come again after a while.
    fn service_unavailable(after: Micros) -> Self {
        let extra = format!("Retry-After: {:.3}\r\n", after as f64 / 1e6);
        Answer { extra, ..Answer::plain(503, "") }
    }

    /// What is written; unless the connection is kept, it says so.
    pub fn bytes(&self, keeps: bool) -> String {
        let phrase = match self.status {
            200 => "OK",
            202 => "Accepted",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            413 => "Content Too Large",
            500 => "Internal Server Error",
            507 => "Insufficient Storage",
            _ => "Service Unavailable",
        };
        let (status, extra, length) = (self.status, &self.extra, self.body.len());
        let close = if keeps { "" } else { "Connection: close\r\n" };
        format!("HTTP/1.1 {status} {phrase}\r\n{extra}{close}Content-Length: {length}\r\n\r\n{}", self.body)
    }
}

/// How a connection ends, by the code of the reason.
enum Parting {
    /// The other side has ended it, or it is of no more use.
    Gone(&'static str),
    /// This side ends it; what the other side still sends is not taken in.
    Closes(&'static str),
}

struct UserAgent {
    context: Rc<Context>,
    names: Arc<Names>,
    lobby: Rc<ConnectionRegistry>,
    wire: HttpConnection,
}

impl UserAgent {
    /// Serves request after request; the code of the reason why it ended.
    async fn converse(&mut self) -> Parting {
        // Silence and slowness of a newcomer count together: it is owed an end soon.
        let newcomer = Instant::now() + SLOW;
        let (mut stay, mut until) = (EvictionPriority::Silent, newcomer);
        loop {
            match self.await_request(stay, until).await {
                Ok(()) => {}
                // A request may be on its way and has nowhere else to go: whatever crosses the end has its answer.
                Err(Parting::Closes(reason)) if stay == EvictionPriority::Silent => {
                    return self.part_with(&Answer::service_unavailable(DEFAULT_RETRY_AFTER), reason).await;
                }
                Err(parting) => return parting,
            }
            let due = if stay == EvictionPriority::Silent { newcomer } else { Instant::now() + SLOW };
            let (head, body) = match self.read_in_time(due).await {
                Some(Ok(request)) => request,
                Some(Err(broken)) => return self.refuse_broken(broken).await,
                None if self.context.decisions_stopped.is_set() => return self.turn_away().await,
                None => return self.refuse(408, "the request took too long", "slow-request").await,
            };
            let came = self.context.clock.now();
            // What follows a request before its answer may be the rest of a body whose length is wrong, or a
            // request hidden in it: none of it may be passed on.
            let follows = future::poll_once(self.wire.fill()).await;
            if !self.wire.buffer.bytes().is_empty() {
                return self.refuse_followed().await;
            }
            let answer = match self.serve(&head, body, came, follows.is_some()).await {
                Ok(answer) => answer,
                Err(parting) => return parting,
            };
            let context = &self.context;
            let keeps = head.keeps && !context.closing() && !context.closes_after_response();
            if !self.say(&answer, keeps).await {
                if let Some(id) = answer.taken {
                    self.withdraw(id).await;
                }
                return Parting::Gone("agent-gone");
            }
            if !keeps {
                return Parting::Closes(match () {
                    () if self.context.closing() => "closing",
                    () if self.context.closes_after_response() => "sent-away",
                    () => "answered",
                });
            }
            (stay, until) = (EvictionPriority::Idle, Instant::now() + IDLE);
        }
    }

    /// Comes back once a request has begun. A connection between requests is closed when the program ends or
    /// has no room for another, but what has come by then is read first.
    async fn await_request(&mut self, stay: EvictionPriority, until: Instant) -> Result<(), Parting> {
        let guest = self.lobby.register(stay);
        let closing = async {
            self.context.until_closing().await;
            if self.context.handed_over.is_set() {
                // Another process is there for those who come again; the next answer says so.
                Timer::after(PASSED_ON).await;
            } else if stay == EvictionPriority::Silent {
                // Its request is on its way, and has nowhere else to go: nobody may send it a second time unasked.
                future::or(self.context.decisions_stopped.wait(), async {
                    Timer::after(FIRST_WORD).await;
                })
                .await;
            }
            Err(Parting::Closes("closing"))
        };
        let late = async {
            Timer::at(until).await;
            Err(Parting::Closes(if stay == EvictionPriority::Silent { "silent" } else { "idle" }))
        };
        let asked = async {
            guest.evicted().await;
            Err(Parting::Closes("crowded"))
        };
        let away = async {
            self.context.quiesced.wait().await;
            Timer::after(REST).await;
            Err(Parting::Closes("sent-away"))
        };
        let filled = async {
            match self.wire.fill().await {
                Ok(0) => Err(Parting::Gone("agent-closed")),
                Ok(_) => Ok(()),
                Err(_) => Err(Parting::Gone("agent-reset")),
            }
        };
        future::or(filled, future::or(closing, future::or(late, future::or(asked, away)))).await
    }

    /// The request that has begun; none if it does not come whole in time, or while there is room, or before the program
    /// ends.
    async fn read_in_time(&mut self, due: Instant) -> Option<Result<(RequestHead, Vec<u8>), HttpError>> {
        let guest = self.lobby.register(EvictionPriority::Reading);
        let late = async {
            Timer::at(due).await;
            None
        };
        let asked = async {
            future::or(guest.evicted(), self.context.decisions_stopped.wait()).await;
            None
        };
        future::or(async { Some(read(&mut self.wire).await) }, future::or(late, asked)).await
    }

    async fn say(&mut self, answer: &Answer, keeps: bool) -> bool {
        let late = async {
            Timer::after(SLOW).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        future::or(self.wire.write(answer.bytes(keeps).as_bytes()), late).await.is_ok()
    }

    async fn refuse_broken(&mut self, broken: HttpError) -> Parting {
        let (status, code) = match broken {
            HttpError::Malformed(_) => (400, broken.code()),
            HttpError::TooLarge => (413, broken.code()),
            HttpError::Ended | HttpError::Torn | HttpError::Stalled => (400, "torn-request"),
            HttpError::Socket(_) => return Parting::Gone("torn-request"),
        };
        self.refuse(status, &broken.to_string(), code).await
    }

    async fn refuse_followed(&mut self) -> Parting {
        self.refuse(400, "more than a request came before its answer", "followed").await
    }

    /// Turns a request away that is not whole as the program ends.
    async fn turn_away(&mut self) -> Parting {
        self.context.counters.unavailable.add();
        self.part_with(&Answer::service_unavailable(DEFAULT_RETRY_AFTER), "closing").await
    }

    /// Ends the connection with an error.
    async fn refuse(&mut self, status: u16, why: &str, code: &'static str) -> Parting {
        self.context.counters.bad_requests.add();
        self.part_with(&Answer::plain(status, format!("{why}\n")), code).await
    }

    async fn part_with(&mut self, answer: &Answer, code: &'static str) -> Parting {
        let told = self.say(answer, false).await;
        if told {
            Parting::Closes(code)
        } else {
            Parting::Gone(code)
        }
    }

    /// Ends the sending, then reads away what still comes, up to the other side's end or a bounded time.
    async fn take_leave(&mut self) {
        let guest = self.lobby.register(EvictionPriority::Leaving);
        self.wire.end_sending();
        let enough = async {
            Timer::after(LINGER).await;
        };
        let asked = guest.evicted();
        future::or(future::or(enough, asked), self.wire.drain()).await;
    }

    /// Answers a request; `gone` if the user agent has ended its sending with it.
    async fn serve(
        &mut self,
        head: &RequestHead,
        body: Vec<u8>,
        came: Micros,
        gone: bool,
    ) -> Result<Answer, Parting> {
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            ("GET", "/_health") if self.context.accepts_clients() => Ok(Answer::plain(200, "ready\n")),
            ("GET", "/_health") => Ok(Answer::plain(503, "not ready\n")),
            ("GET", "/_counters") if head.target.ends_with("?by=partner") => {
                Ok(Answer::plain(200, format!("{}\n", self.by_partner().await)))
            }
            ("GET", "/_counters") => Ok(Answer::plain(200, format!("{}\n", self.context.report()))),
            ("POST", "/api") => match self.read_message(head, body, came) {
                // It may have ended its sending only: it is told that this was not taken on.
                Ok(request) if gone => {
                    self.context.counters.unavailable.add();
                    self.context.rejected(&request.request_id, Rejection::ClientGone);
                    Err(self.part_with(&Answer::service_unavailable(DEFAULT_RETRY_AFTER), "agent-gone").await)
                }
                Ok(request) if !self.context.endpoint_table.names(request.destination) => {
                    self.context.counters.unavailable.add();
                    self.context.rejected(&request.request_id, Rejection::UnknownDestination);
                    info!(self.context.log, "unknown destination"; "destination" => request.destination.0);
                    Ok(Answer::service_unavailable(UNKNOWN_FOR))
                }
                Ok(request) => self.hand_in(request).await,
                Err(why) => {
                    self.context.counters.bad_requests.add();
                    info!(self.context.log, "bad request"; "reason" => &why);
                    Ok(Answer::plain(400, why + "\n"))
                }
            },
            (_, "/api" | "/_health" | "/_counters") => Ok(Answer::plain(405, "not with this method\n")),
            _ => Ok(Answer::plain(404, "nothing here\n")),
        }
    }

    /// The counters, with how each partner and channel stands.
    async fn by_partner(&self) -> Value {
        let mut report = self.context.report();
        let (reply, shown) = async_channel::bounded(1);
        if self.context.delivery.send(DeliveryMessage::DescribeStatus { reply }).await.is_ok() {
            if let Ok(Value::Object(shown)) = shown.recv().await {
                report.as_object_mut().expect("a map of counters").extend(shown);
            }
        }
        report
    }

    fn read_message(&self, head: &RequestHead, body: Vec<u8>, came: Micros) -> Result<Request, String> {
        let told = |name: &str| head.fields.get(name).filter(|v| !v.is_empty());
        let must = |name: &str| told(name).ok_or(format!("no {name}"));
        if let Some(name) = FIELDS.iter().find(|f| head.fields.count(f) > 1) {
            return Err(format!("{name} comes twice"));
        }
        let word = must("X-Request-Id")?;
        let fits = |w: &str| w.len() <= 256 && w.bytes().all(|b| b.is_ascii_graphic());
        if !fits(word) || told("Idempotency-Key").is_some_and(|k| !fits(k)) {
            return Err("an id or key is not plain text of at most 256 characters".into());
        }
        let class = ClassId(index_of(&self.names.classes, must("X-Class")?, "class")?);
        let tenant = match told("X-Tenant") {
            Some(t) => Some(TenantId(index_of(&self.names.tenants, t, "tenant")?)),
            None if self.names.tenants.is_empty() => None,
            None => return Err("no X-Tenant".into()),
        };
        let key = told("Idempotency-Key").map(str::to_owned);
        if key.is_none() && self.context.config().requires_key[class.0] {
            return Err("no Idempotency-Key, which this class needs".into());
        }
        let mut places = must("X-Addressing")?.split([',', ';']).filter_map(|p| p.trim().split_once('='));
        let destination = places.find(|p| p.0 == "dest").and_then(|p| p.1.parse().ok());
        let destination = DestinationId(destination.ok_or("X-Addressing names no dest")?);
        let time = read_time(must("X-Deadline")?).ok_or("X-Deadline is not a time")?;
        let deadline = came + time.min(self.context.config().deadlines[class.0]);
        let retry = told("X-Retry");
        Ok(Request {
            request_id: word.to_owned(),
            key,
            class,
            tenant,
            destination,
            deadline,
            body: body.into(),
            client_retry: retry == Some("1"),
            failed_over: retry == Some("again"),
        })
    }

    /// Hands a message to the module's actor. A user agent that goes meanwhile takes its message with it.
    async fn hand_in(&mut self, request: Request) -> Result<Answer, Parting> {
        let (reply, answer) = async_channel::bounded(1);
        if self.context.delivery.send(DeliveryMessage::Submit { request, reply }).await.is_err() {
            return Ok(Answer::service_unavailable(1_000_000));
        }
        let decided = async { Waited::Decided(answer.recv().await.ok()) };
        let followed = Cell::new(false);
        let wire = &mut self.wire;
        let interrupted = async {
            match wire.fill().await {
                Ok(0) => Waited::EndedSending,
                Ok(_) => {
                    followed.set(true);
                    future::pending().await
                }
                Err(_) => Waited::Disconnected,
            }
        };
        // Looked at first, so that one who went as the answer came is not counted as told.
        let waited = future::or(interrupted, decided).await;
        // No reply can come any more that nobody reads: it is here, or the policy's actor finds nobody to tell.
        answer.close();
        let reply = match waited {
            Waited::Decided(reply) => reply,
            Waited::EndedSending | Waited::Disconnected => answer.try_recv().ok(),
        };
        let taken = match reply {
            Some(SubmitReply::Accepted(id)) => Some(id),
            _ => None,
        };
        if matches!(waited, Waited::Disconnected) || followed.get() {
            if let Some(id) = taken {
                self.withdraw(id).await;
            }
        }
        match (waited, reply) {
            (Waited::Disconnected, _) => Err(Parting::Gone("agent-gone")),
            _ if followed.get() => Err(self.refuse_followed().await),
            // It may still read: undecided, its message is withdrawn, and it is told that it was not taken on.
            (Waited::EndedSending, None) => {
                self.context.counters.unavailable.add();
                Err(self.part_with(&Answer::service_unavailable(DEFAULT_RETRY_AFTER), "agent-gone").await)
            }
            (_, None) => Ok(Answer::service_unavailable(DEFAULT_RETRY_AFTER)),
            (_, Some(SubmitReply::Accepted(_))) => Ok(Answer { taken, ..Answer::plain(202, "") }),
            (_, Some(SubmitReply::Unavailable(after))) => Ok(Answer::service_unavailable(after)),
            (_, Some(SubmitReply::Failed)) => Ok(Answer::plain(500, "failed\n")),
            (_, Some(SubmitReply::DuplicateId)) => {
                self.context.counters.bad_requests.add();
                Ok(Answer::plain(409, "a message of that id is not over yet\n"))
            }
        }
    }

    async fn withdraw(&self, id: MessageId) {
        let _ = self.context.delivery.send(DeliveryMessage::Withdrawn { id }).await;
    }
}

/// What ended the wait for the decision on a message.
enum Waited {
    /// It came, or nobody is there to make it.
    Decided(Option<SubmitReply>),
    /// The client has ended its sending; it may still read.
    EndedSending,
    /// The connection broke.
    Disconnected,
}

async fn read(wire: &mut HttpConnection) -> Result<(RequestHead, Vec<u8>), HttpError> {
    let head = wire.read_request().await?;
    if head.fields.expects_continue() && !head.longer_than(MAX_BODY_BYTES) {
        wire.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(HttpError::Socket)?;
    }
    let body = wire.request_body(&head, MAX_BODY_BYTES).await?;
    Ok((head, body))
}

/// A number with its unit: `m` for milliseconds, `u` for microseconds.
fn read_time(text: &str) -> Option<Micros> {
    let (number, scale) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(n), _) => (n, 1000.0),
        (_, Some(n)) => (n, 1.0),
        _ => return None,
    };
    let number = number.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)?;
    Some((number * scale).min(1e15) as Micros)
}
