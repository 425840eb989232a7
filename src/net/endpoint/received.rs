//! The responses that arrived after the request of a call, and which of them is the call's own.

use super::response::{parse_retry_after, Response};
use crate::invariants::{
    attribute, Attribution, NamedMessages, ResponseFacts, ResponseHistory, ResponseTimes,
};
use crate::net::call::Call;
use crate::net::http::ResponseHead;
use crate::net::messages::ResponseTime;
use crate::Micros;
use std::collections::BTreeSet;

/// A response to be attributed.
struct Received {
    facts: ResponseFacts,
    /// The retry-after in its head, in microseconds.
    retry_after: Option<Micros>,
    /// The complete response; `None` if only its status is known.
    response: Option<Response>,
}

/// The call's own response, as far as it is known.
pub(super) struct OwnResponse<'a> {
    /// The status code.
    pub status: u16,
    /// The complete response; `None` if only its status is known.
    pub response: Option<&'a Response>,
    /// From the end of the request to the head of the response, in microseconds.
    pub elapsed: Micros,
    /// Whether it is certain that it is the call's own. Otherwise it may be a copy of an earlier response.
    pub is_proven: bool,
}

impl OwnResponse<'_> {
    /// The time that the endpoint took for it.
    pub fn time(&self) -> ResponseTime {
        ResponseTime { status: self.status, elapsed: self.elapsed }
    }
}

/// The responses that arrived after the request of a call, in the order of arrival.
pub(super) struct ReceivedResponses {
    /// What the connection had carried before the call.
    history: ResponseHistory,
    times: ResponseTimes,
    /// Whether an endpoint may have processed a message of the call before.
    is_repeat: bool,
    received: Vec<Received>,
}

impl ReceivedResponses {
    /// No responses yet. `history` is what the connection has carried before, `times` is how long its endpoint takes.
    pub fn new(call: &Call, history: ResponseHistory, times: ResponseTimes) -> Self {
        let is_repeat = call.attempts.iter().any(|attempt| attempt.message.may_have_run());
        ReceivedResponses { history, times, is_repeat, received: Vec::new() }
    }

    /// Adds a response whose head was read, `elapsed` microseconds after the request was written.
    pub fn add_head(&mut self, head: &ResponseHead, elapsed: Micros) {
        let facts = ResponseFacts { announces_close: !head.keep_alive, ..self.facts(head.status, elapsed) };
        self.received.push(Received { facts, retry_after: parse_retry_after(head), response: None });
    }

    /// Adds a response of which only the status line could be read.
    pub fn add_status(&mut self, status: u16, elapsed: Micros) {
        let facts = self.facts(status, elapsed);
        self.received.push(Received { facts, retry_after: None, response: None });
    }

    fn facts(&self, status: u16, elapsed: Micros) -> ResponseFacts {
        ResponseFacts {
            status,
            elapsed,
            announces_close: false,
            is_repeat: self.is_repeat,
            named_messages: NamedMessages::Unspecified,
        }
    }

    /// Completes the response that was added last.
    pub fn complete_last(&mut self, call: &Call, response: Response) {
        if let Some(last) = self.received.last_mut() {
            last.facts.named_messages = named_messages(call, &response);
            last.response = Some(response);
        }
    }

    /// Which response is the call's own.
    pub fn attribution(&self) -> Attribution {
        let facts: Vec<ResponseFacts> = self.received.iter().map(|received| received.facts).collect();
        attribute(&self.history, &self.times, &facts)
    }

    /// The call's own response; `None` if none can be attributed to the call.
    pub fn own(&self) -> Option<OwnResponse<'_>> {
        let (index, is_proven) = match self.attribution() {
            Attribution::Proven(index) => (index, true),
            Attribution::Probable(index) => (index, false),
            Attribution::Undecided | Attribution::Contradictory => return None,
        };
        let Received { facts, response, .. } = &self.received[index];
        let ResponseFacts { status, elapsed, .. } = *facts;
        Some(OwnResponse { status, response: response.as_ref(), elapsed, is_proven })
    }

    /// The longest retry-after of all responses, in microseconds. Obeying that of a copy as well does no harm.
    pub fn retry_after(&self) -> Option<Micros> {
        self.received.iter().filter_map(|received| received.retry_after).max()
    }

    /// Whether no head of a response was read.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// The responses that are not the call's own.
    pub fn strays(&self) -> Vec<ResponseFacts> {
        let own = match self.attribution() {
            Attribution::Proven(index) | Attribution::Probable(index) => Some(index),
            Attribution::Undecided | Attribution::Contradictory => None,
        };
        let received = self.received.iter().enumerate();
        received.filter(|(index, _)| Some(*index) != own).map(|(_, stray)| stray.facts).collect()
    }

    /// Whether more than one response arrived, so that at least one of them is a stray.
    pub fn has_strays(&self) -> bool {
        self.received.len() > 1
    }
}

/// What the body of a response says about the messages of a call.
fn named_messages(call: &Call, response: &Response) -> NamedMessages {
    if call.attempts.len() == 1 || response.head.status != 200 {
        return NamedMessages::Unspecified;
    }
    let body = String::from_utf8_lossy(&response.body);
    let named: BTreeSet<&str> =
        body.lines().filter_map(|line| line.trim().split_once(' ')).map(|(id, _)| id).collect();
    let mut attempts =
        call.attempts.iter().filter(|a| named.contains(a.message.request.request_id.as_str())).peekable();
    if attempts.peek().is_none() {
        return NamedMessages::Others;
    }
    match attempts.any(|attempt| attempt.number == 0) {
        true => NamedMessages::FirstAttempt,
        false => NamedMessages::Repeated,
    }
}
