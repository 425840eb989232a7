//! The constants of the delivery policy, each with its unit and purpose.

use crate::api::Micros;

/// One millisecond, in microseconds.
pub(super) const MS: Micros = 1_000;
/// One second, in microseconds.
pub(super) const SECOND: Micros = 1_000_000;
/// A point in time that is never reached.
pub(super) const NEVER: Micros = Micros::MAX;

/// The number of consecutive failures that open a circuit breaker. One more is needed if the last one was a
/// connection reset, which may be caused by the network. One success closes the breaker.
pub(super) const FAILURE_THRESHOLD: u32 = 2;
/// The time from opening a circuit breaker to its trial call. With a shorter time the trial calls cost more
/// than the wait; with a longer time outages last longer.
pub(super) const OPEN_TIMEOUT: Micros = 2 * SECOND;
/// The trial call is sent in the forwarder's own time slot, but not earlier than this after the breaker
/// opened.
pub(super) const MIN_OPEN_DURATION: Micros = OPEN_TIMEOUT / 2;

/// The share of the capacity of a destination in slow start that the fleet plans to use. The rest covers
/// wrong weights and an uneven distribution of traffic among forwarders.
pub(super) const SLOW_START_UTILIZATION: f64 = 0.95;
/// A forwarder may use this multiple of its even share of a limit, as the forwarders rarely all need their
/// shares at the same time.
pub(super) const OVERCOMMIT_RATIO: f64 = 1.5;
/// The calls per second that all forwarders together may make even if their limit is lower, as messages
/// arrive unevenly.
pub(super) const MIN_FLEET_RATE: f64 = 12.0;
/// The longest burst: a paced destination may get the calls of this many microseconds at once.
pub(super) const BURST_US: f64 = 0.75 * SECOND as f64;
/// If less than this share of a reported limit remains, a forwarder uses no more than its even share.
pub(super) const LOW_REMAINING_SHARE: f64 = 0.3;
/// Where no limit is reported, a rejection suspends [`MIN_FLEET_RATE`] for this many backoffs.
pub(super) const REJECTION_MEMORY_BACKOFFS: Micros = 10;

/// A rejection multiplies the rate by this factor. A forwarder that calls less often than once per initial
/// backoff sees fewer rejections, so each counts as several.
pub(super) const RATE_FACTOR_CUT: f64 = 0.85;
/// A success multiplies the rate by this factor.
pub(super) const RATE_FACTOR_GAIN: f64 = 1.01;
/// The lowest rate factor to which one rejection leads.
pub(super) const RATE_FACTOR_MIN: f64 = 0.3;
/// The highest rate factor to which successes lead.
pub(super) const RATE_FACTOR_MAX: f64 = 3.0;
/// The longest period, in microseconds, over which the fleet spreads its next calls after a rejection by a
/// destination that was healthy.
pub(super) const MAX_REJECTION_SPREAD_US: f64 = 3.0 * SECOND as f64;
/// The pause after the first rejection without a retry-after. Each further rejection doubles it.
pub(super) const BACKOFF_INITIAL: Micros = 200 * MS;
/// The longest pause after a rejection without a retry-after.
pub(super) const BACKOFF_MAX: Micros = 1600 * MS;

/// The latency in microseconds that is assumed before the first measurement.
pub(super) const INITIAL_LATENCY_US: f64 = 400.0 * MS as f64;
/// The weight of a new sample in a moving average of latencies.
pub(super) const LATENCY_SMOOTHING: f64 = 0.1;

/// A call that is unanswered for this multiple of the mean latency counts as stuck.
pub(super) const STUCK_LATENCY_MULTIPLE: f64 = 4.0;
/// A call younger than this never counts as stuck.
pub(super) const STUCK_MIN_AGE: Micros = 400 * MS;
/// A non-idempotent call counts as stuck only after this multiple of the usual time, because its message
/// cannot be retried after a cancellation.
pub(super) const NON_IDEMPOTENT_STUCK_MULTIPLE: f64 = 3.0;
/// A call may be cancelled to free its slot once its age is this multiple of the time after which it counts
/// as stuck.
pub(super) const CANCEL_TO_FREE_SLOT_MULTIPLE: f64 = 1.2;
/// A call is cancelled once its age is this multiple of the time after which it counts as stuck, if a later
/// call to its endpoint has succeeded.
pub(super) const CANCEL_ISOLATED_MULTIPLE: f64 = 1.5;

/// An attempt times out after this multiple of the mean latency, within the two limits below.
pub(super) const ATTEMPT_TIMEOUT_LATENCY_MULTIPLE: f64 = 16.0;
/// The shortest timeout of an attempt.
pub(super) const ATTEMPT_TIMEOUT_MIN: Micros = 2400 * MS;
/// The longest timeout of an attempt. Non-idempotent attempts may take twice as long.
pub(super) const ATTEMPT_TIMEOUT_MAX: Micros = 16 * SECOND;

/// Idle connections are closed if the share of unanswered calls on reused connections exceeds that on new
/// ones by more than this.
pub(super) const STALE_EXCESS_LOSS: f64 = 0.2;
/// The weight of a new sample in the moving averages of unanswered calls and failed connection attempts.
pub(super) const CONNECTION_LOSS_SMOOTHING: f64 = 0.1;
/// Each response on a new connection multiplies the share of unanswered calls on reused connections by this
/// factor. Without it, connections that are no longer reused would be taken for stale forever.
pub(super) const REUSED_LOSS_DECAY: f64 = 0.995;
/// Each call after a failed connection attempt multiplies the scarcity of connections by this factor, unless
/// it confirms the scarcity.
pub(super) const SCARCITY_DECAY: f64 = 0.95;
/// Connections count as scarce while the scarcity is above this value.
pub(super) const SCARCITY_THRESHOLD: f64 = 0.2;
/// The cost of a failed connection attempt, as a share of the message's priority weight. Idle connections are
/// closed where the expected cost of failed attempts exceeds the cost of new connections.
pub(super) const CONNECT_FAILURE_COST: f64 = 0.125;

/// The inverse of the share of the capacity that is kept free for the messages of the next batch.
pub(super) const CAPACITY_RESERVE_DIVISOR: usize = 16;
/// A delivery is not attempted with less time left than this.
pub(super) const MIN_DELIVERY_TIME: Micros = 60 * MS;
/// An unanswered poll for the endpoint list is repeated after the longest poll interval divided by this.
pub(super) const POLL_TIMEOUT_DIVISOR: Micros = 4;
/// A failed poll is repeated after the longest poll interval divided by this.
pub(super) const POLL_RETRY_DIVISOR: Micros = 20;
/// The longest time until a failed or unanswered poll is repeated. A change counts as received 6 s after the
/// list could be polled; the rest of that time is for the response.
pub(super) const MAX_POLL_RETRY_DELAY: Micros = 3_500 * MS;

/// The shortest queueing time that is assumed when the messages of a destination are ranked.
pub(super) const MIN_RANKING_HORIZON: Micros = 300 * MS;
/// The longest queueing time that is assumed when the messages of a destination are ranked.
pub(super) const MAX_RANKING_HORIZON: Micros = 30 * SECOND;
/// Message values and costs are multiplied by this and compared as integers, so that no decision depends on
/// floating-point rounding.
pub(super) const VALUE_SCALE: f64 = 1e9;
/// The weight of a message's present value in its rank. It decides between messages that lose the same value
/// by waiting.
pub(super) const PRESENT_VALUE_WEIGHT: f64 = 0.01;
