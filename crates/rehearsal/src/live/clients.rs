//! The clients. Each request is sent at its planned time, however earlier requests fare (open loop). Its outcome decides
//! whether the client retries.

use super::{LiveRun, SentMessage};
use crate::audit::MessageEnd;
use crate::simulation::{CLIENT_PATIENCE, RECONNECT_DELAY};
use async_io::{Async, Timer};
use cedarbridge::net::http::{HttpConnection, HttpError, ResponseHead};
use cedarbridge::Micros;
use futures_lite::future;
use rand::RngExt;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// How long a client waits for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// The largest number of idle connections to each forwarder.
const MAX_IDLE_CONNECTIONS: usize = 200;

/// Sends the planned requests, each at its time.
pub async fn send_requests(run: &Rc<LiveRun>) {
    for index in 0..run.environment.requests.len() {
        let at = run.environment.requests[index].at;
        if at > run.now() {
            run.sleep_until(at).await;
        }
        run.sent_count.set(index + 1);
        run.spawn(deliver_request(run.clone(), index, None, at));
    }
    run.sleep_until(run.environment.end).await;
}

/// Why a client retries.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RetryReason {
    /// Its message was rejected.
    Rejected,
    /// The forwarder ended or did not answer.
    NoResponse,
}

/// The outcome of a request, as its client observed it.
enum ClientOutcome {
    /// A response, with its status and `Retry-After`.
    Response(u16, Option<Micros>),
    /// The connection ended without a response.
    ConnectionLost,
    /// No response within the timeout.
    TimedOut,
}

/// Sends a request to its forwarder, or to the next ones if it cannot connect, up to [`CLIENT_PATIENCE`].
async fn deliver_request(run: Rc<LiveRun>, index: usize, retry_reason: Option<RetryReason>, planned: Micros) {
    let request = run.environment.requests[index];
    let forwarder_count = run.environment.fleet.len();
    let mut forwarder = match retry_reason {
        Some(_) => run.rng.borrow_mut().random_range(0..forwarder_count),
        None => request.forwarder,
    };
    if retry_reason.is_none() {
        run.count_send(planned);
    }
    let deadline = request.at + run.environment.settings.classes[0].deadline;
    let since = run.now();
    loop {
        let now = run.now();
        if now >= deadline || now > since + CLIENT_PATIENCE {
            // A request whose client finds no forwarder in time counts as rejected.
            return run.figures.borrow_mut().message_undelivered(true);
        }
        match send_request(&run, forwarder, index, deadline - now, retry_reason).await {
            None => {
                run.count_rejected_in_upgrade(forwarder);
                forwarder = (forwarder + 1) % forwarder_count;
                Timer::after(Duration::from_micros(RECONNECT_DELAY)).await;
            }
            Some((message, outcome)) => {
                if matches!(outcome, ClientOutcome::ConnectionLost | ClientOutcome::TimedOut) {
                    run.count_rejected_in_upgrade(forwarder);
                }
                return handle_outcome(&run, message, outcome);
            }
        }
    }
}

/// Records a message just before its first byte is sent, and returns its number.
fn record_message(run: &LiveRun, forwarder: usize, index: usize, time_left: Micros, is_retry: bool) -> usize {
    let request = run.environment.requests[index];
    let message = run.sent_messages.borrow().len();
    run.sent_messages.borrow_mut().push(SentMessage { request: index, is_retry });
    run.message_ids.borrow_mut().insert(message_id(message), message);
    run.audit.borrow_mut().message_received(run.now(), forwarder, request.at, time_left);
    run.open_messages.set(run.open_messages.get() + 1);
    message
}

/// The id of a message on the wire.
fn message_id(message: usize) -> String {
    format!("m{message}")
}

/// The HTTP request of a message, with head and body.
fn request_text(
    run: &LiveRun,
    message: usize,
    index: usize,
    time_left: Micros,
    retry_reason: Option<RetryReason>,
) -> String {
    let request = run.environment.requests[index];
    let retry = match retry_reason {
        None => "",
        Some(RetryReason::Rejected) => "X-Retry: 1\r\n",
        Some(RetryReason::NoResponse) => "X-Retry: again\r\n",
    };
    let body = format!("notice {index}");
    format!(
        "POST /api HTTP/1.1\r\nHost: kit\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Tenant: {}\r\n\
         X-Deadline: {time_left}u\r\nIdempotency-Key: k{index}\r\nX-Addressing: dest={}\r\n{retry}\
         Content-Length: {}\r\n\r\n{body}",
        message_id(message),
        run.environment.names.classes[0],
        run.environment.names.tenants[request.tenant],
        request.destination,
        body.len()
    )
}

/// Sends a request to a forwarder; `None` if it accepts no connection.
async fn send_request(
    run: &Rc<LiveRun>,
    forwarder: usize,
    index: usize,
    time_left: Micros,
    retry_reason: Option<RetryReason>,
) -> Option<(usize, ClientOutcome)> {
    let pooled = run.idle_connections.borrow_mut()[forwarder].pop();
    let mut is_fresh = pooled.is_none();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => connect(run, forwarder).await?,
    };
    let message = record_message(run, forwarder, index, time_left, retry_reason.is_some());
    let request = request_text(run, message, index, time_left, retry_reason);
    let timed_out = async {
        Timer::after(RESPONSE_TIMEOUT).await;
        (ClientOutcome::TimedOut, None)
    };
    let exchanged = async {
        loop {
            match exchange(&mut connection, request.as_bytes()).await {
                Ok(head) => {
                    let retry_after = head.headers.get("Retry-After").and_then(|r| r.parse::<f64>().ok());
                    let outcome =
                        ClientOutcome::Response(head.status, retry_after.map(|s| (s * 1e6) as Micros));
                    return (outcome, Some(connection).filter(|_| head.keep_alive));
                }
                // The idle connection was closed meanwhile: send the request once more on a new one.
                Err(HttpError::Closed | HttpError::Socket(_)) if !is_fresh => {
                    is_fresh = true;
                    match connect(run, forwarder).await {
                        Some(new) => connection = new,
                        None => return (ClientOutcome::ConnectionLost, None),
                    }
                }
                Err(_) => return (ClientOutcome::ConnectionLost, None),
            }
        }
    };
    let (outcome, connection) = future::or(exchanged, timed_out).await;
    let mut idle_connections = run.idle_connections.borrow_mut();
    let has_space = idle_connections[forwarder].len() < MAX_IDLE_CONNECTIONS;
    idle_connections[forwarder].extend(connection.filter(|_| has_space));
    Some((message, outcome))
}

async fn connect(run: &LiveRun, forwarder: usize) -> Option<HttpConnection> {
    let address = run.forwarders.borrow()[forwarder].address();
    Async::<TcpStream>::connect(address).await.ok().map(HttpConnection::new)
}

async fn exchange(connection: &mut HttpConnection, request: &[u8]) -> Result<ResponseHead, HttpError> {
    connection.write(request).await.map_err(HttpError::Socket)?;
    let head = connection.read_response().await?;
    connection.response_body(&head, 64 * 1024).await?;
    Ok(head)
}

/// Records the outcome of a message, and lets the client retry.
fn handle_outcome(run: &Rc<LiveRun>, message: usize, outcome: ClientOutcome) {
    match outcome {
        ClientOutcome::Response(200 | 202, _) => {}
        ClientOutcome::Response(429 | 503, retry_after) => {
            run.message_ended(message, MessageEnd::Rejected, false);
            retry_after_rejection(run, message, retry_after);
        }
        ClientOutcome::Response(_, _) => run.message_ended(message, MessageEnd::Failed, false),
        ClientOutcome::ConnectionLost | ClientOutcome::TimedOut => {
            // The outcome at the forwarder is no longer audited; the client retries at once.
            run.message_ended(message, MessageEnd::Disconnected, false);
            let sent = run.sent_messages.borrow()[message];
            retry_later(run, sent.request, RECONNECT_DELAY, RetryReason::NoResponse);
        }
    }
}

/// Lets the client of a rejected message retry, once and no sooner than `retry_after`.
pub fn retry_after_rejection(run: &Rc<LiveRun>, message: usize, retry_after: Option<Micros>) {
    let sent = run.sent_messages.borrow()[message];
    let retry_delay = run.environment.requests[sent.request].retry_delay;
    if let Some(delay) = retry_delay.filter(|_| !sent.is_retry) {
        retry_later(run, sent.request, delay.max(retry_after.unwrap_or(0)), RetryReason::Rejected);
    }
}

/// Sends a request again after a delay.
fn retry_later(run: &Rc<LiveRun>, index: usize, delay: Micros, reason: RetryReason) {
    run.clients_waiting.set(run.clients_waiting.get() + 1);
    let run = run.clone();
    run.clone().spawn(async move {
        Timer::after(Duration::from_micros(delay)).await;
        let planned = run.now();
        deliver_request(run.clone(), index, Some(reason), planned).await;
        run.clients_waiting.set(run.clients_waiting.get() - 1);
    });
}
