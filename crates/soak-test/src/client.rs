//! Clients: each forwarder gets messages at its rate, on new and on kept-alive connections, from good clients and bad ones.

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
/// New connections come for so long after SIGTERM.
const AFTER_TERM: Duration = Duration::from_millis(350);
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
        let keeps = world.chance(KEEP_ALIVE_SHARE);
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

/// Submits a message; returns its connection if that can be used again.
async fn submit(
    world: &Rc<World>,
    forwarder: &Forwarder,
    id: &str,
    used: Option<HttpConnection>,
    keep_alive: bool,
) -> Option<HttpConnection> {
    let is_new = used.is_none();
    let begun = Instant::now();
    let (process, terminated_at) = (forwarder.starts.get(), forwarder.terminated_at.get());
    let mut connection = match used {
        Some(connection) => connection,
        None => HttpConnection::new(Async::<TcpStream>::connect(forwarder.listen).await.ok()?),
    };
    let request = draw_request(world, forwarder.number, id);
    let half_closes = is_new && world.chance(HALF_CLOSE_SHARE);
    let is_written = connection.write(request.as_bytes()).await.is_ok();
    if half_closes {
        connection.shutdown_write();
    }
    match read_response(world, &mut connection).await {
        Response::Received { status: status @ (202 | 200 | 429 | 503), keeps_alive } => {
            match status {
                202 | 200 => world.checker.borrow_mut().accepted(id),
                _ => world.checker.borrow_mut().count("rejected"),
            }
            return (keeps_alive && keep_alive && !half_closes).then_some(connection);
        }
        Response::Received { status: 500, .. } => world.checker.borrow_mut().count("failed at once"),
        Response::Received { status, .. } => {
            world.checker.borrow_mut().violate("answers", format!("{id}: answered with {status}"));
        }
        Response::TimedOut => world.checker.borrow_mut().count("client timed out"),
        Response::Closed => {
            // A kept connection may be closed between two requests, and a process may have died or be about to.
            let died = forwarder.starts.get() != process || forwarder.killed.get();
            let came_late = terminated_at.is_some_and(|at| begun > at + AFTER_TERM);
            if is_new && is_written && !died && !came_late {
                let what = format!("{id}: its new connection was closed with no answer");
                world.checker.borrow_mut().violate("unanswered", what);
            }
            world.checker.borrow_mut().count("connection closed");
        }
    }
    None
}

/// Draws a message and tells the checker of it; the text of its request.
fn draw_request(world: &World, forwarder: usize, id: &str) -> String {
    let class = &world.classes[world.below(world.classes.len())];
    let destination = world.below(crate::faults::DESTINATIONS);
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
            checker.violate("bad-clients", format!("neither error nor close within 3 s for {text:?}"));
        }
    }
}
