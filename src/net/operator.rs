//! The operators' calls: one call a connection, each answered within a second. It changes nothing itself: the farm
//! keeps cordons, the doors tell user agents.

use super::farm::ToFarm;
use super::front::{Answer, LINGER};
use super::http::{Asked, Broken, Wire};
use super::lobby::{Lobby, Stay};
use super::{config, within, Context};
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{info, warn};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// A call must have come whole so long after its connection was taken.
const SLOW: Duration = Duration::from_millis(700);
/// What a call asks for must be done by then, or the answer is no.
const DONE: Duration = Duration::from_millis(900);
/// The longest body of a call: an id.
const LONGEST: usize = 1024;
const PREFIX: &str = "/admin/";

/// Why a call is answered with no.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum No {
    /// The list knows no such endpoint.
    Unknown,
    /// It cannot be kept, so it would not hold.
    NotKept(String),
}

/// Takes calls until the listener is dropped.
pub async fn serve(context: Rc<Context>, farm: Sender<ToFarm>, listener: Async<TcpListener>) {
    let lobby = Rc::new(Lobby::default());
    let here = Rc::new(());
    loop {
        while Rc::strong_count(&here) - 1 >= config::OPERATORS + lobby.going() {
            // All of them are being answered, which takes no time.
            if !lobby.make_room() {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
        match listener.accept().await {
            Ok((stream, address)) => {
                let call = Call {
                    context: context.clone(),
                    farm: farm.clone(),
                    lobby: lobby.clone(),
                    wire: Wire::new(stream),
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

async fn attend(mut call: Call, address: SocketAddr) {
    let (what, reason) = call.converse().await;
    info!(call.context.log, "connection ended"; "side" => "operator", "address" => %address, "call" => what,
        "reason" => reason);
}

struct Call {
    context: Rc<Context>,
    farm: Sender<ToFarm>,
    lobby: Rc<Lobby>,
    wire: Wire,
}

impl Call {
    /// Reads a call and answers it: what it was, and why its connection ends.
    async fn converse(&mut self) -> (String, &'static str) {
        let guest = self.lobby.enter(Stay::Reading);
        let reading = async {
            let head = self.wire.read_request().await?;
            let body = self.wire.request_body(&head, LONGEST).await?;
            Ok((head, body))
        };
        let crowded = async {
            guest.asked_to_go().await;
            None
        };
        let read = future::or(crowded, within(SLOW, reading)).await;
        drop(guest);
        let (what, answer, reason) = match read {
            Some(Ok((head, body))) => {
                let what = format!("{} {}", head.method, head.target);
                let answer = within(DONE - SLOW, self.answer(&head, &body)).await;
                let late = || Answer::plain(503, "it took too long and may yet happen\n");
                (what, answer.unwrap_or_else(late), "answered")
            }
            Some(Err(Broken::TooLarge)) => (String::new(), Answer::plain(413, "too long\n"), "too-large"),
            Some(Err(Broken::Ended)) => return (String::new(), "operator-closed"),
            Some(Err(e)) => (String::new(), Answer::plain(400, format!("{e}\n")), e.code()),
            None => (String::new(), Answer::plain(408, "the call took too long\n"), "slow-request"),
        };
        if within(SLOW, self.wire.write(answer.bytes(false).as_bytes())).await.is_none_or(|w| w.is_err()) {
            return (what, "operator-gone");
        }
        self.wire.end_sending();
        // Closing on what still comes would reset the connection, and the answer could be lost with it.
        let guest = self.lobby.enter(Stay::Refused);
        let drained = async {
            within(LINGER, self.wire.drain()).await;
        };
        future::or(guest.asked_to_go(), drained).await;
        (what, reason)
    }

    async fn answer(&self, head: &Asked, body: &[u8]) -> Answer {
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
            "health" if self.context.takes_user_agents() => Answer::plain(200, "takes user agents\n"),
            "health" if self.context.doors.shut() => Answer::plain(503, "sends user agents away\n"),
            "health" => Answer::plain(503, "not ready\n"),
            "quiesce" => {
                info!(self.context.log, "user agents are sent away");
                self.context.doors.close();
                Answer::plain(200, "user agents are sent away\n")
            }
            "resume" => {
                info!(self.context.log, "user agents are taken");
                self.context.doors.open();
                Answer::plain(200, "user agents are taken\n")
            }
            _ => self.cordon(what == "cordon", body).await,
        }
    }

    async fn cordon(&self, out: bool, body: &[u8]) -> Answer {
        let id = std::str::from_utf8(body).map(str::trim).unwrap_or_default();
        if id.is_empty() || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Answer::plain(400, "the body must be the id of an endpoint\n");
        }
        let (reply, answer) = async_channel::bounded(1);
        let asking = ToFarm::Cordon { id: id.to_owned(), out, reply };
        if self.farm.send(asking).await.is_err() {
            return Answer::plain(503, "the program is ending\n");
        }
        match answer.recv().await {
            Ok(Ok(())) if out => Answer::plain(200, format!("{id} is left out\n")),
            Ok(Ok(())) => Answer::plain(200, format!("{id} may serve\n")),
            Ok(Err(No::Unknown)) => Answer::plain(404, format!("the list knows no endpoint {id}\n")),
            Ok(Err(No::NotKept(why))) => Answer::plain(507, format!("it cannot be kept: {why}\n")),
            Err(_) => Answer::plain(503, "the program is ending\n"),
        }
    }
}

/// Whether user agents are taken, with word to those that wait between two requests.
pub struct Doors {
    word: std::cell::RefCell<(Sender<()>, async_channel::Receiver<()>)>,
}

impl Default for Doors {
    fn default() -> Self {
        Doors { word: async_channel::bounded(1).into() }
    }
}

impl Doors {
    /// User agents are sent away.
    pub fn shut(&self) -> bool {
        self.word.borrow().0.is_closed()
    }

    /// From now on user agents are sent away.
    pub fn close(&self) {
        self.word.borrow().0.close();
    }

    /// From now on they are taken.
    pub fn open(&self) {
        if self.shut() {
            *self.word.borrow_mut() = async_channel::bounded(1);
        }
    }

    /// Comes back once user agents are sent away.
    pub async fn until_shut(&self) {
        let word = self.word.borrow().1.clone();
        let _ = word.recv().await;
    }
}
