//! Which registry is asked next, what for, and when: decisions on polling. It does no I/O; time and chance come in as
//! arguments.

use super::RegistrySettings;
use crate::Micros;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The whole list.
    Complete,
    /// What changed lately.
    Delta,
}

/// The next question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// When.
    pub at: Micros,
    /// Which of the addresses.
    pub address_index: usize,
    /// What.
    pub kind: PollKind,
}

/// What has come of the questions so far, and what follows from it.
#[derive(Clone, Debug)]
pub struct Poller {
    addresses: usize,
    poll: Micros,
    back_off: (Micros, Micros),
    prefer_after: Micros,
    deltas: bool,
    current: usize,
    /// Failures in a row, at whatever address.
    failures: u32,
    preferred_failed: Option<Micros>,
    whole: bool,
    at: Micros,
}

impl Poller {
    /// The first question goes to the preferred address at once, for everything.
    pub fn new(s: &RegistrySettings, now: Micros) -> Self {
        Poller {
            addresses: s.addresses.len(),
            poll: s.poll_interval,
            back_off: s.back_off,
            prefer_after: s.preferred_retry_after,
            deltas: s.scope == super::PollScope::All,
            current: 0,
            failures: 0,
            preferred_failed: None,
            whole: true,
            at: now,
        }
    }

    /// The next question.
    pub fn next_request(&mut self) -> PollRequest {
        if self.current != 0 && self.preferred_failed.is_none_or(|t| self.at >= t + self.prefer_after) {
            // Another replica may know other things: there, everything is asked for.
            (self.current, self.whole) = (0, true);
        }
        let question = if self.whole || !self.deltas { PollKind::Complete } else { PollKind::Delta };
        PollRequest { at: self.at, address_index: self.current, kind: question }
    }

    /// The question was answered. What does not fit, or is in doubt, asks for everything at the next turn; a delta
    /// that does not fit, at once.
    pub fn succeeded(&mut self, now: Micros, asked: PollKind, fits: bool, in_doubt: bool) {
        self.failures = 0;
        if self.current == 0 {
            self.preferred_failed = None;
        }
        self.whole = !fits || in_doubt;
        let at_once = !fits && asked == PollKind::Delta;
        self.at = if at_once { now } else { now + self.poll };
    }

    /// The question failed. The next address is asked at once; after all have failed in turn, with a pause that
    /// grows and is drawn by a number from 0 to 1 up to half shorter.
    pub fn failed(&mut self, now: Micros, draw: f64) {
        if self.current == 0 {
            self.preferred_failed = Some(now);
        }
        self.current = (self.current + 1) % self.addresses;
        self.whole = true;
        self.failures += 1;
        let rounds = self.failures as usize / self.addresses;
        self.at = now;
        if (self.failures as usize).is_multiple_of(self.addresses) {
            let doubled = 1u64.checked_shl(rounds as u32 - 1).unwrap_or(u64::MAX);
            let pause = self.back_off.0.saturating_mul(doubled).min(self.back_off.1);
            self.at = now + (pause as f64 * (1.0 - draw / 2.0)) as Micros;
        }
    }
}
