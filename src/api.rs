//! The interface of the decision module: settings, events, actions and the ids they name.
//! Types only; every decision is in `policy`.

use crate::routes::Plan;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A point in time or a span, in whole microseconds of the caller's clock.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    };
}
id!(/** A message, named by the caller; never used twice in one forwarder's life. */ MessageId(u64));
id!(/** An address that takes calls. */ EndpointId(u32));
id!(/** The party a message is for; it has one or several endpoints. */ DestinationId(u64));
id!(/** Messages of an ordered class that share a key keep their order. */ OrderKey(u64));
id!(/** Index into [`Settings::classes`]. */ ClassId(usize));
id!(/** Index into [`Settings::tenants`]. */ TenantId(usize));
id!(/** Index into [`Settings::tolls`]; a failure domain. */ ZoneId(usize));
id!(/** Index into [`Settings::kinds`]. */ KindId(usize));

/// What a repeat of a message may do at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Idempotency {
    /// May be repeated at will.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The destination drops repeats for a while.
    #[serde(rename = "Keyed")]
    WithKey,
    /// Must never run twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// Which endpoints of a destination drop repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All of the destination's endpoints.
    All,
    /// Only those in the zone of the first attempt.
    Zone,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decay {
    #[default]
    /// Evenly, down to the late worth at the deadline.
    Linear,
    /// By half with each further aim, not below the late worth.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Class {
    /// What a repeat may do.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Where repeats of a keyed message are dropped.
    pub dedup_scope: DedupScope,
    /// For how long, from the send of the first attempt that may have run.
    #[serde(rename = "memory_span")]
    pub deduplication_window: Micros,
    /// Delivered within this, a message earns its full worth.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// From the time it was first handed in, a message may be delivered for so long.
    pub deadline: Micros,
    /// Worth of a message.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth left at the deadline.
    #[serde(rename = "late_worth")]
    pub weight_at_deadline: f64,
    /// Messages with one key go in order, one at a time.
    pub ordered: bool,
}

/// A customer whose traffic has an agreed share.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Tenant {
    /// Messages a second, over all forwarders, that are within the share.
    pub quota_per_s: f64,
}

/// A kind of destination.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kind {
    /// Endpoints are routes apart, each with its own limit and outages.
    #[serde(rename = "apart")]
    pub per_endpoint_breaker: bool,
    /// Messages that one call may carry.
    #[serde(rename = "per_call")]
    pub messages_per_call: usize,
}

/// What an endpoint's weight tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightSource {
    #[default]
    /// Nothing.
    Off,
    /// Calls a second that the destination (or the route apart) takes from all forwarders.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// Everything a forwarder is told at its start. The default is empty, and no forwarder takes it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Settings {
    /// Couriers that share the traffic, this one included.
    pub forwarders: usize,
    /// This forwarder's number among them, from 0; without one it takes its turns by chance.
    #[serde(rename = "number")]
    pub forwarder_index: Option<u64>,
    /// What the clock that all forwarders read showed when this one's own showed 0.
    #[serde(rename = "ahead")]
    pub wall_clock_offset: Micros,
    /// Where this forwarder runs.
    pub zone: ZoneId,
    /// For each zone: points charged if every message went by a route apart there.
    #[serde(rename = "tolls")]
    pub zone_costs: Vec<f64>,
    /// Points charged if every attempt crossed zones once.
    #[serde(rename = "cross_zone_fee")]
    pub cross_zone_cost: f64,
    /// Points charged if every message needed a new connection.
    #[serde(rename = "handshake_fee")]
    pub connection_cost: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Share of its worth that traffic beyond a tenant's quota keeps.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// The kinds of destination.
    pub kinds: Vec<Kind>,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// What weights tell.
    pub weights: WeightSource,
    /// Calls out at once.
    #[serde(rename = "slots")]
    pub max_concurrent_calls: usize,
    /// Messages held at once, sent or not.
    #[serde(rename = "max_open")]
    pub max_open_messages: usize,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Attempts that are out may be called off.
    #[serde(rename = "cancel")]
    pub may_cancel: bool,
    /// Clients mark what they hand in again.
    #[serde(rename = "marks_retry")]
    pub clients_mark_retries: bool,
    /// Probes are allowed.
    #[serde(rename = "probing")]
    pub may_health_check: bool,
    /// Clients are given advice on when to come again.
    #[serde(rename = "retry_after")]
    pub may_send_retry_after: bool,
    /// The platform would stand two attempts of a message at once; this program never makes use of it.
    #[serde(rename = "second_copies")]
    pub may_hedge: bool,
    /// The longest such advice a client follows.
    pub max_retry_after: Micros,
    /// The endpoint list must be asked for.
    #[serde(rename = "ask_for_list")]
    pub poll_endpoint_list: bool,
    /// Without a subscription, the longest time between two requests for the list.
    #[serde(rename = "must_ask_in")]
    pub max_poll_interval: Micros,
    /// The shortest time between two batches.
    #[serde(rename = "granularity")]
    pub min_step_interval: Micros,
    /// Fail-back: load over this multiple of present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long pushes a cold destination over.
    #[serde(rename = "fall")]
    pub overload_window: Micros,
    /// A returning destination has all its capacity after this.
    #[serde(rename = "cold")]
    pub slow_start: Micros,
    /// A returning destination has at least this share of its capacity.
    #[serde(rename = "cold_from")]
    pub slow_start_floor: f64,
    /// A key's rest after an attempt whose end is not sure.
    #[serde(rename = "key_rest")]
    pub order_key_pause: Micros,
    /// What our own file says of time-outs and attempts, by route; without one the module has its own way.
    #[serde(skip)]
    pub routes: Option<Arc<Plan>>,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of an endpoint; nothing about its health.
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
    /// Whose.
    pub destination: DestinationId,
    /// Its failure domain.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// In service, draining or gone.
    pub lifecycle: Lifecycle,
    /// See [`WeightSource`].
    pub weight: f64,
}

/// News of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// Altered entries only.
    Patch(Vec<EndpointEntry>),
    /// The complete list; what is not in it is gone.
    Complete(Vec<EndpointEntry>),
    /// The complete list as last held before a restart; possibly old.
    Cached(Vec<EndpointEntry>),
    /// A request for the list failed or the subscription broke.
    WatchFailed,
}

/// How an attempt or a probe came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have taken effect.
    Error,
    /// Turned away unseen, with the wait told if any; never ran.
    #[serde(rename = "Full")]
    Rejected(Option<Micros>),
    /// No answer in time; may have taken effect or still do so.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// The connection had been used before and broke at once, before any answer began; may have taken effect.
    #[serde(rename = "Stale")]
    StaleConnection,
    /// Called off; may have taken effect.
    Cancelled,
    /// Not sent; never ran.
    #[serde(rename = "Moot")]
    NotSent,
    /// Not sent, as nothing could be noted of it; never ran, and counts as no attempt.
    #[serde(rename = "Unsent")]
    NotJournaled,
}

/// What an answer tells of the limit: share left, and calls a second (0: no limit).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Share of the allowance that is left.
    #[serde(rename = "left")]
    pub remaining_share: f64,
    /// Calls a second that the limit allows.
    pub rate: f64,
}

/// A message to deliver.
#[derive(Clone, Debug)]
pub struct NewMessage {
    /// Its id.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// Key of the order.
    pub key: Option<OrderKey>,
    /// How long it may still be delivered.
    pub time_left: Micros,
    /// Where it goes.
    pub destination: DestinationId,
    /// It comes from a forwarder that died and may have sent it.
    pub failed_over: bool,
    /// When and where the first attempt was sent that may have run, if that is known.
    pub first_attempt: Option<(Micros, ZoneId)>,
    /// Its client says that it was handed in before; see [`Settings::marks_retry`].
    pub client_retry: bool,
    /// An earlier process had taken it on, so it is owed.
    pub restored: bool,
    /// Attempts made before this forwarder had it; they count against [`Settings::max_attempts`].
    pub attempts: u32,
}

/// What happened since the last batch.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the endpoint list.
    EndpointList(EndpointListUpdate),
    /// Other settings hold from now on. They list the same classes, tenants, zones and kinds.
    Settings(Box<Settings>),
    /// A new message.
    Message(NewMessage),
    /// An answer has begun to stream; the attempt is bound and no time-out applies.
    Started {
        /// Which message.
        id: MessageId,
    },
    /// The result of an attempt; each send gets exactly one.
    AttemptEnded {
        /// Which message.
        id: MessageId,
        /// Which attempt, from 0.
        attempt: u32,
        /// Where it went.
        endpoint: EndpointId,
        /// How it came out.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// Nothing more is owed for the message.
        ended: bool,
        /// What the answer tells of the limit.
        report: Option<LoadReport>,
    },
    /// The result of a probe.
    HealthChecked {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it came out.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// What the answer tells of the limit.
        report: Option<LoadReport>,
    },
    /// A wait that an answer told without turning a message away.
    RetryAfter {
        /// Which endpoint told it.
        endpoint: EndpointId,
        /// How long.
        retry_after: Micros,
    },
    /// Whether what outlasts the process can be written: while it cannot, no attempt may begin.
    JournalStatus {
        /// It can.
        writable: bool,
    },
    /// Nobody wants this message any more.
    Withdrawn {
        /// Which message.
        id: MessageId,
    },
    /// A timer asked for has come.
    Timer {
        /// As given when it was asked for.
        token: u64,
    },
}

/// The states of a breaker, from well to worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BreakerState {
    /// Calls go out.
    #[default]
    Closed,
    /// One trial at a time goes out.
    #[serde(rename = "Half")]
    HalfOpen,
    /// Nothing goes out until its next attempt.
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

/// What operators are shown of a destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationStatus {
    /// Which.
    pub destination: DestinationId,
    /// Its breaker.
    pub breaker: BreakerState,
    /// Messages that wait for it.
    pub waiting: usize,
    /// Calls out.
    pub in_flight: usize,
    /// What is left of a told wait, or of the pause after a refusal.
    pub retry_after: Micros,
    /// It is back and sparingly used.
    pub warming_up: bool,
    /// The usual time of its answers, in microseconds.
    pub latency: Option<f64>,
    /// What it told of its limit: the share left last, the rate in the mean.
    pub limit: Option<LoadReport>,
}

/// Why a message is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AbandonReason {
    /// Its time is up, or the time in which it may be repeated.
    #[serde(rename = "TimeUp")]
    DeadlineExceeded,
    /// Nothing can go to its destination before that.
    #[serde(rename = "Blocked")]
    DestinationUnavailable,
    /// It has had all its attempts.
    #[serde(rename = "AttemptsSpent")]
    AttemptsExhausted,
    /// More is held than there is room for.
    #[serde(rename = "NoRoom")]
    CapacityExceeded,
}

impl AbandonReason {
    /// Its name in logs.
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
    /// Call an endpoint with a message.
    Send {
        /// Which message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// The call that carries it: sends of one number, which all are of one batch, travel together.
        call: u64,
        /// When this attempt is abandoned.
        #[serde(rename = "cut_at")]
        timeout_at: Micros,
        /// Its first byte must not be written later: a repeat would run twice, or find no time to run.
        send_by: Micros,
        /// The message's time is up then: it will not be sent again.
        #[serde(rename = "last")]
        final_attempt: bool,
    },
    /// End a message undelivered; the client may safely come again.
    #[serde(rename = "Refuse")]
    Reject {
        /// Which message.
        id: MessageId,
        /// Advice on when to come again.
        retry_after: Option<Micros>,
        /// Why.
        reason: AbandonReason,
    },
    /// End a message as failed; it may or may not have taken effect.
    Fail {
        /// Which message.
        id: MessageId,
        /// Why.
        reason: AbandonReason,
    },
    /// Cease waiting for an attempt; its result follows.
    Cancel {
        /// Which message.
        id: MessageId,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// Ask for [`Event::Timer`].
    Timer {
        /// Time from now.
        delay: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Send a check to an endpoint.
    #[serde(rename = "Probe")]
    HealthCheck {
        /// Where to.
        endpoint: EndpointId,
    },
    /// Give back the connections to an endpoint that carry nothing now.
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
