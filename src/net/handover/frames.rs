//! The frames that the two processes of a hand-over exchange. [`FORMAT_VERSION`] fixes their names on the wire, as a process
//! must understand one of the previous release. An item that is renamed in the code therefore keeps its old name in a
//! `serde` attribute.

use crate::membership::MembershipSnapshot;
use crate::net::call::{AttemptId, CallCompletion};
use crate::net::in_flight::Request;
use crate::net::messages::{AdminCommand, AdminError, SubmitReply};
use crate::net::request_ids::EndedId;
use crate::{DeliveryPolicy, EndpointId, MessageId, Micros};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The version of the frames. A successor that uses another version than its predecessor waits until the predecessor has
/// ended. Since version 4, times are those of the monotonic clock that all processes of a machine share; in version 3 each
/// process had a clock of its own and sent the wall clock with it.
pub const FORMAT_VERSION: u32 = 4;

/// The request header in which a successor lists the optional frames that it accepts besides those of [`FORMAT_VERSION`]. A
/// predecessor of a release without this header sends none of them.
pub const ACCEPTED_FRAMES_HEADER: &str = "X-Accept-Frames";
/// The value in [`ACCEPTED_FRAMES_HEADER`] that stands for [`PredecessorFrame::ListLine`].
pub const LIST_LINE_FRAME: &str = "list-line";
/// The value in [`ACCEPTED_FRAMES_HEADER`] that stands for [`PredecessorFrame::EndRead`] and [`PredecessorFrame::LateEnd`].
pub const READ_ENDS_FRAMES: &str = "read-ends";

/// The optional frames that a successor accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptedFrames {
    /// Whether it accepts [`PredecessorFrame::ListLine`].
    pub list_lines: bool,
    /// Whether it accepts [`PredecessorFrame::EndRead`] and [`PredecessorFrame::LateEnd`].
    pub read_ends: bool,
}

impl AcceptedFrames {
    /// Reads the value of [`ACCEPTED_FRAMES_HEADER`]. Names that this release does not know are ignored.
    pub fn parse(header: &str) -> Self {
        let accepts = |name: &str| header.split(',').any(|frame| frame.trim() == name);
        AcceptedFrames { list_lines: accepts(LIST_LINE_FRAME), read_ends: accepts(READ_ENDS_FRAMES) }
    }
}

/// An attempt that is in flight at the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, EndpointId)", into = "(u32, EndpointId)")]
pub struct HandOverAttempt {
    /// The attempt's number among those of its message, from 0.
    pub number: u32,
    /// The endpoint to which it was sent.
    pub endpoint: EndpointId,
}

impl From<(u32, EndpointId)> for HandOverAttempt {
    fn from((number, endpoint): (u32, EndpointId)) -> Self {
        HandOverAttempt { number, endpoint }
    }
}

impl From<HandOverAttempt> for (u32, EndpointId) {
    fn from(attempt: HandOverAttempt) -> Self {
        (attempt.number, attempt.endpoint)
    }
}

/// A timer that the delivery policy has requested. Timers are ordered by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Micros, u64)", into = "(Micros, u64)")]
pub struct PolicyTimer {
    /// When it is due, in microseconds of the monotonic clock.
    pub due_at: Micros,
    /// The number by which the policy identifies it.
    pub token: u64,
}

impl From<(Micros, u64)> for PolicyTimer {
    fn from((due_at, token): (Micros, u64)) -> Self {
        PolicyTimer { due_at, token }
    }
}

impl From<PolicyTimer> for (Micros, u64) {
    fn from(timer: PolicyTimer) -> Self {
        (timer.due_at, timer.token)
    }
}

/// The state of a message in flight that is not in the journal.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct HandOverMessage {
    /// The forwarder's id of the message.
    pub id: MessageId,
    /// The number of attempts begun, including attempts that were never sent.
    pub attempts: u32,
    /// When it was received, in microseconds of the monotonic clock; `None` if an earlier process received it.
    #[serde(rename = "since")]
    pub received_at: Option<Micros>,
    /// The attempt in flight, if there is one.
    #[serde(rename = "out")]
    pub in_flight: Option<HandOverAttempt>,
}

/// The predecessor's state at the moment of the hand-over, except for what is in the state folder. The predecessor serializes its
/// delivery policy straight into the frame; the successor receives it as text, which is far smaller than a tree of values.
#[derive(Serialize, Deserialize)]
pub struct HandOverState<Policy = Box<RawValue>> {
    /// The state of the delivery policy.
    #[serde(rename = "module")]
    pub policy: Policy,
    /// The last id that was assigned to a message.
    pub last_id: u64,
    /// The open messages, and the ended messages that still have an attempt in flight.
    pub messages: Vec<HandOverMessage>,
    /// The pending timers of the policy.
    pub timers: Vec<PolicyTimer>,
    /// The number of messages received from each tenant, in the order of the configuration.
    #[serde(rename = "handed_in")]
    pub received_by_tenant: Vec<u64>,
    /// The number of clients connected to the predecessor.
    #[serde(rename = "user_agents")]
    pub client_connections: usize,
    /// The endpoint list of the predecessor.
    pub list: MembershipSnapshot,
    /// The ids of messages that have ended; none from a predecessor of a release that does not remember them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended_ids: Vec<EndedId>,
}

impl HandOverState {
    /// The attempts in flight at the predecessor.
    pub fn attempts_in_flight(&self) -> BTreeSet<AttemptId> {
        let attempt = |message: &HandOverMessage| {
            message.in_flight.map(|attempt| AttemptId { message: message.id, number: attempt.number })
        };
        self.messages.iter().filter_map(attempt).collect()
    }
}

/// [`PredecessorFrame::State`] as the predecessor sends it.
#[derive(Serialize)]
pub enum StateFrame<'a> {
    /// The predecessor's state.
    State(&'a HandOverState<&'a DeliveryPolicy>),
}

/// A frame from the predecessor to its successor.
#[derive(Serialize, Deserialize)]
pub enum PredecessorFrame {
    /// The predecessor's state; always the first frame. The predecessor sends no later event until the successor owns the
    /// folder.
    State(Box<HandOverState>),
    /// The predecessor has released the lock of the state folder.
    #[serde(rename = "Granted")]
    LockReleased,
    /// A client of the predecessor submits a message. The message's body is the frame's body.
    #[serde(rename = "Take")]
    Submit {
        /// The number of the request; the reply carries the same number.
        number: u64,
        /// The message without its body.
        request: Request,
    },
    /// The client of an accepted message closed its connection before the response was written.
    Withdrawn {
        /// The forwarder's id of the message.
        id: MessageId,
    },
    /// A call that was in flight at the predecessor is complete.
    #[serde(rename = "Passed")]
    CallCompleted(CallCompletion),
    /// A response says that messages of a call in flight at the predecessor have ended, but it may be a copy of an earlier one. The
    /// call is not complete. It is sent only to a successor that accepts [`READ_ENDS_FRAMES`].
    EndRead(CallCompletion),
    /// A response came after its call was complete, and says that messages of the call have ended. It is sent only to a
    /// successor that accepts [`READ_ENDS_FRAMES`].
    LateEnd(CallCompletion),
    /// A watch of the predecessor received a line of the endpoint list, which is the frame's body. It is sent only to a
    /// successor that accepts [`LIST_LINE_FRAME`].
    ListLine {
        /// The earliest time at which the line may have arrived, in microseconds of the monotonic clock.
        #[serde(rename = "received_at")]
        available_since: Micros,
        /// The address of the agent that sent it.
        address: SocketAddr,
    },
    /// An operator sent a command to the predecessor.
    #[serde(rename = "Operate")]
    Admin {
        /// The number of the command; the answer carries the same number.
        number: u64,
        /// The command that the operator sent.
        #[serde(rename = "operation")]
        command: AdminCommand,
    },
}

/// A frame from the successor to its predecessor.
#[derive(Serialize, Deserialize)]
pub enum SuccessorFrame {
    /// The successor has read the state folder and opened its listeners, and asks for the lock of the folder. The
    /// predecessor makes no more decisions once it has received this.
    #[serde(rename = "Owns")]
    ReadyToOwn,
    /// The answer to [`PredecessorFrame::Submit`].
    Reply {
        /// The number of the request.
        number: u64,
        /// The decision on the message.
        reply: SubmitReply,
    },
    /// Cancels an attempt that is in flight at the predecessor.
    #[serde(rename = "CallOff")]
    Cancel {
        /// The forwarder's id of the message.
        id: MessageId,
        /// The number of the attempt among those of its message, from 0.
        attempt: u32,
    },
    /// The answer to [`PredecessorFrame::Admin`].
    #[serde(rename = "Operated")]
    AdminDone {
        /// The number of the command.
        number: u64,
        /// Whether the command took effect, or why not.
        #[serde(rename = "answer")]
        result: Result<(), AdminError>,
    },
}

/// A frame from a process that has lost its successor to the process that watches its calls. The calls that have ended come
/// first, then [`CallsFrame::InFlight`], then what becomes of the others.
#[derive(Clone, Serialize, Deserialize)]
pub enum CallsFrame {
    /// A call is complete.
    Completed(EndedCall),
    /// A response says that messages of a call have ended, but it may be a copy of an earlier one. The call is not complete.
    EndRead(CallCompletion),
    /// A response came after its call was complete, and says that messages of the call have ended.
    LateEnd(CallCompletion),
    /// The attempts that are still in flight.
    InFlight(Vec<AttemptId>),
}

/// A complete call of a process that has lost its successor.
#[derive(Clone, Serialize, Deserialize)]
pub struct EndedCall {
    /// The address of the endpoint, as the two processes may number endpoints differently; `None` if it is not listed any more.
    pub address: Option<SocketAddr>,
    /// When the call ended, in microseconds of the monotonic clock.
    pub ended_at: Micros,
    /// The call's attempts and results.
    pub completion: CallCompletion,
}

/// A frame from the process that watches calls. There is none in this release: the end of the connection ends the watch.
#[derive(Serialize, Deserialize)]
pub enum CallsRequestFrame {}
