//! The RESP2 server: accepts clients and drives each client's session on its connection.
use crate::backend::value::Answer;
use crate::client::arrival_times::ArrivalTimes;
use crate::client::connection_slots::{
    ConnectionSlot, ConnectionSlots, IdleTimeouts, EXHAUSTED_IDLE_TIMEOUT,
};
use crate::client::response::{EncodedResponse, Progress};
use crate::client::session::{Session, MAX_PIPELINED_COMMANDS};
use crate::context::Context;
use crate::counts::{Count, Weight};
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use crate::net::accept::accept;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use crate::net::socket::Socket;
use crate::scatter_gather::handle::{GatherClient, GatherHandle};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use dispatch::Bytes;
use futures_lite::{future, StreamExt};
use scheduler::interface::Micros;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Capacities of a client's input and output buffers, in bytes: one value and its arguments.
const BUFFER_BYTES: (usize, usize) = (resp::MAX_VALUE_BYTES + 4096, resp::MAX_VALUE_BYTES + 4096);
/// How often a process that is shutting down checks whether a successor has started.
const SUCCESSOR_CHECK: Duration = Duration::from_millis(20);
/// How long a lingering close waits for the client to close its side.
const LINGER: Duration = Duration::from_millis(200);

/// Accepts clients until the process shuts down and a successor has taken over. Dropping the future closes the listener; accepted
/// clients are still served.
pub async fn listen(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    slots: Rc<ConnectionSlots>,
    gathering: Option<GatherHandle>,
    listener: Async<TcpListener>,
) {
    // Above the limit a few clients are accepted and get their requests rejected; further ones stay pending, since the descriptors
    // are needed for other connections.
    let has_slot =
        || context.gauges.client_connections.get() < context.client_limit() + context.over_limit_clients();
    let server = Server { context: context.clone(), scheduler, slots: slots.clone(), gathering };
    let on_accept = |socket, address| context.executor.spawn(server.clone().serve(socket, address)).detach();
    // Once a successor listens at the same address, new connections must not reach a process that is about to end.
    let shutdown = async || {
        // Nothing is sent on this channel; closing it is the signal.
        let _ = context.lifecycle.stopped.1.recv().await;
        while !context.has_successor() {
            Timer::after(SUCCESSOR_CHECK).await;
        }
    };
    accept(listener, has_slot, async || slots.evict_idle().await, on_accept, shutdown).await;
}

/// State that all sessions share.
#[derive(Clone)]
struct Server {
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    slots: Rc<ConnectionSlots>,
    gathering: Option<GatherHandle>,
}

impl Server {
    /// Drives a client's session until its connection is to be closed, then closes it.
    async fn serve(self, socket: Socket, address: SocketAddr) {
        let count = Count::new(&self.context.gauges, |gauges| &gauges.client_connections);
        let mut stream = Connection::new(socket, "client", address, BUFFER_BYTES);
        let (answers, answered) = async_channel::bounded(MAX_PIPELINED_COMMANDS);
        let mut answered = Box::pin(answered);
        let mut session = self.new_session(answers);
        stream.reason = drive(&mut session, &mut stream, &mut answered).await;
        cancel_open_requests(&session).await;
        // Release the slot before the descriptor.
        drop(session);
        // An evicted connection is closed without lingering: no response is pending on it.
        if matches!(stream.reason, CloseReason::Protocol | CloseReason::Bound | CloseReason::Stopped) {
            let timeout = async {
                Timer::after(LINGER).await;
            };
            future::or(stream.lingering_close(), timeout).await;
        }
        drop(stream);
        drop(count);
    }

    fn new_session(&self, answers: Sender<(u64, Answer)>) -> Session {
        let Server { context, scheduler, slots, gathering } = self;
        let idle_timeout = Micros((context.config().clients.idle_s * 1e6) as i64);
        let idle_timeouts =
            IdleTimeouts { scarce: idle_timeout, exhausted: idle_timeout.min(EXHAUSTED_IDLE_TIMEOUT) };
        Session {
            is_over_limit: context.gauges.client_connections.get() > context.client_limit(),
            answers,
            slots: VecDeque::new(),
            first_slot: 0,
            closing: None,
            slot: ConnectionSlot::acquire(slots, idle_timeouts),
            ring_weight: Weight::new(&context.gauges, |gauges| &gauges.ring_bytes),
            connected_at: context.clock.now(),
            arrivals: ArrivalTimes::default(),
            command_deadline: None,
            last_progress: Progress { bytes_written: 0, at: context.clock.now() },
            context: context.clone(),
            scheduler: scheduler.clone(),
            gather_client: gathering
                .clone()
                .map(|gathering| GatherClient::new(gathering, MAX_PIPELINED_COMMANDS)),
        }
    }
}

/// The event that ended a session's wait.
enum Wakeup {
    /// The next piece of the value that is being sent; `None` if the value can't be completed.
    Piece(Option<Bytes>),
    /// A final answer, with the number of its slot.
    Answer(Option<(u64, Answer)>),
    /// A gathered response, with the number of its slot.
    Gathered(u64, EncodedResponse),
    /// The connection made progress.
    Socket,
    /// A deadline or a check is due, or the process begins to shut down.
    Timer,
    /// The connection is to be evicted.
    Evicted,
    /// The client has closed the connection, or it broke.
    Closed(CloseReason),
}

/// Runs the session; returns why its connection is to be closed.
async fn drive(
    session: &mut Session,
    stream: &mut Connection,
    answered: &mut Pin<Box<Receiver<(u64, Answer)>>>,
) -> CloseReason {
    loop {
        // While the input buffer is full, the end of the stream can't be read, so a disconnect is detected by polling.
        if stream.input.remaining() == 0 && stream.is_closed_by_peer() {
            return CloseReason::PeerClosed;
        }
        let has_more = session.read_commands(stream);
        // Completed responses free slots for commands that have already arrived.
        let has_sent = session.send_ready(stream);
        if let Some(reason) = session.close_reason(stream) {
            return reason;
        }
        let next_check = session.update_activity(stream);
        // Yield after each iteration, so that other connections make progress too.
        future::yield_now().await;
        let next_check = (!has_more && !has_sent).then_some(next_check);
        match next_wakeup(session, stream, answered, next_check).await {
            Wakeup::Answer(Some((slot, answer))) => session.take_answer(slot, answer),
            Wakeup::Gathered(slot, response) => session.take_response(slot, response),
            // Closing the connection tells the client that the value is incomplete.
            Wakeup::Piece(piece) => {
                if !session.take_piece(piece) {
                    return CloseReason::Cut;
                }
            }
            Wakeup::Answer(None) | Wakeup::Timer | Wakeup::Socket => {}
            // Only an idle connection is evicted: a request that has arrived since the eviction was sent is served.
            Wakeup::Evicted if session.slot.is_idle() => return CloseReason::Idle,
            Wakeup::Evicted => {}
            Wakeup::Closed(reason) => return reason,
        }
    }
}

/// Waits for the next event, or until `next_check`; without `next_check`, polls for events that are ready.
async fn next_wakeup(
    session: &Session,
    stream: &mut Connection,
    answered: &mut Pin<Box<Receiver<(u64, Answer)>>>,
    next_check: Option<Micros>,
) -> Wakeup {
    let context = &session.context;
    let answer = async { Wakeup::Answer(answered.next().await) };
    let socket = async {
        match stream.next().await {
            Some(Ok(SocketEvent::End)) => Wakeup::Closed(CloseReason::PeerClosed),
            Some(Err(_)) => Wakeup::Closed(CloseReason::Reset),
            _ => Wakeup::Socket,
        }
    };
    let is_stopping = context.lifecycle.stopping_since.get().is_some();
    let shutdown = async {
        if is_stopping {
            future::pending::<()>().await;
        }
        // Nothing is sent on this channel; closing it is the signal.
        let _ = context.lifecycle.stopped.1.recv().await;
        Wakeup::Timer
    };
    let timer = async {
        if let Some(at) = next_check {
            Timer::at(context.clock.instant(at)).await;
        }
        Wakeup::Timer
    };
    let evicted = async {
        // The slot holds the sender, so the channel is open.
        let _ = session.slot.evictions.recv().await;
        Wakeup::Evicted
    };
    let pieces = session.awaited_pieces();
    let piece = async {
        match pieces {
            Some(pieces) => Wakeup::Piece(pieces.recv().await.ok()),
            None => future::pending().await,
        }
    };
    let gathered = async {
        let Some(gather_client) = &session.gather_client else { return future::pending().await };
        match gather_client.responses.1.recv().await {
            Ok((slot, response)) => Wakeup::Gathered(slot, response),
            Err(_) => future::pending().await,
        }
    };
    let others = future::or(future::or(piece, evicted), future::or(shutdown, timer));
    future::or(future::or(answer, socket), future::or(gathered, others)).await
}

/// Cancels the open requests of a client that has disconnected.
async fn cancel_open_requests(session: &Session) {
    for slot in session.slots.iter().filter(|slot| slot.response.is_none()) {
        match (slot.id, session.gather_client.as_ref().filter(|_| slot.is_gathered)) {
            (Some(id), Some(gather_client)) => gather_client.gathering.left(id).await,
            // The mailbox is closed only at the end of the process.
            (Some(id), None) => drop(session.scheduler.send(SchedulerMessage::ClientLeft(id)).await),
            (None, _) => {}
        }
    }
}
