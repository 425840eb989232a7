//! One request that brings delivery reports to the platform, and those that are still waited for although they are late.

use crate::net::dial::connect_within;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::within_or_error;
use crate::MessageId;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

/// A connection to the platform comes up within this, or another is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// A late answer is waited for so long.
const LATE_TIMEOUT: Duration = Duration::from_secs(10);
/// So many late answers are waited for at once.
const MAX_LATE: usize = 3;
/// The largest body of a response that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// A connection that can be used again.
pub(super) struct PlatformConnection {
    pub address: SocketAddr,
    pub connection: HttpConnection,
}

/// What the platform has answered.
pub(super) struct PostAnswer {
    /// The status of the response.
    pub status: u16,
    /// The connection, if it can be used again.
    pub connection: Option<PlatformConnection>,
}

/// A request that is under way.
pub(super) type Posting = Pin<Box<dyn Future<Output = Result<PostAnswer, HttpError>>>>;

/// Sends reports to an address, on a connection that leads there or on a new one, and receives the response.
pub(super) fn post(address: SocketAddr, open: Option<HttpConnection>, body: String) -> Posting {
    Box::pin(async move {
        let mut connection = match open {
            Some(open) => open,
            None => HttpConnection::new(connect_within(address, CONNECT_TIMEOUT).await?),
        };
        let head = format!("POST /reports HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n");
        let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        connection.write(request.as_bytes()).await?;
        let response = connection.read_response().await?;
        connection.response_body(&response, MAX_RESPONSE_BYTES).await?;
        let connection = response.keep_alive.then_some(PlatformConnection { address, connection });
        Ok(PostAnswer { status: response.status, connection })
    })
}

/// How a late request ended.
pub(super) struct LateAnswer {
    /// The messages whose reports it brought.
    pub ids: Vec<MessageId>,
    /// The answer, unless its connection failed or stayed silent.
    pub answer: Option<PostAnswer>,
}

/// Requests whose answers are late. Guards against reports that are repeated without end to a platform that is slow: each try
/// would be abandoned just before it is confirmed.
pub(super) struct LatePosts {
    waiting: usize,
    ended: Sender<LateAnswer>,
    answers: Receiver<LateAnswer>,
}

impl LatePosts {
    /// None yet.
    pub fn new() -> Self {
        let (ended, answers) = async_channel::bounded(MAX_LATE);
        LatePosts { waiting: 0, ended, answers }
    }

    /// Waits for an answer in the background. Beyond the limit the request is dropped: those before it are closer to theirs.
    pub fn wait_for(&mut self, executor: &LocalExecutor<'static>, ids: Vec<MessageId>, posting: Posting) {
        if self.waiting >= MAX_LATE {
            return;
        }
        self.waiting += 1;
        let ended = self.ended.clone();
        let waiting = async move {
            let answer = within_or_error(posting, LATE_TIMEOUT).await.ok();
            // Where the process has handed over, the successor sends the reports.
            let _ = ended.send(LateAnswer { ids, answer }).await;
        };
        executor.spawn(waiting).detach();
    }

    /// The next late request that ends.
    pub async fn next(&mut self) -> Option<LateAnswer> {
        let ended = self.answers.recv().await.ok()?;
        self.waiting -= 1;
        Some(ended)
    }
}
