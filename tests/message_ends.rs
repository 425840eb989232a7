//! The invariant of message ends, for all orders of responses, copies, closes and time-outs: no call is made for a message once
//! a response that ends it was read, or its end was reported; and each message that is held for ended has ended.
//!
//! An endpoint is modelled that answers the calls on each connection in order, or not at all, while copies of its responses
//! arrive at any time. Beside what it did, the model keeps what the decisions of the forwarder make of it.

use cedarbridge::invariants::confirmation::{Settled, Settlement, Unconfirmed, UnconfirmedQueue};
use cedarbridge::invariants::{
    Attribution, CallResponses, EarlierResponses, NamedMessages, ResponseDigest, ResponseFacts,
    ResponseHistory, ResponseIdentity,
};
use cedarbridge::{MessageId, Micros};
use proptest::prelude::*;
use std::cell::Cell;
use std::collections::{BTreeSet, VecDeque};

const CALL_TIME: Micros = 100;
const MESSAGE_TIME: Micros = 1000;
/// The time of a message that has little left.
const SHORT_MESSAGE_TIME: Micros = 30;
const MESSAGES: usize = 4;

/// What a response says of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Said {
    Delivered,
    Over,
    Refused,
    Failed,
}

impl Said {
    fn is_end(self) -> bool {
        matches!(self, Said::Delivered | Said::Over)
    }

    fn status(self) -> u16 {
        match self {
            Said::Delivered => 200,
            Said::Over => 410,
            Said::Refused => 503,
            Said::Failed => 500,
        }
    }
}

/// A response as it is written. The results of a batch are named in it, unless all messages fare alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Response {
    status: u16,
    load: u8,
    named: Vec<(usize, Said)>,
}

impl Response {
    fn says_ended(&self) -> bool {
        self.status == 410 || self.status == 200 && self.named.is_empty()
    }

    fn digest(&self) -> ResponseDigest {
        ResponseDigest::of(self)
    }

    fn facts(&self, call: &[usize], earlier: &EarlierResponses) -> ResponseFacts {
        let named_messages = match call.len() > 1 && self.status == 200 {
            true => self.named_messages(call, earlier),
            false => NamedMessages::Unspecified,
        };
        let identity = ResponseIdentity::Complete(self.digest());
        ResponseFacts { status: self.status, identity, named_messages }
    }

    fn named_messages(&self, call: &[usize], earlier: &EarlierResponses) -> NamedMessages {
        let of_call: Vec<_> = self.named.iter().filter(|(message, _)| call.contains(message)).collect();
        let is_new =
            |message: usize, said: Said| said.is_end() || !earlier.has_unended(MessageId(message as u64));
        match of_call.iter().any(|(message, said)| is_new(*message, *said)) {
            _ if of_call.is_empty() => NamedMessages::Others,
            true => NamedMessages::Unprecedented,
            false => NamedMessages::Repeated,
        }
    }

    fn result(&self, message: usize, call: &[usize]) -> Option<Said> {
        match self.status {
            200 if call.len() == 1 => Some(Said::Delivered),
            200 => self.named.iter().find(|(named, _)| *named == message).map(|(_, said)| *said),
            410 => Some(Said::Over),
            503 => Some(Said::Refused),
            _ => Some(Said::Failed),
        }
    }
}

/// A message: what is true of it, and what the forwarder has decided.
#[derive(Clone, Debug, Default)]
struct Message {
    ended: bool,
    end_read: bool,
    /// No call for it is in flight or unconfirmed, and it has not ended for the forwarder.
    is_open: bool,
    /// The calls of which a response said that the message has ended.
    end_marked_by: BTreeSet<usize>,
    held_for_ended: bool,
    reported: bool,
}

#[derive(Clone)]
struct Call {
    number: usize,
    messages: Vec<usize>,
    received: Vec<Response>,
    facts: CallResponses,
    written_at: Micros,
    message_time: Micros,
    has_ended: Cell<bool>,
}

impl Unconfirmed for Call {
    fn responses(&self) -> &CallResponses {
        &self.facts
    }

    fn is_batch(&self) -> bool {
        self.messages.len() > 1
    }

    fn times_out_at(&self) -> Micros {
        self.written_at + CALL_TIME
    }

    fn report_at(&self) -> Micros {
        self.written_at + self.message_time
    }
}

/// Whether and how a connection is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    Reusable,
    /// Read until no result can be corrected any more.
    Observed,
    /// Read for late responses of an abandoned call.
    Late,
    Closed,
}

struct Connection {
    unanswered: VecDeque<Vec<usize>>,
    written: Vec<Response>,
    history: ResponseHistory,
    calls: usize,
    queue: UnconfirmedQueue<Call>,
    in_flight: Option<Call>,
    usage: Use,
}

#[derive(Clone, Debug)]
enum Step {
    Call { batch: bool, message_time: Micros },
    Answer { connection: prop::sample::Index, said: [Said; 2], load: u8 },
    Copy { connection: prop::sample::Index, response: prop::sample::Index },
    Close { connection: prop::sample::Index },
    GiveUp { connection: prop::sample::Index },
    Wait(Micros),
}

struct Model {
    now: Micros,
    calls: usize,
    messages: Vec<Message>,
    connections: Vec<Connection>,
}

impl Model {
    fn new() -> Self {
        let open = Message { is_open: true, ..Message::default() };
        Model { now: 0, calls: 0, messages: vec![open; MESSAGES], connections: Vec::new() }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Call { batch, message_time } => self.call(*batch, *message_time),
            Step::Wait(time) => self.wait(*time),
            Step::Answer { connection, said, load } => {
                self.with_open(connection, |model, index| model.answer(index, *said, *load));
            }
            Step::Copy { connection, response } => self.with_open(connection, |model, index| {
                let written = &model.connections[index].written;
                if !written.is_empty() {
                    let copy = response.get(written).clone();
                    model.receive(index, copy);
                }
            }),
            Step::Close { connection } => self.with_open(connection, Self::close),
            Step::GiveUp { connection } => self.with_open(connection, |model, index| {
                if model.connections[index].in_flight.is_none() {
                    model.close(index);
                }
            }),
        }
        self.close_observed();
    }

    /// Plays a step on one of the connections that are open, if there is any.
    fn with_open(&mut self, connection: &prop::sample::Index, play: impl FnOnce(&mut Self, usize)) {
        let is_open = |index: &usize| self.connections[*index].usage != Use::Closed;
        let open: Vec<usize> = (0..self.connections.len()).filter(is_open).collect();
        if !open.is_empty() {
            play(self, *connection.get(&open));
        }
    }

    /// Closes the connections that are only read on, and on which no result can be corrected any more.
    fn close_observed(&mut self) {
        for index in 0..self.connections.len() {
            let connection = &self.connections[index];
            if connection.usage == Use::Observed && !connection.queue.has_correctable_calls() {
                self.close(index);
            }
        }
    }

    fn call(&mut self, batch: bool, message_time: Micros) {
        let may_call = |message: &&usize| {
            let message = &self.messages[**message];
            message.is_open && message.end_marked_by.is_empty()
        };
        let size = if batch { 2 } else { 1 };
        let indices: Vec<usize> = (0..MESSAGES).collect();
        let messages: Vec<usize> = indices.iter().filter(may_call).take(size).copied().collect();
        if messages.is_empty() {
            return;
        }
        for message in &messages {
            let message = &mut self.messages[*message];
            assert!(!message.end_read, "called although a response that ends it was read");
            assert!(!message.reported && !message.held_for_ended, "called after its end");
            message.is_open = false;
        }
        let is_free = |c: &Connection| c.usage == Use::Reusable && c.in_flight.is_none();
        let index = self.connections.iter().position(is_free).unwrap_or_else(|| {
            self.connections.push(Connection {
                unanswered: VecDeque::new(),
                written: Vec::new(),
                history: ResponseHistory::default(),
                calls: 0,
                queue: UnconfirmedQueue::default(),
                in_flight: None,
                usage: Use::Reusable,
            });
            self.connections.len() - 1
        });
        let connection = &mut self.connections[index];
        let earlier = EarlierResponses { history: connection.history.clone(), calls: connection.calls };
        connection.calls += 1;
        connection.unanswered.push_back(messages.clone());
        self.calls += 1;
        connection.in_flight = Some(Call {
            number: self.calls,
            messages,
            received: Vec::new(),
            facts: CallResponses::new(earlier),
            written_at: self.now,
            message_time,
            has_ended: Cell::new(false),
        });
    }

    fn answer(&mut self, index: usize, said: [Said; 2], load: u8) {
        let connection = &mut self.connections[index];
        if connection.usage == Use::Closed {
            return;
        }
        let Some(messages) = connection.unanswered.pop_front() else { return };
        let mixed = messages.len() > 1 && (said[0] != said[1] || said[0].is_end());
        let response = match mixed {
            true => Response { status: 200, load, named: messages.iter().copied().zip(said).collect() },
            false => Response { status: said[0].status(), load, named: Vec::new() },
        };
        connection.written.push(response.clone());
        for message in &messages {
            let ends = response.result(*message, &messages).is_some_and(Said::is_end);
            self.messages[*message].ended |= ends;
            self.messages[*message].end_read |= ends;
        }
        self.receive(index, response);
    }

    fn receive(&mut self, index: usize, response: Response) {
        let connection = &mut self.connections[index];
        if connection.usage == Use::Closed {
            return;
        }
        connection.history.record_head(response.status, response.digest());
        connection.history.record_complete(response.digest());
        match connection.in_flight.take() {
            Some(call) => self.receive_in_call(index, call, response),
            None => self.receive_surplus(index, response),
        }
    }

    fn receive_in_call(&mut self, index: usize, mut call: Call, response: Response) {
        call.facts.push(response.facts(&call.messages, call.facts.earlier()));
        call.received.push(response);
        if self.connections[index].usage == Use::Late {
            self.mark_unproven_ends(&call);
            self.connections[index].in_flight = Some(call);
            return;
        }
        let connection = &mut self.connections[index];
        let only_response = call.received.len() == 1;
        match call.facts.attribution() {
            Attribution::Proven(own) => {
                let settled = connection.queue.confirm_all();
                connection.history.record_all_original();
                for message in &call.messages {
                    if call.received[own].result(*message, &call.messages).is_some_and(|said| !said.is_end())
                    {
                        connection.history.record_unended(MessageId(*message as u64));
                    }
                }
                if !only_response {
                    connection.usage = Use::Observed;
                }
                self.settle(settled);
                self.apply_result(&call, own);
            }
            Attribution::Probable(_) => {
                if call.facts.may_have_ended() {
                    let mark = |message: &usize| {
                        self.messages[*message].end_marked_by.insert(call.number);
                    };
                    call.messages.iter().for_each(mark);
                }
                let mut settled = Vec::new();
                match call.facts.all_say_ended() {
                    true => {
                        let answered = connection.history.min_answered_calls();
                        settled.extend(connection.queue.confirm_answered(answered));
                    }
                    false => connection.usage = Use::Observed,
                }
                if call.is_batch() {
                    connection.usage = Use::Observed;
                }
                settled.extend(connection.queue.push(call));
                self.settle(settled);
            }
            Attribution::Undecided => connection.in_flight = Some(call),
            Attribution::Contradictory => {
                connection.usage = Use::Closed;
                let settled = connection.queue.settle_all();
                self.settle(settled);
                self.fail(&call);
            }
        }
    }

    fn receive_surplus(&mut self, index: usize, response: Response) {
        let connection = &mut self.connections[index];
        connection.usage = Use::Observed;
        let says_ended = response.says_ended();
        if let Some(call) = connection.queue.only_call_mut() {
            call.facts.push(response.facts(&call.messages, call.facts.earlier()));
            call.received.push(response);
        }
        let answered = connection.history.min_answered_calls();
        let settled = connection.queue.settle_by_surplus(says_ended, answered);
        self.settle(settled);
    }

    fn close(&mut self, index: usize) {
        let connection = &mut self.connections[index];
        let was_late = connection.usage == Use::Late;
        connection.usage = Use::Closed;
        let settled = connection.queue.settle_all();
        let call = connection.in_flight.take();
        self.settle(settled);
        match call {
            Some(call) if was_late => self.end_late(&call),
            Some(call) => self.fail(&call),
            None => {}
        }
    }

    fn wait(&mut self, time: Micros) {
        self.now += time;
        for index in 0..self.connections.len() {
            let connection = &mut self.connections[index];
            let mut settled = connection.queue.settle_due(self.now);
            for call in connection.queue.end_timed_out(self.now) {
                call.has_ended.set(true);
            }
            let timed_out = connection.in_flight.as_ref().is_some_and(|call| call.times_out_at() <= self.now);
            if connection.usage == Use::Late {
                self.settle(settled);
                self.close(index);
            } else if timed_out {
                settled.extend(connection.queue.settle_all());
                connection.usage = Use::Late;
                let call = connection.in_flight.as_mut().expect("it is in flight");
                let facts = CallResponses::new(call.facts.earlier().clone());
                let abandoned = std::mem::replace(&mut call.facts, facts);
                let abandoned = Call { facts: abandoned, ..call.clone() };
                call.received.clear();
                self.settle(settled);
                self.fail(&abandoned);
            } else {
                self.settle(settled);
            }
        }
    }

    /// Applies the response with this index, which is proven to be that of the call.
    fn apply_result(&mut self, call: &Call, own: usize) {
        for message in &call.messages {
            match call.received[own].result(*message, &call.messages) {
                Some(said) if said.is_end() => self.hold_for_ended(*message),
                _ => self.refute(*message, call.number),
            }
        }
    }

    /// Ends a call without a response that is proven to be its own.
    fn fail(&mut self, call: &Call) {
        match call.facts.may_have_ended() {
            true => call.messages.iter().for_each(|message| self.report(*message)),
            false => call.messages.iter().for_each(|message| self.reopen(*message)),
        }
    }

    fn mark_unproven_ends(&mut self, call: &Call) {
        for message in &call.messages {
            let named = call.received.iter().flat_map(|response| response.named.iter());
            let mut of_message = named.filter(|(named, _)| call.messages.len() > 1 && named == message);
            if call.facts.may_have_ended() || of_message.any(|(_, said)| said.is_end()) {
                self.messages[*message].end_marked_by.insert(call.number);
            }
        }
    }

    fn end_late(&mut self, call: &Call) {
        match call.facts.attribution() {
            Attribution::Proven(own) => {
                for message in &call.messages {
                    match call.received[own].result(*message, &call.messages) {
                        Some(said) if said.is_end() => self.hold_for_ended(*message),
                        _ => self.unmark(*message, call.number),
                    }
                }
            }
            _ if call.facts.may_have_ended() => {
                call.messages.iter().for_each(|message| self.report(*message));
            }
            _ => {}
        }
    }

    fn settle(&mut self, settled: Vec<Settled<Call>>) {
        for Settled { call, settlement } in settled {
            match settlement {
                Settlement::Confirmed => {
                    call.messages.iter().for_each(|message| self.hold_for_ended(*message));
                }
                Settlement::Corrected(own) => self.apply_result(&call, own),
                Settlement::Unsettled => call.messages.iter().for_each(|message| self.report(*message)),
                Settlement::MayHaveRun => {
                    assert!(!call.has_ended.get(), "its messages have ended");
                    call.messages.iter().for_each(|message| self.reopen(*message));
                }
            }
        }
    }

    fn hold_for_ended(&mut self, message: usize) {
        let message = &mut self.messages[message];
        assert!(message.ended || message.reported, "held for ended by a copy");
        message.held_for_ended = true;
        message.is_open = false;
    }

    fn report(&mut self, message: usize) {
        self.messages[message].reported = true;
        self.messages[message].is_open = false;
    }

    /// A response proves that this call has not ended the message.
    fn refute(&mut self, message: usize, call: usize) {
        self.unmark(message, call);
        self.reopen(message);
    }

    fn unmark(&mut self, message: usize, call: usize) {
        self.messages[message].end_marked_by.remove(&call);
    }

    fn reopen(&mut self, message: usize) {
        let message = &mut self.messages[message];
        message.is_open = !message.held_for_ended && !message.reported;
    }

    /// Lets all times pass. Each message must then have an end, or be open and callable.
    fn finish(&mut self) {
        self.wait(CALL_TIME);
        self.wait(MESSAGE_TIME);
        self.close_observed();
        for message in &self.messages {
            let has_end = message.held_for_ended || message.reported;
            assert!(has_end || message.is_open, "without an end: {message:?}");
            assert!(
                !message.is_open || message.end_marked_by.is_empty(),
                "neither called nor ended: {message:?}"
            );
            assert!(has_end || !message.end_read, "an end that was read is lost: {message:?}");
        }
    }
}

fn said() -> impl Strategy<Value = Said> {
    prop_oneof![6 => Just(Said::Delivered), 1 => Just(Said::Over), 2 => Just(Said::Refused), 1 => Just(Said::Failed)]
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    let wait = prop_oneof![4 => Just(SHORT_MESSAGE_TIME), 2 => Just(CALL_TIME), 1 => Just(MESSAGE_TIME)];
    prop_oneof![
        8 => (prop::bool::weighted(0.15), prop::bool::weighted(0.25)).prop_map(|(batch, short)| Step::Call {
            batch,
            message_time: if short { SHORT_MESSAGE_TIME } else { MESSAGE_TIME },
        }),
        8 => (index(), [said(), said()], prop::bool::weighted(0.1))
            .prop_map(|(connection, said, load)| Step::Answer { connection, said, load: load.into() }),
        5 => (index(), index()).prop_map(|(connection, response)| Step::Copy { connection, response }),
        1 => index().prop_map(|connection| Step::Close { connection }),
        1 => index().prop_map(|connection| Step::GiveUp { connection }),
        3 => wait.prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 50_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(62), ..ProptestConfig::default() })]

    /// Guards against a call for a message whose end was read, and against a message that a copy leaves without an end.
    #[test]
    fn no_message_is_called_after_its_end_or_left_without_one(steps in prop::collection::vec(step(), 4..24)) {
        let mut model = Model::new();
        steps.iter().for_each(|step| model.play(step));
        model.finish();
    }
}
