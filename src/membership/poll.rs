//! Schedules the polls of a registry: which address is polled next, for what, and when. It does no I/O; time and random
//! draws are arguments.

use super::settings::{PollBackoff, PollScope, RegistrySettings};
use super::watch_backoff::{with_jitter, MAX_REQUEST_INTERVAL};
use crate::Micros;

/// What a poll asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The complete list, with what has not changed.
    Complete,
    /// Only the instances that were recently added, changed or deleted.
    Delta,
}

/// A scheduled poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// When to send it.
    pub at: Micros,
    /// Index of the registry address to poll.
    pub address_index: usize,
    /// Whether to ask for the complete list or only for recent changes.
    pub kind: PollKind,
}

/// Schedules polls by the outcomes of the earlier ones.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// The number of registry addresses that can be polled.
    addresses: usize,
    poll_interval: Micros,
    backoff: PollBackoff,
    preferred_retry_after: Micros,
    /// Whether deltas are polled; only a poll of the whole registry has them.
    uses_deltas: bool,
    /// The index of the address that is polled next. The preferred address has the index 0.
    current_address: usize,
    /// Consecutive failed polls, counted over all addresses.
    failures: u32,
    /// When the preferred address last failed; `None` if it has not failed, or has answered since.
    preferred_failed_at: Option<Micros>,
    /// Whether the next poll must ask for the complete list.
    needs_complete: bool,
    /// When the next poll is due.
    next_at: Micros,
}

impl PollSchedule {
    /// Creates a schedule whose first poll is due now, at the preferred address, and asks for the complete list.
    pub fn new(settings: &RegistrySettings, now: Micros) -> Self {
        PollSchedule {
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

    /// Returns the next poll. Goes back to the preferred address if, at the time of the poll, that is due for a retry.
    pub fn next_request(&mut self) -> PollRequest {
        let preferred_is_due = self
            .preferred_failed_at
            .is_none_or(|failed_at| self.next_at >= failed_at + self.preferred_retry_after);
        if self.current_address != 0 && preferred_is_due {
            // Another replica may have other entries, so that a delta from it would not be enough.
            (self.current_address, self.needs_complete) = (0, true);
        }
        let is_complete = self.needs_complete || !self.uses_deltas;
        let kind = if is_complete { PollKind::Complete } else { PollKind::Delta };
        PollRequest { at: self.next_at, address_index: self.current_address, kind }
    }

    /// Records a successful poll. The next poll asks for the complete list if the hash of the answer did not match the
    /// cached registry, or if the view is in doubt. After a delta with a mismatch it is sent at once.
    pub fn succeeded(&mut self, now: Micros, kind: PollKind, hash_matches: bool, in_doubt: bool) {
        self.failures = 0;
        if self.current_address == 0 {
            self.preferred_failed_at = None;
        }
        self.needs_complete = !hash_matches || in_doubt;
        let is_immediate = !hash_matches && kind == PollKind::Delta;
        self.next_at = if is_immediate { now } else { now + self.poll_interval };
    }

    /// Records a failed poll. The next address is polled at once. After each round in which all addresses have failed there
    /// is a pause, which doubles with each round and is shortened by up to half by a random draw from 0 to 1.
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
            let pause = self.backoff.first.saturating_mul(factor).min(self.longest_pause());
            self.next_at = now + with_jitter(pause, draw);
        }
    }

    /// The longest pause after failed polls. An outage must not make a change known much later than the polls do.
    fn longest_pause(&self) -> Micros {
        self.backoff.max.min(self.poll_interval.max(MAX_REQUEST_INTERVAL))
    }
}
