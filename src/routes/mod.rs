//! Timeouts, limits of attempts, pauses and the times after which messages are abandoned, per route. A route matches
//! messages by their destination, its kind and the message's class. The delivery policy looks up the timing here;
//! health, rate and the choice of the endpoint are decided elsewhere. This module does no I/O and takes time as an
//! argument.
//!
//! `docs/routes.md` compares the design alternatives; `docs/operating-routes.md` is the guide for operators.

mod check;
mod check_timing;
mod table;
mod timeline;

use crate::config_error::{Located, Position};
use crate::settings_json::Names;
use crate::{DestinationId, Micros, Settings};

pub use check::check_routes;
pub use table::{Route, RouteId, RouteTable};
pub use timeline::{worst_case, WorstCaseAttempt};

/// The most attempts that a message may have, whatever the settings allow. It is a rule of the platform.
pub const MAX_ATTEMPTS_PER_MESSAGE: u32 = 12;

/// The pauses between attempts of a parsed route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParsedPause {
    /// The pause before the second attempt; it doubles before each further one.
    pub first: Located<Micros>,
    /// The limit of the doubled pauses.
    pub max: Located<Micros>,
}

/// The match of a parsed route. It matches a message if all given criteria hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedMatch {
    /// The position of the `match` map in the file.
    pub at: Position,
    /// The destinations of which the message must have one; `None` for any destination.
    pub destinations: Option<Vec<Located<DestinationId>>>,
    /// The name of the destination's kind; `None` for any kind.
    pub kind: Option<Located<String>>,
    /// The name of the message's class; `None` for any class.
    pub class: Option<Located<String>>,
}

/// A parsed route of the `routes` section, not yet checked. Values that it leaves out are `None`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedRoute {
    /// The position of the route in the file.
    pub at: Position,
    /// The name of the route, for operators.
    pub name: Located<String>,
    /// The messages to which the route applies.
    pub matches: ParsedMatch,
    /// The longest time that one attempt may be in flight.
    pub timeout: Option<Located<Micros>>,
    /// The most attempts, including the first.
    pub attempts: Option<Located<u64>>,
    /// The pauses between attempts; `None` if the route sets none.
    pub pause: Option<ParsedPause>,
    /// Time from the start of an attempt that was cut short to its retry at another endpoint: see
    /// [`RouteTiming::hedge_after`].
    pub hedge_after: Option<Located<Micros>>,
    /// Time from the receipt of a message to its abandonment.
    pub abandon_after: Option<Located<Micros>>,
    /// Whether all values could be read, so that they can be checked against each other.
    pub is_complete: bool,
}

/// The platform's settings with the names of its classes and kinds; the routes are checked against them.
#[derive(Clone, Copy)]
pub struct NamedSettings<'a> {
    /// The limits of attempts, and the properties of the classes and kinds.
    pub settings: &'a Settings,
    /// The names of the classes and kinds.
    pub names: &'a Names,
}

/// The pauses between attempts; both are 0 by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryPause {
    /// The pause before the second attempt, in microseconds; it doubles before each further one.
    pub first: Micros,
    /// The longest pause, in microseconds.
    pub max: Micros,
}

/// The timing that a route sets for a message. The delivery policy decides each value that is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteTiming {
    /// The longest time that one attempt may be in flight.
    pub timeout: Option<Micros>,
    /// The most attempts, including the first.
    pub attempts: Option<u32>,
    /// The pauses between attempts; `None` if the route sets none.
    pub pause: Option<RetryPause>,
    /// Time from the start of an attempt that timed out or was cancelled to the start of its retry, which goes to another
    /// endpoint if one is healthy. Unlike a hedged request in the usual sense, the retry never starts while that attempt is
    /// in flight. `None`: the retry follows after the pause, to any endpoint.
    pub hedge_after: Option<Micros>,
    /// Time from the receipt of a message to its abandonment.
    pub abandon_after: Option<Micros>,
}

impl RouteTiming {
    /// The timeout of an attempt: the route's, or else the policy's adaptive one.
    pub fn attempt_timeout(&self, adaptive: Micros) -> Micros {
        self.timeout.unwrap_or(adaptive)
    }

    /// The most attempts: the smaller of the route's limit and the one in the settings.
    pub fn max_attempts(&self, allowed: u32) -> u32 {
        self.attempts.map_or(allowed, |attempts| attempts.min(allowed))
    }

    /// When a message is abandoned: at its deadline, or earlier if the route says so.
    pub fn ends_at(&self, received_at: Micros, deadline: Micros) -> Micros {
        self.abandon_after.map_or(deadline, |after| deadline.min(received_at.saturating_add(after)))
    }

    /// The pause after the given number of attempts; 0 if the route sets none.
    pub fn pause_after(&self, attempts: u32) -> Micros {
        let pause = self.pause.unwrap_or_default();
        let factor = 1u64.checked_shl(attempts.saturating_sub(1)).unwrap_or(u64::MAX);
        pause.first.saturating_mul(factor).min(pause.max)
    }

    /// The earliest time of the next attempt, from the number of attempts so far and from when the last one was sent
    /// and ended. If the last one was cut short (it timed out or was cancelled) and the route sets
    /// [`RouteTiming::hedge_after`], the retry follows that time after the last attempt was sent. It is never sent
    /// while that attempt is in flight, because this method is only called after the attempt has ended.
    pub fn next_attempt(&self, attempts: u32, sent_at: Micros, ended_at: Micros, cut_short: bool) -> Micros {
        match self.hedge_after.filter(|_| cut_short) {
            Some(after) => sent_at.saturating_add(after),
            None => ended_at.saturating_add(self.pause_after(attempts)),
        }
    }
}
