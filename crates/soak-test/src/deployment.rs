//! The deployment that a run simulates: destinations, message classes, capacities and rules, as in the forwarders'
//! settings.

use crate::observation::Idempotency;
use serde_json::{json, Value};
use std::time::Duration;

/// Number of destinations.
pub const DESTINATION_COUNT: usize = 5;
/// The destination that gets more messages than the others, about as many as its capacity, and about half of the outages.
pub const BUSY_DESTINATION: usize = 0;
/// Share of the messages that go to the busy destination in any case; the rest is spread over all destinations.
pub const BUSY_MESSAGE_SHARE: f64 = 0.15;
/// Number of endpoints that each destination has.
pub const ENDPOINTS_PER_DESTINATION: usize = 3;
/// The names of the zones.
pub const ZONES: [&str; 2] = ["east", "west"];
/// Calls per second that a destination takes from all forwarders together; the endpoint list states it as the weight.
pub const CAPACITY_PER_S: f64 = 100.0;
/// A destination in slow start may get at most this multiple of its present capacity.
pub const OVERLOAD_MULTIPLE: f64 = 2.0;
/// The window in which calls to a destination in slow start are counted.
pub const OVERLOAD_WINDOW: Duration = Duration::from_millis(2_000);
/// How long a destination's slow start takes after an outage.
pub const SLOW_START_DURATION: Duration = Duration::from_millis(8_000);
/// The share of its capacity that a destination has at the start of its slow start.
pub const SLOW_START_INITIAL_SHARE: f64 = 0.1;
/// The most attempts for one message.
pub const MAX_ATTEMPTS: usize = 12;
/// A forwarder may send calls to a draining endpoint for this long after it was notified of the drain.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// A kind of endpoint; each destination has endpoints of one kind.
pub struct EndpointKind {
    /// Its name in the settings and in the endpoint list.
    pub name: &'static str,
    /// The most messages that one call may carry.
    pub messages_per_call: usize,
}

/// The kinds of endpoints: one takes a single message per call, the other several.
pub const ENDPOINT_KINDS: [EndpointKind; 2] =
    [EndpointKind { name: "one", messages_per_call: 1 }, EndpointKind { name: "many", messages_per_call: 4 }];

/// The kind of a destination's endpoints.
pub fn endpoint_kind(destination: usize) -> &'static EndpointKind {
    &ENDPOINT_KINDS[destination % ENDPOINT_KINDS.len()]
}

/// A class of messages.
pub struct Class {
    /// Its name in the settings and in the header `X-Class`.
    pub name: &'static str,
    pub idempotency: Idempotency,
}

/// The message classes: one of each idempotency, one deduplicated by zone, and one with a short deduplication window.
pub fn classes() -> Vec<Class> {
    let with_key =
        |window_ms, by_zone| Idempotency::WithKey { window: Duration::from_millis(window_ms), by_zone };
    vec![
        Class { name: "free", idempotency: Idempotency::Idempotent },
        Class { name: "notice", idempotency: with_key(30_000, false) },
        Class { name: "zoned", idempotency: with_key(30_000, true) },
        Class { name: "brief", idempotency: with_key(1_500, false) },
        Class { name: "once", idempotency: Idempotency::NonIdempotent },
    ]
}

/// A class in the form of the forwarders' settings.
pub fn class_settings(class: &Class) -> Value {
    let (semantics, window_ms, scope) = match class.idempotency {
        Idempotency::Idempotent => ("pure", 0, "all"),
        Idempotency::NonIdempotent => ("side_effect", 0, "all"),
        Idempotency::WithKey { window, by_zone } => {
            ("token", window.as_millis() as u64, if by_zone { "zone" } else { "all" })
        }
    };
    json!({"name": class.name, "semantics": semantics, "promise": 2000.0, "deadline": 8000.0, "gain": 1.0,
        "late-worth": 0.3, "memory-span": window_ms, "dedup-scope": scope})
}
