//! The body of a message, which all who hold the message share.

use crate::memory::MemoryPermit;
use std::cell::Cell;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;

/// The body of a message. Clones share it.
#[derive(Clone, Default)]
pub struct MessageBody(Rc<Content>);

#[derive(Default)]
struct Content {
    bytes: Vec<u8>,
    /// The memory that the client's request holds until the decision on the message; `None` if that is made, or if an earlier
    /// process received the message.
    request_permit: Cell<Option<MemoryPermit>>,
}

impl MessageBody {
    /// A body that was received in a request, which holds memory by this permit.
    pub fn received(bytes: Vec<u8>, request_permit: MemoryPermit) -> Self {
        MessageBody(Rc::new(Content { bytes, request_permit: Cell::new(Some(request_permit)) }))
    }

    /// Gives back the memory that the request held, as the message holds its own now.
    pub fn release_request(&self) {
        drop(self.0.request_permit.take());
    }
}

impl From<Vec<u8>> for MessageBody {
    fn from(bytes: Vec<u8>) -> Self {
        MessageBody(Rc::new(Content { bytes, request_permit: Cell::new(None) }))
    }
}

impl Deref for MessageBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl fmt::Debug for MessageBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes", self.len())
    }
}
