//! The memory of what the other side of a connection responds: a small response is received without asking, a larger one holds a
//! permit of the memory budget. Unlike a request, a response waits for no memory: if there is none left, it is not read.

use crate::memory::{MemoryBudget, MemoryPermit, MemoryUser, OutOfMemory};
use std::rc::Rc;

/// What a connection may hold of a response without a permit, in bytes.
const SMALL_RESPONSE_BYTES: usize = 2 * 1024;

/// The memory of the present response on a connection.
pub struct ResponseMemory {
    /// What the response holds beyond [`SMALL_RESPONSE_BYTES`].
    permit: MemoryPermit,
}

impl ResponseMemory {
    /// The memory of a connection that has received nothing, whose responses count for `user`.
    pub fn new(budget: &Rc<MemoryBudget>, user: MemoryUser) -> Self {
        ResponseMemory { permit: budget.empty_permit(user) }
    }

    /// How much more the connection may receive if its buffer has `held` bytes already.
    ///
    /// # Errors
    ///
    /// Returns an error if it would need more memory than is left.
    pub fn room_behind(&mut self, held: usize) -> Result<usize, OutOfMemory> {
        if held >= self.buffer_limit() {
            self.permit.grow(held.max(SMALL_RESPONSE_BYTES))?;
        }
        Ok(self.buffer_limit() - held)
    }

    fn buffer_limit(&self) -> usize {
        SMALL_RESPONSE_BYTES + self.permit.bytes()
    }

    /// Reserves memory for a body of `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is not so much left.
    pub fn reserve(&mut self, length: usize) -> Result<(), OutOfMemory> {
        match length <= SMALL_RESPONSE_BYTES {
            true => Ok(()),
            false => self.permit.grow(length),
        }
    }

    /// Returns the permit of the present response, and begins to count for the next one.
    pub fn end_response(&mut self) -> MemoryPermit {
        self.permit.take()
    }
}
