//! The destinations' endpoints. Each listens once, for all forwarders; a message's id says whose it is.

use crate::checker::CallTarget;
use crate::observation::AttemptOutcome;
use crate::world::{sleep, Behaviour, Endpoint, World};
use async_io::{Async, Timer};
use cedarbridge::net::http::{HttpConnection, RequestHead};
use futures_lite::future;
use socket2::{Domain, SockRef, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The least and the most that a call's work takes, in milliseconds.
const LEAST_WORK_MS: u64 = 2;
const MOST_WORK_MS: u64 = 60;
/// Connections that wait to be accepted; beyond that the system drops a connect, which is tried again a second later.
pub const BACKLOG: i32 = 16;
/// How often a connection checks whether its endpoint resets idle connections.
const POLL: Duration = Duration::from_millis(20);

/// Starts an endpoint of a destination.
pub fn start(
    world: &Rc<World>,
    name: String,
    destination: usize,
    zone: usize,
) -> std::io::Result<Rc<Endpoint>> {
    let listener = listen()?;
    let endpoint = Rc::new(Endpoint {
        name,
        destination,
        zone,
        address: listener.get_ref().local_addr()?,
        behaviour: Behaviour::Normal.into(),
        lifecycle: "active".into(),
        accepts_late: false.into(),
        reset_count: 0.into(),
    });
    let number = world.endpoints.borrow().len();
    world.endpoints.borrow_mut().push(endpoint.clone());
    let (serving, at) = (world.clone(), endpoint.clone());
    world.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if at.accepts_late.get() {
                until_accepting(&at).await;
                // What these have sent would be taken for sent now.
                while listener.get_ref().accept().is_ok() {}
                continue;
            }
            if behaviour(&serving, &at) == Behaviour::ClosesConnections {
                continue;
            }
            serving.spawn(serve(serving.clone(), at.clone(), number, stream));
        }
    });
    Ok(endpoint)
}

async fn until_accepting(endpoint: &Endpoint) {
    while endpoint.accepts_late.get() {
        sleep(POLL).await;
    }
}

fn listen() -> std::io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

async fn serve(world: Rc<World>, endpoint: Rc<Endpoint>, number: usize, stream: Async<TcpStream>) {
    let mut connection = HttpConnection::new(stream);
    let reset_count = endpoint.reset_count.get();
    loop {
        // Between calls the endpoint may reset the connection.
        let readable = async { Some(connection.fill().await) };
        let reset_requested = async {
            while endpoint.reset_count.get() == reset_count {
                sleep(POLL).await;
            }
            None
        };
        match future::or(readable, reset_requested).await {
            Some(Ok(read)) if read > 0 => {}
            Some(_) => return,
            None => return reset(&connection),
        }
        let first_byte = Instant::now();
        let Ok(head) = connection.read_request().await else { return };
        let Ok(body) = connection.request_body(&head, 1 << 20).await else { return };
        let target = CallTarget { endpoint: number, destination: endpoint.destination, zone: endpoint.zone };
        let mut calls = Vec::new();
        let ids = ids(&head, &body);
        if let Some(id) = ids.first() {
            world.checker.borrow_mut().call_received(id, endpoint.destination);
        }
        for id in ids {
            let call = world.checker.borrow_mut().attempt(&id, target, first_byte);
            calls.extend(call.map(|n| (id, n)));
        }
        let batch = head.target.ends_with(":batch");
        let (end, keeps) = answer(&world, &endpoint, &calls, &mut connection, batch).await;
        let mut checker = world.checker.borrow_mut();
        calls.iter().for_each(|(id, call)| checker.attempt_ended(id, *call, end));
        if !keeps {
            return;
        }
    }
}

/// How an endpoint behaves at present.
fn behaviour(world: &World, endpoint: &Endpoint) -> Behaviour {
    if world.down.borrow()[endpoint.destination] {
        return Behaviour::Resets;
    }
    endpoint.behaviour.get()
}

fn reset(connection: &HttpConnection) {
    let _ = SockRef::from(connection.socket()).set_linger(Some(Duration::ZERO));
}

/// Does a call's work; returns how it ended, and whether the connection is kept alive.
async fn answer(
    world: &World,
    endpoint: &Endpoint,
    calls: &[(String, usize)],
    connection: &mut HttpConnection,
    batch: bool,
) -> (AttemptOutcome, bool) {
    let behaviour = behaviour(world, endpoint);
    let worked = async {
        match behaviour {
            Behaviour::Hangs => future::pending().await,
            Behaviour::Rejects(_) => {}
            _ => drop(Timer::after(world.span(LEAST_WORK_MS, MOST_WORK_MS)).await),
        }
        true
    };
    // A forwarder sends nothing more before the answer: it has abandoned the call.
    let abandoned = async {
        let _ = connection.fill().await;
        false
    };
    if !future::or(worked, abandoned).await {
        return (AttemptOutcome::MayHaveRun, false);
    }
    let (text, end) = match behaviour {
        Behaviour::Resets => {
            reset(connection);
            return (AttemptOutcome::MayHaveRun, false);
        }
        Behaviour::Fails => {
            ("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n".to_owned(), AttemptOutcome::MayHaveRun)
        }
        Behaviour::TruncatesAnswers => ("HTTP/1.1 2".to_owned(), AttemptOutcome::MayHaveRun),
        Behaviour::Rejects(pause) => {
            let text =
                format!("HTTP/1.1 429 Wait\r\nX-RateLimit-Wait-Ms: {pause}\r\nContent-Length: 0\r\n\r\n");
            (text, AttemptOutcome::Rejected)
        }
        _ => {
            let each = |(id, _): &(String, usize)| format!("{id} delivered\r\n");
            let body: String = if batch { calls.iter().map(each).collect() } else { String::new() };
            (
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
                AttemptOutcome::Delivered,
            )
        }
    };
    if connection.write(text.as_bytes()).await.is_err() {
        return (AttemptOutcome::MayHaveRun, false);
    }
    if let Behaviour::Rejects(pause) = behaviour {
        let mut checker = world.checker.borrow_mut();
        let pause = Duration::from_millis(pause);
        calls.iter().for_each(|(id, _)| checker.retry_after_sent(id, endpoint.destination, pause));
    }
    if behaviour == Behaviour::TruncatesAnswers {
        let left = async {
            let _ = connection.fill().await;
        };
        future::or(left, sleep(world.span(50, 400))).await;
        return (end, false);
    }
    (end, true)
}

fn ids(head: &RequestHead, mut body: &[u8]) -> Vec<String> {
    if let Some(id) = head.headers.get("X-Request-Id") {
        return vec![id.to_owned()];
    }
    let mut ids = Vec::new();
    while let Some(end) = body.windows(2).position(|w| w == b"\r\n") {
        let line = String::from_utf8_lossy(&body[..end]).into_owned();
        let mut words = line.split(' ');
        let (Some(id), Some(length)) = (words.next(), words.nth(1).and_then(|l| l.parse::<usize>().ok()))
        else {
            break;
        };
        ids.push(id.to_owned());
        body = body.get(end + 2 + length + 2..).unwrap_or_default();
    }
    ids
}
