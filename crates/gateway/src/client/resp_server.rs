//! The platform's front: RESP2 connections of clients.
use crate::backend::value::Answer;
use crate::client::arrival_times::Arrivals;
use crate::client::connection_slots::{ConnectionSlot, ConnectionSlots, SHORT};
use crate::client::response::Reply;
use crate::client::session::{Client, PIPELINE};
use crate::context::Context;
use crate::counts::{Count, Weight};
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use crate::net::accept::accept;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use crate::net::socket::Socket;
use crate::scatter_gather::handle::{Gathering, Owed};
use async_io::{Async, Timer};
use dispatch::Bytes;
use futures_lite::{future, StreamExt};
use scheduler::interface::Micros;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const BOUNDS: (usize, usize) = (resp::LONGEST + 4096, resp::LONGEST + 4096);
/// How often a process that ends looks whether another has come.
const FOLLOWED: Duration = Duration::from_millis(20);

/// How long a client may take to close a connection that is shut.
const LINGER: Duration = Duration::from_millis(200);

/// Accepts clients until the program ends.
pub async fn listen(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    slots: Rc<ConnectionSlots>,
    gathering: Option<Gathering>,
    listener: Async<TcpListener>,
) {
    // Guards the descriptors of everything else: beyond the bound some are refused, more are not accepted for now.
    let may = || context.gauges.clients.get() < context.client_bound() + context.beyond_bound();
    let take = |socket, address| {
        let talk =
            client(context.clone(), scheduler.clone(), slots.clone(), gathering.clone(), socket, address);
        context.executor.spawn(talk).detach();
    };
    // Guards new connections against a process that is about to end, where another listens beside it.
    let over = async || {
        let _ = context.lifecycle.stopped.1.recv().await;
        while !context.followed() {
            Timer::after(FOLLOWED).await;
        }
    };
    accept(listener, may, async || slots.room().await, take, over).await;
}

enum Woken {
    Piece(Option<Bytes>),
    Answer(Option<(u64, Answer)>),
    Gathered(u64, Reply),
    Moved,
    Tick,
    MakeRoom,
    End(CloseReason),
}

async fn client(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    slots: Rc<ConnectionSlots>,
    gathering: Option<Gathering>,
    socket: Socket,
    address: SocketAddr,
) {
    let _count = Count::up(&context.gauges, |g| &g.clients);
    let mut stream = Connection::new(socket, "client", address, BOUNDS);
    let (answers, answered) = async_channel::bounded(PIPELINE);
    let mut answered = Box::pin(answered);
    let idle = Micros((context.config().clients.idle_s * 1e6) as i64);
    let mut client = Client {
        beyond: context.gauges.clients.get() > context.client_bound(),
        answers,
        slots: VecDeque::new(),
        first: 0,
        closing: None,
        slot: ConnectionSlot::take(&slots, (idle, idle.min(SHORT))),
        rings: Weight::new(&context.gauges, |g| &g.rings),
        came: context.clock.now(),
        arrivals: Arrivals::default(),
        whole_by: None,
        went_on: (0, context.clock.now()),
        context: context.clone(),
        scheduler: scheduler.clone(),
        gathers: gathering.map(|g| Owed::new(g, PIPELINE)),
    };
    stream.reason = loop {
        // Guards against a client that sends much at once and goes: its end lies behind what there is no room for.
        if stream.input.room() == 0 && stream.hung_up() {
            break CloseReason::PeerClosed;
        }
        let more = client.read(&mut stream);
        // What was written makes place for commands that have come already.
        let wrote = client.write(&mut stream);
        if let Some(reason) = client.ends(&stream) {
            break reason;
        }
        let look = client.settle(&stream);
        // Guards the others: whatever there is to do, each turn is one of many.
        future::yield_now().await;
        let stopping = context.lifecycle.stopping.get().is_some();
        let answer = async { Woken::Answer(answered.next().await) };
        let moved = async {
            match stream.next().await {
                Some(Ok(SocketEvent::End)) => Woken::End(CloseReason::PeerClosed),
                Some(Err(_)) => Woken::End(CloseReason::Reset),
                _ => Woken::Moved,
            }
        };
        let stop = async {
            match stopping {
                false => drop(context.lifecycle.stopped.1.recv().await),
                true => future::pending().await,
            }
            Woken::Tick
        };
        let tick = async {
            match more || wrote {
                true => {}
                false => drop(Timer::at(context.clock.instant(look)).await),
            }
            Woken::Tick
        };
        let asked = client.slot.asked.clone();
        let leave = async {
            let _ = asked.recv().await;
            Woken::MakeRoom
        };
        let awaited = client.awaits();
        let piece = async {
            match awaited {
                Some(pieces) => Woken::Piece(pieces.recv().await.ok()),
                None => future::pending().await,
            }
        };
        let gathers = client.gathers.as_ref().map(|owed| owed.answers.1.clone());
        let gathered = async {
            match gathers.as_ref().map(|g| g.recv()) {
                Some(next) => match next.await {
                    Ok((slot, reply)) => Woken::Gathered(slot, reply),
                    Err(_) => future::pending().await,
                },
                None => future::pending().await,
            }
        };
        let others = future::or(future::or(piece, leave), future::or(stop, tick));
        let others = future::or(gathered, others);
        match future::or(future::or(answer, moved), others).await {
            Woken::Answer(Some((slot, answer))) => client.answered(slot, answer),
            Woken::Gathered(slot, reply) => client.gathered(slot, reply),
            // Guards the client: a value that can't be finished ends its connection, and it can tell.
            Woken::Piece(piece) => {
                if !client.piece(piece) {
                    break CloseReason::Cut;
                }
            }
            Woken::Answer(None) | Woken::Tick | Woken::Moved => {}
            // Only between requests: what has come meanwhile is served.
            Woken::MakeRoom if client.slot.idle() => break CloseReason::Idle,
            Woken::MakeRoom => {}
            Woken::End(reason) => break reason,
        }
    };
    for slot in client.slots.iter().filter(|s| s.reply.is_none()) {
        match (slot.id, client.gathers.as_ref().filter(|_| slot.gathers)) {
            (Some(id), Some(owed)) => owed.gathering.left(id).await,
            (Some(id), None) => drop(scheduler.send(SchedulerMessage::Left(id)).await),
            (None, _) => {}
        }
    }
    // Its seat is free before its descriptor is.
    drop(client);
    // One that makes room does so at once; nothing is owed on it.
    if matches!(stream.reason, CloseReason::Protocol | CloseReason::Bound | CloseReason::Stopped) {
        let late = async {
            Timer::after(LINGER).await;
        };
        future::or(stream.lingering_close(), late).await;
    }
}
