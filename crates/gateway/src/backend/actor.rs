//! The actor of one disk box: it carries out attempts, each alone on a connection, and keeps idle connections.
use crate::backend::iscsi_exchange;
use crate::backend::resp_exchange::{exchange, pass_on, Exchanged};
use crate::backend::start_times::Start;
use crate::backend::statistics::Tally;
use crate::backend::value::{Ended, Passing};
use crate::context::Context;
use crate::messages::{Mail, Module};
use crate::net::close_reason::Reason;
use crate::net::dial::{connect, Connection};
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
pub struct Place {
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
    pub tally: Rc<Tally>,
    /// Its sessions or connections belong to this life of it.
    pub life: Cell<u32>,
}

/// What a box's actor and its attempts need.
#[derive(Clone)]
pub struct Work {
    /// What every actor stands on.
    pub context: Rc<Context>,
    /// Where ends of attempts go.
    pub module: Module,
    /// What the list says of the box.
    pub place: Rc<Place>,
    /// Asks a box that has idle connections to close one; false where none has any.
    pub make_room: Rc<dyn Fn() -> bool>,
}

impl Work {
    /// Whether an attempt may begin now, here. Asked in the instant of sending, after whatever was waited for.
    pub fn may_begin(&self, attempt: &Attempt) -> bool {
        !self.place.closed.get() && attempt.may_begin(self.context.clock.now())
    }
}

/// A peer's mail.
pub enum PeerMail {
    /// Make an attempt.
    Start(Attempt),
    /// A connection that is free again.
    Free(Box<Connection>),
    /// The list has changed.
    Changed,
    /// Close the connection that has stood idle the longest: another disk box needs its place.
    Spare,
    /// The program ends.
    Stop,
}

/// Whether an idle connection may carry a request: nothing has come on it, not even its end.
async fn usable(connection: &mut Connection) -> bool {
    future::poll_once(connection.wire.next()).await.is_none()
}

/// The connection to be used next: of those that have rested the one used last, else the one that has rested longest.
fn next_idle(idle: &mut Vec<Connection>, now: Micros) -> Option<Connection> {
    let rested = idle.iter().rposition(|c| now.0 - c.since.0 >= REST);
    (!idle.is_empty()).then(|| idle.remove(rested.unwrap_or(0)))
}

/// Runs until its box has left and nothing is out there.
pub async fn run(work: Work, inbox: Receiver<PeerMail>, own: WeakSender<PeerMail>) {
    let Work { context, place, .. } = &work;
    let mut inbox = Box::pin(inbox);
    let mut idle: Vec<Connection> = Vec::new();
    loop {
        let sweep = async {
            Timer::after(Duration::from_secs(1)).await;
            Some(PeerMail::Changed)
        };
        place.idle.set(idle.len());
        let next = match idle.is_empty() {
            true => inbox.next().await,
            false => future::or(inbox.next(), sweep).await,
        };
        match next {
            // Forgotten, and nothing is out any more.
            None => {
                idle.iter_mut().for_each(|c| c.wire.reason = Reason::Drained);
                return;
            }
            Some(PeerMail::Start(attempt)) => {
                let connection = next_idle(&mut idle, context.clock.now());
                let connection = connection.filter(|c| c.life == place.life.get());
                let attempt = serve(work.clone(), attempt, connection, own.upgrade());
                context.executor.spawn(attempt).detach();
            }
            Some(PeerMail::Free(mut connection)) => {
                if place.closed.get() || connection.life != place.life.get() {
                    connection.wire.reason = Reason::Drained;
                } else if idle.len() >= KEPT {
                    connection.wire.reason = Reason::Bound;
                } else {
                    idle.push(*connection);
                }
            }
            Some(PeerMail::Spare) => {
                if !idle.is_empty() {
                    idle.remove(0).wire.reason = Reason::Bound;
                }
            }
            Some(PeerMail::Stop) => {
                idle.iter_mut().for_each(|c| c.wire.reason = Reason::Stopped);
                return;
            }
            Some(PeerMail::Changed) => {
                let now = context.clock.now();
                let fresh = (context.config().idle.0 as f64 * FRESH) as i64;
                for c in idle.iter_mut() {
                    let dead = place.closed.get() || c.life != place.life.get();
                    c.wire.reason = if dead { Reason::Drained } else { Reason::Idle };
                }
                idle.retain(|c| {
                    !place.closed.get() && c.life == place.life.get() && now.0 - c.since.0 < fresh
                });
                idle.iter_mut().for_each(|c| c.wire.reason = Reason::PeerClosed);
            }
        }
    }
}

/// Carries out one attempt and tells the module of its end.
async fn serve(work: Work, attempt: Attempt, free: Option<Connection>, own: Option<Sender<PeerMail>>) {
    let Work { context, module, place, .. } = &work;
    let _out = place.tally.begin();
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
        Ok(mut connection) if connection.life != place.life.get() || !work.may_begin(&attempt) => {
            connection.wire.reason = Reason::Drained;
            let fresh = connection.life == place.life.get() && !place.closed.get();
            if let Some(own) = own.filter(|_| fresh) {
                drop(own.try_send(PeerMail::Free(Box::new(connection))));
            }
            Some(attempt.ended(AttemptOutcome::NotSent))
        }
        Ok(mut connection) => {
            place.tally.sent(context.clock.now());
            let (ended, mut keep) = match place.speaks.get() {
                Speaks::Resp => exchange(context, &attempt, &mut connection.wire).await,
                Speaks::Iscsi => {
                    let target = place.target.borrow().clone();
                    let session = &mut connection.session;
                    iscsi_exchange::exchange(&work, &attempt, &mut connection.wire, session, &target).await
                }
            };
            connection.wire.carried += 1;
            let ended = match ended {
                Exchanged::Ended(ended) => Some(ended),
                Exchanged::Begun { parts, length } => {
                    let (passing, coming) = Passing::begin(&context.gauges, length);
                    let ended = Ended { value: Some(coming), ..attempt.ended(AttemptOutcome::Ok) };
                    place.tally.ended(
                        context.clock.now(),
                        AttemptOutcome::Ok,
                        &attempt.request.volume,
                        attempt.request.units,
                    );
                    let _ = module.send(Mail::Ended(ended)).await;
                    // Guards against a value that never ends, and its client that never reads.
                    connection.wire.reason = Reason::Cut;
                    let passed = pass_on(context, module, &attempt, &mut connection.wire, passing, parts);
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
                    drop(own.try_send(PeerMail::Free(Box::new(connection))));
                }
            }
            ended
        }
    };
    if let Some(ended) = ended {
        let (volume, units) = (&attempt.request.volume, attempt.request.units);
        place.tally.ended(context.clock.now(), ended.outcome, volume, units);
        let _ = module.send(Mail::Ended(ended)).await;
    }
}
