//! Clients: each request is sent at its planned time, whatever became of those before it (an open loop), and its
//! outcome decides whether the client retries.

use super::{LiveRun, SentRequest};
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

/// A client waits this long for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle connections in the pool of each forwarder.
const IDLE_CONNECTIONS: usize = 200;

/// Sends the day's requests, each at its time.
pub async fn run(run: &Rc<LiveRun>) {
    for first in 0..run.world.requests.len() {
        let at = run.world.requests[first].at;
        if at > run.now() {
            run.until(at).await;
        }
        run.sent.set(first + 1);
        run.spawn(deliver_request(run.clone(), first, None, at));
    }
    run.until(run.world.end).await;
}

/// Why a client retries.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RetryReason {
    /// It was rejected.
    Rejected,
    /// Its forwarder ended or did not answer.
    NoResponse,
}

/// The outcome of a request, as its client observed it.
enum ClientOutcome {
    Response(u16, Option<Micros>),
    /// The connection ended without a response.
    ConnectionLost,
    /// No response within the timeout.
    NoAnswer,
}

async fn deliver_request(run: Rc<LiveRun>, first: usize, retry_reason: Option<RetryReason>, planned: Micros) {
    let request = run.world.requests[first];
    let forwarder_count = run.world.fleet.len();
    let mut to = match retry_reason {
        Some(_) => run.rng.borrow_mut().random_range(0..forwarder_count),
        None => request.forwarder,
    };
    if retry_reason.is_none() {
        run.count_send(planned);
    }
    let deadline = request.at + run.world.settings.classes[0].deadline;
    let since = run.now();
    loop {
        let now = run.now();
        if now >= deadline || now > since + CLIENT_PATIENCE {
            // A client that finds no forwarder in time counts as rejected.
            return run.figures.borrow_mut().given_up(true);
        }
        match send_request(&run, to, first, deadline - now, retry_reason).await {
            None => {
                run.count_rejected_in_upgrade(to);
                to = (to + 1) % forwarder_count;
                Timer::after(Duration::from_micros(RECONNECT_DELAY)).await;
            }
            Some((message, outcome)) => {
                if matches!(outcome, ClientOutcome::ConnectionLost | ClientOutcome::NoAnswer) {
                    run.count_rejected_in_upgrade(to);
                }
                return handle_outcome(&run, message, outcome);
            }
        }
    }
}

/// Records a request just before its first byte is sent, and numbers it.
fn record_request(run: &LiveRun, forwarder: usize, first: usize, left: Micros, retried: bool) -> usize {
    let request = run.world.requests[first];
    let message = run.sent_requests.borrow().len();
    run.sent_requests.borrow_mut().push(SentRequest { first, retried });
    run.ids.borrow_mut().insert(message_id(message), message);
    run.audit.borrow_mut().taken(run.now(), forwarder, request.at, left);
    run.open.set(run.open.get() + 1);
    message
}

/// The id of a message.
fn message_id(message: usize) -> String {
    format!("m{message}")
}

/// The request of a message, complete with head and body.
fn request_text(
    run: &LiveRun,
    message: usize,
    first: usize,
    left: Micros,
    retry_reason: Option<RetryReason>,
) -> String {
    let request = run.world.requests[first];
    let retry = match retry_reason {
        None => "",
        Some(RetryReason::Rejected) => "X-Retry: 1\r\n",
        Some(RetryReason::NoResponse) => "X-Retry: again\r\n",
    };
    let body = format!("notice {first}");
    format!(
        "POST /api HTTP/1.1\r\nHost: kit\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Tenant: {}\r\n\
         X-Deadline: {left}u\r\nIdempotency-Key: k{first}\r\nX-Addressing: dest={}\r\n{retry}\
         Content-Length: {}\r\n\r\n{body}",
        message_id(message),
        run.world.names.classes[0],
        run.world.names.tenants[request.tenant],
        request.destination,
        body.len()
    )
}

/// Sends a request; none if nothing accepts the connection.
async fn send_request(
    run: &Rc<LiveRun>,
    forwarder: usize,
    first: usize,
    left: Micros,
    retry_reason: Option<RetryReason>,
) -> Option<(usize, ClientOutcome)> {
    let pooled = run.pools.borrow_mut()[forwarder].pop();
    let mut fresh = pooled.is_none();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => connect(run, forwarder).await?,
    };
    let message = record_request(run, forwarder, first, left, retry_reason.is_some());
    let request = request_text(run, message, first, left, retry_reason);
    let timed_out = async {
        Timer::after(RESPONSE_TIMEOUT).await;
        (ClientOutcome::NoAnswer, None)
    };
    let exchanged = async {
        loop {
            match exchange(&mut connection, request.as_bytes()).await {
                Ok(head) => {
                    let after = head.headers.get("Retry-After").and_then(|r| r.parse::<f64>().ok());
                    let outcome = ClientOutcome::Response(head.status, after.map(|s| (s * 1e6) as Micros));
                    return (outcome, Some(connection).filter(|_| head.keep_alive));
                }
                // The connection was closed between requests: once more on a new one.
                Err(HttpError::Closed | HttpError::Socket(_)) if !fresh => {
                    fresh = true;
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
    let mut pools = run.pools.borrow_mut();
    let has_space = pools[forwarder].len() < IDLE_CONNECTIONS;
    pools[forwarder].extend(connection.filter(|_| has_space));
    Some((message, outcome))
}

async fn connect(run: &LiveRun, forwarder: usize) -> Option<HttpConnection> {
    let address = run.daemons.borrow()[forwarder].address();
    Async::<TcpStream>::connect(address).await.ok().map(HttpConnection::new)
}

async fn exchange(connection: &mut HttpConnection, request: &[u8]) -> Result<ResponseHead, HttpError> {
    connection.write(request).await.map_err(HttpError::Socket)?;
    let head = connection.read_response().await?;
    connection.response_body(&head, 64 * 1024).await?;
    Ok(head)
}

fn handle_outcome(run: &Rc<LiveRun>, message: usize, outcome: ClientOutcome) {
    match outcome {
        ClientOutcome::Response(200 | 202, _) => {}
        ClientOutcome::Response(429 | 503, after) => {
            run.ended(message, MessageEnd::Rejected, false);
            refused(run, message, after);
        }
        ClientOutcome::Response(_, _) => run.ended(message, MessageEnd::Failed, false),
        ClientOutcome::ConnectionLost | ClientOutcome::NoAnswer => {
            // The forwarder's own outcome is no longer judged; the client retries at once.
            run.ended(message, MessageEnd::Disconnected, false);
            let sent = run.sent_requests.borrow()[message];
            retry_later(run, sent.first, RECONNECT_DELAY, RetryReason::NoResponse);
        }
    }
}

/// A message was rejected: its client may retry once, no sooner than its retry_after.
pub fn refused(run: &Rc<LiveRun>, message: usize, after: Option<Micros>) {
    let sent = run.sent_requests.borrow()[message];
    let retry_reason = run.world.requests[sent.first].retry_after;
    if let Some(wait) = retry_reason.filter(|_| !sent.retried) {
        retry_later(run, sent.first, wait.max(after.unwrap_or(0)), RetryReason::Rejected);
    }
}

fn retry_later(run: &Rc<LiveRun>, first: usize, wait: Micros, how: RetryReason) {
    run.clients_waiting.set(run.clients_waiting.get() + 1);
    let run = run.clone();
    run.clone().spawn(async move {
        Timer::after(Duration::from_micros(wait)).await;
        let planned = run.now();
        deliver_request(run.clone(), first, Some(how), planned).await;
        run.clients_waiting.set(run.clients_waiting.get() - 1);
    });
}
