//! Which of the responses that arrive on a connection belongs to the call in flight.
//!
//! A response names no call; its place on the connection alone does not prove whose it is, because a second copy of an
//! earlier response may arrive after the next request. What proves it is that it can be no copy: the connection is new, has
//! carried no response with this status, or the response announces the close of the connection, as no earlier one can
//! have done, or names a message that was never sent before. Any other response is in doubt: the call's own response may
//! still follow.

use super::response_history::ResponseHistory;
use super::response_times::ResponseTimes;
use crate::Micros;

/// What the body of a response says about the messages of the call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedMessages {
    /// The body names no messages, as the response to a call with one message.
    Unspecified,
    /// It names a message of the call that was never sent before.
    FirstAttempt,
    /// Of the messages of the call it names only some that were sent before.
    Repeated,
    /// It names messages, or should name them, and none is of the call.
    Others,
}

/// The facts about a response that arrived after the request of a call.
#[derive(Clone, Copy, Debug)]
pub struct ResponseFacts {
    /// The status code.
    pub status: u16,
    /// The time from the end of the request to the head of the response, in microseconds.
    pub elapsed: Micros,
    /// Whether it announces that the endpoint closes the connection.
    pub announces_close: bool,
    /// Whether the endpoint may have processed a message of the call before, so that it can respond at once.
    pub is_repeat: bool,
    /// What its body says about the messages of the call.
    pub named_messages: NamedMessages,
}

/// Which response belongs to the call. The index is that among the responses to the request, in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// This one: it can be no copy of an earlier response.
    Proven(usize),
    /// This one, unless another arrives before the doubt ends.
    Probable(usize),
    /// None so far: those that arrived are copies of earlier responses, surely or probably.
    Undecided,
    /// It cannot be told which, as they say different things about the call.
    Contradictory,
}

/// Attributes the responses that arrived after the request of a call. `history` is what the connection had carried before,
/// `times` is how long the endpoint usually takes.
pub fn attribute(
    history: &ResponseHistory,
    times: &ResponseTimes,
    responses: &[ResponseFacts],
) -> Attribution {
    if history.is_empty() {
        return if responses.is_empty() { Attribution::Undecided } else { Attribution::Proven(0) };
    }
    let is_proven = |response: &ResponseFacts| match response.named_messages {
        NamedMessages::FirstAttempt => true,
        NamedMessages::Others => false,
        NamedMessages::Unspecified | NamedMessages::Repeated => {
            response.announces_close || !history.contains(response.status)
        }
    };
    let is_credible = |response: &ResponseFacts| {
        response.named_messages != NamedMessages::Others
            && (response.is_repeat || !times.is_implausible(response.status, response.elapsed))
    };
    match first_if_all_agree(responses, is_proven) {
        Agreement::On(index) => Attribution::Proven(index),
        Agreement::Contradiction => Attribution::Contradictory,
        Agreement::NoResponse => match first_if_all_agree(responses, is_credible) {
            Agreement::On(index) => Attribution::Probable(index),
            Agreement::Contradiction => Attribution::Contradictory,
            Agreement::NoResponse => Attribution::Undecided,
        },
    }
}

/// Whether responses say the same about their call.
enum Agreement {
    /// All have the same status; this is the first.
    On(usize),
    /// They have different statuses.
    Contradiction,
    /// There is none.
    NoResponse,
}

fn first_if_all_agree(
    responses: &[ResponseFacts],
    is_considered: impl Fn(&ResponseFacts) -> bool,
) -> Agreement {
    let mut considered = responses.iter().enumerate().filter(|(_, response)| is_considered(response));
    let Some((index, first)) = considered.next() else { return Agreement::NoResponse };
    match considered.all(|(_, response)| response.status == first.status) {
        true => Agreement::On(index),
        false => Agreement::Contradiction,
    }
}
