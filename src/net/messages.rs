//! The messages that the actors send each other. This module does not depend on any actor.

use super::call::{Call, CallCompletion};
use super::endpoint::connection::EndpointConnection;
use super::handover::frames::{AcceptedFrames, CallsFrame};
use super::http::{HttpConnection, HttpError};
use super::in_flight::Request;
use crate::journal::ReportedEnd;
use crate::membership::{MembershipSnapshot, SourceUpdate};
use crate::memory::{MemoryPermit, OutOfMemory};
use crate::{EndpointListUpdate, MessageId, Micros, Settings};
use async_channel::Sender;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// A message to the delivery actor.
pub enum DeliveryMessage {
    /// A client sent a message.
    Submit {
        /// The client's message.
        request: Request,
        /// Receives whether the message was accepted.
        reply: Sender<SubmitReply>,
    },
    /// The client of an accepted message disconnected before the response was written.
    Withdrawn {
        /// The id of the message.
        id: MessageId,
    },
    /// A client that waits for the reply has shut down its sending side; it may still read the reply.
    ClientHalfClosed {
        /// The client's id of the message.
        request_id: String,
    },
    /// An update of the endpoint list.
    EndpointList(EndpointListUpdate),
    /// The settings that replace the previous ones.
    Settings(Box<Settings>),
    /// A call that this process made was answered, but the response may be a copy of an earlier one. Its completion follows
    /// once the response is confirmed or refuted, possibly with another result.
    CallAnswered(CallCompletion),
    /// A call that this process or its predecessor made is complete.
    CallCompleted(CallCompletion),
    /// A response says that messages of a call in flight at the predecessor have ended, but it may be a copy of an earlier one.
    EndRead(CallCompletion),
    /// A response came after its call was complete, and says that messages of the call have ended.
    LateEnd(CallCompletion),
    /// Messages that have ended unconfirmed are settled.
    EndSettled {
        /// The messages.
        messages: Vec<MessageId>,
        /// Whether their ends are confirmed.
        settlement: EndSettlement,
    },
    /// A successor asks to take over.
    HandOver(Successor),
    /// An operator sent a command during a hand-over.
    Admin {
        /// The operator's command.
        command: AdminCommand,
        /// Receives whether the command took effect.
        reply: Sender<Result<(), AdminError>>,
    },
    /// A watch of this process received a line that is forwarded to the successor, which keeps the endpoint list
    /// now.
    ListLine(ListLine),
    /// The journal can be written again.
    JournalWritable,
    /// The connection to the predecessor has ended, so the calls in flight there will not be completed by it.
    PredecessorGone,
    /// A process asks for the results of the calls of this one, which has lost its successor.
    WatchCalls(HttpConnection),
    /// An earlier process says what has become of calls that its fence names.
    FencedCalls {
        /// The id of the fence.
        fence: String,
        /// What has become of them.
        frame: CallsFrame,
    },
    /// An earlier process has ended.
    FenceReleased {
        /// The id of its fence.
        fence: String,
    },
    /// The deadline of a message is over that waited for an attempt at an earlier process.
    FencedExpired {
        /// The id of the message.
        id: MessageId,
    },
    /// A client asks for the status of destinations and tenants, by `GET /_counters?by=partner`.
    DescribeStatus {
        /// Receives the status, or that there is no memory for it.
        reply: Sender<Result<StatusReport, OutOfMemory>>,
    },
    /// The process is about to exit: no more steps are made, but the results of calls that complete are still journaled.
    Stop,
}

/// The status of all destinations and tenants, as JSON.
pub struct StatusReport {
    /// The state of each destination.
    pub destinations: Box<RawValue>,
    /// How many messages were received from each tenant.
    pub tenants: Box<RawValue>,
    /// The memory that the report holds.
    pub memory: MemoryPermit,
}

/// How the unconfirmed end of a message is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSettlement {
    /// The message has ended as the response said.
    Confirmed,
    /// That is not known and will not be known, so the end is reported to the platform.
    Unsettled,
}

/// The reply to a client's message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// The message was accepted under this id.
    #[serde(rename = "Taken")]
    Accepted(MessageId),
    /// The message was rejected: another message with the same request id is open, or its delivery report is pending.
    #[serde(rename = "Held")]
    DuplicateId,
    /// The message was rejected or returned; the client may send it again after this time, in microseconds.
    Unavailable(Micros),
    /// The message failed: it may or may not have taken effect.
    Failed,
}

/// The time after which a client may send a message again if the delivery policy gives none, in microseconds.
pub const DEFAULT_RETRY_AFTER: Micros = 1_000_000;

/// A message to the endpoint list actor.
pub enum EndpointListMessage {
    /// Asks to open the watch of the list again without delay.
    Resubscribe,
    /// The configuration was reloaded; the addresses of the platform's agent and the registry may have changed.
    ConfigReloaded,
    /// A watch received a line.
    WatchLine {
        /// The number of the watch.
        watch: u64,
        /// The line that was received.
        line: Vec<u8>,
    },
    /// A watch has not received anything for too long; it is still read.
    WatchSilent {
        /// The number of the watch.
        watch: u64,
    },
    /// A watch that was replaced need not be read any longer.
    ReplacedWatchExpired {
        /// The number of the watch.
        watch: u64,
    },
    /// A watch has ended.
    WatchEnded {
        /// The number of the watch.
        watch: u64,
        /// Why the watch ended.
        end: WatchEnd,
    },
    /// The time for which a new process waits for its first list has expired.
    InitialListTimeout,
    /// A successor asks to take over: the actor replies with its list and does not change it any more.
    HandOver {
        /// Receives the list.
        reply: Sender<MembershipSnapshot>,
    },
    /// The successor did not take over: this process keeps the list up to date again.
    HandOverAborted,
    /// The successor has taken over.
    HandedOver,
    /// A watch of the predecessor received a line.
    PredecessorLine(ListLine),
    /// An operator cordons an endpoint, or ends its cordon.
    Cordon {
        /// The endpoint's id in the list.
        id: String,
        /// True to cordon the endpoint, false to end the cordon.
        cordoned: bool,
        /// Receives whether the command took effect.
        reply: Sender<Result<(), AdminError>>,
    },
    /// The registry answered a poll.
    RegistryUpdate {
        /// The update of the list in the answer.
        update: SourceUpdate,
        /// When the answer was received, in microseconds of the monotonic clock.
        received_at: Micros,
        /// Receives whether a part of the registry's view is uncertain, so that the next poll must be complete.
        in_doubt_reply: Sender<bool>,
    },
}

/// A line of the endpoint list that a watch received after the process handed the list over to its successor.
#[derive(Clone)]
pub struct ListLine {
    /// The line that was received.
    pub line: Vec<u8>,
    /// The earliest time at which the line may have arrived, in microseconds of the monotonic clock.
    pub available_since: Micros,
    /// The address of the agent that sent the line.
    pub address: SocketAddr,
}

/// Why a watch ended.
pub enum WatchEnd {
    /// The platform's agent rejected the watch.
    Rejected {
        /// The status code of the response.
        status: u16,
        /// The retry-after of the response, in microseconds.
        retry_after: Option<Micros>,
        /// The time from the request to its response, in microseconds.
        answered_after: Micros,
    },
    /// The connection of the watch failed.
    Failed(HttpError),
}

/// A message to the actor of an endpoint.
pub enum EndpointMessage {
    /// Asks to make a call.
    Call(Call),
    /// Asks to close the idle connections.
    CloseIdle,
    /// A call was answered by a response that may be a copy, and its connection can probably be reused at this time, in
    /// microseconds of the monotonic clock.
    ReusableAt(Micros),
    /// A call has ended.
    CallEnded(Box<EndedCallReport>),
}

/// The time that an endpoint took for a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTime {
    /// The status code.
    pub status: u16,
    /// From the end of the request to the head of the response, in microseconds.
    pub elapsed: Micros,
}

/// What a call reports to the actor of its endpoint.
#[derive(Default)]
pub struct EndedCallReport {
    /// The call's connection, if it can be reused.
    pub connection: Option<EndpointConnection>,
    /// The time that the endpoint took for the call's own response; `None` if there was none.
    pub response_time: Option<ResponseTime>,
    /// Whether a stray response arrived on the call's connection.
    pub found_stray: bool,
}

/// A delivery report to the platform: how an accepted message ended that was not delivered.
pub struct DeliveryReport {
    /// The id that this forwarder assigned to the message.
    pub id: MessageId,
    /// The client's id of the message.
    pub request_id: String,
    /// How the message ended without delivery.
    pub end: ReportedEnd,
    /// The deadline of the message, in microseconds of the monotonic clock. If the process restarts before it and
    /// finds the message open in the journal, the message is sent again.
    pub deadline: Micros,
    /// The memory that the report holds until it is confirmed; `None` before it is queued.
    pub memory: Option<MemoryPermit>,
}

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminCommand {
    /// Cordons an endpoint, or ends its cordon.
    Cordon {
        /// The endpoint's id in the list.
        id: String,
        /// True to cordon the endpoint, false to end the cordon.
        #[serde(rename = "out")]
        cordoned: bool,
    },
    /// True to quiesce: clients are asked to leave. False to accept clients again.
    #[serde(rename = "SendAway")]
    Quiesce(bool),
}

/// Why a command did not take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminError {
    /// The endpoint list has no endpoint with this id.
    #[serde(rename = "Unknown")]
    UnknownEndpoint,
    /// The command cannot be persisted, so it would be lost with a restart; with the reason.
    #[serde(rename = "NotKept")]
    NotPersisted(String),
    /// The process is shutting down.
    #[serde(rename = "Gone")]
    ShuttingDown,
}

/// A process that asks to take over.
pub struct Successor {
    /// The connection to the successor, on which it waits for the state.
    pub connection: HttpConnection,
    /// The endpoint list; the endpoint list actor does not change it any more.
    pub list: MembershipSnapshot,
    /// The optional frames that the successor accepts.
    pub accepted_frames: AcceptedFrames,
}
