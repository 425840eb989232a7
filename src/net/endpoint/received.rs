//! The responses that arrived after the request of a call, and which of them is the call's own.

use super::response::{find_batch_result, parse_retry_after, Response};
use crate::invariants::{
    Attribution, CallResponses, EarlierResponses, NamedMessages, ResponseDigest, ResponseFacts,
    ResponseIdentity,
};
use crate::net::call::{Attempt, AttemptResult, Call, CallResult};
use crate::net::http::ResponseHead;
use crate::net::messages::ResponseTime;
use crate::{MessageId, Micros, Outcome};

/// A response that arrived after the request of a call.
struct Received {
    /// From the end of the request to the head of the response, in microseconds.
    elapsed: Micros,
    /// The retry-after in its head, in microseconds.
    retry_after: Option<Micros>,
    /// The complete response; `None` if only its status or its head is known.
    response: Option<Response>,
    /// The lines of an incomplete body that are complete.
    partial_body: String,
}

/// The call's own response, as far as it is known.
pub(super) struct OwnResponse<'a> {
    /// The status code.
    pub status: u16,
    /// The complete response; `None` if only its status or its head is known.
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

/// A response that is not the call's own.
pub(super) struct StrayFacts {
    /// The status code.
    pub status: u16,
    /// From the end of the request to the head of the response, in microseconds.
    pub elapsed: Micros,
}

/// The digest of the head of a response.
pub(super) fn head_digest(head: &ResponseHead) -> ResponseDigest {
    ResponseDigest::of(&(head.status, &head.headers))
}

/// The digest of a complete response.
pub(super) fn response_digest(response: &Response) -> ResponseDigest {
    ResponseDigest::of(&(head_digest(&response.head), &response.body))
}

/// The responses that arrived after the request of a call, in the order of arrival.
#[derive(Default)]
pub(super) struct ReceivedResponses {
    /// What is known of each, by which it is attributed.
    facts: CallResponses,
    /// The responses themselves.
    received: Vec<Received>,
}

impl ReceivedResponses {
    /// No responses yet. `earlier` is what the connection has carried before.
    pub fn new(earlier: EarlierResponses) -> Self {
        ReceivedResponses { facts: CallResponses::new(earlier), received: Vec::new() }
    }

    /// What is known of the responses.
    pub fn facts(&self) -> &CallResponses {
        &self.facts
    }

    /// Adds a response whose head was read, `elapsed` microseconds after the request was written.
    pub fn add_head(&mut self, call: &Call, head: &ResponseHead, elapsed: Micros) {
        let identity = ResponseIdentity::Head(head_digest(head));
        let named_messages = unread_names(call, head.status);
        self.facts.push(ResponseFacts { status: head.status, identity, named_messages });
        let retry_after = parse_retry_after(head);
        self.received.push(Received { elapsed, retry_after, response: None, partial_body: String::new() });
    }

    /// Adds a response of which only the status line could be read.
    pub fn add_status(&mut self, call: &Call, status: u16, elapsed: Micros) {
        let identity = ResponseIdentity::Status(status);
        self.facts.push(ResponseFacts { status, identity, named_messages: unread_names(call, status) });
        let partial_body = String::new();
        self.received.push(Received { elapsed, retry_after: None, response: None, partial_body });
    }

    /// Adds what was received of the body of the response that was added last, and that will not be complete.
    pub fn add_partial_body(&mut self, body: &[u8]) {
        let Some(received) = self.received.last_mut() else { return };
        let complete_lines = body.iter().rposition(|byte| *byte == b'\n').map_or(0, |index| index + 1);
        received.partial_body = String::from_utf8_lossy(&body[..complete_lines]).into_owned();
    }

    /// Completes the response that was added last.
    pub fn complete_last(&mut self, call: &Call, mut response: Response) {
        let named = named_messages(call, &response, self.facts.earlier());
        if let Some((facts, received)) = self.facts.last_mut().zip(self.received.last_mut()) {
            facts.identity = ResponseIdentity::Complete(response_digest(&response));
            facts.named_messages = named;
            if !names_messages(call, response.head.status) {
                response.drop_body();
            }
            received.response = Some(response);
        }
    }

    fn own_index(&self) -> Option<usize> {
        match self.facts.attribution() {
            Attribution::Proven(index) | Attribution::Probable(index) => Some(index),
            Attribution::Undecided | Attribution::Contradictory => None,
        }
    }

    /// The call's own response; `None` if none can be attributed to the call.
    pub fn own(&self) -> Option<OwnResponse<'_>> {
        let index = self.own_index()?;
        let Received { elapsed, response, .. } = &self.received[index];
        let status = self.facts.responses()[index].status;
        let is_proven = matches!(self.facts.attribution(), Attribution::Proven(_));
        Some(OwnResponse { status, response: response.as_ref(), elapsed: *elapsed, is_proven })
    }

    /// The result of a call none of whose responses is certainly its own and complete. The messages of which a response says
    /// that they have ended end unconfirmed, and the attempts of the others end with `outcome`; `None` if there is no such
    /// message.
    pub fn unproven_end(&self, call: &Call, outcome: Outcome) -> Option<CallResult> {
        let plain_end = self.facts.may_have_ended().then(|| self.facts.unproven_outcome());
        let result_of = |attempt: &Attempt| {
            let ended = plain_end.or_else(|| self.partial_end(attempt));
            ended.map_or(AttemptResult::from_outcome(outcome), AttemptResult::ended)
        };
        let attempts: Vec<_> = call.attempts.iter().map(result_of).collect();
        let ends_messages = attempts.iter().any(|result| result.completes_message);
        let result =
            CallResult { attempts, report: None, retry_after: self.retry_after(), unconfirmed: true };
        ends_messages.then_some(result)
    }

    /// How an attempt has ended its message according to an incomplete body; `None` if that does not say so.
    fn partial_end(&self, attempt: &Attempt) -> Option<Outcome> {
        let request_id = &attempt.message.request.request_id;
        let bodies = self.received.iter().map(|received| received.partial_body.as_str());
        let mut results = bodies.filter_map(|body| find_batch_result(body, request_id));
        results.find(|result| result.completes_message).map(|result| result.outcome)
    }

    /// The complete response with this index; `None` if only its head or its status is known.
    pub fn response(&self, index: usize) -> Option<&Response> {
        self.received.get(index)?.response.as_ref()
    }

    /// The longest retry-after of all responses, in microseconds. Obeying that of a copy as well does no harm.
    pub fn retry_after(&self) -> Option<Micros> {
        self.received.iter().filter_map(|received| received.retry_after).max()
    }

    /// How many heads of responses were read.
    pub fn len(&self) -> usize {
        self.received.len()
    }

    /// Whether no head of a response was read.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// The responses that are not the call's own.
    pub fn strays(&self) -> Vec<StrayFacts> {
        let own = self.own_index();
        let received = self.facts.responses().iter().zip(&self.received).enumerate();
        let strays = received.filter(|(index, _)| Some(*index) != own);
        strays
            .map(|(_, (facts, stray))| StrayFacts { status: facts.status, elapsed: stray.elapsed })
            .collect()
    }

    /// Whether more than one response arrived, so that at least one of them is a stray.
    pub fn has_strays(&self) -> bool {
        self.received.len() > 1
    }
}

/// Whether the body of a response with this status names the messages of the call.
fn names_messages(call: &Call, status: u16) -> bool {
    call.attempts.len() > 1 && status == 200
}

/// What is known of the messages in the body of a response with this status before the body is read.
fn unread_names(call: &Call, status: u16) -> NamedMessages {
    match names_messages(call, status) {
        true => NamedMessages::Incomplete,
        false => NamedMessages::Unspecified,
    }
}

/// What the body of a response says about the messages of a call.
fn named_messages(call: &Call, response: &Response, earlier: &EarlierResponses) -> NamedMessages {
    if !names_messages(call, response.head.status) {
        return NamedMessages::Unspecified;
    }
    let mut named = named_results(call, response).peekable();
    if named.peek().is_none() {
        return NamedMessages::Others;
    }
    match named.any(|(message, ended)| ended || !earlier.has_unended(message)) {
        true => NamedMessages::Unprecedented,
        false => NamedMessages::Repeated,
    }
}

/// The messages of a call that the body of its response names, each with whether it has ended.
fn named_results<'a>(
    call: &'a Call,
    response: &'a Response,
) -> impl Iterator<Item = (MessageId, bool)> + use<'a> {
    let body = String::from_utf8_lossy(&response.body);
    call.attempts.iter().filter_map(move |attempt| {
        let result = find_batch_result(&body, &attempt.message.request.request_id)?;
        Some((attempt.message.id, result.completes_message))
    })
}

/// The messages of a call that its response names without saying that they have ended.
pub(super) fn unended_messages(call: &Call, response: &Response) -> Vec<MessageId> {
    if !names_messages(call, response.head.status) {
        return Vec::new();
    }
    named_results(call, response).filter(|(_, ended)| !ended).map(|(message, _)| message).collect()
}
