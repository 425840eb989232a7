//! Reads a late response on the connection of an abandoned call. The response may contain a retry-after, which
//! applies from the moment the endpoint wrote it; if it were not read, calls would be sent during that time.

use super::response::{parse_retry_after, RESPONSE_STALL_TIMEOUT};
use crate::net::call::{AttemptResult, CallCompletion, CallResult};
use crate::net::http::HttpConnection;
use crate::net::messages::DeliveryMessage;
use crate::net::{within, Context};
use crate::{EndpointId, Micros, Outcome};
use slog::info;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for a late response after its call was abandoned. Equal to the longest pause allowed within a
/// response.
const LATE_RESPONSE_TIMEOUT: Duration = RESPONSE_STALL_TIMEOUT;

/// Waits in the background for a late response, then closes the connection. Closes it at once if too many connections wait
/// for one already.
pub(super) fn read_in_background(
    context: &Rc<Context>,
    endpoint: EndpointId,
    mut connection: HttpConnection,
) {
    let readers = &context.gauges.late_response_readers;
    // This limit is enough even if every call made within half a second is abandoned.
    if readers.get() >= context.config().max_concurrent_calls {
        return;
    }
    connection.shutdown_write();
    readers.increment();
    let executor = context.executor.clone();
    let context = context.clone();
    let read_response = async move {
        let head =
            within(LATE_RESPONSE_TIMEOUT, async { connection.read_response().await.ok() }).await.flatten();
        if let Some(retry_after) = head.as_ref().and_then(parse_retry_after) {
            info!(context.log, "late retry_after received"; "endpoint" => endpoint.0, "ms" => retry_after / 1000);
            context.endpoint_table.record_retry_after(endpoint, retry_after);
            report_retry_after(&context, endpoint, retry_after).await;
        }
        context.gauges.late_response_readers.decrement();
    };
    executor.spawn(read_response).detach();
}

/// Notifies the delivery actor of the retry-after by a completion without attempts: the attempts were completed when
/// the call was abandoned.
async fn report_retry_after(context: &Context, endpoint: EndpointId, retry_after: Micros) {
    let result = CallResult {
        retry_after: Some(retry_after),
        ..CallResult::same_for_all(0, AttemptResult::from_outcome(Outcome::NotSent))
    };
    let completion =
        CallCompletion { endpoint, decided_at: context.clock.now(), attempts: Vec::new(), result };
    // Sending fails only as the process ends, with no delivery actor left to notify.
    let _ = context.delivery.send(DeliveryMessage::CallCompleted(completion)).await;
}
