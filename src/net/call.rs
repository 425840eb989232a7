//! A call to an endpoint, with one attempt or with several that share it, and its completion.

use crate::net::in_flight::InFlightMessage;
use crate::{EndpointId, LoadReport, MessageId, Micros, Outcome};
use async_channel::Receiver;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::rc::Rc;

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(MessageId, u32)", into = "(MessageId, u32)")]
pub struct AttemptId {
    /// The message.
    pub message: MessageId,
    /// Which attempt of it, from 0.
    pub number: u32,
}

impl From<(MessageId, u32)> for AttemptId {
    fn from((message, number): (MessageId, u32)) -> Self {
        AttemptId { message, number }
    }
}

impl From<AttemptId> for (MessageId, u32) {
    fn from(attempt: AttemptId) -> Self {
        (attempt.message, attempt.number)
    }
}

/// An attempt to deliver a message, as a call carries it.
#[derive(Clone)]
pub struct Attempt {
    /// The message.
    pub message: Rc<InFlightMessage>,
    /// Which attempt of it, from 0.
    pub number: u32,
    /// When this attempt is abandoned.
    pub timeout_at: Micros,
    /// Its first byte must not be written later.
    pub send_by: Micros,
    /// The message's deadline is its timeout: it will not be sent again.
    pub final_attempt: bool,
}

impl Attempt {
    /// Its name.
    pub fn id(&self) -> AttemptId {
        AttemptId { message: self.message.id, number: self.number }
    }
}

/// A call that the policy has decided on.
pub struct Call {
    /// Where to.
    pub endpoint: EndpointId,
    /// What it carries; at least one.
    pub attempts: Vec<Attempt>,
    /// When the policy decided on it.
    pub sent: Micros,
    /// Closed when the call is cancelled.
    pub cancelled: Receiver<()>,
}

impl Call {
    /// A call. The attempt with the latest timeout is named first, as the endpoint takes its deadline for the call's. Guards
    /// against a response that comes after that: endpoints that hung then reported others as delivered that were not.
    pub fn new(
        endpoint: EndpointId,
        mut attempts: Vec<Attempt>,
        sent: Micros,
        cancelled: Receiver<()>,
    ) -> Self {
        attempts.sort_by_key(|attempt| Reverse(attempt.timeout_at));
        Call { endpoint, attempts, sent, cancelled }
    }

    /// The first timeout of the attempts that are still open; `open_attempts` has an entry for each attempt.
    pub fn first_timeout(&self, open_attempts: &[bool]) -> Micros {
        let open = self.attempts.iter().zip(open_attempts).filter(|(_, open)| **open);
        open.map(|(attempt, _)| attempt.timeout_at).min().unwrap_or(0)
    }

    /// Up to when the first byte may be written, for all attempts.
    pub fn send_by(&self) -> Micros {
        self.attempts.iter().map(|attempt| attempt.send_by).min().unwrap_or(0)
    }

    /// When the last attempt is abandoned.
    pub fn last_timeout(&self) -> Micros {
        self.attempts.iter().map(|attempt| attempt.timeout_at).max().unwrap_or(0)
    }

    /// The indices of the open attempts that can be abandoned now while the call goes on for the others; `None` if one of those
    /// that are due may be sent again. An attempt may be reported while its call is in flight only if it is its message's last.
    /// Guards against abandoning a complete call, over and over, for one message at its deadline.
    pub fn expired(&self, now: Micros, open_attempts: &[bool]) -> Option<Vec<usize>> {
        let open: Vec<usize> = (0..self.attempts.len()).filter(|index| open_attempts[*index]).collect();
        let is_due = |index: &usize| self.attempts[*index].timeout_at <= now;
        let due: Vec<usize> = open.iter().copied().filter(is_due).collect();
        let goes_on = !due.is_empty() && due.len() < open.len();
        let all_final = due.iter().all(|index| self.attempts[*index].final_attempt);
        (goes_on && all_final).then_some(due)
    }

    /// Its completion, in a form that another process can read.
    pub fn completed(&self, result: CallResult) -> CallCompletion {
        let attempts = self.attempts.iter().map(Attempt::id).collect();
        CallCompletion { endpoint: self.endpoint, sent: self.sent, attempts, result }
    }

    /// The same call with the attempts of these indices only.
    pub fn with(&self, indices: &[usize]) -> Call {
        let attempts = indices.iter().map(|index| self.attempts[*index].clone()).collect();
        Call { attempts, cancelled: self.cancelled.clone(), ..*self }
    }
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// Nothing more is owed for the message.
    pub ended: bool,
}

impl AttemptResult {
    /// A result after which more is owed for the message, unless it was delivered.
    pub fn of(outcome: Outcome) -> Self {
        AttemptResult { outcome, ended: outcome == Outcome::Ok }
    }
}

/// The result of a call.
#[derive(Serialize, Deserialize)]
pub struct CallResult {
    /// One for each attempt, in order.
    #[serde(rename = "ends")]
    pub attempts: Vec<AttemptResult>,
    /// The endpoint's load, as its response reports it.
    pub report: Option<LoadReport>,
    /// The wait that the response asks for.
    #[serde(rename = "wait")]
    pub retry_after: Option<Micros>,
}

impl CallResult {
    /// The same result for so many attempts, without a load report or a wait.
    pub fn same_for_all(attempts: usize, result: AttemptResult) -> Self {
        CallResult { attempts: vec![result; attempts], report: None, retry_after: None }
    }
}

/// A call that is complete.
#[derive(Serialize, Deserialize)]
pub struct CallCompletion {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When the policy decided on it.
    pub sent: Micros,
    /// The attempts that it carried.
    #[serde(rename = "parts")]
    pub attempts: Vec<AttemptId>,
    /// Its result.
    #[serde(rename = "ended")]
    pub result: CallResult,
}
