//! The destinations' endpoints. Each has one listener for all forwarders; a message's id tells which forwarder sent it.

use crate::checker::CallTarget;
use crate::copies::{RequestFate, ResponseCopies};
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
/// The probability that an endpoint answers that a message is over.
const OVER_PROBABILITY: f64 = 0.04;
/// How long a connection stays open after a response that ends a message, until the forwarder has certainly read it. Time in
/// which an injected fault holds up a write of the forwarder does not count.
const READ_TIME: Duration = Duration::from_millis(100);
/// The probability that an endpoint gives up a connection once the forwarder has read such a response on it.
const GIVE_UP_PROBABILITY: f64 = 0.05;
/// How long an endpoint reads nothing before it resets a connection that it has given up, or whose request it leaves unanswered.
const SILENCE: Duration = Duration::from_millis(1_000);

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
    let mut copies = ResponseCopies::default();
    let reset_count = endpoint.reset_count.get();
    loop {
        // Between calls, a fault may make the endpoint reset the connection.
        let readable = async {
            connection.until_received().await;
            Some(!connection.buffer.bytes().is_empty())
        };
        let reset_requested = async {
            while endpoint.reset_count.get() == reset_count {
                sleep(POLL_INTERVAL).await;
            }
            None
        };
        match future::or(readable, reset_requested).await {
            Some(true) => {}
            Some(false) => return,
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
        // An endpoint that hangs writes nothing at all.
        if current_behaviour(&environment, &endpoint) != Behaviour::Hangs {
            copies.request_received(&environment, &mut connection).await;
        }
        let call = ReceivedCall {
            attempts,
            is_batch: head.target.ends_with(":batch"),
            fate: copies.draw_fate(&environment),
        };
        let end = process_call(&environment, &endpoint, &call, &mut connection).await;
        for ended in &end.attempts {
            let mut checker = environment.checker.borrow_mut();
            checker.record_attempt_end(&ended.id, ended.number, ended.outcome);
        }
        let Some(response) = end.response else { return };
        copies.response_written(&environment, &connection, response.as_bytes());
        let ending = end.attempts.into_iter().filter(|ended| ended.outcome.ends_message());
        let ended: Vec<String> = ending.map(|ended| ended.id).collect();
        if !ended.is_empty() && record_read_ends(&environment, &mut connection, &ended).await {
            return;
        }
    }
}

/// Tells the checker of messages whose end the forwarder has certainly read: its connection is still open after a while, or
/// carries the next request. Returns whether the endpoint has given up the connection.
async fn record_read_ends(
    environment: &Environment,
    connection: &mut HttpConnection,
    ended: &[String],
) -> bool {
    let written_at = Instant::now();
    let is_open = async {
        connection.until_received().await;
        !connection.buffer.bytes().is_empty()
    };
    let has_time = async {
        until_read(environment, ended, written_at).await;
        true
    };
    if !future::or(is_open, has_time).await {
        return false;
    }
    for id in ended {
        environment.checker.borrow_mut().record_end_read(id, written_at);
    }
    if environment.faults_ended.get() || !environment.random_bool(GIVE_UP_PROBABILITY) {
        return false;
    }
    environment.checker.borrow_mut().count("connections given up behind an end");
    if environment.random_bool(0.5) {
        sleep(SILENCE).await;
        reset_connection(connection);
    }
    true
}

/// Returns once the forwarder of these messages has had [`READ_TIME`] without an injected hold-up since a response was written.
async fn until_read(environment: &Environment, ended: &[String], written_at: Instant) {
    let mut counted_from = written_at;
    loop {
        Timer::at(counted_from + READ_TIME).await;
        let last_hold_up = ended.first().and_then(|id| environment.last_hold_up_end(id));
        match last_hold_up.filter(|end| *end > counted_from) {
            Some(end) => counted_from = end,
            None => return,
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

/// A call that was received completely.
struct ReceivedCall {
    /// The ids of its messages, each with the number of the attempt.
    attempts: Vec<(String, usize)>,
    /// Whether it was sent as a batch.
    is_batch: bool,
    /// What happens to it, whatever the endpoint's behaviour is.
    fate: RequestFate,
}

impl ReceivedCall {
    /// The attempts, each with the same outcome.
    fn ended_as(&self, outcome: AttemptOutcome) -> Vec<EndedAttempt> {
        let ended =
            |(id, number): &(String, usize)| EndedAttempt { id: id.clone(), number: *number, outcome };
        self.attempts.iter().map(ended).collect()
    }
}

/// How an attempt ended at its endpoint.
struct EndedAttempt {
    /// The id of the message.
    id: String,
    /// The number of the attempt.
    number: usize,
    outcome: AttemptOutcome,
}

/// How a call ended at its endpoint.
struct CallEnd {
    attempts: Vec<EndedAttempt>,
    /// The response, if it is complete and the connection is kept alive.
    response: Option<String>,
}

impl CallEnd {
    fn without_response(call: &ReceivedCall) -> Self {
        CallEnd { attempts: call.ended_as(AttemptOutcome::MayHaveRun), response: None }
    }
}

/// Processes a call and answers it as the endpoint's behaviour demands.
async fn process_call(
    environment: &Environment,
    endpoint: &Endpoint,
    call: &ReceivedCall,
    connection: &mut HttpConnection,
) -> CallEnd {
    let behaviour = current_behaviour(environment, endpoint);
    let work_done = async {
        match behaviour {
            Behaviour::Hangs => future::pending().await,
            Behaviour::Rejects(_) => {}
            _ if call.fate == RequestFate::Unanswered => sleep(SILENCE).await,
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
        return CallEnd::without_response(call);
    }
    let Some(Answer { response, attempts }) = answer_to(environment, call, behaviour) else {
        reset_connection(connection);
        return CallEnd::without_response(call);
    };
    if connection.write(response.as_bytes()).await.is_err() {
        return CallEnd::without_response(call);
    }
    match behaviour {
        _ if call.fate == RequestFate::Refused => {}
        Behaviour::Rejects(retry_after_ms) => record_retry_after(environment, endpoint, call, retry_after_ms),
        Behaviour::TruncatesAnswers => {
            let closed = async {
                let _ = connection.fill().await;
            };
            future::or(closed, sleep(environment.random_duration(50, 400))).await;
            return CallEnd { attempts, response: None };
        }
        _ => {}
    }
    CallEnd { attempts, response: Some(response) }
}

/// A response to a call, and what it says about its attempts.
struct Answer {
    response: String,
    attempts: Vec<EndedAttempt>,
}

/// The answer to a call; `None` if the connection is reset instead.
fn answer_to(environment: &Environment, call: &ReceivedCall, behaviour: Behaviour) -> Option<Answer> {
    let empty = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    let (response, outcome) = match behaviour {
        Behaviour::Resets => return None,
        _ if call.fate == RequestFate::Unanswered => return None,
        _ if call.fate == RequestFate::Refused => (empty("503 Busy"), AttemptOutcome::Rejected),
        Behaviour::Fails => (empty("500 Failed"), AttemptOutcome::MayHaveRun),
        Behaviour::TruncatesAnswers => ("HTTP/1.1 2".to_owned(), AttemptOutcome::MayHaveRun),
        Behaviour::Rejects(retry_after_ms) => {
            let status = format!("429 Wait\r\nX-RateLimit-Wait-Ms: {retry_after_ms}");
            (empty(&status), AttemptOutcome::Rejected)
        }
        _ if call.is_batch => return Some(answer_to_batch(environment, call)),
        _ if is_over(environment) => (empty("410 Gone"), AttemptOutcome::Over),
        _ => (empty("200 OK"), AttemptOutcome::Delivered),
    };
    Some(Answer { response, attempts: call.ended_as(outcome) })
}

/// The answer to a batch, which names what became of each message.
fn answer_to_batch(environment: &Environment, call: &ReceivedCall) -> Answer {
    let mut attempts = call.ended_as(AttemptOutcome::Delivered);
    let mut body = String::new();
    for attempt in &mut attempts {
        let is_over = is_over(environment);
        if is_over {
            attempt.outcome = AttemptOutcome::Over;
        }
        let result = if is_over { "over" } else { "delivered" };
        body.push_str(&format!("{} {result}\r\n", attempt.id));
    }
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    Answer { response, attempts }
}

/// Draws whether an endpoint answers that a message is over.
fn is_over(environment: &Environment) -> bool {
    !environment.faults_ended.get() && environment.random_bool(OVER_PROBABILITY)
}

fn record_retry_after(
    environment: &Environment,
    endpoint: &Endpoint,
    call: &ReceivedCall,
    retry_after_ms: u64,
) {
    let mut checker = environment.checker.borrow_mut();
    let retry_after = Duration::from_millis(retry_after_ms);
    for (id, _) in &call.attempts {
        checker.record_retry_after(id, endpoint.destination, retry_after);
    }
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
