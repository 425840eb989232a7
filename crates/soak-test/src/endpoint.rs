//! The destinations' endpoints. Each has one listener for all forwarders; a message's id tells which forwarder sent it.

use crate::checker::CallTarget;
use crate::environment::{sleep, Behaviour, Endpoint, Environment};
use crate::observation::AttemptOutcome;
use async_io::{Async, Timer};
use cedarbridge::net::http::{HttpConnection, RequestHead};
use futures_lite::future;
use socket2::{Domain, SockRef, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The shortest time that an endpoint takes for a call, in milliseconds.
const MIN_WORK_MS: u64 = 2;
/// The longest time that an endpoint takes for a call, in milliseconds.
const MAX_WORK_MS: u64 = 60;
/// Length of the queue of connections to be accepted. When it is full, the kernel drops connection attempts, and the
/// caller's kernel repeats them a second later.
pub const BACKLOG: i32 = 16;
/// How often a connection checks whether its endpoint resets idle connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts an endpoint of a destination and adds it to the endpoint list.
///
/// # Errors
/// The listener cannot be opened.
pub fn start(
    environment: &Rc<Environment>,
    name: String,
    destination: usize,
    zone: usize,
) -> std::io::Result<Rc<Endpoint>> {
    let listener = bind_listener()?;
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
    let number = environment.endpoints.borrow().len();
    environment.endpoints.borrow_mut().push(endpoint.clone());
    let (task_environment, accepting_endpoint) = (environment.clone(), endpoint.clone());
    environment.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if accepting_endpoint.accepts_late.get() {
                wait_until_accepting(&accepting_endpoint).await;
                // Drops the connections in the queue: requests that were sent on them earlier would count as sent now.
                while listener.get_ref().accept().is_ok() {}
                continue;
            }
            if current_behaviour(&task_environment, &accepting_endpoint) == Behaviour::ClosesConnections {
                continue;
            }
            task_environment.spawn(serve_connection(
                task_environment.clone(),
                accepting_endpoint.clone(),
                number,
                stream,
            ));
        }
    });
    Ok(endpoint)
}

async fn wait_until_accepting(endpoint: &Endpoint) {
    while endpoint.accepts_late.get() {
        sleep(POLL_INTERVAL).await;
    }
}

fn bind_listener() -> std::io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

/// Reads calls from a connection, reports them to the checker and answers them, until the connection is closed.
async fn serve_connection(
    environment: Rc<Environment>,
    endpoint: Rc<Endpoint>,
    number: usize,
    stream: Async<TcpStream>,
) {
    let mut connection = HttpConnection::new(stream);
    let reset_count = endpoint.reset_count.get();
    loop {
        // Between calls, a fault may make the endpoint reset the connection.
        let readable = async { Some(connection.fill().await) };
        let reset_requested = async {
            while endpoint.reset_count.get() == reset_count {
                sleep(POLL_INTERVAL).await;
            }
            None
        };
        match future::or(readable, reset_requested).await {
            Some(Ok(read)) if read > 0 => {}
            Some(_) => return,
            None => return reset_connection(&connection),
        }
        let first_byte = Instant::now();
        let Ok(head) = connection.read_request().await else { return };
        let Ok(body) = connection.request_body(&head, 1 << 20).await else { return };
        let target = CallTarget { endpoint: number, destination: endpoint.destination, zone: endpoint.zone };
        let mut attempts = Vec::new();
        let ids = message_ids(&head, &body);
        if let Some(id) = ids.first() {
            environment.checker.borrow_mut().record_call(id, endpoint.destination);
        }
        for id in ids {
            let attempt = environment.checker.borrow_mut().record_attempt(&id, target, first_byte);
            attempts.extend(attempt.map(|number| (id, number)));
        }
        let batch = head.target.ends_with(":batch");
        let (outcome, keep_alive) =
            process_call(&environment, &endpoint, &attempts, &mut connection, batch).await;
        let mut checker = environment.checker.borrow_mut();
        attempts.iter().for_each(|(id, attempt)| checker.record_attempt_end(id, *attempt, outcome));
        if !keep_alive {
            return;
        }
    }
}

/// How an endpoint behaves at present: its own behaviour, or resets while its destination is down.
fn current_behaviour(environment: &Environment, endpoint: &Endpoint) -> Behaviour {
    if environment.destinations_down.borrow()[endpoint.destination] {
        return Behaviour::Resets;
    }
    endpoint.behaviour.get()
}

/// Makes the closing of the connection a reset.
fn reset_connection(connection: &HttpConnection) {
    let _ = SockRef::from(connection.socket()).set_linger(Some(Duration::ZERO));
}

/// Processes a call and answers it as the endpoint's behaviour demands. Returns how the attempts ended, and whether the
/// connection is kept alive.
async fn process_call(
    environment: &Environment,
    endpoint: &Endpoint,
    attempts: &[(String, usize)],
    connection: &mut HttpConnection,
    batch: bool,
) -> (AttemptOutcome, bool) {
    let behaviour = current_behaviour(environment, endpoint);
    let work_done = async {
        match behaviour {
            Behaviour::Hangs => future::pending().await,
            Behaviour::Rejects(_) => {}
            _ => drop(Timer::after(environment.random_duration(MIN_WORK_MS, MAX_WORK_MS)).await),
        }
        true
    };
    // A forwarder sends nothing more before the response. Data or a close means that it has abandoned the call.
    let abandoned = async {
        let _ = connection.fill().await;
        false
    };
    if !future::or(work_done, abandoned).await {
        return (AttemptOutcome::MayHaveRun, false);
    }
    let (response, outcome) = match behaviour {
        Behaviour::Resets => {
            reset_connection(connection);
            return (AttemptOutcome::MayHaveRun, false);
        }
        Behaviour::Fails => {
            ("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n".to_owned(), AttemptOutcome::MayHaveRun)
        }
        Behaviour::TruncatesAnswers => ("HTTP/1.1 2".to_owned(), AttemptOutcome::MayHaveRun),
        Behaviour::Rejects(retry_after_ms) => {
            let response = format!(
                "HTTP/1.1 429 Wait\r\nX-RateLimit-Wait-Ms: {retry_after_ms}\r\nContent-Length: 0\r\n\r\n"
            );
            (response, AttemptOutcome::Rejected)
        }
        _ => {
            let result_line = |(id, _): &(String, usize)| format!("{id} delivered\r\n");
            let body: String = if batch { attempts.iter().map(result_line).collect() } else { String::new() };
            (
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
                AttemptOutcome::Delivered,
            )
        }
    };
    if connection.write(response.as_bytes()).await.is_err() {
        return (AttemptOutcome::MayHaveRun, false);
    }
    if let Behaviour::Rejects(retry_after_ms) = behaviour {
        let mut checker = environment.checker.borrow_mut();
        let retry_after = Duration::from_millis(retry_after_ms);
        attempts.iter().for_each(|(id, _)| checker.record_retry_after(id, endpoint.destination, retry_after));
    }
    if behaviour == Behaviour::TruncatesAnswers {
        let closed = async {
            let _ = connection.fill().await;
        };
        future::or(closed, sleep(environment.random_duration(50, 400))).await;
        return (outcome, false);
    }
    (outcome, true)
}

/// The ids of the messages that a call carries: one from its header, or those of the batch in its body. Each message of a
/// batch begins with a line, whose first word is the id and whose third word is the length of the message in bytes.
fn message_ids(head: &RequestHead, mut body: &[u8]) -> Vec<String> {
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
