//! Why and how a client's connection ends.

/// Why a connection ended.
#[derive(Clone, Copy)]
pub(super) enum CloseReason {
    /// The client ended its sending between requests.
    ClientClosed,
    /// The client reset the connection between requests.
    ClientReset,
    /// The client went before its response was written.
    ClientGone,
    /// The last request was answered.
    Answered,
    /// The client sent no first request in time.
    Silent,
    /// The client sent no further request in time.
    Idle,
    /// Another connection needed its place.
    Evicted,
    /// Clients are quiesced, or a successor has taken over.
    Quiesced,
    /// The program ends.
    Closing,
    /// A request was not complete in time.
    SlowRequest,
    /// A request ended in its middle.
    TornRequest,
    /// More than a request was received before its response.
    Pipelined,
    /// A request was malformed.
    Malformed,
    /// A request was too large.
    TooLarge,
}

impl CloseReason {
    /// A code for the log.
    pub fn code(self) -> &'static str {
        match self {
            CloseReason::ClientClosed => "client-closed",
            CloseReason::ClientReset => "client-reset",
            CloseReason::ClientGone => "client-gone",
            CloseReason::Answered => "answered",
            CloseReason::Silent => "silent",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "evicted",
            CloseReason::Quiesced => "quiesced",
            CloseReason::Closing => "closing",
            CloseReason::SlowRequest => "slow-request",
            CloseReason::TornRequest => "torn-request",
            CloseReason::Pipelined => "followed",
            CloseReason::Malformed => "malformed",
            CloseReason::TooLarge => "too-large",
        }
    }
}

/// How a connection ends.
pub(super) enum ConnectionEnd {
    /// The other side has ended it, or nothing more can be written to it.
    Disconnected(CloseReason),
    /// This side closes it; what the other side still sends is discarded.
    Closed(CloseReason),
}
