//! Honest clients: a steady load of small valid requests, whose answers are due within the time that the platform's clients
//! wait.

use crate::client::{connect, read_answer, within, write, Answer};
use crate::shape::{request_head, Pace};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How long the platform's clients wait for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an honest client waits here, so that a late answer is told from none.
const PATIENCE: Duration = Duration::from_secs(3);

/// Tells a load when to end and when the forwarder is down. It may be used from another thread.
#[derive(Debug, Default)]
pub struct LoadControl {
    ended: AtomicBool,
    /// Odd while the forwarder is unavailable; each change adds one.
    outages: AtomicU32,
}

impl LoadControl {
    /// Ends the load once its open requests have their answers.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Records that the forwarder is unavailable from now on, or available again. Requests that overlap with such a time may
    /// remain without an answer.
    pub fn set_available(&self, available: bool) {
        let is_available = self.outages.load(Ordering::SeqCst).is_multiple_of(2);
        if available != is_available {
            self.outages.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// A steady load of small requests.
#[derive(Clone, Debug)]
pub struct HonestLoad {
    /// Where the forwarder listens.
    pub address: SocketAddr,
    /// Requests per second.
    pub rate: u32,
    /// The class of the messages.
    pub class: String,
    /// The beginning of all request ids.
    pub name: String,
}

/// What honest clients got.
#[derive(Debug, Default)]
pub struct HonestReport {
    /// The number of requests that were sent.
    pub sent: usize,
    /// The ids of the accepted messages.
    pub accepted: Vec<String>,
    /// The number of requests that were rejected with 429 or 503.
    pub rejected: usize,
    /// The ids of requests without an answer or with an unexpected one, each with what came instead.
    pub failed: Vec<String>,
    /// The ids of the requests that were answered after more than 0.4 s, with the time.
    pub late: Vec<String>,
    /// The number of requests that were excused, as the forwarder was unavailable.
    pub excused: usize,
    /// The longest time to an answer.
    pub slowest: Duration,
}

/// The connections that clients keep for the next request.
type KeptConnections = Rc<RefCell<Vec<Async<TcpStream>>>>;

impl HonestLoad {
    /// Sends requests until the control ends the load.
    pub async fn run(&self, control: &LoadControl) -> HonestReport {
        let report = RefCell::new(HonestReport::default());
        let executor = LocalExecutor::new();
        executor.run(self.send_all(&executor, control, &report)).await;
        drop(executor);
        report.into_inner()
    }

    async fn send_all<'a>(
        &'a self,
        executor: &LocalExecutor<'a>,
        control: &'a LoadControl,
        report: &'a RefCell<HonestReport>,
    ) {
        let kept = KeptConnections::default();
        let interval = Duration::from_secs(1) / self.rate;
        let mut requests = Vec::new();
        let mut next_at = Instant::now();
        while !control.ended.load(Ordering::SeqCst) {
            requests.push(executor.spawn(self.send(requests.len(), kept.clone(), control, report)));
            next_at += interval;
            Timer::at(next_at).await;
        }
        for request in requests {
            request.await;
        }
    }

    /// Sends one request: every second one on a connection that was used before, if there is one.
    async fn send(
        &self,
        number: usize,
        kept: KeptConnections,
        control: &LoadControl,
        report: &RefCell<HonestReport>,
    ) {
        let id = format!("{}-{number}", self.name);
        let outages = control.outages.load(Ordering::SeqCst);
        let kept_connection = number.is_multiple_of(2).then(|| kept.borrow_mut().pop()).flatten();
        let sent_at = Instant::now();
        let answer = within(PATIENCE, self.exchange(&id, kept_connection, &kept)).await;
        let elapsed = sent_at.elapsed();
        let is_excused = !outages.is_multiple_of(2) || control.outages.load(Ordering::SeqCst) != outages;
        report.borrow_mut().add(id, answer, elapsed, is_excused);
    }

    /// Sends a request and reads its answer. One that crosses the close of a kept connection is sent once more on a new one.
    async fn exchange(
        &self,
        id: &str,
        kept_connection: Option<Async<TcpStream>>,
        kept: &KeptConnections,
    ) -> Answer {
        let head = request_head(id, "Content-Length: 5\r\n")
            .replace("X-Class: notice", &format!("X-Class: {}", self.class));
        let request = [head.as_bytes(), b"hello"].concat();
        if let Some(stream) = kept_connection {
            let answer = send_on(&stream, &request).await;
            if answer != Answer::Closed {
                keep(kept, stream, answer);
                return answer;
            }
        }
        let stream = connect(self.address).await;
        let answer = send_on(&stream, &request).await;
        keep(kept, stream, answer);
        answer
    }
}

async fn send_on(stream: &Async<TcpStream>, request: &[u8]) -> Answer {
    // A connection that was closed meanwhile has no answer.
    let _ = write(stream, request, Pace::AtOnce).await;
    read_answer(stream).await
}

fn keep(kept: &KeptConnections, stream: Async<TcpStream>, answer: Answer) {
    if matches!(answer, Answer::Status { code: 202, keeps_alive: true }) {
        kept.borrow_mut().push(stream);
    }
}

impl HonestReport {
    fn add(&mut self, id: String, answer: Option<Answer>, elapsed: Duration, is_excused: bool) {
        self.sent += 1;
        let is_answered = matches!(answer, Some(Answer::Status { code: 200 | 202 | 429 | 503, .. }));
        if is_excused && !(is_answered && elapsed <= CLIENT_TIMEOUT) {
            self.excused += 1;
            return;
        }
        self.slowest = self.slowest.max(elapsed);
        if elapsed > CLIENT_TIMEOUT && is_answered {
            self.late.push(format!("{id} after {elapsed:?}"));
        }
        match answer {
            Some(Answer::Status { code: 200 | 202, .. }) => self.accepted.push(id),
            Some(Answer::Status { code: 429 | 503, .. }) => self.rejected += 1,
            other => self.failed.push(format!("{id}: {other:?} after {elapsed:?}")),
        }
    }
}
