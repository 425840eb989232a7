//! A TCP connection with its receive buffer: receiving, writing, and detecting how the connection ends.

use super::{Buffer, HttpError};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncRead, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The size of the buffer for discarded data. It is small because many connections can be discarding at once.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// Writes all bytes, and continues after an interruption by a signal.
///
/// # Errors
///
/// Returns the socket's error.
pub async fn write_all(stream: &mut Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        match stream.write(rest).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => rest = &rest[written..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// A TCP connection with its receive buffer.
pub struct HttpConnection {
    stream: Async<TcpStream>,
    /// The bytes that have been received and not yet consumed.
    pub buffer: Buffer,
    /// The longest pause between two receptions within a head or body; `None` for no limit.
    pub stall_timeout: Option<Duration>,
    /// When the socket was last found to have nothing to read.
    last_empty: Option<Instant>,
}

impl HttpConnection {
    /// Wraps an open connection.
    pub fn new(stream: Async<TcpStream>) -> Self {
        // Without this option small messages wait for the acknowledgement of earlier ones. If it fails, they are only
        // slower.
        let _ = stream.get_ref().set_nodelay(true);
        HttpConnection { stream, buffer: Buffer::default(), stall_timeout: None, last_empty: None }
    }

    /// The address of the other side; `None` if the socket is no longer connected.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.get_ref().peer_addr().ok()
    }

    /// The socket, for reading and setting its options.
    pub fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// Duplicates the socket, so that one task can write while another reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has no file descriptor left.
    pub fn writer(&self) -> io::Result<Async<TcpStream>> {
        Async::new(self.stream.get_ref().try_clone()?)
    }

    /// When the socket was last found to have nothing to read: whatever was received since arrived later. `None` if every
    /// read so far found data.
    pub fn last_empty(&self) -> Option<Instant> {
        self.last_empty
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Returns the socket's error.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write_all(&mut self.stream, bytes).await
    }

    /// Closes the sending side of the connection; the other side may still send.
    pub fn shutdown_write(&self) {
        // This fails only if the connection has ended already.
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Receives more bytes into the buffer and returns their number, 0 if the other side has closed its sending side.
    ///
    /// # Errors
    ///
    /// Returns the socket's error.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            match future::poll_fn(|cx| self.poll_read(cx)).await {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(count) => {
                    self.buffer.advance(count);
                    return Ok(count);
                }
                failed => return failed,
            }
        }
    }

    /// Polls a read into the spare capacity of the buffer, and records when the socket was empty.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, self.buffer.spare_capacity());
        if polled.is_pending() {
            self.last_empty = Some(Instant::now());
        }
        polled
    }

    /// Receives more of a head. While the buffer is empty the head has not begun: there is no time limit then, and the
    /// connection may end properly.
    pub(super) async fn receive_head(&mut self) -> Result<(), HttpError> {
        if self.buffer.bytes().is_empty() {
            return match self.receive_within(None).await {
                Err(HttpError::UnexpectedEnd) => Err(HttpError::Closed),
                received => received,
            };
        }
        self.receive_within(self.stall_timeout).await
    }

    /// Receives more of a body. The body has begun even if the buffer is empty, so the time limit applies and the connection
    /// must not end.
    pub(super) async fn receive_body(&mut self) -> Result<(), HttpError> {
        self.receive_within(self.stall_timeout).await
    }

    async fn receive_within(&mut self, timeout: Option<Duration>) -> Result<(), HttpError> {
        let expired = async {
            match timeout {
                Some(timeout) => Timer::after(timeout).await,
                None => future::pending().await,
            };
            Err(HttpError::TimedOut)
        };
        let received = async {
            match self.fill().await? {
                0 => Err(HttpError::UnexpectedEnd),
                _ => Ok(()),
            }
        };
        future::or(received, expired).await
    }

    /// Returns once bytes were received that are not consumed, or the connection has ended or failed.
    pub async fn until_received(&mut self) {
        if self.buffer.bytes().is_empty() {
            // An error comes again with the next read.
            let _ = self.fill().await;
        }
    }

    /// Receives and discards data until the connection ends.
    pub async fn discard_until_end(&mut self) {
        let mut discarded = vec![0; DISCARD_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut discarded).await {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return,
                Ok(0) => return,
                // A socket whose other side keeps sending is always ready: yield so that other tasks run as well.
                _ => future::yield_now().await,
            }
        }
    }

    /// Polls whether an idle connection can no longer be used because the other side has ended it or sent data on it, and
    /// returns the reason's code. The data stays in the buffer, so that later polls find it as well.
    pub fn poll_idle_end(&mut self, cx: &mut Context<'_>) -> Option<&'static str> {
        if !self.buffer.bytes().is_empty() {
            return Some("unasked");
        }
        match self.poll_read(cx) {
            Poll::Pending => None,
            Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {
                cx.waker().wake_by_ref();
                None
            }
            Poll::Ready(Ok(count)) if count > 0 => {
                self.buffer.advance(count);
                Some("unasked")
            }
            Poll::Ready(_) => Some("peer-closed"),
        }
    }
}
