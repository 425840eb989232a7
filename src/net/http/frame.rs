//! The frames of the hand-over: a head and a body, preceded by their lengths.

use super::{HttpConnection, HttpError};

/// The size of the lengths in front of a frame, in bytes.
const LENGTHS_BYTES: usize = 8;

/// A received frame.
#[derive(Default)]
pub struct Frame {
    /// The serialized head, still to be parsed.
    pub head: Vec<u8>,
    /// The body; empty for most frames.
    pub body: Vec<u8>,
}

/// Serializes the front of a frame: the lengths of head and body in bytes, as little-endian 32-bit numbers, then the head. The body
/// follows it.
///
/// # Errors
///
/// Returns the error of serializing the head.
pub fn frame_front(head: &impl serde::Serialize, body_length: usize) -> serde_json::Result<Vec<u8>> {
    let mut front = vec![0; LENGTHS_BYTES];
    serde_json::to_writer(&mut front, head)?;
    let head_length = (front.len() - LENGTHS_BYTES) as u32;
    front[..4].copy_from_slice(&head_length.to_le_bytes());
    front[4..LENGTHS_BYTES].copy_from_slice(&(body_length as u32).to_le_bytes());
    Ok(front)
}

/// A frame of which a part may have been received.
#[derive(Default)]
pub struct PartialFrame {
    /// The lengths of head and body; `None` before they were received.
    lengths: Option<FrameLengths>,
    frame: Frame,
}

#[derive(Clone, Copy)]
struct FrameLengths {
    head: usize,
    body: usize,
}

impl HttpConnection {
    /// Reads a frame whose head and body have `limit` bytes at most each. If the future is dropped before the frame is complete,
    /// the received part stays in `partial`, with which the next call goes on.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the frame is complete, or the head or the body is over the
    /// limit.
    pub async fn read_frame(&mut self, partial: &mut PartialFrame, limit: usize) -> Result<Frame, HttpError> {
        let lengths = match partial.lengths {
            Some(lengths) => lengths,
            None => {
                let lengths = self.read_frame_lengths(limit).await?;
                partial.frame.head.reserve_exact(lengths.head);
                partial.frame.body.reserve_exact(lengths.body);
                *partial.lengths.insert(lengths)
            }
        };
        self.read_to_length(&mut partial.frame.head, lengths.head).await?;
        self.read_to_length(&mut partial.frame.body, lengths.body).await?;
        Ok(std::mem::take(partial).frame)
    }

    async fn read_frame_lengths(&mut self, limit: usize) -> Result<FrameLengths, HttpError> {
        loop {
            if let Some((lengths, _)) = self.buffer.bytes().split_first_chunk::<LENGTHS_BYTES>() {
                let [a, b, c, d, e, f, g, h] = *lengths;
                let head = u32::from_le_bytes([a, b, c, d]) as usize;
                let body = u32::from_le_bytes([e, f, g, h]) as usize;
                if head > limit || body > limit {
                    return Err(HttpError::TooLarge);
                }
                self.buffer.consume(LENGTHS_BYTES);
                return Ok(FrameLengths { head, body });
            }
            self.receive_head().await?;
        }
    }

    /// Receives until `data` has `length` bytes.
    async fn read_to_length(&mut self, data: &mut Vec<u8>, length: usize) -> Result<(), HttpError> {
        let buffered = (length - data.len()).min(self.buffer.bytes().len());
        data.extend_from_slice(&self.buffer.bytes()[..buffered]);
        self.buffer.consume(buffered);
        while data.len() < length {
            self.receive_into(data, length).await?;
        }
        Ok(())
    }
}
