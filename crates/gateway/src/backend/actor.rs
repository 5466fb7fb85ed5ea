//! The actor of one disk box: it carries out attempts, each alone on a connection, and keeps idle connections.
use crate::backend::iscsi_exchange;
use crate::backend::resp_exchange::{exchange, pass_on, Exchanged};
use crate::backend::start_times::Start;
use crate::backend::statistics::BackendStatistics;
use crate::backend::value::{Ended, ValueWriter};
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use crate::net::close_reason::CloseReason;
use crate::net::dial::{connect, BackendConnection};
use async_channel::{Receiver, Sender, WeakSender};
use async_io::Timer;
use config::Speaks;
use dispatch::Attempt;
use futures_lite::{future, StreamExt};
use scheduler::interface::{AttemptOutcome, BackendEntry, Micros};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle connections that are kept for one disk box.
const KEPT: usize = 48;
/// A connection rests for so long before it is used again: a second answer may come some milliseconds late. It is seen by
/// then, and is not taken for the reply to the next command.
const REST: i64 = 5_000;
/// Of the time after which the disk box closes an idle connection, the part for which it is used again.
const FRESH: f64 = 0.6;

/// A value that is being passed on is cut so long after its client has stopped waiting.
const NEVER_ENDING: i64 = 10_000_000;

/// What the list says of the disk box; read by attempts that are still waiting for a connection.
pub struct Endpoint {
    /// Its entry on the list.
    pub entry: RefCell<BackendEntry>,
    /// Where it listens.
    pub address: Cell<Option<SocketAddr>>,
    /// Whether it has been told to be draining or gone.
    pub closed: Cell<bool>,
    /// Its last start, where the list tells one.
    pub start: Cell<Option<Start>>,
    /// How it is spoken to.
    pub speaks: Cell<Speaks>,
    /// Its target's name, for iSCSI.
    pub target: RefCell<String>,
    /// Its idle connections.
    pub idle: Cell<usize>,
    /// What is measured of it.
    pub statistics: Rc<BackendStatistics>,
    /// Its sessions or connections belong to this life of it.
    pub incarnation: Cell<u32>,
}

/// What a box's actor and its attempts need.
#[derive(Clone)]
pub struct BackendContext {
    /// What every actor stands on.
    pub context: Rc<Context>,
    /// Where ends of attempts go.
    pub scheduler: SchedulerMailbox,
    /// What the list says of the box.
    pub endpoint: Rc<Endpoint>,
    /// Asks a box that has idle connections to close one; false where none has any.
    pub make_room: Rc<dyn Fn() -> bool>,
}

impl BackendContext {
    /// Whether an attempt may begin now, here. Asked in the instant of sending, after whatever was waited for.
    pub fn may_begin(&self, attempt: &Attempt) -> bool {
        !self.endpoint.closed.get() && attempt.may_begin(self.context.clock.now())
    }
}

/// A peer's mail.
pub enum BackendMessage {
    /// Make an attempt.
    Start(Attempt),
    /// A connection that is free again.
    Free(Box<BackendConnection>),
    /// The list has changed.
    Changed,
    /// Close the connection that has stood idle the longest: another disk box needs its place.
    Spare,
    /// The program ends.
    Stop,
}

/// Whether an idle connection may carry a request: nothing has come on it, not even its end.
async fn usable(connection: &mut BackendConnection) -> bool {
    future::poll_once(connection.stream.next()).await.is_none()
}

/// The connection to be used next: of those that have rested the one used last, else the one that has rested longest.
fn next_idle(idle: &mut Vec<BackendConnection>, now: Micros) -> Option<BackendConnection> {
    let rested = idle.iter().rposition(|c| now.0 - c.since.0 >= REST);
    (!idle.is_empty()).then(|| idle.remove(rested.unwrap_or(0)))
}

/// Runs until its box has left and nothing is out there.
pub async fn run(work: BackendContext, inbox: Receiver<BackendMessage>, own: WeakSender<BackendMessage>) {
    let BackendContext { context, endpoint, .. } = &work;
    let mut inbox = Box::pin(inbox);
    let mut idle: Vec<BackendConnection> = Vec::new();
    loop {
        let sweep = async {
            Timer::after(Duration::from_secs(1)).await;
            Some(BackendMessage::Changed)
        };
        endpoint.idle.set(idle.len());
        let next = match idle.is_empty() {
            true => inbox.next().await,
            false => future::or(inbox.next(), sweep).await,
        };
        match next {
            // Forgotten, and nothing is out any more.
            None => {
                idle.iter_mut().for_each(|c| c.stream.reason = CloseReason::Drained);
                return;
            }
            Some(BackendMessage::Start(attempt)) => {
                let connection = next_idle(&mut idle, context.clock.now());
                let connection = connection.filter(|c| c.incarnation == endpoint.incarnation.get());
                let attempt = serve(work.clone(), attempt, connection, own.upgrade());
                context.executor.spawn(attempt).detach();
            }
            Some(BackendMessage::Free(mut connection)) => {
                if endpoint.closed.get() || connection.incarnation != endpoint.incarnation.get() {
                    connection.stream.reason = CloseReason::Drained;
                } else if idle.len() >= KEPT {
                    connection.stream.reason = CloseReason::Bound;
                } else {
                    idle.push(*connection);
                }
            }
            Some(BackendMessage::Spare) => {
                if !idle.is_empty() {
                    idle.remove(0).stream.reason = CloseReason::Bound;
                }
            }
            Some(BackendMessage::Stop) => {
                idle.iter_mut().for_each(|c| c.stream.reason = CloseReason::Stopped);
                return;
            }
            Some(BackendMessage::Changed) => {
                let now = context.clock.now();
                let fresh = (context.config().idle.0 as f64 * FRESH) as i64;
                for c in idle.iter_mut() {
                    let dead = endpoint.closed.get() || c.incarnation != endpoint.incarnation.get();
                    c.stream.reason = if dead { CloseReason::Drained } else { CloseReason::Idle };
                }
                idle.retain(|c| {
                    !endpoint.closed.get()
                        && c.incarnation == endpoint.incarnation.get()
                        && now.0 - c.since.0 < fresh
                });
                idle.iter_mut().for_each(|c| c.stream.reason = CloseReason::PeerClosed);
            }
        }
    }
}

/// Carries out one attempt and tells the module of its end.
async fn serve(
    work: BackendContext,
    attempt: Attempt,
    free: Option<BackendConnection>,
    own: Option<Sender<BackendMessage>>,
) {
    let BackendContext { context, scheduler, endpoint, .. } = &work;
    let _out = endpoint.statistics.begin();
    let mut ready = None;
    if let Some(mut free) = free {
        let rested = Micros(free.since.0 + REST).min(attempt.deadline);
        if rested > context.clock.now() {
            Timer::at(context.clock.instant(rested)).await;
        }
        ready = usable(&mut free).await.then_some(free);
    }
    let connection = match ready {
        Some(connection) => Ok(connection),
        None => connect(&work, &attempt).await,
    };
    let ended = match connection {
        Err(ending) => Some(attempt.ended(ending)),
        // Guards against what has become known while the connection came up: that the box drains or has started again,
        // that the client has gone, that a repeat would not be known as one any more.
        Ok(mut connection)
            if connection.incarnation != endpoint.incarnation.get() || !work.may_begin(&attempt) =>
        {
            connection.stream.reason = CloseReason::Drained;
            let fresh = connection.incarnation == endpoint.incarnation.get() && !endpoint.closed.get();
            if let Some(own) = own.filter(|_| fresh) {
                drop(own.try_send(BackendMessage::Free(Box::new(connection))));
            }
            Some(attempt.ended(AttemptOutcome::NotSent))
        }
        Ok(mut connection) => {
            endpoint.statistics.sent(context.clock.now());
            let (ended, mut keep) = match endpoint.speaks.get() {
                Speaks::Resp => exchange(context, &attempt, &mut connection.stream).await,
                Speaks::Iscsi => {
                    let target = endpoint.target.borrow().clone();
                    let session = &mut connection.session;
                    iscsi_exchange::exchange(&work, &attempt, &mut connection.stream, session, &target).await
                }
            };
            connection.stream.carried += 1;
            let ended = match ended {
                Exchanged::Ended(ended) => Some(ended),
                Exchanged::Begun { parts, length } => {
                    let (passing, coming) = ValueWriter::begin(&context.gauges, length);
                    let ended = Ended { value: Some(coming), ..attempt.ended(AttemptOutcome::Ok) };
                    endpoint.statistics.ended(
                        context.clock.now(),
                        AttemptOutcome::Ok,
                        &attempt.request.volume,
                        attempt.request.units,
                    );
                    let _ = scheduler.send(SchedulerMessage::Ended(ended)).await;
                    // Guards against a value that never ends, and its client that never reads.
                    connection.stream.reason = CloseReason::Cut;
                    let passed =
                        pass_on(context, scheduler, &attempt, &mut connection.stream, passing, parts);
                    let until = context.clock.instant(Micros(attempt.request.deadline.0 + NEVER_ENDING));
                    keep = future::or(passed, async {
                        Timer::at(until).await;
                        false
                    })
                    .await;
                    None
                }
            };
            if keep {
                connection.since = context.clock.now();
                if let Some(own) = own {
                    drop(own.try_send(BackendMessage::Free(Box::new(connection))));
                }
            }
            ended
        }
    };
    if let Some(ended) = ended {
        let (volume, units) = (&attempt.request.volume, attempt.request.units);
        endpoint.statistics.ended(context.clock.now(), ended.outcome, volume, units);
        let _ = scheduler.send(SchedulerMessage::Ended(ended)).await;
    }
}
