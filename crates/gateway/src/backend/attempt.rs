//! One attempt at a backend: gets a connection, makes the exchange, and reports the outcome to the scheduler.
use crate::backend::actor::{reusable_at, BackendMessage};
use crate::backend::endpoint::BackendContext;
use crate::backend::exchange::Exchanged;
use crate::backend::value::{AttemptEnd, ValueWriter};
use crate::backend::{iscsi_exchange, resp_exchange, streaming};
use crate::messages::SchedulerMessage;
use crate::net::close_reason::CloseReason;
use crate::net::dial::{connect, BackendConnection};
use async_channel::Sender;
use async_io::Timer;
use config::BackendProtocol;
use dispatch::Attempt;
use futures_lite::future;
use scheduler::interface::{AttemptOutcome, Micros};

/// How long after its client's deadline the streaming of a value is aborted, in microseconds.
const STREAM_GRACE_US: i64 = 10_000_000;

/// Carries out an attempt, on the idle connection where it is still usable, else on a new one. A connection that can be reused
/// goes back to the actor at `own`.
pub async fn run(
    backend: BackendContext,
    attempt: Attempt,
    idle: Option<BackendConnection>,
    own: Option<Sender<BackendMessage>>,
) {
    let _in_flight = backend.endpoint.statistics.begin();
    let connection = match wait_until_reusable(&backend, &attempt, idle).await {
        Some(connection) => Ok(connection),
        None => connect(&backend, &attempt).await,
    };
    let end = match connection {
        Err(outcome) => Some(attempt.ended(outcome)),
        Ok(connection) if is_obsolete(&backend, &attempt, &connection) => {
            release_unused(&backend, connection, own);
            Some(attempt.ended(AttemptOutcome::NotSent))
        }
        Ok(connection) => exchange(&backend, &attempt, connection, own).await,
    };
    if let Some(end) = end {
        report(&backend, &attempt, end).await;
    }
}

/// Waits for the end of the idle connection's reuse delay. Returns the connection if neither bytes nor its end arrived meanwhile.
async fn wait_until_reusable(
    backend: &BackendContext,
    attempt: &Attempt,
    idle: Option<BackendConnection>,
) -> Option<BackendConnection> {
    let mut connection = idle?;
    let clock = &backend.context.clock;
    let reusable = reusable_at(&connection, attempt.deadline);
    if reusable > clock.now() {
        Timer::at(clock.instant(reusable)).await;
    }
    connection.stream.is_quiet().await.then_some(connection)
}

/// Whether the attempt may no longer begin: while it waited for the connection, the backend began to drain or restarted, the client
/// disconnected, or the retry window ended.
fn is_obsolete(backend: &BackendContext, attempt: &Attempt, connection: &BackendConnection) -> bool {
    connection.incarnation != backend.endpoint.incarnation.get() || !backend.may_begin(attempt)
}

/// Returns a connection on which nothing was sent, where its backend is still in use.
fn release_unused(
    backend: &BackendContext,
    mut connection: BackendConnection,
    own: Option<Sender<BackendMessage>>,
) {
    connection.stream.reason = CloseReason::Drained;
    let endpoint = &backend.endpoint;
    let is_current = connection.incarnation == endpoint.incarnation.get() && !endpoint.is_closed.get();
    release(connection, own.filter(|_| is_current));
}

fn release(connection: BackendConnection, own: Option<Sender<BackendMessage>>) {
    if let Some(own) = own {
        // A closed mailbox drops the connection, which closes it.
        drop(own.try_send(BackendMessage::Release(Box::new(connection))));
    }
}

/// Makes the exchange. Returns the attempt's end, or `None` where it was reported already because the value is streamed.
async fn exchange(
    backend: &BackendContext,
    attempt: &Attempt,
    mut connection: BackendConnection,
    own: Option<Sender<BackendMessage>>,
) -> Option<AttemptEnd> {
    let BackendContext { context, endpoint, .. } = backend;
    endpoint.statistics.sent(context.clock.now());
    let (exchanged, mut is_reusable) = match endpoint.protocol.get() {
        BackendProtocol::Resp => resp_exchange::exchange(context, attempt, &mut connection.stream).await,
        BackendProtocol::Iscsi => {
            let target = endpoint.target_name.borrow().clone();
            let session = &mut connection.session;
            iscsi_exchange::exchange(backend, attempt, &mut connection.stream, session, &target).await
        }
    };
    connection.stream.exchange_count += 1;
    let end = match exchanged {
        Exchanged::Ended(end) => Some(end),
        Exchanged::StreamBegun { parts, length } => {
            is_reusable = stream_value(backend, attempt, &mut connection, parts, length).await;
            None
        }
    };
    if is_reusable {
        connection.idle_since = context.clock.now();
        release(connection, own);
    }
    end
}

/// Reports the attempt as served with a value that is still arriving, and streams that value. Returns whether the connection can
/// be reused.
async fn stream_value(
    backend: &BackendContext,
    attempt: &Attempt,
    connection: &mut BackendConnection,
    parts: usize,
    length: usize,
) -> bool {
    let BackendContext { context, scheduler, .. } = backend;
    let (writer, value) = ValueWriter::new(&context.gauges, length);
    let end = AttemptEnd { value: Some(value), ..attempt.ended(AttemptOutcome::Ok) };
    report(backend, attempt, end).await;
    // The default reason; `streaming` replaces it. A value that never ends, or a client that never reads, is aborted at `cut_at`.
    connection.stream.reason = CloseReason::Cut;
    let streamed = streaming::stream(context, scheduler, attempt, &mut connection.stream, writer, parts);
    let cut_at = context.clock.instant(Micros(attempt.request.deadline.0 + STREAM_GRACE_US));
    let cut = async {
        Timer::at(cut_at).await;
        false
    };
    future::or(streamed, cut).await
}

/// Records the outcome and tells the scheduler.
async fn report(backend: &BackendContext, attempt: &Attempt, end: AttemptEnd) {
    let (volume, units) = (&attempt.request.volume, attempt.request.units);
    backend.endpoint.statistics.ended(backend.context.clock.now(), end.outcome, volume, units);
    // The mailbox is closed only at the end of the process.
    drop(backend.scheduler.send(SchedulerMessage::AttemptEnded(end)).await);
}
