//! The one buffer of a connection: it grows as needed and is compacted in place.

/// The first size of a buffer.
const INITIAL_BYTES: usize = 2 * 1024;
/// An empty buffer that has grown beyond this is freed.
const MAX_KEPT_BYTES: usize = 16 * 1024;

/// What has been received and not yet used.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// What has been received and not yet used.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Marks bytes as used; an empty buffer that had grown is freed.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.end {
            (self.start, self.end) = (0, 0);
            if self.data.len() > MAX_KEPT_BYTES {
                self.data = Vec::new();
            }
        }
    }

    /// Where the next bytes can be written; never empty.
    pub(super) fn spare_capacity(&mut self) -> &mut [u8] {
        if self.end == self.data.len() {
            if self.start > 0 {
                self.data.copy_within(self.start..self.end, 0);
                (self.start, self.end) = (0, self.end - self.start);
            }
            // Compacting frees little when nearly all is unused; then it grows as well.
            if self.data.len() - self.end < self.data.len() / 4 + 1 {
                self.data.resize((2 * self.data.len()).max(INITIAL_BYTES), 0);
            }
        }
        &mut self.data[self.end..]
    }

    /// So many bytes have been written to the [`spare_capacity`](Self::spare_capacity).
    pub(super) fn advance(&mut self, count: usize) {
        self.end += count;
    }
}
