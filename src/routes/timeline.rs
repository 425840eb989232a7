//! The worst case of an entry: attempt by attempt, if each times out and nothing else delays it.

use super::Timing;
use crate::Micros;

/// An attempt of the worst case; times count from the receipt of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorstCaseAttempt {
    /// Which attempt, from 1.
    pub number: u32,
    /// It starts at the latest then, if nothing but the attempts before it delays it.
    pub starts_at: Micros,
    /// It is abandoned at the latest then.
    pub abandoned_at: Micros,
}

/// The worst case of so many attempts, each in flight for the timeout at most. An attempt that times out may be followed by a
/// hedged request, one that ends just before its timeout by a pause: the later of the two counts.
pub fn worst_case(timing: &Timing, timeout: Micros, attempts: u32) -> Vec<WorstCaseAttempt> {
    let mut begins: Micros = 0;
    (1..=attempts)
        .map(|attempt| {
            let step = WorstCaseAttempt {
                number: attempt,
                starts_at: begins,
                abandoned_at: begins.saturating_add(timeout),
            };
            let paused = step.abandoned_at.saturating_add(timing.pause_after(attempt));
            let copied = timing.hedge_after.map_or(0, |after| begins.saturating_add(after));
            begins = paused.max(copied);
            step
        })
        .collect()
}
