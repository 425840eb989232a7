//! The connection between predecessor and successor, and the framing on it.

use super::frames::SuccessorFrame;
use crate::net::http::{frame_front, write_all, Frame, HttpConnection, HttpError, PartialFrame};
use crate::net::message_body::MessageBody;
use crate::MessageId;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use serde::{de::DeserializeOwned, Serialize};
use std::net::TcpStream;

/// The longest head or body of a frame. It has room for the state of many thousand messages, whose bodies are not part of
/// it.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// The capacity of the queue of frames to be written; senders wait while it is full.
const FRAME_QUEUE_CAPACITY: usize = 1024;

/// Why a hand-over failed.
#[derive(Debug, thiserror::Error)]
pub enum HandOverError {
    /// The connection between predecessor and successor failed.
    #[error("{0}")]
    Connection(HttpError),
    /// A frame could not be serialized.
    #[error("cannot serialize a frame")]
    FrameNotSerialized,
    /// A frame could not be parsed.
    #[error("cannot parse a frame")]
    FrameNotParsed,
    /// The predecessor's journal could not be written completely, so the state folder lacks records that its state relies
    /// on.
    #[error("the journal cannot be written")]
    JournalNotWritable,
    /// The successor sent another frame in place of [`SuccessorFrame::ReadyToOwn`].
    #[error("the successor did not confirm that it is ready to own the state folder")]
    OwnershipNotConfirmed,
    /// The predecessor uses another version of the frames.
    #[error("the predecessor uses another version of the frames")]
    FormatDiffers,
    /// The fence of the calls in flight could not be written, so the next process could not tell that they are in flight.
    #[error("cannot write the fence of the calls in flight: {0}")]
    FenceNotWritten(#[source] std::io::Error),
    /// The first frame of the predecessor was not its state.
    #[error("the predecessor's first frame is not its state")]
    StateNotFirst,
    /// The state of the predecessor's delivery policy could not be parsed.
    #[error("cannot parse the state of the delivery policy")]
    PolicyNotParsed,
}

impl HandOverError {
    /// The reason's code in the log.
    pub fn code(&self) -> &'static str {
        match self {
            HandOverError::Connection(error) => error.code(),
            _ => "malformed",
        }
    }

    /// Whether a retry would fail in the same way, because the two processes do not understand each other.
    pub fn is_permanent(&self) -> bool {
        match self {
            HandOverError::Connection(error) => {
                matches!(error, HttpError::Malformed(_) | HttpError::TooLarge)
            }
            _ => true,
        }
    }
}

impl From<HttpError> for HandOverError {
    fn from(error: HttpError) -> Self {
        HandOverError::Connection(error)
    }
}

/// A frame that is to be written.
struct QueuedFrame {
    front: Vec<u8>,
    /// Shared with the message, so that a frame in the queue holds no copy of it.
    body: MessageBody,
}

/// Queues frames that a task writes to the connection. Clones share the connection.
#[derive(Clone)]
pub struct FrameSender {
    frames: Sender<QueuedFrame>,
}

impl FrameSender {
    /// Queues a frame without a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame cannot be serialized or the connection can no longer be written.
    pub(super) async fn send(&self, head: &impl Serialize) -> Result<(), HandOverError> {
        self.send_with_body(head, MessageBody::default()).await
    }

    /// Queues a frame with a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame cannot be serialized or the connection can no longer be written.
    pub(super) async fn send_with_body(
        &self,
        head: &impl Serialize,
        body: MessageBody,
    ) -> Result<(), HandOverError> {
        let front = frame_front(head, body.len()).map_err(|_| HandOverError::FrameNotSerialized)?;
        let frame = QueuedFrame { front, body };
        self.frames.send(frame).await.map_err(|_| HttpError::UnexpectedEnd.into())
    }

    /// Returns a channel end that, when closed or dropped, has the predecessor cancel an attempt that is in flight there.
    pub fn cancel_on_close(
        &self,
        executor: &LocalExecutor<'static>,
        id: MessageId,
        attempt: u32,
    ) -> Sender<()> {
        let (cancel, cancelled) = async_channel::bounded::<()>(1);
        let frames = self.clone();
        let waiting = async move {
            // Nothing is ever sent: receiving ends with an error when the other end is closed or dropped.
            let _ = cancelled.recv().await;
            // The predecessor ignores a completed attempt. Sending fails if the predecessor is gone, and its attempts with
            // it.
            let _ = frames.send(&SuccessorFrame::Cancel { id, attempt }).await;
        };
        executor.spawn(waiting).detach();
        cancel
    }
}

/// One process's end of the connection.
pub(super) struct Link {
    connection: HttpConnection,
    /// What was received of the next frame.
    partial: PartialFrame,
    pub frames: FrameSender,
}

impl Link {
    /// Starts the framing on a connection, with a task that writes the queued frames.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be duplicated for writing.
    pub fn new(connection: HttpConnection, executor: &LocalExecutor<'static>) -> Result<Link, HandOverError> {
        let (frames, queue) = async_channel::bounded(FRAME_QUEUE_CAPACITY);
        let stream = connection.writer().map_err(HttpError::Socket)?;
        executor.spawn(write_frames(stream, queue)).detach();
        Ok(Link { connection, partial: PartialFrame::default(), frames: FrameSender { frames } })
    }

    /// Reads the next frame. A frame that is only partly received is kept if this future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or fails, or the frame is too large or cannot be parsed.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<ReceivedFrame<T>, HandOverError> {
        let Frame { head, body } = self.connection.read_frame(&mut self.partial, MAX_FRAME_BYTES).await?;
        let head = serde_json::from_slice(&head).map_err(|_| HandOverError::FrameNotParsed)?;
        Ok(ReceivedFrame { head, body })
    }
}

/// A received frame with its parsed head.
pub(super) struct ReceivedFrame<T> {
    pub head: T,
    pub body: Vec<u8>,
}

/// Writes the queued frames until the connection fails. It runs beside the task that reads, so that two processes that write
/// to each other at once do not deadlock.
async fn write_frames(mut stream: Async<TcpStream>, queue: Receiver<QueuedFrame>) {
    while let Ok(QueuedFrame { front, body }) = queue.recv().await {
        let front_written = write_all(&mut stream, &front).await;
        drop(front);
        if front_written.is_err() || write_all(&mut stream, &body).await.is_err() {
            return;
        }
    }
}
