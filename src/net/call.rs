//! Calls to endpoints, each of which carries one attempt or several, and their completions.

use crate::net::in_flight::InFlightMessage;
use crate::{EndpointId, LoadReport, MessageId, Micros, Outcome};
use async_channel::Receiver;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::rc::Rc;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(MessageId, u32)", into = "(MessageId, u32)")]
pub struct AttemptId {
    /// The message that is delivered.
    pub message: MessageId,
    /// The number of the attempt, counted from 0 for each message.
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

/// An attempt to deliver a message, as part of a call. Its times are in microseconds of the monotonic clock.
#[derive(Clone)]
pub struct Attempt {
    /// The message that is delivered.
    pub message: Rc<InFlightMessage>,
    /// The number of the attempt, counted from 0 for each message.
    pub number: u32,
    /// When the attempt times out.
    pub timeout_at: Micros,
    /// The first byte of the attempt must be written before this time.
    pub send_by: Micros,
    /// Whether `timeout_at` is the message's deadline, so that no other attempt can follow.
    pub final_attempt: bool,
}

impl Attempt {
    /// The id of the attempt.
    pub fn id(&self) -> AttemptId {
        AttemptId { message: self.message.id, number: self.number }
    }
}

/// A call that the policy has decided on.
pub struct Call {
    /// The endpoint that is called.
    pub endpoint: EndpointId,
    /// The attempts that share the call; at least one.
    pub attempts: Vec<Attempt>,
    /// When the policy decided on the call, in microseconds of the monotonic clock.
    pub decided_at: Micros,
    /// This channel is closed to cancel the call.
    pub cancelled: Receiver<()>,
}

impl Call {
    /// Creates a call. The attempt with the latest timeout comes first, because the endpoint takes the first deadline
    /// for that of the whole call. When an earlier deadline came first, endpoints that hung responded after that
    /// deadline and reported messages as delivered that were not.
    pub fn new(
        endpoint: EndpointId,
        mut attempts: Vec<Attempt>,
        decided_at: Micros,
        cancelled: Receiver<()>,
    ) -> Self {
        attempts.sort_by_key(|attempt| Reverse(attempt.timeout_at));
        Call { endpoint, attempts, decided_at, cancelled }
    }

    /// The earliest timeout of the attempts whose result is still to be reported, in microseconds of the monotonic
    /// clock; 0 if there is none. `unreported_attempts` tells for each attempt, in order, whether it is one of them.
    pub fn first_timeout(&self, unreported_attempts: &[bool]) -> Micros {
        let unreported = self.attempts.iter().zip(unreported_attempts).filter(|(_, unreported)| **unreported);
        unreported.map(|(attempt, _)| attempt.timeout_at).min().unwrap_or(0)
    }

    /// The time before which the first byte must be written: the earliest `send_by` of all attempts, in microseconds
    /// of the monotonic clock.
    pub fn send_by(&self) -> Micros {
        self.attempts.iter().map(|attempt| attempt.send_by).min().unwrap_or(0)
    }

    /// The latest timeout of all attempts, in microseconds of the monotonic clock.
    pub fn last_timeout(&self) -> Micros {
        self.attempts.iter().map(|attempt| attempt.timeout_at).max().unwrap_or(0)
    }

    /// The indices of the unreported attempts that have timed out and can be reported now, while the call continues
    /// for the others. `None` if the whole call must end: either all unreported attempts have timed out, or one that
    /// has is not its message's final attempt, and the message must not be sent again while this call is in flight.
    /// If a call always ended at its first timeout, one message at its deadline would end the attempts of all others,
    /// again and again.
    pub fn expired_attempts(&self, now: Micros, unreported_attempts: &[bool]) -> Option<Vec<usize>> {
        let unreported_indices: Vec<usize> =
            (0..self.attempts.len()).filter(|index| unreported_attempts[*index]).collect();
        let is_due = |index: &usize| self.attempts[*index].timeout_at <= now;
        let due_indices: Vec<usize> = unreported_indices.iter().copied().filter(is_due).collect();
        let others_remain = !due_indices.is_empty() && due_indices.len() < unreported_indices.len();
        let all_final = due_indices.iter().all(|index| self.attempts[*index].final_attempt);
        (others_remain && all_final).then_some(due_indices)
    }

    /// The completion of the call, in a form that can be sent to another process.
    pub fn completion(&self, result: CallResult) -> CallCompletion {
        let attempts = self.attempts.iter().map(Attempt::id).collect();
        CallCompletion { endpoint: self.endpoint, decided_at: self.decided_at, attempts, result }
    }

    /// A copy of the call with only the attempts at these indices.
    pub fn with_attempts(&self, indices: &[usize]) -> Call {
        let attempts = indices.iter().map(|index| self.attempts[*index].clone()).collect();
        Call { attempts, cancelled: self.cancelled.clone(), ..*self }
    }
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptResult {
    /// The outcome of the attempt, as the policy receives it.
    pub outcome: Outcome,
    /// Whether the message ends with this attempt, because the endpoint has accepted it or reported it as expired.
    #[serde(rename = "ended")]
    pub completes_message: bool,
}

impl AttemptResult {
    /// A result that completes the message only if the outcome is a delivery.
    pub fn from_outcome(outcome: Outcome) -> Self {
        AttemptResult { outcome, completes_message: outcome == Outcome::Ok }
    }

    /// A result that completes the message.
    pub fn ended(outcome: Outcome) -> Self {
        AttemptResult { outcome, completes_message: true }
    }
}

/// The result of a call.
#[derive(Clone, Serialize, Deserialize)]
pub struct CallResult {
    /// The results of the attempts, in their order in the call.
    #[serde(rename = "ends")]
    pub attempts: Vec<AttemptResult>,
    /// The endpoint's load report; `None` if the response has no valid one.
    pub report: Option<LoadReport>,
    /// The retry-after of the response, in microseconds.
    #[serde(rename = "wait")]
    pub retry_after: Option<Micros>,
    /// Whether the messages that end with the call end unconfirmed: the response that says so may be a copy of an earlier one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unconfirmed: bool,
}

impl CallResult {
    /// The same result for each of `attempts` attempts, without a load report or a retry-after.
    pub fn same_for_all(attempts: usize, result: AttemptResult) -> Self {
        CallResult { attempts: vec![result; attempts], report: None, retry_after: None, unconfirmed: false }
    }

    /// The result of `attempts` attempts whose messages end unconfirmed: with [`Outcome::Ok`] they were probably delivered, and
    /// with [`Outcome::NotSent`] they are probably over.
    pub fn ended_unconfirmed(attempts: usize, outcome: Outcome) -> Self {
        CallResult { unconfirmed: true, ..CallResult::same_for_all(attempts, AttemptResult::ended(outcome)) }
    }
}

/// The completion of a call. A predecessor sends it to its successor as well: the monotonic clock shows the same time in
/// all processes of a machine.
#[derive(Clone, Serialize, Deserialize)]
pub struct CallCompletion {
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// When the policy decided on the call, in microseconds of the monotonic clock.
    #[serde(rename = "sent")]
    pub decided_at: Micros,
    /// The attempts that the call carried.
    #[serde(rename = "parts")]
    pub attempts: Vec<AttemptId>,
    /// The results of these attempts, with the load report and the retry-after of the response.
    #[serde(rename = "ended")]
    pub result: CallResult,
}

impl CallCompletion {
    /// Whether a message ends with the call.
    pub fn ends_messages(&self) -> bool {
        self.ended_attempts().next().is_some()
    }

    /// The attempts with which their messages end.
    pub fn ended_attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        let results = self.attempts.iter().zip(&self.result.attempts);
        results.filter(|(_, result)| result.completes_message).map(|(attempt, _)| *attempt)
    }

    /// The messages that end unconfirmed with the call.
    pub fn unconfirmed_messages(&self) -> Vec<MessageId> {
        match self.result.unconfirmed {
            true => self.ended_attempts().map(|attempt| attempt.message).collect(),
            false => Vec::new(),
        }
    }
}
