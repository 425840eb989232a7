//! Calls that wait for a connection whose last response is in doubt for a moment, rather than to open another one.

use crate::net::call::Call;
use crate::Micros;
use std::collections::VecDeque;

/// A call waits at most this long for a connection, in microseconds. A new one costs the endpoint more than this delay
/// costs the message.
const MAX_WAIT: Micros = 55_000;

/// A call without a connection.
struct WaitingCall {
    call: Call,
    /// The call gets a new connection at this time, in microseconds of the monotonic clock.
    until: Micros,
}

/// The waiting calls of an endpoint, in the order of their arrival, and the connections for which they wait.
#[derive(Default)]
pub(super) struct WaitingCalls {
    calls: VecDeque<WaitingCall>,
    /// When connections in use will probably be reusable, in microseconds of the monotonic clock.
    reusable_at: Vec<Micros>,
}

impl WaitingCalls {
    /// Records that a connection in use will probably be reusable at this time.
    pub fn expect_connection(&mut self, reusable_at: Micros) {
        self.reusable_at.push(reusable_at);
    }

    /// Lets a call wait if a connection will soon be reusable that no other call waits for. Gives the call back otherwise.
    pub fn add(&mut self, now: Micros, call: Call) -> Option<Call> {
        self.reusable_at.retain(|reusable_at| *reusable_at > now);
        let until = now + MAX_WAIT;
        let expected = self.reusable_at.iter().filter(|reusable_at| **reusable_at < until).count();
        if expected <= self.calls.len() {
            return Some(call);
        }
        self.calls.push_back(WaitingCall { call, until });
        None
    }

    /// Takes the first waiting call.
    pub fn take_first(&mut self) -> Option<Call> {
        self.calls.pop_front().map(|waiting| waiting.call)
    }

    /// Takes the calls that have waited for too long.
    pub fn take_overdue(&mut self, now: Micros) -> Vec<Call> {
        let overdue = self.calls.iter().take_while(|waiting| waiting.until <= now).count();
        self.calls.drain(..overdue).map(|waiting| waiting.call).collect()
    }

    /// When the first call has waited for too long, in microseconds of the monotonic clock; `None` if none waits.
    pub fn next_overdue_at(&self) -> Option<Micros> {
        self.calls.front().map(|waiting| waiting.until)
    }
}
