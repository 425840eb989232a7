//! Watches the fence of another process until it is released, and fetches the results of that process's calls meanwhile.

use super::fence::Fence;
use super::frames::CallsFrame;
use super::link::{HandOverError, Link};
use crate::net::dial::connect;
use crate::net::http::{HttpConnection, HttpError};
use crate::net::messages::DeliveryMessage;
use crate::net::{within, Context};
use async_io::Timer;
use futures_lite::future;
use slog::info;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The target at which a process that has lost its successor answers which of its calls are in flight.
pub const CALLS_TARGET: &str = "/admin/calls";
/// The interval at which the lock of the fence is tried.
const LOCK_INTERVAL: Duration = Duration::from_millis(10);
/// The pause after the process did not answer. It may be frozen, or its own successor may still run.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// How long the process may take to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Watches a fence, and passes what becomes of its attempts to the delivery actor. Returns once the fence is released or this
/// process has handed over, as its successor then watches the fence.
pub async fn watch(context: Rc<Context>, fence: Fence) {
    let released = async {
        until_released(&context, &fence).await;
        true
    };
    let handed_over = async {
        context.lifecycle.until_handed_over().await;
        false
    };
    if future::or(handed_over, released).await {
        fence.remove();
        let released = DeliveryMessage::FenceReleased { fence: fence.id().to_owned() };
        // Sending fails only if the delivery actor has ended, and it ends only with the process.
        let _ = context.delivery.send(released).await;
    }
}

/// Returns once the fence is released. All that its process has sent until then has been read.
async fn until_released(context: &Rc<Context>, fence: &Fence) {
    while !fence.is_released().await {
        let Err(error) = follow(context, fence).await;
        info!(context.log, "connection ended"; "side" => "earlier-process", "reason" => error.code());
        let failed_at = Instant::now();
        while failed_at.elapsed() < REQUEST_PAUSE && !fence.is_released().await {
            Timer::after(LOCK_INTERVAL).await;
        }
    }
}

/// Requests the calls of the process and passes their results on, until the connection fails.
async fn follow(context: &Rc<Context>, fence: &Fence) -> Result<Infallible, HandOverError> {
    let requested = within(REQUEST_TIMEOUT, request_calls(context, fence)).await;
    let mut link = requested.unwrap_or(Err(HttpError::TimedOut.into()))?;
    loop {
        let frame = link.read::<CallsFrame>().await?.head;
        let message = DeliveryMessage::FencedCalls { fence: fence.id().to_owned(), frame };
        // Sending fails only if the delivery actor has ended, and it ends only with the process.
        let _ = context.delivery.send(message).await;
    }
}

async fn request_calls(context: &Rc<Context>, fence: &Fence) -> Result<Link, HandOverError> {
    let operator = fence.owner.operator;
    let mut connection = HttpConnection::new(connect(operator).await.map_err(HttpError::Socket)?);
    let token = &fence.owner.token;
    let request = format!(
        "POST {CALLS_TARGET} HTTP/1.1\r\nHost: {operator}\r\nX-Token: {token}\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write(request.as_bytes()).await.map_err(HttpError::Socket)?;
    match connection.read_response().await?.status {
        200 => Link::new(connection, &context.executor),
        _ => Err(HttpError::UnexpectedEnd.into()),
    }
}
