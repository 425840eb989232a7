//! One attempt at an endpoint: a call of one message, or of several that share it.

use crate::net::in_flight::InFlightMessage;
use crate::{EndpointId, LoadReport, MessageId, Micros, Outcome};
use async_channel::Receiver;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::rc::Rc;

/// A message in a call.
#[derive(Clone)]
pub struct Attempt {
    /// Which message.
    pub message: Rc<InFlightMessage>,
    /// Which attempt of it, from 0.
    pub number: u32,
    /// When this attempt is abandoned.
    pub timeout_at: Micros,
    /// Its first byte must not be written later.
    pub send_by: Micros,
    /// The message's time is up then: it will not be sent again.
    pub final_attempt: bool,
}

/// A call that the module has decided on.
pub struct Call {
    /// Where to.
    pub endpoint: EndpointId,
    /// What it carries; at least one.
    pub attempts: Vec<Attempt>,
    /// When the module decided on it.
    pub sent: Micros,
    /// Closed when the call is called off.
    pub cancelled: Receiver<()>,
}

impl Call {
    /// A call; the message with the most time left is named first, as its time is taken for the call's. Guards against an answer
    /// that comes once that is up: partners that hang named others as delivered then that were not.
    pub fn new(
        endpoint: EndpointId,
        mut attempts: Vec<Attempt>,
        sent: Micros,
        cancelled: Receiver<()>,
    ) -> Self {
        attempts.sort_by_key(|p| Reverse(p.timeout_at));
        Call { endpoint, attempts, sent, cancelled }
    }

    /// When the part is abandoned that is abandoned first, of those that are still waited for.
    pub fn first_timeout(&self, waited_for: &[bool]) -> Micros {
        let parts = self.attempts.iter().zip(waited_for).filter(|p| *p.1);
        parts.map(|p| p.0.timeout_at).min().unwrap_or(0)
    }

    /// Up to when the first byte may be written, for all parts.
    pub fn send_by(&self) -> Micros {
        self.attempts.iter().map(|p| p.send_by).min().unwrap_or(0)
    }

    /// When the last part is abandoned.
    pub fn last_timeout(&self) -> Micros {
        self.attempts.iter().map(|p| p.timeout_at).max().unwrap_or(0)
    }

    /// The parts that can be abandoned at a time while the call goes on for the others, if that is so for all
    /// that are due. A part may be reported while its call is out only if it is never sent again: when its
    /// own time is up. Guards against cutting a whole call, over and over, for one message at its deadline.
    pub fn expired(&self, now: Micros, waited_for: &[bool]) -> Option<Vec<usize>> {
        let waited: Vec<usize> = (0..self.attempts.len()).filter(|i| waited_for[*i]).collect();
        let due: Vec<usize> =
            waited.iter().copied().filter(|i| self.attempts[*i].timeout_at <= now).collect();
        let alone = !due.is_empty()
            && due.len() < waited.len()
            && due.iter().all(|i| self.attempts[*i].final_attempt);
        alone.then_some(due)
    }

    /// How it came out, in a form that may pass to another process.
    pub fn completed(&self, ended: CallResult) -> CallCompletion {
        let parts = self.attempts.iter().map(|p| (p.message.id, p.number)).collect();
        CallCompletion { endpoint: self.endpoint, sent: self.sent, attempts: parts, result: ended }
    }

    /// The same call with some of its parts only.
    pub fn with(&self, parts: &[usize]) -> Call {
        let parts = parts.iter().map(|i| self.attempts[*i].clone()).collect();
        Call { attempts: parts, cancelled: self.cancelled.clone(), ..*self }
    }
}

/// How one message of a call came out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// Nothing more is owed for the message.
    pub ended: bool,
}

impl AttemptResult {
    /// An end after which the message is still owed its own, unless it was delivered.
    pub fn of(outcome: Outcome) -> Self {
        AttemptResult { outcome, ended: outcome == Outcome::Ok }
    }
}

/// How a call came out.
#[derive(Serialize, Deserialize)]
pub struct CallResult {
    /// One for each part, in order.
    #[serde(rename = "ends")]
    pub attempts: Vec<AttemptResult>,
    /// What the answer tells of the limit.
    pub report: Option<LoadReport>,
    /// A wait that it tells.
    #[serde(rename = "wait")]
    pub retry_after: Option<Micros>,
}

impl CallResult {
    /// All parts came out alike, and nothing else was told.
    pub fn same_for_all(parts: usize, end: AttemptResult) -> Self {
        CallResult { attempts: vec![end; parts], report: None, retry_after: None }
    }
}

/// A call that has come out.
#[derive(Serialize, Deserialize)]
pub struct CallCompletion {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When the module decided on it.
    pub sent: Micros,
    /// The messages that it carried, each with the number of the attempt.
    #[serde(rename = "parts")]
    pub attempts: Vec<(MessageId, u32)>,
    /// How.
    #[serde(rename = "ended")]
    pub result: CallResult,
}
