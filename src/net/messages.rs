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
use std::net::SocketAddr;

/// What the delivery actor can be sent.
pub enum DeliveryMessage {
    /// A client sent a message.
    Submit {
        /// The message.
        request: Request,
        /// Where to send what became of it.
        reply: Sender<SubmitReply>,
    },
    /// The client of an accepted message was gone before the response was written.
    Withdrawn {
        /// The message.
        id: MessageId,
    },
    /// A client has ended its sending while it waits for the reply, which it may still read.
    ClientEnded {
        /// The client's id of the message.
        request_id: String,
    },
    /// An update of the endpoint list.
    EndpointList(EndpointListUpdate),
    /// Other settings are in force from now on.
    Settings(Box<Settings>),
    /// A call is complete, here or at the predecessor.
    CallCompleted(CallCompletion),
    /// A successor asks to take over.
    HandOver(Successor),
    /// An operator sent a command during a hand-over.
    Admin {
        /// The command.
        command: AdminCommand,
        /// Where to send whether it took effect.
        reply: Sender<Result<(), AdminError>>,
    },
    /// A watch has a line for the successor, which keeps the endpoint list.
    ListLine(ListLine),
    /// The journal can be written again.
    JournalWritable,
    /// The predecessor is gone.
    PredecessorGone,
    /// An operator asks for the status of destinations and tenants.
    DescribeStatus {
        /// Where to send it.
        reply: Sender<Value>,
    },
    /// The process is about to end: no step is made any more, but calls that complete are still journaled.
    Stop,
}

/// What became of a message that a client sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Accepted, under this id.
    #[serde(rename = "Taken")]
    Accepted(MessageId),
    /// Rejected: another message with its request id has not ended.
    #[serde(rename = "Held")]
    DuplicateId,
    /// Rejected or returned; its client may send it again after this time.
    Unavailable(Micros),
    /// It failed: it may or may not have taken effect.
    Failed,
}

/// The time after which a client may send a message again, where the delivery policy advises none.
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
    /// The successor has taken over.
    HandedOver,
    /// A watch of the predecessor has a line.
    PredecessorLine(ListLine),
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

/// A line that a watch has sent to a process whose successor has the list.
#[derive(Clone)]
pub struct ListLine {
    /// The line.
    pub line: Vec<u8>,
    /// The earliest time at which it may have come.
    pub received_at: Micros,
    /// Where the agent listens that has sent it.
    pub address: SocketAddr,
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

/// What an endpoint's actor can be sent.
pub enum EndpointMessage {
    /// Make this call.
    Call(Call),
    /// Close the idle connections.
    CloseIdle,
    /// A call has left its connection fit for the next one.
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
    /// Up to when a restart that finds it open would still call for it.
    pub deadline: Micros,
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
    /// It takes the lines that the watches of this process still get.
    pub accepts_list_lines: bool,
}
