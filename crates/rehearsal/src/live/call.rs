//! The calls on a connection to a destination: each is read, audited, processed by the destination's model and answered.

use super::LiveRun;
use crate::audit::MessageEnd;
use async_channel::Receiver;
use async_io::Async;
use cedarbridge::net::http::{HttpConnection, RequestHead};
use cedarbridge::{Micros, Outcome};
use cedarbridge_endpoint_model::{Answer, CallResult, Fault};
use futures_lite::future;
use socket2::SockRef;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// The largest body of a call, in bytes.
const MAX_BODY: usize = 1 << 20;

/// A message in a call.
struct CarriedMessage {
    /// The message's id on the wire.
    id: String,
    /// The message's number.
    message: usize,
}

/// A call whose last byte was received and that has no response yet.
struct ReceivedCall<'a> {
    run: &'a Rc<LiveRun>,
    endpoint: usize,
    destination: usize,
    /// When the connection was opened.
    opened_at: Micros,
    /// When the call's last byte was received.
    received_at: Micros,
    carried: &'a [CarriedMessage],
    is_batch: bool,
}

/// Counts a call as in flight while it lives.
struct CallInFlight<'a>(&'a LiveRun);

impl<'a> CallInFlight<'a> {
    fn new(run: &'a LiveRun) -> Self {
        run.calls_in_flight.set(run.calls_in_flight.get() + 1);
        CallInFlight(run)
    }
}

impl Drop for CallInFlight<'_> {
    fn drop(&mut self) {
        self.0.calls_in_flight.set(self.0.calls_in_flight.get() - 1);
    }
}

/// Answers the calls on a connection until the connection ends.
pub(super) async fn serve_connection(
    run: &Rc<LiveRun>,
    forwarder: usize,
    endpoint: usize,
    stream: Async<TcpStream>,
) {
    let destination = run.environment.endpoints[endpoint].destination;
    let opened_at = run.now();
    let mut connection = HttpConnection::new(stream);
    loop {
        // A fault that refuses connections also resets the idle ones.
        let fault_change = run.destinations.borrow()[destination].fault_change.1.clone();
        let filled = async { Some(connection.fill().await) };
        let fault_changed = async {
            // The channel is closed at a change.
            let _ = fault_change.recv().await;
            None
        };
        match future::or(filled, fault_changed).await {
            Some(Ok(n)) if n > 0 => {}
            Some(_) => return,
            None if matches!(
                run.destinations.borrow()[destination].model.dominant_fault(),
                Some(Fault::RefuseConnections)
            ) =>
            {
                return reset(&connection);
            }
            None => continue,
        }
        let first_byte = run.now();
        let Ok(head) = connection.read_request().await else { return };
        let Ok(body) = connection.request_body(&head, MAX_BODY).await else { return };
        let now = run.now();
        run.figures.borrow_mut().call_received(now, destination);
        let is_batch = head.target == "/v1/messages:batch";
        let carried = match read_messages(run, &head, &body, is_batch) {
            Ok(carried) => carried,
            Err(error) => {
                run.audit.borrow_mut().record_stray_message(now, forwarder, error.to_string());
                // The violation is recorded, even if the forwarder does not read this response.
                let _ = connection.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
        };
        audit_attempts(run, forwarder, endpoint, (first_byte, now), &carried);
        let call = ReceivedCall {
            run,
            endpoint,
            destination,
            opened_at,
            received_at: run.now(),
            carried: &carried,
            is_batch,
        };
        let in_flight = CallInFlight::new(run);
        let outcome = call.process(&mut connection).await;
        drop(in_flight);
        if let Some(outcome) = outcome {
            if outcome == Outcome::Reset {
                reset(&connection);
            }
            return;
        }
        run.figures.borrow_mut().slot_released(run.now(), destination, run.now() - now);
    }
}

/// Audits the attempts of a call, whose first and last bytes were received at these times.
fn audit_attempts(
    run: &LiveRun,
    forwarder: usize,
    endpoint: usize,
    (first_byte, now): (Micros, Micros),
    carried: &[CarriedMessage],
) {
    let destination = run.environment.endpoints[endpoint].destination;
    for CarriedMessage { id, message } in carried {
        let request = run.sent_messages.borrow()[*message].request;
        if run.environment.requests[request].destination != destination {
            run.audit.borrow_mut().record_stray_message(
                now,
                forwarder,
                format!("`{id}` came to another's endpoint"),
            );
        }
        let timing = run.timing(request);
        run.audit.borrow_mut().attempt_sent(now, first_byte, (destination, endpoint), *message, &timing);
        run.figures.borrow_mut().attempt_sent();
    }
}

/// Makes the connection end with a reset, rather than with an orderly close, when it is dropped.
fn reset(connection: &HttpConnection) {
    // A connection that has ended already needs no reset.
    let _ = SockRef::from(connection.socket()).set_linger(Some(Duration::ZERO));
}

impl ReceivedCall<'_> {
    /// Processes the call and responds. Returns the outcome if it ends the connection, or else `None`.
    async fn process(&self, connection: &mut HttpConnection) -> Option<Outcome> {
        let (result, ended_calls_version) = self.start();
        if let Err(outcome) = self.wait_until_due(&result, ended_calls_version, connection).await {
            self.end_attempts(outcome);
            return Some(outcome);
        }
        let answer = result.answer.expect("an answer was due").answer;
        let Some((text, outcome)) = response_text(&result, answer, self.carried, self.is_batch) else {
            self.end_attempts(Outcome::Reset);
            return Some(Outcome::Reset);
        };
        // The forwarder may have closed the connection after its timeout.
        if connection.write(text.as_bytes()).await.is_err() {
            self.end_attempts(Outcome::TimedOut);
            return Some(Outcome::TimedOut);
        }
        self.end_attempts(outcome);
        if outcome == Outcome::Ok {
            for CarriedMessage { message, .. } in self.carried {
                self.run.message_ended(*message, MessageEnd::Delivered, false);
            }
        }
        None
    }

    /// Passes the call to the model. Returns the model's answer, and the count of faults that have ended calls so far.
    fn start(&self) -> (CallResult, u32) {
        let mut destinations = self.run.destinations.borrow_mut();
        let state = &mut destinations[self.destination];
        let is_half_open = state.half_open_since.is_some_and(|since| self.opened_at < since);
        let result = if is_half_open && state.model.dominant_fault() == Some(Fault::HalfOpenConnections) {
            CallResult { answer: None, report: None, unconnected: false }
        } else {
            state.model.call(
                self.received_at,
                self.run.environment.endpoints[self.endpoint].index,
                self.carried.len(),
            )
        };
        (result, state.ended_calls_version)
    }

    /// Records the outcome of all attempts of the call.
    fn end_attempts(&self, outcome: Outcome) {
        let now = self.run.now();
        for CarriedMessage { message, .. } in self.carried {
            self.run.audit.borrow_mut().attempt_ended(
                now,
                self.destination,
                *message,
                self.received_at,
                outcome,
            );
            self.run.figures.borrow_mut().attempt_ended(outcome);
        }
    }

    /// Waits until the answer is due. Returns an outcome if the forwarder closes the connection or a fault resets it first.
    async fn wait_until_due(
        &self,
        result: &CallResult,
        ended_calls_version: u32,
        connection: &mut HttpConnection,
    ) -> Result<(), Outcome> {
        let mut due = result.answer.map(|a| a.at);
        loop {
            let fault_change: Receiver<()> =
                self.run.destinations.borrow()[self.destination].fault_change.1.clone();
            let answer_due = async {
                match due {
                    Some(at) => self.run.sleep_until(at).await,
                    None => future::pending().await,
                }
                Some(true)
            };
            let fault_changed = async {
                // The channel is closed at a change.
                let _ = fault_change.recv().await;
                Some(false)
            };
            let closed = async {
                // A forwarder sends nothing before the response, so the connection has ended.
                let _ = connection.fill().await;
                None
            };
            match future::or(closed, future::or(fault_changed, answer_due)).await {
                None => return Err(Outcome::TimedOut),
                Some(true) => return Ok(()),
                Some(false) => {
                    let (current_version, ended_by_reset) = {
                        let state = &self.run.destinations.borrow()[self.destination];
                        (state.ended_calls_version, state.ended_by_reset)
                    };
                    if current_version != ended_calls_version {
                        if ended_by_reset {
                            return Err(Outcome::Reset);
                        }
                        due = None;
                    }
                }
            }
        }
    }
}

/// The HTTP response to a call and its outcome; `None` if the connection breaks in place of a response.
fn response_text(
    result: &CallResult,
    answer: Answer,
    carried: &[CarriedMessage],
    is_batch: bool,
) -> Option<(String, Outcome)> {
    let load = result
        .report
        .map_or(String::new(), |r| format!("X-Load: x0={:.4},x1={:.4}\r\n", r.remaining_share, r.rate));
    let (status, extra, outcome) = match answer {
        Answer::Ok => ("200 OK", String::new(), Outcome::Ok),
        Answer::Error => ("500 Failed", String::new(), Outcome::Error),
        Answer::Rejected(None) => ("503 Full", String::new(), Outcome::Rejected(None)),
        Answer::Rejected(Some(wait)) => (
            "429 Full",
            format!("X-RateLimit-Wait-Ms: {:.3}\r\n", wait as f64 / 1e3),
            Outcome::Rejected(Some(wait)),
        ),
        Answer::ConnectionReset | Answer::ConnectionRefused => return None,
    };
    let body = match (answer, is_batch) {
        (Answer::Ok, true) => carried.iter().map(|c| format!("{} delivered\r\n", c.id)).collect(),
        _ => String::new(),
    };
    let text = format!("HTTP/1.1 {status}\r\n{extra}{load}Content-Length: {}\r\n\r\n{body}", body.len());
    Some((text, outcome))
}

/// Why a call of a forwarder is invalid. The texts are part of the reported violations.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("`{0}` was handed in by nobody")]
    UnknownMessage(String),
    #[error("a call of several that cannot be read")]
    Malformed,
}

/// Reads the messages of a call: one in the head, or several in the body of a batch.
fn read_messages(
    run: &LiveRun,
    head: &RequestHead,
    body: &[u8],
    is_batch: bool,
) -> Result<Vec<CarriedMessage>, CallError> {
    let find_message = |id: &str| {
        let found = run.message_ids.borrow().get(id).copied();
        found
            .map(|message| CarriedMessage { id: id.to_owned(), message })
            .ok_or_else(|| CallError::UnknownMessage(id.to_owned()))
    };
    if !is_batch {
        return Ok(vec![find_message(head.headers.get("X-Request-Id").unwrap_or_default())?]);
    }
    let mut messages = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let malformed = || CallError::Malformed;
        let end = rest.windows(2).position(|w| w == b"\r\n").ok_or_else(malformed)?;
        let line = std::str::from_utf8(&rest[..end]).map_err(|_| malformed())?;
        let mut words = line.split(' ');
        let (id, length) = (words.next().ok_or_else(malformed)?, words.nth(1).ok_or_else(malformed)?);
        let length: usize = length.parse().map_err(|_| malformed())?;
        messages.push(find_message(id)?);
        rest = rest.get(end + 2 + length + 2..).ok_or_else(malformed)?;
    }
    Ok(messages)
}
