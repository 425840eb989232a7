//! The actor of an endpoint: it owns the idle connections to the endpoint and starts the calls.

use super::call::{self, CallSetup};
use super::connection::EndpointConnection;
use super::connection_end::ConnectionEnd;
use super::pool::{ConnectionNeed, Pool};
use super::unconfirmed::are_too_many;
use super::waiting::WaitingCalls;
use crate::invariants::{is_refusal, ResponseTimes};
use crate::net::call::Call;
use crate::net::messages::{EndedCallReport, EndpointMessage};
use crate::net::Context;
use crate::{ClassId, EndpointId, Micros};
use async_channel::{Receiver, WeakSender};
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;

/// For this long after a refusal, calls use no connection on which a response may still be corrected, in microseconds: a refusal
/// there would be no proof that its call never ran.
const REFUSAL_MEMORY: Micros = 5_000_000;

/// Runs until all senders of the mailbox are dropped, that is until the endpoint was removed from the list and its
/// calls are complete. `own_mailbox` is the sender of the same mailbox, by which calls return their connections.
pub async fn run(
    context: Rc<Context>,
    endpoint: EndpointId,
    mailbox: Receiver<EndpointMessage>,
    own_mailbox: WeakSender<EndpointMessage>,
) {
    let pool = Pool::new(context.clone(), endpoint, own_mailbox.clone());
    let (times, waiting) = (ResponseTimes::default(), WaitingCalls::default());
    let mut actor = EndpointActor { context, own_mailbox, pool, times, waiting, refused_at: None };
    loop {
        match actor.next_input(&mailbox).await {
            Input::IdleEnd => actor.pool.close_unusable(),
            Input::WaitingCallOverdue => actor.start_overdue_calls(),
            Input::Message(EndpointMessage::Call(call)) => actor.handle_call(call),
            Input::Message(EndpointMessage::CloseIdle) => actor.pool.close_all(ConnectionEnd::CloseIdle),
            Input::Message(EndpointMessage::ReusableAt(at)) => actor.waiting.expect_connection(at),
            Input::Message(EndpointMessage::CallEnded(report)) => actor.call_ended(*report),
            Input::MailboxClosed => return actor.end(),
        }
    }
}

/// What the actor handles next.
enum Input {
    /// A message in the mailbox.
    Message(EndpointMessage),
    /// All senders of the mailbox were dropped.
    MailboxClosed,
    /// An idle connection has reached its timeout, or the endpoint has closed it or written to it.
    IdleEnd,
    /// A call has waited too long for a connection.
    WaitingCallOverdue,
}

struct EndpointActor {
    context: Rc<Context>,
    own_mailbox: WeakSender<EndpointMessage>,
    pool: Pool,
    times: ResponseTimes,
    waiting: WaitingCalls,
    /// When the endpoint last refused a call, in microseconds of the monotonic clock; `None` if it has refused none.
    refused_at: Option<Micros>,
}

impl EndpointActor {
    async fn next_input(&mut self, mailbox: &Receiver<EndpointMessage>) -> Input {
        let clock = self.context.clock;
        let overdue_at = self.waiting.next_overdue_at();
        let received = async { mailbox.recv().await.map_or(Input::MailboxClosed, Input::Message) };
        let overdue = async {
            match overdue_at {
                Some(at) => Timer::at(clock.instant_at(at)).await,
                None => future::pending().await,
            };
            Input::WaitingCallOverdue
        };
        let idle_end = async {
            self.pool.until_idle_end().await;
            Input::IdleEnd
        };
        future::or(received, future::or(overdue, idle_end)).await
    }

    /// Starts a call, or lets it wait for a connection that is about to be reusable.
    fn handle_call(&mut self, call: Call) {
        let idle = self.take_connection(&call);
        if idle.is_some() {
            return self.start_call(call, idle);
        }
        if let Some(call) = self.waiting.add(self.context.clock.now(), call) {
            self.start_call(call, None);
        }
    }

    fn take_connection(&mut self, call: &Call) -> Option<EndpointConnection> {
        let config = self.context.config();
        let is_non_idempotent = |class: ClassId| config.non_idempotent[class.0];
        let now = self.context.clock.now();
        let refuses = self.refused_at.is_some_and(|refused_at| now < refused_at + REFUSAL_MEMORY);
        let is_non_idempotent = call.attempts.iter().any(|a| is_non_idempotent(a.message.request.class));
        let need = ConnectionNeed {
            without_refusals: is_non_idempotent,
            without_correctable: refuses || are_too_many(&self.context),
            without_unanswered: refuses && is_non_idempotent,
        };
        self.pool.take(need)
    }

    fn start_call(&self, call: Call, idle: Option<EndpointConnection>) {
        let setup = CallSetup {
            idle,
            times: self.times.or(self.context.response_times.get()),
            // `None` once the endpoint was removed: the call's connection is then closed instead of returned.
            return_to: self.own_mailbox.upgrade(),
        };
        self.context.executor.spawn(call::run(self.context.clone(), call, setup)).detach();
    }

    fn start_overdue_calls(&mut self) {
        for call in self.waiting.take_overdue(self.context.clock.now()) {
            self.start_call(call, None);
        }
    }

    fn call_ended(&mut self, report: EndedCallReport) {
        if let Some(response) = report.response_time {
            if is_refusal(response.status) {
                self.refused_at = Some(self.context.clock.now());
            }
            self.times.record(response.status, response.elapsed);
            self.context.response_times.record(response);
        }
        if report.found_stray {
            self.pool.suspend_reuse();
        }
        if let Some(connection) = report.connection {
            self.pool.put(connection);
        }
        // A waiting call is started in any case: with the connection, or with a new one if it cannot be reused.
        if let Some(call) = self.waiting.take_first() {
            let idle = self.take_connection(&call);
            self.start_call(call, idle);
        }
    }

    /// Starts the calls that still wait, and closes the idle connections.
    fn end(mut self) {
        while let Some(call) = self.waiting.take_first() {
            self.start_call(call, None);
        }
        self.pool.close_all(ConnectionEnd::EndpointRemoved);
    }
}
