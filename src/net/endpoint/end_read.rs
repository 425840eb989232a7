//! Records the ends of messages that were read in responses. This happens in the moment in which a response is read, before
//! the delivery actor learns of it, so that neither a call that waits to be sent nor the next process calls the messages again.

use crate::net::call::{Call, CallResult};
use crate::net::Context;

/// Records which messages of a call have ended according to its result.
pub(super) fn record(context: &Context, call: &Call, result: &CallResult) {
    for (attempt, attempt_result) in call.attempts.iter().zip(&result.attempts) {
        if !attempt_result.completes_message {
            continue;
        }
        let (id, number) = (attempt.message.id, attempt.number);
        attempt.message.record_end_read(number);
        context.ledger.borrow_mut().end_read(id, number);
        match result.unconfirmed {
            true => context.journal.record_may_have_ended(id, number),
            false => context.journal.record_completed(id),
        }
    }
}
