//! Per-route timing: how long an attempt may take, how many there are, what lies between them and when a message
//! is given up, by destination, kind and class. It decides nothing about health, pace or place, does no I/O and
//! takes time as an argument; the decision module asks it.
//!
//! `docs/routes.md` weighs the ways; `docs/operating-routes.md` is for operators.

mod check;
mod plan;
mod timeline;

use crate::config_error::{Located, Position};
use crate::settings_json::Names;
use crate::{DestinationId, Micros, Settings};

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
    /// Where it begins.
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
    /// Where it begins.
    pub at: Position,
    /// What operators call it.
    pub name: Located<String>,
    /// Which messages it is for.
    pub matches: WrittenMatch,
    /// How long one attempt may be out.
    pub timeout: Option<Located<Micros>>,
    /// Attempts, the first one included.
    pub attempts: Option<Located<u64>>,
    /// Before a further attempt.
    pub pause: Option<WrittenPause>,
    /// From the begin of an attempt that was cut to the begin of its copy at another endpoint.
    pub hedge_after: Option<Located<Micros>>,
    /// From the time that a message was handed in to its end.
    pub abandon_after: Option<Located<Micros>>,
    /// All of it could be read: its figures can be held against each other.
    pub is_complete: bool,
}

/// What the platform's settings say; entries are held against it.
#[derive(Clone, Copy)]
pub struct Platform<'a> {
    /// Attempts, classes, kinds.
    pub settings: &'a Settings,
    /// What classes and kinds are called.
    pub names: &'a Names,
}

/// What an entry sets for a message. What it leaves out stays with the module.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// How long one attempt may be out.
    pub timeout: Option<Micros>,
    /// Attempts, the first one included.
    pub attempts: Option<u32>,
    /// The pause before the second attempt, and the longest one.
    pub pause: Option<(Micros, Micros)>,
    /// From the begin of an attempt that was cut to the begin of its copy at another endpoint.
    pub hedge_after: Option<Micros>,
    /// From the time that a message was handed in to its end.
    pub abandon_after: Option<Micros>,
}

impl Timing {
    /// How long an attempt may be out, given what the module would allow it.
    pub fn attempt_timeout(&self, adaptive: Micros) -> Micros {
        self.timeout.unwrap_or(adaptive)
    }

    /// The most attempts, given what the settings allow.
    pub fn max_attempts(&self, allowed: u32) -> u32 {
        self.attempts.map_or(allowed, |a| a.min(allowed))
    }

    /// When a message ends that was handed in and has its deadline at these times.
    pub fn ends_at(&self, handed_in: Micros, deadline: Micros) -> Micros {
        self.abandon_after.map_or(deadline, |g| deadline.min(handed_in.saturating_add(g)))
    }

    /// The pause after so many attempts.
    pub fn pause_after(&self, attempts: u32) -> Micros {
        let (first, longest) = self.pause.unwrap_or_default();
        let doubled = 1u64.checked_shl(attempts.saturating_sub(1)).unwrap_or(u64::MAX);
        first.saturating_mul(doubled).min(longest)
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
