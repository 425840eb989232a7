//! The interface of the delivery policy: its settings, events and actions, and the ids that occur in them.
//! This module has only types; all decisions are in `policy`.

mod ids;
mod settings;

pub use ids::{ClassId, DestinationId, EndpointId, KindId, MessageId, Micros, OrderKey, TenantId, ZoneId};
pub use settings::{
    Class, Decay, DedupScope, Idempotency, Kind, Settings, SettingsError, Tenant, WeightSource,
};

use serde::{Deserialize, Serialize};

/// The state of an endpoint in the endpoint list. It says nothing about the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Listed: calls may be sent to it.
    Listed,
    /// Draining: still listed, but no new call may be sent to it.
    Draining,
    /// Removed from the list.
    #[serde(rename = "Gone")]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The destination to which it belongs.
    pub destination: DestinationId,
    /// The failure domain in which it runs.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// Whether it is listed, draining or removed.
    pub lifecycle: Lifecycle,
    /// The calls per second that it takes from all forwarders; [`WeightSource`] says how exact this is. 0 if
    /// unknown.
    pub weight: f64,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// Only the entries that changed; all others stay.
    Patch(Vec<EndpointEntry>),
    /// The complete list. An endpoint that is not in it was removed.
    Complete(Vec<EndpointEntry>),
    /// The complete list as cached before a restart. It may be outdated.
    Cached(Vec<EndpointEntry>),
    /// A poll for the list failed, or the subscription broke.
    WatchFailed,
}

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The message was delivered, or the health check succeeded.
    Ok,
    /// The endpoint responded with an error. The attempt may have taken effect.
    Error,
    /// The endpoint rejected the message for lack of capacity, with a retry-after in microseconds if it gave
    /// one. The attempt had no effect.
    #[serde(rename = "Full")]
    Rejected(Option<Micros>),
    /// No response arrived within the timeout. The attempt may have taken effect, or still take effect.
    TimedOut,
    /// No connection could be made. The attempt had no effect.
    ConnectFailed,
    /// The connection broke. The attempt may have taken effect.
    Reset,
    /// A reused connection broke shortly after the request was written, before any byte of a response
    /// arrived. It was probably dead before, but the attempt may have taken effect.
    #[serde(rename = "Stale")]
    StaleConnection,
    /// The attempt was cancelled. It may have taken effect.
    Cancelled,
    /// The attempt was not sent, so it had no effect.
    #[serde(rename = "Moot")]
    NotSent,
    /// The attempt was not sent because it could not be journaled. It had no effect and does not count as an
    /// attempt.
    #[serde(rename = "Unsent")]
    NotJournaled,
}

/// The rate limit of an endpoint as a response reports it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The share of the quota that is left, from 0 to 1.
    #[serde(rename = "left")]
    pub remaining_share: f64,
    /// The calls per second that the limit allows; 0 if there is no limit.
    pub rate: f64,
}

/// A message to deliver.
#[derive(Clone, Debug)]
pub struct NewMessage {
    /// The id under which the caller refers to it.
    pub id: MessageId,
    /// Its class, which determines its deadline, value and idempotency.
    pub class: ClassId,
    /// The tenant to whose quota it counts; `None` if it counts to no quota.
    pub tenant: Option<TenantId>,
    /// Its order key, if it has one. Messages of an ordered class with the same key are sent one at a time,
    /// in order.
    pub order_key: Option<OrderKey>,
    /// The time in which it may still be delivered.
    pub time_left: Micros,
    /// The destination to which it is addressed.
    pub destination: DestinationId,
    /// Its client first sent it to another forwarder, which died and may have sent it to an endpoint.
    pub failed_over: bool,
    /// The send time and the zone of the first attempt of this forwarder that may have taken effect; `None` if
    /// there is none, or if that is unknown.
    pub first_possible_effect: Option<(Micros, ZoneId)>,
    /// The earliest send time of an attempt at an unknown endpoint that may have taken effect. If it is `None`
    /// although the message failed over, and no attempt of this forwarder is known either, the time is that at
    /// which the message was first received.
    pub unknown_attempt_at: Option<Micros>,
    /// Its client marked it as a retry. See [`Settings::clients_mark_retries`].
    pub client_retry: bool,
    /// It was received by an earlier process of this forwarder, which acknowledged it, so it has to be
    /// delivered.
    pub restored: bool,
    /// The number of attempts made before this forwarder received it. They count against
    /// [`Settings::max_attempts`].
    pub attempts: u32,
}

/// An event that happened since the last step of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList(EndpointListUpdate),
    /// New settings, which have the same classes, tenants, zones and kinds as those before.
    Settings(Box<Settings>),
    /// A message was received.
    Message(NewMessage),
    /// A response has begun to arrive, so the timeout of the attempt no longer applies.
    ResponseStarted {
        /// The message to whose attempt the response belongs.
        id: MessageId,
    },
    /// An attempt ended; each send has exactly one such event.
    AttemptEnded {
        /// The message to which the attempt belongs.
        id: MessageId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The endpoint to which it was sent.
        endpoint: EndpointId,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The time from the policy's decision on the attempt, [`Action::Send`], to its end.
        elapsed: Micros,
        /// The message is complete and is not to be sent again.
        completes_message: bool,
        /// The rate limit that the response reports; `None` if it reports none.
        report: Option<LoadReport>,
    },
    /// A call was answered, but its response may be a copy of an earlier one. The call occupies no slot any more, and its
    /// outcome says how the endpoint fares; its messages must not be sent again before [`Event::AttemptEnded`].
    CallAnswered {
        /// The message to whose attempt the call belongs; of several in one call, the first.
        id: MessageId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The endpoint to which it was sent.
        endpoint: EndpointId,
        /// The outcome of the attempt according to this response.
        outcome: Outcome,
        /// The time from the policy's decision on the attempt, [`Action::Send`], to the response.
        elapsed: Micros,
        /// The rate limit that the response reports; `None` if it reports none.
        report: Option<LoadReport>,
    },
    /// A health check ended.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The outcome of the health check.
        outcome: Outcome,
        /// The duration of the health check.
        elapsed: Micros,
        /// The rate limit that the response reports; `None` if it reports none.
        report: Option<LoadReport>,
    },
    /// A response that rejected no message carried a retry-after.
    RetryAfter {
        /// The endpoint that sent the response.
        endpoint: EndpointId,
        /// The time in which no further call may be sent to the endpoint.
        retry_after: Micros,
    },
    /// The journal has become writable or unwritable. While it is unwritable, no attempt may start.
    JournalStatus {
        /// Whether the journal can be written.
        writable: bool,
    },
    /// The client withdrew a message, so it must not be sent again.
    Withdrawn {
        /// The message that was withdrawn.
        id: MessageId,
    },
    /// A timer fired.
    Timer {
        /// The token given in [`Action::Timer`].
        token: u64,
    },
}

/// The state of a circuit breaker. The states are ordered from healthy to worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BreakerState {
    /// Calls are sent.
    #[default]
    Closed,
    /// Only one trial call at a time is sent.
    #[serde(rename = "Half")]
    HalfOpen,
    /// No call is sent until it is time for the next trial call.
    Open,
}

impl BreakerState {
    /// The name of the state in reports.
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
    /// The destination that the status describes.
    pub destination: DestinationId,
    /// The state of its circuit breaker; where each endpoint has its own breaker, the worst of these states.
    pub breaker: BreakerState,
    /// The number of messages that wait to be sent to it.
    pub waiting: usize,
    /// The number of calls in flight to it.
    pub in_flight: usize,
    /// The remaining time of a retry-after, or of the backoff after a rejection without one; 0 if there is
    /// none.
    pub retry_after: Micros,
    /// Whether it is in slow start.
    pub in_slow_start: bool,
    /// The mean time from the decision on a call to its success, in microseconds; `None` before the first
    /// sample.
    pub mean_latency_us: Option<f64>,
    /// Its reported rate limit, with the last remaining share and the average rate; `None` before the first
    /// report.
    pub rate_limit: Option<LoadReport>,
}

/// The reason why a message is abandoned: it ends without delivery, as rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AbandonReason {
    /// Its deadline, or the time in which it may be retried, has passed.
    #[serde(rename = "TimeUp")]
    DeadlineExceeded,
    /// Its destination accepts no call before the message expires.
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
    /// The name of the reason in log lines.
    pub fn name(self) -> &'static str {
        match self {
            AbandonReason::DeadlineExceeded => "time-up",
            AbandonReason::DestinationUnavailable => "blocked",
            AbandonReason::AttemptsExhausted => "attempts-spent",
            AbandonReason::CapacityExceeded => "no-room",
        }
    }
}

/// What the caller has to do. Actions are executed in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send a message to an endpoint.
    Send {
        /// The message to send.
        id: MessageId,
        /// The endpoint to which it is sent.
        endpoint: EndpointId,
        /// The number of the call that carries it. All sends with the same number are in the actions of one
        /// step, and are sent in one request.
        call: u64,
        /// When this attempt times out.
        #[serde(rename = "cut_at")]
        timeout_at: Micros,
        /// The latest time for writing its first byte. After that it could take effect twice, or arrive too
        /// late.
        send_by: Micros,
        /// This is the last attempt of the message, as it may take until the message expires.
        #[serde(rename = "last")]
        final_attempt: bool,
    },
    /// Reject a message; the client may safely retry.
    #[serde(rename = "Refuse")]
    Reject {
        /// The message to reject.
        id: MessageId,
        /// The time, from now on, after which the client should retry; `None` if it gets no such advice.
        retry_after: Option<Micros>,
        /// Why the message is rejected.
        reason: AbandonReason,
    },
    /// Report a message as failed. It may or may not have taken effect.
    Fail {
        /// The message that failed.
        id: MessageId,
        /// Why no further attempt is made.
        reason: AbandonReason,
    },
    /// Cancel an attempt. Its [`Event::AttemptEnded`] follows.
    Cancel {
        /// The message whose attempt is to be cancelled.
        id: MessageId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Start a timer that ends with [`Event::Timer`].
    Timer {
        /// The time until the timer fires.
        delay: Micros,
        /// A token that the event returns.
        token: u64,
    },
    /// Send a health check to an endpoint.
    #[serde(rename = "Probe")]
    HealthCheck {
        /// The endpoint to which the health check is sent.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint whose idle connections are to be closed.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list.
    #[serde(rename = "Watch")]
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
