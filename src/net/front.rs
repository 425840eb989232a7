//! The platform's protocol towards user agents.

use super::config::BODY_LIMIT;
use super::decider::Reply;
use super::http::{Asked, Broken, Wire};
use super::transaction::Request;
use super::{Context, ToDecider};
use crate::words::{index, Names};
use crate::{ClassId, DestinationId, Micros, TenantId};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{info, warn};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A user agent may leave its connection unused for so long.
const IDLE: Duration = Duration::from_secs(60);
/// A request that has begun must have come whole by then.
const SLOW: Duration = Duration::from_secs(10);

/// Takes connections until the listener is dropped.
pub async fn serve(context: Rc<Context>, listener: Async<TcpListener>) {
    loop {
        // What does not fit waits in the listener's queue.
        while context.user_agents.get() >= context.config().user_agents() {
            Timer::after(Duration::from_millis(5)).await;
        }
        match listener.accept().await {
            Ok((stream, address)) => {
                context.counters.accepted.add();
                context.user_agents.set(context.user_agents.get() + 1);
                let context = context.clone();
                let executor = context.executor.clone();
                executor.spawn(attend(context, stream, address)).detach();
            }
            Err(e) => {
                warn!(context.log, "cannot accept"; "error" => %e);
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn attend(context: Rc<Context>, stream: Async<TcpStream>, address: SocketAddr) {
    let names = context.config().names.clone();
    let mut agent = UserAgent { context: context.clone(), names, wire: Wire::new(stream) };
    let reason = agent.converse().await;
    context.user_agents.set(context.user_agents.get() - 1);
    info!(context.log, "connection ended"; "side" => "user-agent", "address" => %address, "reason" => reason);
}

/// An answer to be written.
struct Answer {
    status: u16,
    extra: String,
    body: String,
}

impl Answer {
    fn plain(status: u16, body: impl Into<String>) -> Self {
        Answer { status, extra: String::new(), body: body.into() }
    }

    /// The unavailable answer.
    fn unavailable(after: Micros) -> Self {
        let extra = format!("Retry-After: {:.3}\r\n", after as f64 / 1e6);
        Answer { status: 503, extra, body: String::new() }
    }

    fn bytes(&self, keeps: bool) -> String {
        let phrase = match self.status {
            200 => "OK",
            202 => "Accepted",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            413 => "Content Too Large",
            500 => "Internal Server Error",
            _ => "Service Unavailable",
        };
        let (status, extra, length) = (self.status, &self.extra, self.body.len());
        let close = if keeps { "" } else { "Connection: close\r\n" };
        format!("HTTP/1.1 {status} {phrase}\r\n{extra}{close}Content-Length: {length}\r\n\r\n{}", self.body)
    }
}

struct UserAgent {
    context: Rc<Context>,
    names: Rc<Names>,
    wire: Wire,
}

impl UserAgent {
    /// Serves request after request; the code of the reason why it ended.
    async fn converse(&mut self) -> &'static str {
        loop {
            if let Err(reason) = self.await_request().await {
                return reason;
            }
            let late = async {
                Timer::after(SLOW).await;
                None
            };
            let read = future::or(async { Some(read(&mut self.wire).await) }, late).await;
            let (head, body) = match read {
                Some(Ok(request)) => request,
                Some(Err(broken)) => return self.refuse_broken(broken).await,
                None => {
                    self.say(&Answer::plain(408, "the request took too long\n"), false).await;
                    return "slow-request";
                }
            };
            let came = self.context.clock.now();
            let answer = match self.serve(&head, body, came).await {
                Ok(answer) => answer,
                Err(reason) => return reason,
            };
            let crowded = self.context.user_agents.get() * 4 > self.context.config().user_agents() * 3;
            let keeps = head.keeps && !crowded && !self.context.closing();
            if !self.say(&answer, keeps).await {
                if answer.status == 202 {
                    self.withdraw(&head).await;
                }
                return "agent-gone";
            }
            if !keeps {
                return if self.context.closing() { "closing" } else { "answered" };
            }
        }
    }

    /// Comes back once a request has begun. A connection between requests is closed when the program ends,
    /// but what has come by then is read first.
    async fn await_request(&mut self) -> Result<(), &'static str> {
        if !self.wire.buffer.bytes().is_empty() {
            return Ok(());
        }
        let closing = async {
            self.context.until_closing().await;
            Err("closing")
        };
        let idle = async {
            Timer::after(IDLE).await;
            Err("idle")
        };
        let filled = async {
            match self.wire.fill().await {
                Ok(0) => Err("agent-closed"),
                Ok(_) => Ok(()),
                Err(_) => Err("agent-reset"),
            }
        };
        future::or(filled, future::or(closing, idle)).await
    }

    async fn say(&mut self, answer: &Answer, keeps: bool) -> bool {
        let late = async {
            Timer::after(SLOW).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        future::or(self.wire.write(answer.bytes(keeps).as_bytes()), late).await.is_ok()
    }

    async fn refuse_broken(&mut self, broken: Broken) -> &'static str {
        let status = match broken {
            Broken::Malformed(_) => 400,
            Broken::TooLarge => 413,
            Broken::Ended | Broken::Torn | Broken::Socket(_) => return "torn-request",
        };
        self.context.counters.bad_requests.add();
        self.say(&Answer::plain(status, format!("{broken}\n")), false).await;
        // Closing while something unread lies there would reset the connection and take the answer with it.
        let rest = async {
            while self.wire.fill().await.is_ok_and(|n| n > 0) {
                let read = self.wire.buffer.bytes().len();
                self.wire.buffer.consume(read);
            }
        };
        let enough = async {
            Timer::after(Duration::from_millis(300)).await;
        };
        future::or(rest, enough).await;
        broken.code()
    }

    async fn serve(&mut self, head: &Asked, body: Vec<u8>, came: Micros) -> Result<Answer, &'static str> {
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            ("GET", "/_health") if self.context.ready() => Ok(Answer::plain(200, "ready\n")),
            ("GET", "/_health") => Ok(Answer::plain(503, "not ready\n")),
            ("GET", "/_counters") => Ok(Answer::plain(200, format!("{}\n", self.context.report()))),
            ("POST", "/api") => match self.read_message(head, body, came) {
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

    fn read_message(&self, head: &Asked, body: Vec<u8>, came: Micros) -> Result<Request, String> {
        let told = |name: &str| head.fields.get(name).filter(|v| !v.is_empty());
        let must = |name: &str| told(name).ok_or(format!("no {name}"));
        let word = must("X-Request-Id")?;
        let fits = |w: &str| w.len() <= 256 && w.bytes().all(|b| b.is_ascii_graphic());
        if !fits(word) || told("Idempotency-Key").is_some_and(|k| !fits(k)) {
            return Err("an id or key is not plain text of at most 256 characters".into());
        }
        let class = ClassId(index(&self.names.classes, must("X-Class")?, "class")?);
        let tenant = match told("X-Tenant") {
            Some(t) => Some(TenantId(index(&self.names.tenants, t, "tenant")?)),
            None if self.names.tenants.is_empty() => None,
            None => return Err("no X-Tenant".into()),
        };
        let key = told("Idempotency-Key").map(str::to_owned);
        if key.is_none() && self.context.config().keyed[class.0] {
            return Err("no Idempotency-Key, which this class needs".into());
        }
        let mut places = must("X-Addressing")?.split([',', ';']).filter_map(|p| p.trim().split_once('='));
        let destination = places.find(|p| p.0 == "dest").and_then(|p| p.1.parse().ok());
        let destination = DestinationId(destination.ok_or("X-Addressing names no dest")?);
        let time = read_time(must("X-Deadline")?).ok_or("X-Deadline is not a time")?;
        let deadline = came + time.min(self.context.config().deadlines[class.0]);
        let retry = told("X-Retry");
        Ok(Request {
            word: word.to_owned(),
            key,
            class,
            tenant,
            destination,
            deadline,
            body: body.into(),
            again: retry == Some("1"),
            orphan: retry == Some("again"),
        })
    }

    /// Hands a message to the module's actor. A user agent that goes meanwhile takes its message with it.
    async fn hand_in(&mut self, request: Request) -> Result<Answer, &'static str> {
        let (reply, answer) = async_channel::bounded(1);
        let word = request.word.clone();
        if self.context.decider.send(ToDecider::Take { request, reply }).await.is_err() {
            return Ok(Answer::unavailable(1_000_000));
        }
        let said = async { answer.recv().await.ok() };
        let wire = &mut self.wire;
        let gone = async {
            // The next request may already come in; then there is no more need to look.
            if wire.buffer.bytes().is_empty() && !matches!(wire.fill().await, Ok(n) if n > 0) {
                return None;
            }
            future::pending().await
        };
        // Looked at first, so that one who went as the answer came is not counted as told.
        match future::or(gone, said).await {
            Some(Reply::Taken) => Ok(Answer::plain(202, "")),
            Some(Reply::Unavailable(after)) => Ok(Answer::unavailable(after)),
            Some(Reply::Failed) => Ok(Answer::plain(500, "failed\n")),
            None => {
                let _ = self.context.decider.send(ToDecider::Withdrawn { word }).await;
                Err("agent-gone")
            }
        }
    }

    async fn withdraw(&self, head: &Asked) {
        if let Some(word) = head.fields.get("X-Request-Id").map(str::to_owned) {
            let _ = self.context.decider.send(ToDecider::Withdrawn { word }).await;
        }
    }
}

async fn read(wire: &mut Wire) -> Result<(Asked, Vec<u8>), Broken> {
    let head = wire.read_request().await?;
    if head.fields.expects_continue() {
        wire.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(Broken::Socket)?;
    }
    let body = wire.request_body(&head, BODY_LIMIT).await?;
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
