//! A TCP connection with its receive buffer: receiving, writing, and detecting how the connection ends.

use super::{Buffer, HttpError};
use crate::memory::MemoryPermit;
use crate::net::receive_bounds::ReceiveBounds;
use crate::net::response_memory::ResponseMemory;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncRead, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// How much is received at a time, at most. It is received on the stack, so that a connection holds no more than has arrived.
const RECEIVE_BYTES: usize = 8 * 1024;

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
    /// Bounds what is received from others that may send without measure; `None` for no bounds but those of each message.
    pub bounds: Option<Box<ReceiveBounds>>,
    /// The memory of the responses that are received; `None` for no bounds but those of each response.
    pub response_memory: Option<ResponseMemory>,
    /// When the socket was last found to have nothing to read.
    last_empty: Option<Instant>,
}

impl HttpConnection {
    /// Wraps an open connection.
    pub fn new(stream: Async<TcpStream>) -> Self {
        // Without this option small messages wait for the acknowledgement of earlier ones. If it fails, they are only
        // slower.
        let _ = stream.get_ref().set_nodelay(true);
        let buffer = Buffer::default();
        HttpConnection {
            stream,
            buffer,
            stall_timeout: None,
            bounds: None,
            response_memory: None,
            last_empty: None,
        }
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

    /// Receives more bytes into the buffer and returns their number, 0 if the other side has closed its sending side. Waits for
    /// the bounds of the connection first.
    ///
    /// # Errors
    ///
    /// Returns the socket's error, or [`io::ErrorKind::OutOfMemory`] if there is no memory for more of a response.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let room = self.until_room().await?;
        self.receive(room, None).await
    }

    /// Waits for the bounds of the connection until more may be received into the buffer; returns how many bytes.
    async fn until_room(&mut self) -> io::Result<usize> {
        let held = self.buffer.bytes().len();
        if let Some(bounds) = &mut self.bounds {
            return Ok(bounds.until_room_behind(held).await);
        }
        match &mut self.response_memory {
            Some(memory) => memory.room_behind(held).map_err(|_| io::ErrorKind::OutOfMemory.into()),
            None => Ok(RECEIVE_BYTES),
        }
    }

    /// Waits for the bounds of the connection until a body may have `length` bytes.
    pub(super) async fn until_room_for(&mut self, length: usize) -> Result<(), HttpError> {
        if let Some(bounds) = &mut self.bounds {
            bounds.until_room_for(length).await;
        }
        match &mut self.response_memory {
            Some(memory) => memory.reserve(length).map_err(|_| HttpError::OutOfMemory),
            None => Ok(()),
        }
    }

    /// Returns the permit of the response that was read, if its memory is bounded, and begins to count for the next one.
    pub fn end_response(&mut self) -> Option<MemoryPermit> {
        self.response_memory.as_mut().map(ResponseMemory::end_response)
    }

    /// Receives up to `limit` bytes into a body, or into the buffer if there is none, and returns their number, 0 at the end.
    pub(super) async fn receive(
        &mut self,
        limit: usize,
        mut body: Option<&mut Vec<u8>>,
    ) -> io::Result<usize> {
        loop {
            let turn = match &mut self.bounds {
                Some(bounds) => bounds.next_turn().await,
                None => None,
            };
            let receiving = future::poll_fn(|cx| self.poll_receive(cx, limit, body.as_deref_mut()));
            // A connection that is read in turns must not keep its turn while it waits.
            let received = match turn {
                Some(_turn) => future::poll_once(receiving).await,
                None => Some(receiving.await),
            };
            match received {
                Some(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
                Some(received) => return received,
                None => self.stream.readable().await?,
            }
        }
    }

    /// Polls a read of up to `limit` bytes into a body or the buffer, and records when the socket was empty.
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        limit: usize,
        body: Option<&mut Vec<u8>>,
    ) -> Poll<io::Result<usize>> {
        let mut received = [0; RECEIVE_BYTES];
        let received = &mut received[..limit.min(RECEIVE_BYTES)];
        let polled = Pin::new(&mut self.stream).poll_read(cx, received);
        match &polled {
            Poll::Pending => self.last_empty = Some(Instant::now()),
            Poll::Ready(Ok(count)) => {
                self.bounds.iter_mut().for_each(|bounds| bounds.record_reception(*count));
                match body {
                    Some(body) => body.extend_from_slice(&received[..*count]),
                    None => self.buffer.append(&received[..*count]),
                }
            }
            Poll::Ready(Err(_)) => {}
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

    /// Receives more of a body of `length` bytes, straight into it.
    pub(super) async fn receive_into(&mut self, body: &mut Vec<u8>, length: usize) -> Result<(), HttpError> {
        let (timeout, missing) = (self.stall_timeout, length - body.len());
        let received = self.receive(missing, Some(body));
        within_stall_timeout(timeout, received).await
    }

    async fn receive_within(&mut self, timeout: Option<Duration>) -> Result<(), HttpError> {
        within_stall_timeout(timeout, self.fill()).await
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
        loop {
            // A socket whose other side keeps sending is always ready: other tasks run first.
            let turn = match &self.bounds {
                Some(bounds) => Some(bounds.turn().await),
                None => {
                    future::yield_now().await;
                    None
                }
            };
            let discarded = future::poll_once(future::poll_fn(|cx| self.poll_discard(cx))).await;
            drop(turn);
            match discarded {
                Some(Err(e)) if e.kind() != io::ErrorKind::Interrupted => return,
                Some(Ok(0)) => return,
                Some(_) => {}
                None if self.stream.readable().await.is_err() => return,
                None => {}
            }
        }
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut discarded = [0; RECEIVE_BYTES];
        Pin::new(&mut self.stream).poll_read(cx, &mut discarded)
    }

    /// Polls whether an idle connection can no longer be used because the other side has ended it or sent data on it, and
    /// returns the reason's code. The data stays in the buffer, so that later polls find it as well.
    pub fn poll_idle_end(&mut self, cx: &mut Context<'_>) -> Option<&'static str> {
        if !self.buffer.bytes().is_empty() {
            return Some("unasked");
        }
        match self.poll_receive(cx, RECEIVE_BYTES, None) {
            Poll::Pending => None,
            Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {
                cx.waker().wake_by_ref();
                None
            }
            Poll::Ready(Ok(count)) if count > 0 => Some("unasked"),
            Poll::Ready(_) => Some("peer-closed"),
        }
    }
}

/// Awaits a reception for at most the time limit. The end of the connection is an error.
async fn within_stall_timeout(
    timeout: Option<Duration>,
    receiving: impl future::Future<Output = io::Result<usize>>,
) -> Result<(), HttpError> {
    let expired = async {
        match timeout {
            Some(timeout) => Timer::after(timeout).await,
            None => future::pending().await,
        };
        Err(HttpError::TimedOut)
    };
    let received = async {
        match receiving.await? {
            0 => Err(HttpError::UnexpectedEnd),
            _ => Ok(()),
        }
    };
    future::or(received, expired).await
}
