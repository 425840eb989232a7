//! The interface of the delivery policy: settings, events, actions and the ids they name.
//! Types only; every decision is in `policy`.

mod ids;
mod settings;

pub use ids::{ClassId, DestinationId, EndpointId, KindId, MessageId, Micros, OrderKey, TenantId, ZoneId};
pub use settings::{
    Class, Decay, DedupScope, Idempotency, Kind, Settings, SettingsError, Tenant, WeightSource,
};

use serde::{Deserialize, Serialize};

/// What the endpoint list says of an endpoint; nothing about its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// In service.
    Listed,
    /// Send nothing new.
    Draining,
    /// Removed.
    #[serde(rename = "Gone")]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// Its failure domain.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// In service, draining or removed.
    pub lifecycle: Lifecycle,
    /// See [`WeightSource`].
    pub weight: f64,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// Changed entries only.
    Patch(Vec<EndpointEntry>),
    /// The complete list; what is not in it was removed.
    Complete(Vec<EndpointEntry>),
    /// The complete list as cached before a restart; possibly stale.
    Cached(Vec<EndpointEntry>),
    /// A poll for the list failed or the subscription broke.
    WatchFailed,
}

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; it may have taken effect.
    Error,
    /// Rejected for lack of capacity, with the retry-after if any; it never ran.
    #[serde(rename = "Full")]
    Rejected(Option<Micros>),
    /// No answer in time; it may have taken effect or still do so.
    TimedOut,
    /// No connection was made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have taken effect.
    Reset,
    /// A reused connection broke before any answer began; it may have taken effect.
    #[serde(rename = "Stale")]
    StaleConnection,
    /// Cancelled; it may have taken effect.
    Cancelled,
    /// Not sent; it never ran.
    #[serde(rename = "Moot")]
    NotSent,
    /// Not sent, as it could not be journaled; it never ran, and counts as no attempt.
    #[serde(rename = "Unsent")]
    NotJournaled,
}

/// What an answer reports of the endpoint's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Share of the quota that is left, from 0 to 1.
    #[serde(rename = "left")]
    pub remaining_share: f64,
    /// Calls a second that the limit allows; 0 if there is none.
    pub rate: f64,
}

/// A message to deliver.
#[derive(Clone, Debug)]
pub struct NewMessage {
    /// Its id.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that it counts for.
    pub tenant: Option<TenantId>,
    /// Its order key.
    pub key: Option<OrderKey>,
    /// How long it may still be delivered.
    pub time_left: Micros,
    /// What it is addressed to.
    pub destination: DestinationId,
    /// It was taken over from a forwarder that died and may have sent it.
    pub failed_over: bool,
    /// When and where the first attempt was sent that may have taken effect, if that is known.
    pub first_attempt: Option<(Micros, ZoneId)>,
    /// Its client marked it as a retry; see [`Settings::clients_mark_retries`].
    pub client_retry: bool,
    /// It was received by an earlier process, so its delivery is owed.
    pub restored: bool,
    /// Attempts made before this forwarder received it; they count against [`Settings::max_attempts`].
    pub attempts: u32,
}

/// What happened since the last step.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList(EndpointListUpdate),
    /// New settings, with the same classes, tenants, zones and kinds.
    Settings(Box<Settings>),
    /// A message was received.
    Message(NewMessage),
    /// An answer has begun to stream; the attempt's timeout does not apply any more.
    Started {
        /// Which message.
        id: MessageId,
    },
    /// An attempt ended; each send has exactly one such event.
    AttemptEnded {
        /// Which message.
        id: MessageId,
        /// Which attempt, from 0.
        attempt: u32,
        /// Where it went.
        endpoint: EndpointId,
        /// Its outcome.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// Nothing more is owed for the message.
        ended: bool,
        /// What the answer reports of the endpoint's rate limit.
        report: Option<LoadReport>,
    },
    /// A health check ended.
    HealthChecked {
        /// Which endpoint.
        endpoint: EndpointId,
        /// Its outcome.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// What the answer reports of the endpoint's rate limit.
        report: Option<LoadReport>,
    },
    /// An answer that rejected no message asks for a pause.
    RetryAfter {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How long nothing more is to be sent there.
        retry_after: Micros,
    },
    /// Whether the journal can be written: while it cannot, no attempt may begin.
    JournalStatus {
        /// It can be written.
        writable: bool,
    },
    /// The client withdrew a message.
    Withdrawn {
        /// Which message.
        id: MessageId,
    },
    /// A timer fired.
    Timer {
        /// As given in [`Action::Timer`].
        token: u64,
    },
}

/// The states of a circuit breaker, from healthy to worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BreakerState {
    /// Calls go out.
    #[default]
    Closed,
    /// One trial call at a time goes out.
    #[serde(rename = "Half")]
    HalfOpen,
    /// Nothing goes out until its next trial call.
    Open,
}

impl BreakerState {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            BreakerState::Closed => "closed",
            BreakerState::HalfOpen => "half",
            BreakerState::Open => "open",
        }
    }
}

/// The status of a destination, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationStatus {
    /// Which destination.
    pub destination: DestinationId,
    /// Its circuit breaker.
    pub breaker: BreakerState,
    /// Messages that wait to be sent to it.
    pub waiting: usize,
    /// Calls in flight.
    pub in_flight: usize,
    /// What is left of a retry-after, or of the backoff after a rejection without one.
    pub retry_after: Micros,
    /// It is in slow start.
    pub warming_up: bool,
    /// The average latency of its answers, in microseconds.
    pub latency: Option<f64>,
    /// Its reported rate limit: the last remaining share and the average rate.
    pub limit: Option<LoadReport>,
}

/// Why a message is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AbandonReason {
    /// Its deadline has passed, or the time in which it may be retried.
    #[serde(rename = "TimeUp")]
    DeadlineExceeded,
    /// Its destination takes no calls before that.
    #[serde(rename = "Blocked")]
    DestinationUnavailable,
    /// It has had all its attempts.
    #[serde(rename = "AttemptsSpent")]
    AttemptsExhausted,
    /// The forwarder is at its capacity.
    #[serde(rename = "NoRoom")]
    CapacityExceeded,
}

impl AbandonReason {
    /// Its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            AbandonReason::DeadlineExceeded => "time-up",
            AbandonReason::DestinationUnavailable => "blocked",
            AbandonReason::AttemptsExhausted => "attempts-spent",
            AbandonReason::CapacityExceeded => "no-room",
        }
    }
}

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message to an endpoint.
    Send {
        /// Which message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// The call that carries it: the sends of one number, all of one step, travel together.
        call: u64,
        /// When this attempt times out.
        #[serde(rename = "cut_at")]
        timeout_at: Micros,
        /// Its first byte must not be written later: it could take effect twice, or would be too late.
        send_by: Micros,
        /// The timeout is the message's end: it will not be sent again.
        #[serde(rename = "last")]
        final_attempt: bool,
    },
    /// Reject a message; the client may safely retry.
    #[serde(rename = "Refuse")]
    Reject {
        /// Which message.
        id: MessageId,
        /// When the client should retry.
        retry_after: Option<Micros>,
        /// Why.
        reason: AbandonReason,
    },
    /// Fail a message; it may or may not have taken effect.
    Fail {
        /// Which message.
        id: MessageId,
        /// Why.
        reason: AbandonReason,
    },
    /// Cancel an attempt; its [`Event::AttemptEnded`] follows.
    Cancel {
        /// Which message.
        id: MessageId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// Ask for [`Event::Timer`].
    Timer {
        /// Time until it fires.
        delay: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Send a health check to an endpoint.
    #[serde(rename = "Probe")]
    HealthCheck {
        /// Where to.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list.
    #[serde(rename = "Watch")]
    Subscribe,
    /// A line for the on-call log.
    Log(String),
}
