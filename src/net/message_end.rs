//! How an accepted message ends.

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// An endpoint has it.
    Delivered,
    /// Its endpoint found that its time is up.
    Expired,
    /// Its client was gone before the reply.
    Withdrawn,
    /// Undelivered; its client may send it again.
    Returned,
    /// It may or may not have taken effect.
    Failed,
}

impl MessageEnd {
    /// Its name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            MessageEnd::Delivered => "delivered",
            MessageEnd::Expired => "over",
            MessageEnd::Withdrawn => "withdrawn",
            MessageEnd::Returned => "returned",
            MessageEnd::Failed => "failed",
        }
    }
}
