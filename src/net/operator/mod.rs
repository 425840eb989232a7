//! The operators' calls: one call a connection, each answered within a second. It changes nothing itself: the membership's
//! actor keeps cordons, a flag tells user agents.

pub mod cordons;

use crate::membership::MembershipSnapshot;
use crate::net::client::{Answer, LINGER};
use crate::net::connection_registry::{ConnectionRegistry, EvictionPriority};
use crate::net::handover::frames::FORMAT;
use crate::net::http::{HttpConnection, HttpError, RequestHead};
use crate::net::messages::{AdminCommand, AdminError, DeliveryMessage, EndpointListMessage, Successor};
use crate::net::{config, within, Context};
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{info, warn};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A call must have come whole so long after its connection was taken.
const SLOW: Duration = Duration::from_millis(700);
/// What a call asks for must be done by then, or the answer is no.
const DONE: Duration = Duration::from_millis(900);
/// The longest body of a call: an id.
const LONGEST: usize = 1024;
const PREFIX: &str = "/admin/";
const HAND_OVER: &str = "/admin/handover";

/// Does it; a yes only once it holds.
pub async fn perform(
    context: &Context,
    members: &Sender<EndpointListMessage>,
    operation: AdminCommand,
) -> Result<(), AdminError> {
    match operation {
        AdminCommand::Cordon { id, cordoned: out } => {
            let (reply, answer) = async_channel::bounded(1);
            members
                .send(EndpointListMessage::Cordon { id, cordoned: out, reply })
                .await
                .map_err(|_| AdminError::ShuttingDown)?;
            answer.recv().await.unwrap_or(Err(AdminError::ShuttingDown))
        }
        AdminCommand::Quiesce(away) => {
            info!(context.log, "user agents"; "sent_away" => away);
            match away {
                true => context.quiesced.set(),
                false => context.quiesced.clear(),
            }
            Ok(())
        }
    }
}

/// Takes calls until the listener is dropped.
pub async fn serve(context: Rc<Context>, members: Sender<EndpointListMessage>, listener: Async<TcpListener>) {
    let lobby = Rc::new(ConnectionRegistry::default());
    let here = Rc::new(());
    loop {
        while Rc::strong_count(&here) > config::MAX_OPERATOR_CONNECTIONS + lobby.evictions_pending() {
            // All of them are being answered, which takes no time.
            if !lobby.evict_one() {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
        match listener.accept().await {
            Ok((stream, address)) => {
                let call = Call {
                    context: context.clone(),
                    members: members.clone(),
                    lobby: lobby.clone(),
                    wire: HttpConnection::new(stream),
                };
                let here = here.clone();
                let attending = async move {
                    attend(call, address).await;
                    drop(here);
                };
                context.executor.spawn(attending).detach();
            }
            Err(e) => {
                warn!(context.log, "cannot accept"; "side" => "operator", "error" => %e);
                Timer::after(Duration::from_millis(20)).await;
            }
        }
        future::yield_now().await;
    }
}

async fn attend(call: Call, address: SocketAddr) {
    let context = call.context.clone();
    let (what, reason) = call.converse().await;
    info!(context.log, "connection ended"; "side" => "operator", "address" => %address, "call" => what,
        "reason" => reason);
}

struct Call {
    context: Rc<Context>,
    members: Sender<EndpointListMessage>,
    lobby: Rc<ConnectionRegistry>,
    wire: HttpConnection,
}

impl Call {
    /// Reads a call and answers it: what it was, and why its connection ends.
    async fn converse(mut self) -> (String, &'static str) {
        let since = Instant::now();
        let guest = self.lobby.register(EvictionPriority::Reading);
        let reading = async {
            let head = self.wire.read_request().await?;
            let body = self.wire.request_body(&head, LONGEST).await?;
            Ok((head, body))
        };
        let crowded = async {
            guest.evicted().await;
            None
        };
        let read = future::or(crowded, within(SLOW, reading)).await;
        drop(guest);
        if let Some(Ok((head, _))) =
            read.as_ref().filter(|r| r.as_ref().is_ok_and(|r| r.0.target == HAND_OVER))
        {
            let what = "POST /admin/handover".to_owned();
            let answer = match self.begin_hand_over(head).await {
                Ok(list) => return (what, self.hand_over(list).await),
                Err(answer) => answer,
            };
            let _ = within(SLOW, self.wire.write(answer.bytes(false).as_bytes())).await;
            return (what, "answered");
        }
        let (what, answer, reason) = match read {
            Some(Ok((head, body))) => {
                let what = format!("{} {}", head.method, head.target);
                let answer = within(DONE.saturating_sub(since.elapsed()), self.answer(&head, &body)).await;
                let late = || Answer::plain(503, "it took too long and may yet happen\n");
                (what, answer.unwrap_or_else(late), "answered")
            }
            Some(Err(HttpError::TooLarge)) => (String::new(), Answer::plain(413, "too long\n"), "too-large"),
            Some(Err(HttpError::Ended)) => return (String::new(), "operator-closed"),
            Some(Err(e)) => (String::new(), Answer::plain(400, format!("{e}\n")), e.code()),
            None => (String::new(), Answer::plain(408, "the call took too long\n"), "slow-request"),
        };
        if within(SLOW, self.wire.write(answer.bytes(false).as_bytes())).await.is_none_or(|w| w.is_err()) {
            return (what, "operator-gone");
        }
        self.wire.end_sending();
        // Closing on what still comes would reset the connection, and the answer could be lost with it.
        let guest = self.lobby.register(EvictionPriority::Leaving);
        let drained = async {
            within(LINGER, self.wire.drain()).await;
        };
        future::or(guest.evicted(), drained).await;
        (what, reason)
    }

    /// Gives the connection to the module's actor, which hands all over on it.
    async fn hand_over(self, list: MembershipSnapshot) -> &'static str {
        let Call { context, members, mut wire, .. } = self;
        let yes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        let written = within(SLOW, wire.write(yes)).await.is_some_and(|w| w.is_ok());
        if written && context.delivery.send(DeliveryMessage::HandOver(Successor { wire, list })).await.is_ok()
        {
            return "handed-over";
        }
        context.handing_over.set(false);
        let _ = members.send(EndpointListMessage::HandOverAborted).await;
        "operator-gone"
    }

    async fn answer(&self, head: &RequestHead, body: &[u8]) -> Answer {
        let path = head.target.split('?').next().unwrap_or_default();
        let Some(what) = path.strip_prefix(PREFIX) else { return Answer::plain(404, "no such call\n") };
        let method = match what {
            "health" => "GET",
            "cordon" | "uncordon" | "quiesce" | "resume" => "POST",
            _ => return Answer::plain(404, "no such call\n"),
        };
        if head.method != method {
            return Answer::plain(405, format!("only with {method}\n"));
        }
        match what {
            "health" if self.context.handed_over.is_set() => {
                Answer::plain(503, "another process has taken over\n")
            }
            "health" if self.context.accepts_clients() => Answer::plain(200, "takes user agents\n"),
            "health" if self.context.quiesced.is_set() => Answer::plain(503, "sends user agents away\n"),
            "health" => Answer::plain(503, "not ready\n"),
            "quiesce" | "resume" => {
                let operation = AdminCommand::Quiesce(what == "quiesce");
                self.operate(operation, format!("{what}: it holds\n")).await
            }
            _ => self.cordon(what == "cordon", body).await,
        }
    }

    async fn cordon(&self, out: bool, body: &[u8]) -> Answer {
        let id = std::str::from_utf8(body).map(str::trim).unwrap_or_default();
        if id.is_empty() || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Answer::plain(400, "the body must be the id of an endpoint\n");
        }
        let yes = format!("{id} {}\n", if out { "is left out" } else { "may serve" });
        self.operate(AdminCommand::Cordon { id: id.to_owned(), cordoned: out }, yes).await
    }

    /// Has it done, by the process that decides.
    async fn operate(&self, operation: AdminCommand, yes: String) -> Answer {
        let done = if self.context.handing_over.get() {
            let (reply, answer) = async_channel::bounded(1);
            let _ = self.context.delivery.send(DeliveryMessage::Admin { command: operation, reply }).await;
            answer.recv().await.unwrap_or(Err(AdminError::ShuttingDown))
        } else {
            perform(&self.context, &self.members, operation).await
        };
        match done {
            Ok(()) => Answer::plain(200, yes),
            Err(AdminError::UnknownEndpoint) => Answer::plain(404, "the list knows no such endpoint\n"),
            Err(AdminError::NotPersisted(why)) => Answer::plain(507, format!("it cannot be kept: {why}\n")),
            Err(AdminError::ShuttingDown) => Answer::plain(503, "the program is ending\n"),
        }
    }

    /// Whether another process may replace this one; if so, nothing changes any more on its way there.
    async fn begin_hand_over(&self, head: &RequestHead) -> Result<MembershipSnapshot, Answer> {
        let told = |name: &str| head.fields.get(name).unwrap_or_default();
        if head.method != "POST" || told("X-Token") != *self.context.hand_over_token.borrow() {
            return Err(Answer::plain(404, "no such call\n"));
        }
        if told("X-Format") != FORMAT.to_string() {
            return Err(Answer::plain(415, format!("this process speaks form {FORMAT}\n")));
        }
        if self.context.handing_over.get() || self.context.closing() || !self.context.has_endpoint_list.get()
        {
            return Err(Answer::plain(409, "not now\n"));
        }
        self.context.handing_over.set(true);
        let (reply, answer) = async_channel::bounded(1);
        let list = async {
            let _ = self.members.send(EndpointListMessage::HandOver { reply }).await;
            answer.recv().await.ok()
        };
        match within(SLOW, list).await.flatten() {
            Some(list) => Ok(list),
            None => {
                self.context.handing_over.set(false);
                let _ = self.members.try_send(EndpointListMessage::HandOverAborted);
                Err(Answer::plain(503, "not now\n"))
            }
        }
    }
}
