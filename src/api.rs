//! The interface of the delivery policy: settings, events, actions and the ids they name.
//! Types only; every decision is in `policy`.

use crate::routes::Plan;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A point in time or a duration, in whole microseconds of the caller's clock.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    };
}
id!(/** A message, numbered by the caller; never used twice by one forwarder. */ MessageId(u64));
id!(/** An address that takes calls. */ EndpointId(u32));
id!(/** What a message is addressed to; it has one or several endpoints. */ DestinationId(u64));
id!(/** Messages of an ordered class with the same key are delivered in order. */ OrderKey(u64));
id!(/** Index into [`Settings::classes`]. */ ClassId(usize));
id!(/** Index into [`Settings::tenants`]. */ TenantId(usize));
id!(/** Index into [`Settings::zone_costs`]; a failure domain. */ ZoneId(usize));
id!(/** Index into [`Settings::kinds`]. */ KindId(usize));

/// What a repeat of a message may do at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Idempotency {
    /// May be repeated at will.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The destination drops repeats of an idempotency key within a deduplication window.
    #[serde(rename = "Keyed")]
    WithKey,
    /// Must never take effect twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// Which endpoints of a destination drop repeats of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All of the destination's endpoints.
    All,
    /// Only those in the zone of the first attempt.
    Zone,
}

/// How the value of a message decays after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    /// Evenly, down to the weight at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, not below the weight at the deadline.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Class {
    /// What a repeat may do.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Where repeats of an idempotency key are dropped.
    pub dedup_scope: DedupScope,
    /// For how long repeats are dropped, from the send of the first attempt that may have taken effect.
    #[serde(rename = "memory_span")]
    pub deduplication_window: Micros,
    /// Delivered within this time, a message has its full value.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long a message may be delivered, from when it was first received.
    pub deadline: Micros,
    /// Value of a message that is delivered in time.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of that value which is left at the deadline.
    #[serde(rename = "late_worth")]
    pub weight_at_deadline: f64,
    /// Messages with the same order key go in order, one at a time.
    pub ordered: bool,
}

/// A customer whose traffic has an agreed quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Tenant {
    /// Messages a second, over all forwarders, that are within the quota.
    pub quota_per_s: f64,
}

/// A kind of destination.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kind {
    /// Each endpoint has its own circuit breaker and limit, and not the destination.
    #[serde(rename = "apart")]
    pub per_endpoint_breaker: bool,
    /// Messages that one call may carry.
    #[serde(rename = "per_call")]
    pub messages_per_call: usize,
}

/// What the weight of a list entry says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightSource {
    /// Nothing.
    #[default]
    Off,
    /// Calls a second that the destination (or an endpoint with its own limit) takes from all forwarders.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// The settings of a forwarder. The default is empty, and is an error.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Settings {
    /// Forwarders that share the traffic, this one included.
    pub forwarders: usize,
    /// This forwarder's index among them, from 0; without one its time slots are random.
    #[serde(rename = "number")]
    pub forwarder_index: Option<u64>,
    /// What the wall clock, which all forwarders read, showed when this one's own clock showed 0.
    #[serde(rename = "ahead")]
    pub wall_clock_offset: Micros,
    /// Where this forwarder runs.
    pub zone: ZoneId,
    /// For each zone: cost if every message went to an endpoint there that has its own limit.
    #[serde(rename = "tolls")]
    pub zone_costs: Vec<f64>,
    /// Cost if every attempt crossed zones once.
    #[serde(rename = "cross_zone_fee")]
    pub cross_zone_cost: f64,
    /// Cost if every message needed a new connection.
    #[serde(rename = "handshake_fee")]
    pub connection_cost: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Share of its priority weight that a message beyond its tenant's quota keeps.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// The kinds of destination.
    pub kinds: Vec<Kind>,
    /// How the value of a message decays after its latency objective.
    pub decay: Decay,
    /// What the weights of list entries say.
    pub weights: WeightSource,
    /// Calls in flight at once.
    #[serde(rename = "slots")]
    pub max_concurrent_calls: usize,
    /// Messages that are not complete, in flight or not.
    #[serde(rename = "max_open")]
    pub max_open_messages: usize,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Attempts in flight may be cancelled.
    #[serde(rename = "cancel")]
    pub may_cancel: bool,
    /// Clients mark their retries.
    #[serde(rename = "marks_retry")]
    pub clients_mark_retries: bool,
    /// Health checks are allowed.
    #[serde(rename = "probing")]
    pub may_health_check: bool,
    /// Rejections may carry a retry-after.
    #[serde(rename = "retry_after")]
    pub may_send_retry_after: bool,
    /// The platform allows two attempts of a message in flight at once (hedged requests). Not used.
    #[serde(rename = "second_copies")]
    pub may_hedge: bool,
    /// The longest retry-after that clients follow.
    pub max_retry_after: Micros,
    /// The endpoint list must be polled or subscribed to.
    #[serde(rename = "ask_for_list")]
    pub poll_endpoint_list: bool,
    /// Without a subscription, the longest time between two polls for the list.
    #[serde(rename = "must_ask_in")]
    pub max_poll_interval: Micros,
    /// The shortest time between two steps.
    #[serde(rename = "granularity")]
    pub min_step_interval: Micros,
    /// A destination in slow start that gets more than this multiple of its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long fails again.
    #[serde(rename = "fall")]
    pub overload_window: Micros,
    /// How long a returning destination takes to reach its full capacity.
    #[serde(rename = "cold")]
    pub slow_start: Micros,
    /// Share of its capacity that a returning destination has at first.
    #[serde(rename = "cold_from")]
    pub slow_start_floor: f64,
    /// How long an order key pauses after an attempt that may still be running.
    #[serde(rename = "key_rest")]
    pub order_key_pause: Micros,
    /// Timeouts and attempts by route, from the routes file; without one the policy's own apply.
    #[serde(skip)]
    pub routes: Option<Arc<Plan>>,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bad settings: {0}")]
pub struct SettingsError(pub String);

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
