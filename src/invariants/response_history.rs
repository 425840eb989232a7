//! What a connection has carried: how often each response was received. An endpoint answers the calls on a connection in
//! order, and may write copies of a response at any time after it. So of equal responses only the first is certainly no copy.

use crate::MessageId;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A connection whose history holds this many different responses, or messages, is not reused, so that its memory is bounded.
const MAX_HISTORY_ENTRIES: usize = 256;

/// A connection that carries so many more responses than calls is given up, so that neither its memory nor the time for it
/// grows with what the endpoint sends.
pub const MAX_SURPLUS_RESPONSES: usize = 16;

/// A digest of a head or of a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseDigest(u64);

impl ResponseDigest {
    /// The digest of these parts. Equal parts have equal digests within a process.
    pub fn of(parts: &impl Hash) -> Self {
        let mut hasher = DefaultHasher::new();
        parts.hash(&mut hasher);
        ResponseDigest(hasher.finish())
    }
}

/// What is known of a response by which it can be told from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseIdentity {
    /// Only its status code.
    Status(u16),
    /// Its head, while the body is not complete.
    Head(ResponseDigest),
    /// Its head and its body.
    Complete(ResponseDigest),
}

/// How often a response was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ResponseCount {
    /// All of them, copies included.
    received: usize,
    /// Those that are known to be no copies.
    known_originals: usize,
}

impl ResponseCount {
    /// The number of originals among them, at least.
    fn min_originals(self) -> usize {
        self.known_originals.max(1)
    }
}

/// The identities of the responses that a connection has carried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHistory {
    /// The number of responses whose head was received.
    received: usize,
    statuses: BTreeSet<u16>,
    heads: BTreeSet<ResponseDigest>,
    complete: BTreeMap<ResponseDigest, ResponseCount>,
    unended_messages: BTreeSet<MessageId>,
}

impl ResponseHistory {
    /// Adds the head of a response, whose body may still follow.
    pub fn record_head(&mut self, status: u16, head: ResponseDigest) {
        self.received += 1;
        self.statuses.insert(status);
        self.heads.insert(head);
    }

    /// Whether the connection has carried so many more responses than calls that it is given up.
    pub fn has_excess(&self, calls: usize) -> bool {
        self.received > calls + MAX_SURPLUS_RESPONSES
    }

    /// Adds a complete response.
    pub fn record_complete(&mut self, response: ResponseDigest) {
        self.complete.entry(response).or_default().received += 1;
    }

    /// Records that a response has named this message and said that it has not ended.
    pub fn record_unended(&mut self, message: MessageId) {
        self.unended_messages.insert(message);
    }

    /// Whether a response has named this message and said that it has not ended.
    pub fn has_unended(&self, message: MessageId) -> bool {
        self.unended_messages.contains(&message)
    }

    /// Records that none of the responses so far is a copy: each is that to a call of its own.
    pub fn record_all_original(&mut self) {
        for count in self.complete.values_mut() {
            count.known_originals = count.received;
        }
    }

    /// How many of the responses are certainly no copies. As an endpoint answers in order, it has answered at least so many of
    /// the calls on the connection, from the first on.
    pub fn min_answered_calls(&self) -> usize {
        self.complete.values().map(|count| count.min_originals()).sum()
    }

    /// Whether the connection has carried a response from which this one cannot be told. If not, it is no copy of an earlier
    /// response.
    pub fn may_contain(&self, response: ResponseIdentity) -> bool {
        match response {
            ResponseIdentity::Status(status) => self.statuses.contains(&status),
            ResponseIdentity::Head(digest) => self.heads.contains(&digest),
            ResponseIdentity::Complete(digest) => self.complete.contains_key(&digest),
        }
    }

    /// Whether the connection has carried no response yet.
    pub fn is_empty(&self) -> bool {
        self.statuses.is_empty()
    }

    /// Whether the connection has carried so many different responses, or messages, that it is not reused.
    pub fn is_full(&self) -> bool {
        let entries = [self.heads.len(), self.complete.len(), self.unended_messages.len()];
        entries.into_iter().any(|count| count >= MAX_HISTORY_ENTRIES)
    }

    /// Whether the connection has carried a response that says that its call never ran. A copy of it must not be read as
    /// the response to a call that may not be repeated.
    pub fn has_refusal(&self) -> bool {
        self.statuses.iter().any(|status| is_refusal(*status))
    }
}

/// Whether a response with this status says that the call never ran.
pub fn is_refusal(status: u16) -> bool {
    matches!(status, 400 | 410 | 413 | 429 | 503 | 504)
}
