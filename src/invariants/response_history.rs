//! What a connection has carried: the status codes of its responses so far.

/// The distinct status codes of the responses that a connection has carried, in the order of their first occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHistory {
    statuses: Vec<u16>,
}

impl ResponseHistory {
    /// Adds the status of a response.
    pub fn record(&mut self, status: u16) {
        if !self.contains(status) {
            self.statuses.push(status);
        }
    }

    /// Whether the connection has carried a response with this status. If not, a response with this status is no copy of
    /// an earlier one.
    pub fn contains(&self, status: u16) -> bool {
        self.statuses.contains(&status)
    }

    /// Whether the connection has carried no response yet.
    pub fn is_empty(&self) -> bool {
        self.statuses.is_empty()
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
