//! Per-route timing: how long an attempt may take, how many there are, the pauses between them and when a message is
//! abandoned, by destination, kind and class. It decides nothing about health, rate or endpoints, does no I/O and takes time
//! as an argument; the policy asks it.
//!
//! `docs/routes.md` weighs the ways; `docs/operating-routes.md` is for operators.

mod check;
mod check_timing;
mod plan;
mod timeline;

use crate::config_error::{Located, Position};
use crate::settings_json::Names;
use crate::{DestinationId, Micros, Settings};

pub use check::check_routes;
pub use plan::{Plan, Route, RouteId};
pub use timeline::{worst_case, WorstCaseAttempt};

/// No message has more attempts than this, whatever the settings allow: a rule of the platform.
pub const MAX_ATTEMPTS_PER_MESSAGE: u32 = 12;

/// The pauses before further attempts, as written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenPause {
    /// Before the second attempt; doubled before each further one ...
    pub first: Located<Micros>,
    /// ... up to this.
    pub max: Located<Micros>,
}

/// Which messages an entry is for: all that is given must hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenMatch {
    /// Where it starts.
    pub at: Position,
    /// Any of these destinations.
    pub destinations: Option<Vec<Located<DestinationId>>>,
    /// The kind of the destination, by its name in the settings.
    pub kind: Option<Located<String>>,
    /// The class of the message, by its name in the settings.
    pub class: Option<Located<String>>,
}

/// An entry as it is written, not yet checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenRoute {
    /// Where it starts.
    pub at: Position,
    /// What operators call it.
    pub name: Located<String>,
    /// Which messages it is for.
    pub matches: WrittenMatch,
    /// How long one attempt may be in flight.
    pub timeout: Option<Located<Micros>>,
    /// Attempts, the first one included.
    pub attempts: Option<Located<u64>>,
    /// Before a further attempt.
    pub pause: Option<WrittenPause>,
    /// From the start of an attempt that timed out to the start of the hedged request at another endpoint.
    pub hedge_after: Option<Located<Micros>>,
    /// From the receipt of a message to its abandonment.
    pub abandon_after: Option<Located<Micros>>,
    /// All of it could be read: its figures can be checked against each other.
    pub is_complete: bool,
}

/// What the platform's settings say; entries are checked against it.
#[derive(Clone, Copy)]
pub struct Platform<'a> {
    /// Attempts, classes, kinds.
    pub settings: &'a Settings,
    /// What classes and kinds are called.
    pub names: &'a Names,
}

/// The pauses before further attempts; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pause {
    /// Before the second attempt, in microseconds; doubled before each further one ...
    pub first: Micros,
    /// ... up to this.
    pub max: Micros,
}

/// What an entry sets for a message. What it leaves out is left to the policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// How long one attempt may be in flight.
    pub timeout: Option<Micros>,
    /// Attempts, the first one included.
    pub attempts: Option<u32>,
    /// The pauses before further attempts.
    pub pause: Option<Pause>,
    /// From the start of an attempt that timed out to the start of the hedged request at another endpoint.
    pub hedge_after: Option<Micros>,
    /// From the receipt of a message to its abandonment.
    pub abandon_after: Option<Micros>,
}

impl Timing {
    /// How long an attempt may be in flight, given what the policy would allow it.
    pub fn attempt_timeout(&self, adaptive: Micros) -> Micros {
        self.timeout.unwrap_or(adaptive)
    }

    /// The most attempts, given what the settings allow.
    pub fn max_attempts(&self, allowed: u32) -> u32 {
        self.attempts.map_or(allowed, |a| a.min(allowed))
    }

    /// When a message ends that was received and has its deadline at these times.
    pub fn ends_at(&self, received_at: Micros, deadline: Micros) -> Micros {
        self.abandon_after.map_or(deadline, |g| deadline.min(received_at.saturating_add(g)))
    }

    /// The pause after so many attempts.
    pub fn pause_after(&self, attempts: u32) -> Micros {
        let pause = self.pause.unwrap_or_default();
        let factor = 1u64.checked_shl(attempts.saturating_sub(1)).unwrap_or(u64::MAX);
        pause.first.saturating_mul(factor).min(pause.max)
    }

    /// The earliest time of a further attempt, after so many, the last of which was sent at one time and has
    /// come back at another. A copy of an attempt that was cut goes a set time after that one was sent; it
    /// never goes while that one is out, as nothing asks before it has come back.
    pub fn next_attempt(&self, attempts: u32, sent: Micros, back: Micros, cut: bool) -> Micros {
        match self.hedge_after.filter(|_| cut) {
            Some(after) => sent.saturating_add(after),
            None => back.saturating_add(self.pause_after(attempts)),
        }
    }
}
