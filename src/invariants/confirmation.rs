//! How the unconfirmed calls on a connection are settled. An unconfirmed call was answered by a response that may be a copy of
//! an earlier one on the connection, so that its own response may still follow.
//!
//! Two rules hold together. No message is called again once its end may have been read: its own response said so, or may have.
//! And each message has an end, also if that response was a copy. So where later responses do not tell which it was, the
//! message ends unconfirmed and its end is reported to the platform, which does no harm if it was delivered.
//!
//! An endpoint answers the calls on a connection in order, or stops answering. What settles a call is therefore only a
//! response: one that can be no copy, or a surplus one. The end of the connection and the time of the call settle nothing.

use super::attribution::{Attribution, CallResponses};
use crate::Micros;
use std::collections::VecDeque;

/// A call whose response may be a copy.
pub trait Unconfirmed {
    /// The responses that arrived after its request.
    fn responses(&self) -> &CallResponses;
    /// Whether it carries several messages, whose results its response may name.
    fn is_batch(&self) -> bool;
    /// When its own time is over, in microseconds of the monotonic clock. Until then its messages may be called again if
    /// its response turns out to be a copy.
    fn times_out_at(&self) -> Micros;
    /// When the end of its messages is reported at the latest, in microseconds of the monotonic clock.
    fn report_at(&self) -> Micros;
}

/// How an unconfirmed call is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// Its messages have ended, as its response says.
    Confirmed,
    /// Its own response is another one, with this index among those that arrived after its request.
    Corrected(usize),
    /// It is not known whether its messages have ended: they are not called again, and their end is reported.
    Unsettled,
    /// It is not known whether it has run, and no response says that its messages have ended.
    MayHaveRun,
}

/// A settled call.
#[derive(Debug)]
pub struct Settled<C> {
    /// The call.
    pub call: C,
    /// How it is settled.
    pub settlement: Settlement,
}

/// A call in the queue.
#[derive(Debug)]
struct Entry<C> {
    call: C,
    /// Whether its messages have ended, as its time is over.
    has_ended: bool,
}

impl<C: Unconfirmed> Entry<C> {
    fn settled(self, settlement: Settlement) -> Settled<C> {
        Settled { call: self.call, settlement }
    }

    /// When it is settled without proof: its end is reported, or there is none by the time of the call.
    fn due_at(&self) -> Micros {
        match self.call.responses().may_have_ended() {
            true => self.call.report_at(),
            false => self.call.times_out_at(),
        }
    }

    /// When its messages end or it is settled.
    fn next_change_at(&self) -> Micros {
        match self.has_ended {
            true => self.due_at(),
            false => self.due_at().min(self.call.times_out_at()),
        }
    }

    fn settled_without_proof(self) -> Settled<C> {
        let settlement = match self.call.responses().may_have_ended() {
            true => Settlement::Unsettled,
            false => Settlement::MayHaveRun,
        };
        self.settled(settlement)
    }
}

/// The unconfirmed calls on a connection, in the order of their requests. Either each has one message and its responses say that
/// this has ended, or there is only one call.
#[derive(Debug)]
pub struct UnconfirmedQueue<C> {
    entries: VecDeque<Entry<C>>,
    /// The place on the connection of the call that was added last, which may have been settled since.
    last_position: usize,
}

impl<C> Default for UnconfirmedQueue<C> {
    fn default() -> Self {
        UnconfirmedQueue { entries: VecDeque::new(), last_position: 0 }
    }
}

impl<C: Unconfirmed> UnconfirmedQueue<C> {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the time of a call is not over, so that its response may still be corrected.
    pub fn has_correctable_calls(&self) -> bool {
        self.entries.iter().any(|entry| !entry.has_ended)
    }

    /// Adds the call that was sent last. Calls before it are settled if its response does not say that its messages have ended:
    /// that may be the response to any of them. They are settled before a batch, too: the response that is still due to it does
    /// not say the same of them.
    pub fn push(&mut self, call: C) -> Vec<Settled<C>> {
        let settled = match call.responses().may_have_ended() && !call.is_batch() {
            true => Vec::new(),
            false => self.settle_all(),
        };
        self.last_position = call.responses().call_position();
        self.entries.push_back(Entry { call, has_ended: false });
        settled
    }

    /// Confirms the calls that are answered, because the connection has carried so many responses that can be no copies. All
    /// that arrived since the first of these calls must say that the messages have ended.
    pub fn confirm_answered(&mut self, answered_calls: usize) -> Vec<Settled<C>> {
        let is_answered = |entry: &&Entry<C>| {
            let responses = entry.call.responses();
            responses.call_position() <= answered_calls && responses.all_say_ended()
        };
        let answered = self.entries.iter().take_while(is_answered).count();
        self.entries.drain(..answered).map(|entry| entry.settled(Settlement::Confirmed)).collect()
    }

    /// Confirms all calls, because the endpoint has certainly responded to a later one. A call whose response does not say that
    /// its messages have ended is not confirmed.
    pub fn confirm_all(&mut self) -> Vec<Settled<C>> {
        let confirm = |entry: Entry<C>| match entry.call.responses().may_have_ended() {
            true => entry.settled(Settlement::Confirmed),
            false => entry.settled(Settlement::MayHaveRun),
        };
        self.entries.drain(..).map(confirm).collect()
    }

    /// The only unconfirmed call, if it is the last on the connection. A response that arrives while no call is in flight is
    /// added to it; otherwise it is not known whose it is.
    pub fn only_call_mut(&mut self) -> Option<&mut C> {
        let last_position = self.last_position;
        match self.entries.make_contiguous() {
            [only] if only.call.responses().call_position() == last_position => Some(&mut only.call),
            _ => None,
        }
    }

    /// Handles a response that arrived while no call was in flight, so that one response more than calls has arrived. It was
    /// added to the only call before.
    pub fn settle_by_surplus(&mut self, says_ended: bool, answered_calls: usize) -> Vec<Settled<C>> {
        if self.only_call_mut().is_some() {
            return self.settle_only_call(answered_calls);
        }
        match says_ended {
            true => self.confirm_answered(answered_calls),
            false => self.settle_all(),
        }
    }

    fn settle_only_call(&mut self, answered_calls: usize) -> Vec<Settled<C>> {
        let Some(entry) = self.entries.front() else { return Vec::new() };
        let responses = entry.call.responses();
        let settlement = match responses.attribution() {
            // It is too late to call its messages again.
            Attribution::Proven(_) if entry.has_ended && !responses.may_have_ended() => Settlement::Unsettled,
            Attribution::Proven(index) => Settlement::Corrected(index),
            Attribution::Contradictory => return self.settle_all(),
            Attribution::Probable(_) | Attribution::Undecided => {
                return self.confirm_answered(answered_calls)
            }
        };
        self.entries.pop_front().map(|entry| entry.settled(settlement)).into_iter().collect()
    }

    /// Settles all calls, because no response can tell more: their connection has ended, or is given up.
    pub fn settle_all(&mut self) -> Vec<Settled<C>> {
        self.entries.drain(..).map(Entry::settled_without_proof).collect()
    }

    /// Settles the calls whose messages have ended, rather than wait longer for their confirmation.
    pub fn settle_ended(&mut self) -> Vec<Settled<C>> {
        self.settle_if(|entry| entry.has_ended)
    }

    /// The earliest time at which a call ends or is settled, in microseconds of the monotonic clock; `None` without calls.
    pub fn next_change_at(&self) -> Option<Micros> {
        self.entries.iter().map(Entry::next_change_at).min()
    }

    /// Settles the calls whose end is to be reported now, and those whose time is over without an end.
    pub fn settle_due(&mut self, now: Micros) -> Vec<Settled<C>> {
        self.settle_if(|entry| entry.due_at() <= now)
    }

    fn settle_if(&mut self, is_due: impl Fn(&Entry<C>) -> bool) -> Vec<Settled<C>> {
        let (due, others): (Vec<_>, Vec<_>) = self.entries.drain(..).partition(is_due);
        self.entries = others.into();
        due.into_iter().map(Entry::settled_without_proof).collect()
    }

    /// Ends the messages of the calls whose time is over, and returns these calls. They stay in the queue, as they may still be
    /// confirmed. To be called after [`UnconfirmedQueue::settle_due`].
    pub fn end_timed_out(&mut self, now: Micros) -> Vec<&C> {
        let mut ended = Vec::new();
        for entry in &mut self.entries {
            if !entry.has_ended && entry.call.times_out_at() <= now {
                entry.has_ended = true;
                ended.push(&entry.call);
            }
        }
        ended
    }
}
