//! What passes between the two processes of a hand-over. Its names on the wire are fixed by [`FORMAT`]: a process of the
//! release before must be understood, so a new name in the code keeps the old one in `serde`.

use crate::membership::MembershipSnapshot;
use crate::net::call::CallCompletion;
use crate::net::in_flight::Request;
use crate::net::messages::{AdminCommand, AdminError, SubmitReply};
use crate::{EndpointId, MessageId, Micros};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// The version of the frames; a process that speaks another one waits until its predecessor has ended. Version 4 has the
/// times of the clock that all processes of a machine share; version 3 sent the wall clock beside an own one.
pub const FORMAT: u32 = 4;

/// The header by which a successor names frames beyond those of [`FORMAT`] that it accepts; a release that does not know the
/// header sends none of them.
pub const ACCEPTED_FRAMES_HEADER: &str = "X-Accept-Frames";
/// The name of [`PredecessorFrame::ListLine`] in that header.
pub const LIST_LINE_FRAME: &str = "list-line";

/// An attempt that is in flight at the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, EndpointId)", into = "(u32, EndpointId)")]
pub struct HandOverAttempt {
    /// Which attempt of its message, from 0.
    pub number: u32,
    /// Where it was sent.
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

/// A timer that the delivery policy has asked for; ordered by the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Micros, u64)", into = "(Micros, u64)")]
pub struct PolicyTimer {
    /// When it is due.
    pub due_at: Micros,
    /// What the policy knows it by.
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

/// A message that is in flight: what the journal does not hold of it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct HandOverMessage {
    /// Its id.
    pub id: MessageId,
    /// Attempts begun, including those that were not sent in the end.
    pub attempts: u32,
    /// When it was received; `None` for a message that an earlier process received.
    #[serde(rename = "since")]
    pub received_at: Option<Micros>,
    /// The attempt in flight.
    #[serde(rename = "out")]
    pub in_flight: Option<HandOverAttempt>,
}

/// The predecessor's state at the moment of the hand-over, but for what the state folder holds.
#[derive(Serialize, Deserialize)]
pub struct HandOverState {
    /// The state of the delivery policy.
    #[serde(rename = "module")]
    pub policy: Value,
    /// The last id that was given to a message.
    pub last_id: u64,
    /// The open messages, and those that have ended with an attempt in flight.
    pub messages: Vec<HandOverMessage>,
    /// The policy's timers.
    pub timers: Vec<PolicyTimer>,
    /// Messages received of each tenant.
    #[serde(rename = "handed_in")]
    pub received_by_tenant: Vec<u64>,
    /// Clients connected to the predecessor.
    #[serde(rename = "user_agents")]
    pub client_connections: usize,
    /// The endpoint list.
    pub list: MembershipSnapshot,
}

/// A frame from the predecessor to its successor.
#[derive(Serialize, Deserialize)]
pub enum PredecessorFrame {
    /// The first frame; events that come later are held back until the successor owns the folder.
    State(Box<HandOverState>),
    /// The successor may take the lock of the folder.
    Granted,
    /// A client sent a message; its body follows the frame's head.
    #[serde(rename = "Take")]
    Submit {
        /// Numbers the request; the reply names it.
        number: u64,
        /// The message without its body.
        request: Request,
    },
    /// The client of an accepted message closed its connection before it was answered.
    Withdrawn {
        /// The message.
        id: MessageId,
    },
    /// A call that was in flight at the predecessor is complete.
    #[serde(rename = "Passed")]
    CallCompleted(CallCompletion),
    /// A watch of the endpoint list has sent a line to the predecessor; it follows the frame's head. Only for a successor that
    /// accepts [`LIST_LINE_FRAME`].
    ListLine {
        /// The earliest time at which it may have come.
        received_at: Micros,
        /// Where the agent listens that has sent it.
        address: SocketAddr,
    },
    /// An operator sent a command.
    #[serde(rename = "Operate")]
    Admin {
        /// Numbers the command; the answer names it.
        number: u64,
        /// The command.
        #[serde(rename = "operation")]
        command: AdminCommand,
    },
}

/// A frame from the successor to its predecessor.
#[derive(Serialize, Deserialize)]
pub enum SuccessorFrame {
    /// It has read the folder and listens: it takes over.
    Owns,
    /// The answer to [`PredecessorFrame::Submit`].
    Reply {
        /// The number of the request.
        number: u64,
        /// What became of the message.
        reply: SubmitReply,
    },
    /// An attempt in flight at the predecessor is to be cancelled.
    #[serde(rename = "CallOff")]
    Cancel {
        /// The message.
        id: MessageId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The answer to [`PredecessorFrame::Admin`].
    #[serde(rename = "Operated")]
    AdminDone {
        /// The number of the command.
        number: u64,
        /// Whether it took effect.
        #[serde(rename = "answer")]
        result: Result<(), AdminError>,
    },
}
