//! The actor of an endpoint: it owns the idle connections to the endpoint and starts the calls.

use super::call::{self, CallSetup};
use super::connection_end::ConnectionEnd;
use super::pool::Pool;
use crate::invariants::ResponseTimes;
use crate::net::call::Call;
use crate::net::messages::{EndedCallReport, EndpointMessage};
use crate::net::Context;
use crate::EndpointId;
use async_channel::{Receiver, WeakSender};
use futures_lite::future;
use std::rc::Rc;

/// Runs until all senders of the mailbox are dropped, that is until the endpoint was removed from the list and its
/// calls are complete. `own_mailbox` is the sender of the same mailbox, by which calls return their connections.
pub async fn run(
    context: Rc<Context>,
    endpoint: EndpointId,
    mailbox: Receiver<EndpointMessage>,
    own_mailbox: WeakSender<EndpointMessage>,
) {
    let pool = Pool::new(context.clone(), endpoint);
    let mut actor = EndpointActor { context, own_mailbox, pool, times: ResponseTimes::default() };
    loop {
        let idle_end = async {
            actor.pool.until_idle_end().await;
            None
        };
        match future::or(async { Some(mailbox.recv().await) }, idle_end).await {
            None => actor.pool.close_unusable(),
            Some(Ok(EndpointMessage::Call(call))) => actor.start_call(call),
            Some(Ok(EndpointMessage::CloseIdle)) => actor.pool.close_all(ConnectionEnd::CloseIdle),
            Some(Ok(EndpointMessage::CallEnded(report))) => actor.call_ended(report),
            Some(Err(_)) => return actor.pool.close_all(ConnectionEnd::EndpointRemoved),
        }
    }
}

struct EndpointActor {
    context: Rc<Context>,
    own_mailbox: WeakSender<EndpointMessage>,
    pool: Pool,
    times: ResponseTimes,
}

impl EndpointActor {
    fn start_call(&mut self, call: Call) {
        let non_idempotent = &self.context.config().non_idempotent;
        let may_not_repeat =
            call.attempts.iter().any(|attempt| non_idempotent[attempt.message.request.class.0]);
        let setup = CallSetup {
            idle: self.pool.take(may_not_repeat),
            times: self.times,
            // `None` once the endpoint was removed: the call's connection is then closed instead of returned.
            return_to: self.own_mailbox.upgrade(),
        };
        self.context.executor.spawn(call::run(self.context.clone(), call, setup)).detach();
    }

    fn call_ended(&mut self, report: EndedCallReport) {
        if let Some(response_time) = report.response_time {
            self.times.record(response_time);
        }
        if report.found_stray {
            self.pool.suspend_reuse();
        }
        if let Some(connection) = report.connection {
            self.pool.put(connection);
        }
    }
}
