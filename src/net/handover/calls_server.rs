//! The end of a process that has lost its successor: its calls in flight go on, and the next process of the state folder may
//! ask for their results. Everything else that arrives is rejected.

use super::call_log::CallLog;
use super::frames::{CallsFrame, CallsRequestFrame};
use super::link::{HandOverError, Link};
use crate::net::delivery::DeliveryActor;
use crate::net::http::HttpConnection;
use crate::net::messages::{AdminError, DeliveryMessage, SubmitReply, DEFAULT_RETRY_AFTER};
use crate::net::Context;
use async_channel::Receiver;
use futures_lite::future;
use std::rc::Rc;

/// Serves the results of the calls that were in flight at the hand-over.
pub(super) struct CallsServer<'a> {
    context: Rc<Context>,
    actor: &'a mut DeliveryActor,
    log: CallLog,
    /// The process that has asked for the results; `None` while there is none.
    watcher: Option<Link>,
}

/// What the server handles next.
enum Received {
    Message(DeliveryMessage),
    /// The connection to the process that has asked has ended.
    WatcherGone,
}

impl<'a> CallsServer<'a> {
    /// Creates a server of what the log has, and of what is still to come.
    pub fn new(actor: &'a mut DeliveryActor, log: CallLog) -> Self {
        let context = actor.context().clone();
        let server = CallsServer { context, actor, log, watcher: None };
        server.context.gauges.unsent_results.set(server.log.frames().count() - 1);
        server
    }

    /// Serves until the mailbox is closed, which is the end of the process.
    pub async fn run(mut self, mailbox: &Receiver<DeliveryMessage>) {
        while let Some(received) = self.receive(mailbox).await {
            match received {
                Received::Message(message) => self.handle(message).await,
                Received::WatcherGone => self.watcher = None,
            }
        }
    }

    async fn receive(&mut self, mailbox: &Receiver<DeliveryMessage>) -> Option<Received> {
        let message = async { mailbox.recv().await.ok().map(Received::Message) };
        let watcher = &mut self.watcher;
        let gone = async {
            match watcher {
                // It sends nothing, so reading ends with its connection.
                Some(link) => while link.read::<CallsRequestFrame>().await.is_ok() {},
                None => future::pending().await,
            }
            Some(Received::WatcherGone)
        };
        future::or(gone, message).await
    }

    async fn handle(&mut self, message: DeliveryMessage) {
        if let Some(frame) = self.log.record(&message) {
            return self.send(frame).await;
        }
        match message {
            DeliveryMessage::Submit { reply, .. } => {
                // Sending fails if the client has disconnected; nobody needs the reply then.
                let _ = reply.try_send(SubmitReply::Unavailable(DEFAULT_RETRY_AFTER));
            }
            DeliveryMessage::Admin { reply, .. } => {
                // Sending fails if the operator has disconnected; nobody needs the result then.
                let _ = reply.try_send(Err(AdminError::ShuttingDown));
            }
            DeliveryMessage::WatchCalls(connection) => self.begin_watch(connection).await,
            DeliveryMessage::PredecessorGone => {
                for completion in self.actor.take_lost_calls() {
                    let frame = self.log.completed(&completion);
                    self.send(frame).await;
                }
            }
            // Nobody decides in this process any more.
            _ => {}
        }
    }

    async fn begin_watch(&mut self, connection: HttpConnection) {
        match self.send_log(connection).await {
            Ok(link) => {
                self.watcher = Some(link);
                self.context.gauges.unsent_results.set(0);
            }
            // It asks again.
            Err(_) => self.watcher = None,
        }
    }

    async fn send_log(&self, connection: HttpConnection) -> Result<Link, HandOverError> {
        let link = Link::new(connection, &self.context.executor)?;
        for frame in self.log.frames() {
            link.frames.send(&frame).await?;
        }
        Ok(link)
    }

    async fn send(&mut self, frame: CallsFrame) {
        let is_sent = match &self.watcher {
            Some(link) => link.frames.send(&frame).await.is_ok(),
            None => false,
        };
        if !is_sent {
            self.watcher = None;
            self.context.gauges.unsent_results.increment();
        }
    }
}
