//! What the actors send each other. It imports no actor.

use super::call::{Call, CallCompletion};
use super::http::{HttpConnection, HttpError};
use super::in_flight::Request;
use crate::journal::ReportedEnd;
use crate::membership::{MembershipSnapshot, SourceUpdate};
use crate::{EndpointListUpdate, MessageId, Micros, Settings};
use async_channel::Sender;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What the module's actor can be told.
pub enum DeliveryMessage {
    /// A message is handed in.
    Submit {
        /// The message.
        request: Request,
        /// Where to say what becomes of it.
        reply: Sender<SubmitReply>,
    },
    /// The user agent of a message went before its answer was written.
    Withdrawn {
        /// The message that was taken on from it.
        id: MessageId,
    },
    /// News of the list.
    EndpointList(EndpointListUpdate),
    /// Other settings hold from now on.
    Settings(Box<Settings>),
    /// A call has come out, here or at the process that this one replaces.
    CallCompleted(CallCompletion),
    /// Another process asks to replace this one.
    HandOver(Successor),
    /// An operator wants something while all is being handed over.
    Admin {
        /// What.
        command: AdminCommand,
        /// Where to say what becomes of it.
        reply: Sender<Result<(), AdminError>>,
    },
    /// The journal can be written again.
    JournalWritable,
    /// The process that this one has replaced is gone.
    PredecessorGone,
    /// Asks how destinations and channels stand, for operators.
    DescribeStatus {
        /// Where to say it.
        reply: Sender<Value>,
    },
    /// The program is about to end: no more steps, but what is out is still noted.
    Stop,
}

/// What becomes of a message that is handed in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Taken on, under this id.
    #[serde(rename = "Taken")]
    Accepted(MessageId),
    /// Not taken on: another message of that name is not over yet.
    #[serde(rename = "Held")]
    DuplicateId,
    /// Unavailable; it may come again after a while.
    Unavailable(Micros),
    /// It failed at once.
    Failed,
}

/// The advice to come again where the module had no say.
pub const DEFAULT_RETRY_AFTER: Micros = 1_000_000;

/// What the endpoint list actor can be sent.
pub enum EndpointListMessage {
    /// Watch the list now, without a delay.
    Resubscribe,
    /// The configuration was reloaded: the platform's agent and the registry may be elsewhere.
    ConfigReloaded,
    /// A watch has a line.
    WatchLine {
        /// Which watch.
        watch: u64,
        /// The line.
        line: Vec<u8>,
    },
    /// A watch has fallen silent; it is still read.
    WatchSilent {
        /// Which watch.
        watch: u64,
    },
    /// The time for which a replaced watch was still read is over.
    ReplacedWatchExpired {
        /// Which watch.
        watch: u64,
    },
    /// A watch has ended.
    WatchEnded {
        /// Which watch.
        watch: u64,
        /// How.
        end: WatchEnd,
    },
    /// A new process has waited long enough for its first list.
    InitialListTimeout,
    /// A successor keeps the list: nothing changes here any more.
    HandOver {
        /// Where to send the list.
        reply: Sender<MembershipSnapshot>,
    },
    /// The successor did not take over: the list is kept here again.
    HandOverAborted,
    /// An operator cordons an endpoint, or ends its cordon.
    Cordon {
        /// Its id in the list.
        id: String,
        /// Cordoned, or no longer.
        cordoned: bool,
        /// Where to send whether that holds from now on.
        reply: Sender<Result<(), AdminError>>,
    },
    /// The registry has answered.
    RegistryUpdate {
        /// Its answer.
        update: SourceUpdate,
        /// When it was received.
        received_at: Micros,
        /// Where to send whether something of it is in doubt.
        doubted: Sender<bool>,
    },
}

/// How a watch ended.
pub enum WatchEnd {
    /// The platform's agent refused it.
    Rejected {
        /// The status of its response.
        status: u16,
        /// How long it asks to wait, if it does.
        retry_after: Option<Micros>,
    },
    /// Its connection failed.
    Failed(HttpError),
}

/// What a peer can be told.
pub enum EndpointMessage {
    /// Make this call.
    Call(Call),
    /// Close the connections that carry nothing now.
    CloseIdle,
    /// A call has left its connection fit to be used again.
    ReturnConnection(HttpConnection),
}

/// How an accepted message ended, to be reported to the platform.
pub struct DeliveryReport {
    /// The program's id of the message.
    pub id: MessageId,
    /// The client's id of the message.
    pub request_id: String,
    /// How it ended.
    pub end: ReportedEnd,
}

/// What an operator commands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminCommand {
    /// An endpoint is cordoned, or no longer.
    Cordon {
        /// Its id in the list.
        id: String,
        /// Cordoned, or no longer.
        #[serde(rename = "out")]
        cordoned: bool,
    },
    /// Clients are quiesced, or accepted again.
    #[serde(rename = "SendAway")]
    Quiesce(bool),
}

/// Why a command does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminError {
    /// The list knows no such endpoint.
    #[serde(rename = "Unknown")]
    UnknownEndpoint,
    /// It cannot be persisted, so it would not hold after a restart.
    #[serde(rename = "NotKept")]
    NotPersisted(String),
    /// The program is ending.
    #[serde(rename = "Gone")]
    ShuttingDown,
}

/// One that asks to take over.
pub struct Successor {
    /// Its connection; it waits for the state.
    pub connection: HttpConnection,
    /// The list as the membership's actor holds it, which changes nothing from here on.
    pub list: MembershipSnapshot,
}
