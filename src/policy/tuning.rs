//! The figures of the decisions, each with what it is for. `docs/design.md` and `docs/fleet.md` tell where
//! they come from.

use crate::api::Micros;

pub(super) const MS: Micros = 1_000;
pub(super) const SECOND: Micros = 1_000_000;
pub(super) const NEVER: Micros = Micros::MAX;

/// FailureThreshold: two in a row; with a reset last (maybe the network's) three. SuccessThreshold is one.
pub(super) const FAILURE_THRESHOLD: u32 = 2;
/// Timeout: from opening to NextAttempt. Shorter, trials cost more than the wait; longer, outages last.
pub(super) const TIMEOUT: Micros = 2 * SECOND;
/// NextAttempt is the forwarder's own place in rounds of that length, this part of one away at least.
pub(super) const SOONEST: Micros = TIMEOUT / 2;
/// Part of the fail-back budget that is planned for; the rest covers wrong weights and uneven shares.
pub(super) const COLD_PACE: f64 = 0.95;
/// A forwarder may use this multiple of its even share of a limit: the others rarely all need theirs at once.
pub(super) const SPREAD: f64 = 1.5;
/// A pace that all forwarders together keep even if their limit is less: messages come unevenly.
pub(super) const LONE_PACE: f64 = 12.0;
/// A paced destination may get so much of its rate in one go.
pub(super) const BURST: f64 = 0.75 * SECOND as f64;
/// Where no limit is told, a refusal suspends LONE_PACE for this many pauses.
pub(super) const CRAMMED: Micros = 10;
/// A refusal cuts the pace to this; each success raises it by the second figure; within the range. A
/// forwarder
/// that calls less often than the first pause meets fewer refusals, and takes each for so many more.
pub(super) const TRIM_CUT: f64 = 0.85;
pub(super) const TRIM_GAIN: f64 = 1.01;
pub(super) const TRIM_RANGE: (f64, f64) = (0.3, 3.0);
/// Those refused while all was well spread over so much at most
pub(super) const CLUMP: f64 = 3.0 * SECOND as f64;
/// After a refusal that tells no wait: the first pause, doubled by each further one up to the longest.
pub(super) const BACKOFF: (Micros, Micros) = (200 * MS, 1600 * MS);
/// Below this share of a reported limit left, a forwarder keeps to its even share.
pub(super) const LOW_LEFT: f64 = 0.3;
/// Latency assumed before anything was seen, and the weight of a new sample.
pub(super) const FIRST_LATENCY: f64 = 400.0 * MS as f64;
pub(super) const LATENCY_GAIN: f64 = 0.1;
/// A call unanswered for this multiple of the mean, and at least so long, makes its endpoint suspect; an
/// unsafe one is lost when it is called off, so it gets the last figure times the patience.
pub(super) const SUSPECT: (f64, Micros, f64) = (4.0, 400 * MS, 3.0);
/// A call is called off after these multiples of the patience: to make room, and where it hangs alone.
pub(super) const CALL_OFF: (f64, f64) = (1.2, 1.5);
/// A call is abandoned after this multiple of the mean, within the range; an unsafe one in twice that.
pub(super) const CUT: (f64, Micros, Micros) = (16.0, 2400 * MS, 16 * SECOND);
/// Loss on reused connections beyond that on fresh ones from which idle ones are given back; gain; fading.
pub(super) const STALE: (f64, f64, f64) = (0.2, 0.1, 0.995);
/// After a connection that was not made: what each later call leaves of the memory, and where it ends.
pub(super) const CROWDED: (f64, f64) = (0.95, 0.2);
/// What a call without a connection loses of its worth; over a handshake's fee, idle ones are given back.
pub(super) const UNMADE_COSTS: f64 = 0.125;
/// Part of `max_open` kept free for what comes in within one batch.
pub(super) const RESERVE: usize = 16;
/// With less time than this left, no delivery is to be hoped for.
pub(super) const HOPELESS: Micros = 60 * MS;
/// How long an unanswered or broken request for the list rests, as parts of the time the rule allows.
pub(super) const ASK_AGAIN: (Micros, Micros) = (4, 20);
/// The shortest and longest queueing time looked at when messages of a destination are ranked.
pub(super) const HORIZON: (Micros, Micros) = (300 * MS, 30 * SECOND);
/// worths are compared in whole parts, so that nothing hangs on the last bit
pub(super) const GRAIN: f64 = 1e9;
/// weight of present worth where waiting costs the same; more cost lending 0.04
pub(super) const PRESENT: f64 = 0.01;
