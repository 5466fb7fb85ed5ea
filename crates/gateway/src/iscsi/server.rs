//! The iSCSI target: accepts initiators and drives each session on its connection.
use crate::backend::value::Answer;
use crate::client::connection_slots::{Activity, ConnectionSlot, ConnectionSlots, IdleTimeouts};
use crate::context::Context;
use crate::counts::Count;
use crate::iscsi::session::{Session, MAX_ANSWER_BYTES};
use crate::iscsi::shared::{Progress, TargetContext};
use crate::iscsi::write_record;
use crate::messages::SchedulerMailbox;
use crate::net::accept::accept;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use crate::net::socket::Socket;
use async_channel::Receiver;
use async_io::{Async, Timer};
use config::{Iscsi, Lun};
use futures_lite::{future, StreamExt};
use iscsi::scsi::Disk;
use iscsi::target::TargetDescription;
use scheduler::interface::Micros;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Capacities of a session's input and output buffers, in bytes.
const BUFFER_BYTES: (usize, usize) = (iscsi::MAX_DATA_BYTES + 4096, 2 * MAX_ANSWER_BYTES);
/// The maximum number of concurrent connections of initiators.
const MAX_SESSIONS: usize = 24;
/// The capacity of a session's channel of answers: those to its tasks, and late ones to aborted reads.
const MAX_PENDING_ANSWERS: usize = 256;
/// While connections are scarce, a session that has been idle for this long may be evicted. The timeout is long to protect mounted
/// disks from crowds of RESP2 clients: an initiator does not open connections on demand.
const IDLE_TIMEOUT: Micros = Micros(60_000_000);
/// How often a session is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often a session is checked during the shutdown.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts initiators until the process ends.
pub async fn listen(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    slots: Rc<ConnectionSlots>,
    iscsi: Iscsi,
    listener: Async<TcpListener>,
) {
    let disk = |lun: &Lun| Disk { lun: lun.lun, blocks: u64::from(lun.blocks), serial: lun.volume.clone() };
    let description = TargetDescription {
        name: iscsi.target.clone(),
        address: iscsi.listen.to_string(),
        disks: iscsi.luns.iter().map(disk).collect(),
    };
    let (record, record_messages) = async_channel::bounded(write_record::MAX_WRITES);
    let retention_us = iscsi.record_s.saturating_mul(1_000_000) as i64;
    let recording = write_record::run(context.clone(), scheduler.clone(), record_messages, retention_us);
    context.executor.spawn(recording).detach();
    let target = Rc::new(TargetContext {
        context: context.clone(),
        scheduler,
        iscsi,
        description: Rc::new(description),
        record,
        sessions: RefCell::default(),
    });
    let on_accept = |socket, address| {
        context.executor.spawn(serve(target.clone(), slots.clone(), socket, address)).detach();
    };
    let has_slot = || context.gauges.client_connections.get() < context.client_limit();
    let shutdown = async || future::pending().await;
    accept(listener, has_slot, async || slots.evict_idle().await, on_accept, shutdown).await;
}

/// The event that ended a session's wait.
enum Wakeup {
    /// A final answer, with the number of its task.
    Answer(Option<(u64, Answer)>),
    /// The connection made progress.
    Socket,
    /// A check is due.
    Timer,
    /// The connection is to be evicted.
    Evicted,
    /// The initiator has closed the connection, it broke, or another session has replaced this one.
    Closed(CloseReason),
}

/// Drives a session until its connection is to be closed.
async fn serve(target: Rc<TargetContext>, slots: Rc<ConnectionSlots>, socket: Socket, address: SocketAddr) {
    let context = target.context.clone();
    let _count = Count::new(&context.gauges, |gauges| &gauges.client_connections);
    let mut stream = Connection::new(socket, "initiator", address, BUFFER_BYTES);
    // The listener holds one more reference.
    if Rc::strong_count(&target) > MAX_SESSIONS + 1 {
        stream.reason = CloseReason::Bound;
        return;
    }
    let (answers, answered) = async_channel::bounded(MAX_PENDING_ANSWERS);
    let mut session = Session::new(target, answers);
    let idle_timeouts = IdleTimeouts { scarce: IDLE_TIMEOUT, exhausted: IDLE_TIMEOUT };
    let slot = ConnectionSlot::acquire(&slots, idle_timeouts);
    stream.reason = drive(&context, &mut session, &mut stream, &slot, answered).await;
    session.end().await;
}

/// Runs the session; returns why its connection is to be closed.
async fn drive(
    context: &Context,
    session: &mut Session,
    stream: &mut Connection,
    slot: &ConnectionSlot,
    answered: Receiver<(u64, Answer)>,
) -> CloseReason {
    let mut answered = Box::pin(answered);
    let connected_at = context.clock.now();
    let mut progress = Progress { exchange_count: 0, bytes_written: 0, at: connected_at };
    loop {
        session.send_answers(stream);
        session.read(stream).await;
        if let Some(reason) = session.close_reason(stream, connected_at) {
            return reason;
        }
        if let Some(reason) = session.stall_reason(stream, &mut progress) {
            return reason;
        }
        slot.set_activity(activity(session, stream));
        // Yield after each iteration, so that other connections make progress too.
        future::yield_now().await;
        match next_wakeup(context, session, stream, slot, &mut answered).await {
            Wakeup::Answer(Some(answer)) => session.ready_answers.push_back(answer),
            Wakeup::Answer(None) | Wakeup::Socket | Wakeup::Timer => {}
            Wakeup::Evicted if slot.is_idle() => return CloseReason::Idle,
            Wakeup::Evicted => {}
            Wakeup::Closed(reason) => return reason,
        }
    }
}

fn activity(session: &Session, stream: &Connection) -> Activity {
    let is_quiet = !session.target.is_busy()
        && session.ready_answers.is_empty()
        && stream.output.is_empty()
        && stream.input.is_empty();
    match (is_quiet, stream.exchange_count) {
        (true, 0) => Activity::Silent,
        (true, _) if session.name.is_some() => Activity::Idle,
        _ => Activity::Busy,
    }
}

async fn next_wakeup(
    context: &Context,
    session: &Session,
    stream: &mut Connection,
    slot: &ConnectionSlot,
    answered: &mut Pin<Box<Receiver<(u64, Answer)>>>,
) -> Wakeup {
    let answer = async { Wakeup::Answer(answered.next().await) };
    let socket = async {
        match stream.next().await {
            Some(Ok(SocketEvent::End)) => Wakeup::Closed(CloseReason::PeerClosed),
            Some(Err(_)) => Wakeup::Closed(CloseReason::Reset),
            _ => Wakeup::Socket,
        }
    };
    let replaced = async {
        // Nothing is sent on this channel; closing it is the signal.
        let _ = session.replaced.1.recv().await;
        Wakeup::Closed(CloseReason::Replaced)
    };
    let timer = async {
        let is_stopping = context.lifecycle.stopping_since.get().is_some();
        Timer::after(if is_stopping { SHUTDOWN_CHECK_INTERVAL } else { CHECK_INTERVAL }).await;
        Wakeup::Timer
    };
    let evicted = async {
        // The slot holds the sender, so the channel is open.
        let _ = slot.evictions.recv().await;
        Wakeup::Evicted
    };
    future::or(future::or(answer, socket), future::or(evicted, future::or(replaced, timer))).await
}
