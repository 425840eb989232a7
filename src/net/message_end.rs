//! The ways in which a message ends.

/// How a message ended: by the response of an endpoint, or without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// An endpoint has processed the message.
    Delivered,
    /// The endpoint responded that the message has expired.
    Expired,
    /// The client disconnected before the reply.
    Withdrawn,
    /// The message was not delivered, and the client may safely send it again.
    Returned,
    /// The message was not delivered as far as is known, but it may have taken effect.
    Failed,
}

impl MessageEnd {
    /// The name of the end in logs and counters.
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
