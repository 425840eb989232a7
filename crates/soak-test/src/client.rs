//! Clients: each forwarder gets messages at its rate, on new and on kept-alive connections, from good clients and bad ones.

use crate::deployment::BUSY_SHARE;
use crate::forwarder::Forwarder;
use crate::world::{sleep, World};
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use futures_lite::future;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bad clients are owed an error or a close within this.
const BAD_OWED: Duration = Duration::from_millis(3_000);
/// New connections come for so long after SIGTERM; kept ones are used for as long as they stay open.
const AFTER_TERM: Duration = Duration::from_millis(400);
/// Share of the clients that keep their connection alive.
const KEEP_ALIVE_SHARE: f64 = 0.5;
/// Share of the clients that shut down their side after the request.
const HALF_CLOSE_SHARE: f64 = 0.02;
/// Share of the clients that misbehave.
const BAD_CLIENT_SHARE: f64 = 0.03;

/// Sends messages to a forwarder until submissions are over.
pub async fn run(world: Rc<World>, forwarder: Rc<Forwarder>) {
    let mut kept: Vec<HttpConnection> = Vec::new();
    let mut number = 0;
    while !world.submissions_over.get() {
        let mean = 1.0 / world.options.rate;
        let pause = -mean * (1.0 - world.random.borrow_mut().f64()).ln();
        sleep(Duration::from_secs_f64(pause.min(4.0 * mean))).await;
        if world.chance(BAD_CLIENT_SHARE) {
            world.spawn(misbehave(world.clone(), forwarder.clone()));
            continue;
        }
        number += 1;
        let id = format!("f{}-{number}", forwarder.number);
        let keeps = world.chance(KEEP_ALIVE_SHARE) || forwarder.terminated_at.get().is_some();
        let used = if keeps { kept.pop() } else { None };
        let world = world.clone();
        let (send, receive) = async_channel::bounded(1);
        let forwarder = forwarder.clone();
        world.clone().spawn(async move {
            let connection = submit(&world, &forwarder, &id, used, keeps).await;
            let _ = send.try_send(connection);
        });
        // Who is done soon leaves its connection for the next client.
        let timed_out = async {
            Timer::after(Duration::from_millis(20)).await;
            None
        };
        let back = future::or(async { receive.recv().await.ok().flatten() }, timed_out).await;
        kept.extend(back.filter(|_| kept.len() < 4));
    }
}

/// How a client's wait ended.
enum Response {
    Received { status: u16, keeps_alive: bool },
    Closed,
    TimedOut,
}

/// How a request was sent.
struct Sending {
    is_new: bool,
    half_closes: bool,
    keep_alive: bool,
    /// The process that the connection led to.
    process: u32,
}

/// How the sending of a request ended.
enum SendingEnd {
    /// Nothing more is to be done; its connection if that can be used again.
    Over(Option<HttpConnection>),
    /// Its kept connection was closed between two requests.
    KeptConnectionClosed,
}

/// Submits a message; returns its connection if that can be used again. A kept connection may be closed as the request
/// crosses: then it is sent once more, on a new one.
async fn submit(
    world: &Rc<World>,
    forwarder: &Forwarder,
    id: &str,
    used: Option<HttpConnection>,
    keep_alive: bool,
) -> Option<HttpConnection> {
    let process = forwarder.starts.get();
    if let Some(connection) = used {
        let request = draw_request(world, forwarder.number, id);
        let sending = Sending { is_new: false, half_closes: false, keep_alive, process };
        match send(world, forwarder, id, &request, connection, sending).await {
            SendingEnd::Over(connection) => return connection,
            SendingEnd::KeptConnectionClosed => {}
        }
        let connection = connect(forwarder).await?;
        world.checker.borrow_mut().submitted_again(id);
        let process = forwarder.starts.get();
        let sending = Sending { is_new: true, half_closes: false, keep_alive, process };
        return over(send(world, forwarder, id, &request, connection, sending).await);
    }
    let connection = connect(forwarder).await?;
    let request = draw_request(world, forwarder.number, id);
    let half_closes = world.chance(HALF_CLOSE_SHARE);
    let sending = Sending { is_new: true, half_closes, keep_alive, process };
    over(send(world, forwarder, id, &request, connection, sending).await)
}

fn over(end: SendingEnd) -> Option<HttpConnection> {
    match end {
        SendingEnd::Over(connection) => connection,
        SendingEnd::KeptConnectionClosed => None,
    }
}

/// A new connection, unless the forwarder has been told to end for so long that nobody is sent to it any more.
async fn connect(forwarder: &Forwarder) -> Option<HttpConnection> {
    if forwarder.terminated_at.get().is_some_and(|at| at.elapsed() > AFTER_TERM) {
        return None;
    }
    Some(HttpConnection::new(Async::<TcpStream>::connect(forwarder.listen).await.ok()?))
}

/// Sends a request and waits for its response.
async fn send(
    world: &Rc<World>,
    forwarder: &Forwarder,
    id: &str,
    request: &str,
    mut connection: HttpConnection,
    sending: Sending,
) -> SendingEnd {
    let is_written = connection.write(request.as_bytes()).await.is_ok();
    if sending.half_closes {
        connection.shutdown_write();
    }
    match read_response(world, &mut connection).await {
        Response::Received { status: status @ (202 | 200 | 429 | 503), keeps_alive } => {
            match status {
                202 | 200 => world.checker.borrow_mut().accepted(id),
                _ => world.checker.borrow_mut().count("rejected"),
            }
            let reusable = keeps_alive && sending.keep_alive && !sending.half_closes;
            return SendingEnd::Over(reusable.then_some(connection));
        }
        Response::Received { status: 500, .. } => world.checker.borrow_mut().count("failed at once"),
        Response::Received { status, .. } => {
            world.checker.borrow_mut().violate("answers", format!("{id}: answered with {status}"));
        }
        Response::TimedOut => world.checker.borrow_mut().count("client timed out"),
        Response::Closed => {
            let died = forwarder.starts.get() != sending.process || forwarder.killed.get();
            if died {
                world.checker.borrow_mut().count("process died");
                return SendingEnd::Over(None);
            }
            world.checker.borrow_mut().closed_unanswered(id);
            if !sending.is_new {
                return SendingEnd::KeptConnectionClosed;
            }
            if is_written {
                let what = format!("{id}: its new connection was closed with no answer");
                world.checker.borrow_mut().violate("unanswered", what);
            }
        }
    }
    SendingEnd::Over(None)
}

/// Draws a message and tells the checker of it; the text of its request.
fn draw_request(world: &World, forwarder: usize, id: &str) -> String {
    let class = &world.classes[world.below(world.classes.len())];
    let destination = world.destination(BUSY_SHARE);
    let time = match world.below(10) {
        0 => world.span(40, 120),
        1..=3 => world.span(500, 2_500),
        _ => world.span(3_000, 6_000),
    };
    let size = world.below(600);
    let body = "x".repeat(size);
    world.checker.borrow_mut().submitted(id, forwarder, destination, class.idempotency, time);
    format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Tenant: acme\r\nX-Deadline: {}m\r\n\
         Idempotency-Key: key-{id}\r\nX-Addressing: dest={destination}\r\nContent-Length: {size}\r\n\r\n{body}",
        class.name,
        time.as_millis(),
    )
}

/// Waits for the response as long as clients do.
async fn read_response(world: &World, connection: &mut HttpConnection) -> Response {
    let answered = async {
        match connection.read_response().await {
            Ok(head) => match connection.response_body(&head, 4096).await {
                Ok(_) => Response::Received { status: head.status, keeps_alive: head.keep_alive },
                Err(_) => Response::Closed,
            },
            Err(_) => Response::Closed,
        }
    };
    let timed_out = async {
        Timer::after(world.options.patience).await;
        Response::TimedOut
    };
    future::or(answered, timed_out).await
}

/// Bad clients: half a request, silence, noise, two requests at once.
async fn misbehave(world: Rc<World>, forwarder: Rc<Forwarder>) {
    let text = match world.below(4) {
        0 => "POST /api HTTP/1.1\r\nX-Request-Id: half\r\n",
        1 => "",
        2 => "GARBAGE\r\n\r\n",
        _ => "GET /_health HTTP/1.1\r\n\r\nGET /_health HTTP/1.1\r\n\r\n",
    };
    let process = forwarder.starts.get();
    let Ok(stream) = Async::<TcpStream>::connect(forwarder.listen).await else { return };
    let mut connection = HttpConnection::new(stream);
    let begun = Instant::now();
    if connection.write(text.as_bytes()).await.is_err() {
        return;
    }
    let answered = async {
        let _ = connection.fill().await;
        true
    };
    let timed_out = async {
        Timer::after(BAD_OWED).await;
        false
    };
    if !future::or(answered, timed_out).await {
        let mut checker = world.checker.borrow_mut();
        let excused = forwarder.starts.get() != process || checker.was_unavailable(forwarder.number, begun);
        if !excused {
            let what =
                format!("forwarder {}: neither error nor close within 3 s for {text:?}", forwarder.number);
            checker.violate("bad-clients", what);
        }
    }
}
