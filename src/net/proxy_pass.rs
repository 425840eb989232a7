//! One attempt at an endpoint: a call of one message, or of several that share it.

use super::transaction::Transaction;
use crate::{EndpointId, LimitReport, Micros, Outcome};
use std::rc::Rc;

/// A message in a call.
pub struct Part {
    /// Which message.
    pub transaction: Rc<Transaction>,
    /// Which attempt of it, from 0.
    pub attempt: u32,
    /// When this attempt is abandoned.
    pub cut_at: Micros,
}

/// A call that the module has decided on.
pub struct Pass {
    /// Where to.
    pub endpoint: EndpointId,
    /// What it carries; at least one.
    pub parts: Vec<Part>,
    /// When the module decided on it.
    pub sent: Micros,
    /// Closed when the call is called off.
    pub called_off: async_channel::Receiver<()>,
}

impl Pass {
    /// The time at which the call is dropped: that of the part that is abandoned first, as none may be
    /// reported while the call is still out.
    pub fn cut_at(&self) -> Micros {
        self.parts.iter().map(|p| p.cut_at).min().unwrap_or(0)
    }
}

/// How one message of a call came out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// Its outcome.
    pub outcome: Outcome,
    /// Nothing more is owed for the message.
    pub ended: bool,
}

impl End {
    /// An end after which the message is still owed its own, unless it was delivered.
    pub fn of(outcome: Outcome) -> Self {
        End { outcome, ended: outcome == Outcome::Ok }
    }
}

/// How a call came out.
pub struct Ended {
    /// One for each part, in order.
    pub ends: Vec<End>,
    /// What the answer tells of the limit.
    pub report: Option<LimitReport>,
    /// A wait that it tells.
    pub wait: Option<Micros>,
}

impl Ended {
    /// All parts came out alike, and nothing else was told.
    pub fn alike(parts: usize, end: End) -> Self {
        Ended { ends: vec![end; parts], report: None, wait: None }
    }
}
