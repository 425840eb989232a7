//! One watch of the platform's endpoint list: a connection on which the agent sends a line for each version.

use crate::net::dial::connect_within;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::{EndpointListMessage, WatchEnd};
use crate::net::{within, within_or_error};
use crate::Micros;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use slog::{info, Logger};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// A watch on which nothing comes for so long has fallen silent: an empty line comes every 2 s. Another is opened beside it,
/// as what it misses counts as observed 6 s after it fell silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// A watch that has sent no list for so long after it was opened has fallen silent too. With the silence of the one before it
/// that is 5 s; a shorter span has a whole fleet overload a platform that is slow.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2400);
/// One that stays silent is still read for so long, in case its answer is only late.
const GIVE_UP_TIMEOUT: Duration = Duration::from_millis(8000);
/// The longest line.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
/// The longest `Retry-After` that is followed.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// A watch; dropped, it closes its connection.
pub(super) struct Watch {
    /// Its number among the watches of this process.
    pub number: u64,
    /// Where the agent listens.
    pub address: SocketAddr,
    _task: Task<()>,
}

/// What a watch is to be opened with.
pub(super) struct WatchRequest {
    /// Its number among the watches of this process.
    pub number: u64,
    /// Where the agent listens.
    pub address: SocketAddr,
    /// The version that is known; without one the agent sends a complete list.
    pub after_generation: Option<u64>,
    /// When to open it, counted from now.
    pub delay: Duration,
}

impl Watch {
    /// Opens a watch that sends its lines, its silence and its end to the endpoint list actor.
    pub fn start(
        executor: &LocalExecutor<'static>,
        log: &Logger,
        actor: &Sender<EndpointListMessage>,
        request: WatchRequest,
    ) -> Self {
        let WatchRequest { number, address, after_generation, delay } = request;
        let (log, actor) = (log.clone(), actor.clone());
        let task = executor.spawn(async move {
            Timer::after(delay).await;
            let reader = WatchReader { number, address, actor };
            let end = reader.run(after_generation).await;
            match &end {
                WatchEnd::Rejected { status, .. } => {
                    info!(log, "connection ended"; "side" => "endpoint-list", "reason" => "rejected",
                        "status" => status);
                }
                WatchEnd::Failed(error) => {
                    info!(log, "connection ended"; "side" => "endpoint-list", "reason" => error.code());
                }
            };
            // Without the actor nobody needs the list any more.
            let _ = reader.actor.send(EndpointListMessage::WatchEnded { watch: number, end }).await;
        });
        Watch { number, address, _task: task }
    }
}

struct WatchReader {
    number: u64,
    address: SocketAddr,
    actor: Sender<EndpointListMessage>,
}

/// What the agent answers to a watch.
enum Opened {
    /// It is watched; the first chunk has come with the answer.
    Watching { connection: HttpConnection, first_chunk: Option<Vec<u8>> },
    /// The agent refuses the watch.
    Rejected { status: u16, retry_after: Option<Micros> },
}

impl WatchReader {
    /// Sends line after line to the actor until the connection ends; why it did.
    async fn run(&self, after_generation: Option<u64>) -> WatchEnd {
        match self.open_and_read(after_generation).await {
            Ok(end) => end,
            Err(error) => WatchEnd::Failed(error),
        }
    }

    async fn open_and_read(&self, after_generation: Option<u64>) -> Result<WatchEnd, HttpError> {
        let opened = self.report_silence(FIRST_LINE_TIMEOUT, self.open(after_generation)).await?;
        let (mut connection, mut chunk) = match opened {
            Opened::Watching { connection, first_chunk } => (connection, first_chunk),
            Opened::Rejected { status, retry_after } => {
                return Ok(WatchEnd::Rejected { status, retry_after });
            }
        };
        let mut unsent = Vec::new();
        loop {
            unsent.extend_from_slice(&chunk.ok_or(HttpError::Closed)?);
            self.send_lines(&mut unsent).await?;
            if unsent.len() > MAX_LINE_BYTES {
                return Err(HttpError::TooLarge);
            }
            chunk = self.report_silence(SILENCE_TIMEOUT, connection.read_chunk(MAX_LINE_BYTES)).await?;
        }
    }

    async fn open(&self, after_generation: Option<u64>) -> Result<Opened, HttpError> {
        let address = self.address;
        let mut connection = HttpConnection::new(connect_within(address, GIVE_UP_TIMEOUT).await?);
        let after = after_generation.map_or(String::new(), |generation| format!("&after={generation}"));
        let request = format!("GET /catalog/members?watch=1{after} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        connection.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
        let head = connection.read_response().await?;
        if head.status != 200 {
            let seconds = head.headers.get("Retry-After").and_then(|seconds| seconds.parse::<f64>().ok());
            let seconds = seconds.filter(|seconds| (0.0..=MAX_RETRY_AFTER_S).contains(seconds));
            let retry_after = seconds.map(|seconds| (seconds * 1e6) as Micros);
            return Ok(Opened::Rejected { status: head.status, retry_after });
        }
        // The first list comes at once, too.
        let first_chunk = connection.read_chunk(MAX_LINE_BYTES).await?;
        Ok(Opened::Watching { connection, first_chunk })
    }

    /// Sends all complete lines to the actor and leaves the rest.
    async fn send_lines(&self, unsent: &mut Vec<u8>) -> Result<(), HttpError> {
        while let Some(end) = unsent.iter().position(|byte| *byte == b'\n') {
            let rest = unsent.split_off(end + 1);
            let line = std::mem::replace(unsent, rest);
            let message = EndpointListMessage::WatchLine { watch: self.number, line };
            self.actor.send(message).await.map_err(|_| HttpError::Closed)?;
        }
        Ok(())
    }

    /// Reads with a time limit. Silence is reported after a first span, and ends the watch only long after.
    async fn report_silence<T>(
        &self,
        silence_timeout: Duration,
        reading: impl Future<Output = Result<T, HttpError>>,
    ) -> Result<T, HttpError> {
        let mut reading = std::pin::pin!(reading);
        if let Some(read) = within(silence_timeout, reading.as_mut()).await {
            return read;
        }
        // Without the actor the next line ends the watch.
        let _ = self.actor.send(EndpointListMessage::WatchSilent { watch: self.number }).await;
        within_or_error(reading, GIVE_UP_TIMEOUT.saturating_sub(silence_timeout)).await
    }
}
