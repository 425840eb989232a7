//! Two byte strings on one connection, each after its length, as the hand-over sends them.

use super::{HttpConnection, HttpError};

/// A frame that was received.
pub struct Frame {
    /// Its head.
    pub head: Vec<u8>,
    /// Its body.
    pub body: Vec<u8>,
}

/// The bytes of a frame: the lengths of head and body, as little-endian 32-bit numbers, then both.
pub fn frame(head: &[u8], body: &[u8]) -> Vec<u8> {
    let lengths = [head, body].map(|bytes| (bytes.len() as u32).to_le_bytes());
    [lengths.concat().as_slice(), head, body].concat()
}

impl HttpConnection {
    /// Reads a head and a body of so many bytes at most, as [`frame`] writes them. What has been received is kept if this
    /// is dropped before the frame is complete.
    ///
    /// # Errors
    ///
    /// If the connection ends or stalls before the frame is complete, or head or body is over the limit.
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
