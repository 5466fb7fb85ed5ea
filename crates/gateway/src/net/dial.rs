//! Outgoing connections to backends, within the descriptor limit.
use crate::backend::endpoint::BackendContext;
use crate::counts::Count;
use crate::net::close_reason::CloseReason;
use crate::net::connection::Connection;
use crate::net::resource_shortage::{is_port_shortage, is_shortage, RETRY_DELAY};
use async_io::Timer;
use dispatch::Attempt;
use futures_lite::future;
use iscsi::initiator::Initiator;
use scheduler::interface::{AttemptOutcome, Micros};
use std::io;
use std::net::SocketAddr;

/// Space in a reply in addition to its value, in bytes: the usage figures and the load report.
const REPLY_OVERHEAD_BYTES: usize = 4096;
/// The size of the largest command, in bytes: one value and its arguments.
const COMMAND_BYTES: usize = resp::MAX_VALUE_BYTES + 16 * 1024;
/// How often a pending dial checks whether its attempt may still be sent, in microseconds.
const CHECK_INTERVAL_US: i64 = 50_000;

/// A connection to a backend, counted against the descriptor limit until dropped.
pub struct BackendConnection {
    /// The socket with its buffers.
    pub stream: Connection,
    /// The iSCSI session, if the backend uses iSCSI.
    pub session: Option<Initiator>,
    _count: Count,
    /// When the connection became idle.
    pub idle_since: Micros,
    /// The incarnation of the backend to which the connection was opened.
    pub incarnation: u32,
}

/// Opens a connection for an attempt.
///
/// # Errors
/// The outcome of the attempt: `NotSent` if it may no longer be sent or no descriptor is free, `ConnectFailed` otherwise.
/// Dropping the future abandons the dial.
pub async fn connect(
    backend: &BackendContext,
    attempt: &Attempt,
) -> Result<BackendConnection, AttemptOutcome> {
    let BackendContext { context, endpoint, .. } = backend;
    if !backend.may_begin(attempt) {
        return Err(AttemptOutcome::NotSent);
    }
    let Some(address) = endpoint.address.get() else { return Err(AttemptOutcome::ConnectFailed) };
    // The gateway's own limit says nothing about the backend, so the outcome must not count as a failure of the backend.
    while context.gauges.backend_connections.get() >= context.backend_connection_limit() {
        if !(backend.evict_idle_connection)() {
            return Err(AttemptOutcome::NotSent);
        }
        future::yield_now().await;
    }
    let count = Count::new(&context.gauges, |gauges| &gauges.backend_connections);
    let incarnation = endpoint.incarnation.get();
    let now = context.clock.now();
    let connect_deadline = match context.config().settings.connect_timeout.0 {
        0 => attempt.deadline,
        connect_timeout => attempt.deadline.min(Micros(now.0 + connect_timeout)),
    };
    let capacities = (context.max_value_bytes() + REPLY_OVERHEAD_BYTES, COMMAND_BYTES);
    let dialled = async { dial(address, capacities).await.or(Err(DialError::Failed)) };
    let given_up = async { Err(give_up(backend, attempt, incarnation, connect_deadline).await) };
    match future::or(dialled, given_up).await {
        Ok(stream) => Ok(BackendConnection {
            stream,
            session: None,
            _count: count,
            idle_since: context.clock.now(),
            incarnation,
        }),
        Err(DialError::Abandoned) => Err(AttemptOutcome::NotSent),
        Err(DialError::Failed) => {
            crate::log::line(format_args!(
                "conn kind=box peer={address} carried=0 reason={}",
                CloseReason::ConnectFailed
            ));
            Err(AttemptOutcome::ConnectFailed)
        }
    }
}

/// Why a dial did not produce a connection.
enum DialError {
    /// The connection was refused, or not established in time.
    Failed,
    /// The attempt may no longer be sent on the connection.
    Abandoned,
}

/// Waits until the dial is to be given up: at the deadline, or as soon as the attempt may no longer be sent on the connection.
async fn give_up(
    backend: &BackendContext,
    attempt: &Attempt,
    incarnation: u32,
    deadline: Micros,
) -> DialError {
    let clock = &backend.context.clock;
    while backend.may_begin(attempt)
        && incarnation == backend.endpoint.incarnation.get()
        && clock.now() < deadline
    {
        let next_check = Micros(clock.now().0 + CHECK_INTERVAL_US).min(deadline);
        Timer::at(clock.instant(next_check)).await;
    }
    if clock.now() < deadline {
        DialError::Abandoned
    } else {
        DialError::Failed
    }
}

/// Connects. A shortage on this machine, which says nothing about the backend, is retried until the caller gives up.
async fn dial(address: SocketAddr, capacities: (usize, usize)) -> io::Result<Connection> {
    loop {
        match Connection::connect("box", address, capacities).await {
            Err(error) if is_shortage(&error) || is_port_shortage(&error) => {
                Timer::after(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}
