//! Clients: each forwarder gets messages at the run's rate, on new and on kept-alive connections. A few clients misbehave.

use crate::deployment::BUSY_MESSAGE_SHARE;
use crate::environment::{sleep, Environment};
use crate::forwarder::Forwarder;
use crate::observation::Idempotency;
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

/// Share of the messages that another forwarder, which is not part of the run, had before.
const FAILED_OVER_SHARE: f64 = 0.05;
/// The header that marks a message which another forwarder had when it died or did not respond.
const HANDED_IN_AGAIN: &str = "X-Retry: again\r\n";
/// A message with less time left is not handed in again.
const MIN_TIME_TO_HAND_IN_AGAIN: Duration = Duration::from_millis(100);
/// The range of times, in milliseconds, after which a client hands a message in at another forwarder because its own died.
const HAND_IN_AGAIN_AFTER_MS: (u64, u64) = (600, 1_600);

/// Submits messages to the forwarder with this number at random intervals until `submissions_ended` is set.
pub async fn run(environment: Rc<Environment>, forwarders: Rc<Vec<Rc<Forwarder>>>, number: usize) {
    let forwarder = forwarders[number].clone();
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
        let (forwarder, forwarders) = (forwarder.clone(), forwarders.clone());
        environment.clone().spawn(async move {
            let submission = Submission::random(&environment, id);
            match submission.send(&environment, &forwarder, kept_connection, keep_alive).await {
                SendResult::Unanswered => submission.hand_in_again(&environment, &forwarders).await,
                result => drop(sender.try_send(finished_connection(result))),
            }
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
    /// The process died before the client had a response, or did not respond in time.
    Unanswered,
}

/// A message as its client submits it.
struct Submission {
    id: String,
    class: usize,
    destination: usize,
    time_limit: Duration,
    body_size: usize,
    started_at: Instant,
    /// Another forwarder, which is not part of the run, had it before.
    is_failed_over: bool,
}

impl Submission {
    /// Draws a message.
    fn random(environment: &Environment, id: String) -> Self {
        let class = environment.random_below(environment.classes.len());
        let destination = environment.random_destination(BUSY_MESSAGE_SHARE);
        let time_limit = match environment.random_below(10) {
            0 => environment.random_duration(40, 120),
            1..=3 => environment.random_duration(500, 2_500),
            _ => environment.random_duration(3_000, 6_000),
        };
        let body_size = environment.random_below(600);
        let is_failed_over = environment.random_bool(FAILED_OVER_SHARE)
            && environment.classes[class].idempotency != Idempotency::NonIdempotent;
        let started_at = Instant::now();
        Submission { id, class, destination, time_limit, body_size, started_at, is_failed_over }
    }

    /// Tells the checker that the message is submitted to a forwarder under this id.
    fn record(&self, environment: &Environment, forwarder: &Forwarder, id: &str, time_limit: Duration) {
        let idempotency = environment.classes[self.class].idempotency;
        let mut checker = environment.checker.borrow_mut();
        checker.record_submission(id, forwarder.number, self.destination, idempotency, time_limit);
    }

    /// The HTTP request that submits the message under this id, with a further header.
    fn request(&self, environment: &Environment, id: &str, time_limit: Duration, header: &str) -> String {
        format!(
            "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {}\r\nX-Tenant: acme\r\nX-Deadline: {}m\r\n\
             Idempotency-Key: key-{}\r\nX-Addressing: dest={}\r\n{header}Content-Length: {}\r\n\r\n{}",
            environment.classes[self.class].name,
            time_limit.as_millis(),
            self.id,
            self.destination,
            self.body_size,
            "x".repeat(self.body_size),
        )
    }

    /// Submits the message. The forwarder may close a kept-alive connection just as the request is on its way: the request
    /// is then sent once more, on a new connection.
    async fn send(
        &self,
        environment: &Rc<Environment>,
        forwarder: &Forwarder,
        kept_connection: Option<HttpConnection>,
        keep_alive: bool,
    ) -> SendResult {
        let header = if self.is_failed_over { HANDED_IN_AGAIN } else { "" };
        let request = self.request(environment, &self.id, self.time_limit, header);
        let process_number = forwarder.start_count.get();
        let is_retry = kept_connection.is_some();
        if let Some(connection) = kept_connection {
            self.record(environment, forwarder, &self.id, self.time_limit);
            let options =
                SendOptions { is_new_connection: false, half_close: false, keep_alive, process_number };
            match send(environment, forwarder, &self.id, &request, connection, options).await {
                SendResult::KeptConnectionClosed => {}
                result => return result,
            }
        }
        let Some(connection) = connect(forwarder).await else { return SendResult::Finished(None) };
        if is_retry {
            environment.checker.borrow_mut().record_resubmission(&self.id);
        } else {
            self.record(environment, forwarder, &self.id, self.time_limit);
        }
        let half_close = !is_retry && environment.random_bool(HALF_CLOSE_SHARE);
        let process_number = if is_retry { forwarder.start_count.get() } else { process_number };
        let options = SendOptions { is_new_connection: true, half_close, keep_alive, process_number };
        send(environment, forwarder, &self.id, &request, connection, options).await
    }

    /// Hands the message in at another forwarder for the rest of its time, unless it must not run twice.
    async fn hand_in_again(&self, environment: &Rc<Environment>, forwarders: &[Rc<Forwarder>]) {
        if environment.classes[self.class].idempotency == Idempotency::NonIdempotent {
            return;
        }
        let (earliest_ms, latest_ms) = HAND_IN_AGAIN_AFTER_MS;
        sleep(environment.random_duration(earliest_ms, latest_ms)).await;
        let time_limit = self.time_limit.saturating_sub(self.started_at.elapsed());
        let forwarder = &forwarders[environment.random_below(forwarders.len())];
        if time_limit < MIN_TIME_TO_HAND_IN_AGAIN || environment.submissions_ended.get() {
            return;
        }
        let Some(connection) = connect(forwarder).await else { return };
        let id = format!("{}-again", self.id);
        self.record(environment, forwarder, &id, time_limit);
        environment.checker.borrow_mut().count("handed in again");
        let request = self.request(environment, &id, time_limit, HANDED_IN_AGAIN);
        let options = SendOptions {
            is_new_connection: true,
            half_close: false,
            keep_alive: false,
            process_number: forwarder.start_count.get(),
        };
        let _ = send(environment, forwarder, &id, &request, connection, options).await;
    }
}

/// The connection of a finished request, if it can be used again.
fn finished_connection(result: SendResult) -> Option<HttpConnection> {
    match result {
        SendResult::Finished(connection) => connection,
        SendResult::KeptConnectionClosed | SendResult::Unanswered => None,
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
        Response::TimedOut => {
            environment.checker.borrow_mut().count("client timed out");
            return SendResult::Unanswered;
        }
        Response::Closed => {
            let process_died =
                forwarder.start_count.get() != options.process_number || forwarder.killed.get();
            if process_died {
                environment.checker.borrow_mut().count("process died");
                return SendResult::Unanswered;
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
