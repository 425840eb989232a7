//! The worst case of a route: the times of all attempts if each one times out and nothing else delays them.

use super::RouteTiming;
use crate::Micros;

/// An attempt of the worst case; times count from the receipt of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorstCaseAttempt {
    /// The number of the attempt, from 1.
    pub number: u32,
    /// The latest start, if only the earlier attempts delay it.
    pub starts_at: Micros,
    /// The latest time at which the attempt times out.
    pub times_out_at: Micros,
}

/// Computes the worst case of the given number of attempts with the given timeout. The retry of an attempt that times
/// out may start at the time that [`RouteTiming::hedge_after`] sets, and that of an attempt that ends just before its
/// timeout after a pause; the later of the two counts.
pub fn worst_case(timing: &RouteTiming, timeout: Micros, attempts: u32) -> Vec<WorstCaseAttempt> {
    let mut start: Micros = 0;
    (1..=attempts)
        .map(|attempt| {
            let step = WorstCaseAttempt {
                number: attempt,
                starts_at: start,
                times_out_at: start.saturating_add(timeout),
            };
            let after_pause = step.times_out_at.saturating_add(timing.pause_after(attempt));
            let retry_start = timing.hedge_after.map_or(0, |after| start.saturating_add(after));
            start = after_pause.max(retry_start);
            step
        })
        .collect()
}
