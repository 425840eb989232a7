//! The receive buffer of a connection: it holds what was received and not yet consumed.

/// A buffer with a larger capacity than this is freed when it becomes empty.
const MAX_KEPT_BYTES: usize = 1024;

/// Holds the bytes that have been received and not yet consumed.
#[derive(Default)]
pub struct Buffer {
    data: Vec<u8>,
    /// The index in `data` of the first byte that is not consumed.
    start: usize,
}

impl Buffer {
    /// The bytes that have been received and not yet consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..]
    }

    /// Removes the first `count` bytes. A buffer that becomes empty is freed if it has grown large.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.data.len() {
            self.clear();
        }
    }

    fn clear(&mut self) {
        self.start = 0;
        match self.data.capacity() > MAX_KEPT_BYTES {
            true => self.data = Vec::new(),
            false => self.data.clear(),
        }
    }

    /// Adds received bytes. The capacity grows by half at least, so that many small parts are not copied for each further one.
    pub(super) fn append(&mut self, bytes: &[u8]) {
        let needed = self.data.len() + bytes.len();
        if needed > self.data.capacity() && self.start > 0 {
            self.data.drain(..self.start);
            self.start = 0;
        }
        let needed = self.data.len() + bytes.len();
        if needed > self.data.capacity() {
            let capacity = needed.max(self.data.capacity() + self.data.capacity() / 2);
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(bytes);
    }

    /// Makes room for `length` bytes in all, so that receiving them copies nothing.
    pub(super) fn reserve(&mut self, length: usize) {
        self.data.drain(..self.start);
        self.start = 0;
        self.data.reserve_exact(length.saturating_sub(self.data.len()));
    }

    /// Replaces the bytes.
    pub(super) fn replace(&mut self, data: Vec<u8>) {
        (self.data, self.start) = (data, 0);
    }

    /// Removes the first `count` bytes and returns them. They are not copied if there are no others.
    pub(super) fn take(&mut self, count: usize) -> Vec<u8> {
        if self.start == 0 && self.data.len() == count {
            return std::mem::take(&mut self.data);
        }
        let taken = self.bytes()[..count].to_vec();
        self.consume(count);
        taken
    }
}
