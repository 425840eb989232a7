//! Which of the responses that arrive on a connection belongs to the call in flight, and what they say about its messages.
//!
//! A response names no call; its place on the connection alone does not prove whose it is, because a second copy of an
//! earlier response may arrive after the next request, at any time. What proves it is that it can be no copy: the
//! connection is new, has carried no such response, or the response names a message in a way in which no earlier one can.
//! Any other response is only probably that of the call: the call's own may still follow.
//!
//! An endpoint answers the calls on a connection in order. While an earlier call may be unanswered, each response that is
//! not named may be the one still due to that call.
//!
//! A message of which a response says that it has ended, certainly or probably, is not called again: see
//! [`CallResponses::may_have_ended`].

use super::response_history::{ResponseHistory, ResponseIdentity};
use crate::{MessageId, Outcome};

/// What the body of a response says about the messages of the call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedMessages {
    /// The body names no messages, as the response to a call with one message.
    Unspecified,
    /// The body should name messages and is not complete.
    Incomplete,
    /// It names a message of the call in a way in which no earlier response on the connection can: none has named the message, or
    /// only this one says that it has ended.
    Unprecedented,
    /// All that it says of the messages of the call, an earlier response on the connection may have said as well.
    Repeated,
    /// It names messages, or should name them, and none is of the call.
    Others,
}

/// The facts about a response that arrived after the request of a call.
#[derive(Clone, Copy, Debug)]
pub struct ResponseFacts {
    /// The status code.
    pub status: u16,
    /// What is known of the response by which it can be told from others.
    pub identity: ResponseIdentity,
    /// What its body says about the messages of the call.
    pub named_messages: NamedMessages,
}

impl ResponseFacts {
    /// Whether the response says that the call's only message was delivered.
    pub fn is_plain_success(&self) -> bool {
        self.status == 200 && self.named_messages == NamedMessages::Unspecified
    }

    /// Whether the response says that all messages of the call have ended: the only one was delivered, or they are over.
    pub fn says_ended(&self) -> bool {
        self.is_plain_success() || self.status == 410
    }

    /// Whether it says the same about the call as another response.
    fn agrees_with(&self, other: &ResponseFacts) -> bool {
        self.identity == other.identity || self.is_plain_success() && other.is_plain_success()
    }

    fn may_be_of_call(&self) -> bool {
        self.named_messages != NamedMessages::Others
    }
}

/// What the connection of a call had carried before.
#[derive(Clone, Debug, Default)]
pub struct EarlierResponses {
    /// The responses.
    pub history: ResponseHistory,
    /// The number of calls.
    pub calls: usize,
}

impl EarlierResponses {
    /// Whether the responses to calls before may still be due.
    pub fn has_unanswered_calls(&self) -> bool {
        self.history.min_answered_calls() < self.calls
    }

    /// Whether the responses so far say that this message has not ended: the connection has carried a call with it before.
    pub fn has_unended(&self, message: MessageId) -> bool {
        self.history.has_unended(message)
    }

    /// Whether a response to the call after them can be none of these, nor that to an earlier call.
    fn excludes(&self, response: &ResponseFacts) -> bool {
        match response.named_messages {
            NamedMessages::Unprecedented => true,
            _ if self.has_unanswered_calls() => false,
            _ => !self.history.may_contain(response.identity),
        }
    }
}

/// Which response belongs to the call. The index is that among the responses to the request, in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// This one, certainly.
    Proven(usize),
    /// This one, unless another arrives while the call may still be answered.
    Probable(usize),
    /// None so far: those that arrived belong to other calls.
    Undecided,
    /// It cannot be told which, as they say different things about the call.
    Contradictory,
}

/// Attributes the responses that arrived after the request of a call.
pub fn attribute(earlier: &EarlierResponses, responses: &[ResponseFacts]) -> Attribution {
    if let Some(index) = responses.iter().position(|response| earlier.excludes(response)) {
        return Attribution::Proven(index);
    }
    let mut candidates = responses.iter().enumerate().filter(|(_, response)| response.may_be_of_call());
    let Some((index, first)) = candidates.next() else { return Attribution::Undecided };
    match candidates.all(|(_, other)| first.agrees_with(other)) {
        true => Attribution::Probable(index),
        false => Attribution::Contradictory,
    }
}

/// The responses that arrived after the request of a call, in the order of arrival.
#[derive(Clone, Debug, Default)]
pub struct CallResponses {
    earlier: EarlierResponses,
    responses: Vec<ResponseFacts>,
}

impl CallResponses {
    /// No responses yet. `earlier` is what the connection has carried before the call.
    pub fn new(earlier: EarlierResponses) -> Self {
        CallResponses { earlier, responses: Vec::new() }
    }

    /// Adds a response.
    pub fn push(&mut self, response: ResponseFacts) {
        self.responses.push(response);
    }

    /// The response that was added last.
    pub fn last_mut(&mut self) -> Option<&mut ResponseFacts> {
        self.responses.last_mut()
    }

    /// All responses.
    pub fn responses(&self) -> &[ResponseFacts] {
        &self.responses
    }

    /// What the connection had carried before the call.
    pub fn earlier(&self) -> &EarlierResponses {
        &self.earlier
    }

    /// The place of the call among those on its connection, from 1.
    pub fn call_position(&self) -> usize {
        self.earlier.calls + 1
    }

    /// Which response is the call's own.
    pub fn attribution(&self) -> Attribution {
        attribute(&self.earlier, &self.responses)
    }

    /// Whether a response that may be the call's own says that its messages have ended, so that none of them may be called
    /// again.
    pub fn may_have_ended(&self) -> bool {
        match self.attribution() {
            Attribution::Proven(index) => self.responses[index].says_ended(),
            _ => self.responses.iter().any(|response| response.may_be_of_call() && response.says_ended()),
        }
    }

    /// How the messages of the call have ended, if they have: the only one was delivered, or they are over.
    pub fn unproven_outcome(&self) -> Outcome {
        match self.responses.iter().any(ResponseFacts::is_plain_success) {
            true => Outcome::Ok,
            false => Outcome::NotSent,
        }
    }

    /// Whether all responses say that the messages of the call have ended.
    pub fn all_say_ended(&self) -> bool {
        self.responses.iter().all(ResponseFacts::says_ended)
    }

    /// Whether the connection had carried a response that cannot be told from the last one.
    pub fn last_may_be_copy(&self) -> bool {
        self.responses.last().is_some_and(|last| self.earlier.history.may_contain(last.identity))
    }
}
