//! The actor of an endpoint: it owns the idle connections to the endpoint and starts the calls.

use super::call;
use super::connection_end::ConnectionEnd;
use super::pool::Pool;
use crate::net::messages::EndpointMessage;
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
    let mut pool = Pool::new(context.clone(), endpoint);
    loop {
        let idle_end = async {
            pool.until_idle_end().await;
            None
        };
        match future::or(async { Some(mailbox.recv().await) }, idle_end).await {
            None => pool.close_unusable(),
            Some(Ok(EndpointMessage::Call(call))) => {
                let idle = pool.take_most_recent();
                // `None` once the endpoint was removed: the call's connection is then closed instead of returned.
                let pool_mailbox = own_mailbox.upgrade();
                context.executor.spawn(call::run(context.clone(), call, idle, pool_mailbox)).detach();
            }
            Some(Ok(EndpointMessage::CloseIdle)) => pool.close_all(ConnectionEnd::CloseIdle),
            Some(Ok(EndpointMessage::ReturnConnection(connection))) => pool.put(connection),
            Some(Err(_)) => return pool.close_all(ConnectionEnd::EndpointRemoved),
        }
    }
}
