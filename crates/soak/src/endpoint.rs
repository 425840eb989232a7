//! Partners' endpoints. Each listens once, for all forwarders; a message's id tells whose it is.

use crate::judge::CallEnd;
use crate::world::{sleep, Endpoint, Mood, World};
use async_io::{Async, Timer};
use cedarbridge::net::http::{HttpConnection, RequestHead};
use futures_lite::future;
use socket2::SockRef;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a call's work takes, in milliseconds.
const WORK: (u64, u64) = (2, 60);
/// How often a connection looks whether its endpoint has forgotten it.
const LOOK: Duration = Duration::from_millis(20);

/// Begins an endpoint of a destination.
pub fn begin(
    world: &Rc<World>,
    name: String,
    destination: usize,
    zone: usize,
) -> std::io::Result<Rc<Endpoint>> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let endpoint = Rc::new(Endpoint {
        name,
        destination,
        zone,
        address: listener.get_ref().local_addr()?,
        mood: Mood::Well.into(),
        lifecycle: "active".into(),
        forgets: 0.into(),
    });
    let number = world.endpoints.borrow().len();
    world.endpoints.borrow_mut().push(endpoint.clone());
    let (serving, at) = (world.clone(), endpoint.clone());
    world.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if at.mood.get() == Mood::Shuts {
                continue;
            }
            serving.spawn(serve(serving.clone(), at.clone(), number, stream));
        }
    });
    Ok(endpoint)
}

async fn serve(world: Rc<World>, endpoint: Rc<Endpoint>, number: usize, stream: Async<TcpStream>) {
    let mut wire = HttpConnection::new(stream);
    let forgets = endpoint.forgets.get();
    loop {
        // Between calls the endpoint may forget the connection.
        let came = async { Some(wire.fill().await) };
        let forgotten = async {
            while endpoint.forgets.get() == forgets {
                sleep(LOOK).await;
            }
            None
        };
        match future::or(came, forgotten).await {
            Some(Ok(read)) if read > 0 => {}
            Some(_) => return,
            None => return reset(&wire),
        }
        let first_byte = Instant::now();
        let Ok(head) = wire.read_request().await else { return };
        let Ok(body) = wire.request_body(&head, 1 << 20).await else { return };
        let place = (number, endpoint.destination, endpoint.zone);
        let mut calls = Vec::new();
        for id in ids(&head, &body) {
            let call = world.judge.borrow_mut().call(&id, place, first_byte);
            calls.extend(call.map(|n| (id, n)));
        }
        let batch = head.target.ends_with(":batch");
        let (end, keeps) = answer(&world, &endpoint, &calls, &mut wire, batch).await;
        let mut judge = world.judge.borrow_mut();
        calls.iter().for_each(|(id, call)| judge.call_ended(id, *call, end));
        if !keeps {
            return;
        }
    }
}

fn reset(wire: &HttpConnection) {
    let _ = SockRef::from(wire.socket()).set_linger(Some(Duration::ZERO));
}

/// Does a call's work; how it ended, and whether the connection goes on.
async fn answer(
    world: &World,
    endpoint: &Endpoint,
    calls: &[(String, usize)],
    wire: &mut HttpConnection,
    batch: bool,
) -> (CallEnd, bool) {
    let mood = endpoint.mood.get();
    let worked = async {
        match mood {
            Mood::Hangs => future::pending().await,
            Mood::Refuses(_) => {}
            _ => drop(Timer::after(world.span(WORK.0, WORK.1)).await),
        }
        true
    };
    // A forwarder sends nothing more before its answer: it has given the call up.
    let left = async {
        let _ = wire.fill().await;
        false
    };
    if !future::or(worked, left).await {
        return (CallEnd::Unsure, false);
    }
    let (text, end) = match mood {
        Mood::Resets => {
            reset(wire);
            return (CallEnd::Unsure, false);
        }
        Mood::Errs => ("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n".to_owned(), CallEnd::Unsure),
        Mood::HalfAnswers => ("HTTP/1.1 2".to_owned(), CallEnd::Unsure),
        Mood::Refuses(pause) => {
            let text =
                format!("HTTP/1.1 429 Wait\r\nX-RateLimit-Wait-Ms: {pause}\r\nContent-Length: 0\r\n\r\n");
            (text, CallEnd::Refused)
        }
        _ => {
            let each = |(id, _): &(String, usize)| format!("{id} delivered\r\n");
            let body: String = if batch { calls.iter().map(each).collect() } else { String::new() };
            (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()), CallEnd::Delivered)
        }
    };
    if wire.write(text.as_bytes()).await.is_err() {
        return (CallEnd::Unsure, false);
    }
    if let Mood::Refuses(pause) = mood {
        let mut judge = world.judge.borrow_mut();
        let pause = Duration::from_millis(pause);
        calls.iter().for_each(|(id, _)| judge.pause_told(id, endpoint.destination, pause));
    }
    if mood == Mood::HalfAnswers {
        let left = async {
            let _ = wire.fill().await;
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
