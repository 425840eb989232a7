//! A crowd: many clients that misbehave in the same way, at the same time.

use crate::client::{connect, read_answer, within, write, Answer};
use crate::shape::Shape;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a client waits for an answer or the end of its connection before it counts as left with neither.
const PATIENCE: Duration = Duration::from_secs(6);
/// The status code that accepts a message.
const ACCEPTED: u16 = 202;
/// How long clients that read nothing keep their connection.
const UNREAD_TIME: Duration = Duration::from_secs(3);

/// Many clients of the same shape.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// Where the forwarder listens.
    pub address: SocketAddr,
    /// What each client does.
    pub shape: Shape,
    /// How many clients connect at the same time.
    pub clients: usize,
    /// How often the crowd comes, one wave after the other.
    pub waves: usize,
    /// How long clients that send one request after another go on.
    pub flood_time: Duration,
    /// The beginning of all request ids.
    pub name: String,
}

/// What the clients of a crowd got.
#[derive(Debug, Default)]
pub struct CrowdReport {
    /// The number of responses by status code.
    pub statuses: BTreeMap<u16, usize>,
    /// The number of connections that ended without a response.
    pub closed: usize,
    /// The number of clients that got neither a response nor the end of their connection.
    pub unanswered: usize,
    /// The longest time from a connect to its answer or end.
    pub slowest: Duration,
    /// The ids of the requests that were accepted.
    pub accepted: Vec<String>,
}

impl CrowdReport {
    fn add(&mut self, id: String, answer: Option<Answer>, elapsed: Duration) {
        self.slowest = self.slowest.max(elapsed);
        match answer {
            Some(Answer::Status { code, .. }) => {
                *self.statuses.entry(code).or_default() += 1;
                if code == ACCEPTED {
                    self.accepted.push(id);
                }
            }
            Some(Answer::Closed) => self.closed += 1,
            None => self.unanswered += 1,
        }
    }

    fn merge(&mut self, other: CrowdReport) {
        for (code, count) in other.statuses {
            *self.statuses.entry(code).or_default() += count;
        }
        self.closed += other.closed;
        self.unanswered += other.unanswered;
        self.slowest = self.slowest.max(other.slowest);
        self.accepted.extend(other.accepted);
    }
}

impl Crowd {
    /// Runs the crowd until each of its clients has its answer, or has waited for it long enough.
    pub async fn run(&self) -> CrowdReport {
        let mut report = CrowdReport::default();
        for wave in 0..self.waves {
            report.merge(self.run_wave(wave).await);
        }
        report
    }

    async fn run_wave(&self, wave: usize) -> CrowdReport {
        let executor = LocalExecutor::new();
        let clients = (0..self.clients).map(|number| {
            let id = format!("{}-{wave}-{number}", self.name);
            executor.spawn(async move {
                match self.shape.is_flood() {
                    true => self.flood(&id).await,
                    false => self.send_once(id).await,
                }
            })
        });
        let clients: Vec<_> = clients.collect();
        let all = async {
            let mut report = CrowdReport::default();
            for client in clients {
                report.merge(client.await);
            }
            report
        };
        executor.run(all).await
    }

    /// Sends one request and waits for its answer.
    async fn send_once(&self, id: String) -> CrowdReport {
        let mut report = CrowdReport::default();
        let mut stream = connect(self.address).await;
        let connected_at = Instant::now();
        let answer = within(PATIENCE, self.exchange(&mut stream, &id)).await;
        report.add(id, answer, connected_at.elapsed());
        report
    }

    async fn exchange(&self, stream: &mut Async<TcpStream>, id: &str) -> Answer {
        let stream = &*stream;
        let sent = async {
            // A forwarder that has answered already may have closed the connection.
            let _ = write(stream, &self.shape.request(id), self.shape.pace()).await;
            future::pending().await
        };
        let answered = async {
            if !self.shape.reads() {
                Timer::after(UNREAD_TIME).await;
            }
            read_answer(stream).await
        };
        future::or(sent, answered).await
    }

    /// Sends one request after another, on a new connection whenever the last one has ended.
    async fn flood(&self, id: &str) -> CrowdReport {
        let mut report = CrowdReport::default();
        let started_at = Instant::now();
        let mut number = 0;
        let mut kept = None;
        while started_at.elapsed() < self.flood_time {
            let mut stream = match kept.take() {
                Some(stream) => stream,
                None => connect(self.address).await,
            };
            number += 1;
            let id = format!("{id}-{number}");
            let sent_at = Instant::now();
            let answer = within(PATIENCE, self.exchange(&mut stream, &id)).await;
            report.add(id, answer, sent_at.elapsed());
            if matches!(answer, Some(Answer::Status { keeps_alive: true, .. })) {
                kept = Some(stream);
            }
        }
        report
    }
}
