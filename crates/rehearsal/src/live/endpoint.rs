//! Destinations' endpoints on sockets: each listens once for each forwarder, so that the caller is known. A call's
//! outcome is that of the destination's model, as in virtual time; connections, resets and silence are real.

use super::{LiveError, LiveRun};
use crate::audit::End;
use async_channel::Receiver;
use async_io::{Async, Timer};
use cedarbridge::net::http::{HttpConnection, RequestHead};
use cedarbridge::{Lifecycle, Micros, Outcome};
use cedarbridge_endpoint_model::{Answer, CallFate, Fault};
use futures_lite::future;
use socket2::{Domain, SockRef, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const BODY: usize = 1 << 20;
/// Connections that wait to be accepted; the system caps it.
const BACKLOG: i32 = 1024;

/// Starts all endpoints for all forwarders.
pub fn start(stage: &Rc<LiveRun>) -> Result<(), LiveError> {
    for forwarder in 0..stage.world.fleet.len() {
        for endpoint in 0..stage.world.list.len() {
            // An address of its own keeps its port from others while it refuses.
            let ip = [127, 100 + (forwarder % 100) as u8, (endpoint >> 8) as u8, 1 + (endpoint & 0xfe) as u8];
            let listener = listen(SocketAddr::from((ip, 0)), BACKLOG)
                .map_err(|e| LiveError::System("no address for an endpoint".into(), e))?;
            let address = listener.get_ref().local_addr().expect("bound");
            let told = match stage.options.fault {
                Some(fault) if fault.at_calls() => super::fault::before(stage, endpoint, address, fault)?,
                _ => address,
            };
            stage.addresses.borrow_mut()[forwarder].push(told);
            stage.clone().spawn(serve(stage.clone(), forwarder, endpoint, listener, address));
        }
    }
    Ok(())
}

fn listen(address: SocketAddr, backlog: i32) -> std::io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Async::new(socket.into())
}

/// A listener that accepts nothing: its backlog is full, so that new connections wait in vain.
fn unresponsive_listener(address: SocketAddr) -> std::io::Result<(Socket, Vec<Socket>)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(0)?;
    let mut fillers = Vec::new();
    for _ in 0..2 {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // Connected or pending: either way the backlog is full.
        let _ = filler.connect(&address.into());
        fillers.push(filler);
    }
    Ok((socket, fillers))
}

/// Accepts connections, or refuses or ignores them while a fault says so.
async fn serve(
    stage: Rc<LiveRun>,
    forwarder: usize,
    endpoint: usize,
    listener: Async<TcpListener>,
    address: SocketAddr,
) {
    let destination = stage.world.list[endpoint].destination;
    let mut listener = Some(listener);
    let mut closed_to_all = None;
    loop {
        let (fault, changed) = {
            let destinations = stage.destinations.borrow();
            (destinations[destination].model.visible_fault(), destinations[destination].changed.1.clone())
        };
        // A removed endpoint accepts nothing, as its process has ended.
        let gone = stage.list.borrow()[endpoint] == Lifecycle::Removed && stage.now() > crate::world::START;
        match fault {
            Some(Fault::RefuseConnections) => (listener, closed_to_all) = (None, None),
            Some(Fault::Silent) if closed_to_all.is_some() => {}
            Some(Fault::Silent) => {
                listener = None;
                closed_to_all = unresponsive_listener(address).ok();
            }
            _ if listener.is_none() => {
                closed_to_all = None;
                listener = listen(address, BACKLOG).ok();
                if listener.is_none() {
                    // The unresponsive listener's sockets close in a moment.
                    Timer::after(Duration::from_millis(20)).await;
                    continue;
                }
            }
            _ => {}
        }
        let calls_ended = async {
            match &listener {
                Some(l) if !gone => l.accept().await.ok().map(|c| c.0),
                _ => future::pending().await,
            }
        };
        let other = async {
            let _ = changed.recv().await;
            None
        };
        match future::or(other, calls_ended).await {
            // The connection limit counts all forwarders together.
            Some(stream) if stage.held[endpoint].get() >= stage.world.connections[destination] => {
                drop(stream)
            }
            Some(stream) => {
                stage.held[endpoint].set(stage.held[endpoint].get() + 1);
                let stage = stage.clone();
                stage.clone().spawn(async move {
                    converse(&stage, forwarder, endpoint, stream).await;
                    stage.held[endpoint].set(stage.held[endpoint].get() - 1);
                });
            }
            None => {}
        }
    }
}

/// A message in a call: its id and its number.
type Carried = (String, usize);

async fn converse(stage: &Rc<LiveRun>, forwarder: usize, endpoint: usize, stream: Async<TcpStream>) {
    let destination = stage.world.list[endpoint].destination;
    let opened = stage.now();
    let mut connection = HttpConnection::new(stream);
    loop {
        // Idle connections are reset when the destination refuses connections.
        let changed = stage.destinations.borrow()[destination].changed.1.clone();
        let came = async { Some(connection.fill().await) };
        let other = async {
            let _ = changed.recv().await;
            None
        };
        match future::or(came, other).await {
            Some(Ok(n)) if n > 0 => {}
            Some(_) => return,
            None if matches!(
                stage.destinations.borrow()[destination].model.visible_fault(),
                Some(Fault::RefuseConnections)
            ) =>
            {
                return reset(&connection);
            }
            None => continue,
        }
        let first = stage.now();
        let Ok(head) = connection.read_request().await else { return };
        let Ok(body) = connection.request_body(&head, BODY).await else { return };
        let now = stage.now();
        stage.figures.borrow_mut().call(now, destination);
        let batch = head.target == "/v1/messages:batch";
        let carried = match read(stage, &head, &body, batch) {
            Ok(carried) => carried,
            Err(why) => {
                stage.audit.borrow_mut().stray(now, forwarder, why.to_string());
                let _ = connection.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
        };
        for (id, message) in &carried {
            let first_try = stage.sent_requests.borrow()[*message].first;
            if stage.world.requests[first_try].destination != destination {
                stage.audit.borrow_mut().stray(now, forwarder, format!("`{id}` came to another's endpoint"));
            }
            let timing = stage.timing(first_try);
            stage.audit.borrow_mut().sent(now, first, (destination, endpoint), *message, &timing);
            stage.figures.borrow_mut().attempt();
        }
        stage.calls_in_flight.set(stage.calls_in_flight.get() + 1);
        let outcome = work(stage, endpoint, destination, opened, &carried, &mut connection, batch).await;
        stage.calls_in_flight.set(stage.calls_in_flight.get() - 1);
        if let Some(end) = outcome {
            if end == Outcome::Reset {
                reset(&connection);
            }
            return;
        }
        stage.figures.borrow_mut().slot_released(stage.now(), destination, stage.now() - now);
    }
}

/// Resets a connection rather than closing it.
fn reset(connection: &HttpConnection) {
    let _ = SockRef::from(connection.socket()).set_linger(Some(Duration::ZERO));
}

/// Processes a call and responds; returns the outcome if it ends the connection.
async fn work(
    stage: &Rc<LiveRun>,
    endpoint: usize,
    destination: usize,
    opened: Micros,
    carried: &[Carried],
    connection: &mut HttpConnection,
    batch: bool,
) -> Option<Outcome> {
    let now = stage.now();
    let sent = now;
    let (fate, calls_ended) = {
        let mut destinations = stage.destinations.borrow_mut();
        let p = &mut destinations[destination];
        let stranded = p.half_open.is_some_and(|since| opened < since);
        let fate = if stranded && p.model.visible_fault() == Some(Fault::HalfOpenConnections) {
            CallFate { answer: None, report: None, unconnected: false }
        } else {
            p.model.call(now, stage.world.list[endpoint].index, carried.len())
        };
        (fate, p.calls_ended)
    };
    let back = |outcome: Outcome| {
        let now = stage.now();
        for (_, message) in carried {
            stage.audit.borrow_mut().attempt_ended(now, destination, *message, sent, outcome);
            stage.figures.borrow_mut().outcome(outcome);
        }
    };
    // Until the answer is due, the forwarder may time out and a fault may end the call.
    let mut due = fate.answer.map(|a| a.at);
    loop {
        let changed: Receiver<()> = stage.destinations.borrow()[destination].changed.1.clone();
        let answer = async {
            match due {
                Some(at) => stage.until(at).await,
                None => future::pending().await,
            }
            Some(true)
        };
        let other = async {
            let _ = changed.recv().await;
            Some(false)
        };
        let left = async {
            // A forwarder sends nothing before the response, so this is the connection's end.
            let _ = connection.fill().await;
            None
        };
        match future::or(left, future::or(other, answer)).await {
            None => {
                back(Outcome::TimedOut);
                return Some(Outcome::TimedOut);
            }
            Some(true) => break,
            Some(false) => {
                let (now_taken, ended_by_reset) = {
                    let p = &stage.destinations.borrow()[destination];
                    (p.calls_ended, p.ended_by_reset)
                };
                if now_taken != calls_ended {
                    if ended_by_reset {
                        back(Outcome::Reset);
                        return Some(Outcome::Reset);
                    }
                    due = None;
                }
            }
        }
    }
    let answer = fate.answer.expect("one that was due").answer;
    let Some((text, outcome)) = response_text(&fate, answer, carried, batch) else {
        back(Outcome::Reset);
        return Some(Outcome::Reset);
    };
    // The forwarder may have timed out by now.
    if connection.write(text.as_bytes()).await.is_err() {
        back(Outcome::TimedOut);
        return Some(Outcome::TimedOut);
    }
    back(outcome);
    if outcome == Outcome::Ok {
        for (_, message) in carried {
            stage.ended(*message, End::Delivered, false);
        }
    }
    None
}

/// The response to a call, and the outcome it stands for; none if the connection breaks in place of it.
fn response_text(
    fate: &CallFate,
    answer: Answer,
    carried: &[Carried],
    batch: bool,
) -> Option<(String, Outcome)> {
    let load = fate
        .report
        .map_or(String::new(), |r| format!("X-Load: x0={:.4},x1={:.4}\r\n", r.remaining_share, r.rate));
    let (status, extra, outcome) = match answer {
        Answer::Ok => ("200 OK", String::new(), Outcome::Ok),
        Answer::Error => ("500 Failed", String::new(), Outcome::Error),
        Answer::Rejected(None) => ("503 Full", String::new(), Outcome::Rejected(None)),
        Answer::Rejected(Some(wait)) => (
            "429 Full",
            format!("X-RateLimit-Wait-Ms: {:.3}\r\n", wait as f64 / 1e3),
            Outcome::Rejected(Some(wait)),
        ),
        Answer::ConnectionBroken | Answer::ConnectionRefused => return None,
    };
    let body = match (answer, batch) {
        (Answer::Ok, true) => carried.iter().map(|(id, _)| format!("{id} delivered\r\n")).collect(),
        _ => String::new(),
    };
    let text = format!("HTTP/1.1 {status}\r\n{extra}{load}Content-Length: {}\r\n\r\n{body}", body.len());
    Some((text, outcome))
}

/// Why a call of a forwarder is not accepted.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("`{0}` was handed in by nobody")]
    UnknownMessage(String),
    #[error("a call of several that cannot be read")]
    Malformed,
}

/// Reads the messages of a call.
fn read(stage: &LiveRun, head: &RequestHead, body: &[u8], batch: bool) -> Result<Vec<Carried>, CallError> {
    let number = |id: &str| {
        let found = stage.ids.borrow().get(id).copied();
        found.map(|n| (id.to_owned(), n)).ok_or_else(|| CallError::UnknownMessage(id.to_owned()))
    };
    if !batch {
        return Ok(vec![number(head.headers.get("X-Request-Id").unwrap_or_default())?]);
    }
    let mut all = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let odd = || CallError::Malformed;
        let end = rest.windows(2).position(|w| w == b"\r\n").ok_or_else(odd)?;
        let line = std::str::from_utf8(&rest[..end]).map_err(|_| odd())?;
        let mut words = line.split(' ');
        let (id, length) = (words.next().ok_or_else(odd)?, words.nth(1).ok_or_else(odd)?);
        let length: usize = length.parse().map_err(|_| odd())?;
        all.push(number(id)?);
        rest = rest.get(end + 2 + length + 2..).ok_or_else(odd)?;
    }
    Ok(all)
}
