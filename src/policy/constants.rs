//! The figures of the policy, each with its unit and purpose.

use crate::api::Micros;

/// A millisecond.
pub(super) const MS: Micros = 1_000;
/// A second.
pub(super) const SECOND: Micros = 1_000_000;
/// A time that is never reached.
pub(super) const NEVER: Micros = Micros::MAX;

/// Consecutive failures that open a circuit breaker; one more if the last was a connection reset, which may
/// be the network's fault. One success closes it.
pub(super) const FAILURE_THRESHOLD: u32 = 2;
/// Time from opening a breaker to its trial call. Shorter, trials cost more than the wait; longer, outages
/// last.
pub(super) const OPEN_TIMEOUT: Micros = 2 * SECOND;
/// The trial goes out in the forwarder's own time slot, no sooner than this after the breaker opened.
pub(super) const MIN_OPEN_DURATION: Micros = OPEN_TIMEOUT / 2;

/// Share of the capacity of a destination in slow start that is planned for; the rest covers wrong weights
/// and an uneven spread of the traffic over forwarders.
pub(super) const SLOW_START_UTILIZATION: f64 = 0.95;
/// A forwarder may use this multiple of its even share of a limit: rarely do all need theirs at once.
pub(super) const OVERCOMMIT_RATIO: f64 = 1.5;
/// Calls a second that all forwarders together make even if their limit is lower: messages arrive unevenly.
pub(super) const MIN_FLEET_RATE: f64 = 12.0;
/// A paced destination may get the calls of this many microseconds in one burst.
pub(super) const BURST_US: f64 = 0.75 * SECOND as f64;
/// Below this remaining share of a reported limit, a forwarder keeps to its even share.
pub(super) const LOW_REMAINING_SHARE: f64 = 0.3;
/// Where no limit is reported, a rejection suspends [`MIN_FLEET_RATE`] for this many backoffs.
pub(super) const REJECTION_MEMORY_BACKOFFS: Micros = 10;

/// A rejection multiplies the rate by this. A forwarder that calls less often than the initial backoff sees
/// fewer rejections, and counts each as several.
pub(super) const RATE_FACTOR_CUT: f64 = 0.85;
/// A success multiplies the rate by this.
pub(super) const RATE_FACTOR_GAIN: f64 = 1.01;
/// The lowest factor that one rejection leads to.
pub(super) const RATE_FACTOR_MIN: f64 = 0.3;
/// The highest factor.
pub(super) const RATE_FACTOR_MAX: f64 = 3.0;
/// Calls rejected while the destination was healthy are spread over this many microseconds at most.
pub(super) const MAX_REJECTION_SPREAD_US: f64 = 3.0 * SECOND as f64;
/// The pause after a first rejection without a retry-after; each further one doubles it.
pub(super) const BACKOFF_INITIAL: Micros = 200 * MS;
/// The longest pause after a rejection without a retry-after.
pub(super) const BACKOFF_MAX: Micros = 1600 * MS;

/// Latency in microseconds assumed before any was measured.
pub(super) const INITIAL_LATENCY_US: f64 = 400.0 * MS as f64;
/// Weight of a new sample in an average latency.
pub(super) const LATENCY_SMOOTHING: f64 = 0.1;

/// A call unanswered for this multiple of the mean latency is stuck.
pub(super) const STUCK_LATENCY_MULTIPLE: f64 = 4.0;
/// No call is stuck before this.
pub(super) const STUCK_MIN_AGE: Micros = 400 * MS;
/// A non-idempotent call gets this multiple of the time, as its message is lost if the call is cancelled.
pub(super) const NON_IDEMPOTENT_PATIENCE: f64 = 3.0;
/// After this multiple of its patience a call may be cancelled to free a slot.
pub(super) const CANCEL_TO_FREE_SLOT_MULTIPLE: f64 = 1.2;
/// After this multiple of its patience a call is cancelled if its endpoint answers later ones.
pub(super) const CANCEL_ISOLATED_MULTIPLE: f64 = 1.5;

/// An attempt times out after this multiple of the mean latency, within the limits below.
pub(super) const ATTEMPT_TIMEOUT_LATENCY_MULTIPLE: f64 = 16.0;
/// The shortest timeout of an attempt.
pub(super) const ATTEMPT_TIMEOUT_MIN: Micros = 2400 * MS;
/// The longest timeout of an attempt; of a non-idempotent one twice that.
pub(super) const ATTEMPT_TIMEOUT_MAX: Micros = 16 * SECOND;

/// Loss on reused connections beyond that on fresh ones from which idle connections are closed.
pub(super) const STALE_EXCESS_LOSS: f64 = 0.2;
/// Weight of a new sample in the average losses of connections.
pub(super) const CONNECTION_LOSS_SMOOTHING: f64 = 0.1;
/// Each answer on a fresh connection multiplies the loss on reused ones by this.
pub(super) const REUSED_LOSS_DECAY: f64 = 0.995;
/// Each call after a failed connect multiplies the scarcity of connections by this.
pub(super) const SCARCITY_DECAY: f64 = 0.95;
/// Connections are scarce above this.
pub(super) const SCARCITY_THRESHOLD: f64 = 0.2;
/// Share of a message's weight that a failed connect costs; idle connections are closed where that is more
/// than new ones cost.
pub(super) const CONNECT_FAILURE_COST: f64 = 0.125;

/// One part in this many of the capacity is kept free for the messages of one batch.
pub(super) const CAPACITY_RESERVE_DIVISOR: usize = 16;
/// With less time than this left, a delivery is not attempted.
pub(super) const MIN_DELIVERY_TIME: Micros = 60 * MS;
/// An unanswered poll for the endpoint list is repeated after the longest poll interval divided by this.
pub(super) const POLL_TIMEOUT_DIVISOR: Micros = 4;
/// A failed poll is repeated after the longest poll interval divided by this.
pub(super) const POLL_RETRY_DIVISOR: Micros = 20;

/// The shortest queueing time looked at when messages of a destination are ranked.
pub(super) const MIN_RANKING_HORIZON: Micros = 300 * MS;
/// The longest queueing time looked at when messages of a destination are ranked.
pub(super) const MAX_RANKING_HORIZON: Micros = 30 * SECOND;
/// Values are compared as whole multiples of one part in this, so that nothing depends on the last bit.
pub(super) const VALUE_SCALE: f64 = 1e9;
/// Weight of a message's present value where waiting costs the same.
pub(super) const PRESENT_VALUE_WEIGHT: f64 = 0.01;
