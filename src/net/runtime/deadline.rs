//! Futures with a time limit, and work beside the actors' thread.

use crate::net::http::HttpError;
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::time::Duration;

/// What a future returns within a limit, or `None`.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(future.await) }, expired).await
}

/// What an exchange returns within a limit.
///
/// # Errors
///
/// Those of the exchange; silence up to the limit is a malformed answer.
pub async fn within_or_error<T, E: From<HttpError>>(
    exchange: impl Future<Output = Result<T, E>>,
    limit: Duration,
) -> Result<T, E> {
    within(limit, exchange).await.unwrap_or_else(|| Err(HttpError::Malformed("silent").into()))
}

/// Runs in a thread of its own what would block the actors; `None` if the work panicked.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    let (done, result) = async_channel::bounded(1);
    std::thread::spawn(move || {
        // Whoever asked may not wait any more.
        let _ = done.try_send(work());
    });
    result.recv().await.ok()
}
