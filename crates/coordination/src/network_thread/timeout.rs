//! The timeout for single steps on a connection.
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::time::Duration;

/// The maximum time to establish a connection, to write a frame, or to receive the first frame or the body of a frame.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Waits for `work` up to the step timeout; returns `None` if it fails or takes longer. On a timeout the work is dropped: a frame
/// may have been written or read partially, and the connection must be closed.
pub(crate) async fn with_timeout<T>(work: impl Future<Output = Option<T>>) -> Option<T> {
    let timeout = async {
        Timer::after(STEP_TIMEOUT).await;
        None
    };
    future::or(work, timeout).await
}
