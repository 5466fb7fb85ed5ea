//! The iSCSI front: connections of initiators.
use crate::backend::value::Answer;
use crate::client::connection_slots::{Activity, ConnectionSlot, ConnectionSlots, IdleTimeouts};
use crate::context::Context;
use crate::counts::Count;
use crate::iscsi::session::{Session, ANSWER};
use crate::iscsi::shared::Front;
use crate::iscsi::write_record;
use crate::messages::SchedulerMailbox;
use crate::net::accept::accept;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use crate::net::socket::Socket;
use async_io::{Async, Timer};
use config::{Iscsi, Lun};
use futures_lite::{future, StreamExt};
use iscsi::scsi::Disk;
use iscsi::target::TargetDescription;
use scheduler::interface::Micros;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const BOUNDS: (usize, usize) = (iscsi::MAX_DATA_BYTES + 4096, 2 * ANSWER);
/// Initiators at once.
const SESSIONS: usize = 24;
/// Answers that may wait for a session: those of its tasks, and late ones of reads that were aborted.
const ANSWERS: usize = 256;
/// Where connections are scarce, a session that is logged in and has stood idle for so long makes room. Guards mounts
/// against crowds on the other front: an initiator does not open connections as it needs them.
const STANDS: Micros = Micros(60_000_000);

/// Accepts initiators until the program ends.
pub async fn listen(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    slots: Rc<ConnectionSlots>,
    iscsi: Iscsi,
    listener: Async<TcpListener>,
) {
    let disk = |l: &Lun| Disk { lun: l.lun, blocks: u64::from(l.blocks), serial: l.volume.clone() };
    let shown = TargetDescription {
        name: iscsi.target.clone(),
        address: iscsi.listen.to_string(),
        disks: iscsi.luns.iter().map(disk).collect(),
    };
    let (record, notes) = async_channel::bounded(write_record::MOST);
    let kept = iscsi.record_s.saturating_mul(1_000_000) as i64;
    context.executor.spawn(write_record::run(context.clone(), scheduler.clone(), notes, kept)).detach();
    let front = Rc::new(Front {
        context: context.clone(),
        scheduler,
        iscsi,
        shown: Rc::new(shown),
        record,
        sessions: RefCell::default(),
    });
    let take = |socket, address| {
        context.executor.spawn(session(front.clone(), slots.clone(), socket, address)).detach();
    };
    let may = || context.gauges.clients.get() < context.client_bound();
    accept(listener, may, async || slots.evict_idle().await, take, async || future::pending().await).await;
}

enum Woken {
    Answer(Option<(u64, Answer)>),
    Moved,
    Tick,
    MakeRoom,
    End(CloseReason),
}

async fn session(front: Rc<Front>, slots: Rc<ConnectionSlots>, socket: Socket, address: SocketAddr) {
    let context = front.context.clone();
    let _count = Count::up(&context.gauges, |g| &g.clients);
    let mut stream = Connection::new(socket, "initiator", address, BOUNDS);
    if Rc::strong_count(&front) > SESSIONS + 1 {
        stream.reason = CloseReason::Bound;
        return;
    }
    let (answers, answered) = async_channel::bounded(ANSWERS);
    let mut answered = Box::pin(answered);
    let mut session = Session::new(front, answers);
    let replaced = session.replaced.1.clone();
    let begun = context.clock.now();
    let slot = ConnectionSlot::take(&slots, IdleTimeouts { scarce: STANDS, exhausted: STANDS });
    let mut went_on = (0, 0, begun);
    stream.reason = loop {
        session.answer(&mut stream);
        session.read(&mut stream).await;
        if let Some(reason) = session.ends(&stream, begun) {
            break reason;
        }
        if let Some(reason) = session.stands_still(&stream, &mut went_on) {
            break reason;
        }
        let nothing = !session.target.is_busy() && session.ready.is_empty() && stream.output.is_empty();
        slot.set_activity(match (nothing && stream.input.is_empty(), stream.carried) {
            (true, 0) => Activity::Silent,
            (true, _) if session.name.is_some() => Activity::Idle,
            _ => Activity::Busy,
        });
        // Guards the others: whatever there is to do, each turn is one of many.
        future::yield_now().await;
        let answer = async { Woken::Answer(answered.next().await) };
        let moved = async {
            match stream.next().await {
                Some(Ok(SocketEvent::End)) => Woken::End(CloseReason::PeerClosed),
                Some(Err(_)) => Woken::End(CloseReason::Reset),
                _ => Woken::Moved,
            }
        };
        let gone = async {
            let _ = replaced.recv().await;
            Woken::End(CloseReason::Replaced)
        };
        let tick = async {
            let wait = if context.lifecycle.stopping.get().is_some() { 50 } else { 500 };
            Timer::after(Duration::from_millis(wait)).await;
            Woken::Tick
        };
        let leave = async {
            let _ = slot.evictions.recv().await;
            Woken::MakeRoom
        };
        match future::or(future::or(answer, moved), future::or(leave, future::or(gone, tick))).await {
            Woken::Answer(Some(answer)) => session.ready.push_back(answer),
            Woken::Answer(None) | Woken::Moved | Woken::Tick => {}
            Woken::MakeRoom if slot.is_idle() => break CloseReason::Idle,
            Woken::MakeRoom => {}
            Woken::End(reason) => break reason,
        }
    };
    session.end().await;
}
