//! A TCP connection with its buffer: what is received and written, and how the connection ends.

use super::{Buffer, HttpError};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncRead, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Many connections are discarded at once, and each has this much memory for it.
const DISCARD_BYTES: usize = 4 * 1024;

/// Writes all bytes; an interruption by a signal ends nothing.
///
/// # Errors
///
/// Those of the socket.
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

/// A connection with its buffer.
pub struct HttpConnection {
    stream: Async<TcpStream>,
    /// What has been received and is not yet used.
    pub buffer: Buffer,
    /// The longest pause within a head or body; without it, it may take for ever.
    pub stall_timeout: Option<Duration>,
    /// When the socket last had nothing to be read.
    last_empty: Option<Instant>,
}

impl HttpConnection {
    /// Wraps an open connection.
    pub fn new(stream: Async<TcpStream>) -> Self {
        // Small messages must not wait for the acknowledgement of earlier ones. Without it they only come later.
        let _ = stream.get_ref().set_nodelay(true);
        HttpConnection { stream, buffer: Buffer::default(), stall_timeout: None, last_empty: None }
    }

    /// The address of the other side, as long as it is connected.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.stream.get_ref().peer_addr().ok()
    }

    /// The socket, for options that only a socket has.
    pub fn socket(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// The same connection once more, for what is written while something is read.
    ///
    /// # Errors
    ///
    /// If the process has no descriptor left.
    pub fn writer(&self) -> io::Result<Async<TcpStream>> {
        Async::new(self.stream.get_ref().try_clone()?)
    }

    /// When the socket was last found to have nothing to be read: whatever was received since was sent later. `None` if
    /// each read so far found something.
    pub fn last_empty(&self) -> Option<Instant> {
        self.last_empty
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Those of the socket.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write_all(&mut self.stream, bytes).await
    }

    /// Ends the sending; the other side may still send.
    pub fn shutdown_write(&self) {
        // Fails only if the connection has ended already.
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Receives some more into the buffer; how many bytes, 0 if the other side has ended its sending.
    ///
    /// # Errors
    ///
    /// Those of the socket.
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

    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, self.buffer.spare_capacity());
        if polled.is_pending() {
            self.last_empty = Some(Instant::now());
        }
        polled
    }

    /// Receives more of a head. It has not begun while the buffer is empty: it may take for ever then, and the connection
    /// may end.
    pub(super) async fn receive_head(&mut self) -> Result<(), HttpError> {
        if self.buffer.bytes().is_empty() {
            return match self.receive_within(None).await {
                Err(HttpError::UnexpectedEnd) => Err(HttpError::Closed),
                received => received,
            };
        }
        self.receive_within(self.stall_timeout).await
    }

    /// Receives more of a body. It is incomplete until its end is known, also while the buffer is empty.
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

    /// Discards whatever is received, up to the end.
    pub async fn discard_until_end(&mut self) {
        let mut scratch = vec![0; DISCARD_BYTES];
        loop {
            match self.stream.read(&mut scratch).await {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return,
                Ok(0) => return,
                // One that keeps sending is always ready and must not keep the others from their turn.
                _ => future::yield_now().await,
            }
        }
    }

    /// Whether the other side has ended an idle connection or sent something on it; the reason's code. What it sent is kept,
    /// so that it is seen again.
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
