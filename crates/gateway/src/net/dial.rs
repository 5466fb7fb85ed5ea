//! New connections to disk boxes, within the descriptors that there are.
use crate::backend::actor::BackendContext;
use crate::counts::Count;
use crate::net::close_reason::CloseReason;
use crate::net::connection::Connection;
use crate::net::resource_shortage::{is_shortage, no_port, RETRY};
use async_io::Timer;
use dispatch::Attempt;
use futures_lite::future;
use iscsi::initiator::Initiator;
use scheduler::interface::{AttemptOutcome, Micros};
use std::io;
use std::net::SocketAddr;

/// What a reply holds beside its value: the figures and the report.
const BESIDE: usize = 4096;
/// What a command may take: one value and its words.
const COMMAND: usize = resp::LONGEST + 16 * 1024;
/// How often it is looked whether an attempt may still begin while its connection comes up.
const LOOK: i64 = 50_000;

/// A connection to the disk box that counts against the bound while it lives.
pub struct BackendConnection {
    /// The connection itself.
    pub stream: Connection,
    /// The session on it, for iSCSI.
    pub session: Option<Initiator>,
    _count: Count,
    /// Since when it is free.
    pub since: Micros,
    /// The life of its box that it belongs to.
    pub incarnation: u32,
}

/// A new connection, or how the attempt ends without one.
pub async fn connect(work: &BackendContext, attempt: &Attempt) -> Result<BackendConnection, AttemptOutcome> {
    let BackendContext { context, endpoint, .. } = work;
    if !work.may_begin(attempt) {
        return Err(AttemptOutcome::NotSent);
    }
    let Some(address) = endpoint.address.get() else { return Err(AttemptOutcome::ConnectFailed) };
    // Guards the module's belief: the front's own bound says nothing about the box. Idle connections make room first.
    while context.gauges.upstream.get() >= context.upstream_bound() {
        if !(work.make_room)() {
            return Err(AttemptOutcome::NotSent);
        }
        future::yield_now().await;
    }
    let count = Count::up(&context.gauges, |g| &g.upstream);
    let incarnation = endpoint.incarnation.get();
    let timeout = context.config().settings.connect_timeout.0;
    let until = match timeout {
        0 => attempt.deadline,
        timeout => attempt.deadline.min(Micros(context.clock.now().0 + timeout)),
    };
    let bounds = (context.longest_value() + BESIDE, COMMAND);
    let up = async { dial(address, bounds).await.map_err(|_| Unconnected::Failed) };
    let late = async {
        // Looked at while it comes up: nobody waits for a connection over which nothing may be sent any more.
        while work.may_begin(attempt)
            && incarnation == endpoint.incarnation.get()
            && context.clock.now() < until
        {
            let look = Micros(context.clock.now().0 + LOOK).min(until);
            Timer::at(context.clock.instant(look)).await;
        }
        Err(if context.clock.now() < until { Unconnected::Abandoned } else { Unconnected::Failed })
    };
    match future::or(up, late).await {
        Ok(stream) => Ok(BackendConnection {
            stream,
            session: None,
            _count: count,
            since: context.clock.now(),
            incarnation,
        }),
        Err(Unconnected::Abandoned) => Err(AttemptOutcome::NotSent),
        Err(Unconnected::Failed) => {
            crate::log::line(format_args!(
                "conn kind=box peer={address} carried=0 reason={}",
                CloseReason::ConnectFailed
            ));
            Err(AttemptOutcome::ConnectFailed)
        }
    }
}

/// Why there is no connection.
enum Unconnected {
    /// It was refused, or did not come up in time.
    Failed,
    /// It may carry nothing any more.
    Abandoned,
}

/// Opens a connection. Where this machine lacks something for a moment, which says nothing of the server, it is tried again.
async fn dial(address: SocketAddr, bounds: (usize, usize)) -> io::Result<Connection> {
    loop {
        match Connection::connect("box", address, bounds).await {
            Err(error) if is_shortage(&error) || no_port(&error) => drop(Timer::after(RETRY).await),
            ended => return ended,
        }
    }
}
