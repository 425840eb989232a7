//! The connection between predecessor and successor, and the framing on it.

use super::frames::SuccessorFrame;
use crate::net::http::{frame, write_all, Frame, HttpConnection, HttpError};
use crate::MessageId;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use serde::{de::DeserializeOwned, Serialize};
use std::net::TcpStream;

/// The longest head or body of a frame: the state of many thousand messages, without their bodies.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Frames that wait to be written; senders wait beyond that.
const FRAME_QUEUE: usize = 1024;

/// Why a hand-over failed.
#[derive(Debug, thiserror::Error)]
pub enum HandOverError {
    /// The connection failed.
    #[error("{0}")]
    Connection(HttpError),
    /// A frame could not be serialized.
    #[error("a frame cannot be written")]
    FrameNotWritten,
    /// A frame could not be parsed.
    #[error("a frame cannot be read")]
    FrameNotRead,
    /// The predecessor's journal is incomplete, so the folder does not hold what its state counts on.
    #[error("the journal cannot be written")]
    JournalNotWritable,
    /// The successor sent another frame in place of [`SuccessorFrame::Owns`].
    #[error("the successor did not say that it owns the folder")]
    OwnershipNotClaimed,
    /// The predecessor speaks another version of the frames.
    #[error("the predecessor speaks another format")]
    FormatDiffers,
    /// The predecessor did not send its state first.
    #[error("the state did not come first")]
    StateNotFirst,
    /// The state of the predecessor's delivery policy could not be parsed.
    #[error("the state of the delivery policy is of another format")]
    PolicyNotRead,
}

impl HandOverError {
    /// A code for the log.
    pub fn code(&self) -> &'static str {
        match self {
            HandOverError::Connection(error) => error.code(),
            _ => "malformed",
        }
    }

    /// Whether it will be the same at the next try: the two processes do not understand each other.
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

/// Queues frames to be written; clones share the connection.
#[derive(Clone)]
pub struct FrameSender {
    frames: Sender<Vec<u8>>,
}

impl FrameSender {
    /// Queues a frame without a body.
    pub(super) async fn send(&self, head: &impl Serialize) -> Result<(), HandOverError> {
        self.send_with_body(head, &[]).await
    }

    /// Queues a frame.
    pub(super) async fn send_with_body(
        &self,
        head: &impl Serialize,
        body: &[u8],
    ) -> Result<(), HandOverError> {
        let head = serde_json::to_vec(head).map_err(|_| HandOverError::FrameNotWritten)?;
        self.frames.send(frame(&head, body)).await.map_err(|_| HttpError::UnexpectedEnd.into())
    }

    /// A channel that, when closed or dropped, has the predecessor cancel an attempt which is in flight there.
    pub fn cancel_on_close(
        &self,
        executor: &LocalExecutor<'static>,
        id: MessageId,
        attempt: u32,
    ) -> Sender<()> {
        let (cancel, cancelled) = async_channel::bounded::<()>(1);
        let frames = self.clone();
        let waiting = async move {
            // Nothing is ever sent: the channel is closed to cancel.
            let _ = cancelled.recv().await;
            // An attempt that is complete is unknown to the predecessor; one that is gone has none.
            let _ = frames.send(&SuccessorFrame::Cancel { id, attempt }).await;
        };
        executor.spawn(waiting).detach();
        cancel
    }
}

/// One end of the connection.
pub(super) struct Link {
    connection: HttpConnection,
    pub frames: FrameSender,
}

impl Link {
    /// Puts the framing on a connection.
    pub fn new(connection: HttpConnection, executor: &LocalExecutor<'static>) -> Result<Link, HandOverError> {
        let (frames, queue) = async_channel::bounded(FRAME_QUEUE);
        let stream = connection.writer().map_err(HttpError::Socket)?;
        executor.spawn(write_frames(stream, queue)).detach();
        Ok(Link { connection, frames: FrameSender { frames } })
    }

    /// The next frame.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<ReceivedFrame<T>, HandOverError> {
        let Frame { head, body } = self.connection.read_frame(MAX_FRAME_BYTES).await?;
        let head = serde_json::from_slice(&head).map_err(|_| HandOverError::FrameNotRead)?;
        Ok(ReceivedFrame { head, body })
    }
}

/// A frame that was received.
pub(super) struct ReceivedFrame<T> {
    pub head: T,
    pub body: Vec<u8>,
}

/// Writes frames beside the reading, so that two processes that write to each other never wait for each other.
async fn write_frames(mut stream: Async<TcpStream>, queue: Receiver<Vec<u8>>) {
    while let Ok(frame) = queue.recv().await {
        if write_all(&mut stream, &frame).await.is_err() {
            return;
        }
    }
}
