//! The frames of the hand-over: a head and a body, preceded by their lengths.

use super::{HttpConnection, HttpError};

/// A received frame.
pub struct Frame {
    /// The serialized head, still to be parsed.
    pub head: Vec<u8>,
    /// The body; empty for most frames.
    pub body: Vec<u8>,
}

/// Encodes a frame: the lengths of head and body in bytes, as little-endian 32-bit numbers, then the head and the body.
pub fn encode_frame(head: &[u8], body: &[u8]) -> Vec<u8> {
    let lengths = [head, body].map(|bytes| (bytes.len() as u32).to_le_bytes());
    [lengths.concat().as_slice(), head, body].concat()
}

impl HttpConnection {
    /// Reads a frame as [`encode_frame`] encodes it, whose head and body have `limit` bytes at most each. If the future is
    /// dropped before the frame is complete, the received part stays in the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or stalls before the frame is complete, or the head or the body is over the
    /// limit.
    pub async fn read_frame(&mut self, limit: usize) -> Result<Frame, HttpError> {
        loop {
            if let Some((lengths, rest)) = self.buffer.bytes().split_first_chunk::<8>() {
                let [a, b, c, d, e, f, g, h] = *lengths;
                let head_length = u32::from_le_bytes([a, b, c, d]) as usize;
                let body_length = u32::from_le_bytes([e, f, g, h]) as usize;
                if head_length > limit || body_length > limit {
                    return Err(HttpError::TooLarge);
                }
                let length = head_length + body_length;
                if rest.len() >= length {
                    let head = rest[..head_length].to_vec();
                    let body = rest[head_length..length].to_vec();
                    self.buffer.consume(lengths.len() + length);
                    return Ok(Frame { head, body });
                }
            }
            self.receive_head().await?;
        }
    }
}
