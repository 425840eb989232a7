//! One attempt at an endpoint: a call of one message, or of several that share it.

use crate::net::in_flight::Transaction;
use crate::{EndpointId, LimitReport, MessageId, Micros, Outcome};
use async_channel::Receiver;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::rc::Rc;

/// A message in a call.
#[derive(Clone)]
pub struct Part {
    /// Which message.
    pub transaction: Rc<Transaction>,
    /// Which attempt of it, from 0.
    pub attempt: u32,
    /// When this attempt is abandoned.
    pub cut_at: Micros,
    /// Its first byte must not be written later.
    pub send_by: Micros,
    /// The message's time is up then: it will not be sent again.
    pub last: bool,
}

/// A call that the module has decided on.
pub struct Call {
    /// Where to.
    pub endpoint: EndpointId,
    /// What it carries; at least one.
    pub parts: Vec<Part>,
    /// When the module decided on it.
    pub sent: Micros,
    /// Closed when the call is called off.
    pub called_off: Receiver<()>,
}

impl Call {
    /// A call; the message with the most time left is named first, as its time is taken for the call's. Guards against an answer
    /// that comes once that is up: partners that hang named others as delivered then that were not.
    pub fn new(endpoint: EndpointId, mut parts: Vec<Part>, sent: Micros, called_off: Receiver<()>) -> Self {
        parts.sort_by_key(|p| Reverse(p.cut_at));
        Call { endpoint, parts, sent, called_off }
    }

    /// When the part is abandoned that is abandoned first, of those that are still waited for.
    pub fn first_cut(&self, waited_for: &[bool]) -> Micros {
        let parts = self.parts.iter().zip(waited_for).filter(|p| *p.1);
        parts.map(|p| p.0.cut_at).min().unwrap_or(0)
    }

    /// Up to when the first byte may be written, for all parts.
    pub fn send_by(&self) -> Micros {
        self.parts.iter().map(|p| p.send_by).min().unwrap_or(0)
    }

    /// When the last part is abandoned.
    pub fn last_cut(&self) -> Micros {
        self.parts.iter().map(|p| p.cut_at).max().unwrap_or(0)
    }

    /// The parts that can be abandoned at a time while the call goes on for the others, if that is so for all
    /// that are due. A part may be reported while its call is out only if it is never sent again: when its
    /// own time is up. Guards against cutting a whole call, over and over, for one message at its deadline.
    pub fn lapsed(&self, now: Micros, waited_for: &[bool]) -> Option<Vec<usize>> {
        let waited: Vec<usize> = (0..self.parts.len()).filter(|i| waited_for[*i]).collect();
        let due: Vec<usize> = waited.iter().copied().filter(|i| self.parts[*i].cut_at <= now).collect();
        let alone = !due.is_empty() && due.len() < waited.len() && due.iter().all(|i| self.parts[*i].last);
        alone.then_some(due)
    }

    /// How it came out, in a form that may pass to another process.
    pub fn came(&self, ended: Ended) -> Came {
        let parts = self.parts.iter().map(|p| (p.transaction.id, p.attempt)).collect();
        Came { endpoint: self.endpoint, sent: self.sent, parts, ended }
    }

    /// The same call with some of its parts only.
    pub fn with(&self, parts: &[usize]) -> Call {
        let parts = parts.iter().map(|i| self.parts[*i].clone()).collect();
        Call { parts, called_off: self.called_off.clone(), ..*self }
    }
}

/// How one message of a call came out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
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
#[derive(Serialize, Deserialize)]
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

/// A call that has come out.
#[derive(Serialize, Deserialize)]
pub struct Came {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When the module decided on it.
    pub sent: Micros,
    /// The messages that it carried, each with the number of the attempt.
    pub parts: Vec<(MessageId, u32)>,
    /// How.
    pub ended: Ended,
}
