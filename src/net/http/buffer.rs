//! The receive buffer of a connection, which grows as needed and is compacted in place.

/// The size of a buffer when it is first allocated.
const INITIAL_BYTES: usize = 2 * 1024;
/// A buffer larger than this is freed when it becomes empty.
const MAX_KEPT_BYTES: usize = 16 * 1024;

/// Holds the bytes that have been received and not yet consumed.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    /// The index in `data` of the first byte that is not consumed.
    start: usize,
    /// The index in `data` behind the last received byte.
    end: usize,
}

impl Buffer {
    /// The bytes that have been received and not yet consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Removes the first `count` bytes. A buffer that becomes empty is freed if it has grown large.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.end {
            (self.start, self.end) = (0, 0);
            if self.data.len() > MAX_KEPT_BYTES {
                self.data = Vec::new();
            }
        }
    }

    /// The space into which the next bytes can be written; never empty.
    pub(super) fn spare_capacity(&mut self) -> &mut [u8] {
        if self.end == self.data.len() {
            if self.start > 0 {
                self.data.copy_within(self.start..self.end, 0);
                (self.start, self.end) = (0, self.end - self.start);
            }
            // If nearly all bytes are still to be consumed, compacting frees little, and the buffer grows as well.
            if self.data.len() - self.end < self.data.len() / 4 + 1 {
                self.data.resize((2 * self.data.len()).max(INITIAL_BYTES), 0);
            }
        }
        &mut self.data[self.end..]
    }

    /// Records that `count` bytes have been written to the [`spare_capacity`](Self::spare_capacity).
    pub(super) fn advance(&mut self, count: usize) {
        self.end += count;
    }
}
