//! Clients: each forwarder gets messages at its rate, on new and on kept connections, from good clients and bad ones.

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
/// Shares of the clients: those that keep their connection, those that end their sending, those that misbehave.
const KEEPS: f64 = 0.5;
const ENDS_SENDING: f64 = 0.02;
const MISBEHAVES: f64 = 0.03;

/// Hands in messages to a forwarder until the run is over.
pub async fn run(world: Rc<World>, forwarder: Rc<Forwarder>) {
    let mut kept: Vec<HttpConnection> = Vec::new();
    let mut number = 0;
    while !world.closing.get() {
        let mean = 1.0 / world.size.rate;
        let pause = -mean * (1.0 - world.random.borrow_mut().f64()).ln();
        sleep(Duration::from_secs_f64(pause.min(4.0 * mean))).await;
        if world.chance(MISBEHAVES) {
            world.spawn(misbehave(world.clone(), forwarder.clone()));
            continue;
        }
        number += 1;
        let id = format!("f{}-{number}", forwarder.number);
        let keeps = world.chance(KEEPS);
        let used = if keeps { kept.pop() } else { None };
        let world = world.clone();
        let (send, receive) = async_channel::bounded(1);
        let forwarder = forwarder.clone();
        world.clone().spawn(async move {
            let wire = hand_in(&world, &forwarder, &id, used, keeps).await;
            let _ = send.try_send(wire);
        });
        // Whoever is done soon leaves its connection for the next.
        let late = async {
            Timer::after(Duration::from_millis(20)).await;
            None
        };
        let back = future::or(async { receive.recv().await.ok().flatten() }, late).await;
        kept.extend(back.filter(|_| kept.len() < 4));
    }
}

enum Heard {
    Status(u16, bool),
    Closed,
    Nothing,
}

async fn hand_in(
    world: &Rc<World>,
    forwarder: &Forwarder,
    id: &str,
    used: Option<HttpConnection>,
    keeps: bool,
) -> Option<HttpConnection> {
    let new = used.is_none();
    let since = Instant::now();
    let (process, was_going) = (forwarder.starts.get(), forwarder.going_since.get());
    let mut wire = match used {
        Some(wire) => wire,
        None => HttpConnection::new(Async::<TcpStream>::connect(forwarder.listen).await.ok()?),
    };
    let class = &world.classes[world.below(world.classes.len())];
    let destination = world.below(crate::troubles::DESTINATIONS);
    let time = match world.below(10) {
        0 => world.span(40, 120),
        1..=3 => world.span(500, 2_500),
        _ => world.span(3_000, 6_000),
    };
    let size = world.below(600);
    let body = "x".repeat(size);
    let text = format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Tenant: acme\r\nX-Deadline: {}m\r\n\
         Idempotency-Key: key-{id}\r\nX-Addressing: dest={destination}\r\nContent-Length: {size}\r\n\r\n{body}",
        class.name,
        time.as_millis(),
    );
    world.judge.borrow_mut().handed_in(id, forwarder.number, destination, class.effect, time);
    let ends_sending = new && world.chance(ENDS_SENDING);
    let written = wire.write(text.as_bytes()).await.is_ok();
    if ends_sending {
        wire.shutdown_write();
    }
    let answered = async {
        match wire.read_response().await {
            Ok(head) => match wire.response_body(&head, 4096).await {
                Ok(_) => Heard::Status(head.status, head.keep_alive),
                Err(_) => Heard::Closed,
            },
            Err(_) => Heard::Closed,
        }
    };
    let late = async {
        Timer::after(world.size.patience).await;
        Heard::Nothing
    };
    match future::or(answered, late).await {
        Heard::Status(202 | 200, goes_on) => {
            world.judge.borrow_mut().taken(id);
            return (goes_on && keeps && !ends_sending).then_some(wire);
        }
        Heard::Status(429 | 503, goes_on) => {
            world.judge.borrow_mut().count("refused");
            return (goes_on && keeps && !ends_sending).then_some(wire);
        }
        Heard::Status(500, _) => world.judge.borrow_mut().count("failed at once"),
        Heard::Status(status, _) => {
            world.judge.borrow_mut().violate("answers", format!("{id}: answered with {status}"));
        }
        Heard::Nothing => world.judge.borrow_mut().count("client gave up"),
        Heard::Closed => {
            // A kept connection may be closed between two requests, and a process may have died or be about to.
            let died = forwarder.starts.get() != process || forwarder.killed.get();
            let late = was_going.is_some_and(|at| since > at + AFTER_TERM);
            if new && written && !died && !late {
                let what = format!("{id}: its new connection was closed with no answer");
                world.judge.borrow_mut().violate("unanswered", what);
            }
            world.judge.borrow_mut().count("closed on");
        }
    }
    None
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
    let mut wire = HttpConnection::new(stream);
    let begun = Instant::now();
    if wire.write(text.as_bytes()).await.is_err() {
        return;
    }
    let answered = async {
        let _ = wire.fill().await;
        true
    };
    let late = async {
        Timer::after(BAD_OWED).await;
        false
    };
    if !future::or(answered, late).await {
        let mut judge = world.judge.borrow_mut();
        let excused = forwarder.starts.get() != process || judge.was_away(forwarder.number, begun);
        if !excused {
            judge.violate("bad-clients", format!("neither error nor close within 3 s for {text:?}"));
        }
    }
}
