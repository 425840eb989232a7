//! What the actors send each other. It imports no actor.

use super::call::{Call, Came};
use super::http::{Broken, Wire};
use super::in_flight::Request;
use crate::journal::ReportedEnd;
use crate::membership::{Carried, News};
use crate::{ListNews, MessageId, Micros, Settings};
use async_channel::Sender;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What the module's actor can be told.
pub enum ToDecider {
    /// A message is handed in.
    Take {
        /// The message.
        request: Request,
        /// Where to say what becomes of it.
        reply: Sender<Reply>,
    },
    /// The user agent of a message went before its answer was written.
    Withdrawn {
        /// The message that was taken on from it.
        id: MessageId,
    },
    /// News of the list.
    List(ListNews),
    /// Other settings hold from now on.
    Settings(Box<Settings>),
    /// A call has come out, here or at the process that this one replaces.
    CallEnded(Came),
    /// Another process asks to replace this one.
    HandOver(Heir),
    /// An operator wants something while all is being handed over.
    Operate {
        /// What.
        operation: Operation,
        /// Where to say what becomes of it.
        reply: Sender<Result<(), No>>,
    },
    /// The journal can be written again.
    JournalWritable,
    /// The process that this one has replaced is gone.
    OlderGone,
    /// Asks how destinations and channels stand, for operators.
    Show {
        /// Where to say it.
        reply: Sender<Value>,
    },
    /// The program is about to end: no more steps, but what is out is still noted.
    Close,
}

/// What becomes of a message that is handed in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Taken on, under this id.
    Taken(MessageId),
    /// Not taken on: another message of that name is not over yet.
    Held,
    /// Unavailable; it may come again after a while.
    Unavailable(Micros),
    /// It failed at once.
    Failed,
}

/// The advice to come again where the module had no say.
pub const LATER: Micros = 1_000_000;

/// What the membership's actor can be told.
pub enum ToMembers {
    /// To watch now, without a pause.
    Watch,
    /// To look where the platform's agent and the registry listen: the configuration was read again.
    Look,
    /// A watch has a line.
    Line {
        /// Which watch.
        watch: u64,
        /// The line.
        line: Vec<u8>,
    },
    /// A watch has fallen silent; it is still listened to.
    Silent {
        /// Which watch.
        watch: u64,
    },
    /// The watch before has had its moment.
    Parted {
        /// Which watch.
        watch: u64,
    },
    /// A watch has ended.
    Ended {
        /// Which watch.
        watch: u64,
        /// How.
        over: Over,
    },
    /// A new process has waited long enough for its first list.
    Unheard,
    /// Another process goes on with the list: nothing changes here any more.
    HandOver {
        /// Where to say what the list is.
        reply: Sender<Carried>,
    },
    /// It did not go on with it: changes are taken in again.
    GoOn,
    /// Operators want an endpoint left out, or back.
    Cordon {
        /// What the list calls it.
        id: String,
        /// Left out, or back.
        out: bool,
        /// Where to say whether that holds from now on.
        reply: Sender<Result<(), No>>,
    },
    /// The registry has answered.
    Registry {
        /// What it says.
        news: News,
        /// When that came.
        learnt: Micros,
        /// Where to say whether something of it is in doubt.
        doubt: Sender<bool>,
    },
}

/// How a watch was over.
pub enum Over {
    /// The platform turned it away, maybe with a wait.
    TurnedAway(u16, Option<Micros>),
    /// Its connection was of no more use.
    Broke(Broken),
}

/// What a peer can be told.
pub enum ToPeer {
    /// Make this call.
    Call(Call),
    /// Close the connections that carry nothing now.
    CloseIdle,
    /// A call has left its connection fit to be used again.
    Idle(Wire),
}

/// An end to be told.
pub struct Notice {
    /// The program's id of the message.
    pub id: MessageId,
    /// The user agent's.
    pub word: String,
    /// How it ended.
    pub end: ReportedEnd,
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// An endpoint left out, or back.
    Cordon {
        /// What the list calls it.
        id: String,
        /// Left out, or back.
        out: bool,
    },
    /// User agents sent away, or taken.
    SendAway(bool),
}

/// Why a call is answered with no.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum No {
    /// The list knows no such endpoint.
    Unknown,
    /// It cannot be kept, so it would not hold.
    NotKept(String),
    /// Nobody is there any more to do it.
    Gone,
}

/// One that asks to take over.
pub struct Heir {
    /// Its connection; it waits for the state.
    pub wire: Wire,
    /// The list as the membership's actor holds it, which changes nothing from here on.
    pub list: Carried,
}
