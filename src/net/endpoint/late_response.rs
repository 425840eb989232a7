//! Reads late responses on the connection of an abandoned call. The call's own may contain a retry-after, which applies
//! from the moment the endpoint wrote it; if it were not read, calls would be sent during that time. It may come behind a
//! copy of an earlier response, so all that come in time are read.

use super::response::{parse_retry_after, MAX_RESPONSE_BYTES, RESPONSE_STALL_TIMEOUT};
use crate::net::call::{AttemptResult, CallCompletion, CallResult};
use crate::net::http::HttpConnection;
use crate::net::messages::DeliveryMessage;
use crate::net::stray_response::{StrayPlace, StrayResponse};
use crate::net::{within, Context};
use crate::{EndpointId, Micros, Outcome};
use slog::info;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for a late response after its call was abandoned. Equal to the longest pause allowed within a
/// response.
const LATE_RESPONSE_TIMEOUT: Duration = RESPONSE_STALL_TIMEOUT;

/// Waits in the background for late responses, then closes the connection. Closes it at once if too many connections wait
/// for them already.
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
    let read_responses = async move {
        within(LATE_RESPONSE_TIMEOUT, read_until_end(&context, endpoint, &mut connection)).await;
        context.gauges.late_response_readers.decrement();
    };
    executor.spawn(read_responses).detach();
}

/// Reads responses until the connection ends, and obeys the retry-after of each.
async fn read_until_end(context: &Context, endpoint: EndpointId, connection: &mut HttpConnection) {
    let mut is_first = true;
    while let Ok(head) = connection.read_response().await {
        if !std::mem::replace(&mut is_first, false) {
            record_stray(context, endpoint, head.status);
        }
        if let Some(retry_after) = parse_retry_after(&head) {
            info!(context.log, "late retry_after received"; "endpoint" => endpoint.0, "ms" => retry_after / 1000);
            context.endpoint_table.record_retry_after(endpoint, retry_after);
            report_retry_after(context, endpoint, retry_after).await;
        }
        if connection.response_body(&head, MAX_RESPONSE_BYTES).await.is_err() {
            return;
        }
    }
}

/// Records that one of two late responses is a stray, although it is not known which.
fn record_stray(context: &Context, endpoint: EndpointId, status: u16) {
    let stray = StrayResponse {
        endpoint: Some(endpoint),
        place: StrayPlace::LateResponse,
        status: Some(status),
        received_at: context.clock.now(),
        previous_response_at: None,
        request_written_at: None,
    };
    stray.record(context);
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
