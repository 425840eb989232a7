//! Futures with a time limit, and blocking work on a thread beside that of the actors.

use crate::net::http::HttpError;
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::time::Duration;

/// Awaits a future for at most `limit`; returns `None` if it is not complete by then, and drops it.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(future.await) }, expired).await
}

/// Awaits an exchange for at most `limit`.
///
/// # Errors
///
/// Returns the exchange's error. An exchange that is not complete within the limit counts as [`HttpError::Malformed`].
pub async fn within_or_error<T, E: From<HttpError>>(
    exchange: impl Future<Output = Result<T, E>>,
    limit: Duration,
) -> Result<T, E> {
    within(limit, exchange).await.unwrap_or_else(|| Err(HttpError::Malformed("timed out").into()))
}

/// Runs blocking work on a thread of its own, so that the actors go on; returns `None` if the work panicked.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    let (done, result) = async_channel::bounded(1);
    std::thread::spawn(move || {
        // Sending fails if the caller has stopped waiting; the result is then dropped.
        let _ = done.try_send(work());
    });
    result.recv().await.ok()
}
