//! A retry-after in a response that ends no call: one that came late, or beyond the number of calls. It is obeyed, whichever call the
//! response belongs to: obeying that of a copy does no harm.

use crate::net::call::{AttemptResult, CallCompletion, CallResult};
use crate::net::messages::DeliveryMessage;
use crate::net::Context;
use crate::{EndpointId, Micros, Outcome};
use slog::info;

/// Applies a retry-after, in microseconds. The delivery actor learns of it by a completion without attempts.
pub(super) async fn obey(context: &Context, endpoint: EndpointId, retry_after: Micros) {
    info!(context.log, "late retry_after received"; "endpoint" => endpoint.0, "ms" => retry_after / 1000);
    context.endpoint_table.record_retry_after(endpoint, retry_after);
    let result = CallResult {
        retry_after: Some(retry_after),
        ..CallResult::same_for_all(0, AttemptResult::from_outcome(Outcome::NotSent))
    };
    let completion =
        CallCompletion { endpoint, decided_at: context.clock.now(), attempts: Vec::new(), result };
    // Sending fails only as the process ends, with no delivery actor left to notify.
    let _ = context.delivery.send(DeliveryMessage::CallCompleted(completion)).await;
}
