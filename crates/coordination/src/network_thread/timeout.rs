//! The timeout of single steps on a connection.
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::time::Duration;

/// How long a connection may take to be established, to take a frame, or to deliver its first one.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Waits for `work` up to the step timeout; `None` where it fails or takes longer. The work is dropped in that case: a frame
/// may then be written or read in part, and the connection must be closed.
pub(crate) async fn with_timeout<T>(work: impl Future<Output = Option<T>>) -> Option<T> {
    let timeout = async {
        Timer::after(STEP_TIMEOUT).await;
        None
    };
    future::or(work, timeout).await
}
