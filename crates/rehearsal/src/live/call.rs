//! Calls on a destination's connection: each is read, audited, processed by the destination's model and answered.

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

/// A message in a call: its id and its number.
struct CarriedMessage {
    id: String,
    message: usize,
}

/// A call from its last byte to its response.
struct ReceivedCall<'a> {
    run: &'a Rc<LiveRun>,
    endpoint: usize,
    destination: usize,
    /// When its connection was opened.
    opened: Micros,
    sent: Micros,
    carried: &'a [CarriedMessage],
    batch: bool,
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

/// Answers the calls on a connection until it ends.
pub(super) async fn converse(run: &Rc<LiveRun>, forwarder: usize, endpoint: usize, stream: Async<TcpStream>) {
    let destination = run.world.list[endpoint].destination;
    let opened = run.now();
    let mut connection = HttpConnection::new(stream);
    loop {
        // Idle connections are reset when the destination refuses connections.
        let changed = run.destinations.borrow()[destination].changed.1.clone();
        let received = async { Some(connection.fill().await) };
        let other = async {
            // The channel's end is the change.
            let _ = changed.recv().await;
            None
        };
        match future::or(received, other).await {
            Some(Ok(n)) if n > 0 => {}
            Some(_) => return,
            None if matches!(
                run.destinations.borrow()[destination].model.visible_fault(),
                Some(Fault::RefuseConnections)
            ) =>
            {
                return reset(&connection);
            }
            None => continue,
        }
        let first = run.now();
        let Ok(head) = connection.read_request().await else { return };
        let Ok(body) = connection.request_body(&head, MAX_BODY).await else { return };
        let now = run.now();
        run.figures.borrow_mut().call(now, destination);
        let batch = head.target == "/v1/messages:batch";
        let carried = match read(run, &head, &body, batch) {
            Ok(carried) => carried,
            Err(why) => {
                run.audit.borrow_mut().stray_message(now, forwarder, why.to_string());
                // A forwarder that does not read the rejection is audited all the same.
                let _ = connection.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
        };
        audit_attempts(run, forwarder, endpoint, (first, now), &carried);
        let call =
            ReceivedCall { run, endpoint, destination, opened, sent: run.now(), carried: &carried, batch };
        let in_flight = CallInFlight::new(run);
        let outcome = call.process(&mut connection).await;
        drop(in_flight);
        if let Some(end) = outcome {
            if end == Outcome::Reset {
                reset(&connection);
            }
            return;
        }
        run.figures.borrow_mut().slot_released(run.now(), destination, run.now() - now);
    }
}

/// Audits the attempts of a call, whose first and last byte were observed at these times.
fn audit_attempts(
    run: &LiveRun,
    forwarder: usize,
    endpoint: usize,
    (first, now): (Micros, Micros),
    carried: &[CarriedMessage],
) {
    let destination = run.world.list[endpoint].destination;
    for CarriedMessage { id, message } in carried {
        let first_try = run.sent_requests.borrow()[*message].first;
        if run.world.requests[first_try].destination != destination {
            run.audit.borrow_mut().stray_message(
                now,
                forwarder,
                format!("`{id}` came to another's endpoint"),
            );
        }
        let timing = run.timing(first_try);
        run.audit.borrow_mut().sent(now, first, (destination, endpoint), *message, &timing);
        run.figures.borrow_mut().attempt();
    }
}

/// Resets a connection rather than closing it.
fn reset(connection: &HttpConnection) {
    // A connection that has ended already needs no reset.
    let _ = SockRef::from(connection.socket()).set_linger(Some(Duration::ZERO));
}

impl ReceivedCall<'_> {
    /// Processes the call and responds; returns the outcome if it ends the connection.
    async fn process(&self, connection: &mut HttpConnection) -> Option<Outcome> {
        let (fate, calls_ended) = self.begin();
        if let Err(outcome) = self.wait_until_due(&fate, calls_ended, connection).await {
            self.end_attempts(outcome);
            return Some(outcome);
        }
        let answer = fate.answer.expect("one that was due").answer;
        let Some((text, outcome)) = response_text(&fate, answer, self.carried, self.batch) else {
            self.end_attempts(Outcome::Reset);
            return Some(Outcome::Reset);
        };
        // The forwarder may have timed out by now.
        if connection.write(text.as_bytes()).await.is_err() {
            self.end_attempts(Outcome::TimedOut);
            return Some(Outcome::TimedOut);
        }
        self.end_attempts(outcome);
        if outcome == Outcome::Ok {
            for CarriedMessage { message, .. } in self.carried {
                self.run.ended(*message, MessageEnd::Delivered, false);
            }
        }
        None
    }

    /// The model's fate of the call, and the count of ended calls at its begin.
    fn begin(&self) -> (CallResult, u32) {
        let mut destinations = self.run.destinations.borrow_mut();
        let p = &mut destinations[self.destination];
        let stranded = p.half_open.is_some_and(|since| self.opened < since);
        let fate = if stranded && p.model.visible_fault() == Some(Fault::HalfOpenConnections) {
            CallResult { answer: None, report: None, unconnected: false }
        } else {
            p.model.call(self.sent, self.run.world.list[self.endpoint].index, self.carried.len())
        };
        (fate, p.calls_ended)
    }

    fn end_attempts(&self, outcome: Outcome) {
        let now = self.run.now();
        for CarriedMessage { message, .. } in self.carried {
            self.run.audit.borrow_mut().attempt_ended(now, self.destination, *message, self.sent, outcome);
            self.run.figures.borrow_mut().outcome(outcome);
        }
    }

    /// Waits until the answer is due; the forwarder may time out and a fault may end the call before.
    async fn wait_until_due(
        &self,
        fate: &CallResult,
        calls_ended: u32,
        connection: &mut HttpConnection,
    ) -> Result<(), Outcome> {
        let mut due = fate.answer.map(|a| a.at);
        loop {
            let changed: Receiver<()> = self.run.destinations.borrow()[self.destination].changed.1.clone();
            let answer = async {
                match due {
                    Some(at) => self.run.until(at).await,
                    None => future::pending().await,
                }
                Some(true)
            };
            let other = async {
                // The channel's end is the change.
                let _ = changed.recv().await;
                Some(false)
            };
            let left = async {
                // A forwarder sends nothing before the response, so this is the connection's end.
                let _ = connection.fill().await;
                None
            };
            match future::or(left, future::or(other, answer)).await {
                None => return Err(Outcome::TimedOut),
                Some(true) => return Ok(()),
                Some(false) => {
                    let (ended_now, ended_by_reset) = {
                        let p = &self.run.destinations.borrow()[self.destination];
                        (p.calls_ended, p.ended_by_reset)
                    };
                    if ended_now != calls_ended {
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

/// The response to a call, and the outcome it stands for; none if the connection breaks in place of it.
fn response_text(
    fate: &CallResult,
    answer: Answer,
    carried: &[CarriedMessage],
    batch: bool,
) -> Option<(String, Outcome)> {
    let load = fate
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
    let body = match (answer, batch) {
        (Answer::Ok, true) => carried.iter().map(|c| format!("{} delivered\r\n", c.id)).collect(),
        _ => String::new(),
    };
    let text = format!("HTTP/1.1 {status}\r\n{extra}{load}Content-Length: {}\r\n\r\n{body}", body.len());
    Some((text, outcome))
}

/// Why a call of a forwarder is not accepted.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("`{0}` was handed in by nobody")]
    UnknownMessage(String),
    #[error("a call of several that cannot be read")]
    Malformed,
}

/// Reads the messages of a call.
fn read(
    run: &LiveRun,
    head: &RequestHead,
    body: &[u8],
    batch: bool,
) -> Result<Vec<CarriedMessage>, CallError> {
    let number = |id: &str| {
        let found = run.ids.borrow().get(id).copied();
        found
            .map(|message| CarriedMessage { id: id.to_owned(), message })
            .ok_or_else(|| CallError::UnknownMessage(id.to_owned()))
    };
    if !batch {
        return Ok(vec![number(head.headers.get("X-Request-Id").unwrap_or_default())?]);
    }
    let mut all = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let odd = || CallError::Malformed;
        let end = rest.windows(2).position(|w| w == b"\r\n").ok_or_else(odd)?;
        let line = std::str::from_utf8(&rest[..end]).map_err(|_| odd())?;
        let mut words = line.split(' ');
        let (id, length) = (words.next().ok_or_else(odd)?, words.nth(1).ok_or_else(odd)?);
        let length: usize = length.parse().map_err(|_| odd())?;
        all.push(number(id)?);
        rest = rest.get(end + 2 + length + 2..).ok_or_else(odd)?;
    }
    Ok(all)
}
