//! What a process that has handed over knows of the calls that were in flight then: which are still in flight, and the results
//! of the others. If its successor dies, the next process asks for it.

use super::frames::{CallsFrame, EndedCall};
use crate::net::call::{AttemptId, CallCompletion};
use crate::net::messages::DeliveryMessage;
use crate::net::Context;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The calls in flight at the hand-over, and what has become of them. It grows by a few frames for each of these calls.
pub(super) struct CallLog {
    context: Rc<Context>,
    in_flight: BTreeSet<AttemptId>,
    frames: Vec<CallsFrame>,
}

impl CallLog {
    /// Creates the log of these attempts, of which none has ended.
    pub fn new(context: Rc<Context>, in_flight: BTreeSet<AttemptId>) -> Self {
        CallLog { context, in_flight, frames: Vec::new() }
    }

    /// The frames so far, and the attempts that are still in flight as the last one.
    pub fn frames(&self) -> impl Iterator<Item = CallsFrame> + '_ {
        let in_flight = self.in_flight.iter().copied().collect();
        self.frames.iter().cloned().chain([CallsFrame::InFlight(in_flight)])
    }

    /// Records a call that is complete, and returns the frame that says so.
    pub fn completed(&mut self, completion: &CallCompletion) -> CallsFrame {
        for attempt in &completion.attempts {
            self.in_flight.remove(attempt);
        }
        let endpoint = self.context.endpoint_table.get(completion.endpoint);
        self.keep(CallsFrame::Completed(EndedCall {
            address: endpoint.map(|endpoint| endpoint.address),
            ended_at: self.context.clock.now(),
            completion: completion.clone(),
        }))
    }

    /// Records what a message to the delivery actor says of the calls, and returns the frame that says the same; `None` if it
    /// says nothing of them.
    pub fn record(&mut self, message: &DeliveryMessage) -> Option<CallsFrame> {
        let frame = match message {
            DeliveryMessage::CallCompleted(completion) => return Some(self.completed(completion)),
            DeliveryMessage::CallAnswered(answered) if answered.ends_messages() => {
                CallsFrame::EndRead(answered.clone())
            }
            DeliveryMessage::EndRead(completion) => CallsFrame::EndRead(completion.clone()),
            DeliveryMessage::LateEnd(completion) => CallsFrame::LateEnd(completion.clone()),
            _ => return None,
        };
        Some(self.keep(frame))
    }

    fn keep(&mut self, frame: CallsFrame) -> CallsFrame {
        self.frames.push(frame.clone());
        frame
    }
}
