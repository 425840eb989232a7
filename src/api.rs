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
pub enum Effect {
    /// May be repeated at will.
    Safe,
    /// The destination drops repeats for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
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
    pub effect: Effect,
    /// Where repeats of a keyed message are dropped.
    pub dedup_scope: DedupScope,
    /// For how long, from the send of the first attempt that may have run.
    pub memory_span: Micros,
    /// Delivered within this, a message earns its full worth.
    pub aim: Micros,
    /// From the time it was first handed in, a message may be delivered for so long.
    pub deadline: Micros,
    /// Worth of a message.
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_worth: f64,
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
    pub apart: bool,
    /// Messages that one call may carry.
    pub per_call: usize,
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
    pub number: Option<u64>,
    /// What the clock that all forwarders read showed when this one's own showed 0.
    pub ahead: Micros,
    /// Where this forwarder runs.
    pub zone: ZoneId,
    /// For each zone: points charged if every message went by a route apart there.
    pub tolls: Vec<f64>,
    /// Points charged if every attempt crossed zones once.
    pub cross_zone_fee: f64,
    /// Points charged if every message needed a new connection.
    pub handshake_fee: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Share of its worth that traffic beyond a tenant's quota keeps.
    pub over_share_worth: f64,
    /// The kinds of destination.
    pub kinds: Vec<Kind>,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// What weights tell.
    pub weights: WeightSource,
    /// Calls out at once.
    pub slots: usize,
    /// Messages held at once, sent or not.
    pub max_open: usize,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Attempts that are out may be called off.
    pub cancel: bool,
    /// Clients mark what they hand in again.
    pub marks_retry: bool,
    /// Probes are allowed.
    pub probing: bool,
    /// Clients are given advice on when to come again.
    pub retry_after: bool,
    /// The platform would stand two attempts of a message at once; this program never makes use of it.
    pub second_copies: bool,
    /// The longest such advice a client follows.
    pub max_retry_after: Micros,
    /// The endpoint list must be asked for.
    pub ask_for_list: bool,
    /// Without a subscription, the longest time between two requests for the list.
    pub must_ask_in: Micros,
    /// The shortest time between two batches.
    pub granularity: Micros,
    /// Fail-back: load over this multiple of present capacity ...
    pub fall_multiple: f64,
    /// ... for this long pushes a cold destination over.
    pub fall: Micros,
    /// A returning destination has all its capacity after this.
    pub cold: Micros,
    /// A returning destination has at least this share of its capacity.
    pub cold_from: f64,
    /// A key's rest after an attempt whose end is not sure.
    pub key_rest: Micros,
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
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
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
pub enum ListNews {
    /// Altered entries only.
    Patch(Vec<Entry>),
    /// The complete list; what is not in it is gone.
    Whole(Vec<Entry>),
    /// The complete list as last held before a restart; possibly old.
    Stale(Vec<Entry>),
    /// A request for the list failed or the subscription broke.
    Broken,
}

/// How an attempt or a probe came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have taken effect.
    Error,
    /// Turned away unseen, with the wait told if any; never ran.
    Full(Option<Micros>),
    /// No answer in time; may have taken effect or still do so.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// The connection had been used before and broke at once, before any answer began; may have taken effect.
    Stale,
    /// Called off; may have taken effect.
    Cancelled,
    /// Not sent; never ran.
    Moot,
    /// Not sent, as nothing could be noted of it; never ran, and counts as no attempt.
    Unsent,
}

/// What an answer tells of the limit: share left, and calls a second (0: no limit).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub left: f64,
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
    pub orphan: bool,
    /// When and where the first attempt was sent that may have run, if that is known.
    pub first: Option<(Micros, ZoneId)>,
    /// Its client says that it was handed in before; see [`Settings::marks_retry`].
    pub again: bool,
    /// An earlier process had taken it on, so it is owed.
    pub restored: bool,
    /// Attempts made before this forwarder had it; they count against [`Settings::max_attempts`].
    pub attempts: u32,
}

/// What happened since the last batch.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the endpoint list.
    List(ListNews),
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
    Result {
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
        report: Option<LimitReport>,
    },
    /// The result of a probe.
    Probed {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it came out.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// What the answer tells of the limit.
        report: Option<LimitReport>,
    },
    /// A wait that an answer told without turning a message away.
    Wait {
        /// Which endpoint told it.
        endpoint: EndpointId,
        /// How long.
        wait: Micros,
    },
    /// Whether what outlasts the process can be written: while it cannot, no attempt may begin.
    Journal {
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
pub enum Status {
    /// Calls go out.
    #[default]
    Closed,
    /// One trial at a time goes out.
    Half,
    /// Nothing goes out until its next attempt.
    Open,
}

/// What operators are shown of a destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// Which.
    pub destination: DestinationId,
    /// Its breaker.
    pub status: Status,
    /// Messages that wait for it.
    pub held: usize,
    /// Calls out.
    pub out: usize,
    /// What is left of a told wait, or of the pause after a refusal.
    pub wait: Micros,
    /// It is back and sparingly used.
    pub cold: bool,
    /// The usual time of its answers, in microseconds.
    pub latency: Option<f64>,
    /// What it told of its limit: the share left last, the rate in the mean.
    pub limit: Option<LimitReport>,
}

/// Why a message is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GiveUpReason {
    /// Its time is up, or the time in which it may be repeated.
    TimeUp,
    /// Nothing can go to its destination before that.
    Blocked,
    /// It has had all its attempts.
    AttemptsSpent,
    /// More is held than there is room for.
    NoRoom,
}

impl GiveUpReason {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            GiveUpReason::TimeUp => "time-up",
            GiveUpReason::Blocked => "blocked",
            GiveUpReason::AttemptsSpent => "attempts-spent",
            GiveUpReason::NoRoom => "no-room",
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
        cut_at: Micros,
        /// Its first byte must not be written later: a repeat would run twice, or find no time to run.
        send_by: Micros,
        /// The message's time is up then: it will not be sent again.
        last: bool,
    },
    /// End a message undelivered; the client may safely come again.
    Refuse {
        /// Which message.
        id: MessageId,
        /// Advice on when to come again.
        retry_after: Option<Micros>,
        /// Why.
        reason: GiveUpReason,
    },
    /// End a message as failed; it may or may not have taken effect.
    Fail {
        /// Which message.
        id: MessageId,
        /// Why.
        reason: GiveUpReason,
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
    Probe {
        /// Where to.
        endpoint: EndpointId,
    },
    /// Give back the connections to an endpoint that carry nothing now.
    CloseIdle {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to the endpoint list.
    Watch,
    /// A line for the on-call log.
    Log(String),
}
