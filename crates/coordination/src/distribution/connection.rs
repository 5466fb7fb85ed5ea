//! A connection between a relay and a subscriber: sealed frames in both directions, until either side closes it.
//!
//! The relay's first frame is empty and states its incarnation; all others are sealed for the incarnation of their receiver. A
//! process that was started later therefore rejects recorded frames.
use crate::distribution::connection_event::ConnectionEvent;
use crate::distribution::outbox::{Outbox, OutboxReader};
use crate::frame;
use crate::network_thread::framing::{
    append_frame, read_frame, ReadState, DISTRIBUTION_CHANNEL, MAX_RELAY_FRAME_BYTES,
};
use crate::network_thread::{set_nodelay, with_timeout, CloseReason, ConnectionEnd, LinkCounters};
use async_channel::Sender;
use async_io::Async;
use cluster_types::MemberId;
use futures_lite::{future, AsyncWriteExt};
use message_auth::{Opened, Opener, Sealer};
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The maximum length of a frame from a subscriber, in bytes.
const MAX_SUBSCRIBER_FRAME_BYTES: usize = 64 * 1024;

/// The state shared by all connections.
#[derive(Clone)]
pub(crate) struct ConnectionContext {
    pub(crate) sealer: Rc<RefCell<Sealer>>,
    pub(crate) opener: Rc<RefCell<Opener>>,
    pub(crate) events: Sender<ConnectionEvent>,
    pub(crate) counters: Arc<LinkCounters>,
}

impl ConnectionContext {
    /// Reports an event to the host, which outlives its connections, so that its mailbox is still open.
    async fn report(&self, event: ConnectionEvent) {
        drop(self.events.send(event).await);
    }
}

/// Writes frames until the outbox is closed or a write fails.
async fn write_frames(stream: &Async<TcpStream>, outbox: &OutboxReader) -> CloseReason {
    let mut stream = stream;
    while let Some(frame) = outbox.next().await {
        if with_timeout(async { stream.write_all(&frame).await.ok() }).await.is_none() {
            return CloseReason::WriteTimeout;
        }
        outbox.record_written(&frame);
    }
    CloseReason::ClosedLocally(outbox.close_code())
}

/// The reading end of a connection.
struct Reader<'a> {
    stream: &'a Async<TcpStream>,
    context: &'a ConnectionContext,
    state: ReadState,
    /// The peer, once it is known.
    peer: Option<MemberId>,
}

impl Reader<'_> {
    /// Reads the next frame. All frames must have the same sender.
    async fn read_frame(&mut self) -> Result<Opened, CloseReason> {
        let (context, mut stream) = (self.context, self.stream);
        let (opener, counters) = (&context.opener, &context.counters);
        let opened = read_frame(&mut stream, DISTRIBUTION_CHANNEL, self.state, opener, counters).await?;
        if *self.peer.get_or_insert_with(|| opened.from.clone()) != opened.from {
            context.counters.rejected_frames.fetch_add(1, Ordering::Relaxed);
            return Err(CloseReason::OtherSender);
        }
        self.state.frames += 1;
        // Lets other tasks run, however fast the peer sends.
        future::yield_now().await;
        Ok(opened)
    }

    /// Reads the first frame of a relay, which states its incarnation.
    async fn read_hello(&mut self) -> Result<(), CloseReason> {
        let opened = self.read_frame().await?;
        self.context.sealer.borrow_mut().learn_incarnation(&opened.from, opened.incarnation);
        self.state.frames = 0;
        Ok(())
    }

    /// Reads the next message, which must be sealed for the current incarnation of this process.
    async fn read_message<T: DeserializeOwned>(&mut self) -> Result<T, CloseReason> {
        let opened = self.read_frame().await?;
        let counters = &self.context.counters;
        if !opened.is_fresh {
            self.state.frames -= 1;
            counters.rejected_frames.fetch_add(1, Ordering::Relaxed);
            return Err(CloseReason::StaleIncarnation);
        }
        if self.state.frames == 1 {
            self.context.sealer.borrow_mut().learn_incarnation(&opened.from, opened.incarnation);
        }
        frame::decode(&opened.body).map_err(|error| {
            counters.undecodable_frames.fetch_add(1, Ordering::Relaxed);
            CloseReason::Protocol(error)
        })
    }
}

/// Serves a subscriber's connection until it ends.
pub(crate) async fn serve_subscriber(
    stream: Async<TcpStream>,
    connection_id: u64,
    context: ConnectionContext,
) -> ConnectionEnd {
    set_nodelay(&stream);
    let (outbox, outbox_reader) = Outbox::new();
    let mut hello = Vec::new();
    // An empty frame is never too long, and the outbox is empty.
    append_frame(&mut hello, None, &[], &context.sealer).ok();
    outbox.send(hello);
    let state = ReadState { frames: 0, max_frame_bytes: MAX_SUBSCRIBER_FRAME_BYTES };
    let mut reader = Reader { stream: &stream, context: &context, state, peer: None };
    let mut outbox = Some(outbox);
    let read = async {
        loop {
            let message = match reader.read_message().await {
                Ok(message) => message,
                Err(reason) => return reason,
            };
            if let (Some(outbox), Some(name)) = (outbox.take(), &reader.peer) {
                context
                    .report(ConnectionEvent::SubscriberConnected {
                        connection_id,
                        name: name.clone(),
                        outbox,
                    })
                    .await;
            }
            context.report(ConnectionEvent::FromSubscriber { connection_id, message }).await;
        }
    };
    let reason = future::or(read, write_frames(&stream, &outbox_reader)).await;
    let (name, frames) = (reader.peer.take(), reader.state.frames);
    context.report(ConnectionEvent::SubscriberDisconnected { connection_id, name }).await;
    ConnectionEnd { frames, reason }
}

/// Connects to a relay and follows it until the connection ends.
pub(crate) async fn follow_relay(
    connection_id: u64,
    relay: MemberId,
    address: SocketAddr,
    context: ConnectionContext,
) -> ConnectionEnd {
    let connected = with_timeout(async { Async::<TcpStream>::connect(address).await.ok() }).await;
    let Some(stream) = connected else {
        context.report(ConnectionEvent::RelayDisconnected { connection_id, frames: None }).await;
        return ConnectionEnd { frames: 0, reason: CloseReason::ConnectFailed };
    };
    set_nodelay(&stream);
    let (outbox, outbox_reader) = Outbox::new();
    let state = ReadState { frames: 0, max_frame_bytes: MAX_RELAY_FRAME_BYTES };
    let mut reader = Reader { stream: &stream, context: &context, state, peer: Some(relay) };
    let read = async {
        if let Err(reason) = reader.read_hello().await {
            return reason;
        }
        context.report(ConnectionEvent::RelayConnected { connection_id, outbox }).await;
        loop {
            match reader.read_message().await {
                Ok(message) => context.report(ConnectionEvent::FromRelay { connection_id, message }).await,
                Err(reason) => return reason,
            }
        }
    };
    let reason = future::or(read, write_frames(&stream, &outbox_reader)).await;
    let frames = reader.state.frames;
    context.report(ConnectionEvent::RelayDisconnected { connection_id, frames: Some(frames) }).await;
    ConnectionEnd { frames, reason }
}
