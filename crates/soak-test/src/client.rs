//! Clients: each forwarder gets messages at the run's rate, on new and on kept-alive connections. A few clients misbehave.

use crate::deployment::BUSY_MESSAGE_SHARE;
use crate::environment::{sleep, Environment};
use crate::forwarder::Forwarder;
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use futures_lite::future;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A misbehaving client must get an error response or a close within this time.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Clients open new connections for this long after SIGTERM. They use kept-alive ones for as long as these stay open.
const CONNECT_PERIOD_AFTER_SIGTERM: Duration = Duration::from_millis(400);
/// Share of the clients that keep their connection alive.
const KEEP_ALIVE_SHARE: f64 = 0.5;
/// Share of the new connections whose client closes its sending side after the request.
const HALF_CLOSE_SHARE: f64 = 0.02;
/// Share of the clients that misbehave.
const BAD_CLIENT_SHARE: f64 = 0.03;

/// Submits messages to a forwarder at random intervals until `submissions_ended` is set.
pub async fn run(environment: Rc<Environment>, forwarder: Rc<Forwarder>) {
    let mut kept_connections: Vec<HttpConnection> = Vec::new();
    let mut message_number = 0;
    while !environment.submissions_ended.get() {
        let mean_interval = 1.0 / environment.options.rate;
        let interval = -mean_interval * (1.0 - environment.random.borrow_mut().f64()).ln();
        sleep(Duration::from_secs_f64(interval.min(4.0 * mean_interval))).await;
        if environment.random_bool(BAD_CLIENT_SHARE) {
            environment.spawn(run_bad_client(environment.clone(), forwarder.clone()));
            continue;
        }
        message_number += 1;
        let id = format!("f{}-{message_number}", forwarder.number);
        let keep_alive =
            environment.random_bool(KEEP_ALIVE_SHARE) || forwarder.sigterm_sent_at.get().is_some();
        let kept_connection = if keep_alive { kept_connections.pop() } else { None };
        let environment = environment.clone();
        let (sender, receiver) = async_channel::bounded(1);
        let forwarder = forwarder.clone();
        environment.clone().spawn(async move {
            let connection = submit(&environment, &forwarder, &id, kept_connection, keep_alive).await;
            let _ = sender.try_send(connection);
        });
        // A client that gets its response within 20 ms leaves its connection to a later one.
        let timed_out = async {
            Timer::after(Duration::from_millis(20)).await;
            None
        };
        let returned_connection = future::or(async { receiver.recv().await.ok().flatten() }, timed_out).await;
        kept_connections.extend(returned_connection.filter(|_| kept_connections.len() < 4));
    }
}

/// How a client's wait for a response ended.
enum Response {
    Received { status: u16, keeps_alive: bool },
    Closed,
    TimedOut,
}

/// How a request is sent.
struct SendOptions {
    is_new_connection: bool,
    half_close: bool,
    keep_alive: bool,
    /// The forwarder's start count when the connection was opened or taken: it tells whether the process has since been
    /// restarted.
    process_number: u32,
}

/// How a request ended for its client.
enum SendResult {
    /// The request is finished; its connection if that can be used again.
    Finished(Option<HttpConnection>),
    /// The kept-alive connection was closed without a response.
    KeptConnectionClosed,
}

/// Submits a message; returns its connection if that can be used again. The forwarder may close a kept-alive connection
/// just as the request is on its way: the request is then sent once more, on a new connection.
async fn submit(
    environment: &Rc<Environment>,
    forwarder: &Forwarder,
    id: &str,
    kept_connection: Option<HttpConnection>,
    keep_alive: bool,
) -> Option<HttpConnection> {
    let process_number = forwarder.start_count.get();
    if let Some(connection) = kept_connection {
        let request = random_request(environment, forwarder.number, id);
        let options = SendOptions { is_new_connection: false, half_close: false, keep_alive, process_number };
        match send(environment, forwarder, id, &request, connection, options).await {
            SendResult::Finished(connection) => return connection,
            SendResult::KeptConnectionClosed => {}
        }
        let connection = connect(forwarder).await?;
        environment.checker.borrow_mut().record_resubmission(id);
        let process_number = forwarder.start_count.get();
        let options = SendOptions { is_new_connection: true, half_close: false, keep_alive, process_number };
        return finished_connection(send(environment, forwarder, id, &request, connection, options).await);
    }
    let connection = connect(forwarder).await?;
    let request = random_request(environment, forwarder.number, id);
    let half_close = environment.random_bool(HALF_CLOSE_SHARE);
    let options = SendOptions { is_new_connection: true, half_close, keep_alive, process_number };
    finished_connection(send(environment, forwarder, id, &request, connection, options).await)
}

/// The connection of a finished request, if it can be used again.
fn finished_connection(result: SendResult) -> Option<HttpConnection> {
    match result {
        SendResult::Finished(connection) => connection,
        SendResult::KeptConnectionClosed => None,
    }
}

/// Opens a new connection. `None` if the forwarder refuses it, or if its SIGTERM is so long ago that clients no longer
/// connect.
async fn connect(forwarder: &Forwarder) -> Option<HttpConnection> {
    if forwarder.sigterm_sent_at.get().is_some_and(|at| at.elapsed() > CONNECT_PERIOD_AFTER_SIGTERM) {
        return None;
    }
    Some(HttpConnection::new(Async::<TcpStream>::connect(forwarder.listen_address).await.ok()?))
}

/// Sends a request, waits for its response and tells the checker the result.
async fn send(
    environment: &Rc<Environment>,
    forwarder: &Forwarder,
    id: &str,
    request: &str,
    mut connection: HttpConnection,
    options: SendOptions,
) -> SendResult {
    let is_written = connection.write(request.as_bytes()).await.is_ok();
    if options.half_close {
        connection.shutdown_write();
    }
    match read_response(environment, &mut connection).await {
        Response::Received { status: status @ (202 | 200 | 429 | 503), keeps_alive } => {
            match status {
                202 | 200 => environment.checker.borrow_mut().record_acceptance(id),
                _ => environment.checker.borrow_mut().count("rejected"),
            }
            let reusable = keeps_alive && options.keep_alive && !options.half_close;
            return SendResult::Finished(reusable.then_some(connection));
        }
        Response::Received { status: 500, .. } => environment.checker.borrow_mut().count("failed at once"),
        Response::Received { status, .. } => {
            environment
                .checker
                .borrow_mut()
                .record_violation("answers", format!("{id}: the response has status {status}"));
        }
        Response::TimedOut => environment.checker.borrow_mut().count("client timed out"),
        Response::Closed => {
            let process_died =
                forwarder.start_count.get() != options.process_number || forwarder.killed.get();
            if process_died {
                environment.checker.borrow_mut().count("process died");
                return SendResult::Finished(None);
            }
            environment.checker.borrow_mut().record_unanswered_close(id);
            if !options.is_new_connection {
                return SendResult::KeptConnectionClosed;
            }
            if is_written {
                let description = format!("{id}: its new connection was closed without a response");
                environment.checker.borrow_mut().record_violation("unanswered", description);
            }
        }
    }
    SendResult::Finished(None)
}

/// Draws a message, tells the checker of its submission and returns its HTTP request.
fn random_request(environment: &Environment, forwarder: usize, id: &str) -> String {
    let class = &environment.classes[environment.random_below(environment.classes.len())];
    let destination = environment.random_destination(BUSY_MESSAGE_SHARE);
    let time_limit = match environment.random_below(10) {
        0 => environment.random_duration(40, 120),
        1..=3 => environment.random_duration(500, 2_500),
        _ => environment.random_duration(3_000, 6_000),
    };
    let size = environment.random_below(600);
    let body = "x".repeat(size);
    environment.checker.borrow_mut().record_submission(
        id,
        forwarder,
        destination,
        class.idempotency,
        time_limit,
    );
    format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Tenant: acme\r\nX-Deadline: {}m\r\n\
         Idempotency-Key: key-{id}\r\nX-Addressing: dest={destination}\r\nContent-Length: {size}\r\n\r\n{body}",
        class.name,
        time_limit.as_millis(),
    )
}

/// Waits for a response until the client's timeout.
async fn read_response(environment: &Environment, connection: &mut HttpConnection) -> Response {
    let response = async {
        match connection.read_response().await {
            Ok(head) => match connection.response_body(&head, 4096).await {
                Ok(_) => Response::Received { status: head.status, keeps_alive: head.keep_alive },
                Err(_) => Response::Closed,
            },
            Err(_) => Response::Closed,
        }
    };
    let timed_out = async {
        Timer::after(environment.options.client_timeout).await;
        Response::TimedOut
    };
    future::or(response, timed_out).await
}

/// Acts as a misbehaving client, which sends an incomplete request, nothing, garbage, or two requests without waiting. The
/// forwarder must send something or close the connection in time, unless it was restarted or unavailable meanwhile.
async fn run_bad_client(environment: Rc<Environment>, forwarder: Rc<Forwarder>) {
    let text = match environment.random_below(4) {
        0 => "POST /api HTTP/1.1\r\nX-Request-Id: half\r\n",
        1 => "",
        2 => "GARBAGE\r\n\r\n",
        _ => "GET /_health HTTP/1.1\r\n\r\nGET /_health HTTP/1.1\r\n\r\n",
    };
    let process_number = forwarder.start_count.get();
    let Ok(stream) = Async::<TcpStream>::connect(forwarder.listen_address).await else { return };
    let mut connection = HttpConnection::new(stream);
    let started_at = Instant::now();
    if connection.write(text.as_bytes()).await.is_err() {
        return;
    }
    let response = async {
        let _ = connection.fill().await;
        true
    };
    let timed_out = async {
        Timer::after(BAD_CLIENT_TIMEOUT).await;
        false
    };
    if !future::or(response, timed_out).await {
        let mut checker = environment.checker.borrow_mut();
        let excused = forwarder.start_count.get() != process_number
            || checker.was_unavailable(forwarder.number, started_at);
        if !excused {
            let description = format!(
                "forwarder {}: neither an error response nor a close within 3 s for {text:?}",
                forwarder.number
            );
            checker.record_violation("bad-clients", description);
        }
    }
}
