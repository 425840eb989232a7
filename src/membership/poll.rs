//! Which registry is polled next, what for, and when. It does no I/O; time and random draws are arguments.

use super::settings::{PollBackoff, PollScope, RegistrySettings};
use super::watch_backoff::up_to_half_shorter;
use crate::Micros;

/// What is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The complete list.
    Complete,
    /// What changed lately.
    Delta,
}

/// The next poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// When.
    pub at: Micros,
    /// Of which of the addresses.
    pub address_index: usize,
    /// What for.
    pub kind: PollKind,
}

/// How the polls went so far, and what follows from it.
#[derive(Clone, Debug)]
pub struct Poller {
    addresses: usize,
    poll_interval: Micros,
    backoff: PollBackoff,
    preferred_retry_after: Micros,
    uses_deltas: bool,
    current_address: usize,
    /// Failures in a row, at whatever address.
    failures: u32,
    preferred_failed_at: Option<Micros>,
    needs_complete: bool,
    next_at: Micros,
}

impl Poller {
    /// The first poll goes to the preferred address at once, for the complete list.
    pub fn new(settings: &RegistrySettings, now: Micros) -> Self {
        Poller {
            addresses: settings.addresses.len(),
            poll_interval: settings.poll_interval,
            backoff: settings.backoff,
            preferred_retry_after: settings.preferred_retry_after,
            uses_deltas: settings.scope == PollScope::All,
            current_address: 0,
            failures: 0,
            preferred_failed_at: None,
            needs_complete: true,
            next_at: now,
        }
    }

    /// The next poll.
    pub fn next_request(&mut self) -> PollRequest {
        let preferred_is_due = self
            .preferred_failed_at
            .is_none_or(|failed_at| self.next_at >= failed_at + self.preferred_retry_after);
        if self.current_address != 0 && preferred_is_due {
            // Another replica may know other things: its complete list is needed.
            (self.current_address, self.needs_complete) = (0, true);
        }
        let is_complete = self.needs_complete || !self.uses_deltas;
        let kind = if is_complete { PollKind::Complete } else { PollKind::Delta };
        PollRequest { at: self.next_at, address_index: self.current_address, kind }
    }

    /// A poll was answered. If the answer does not fit the view, or the view is in doubt, the next poll is for the complete list;
    /// after a delta that does not fit, at once.
    pub fn succeeded(&mut self, now: Micros, kind: PollKind, fits: bool, in_doubt: bool) {
        self.failures = 0;
        if self.current_address == 0 {
            self.preferred_failed_at = None;
        }
        self.needs_complete = !fits || in_doubt;
        let is_at_once = !fits && kind == PollKind::Delta;
        self.next_at = if is_at_once { now } else { now + self.poll_interval };
    }

    /// A poll failed. The next address is polled at once; after all have failed in turn, after a pause that grows and is
    /// shortened up to half by a random draw from 0 to 1.
    pub fn failed(&mut self, now: Micros, draw: f64) {
        if self.current_address == 0 {
            self.preferred_failed_at = Some(now);
        }
        self.current_address = (self.current_address + 1) % self.addresses;
        self.needs_complete = true;
        self.failures += 1;
        self.next_at = now;
        let failures = self.failures as usize;
        if failures.is_multiple_of(self.addresses) {
            let rounds = failures / self.addresses;
            let factor = 1u64.checked_shl(rounds as u32 - 1).unwrap_or(u64::MAX);
            let pause = self.backoff.first.saturating_mul(factor).min(self.backoff.max);
            self.next_at = now + up_to_half_shorter(pause, draw);
        }
    }
}
