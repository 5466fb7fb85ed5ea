//! The actor of one backend: starts attempts, one at a time on each connection, and pools idle connections.
use crate::backend::attempt;
use crate::backend::endpoint::BackendContext;
use crate::net::close_reason::CloseReason;
use crate::net::dial::BackendConnection;
use async_channel::{Receiver, WeakSender};
use async_io::Timer;
use dispatch::Attempt;
use futures_lite::{future, StreamExt};
use scheduler::interface::Micros;
use std::time::Duration;

/// Idle connections that are kept for one backend.
const MAX_IDLE_CONNECTIONS: usize = 48;
/// How often idle connections are checked for their age.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum idle time of a connection before it is reused, in microseconds: a duplicate reply, which may arrive some milliseconds
/// later, must not be matched to the next command.
pub const REUSE_DELAY_US: i64 = 5_000;
/// The fraction of the backend's idle timeout during which an idle connection is reused.
const REUSE_FRACTION: f64 = 0.6;

/// A message to a backend's actor.
pub enum BackendMessage {
    /// Start an attempt.
    Start(Attempt),
    /// Keep a connection whose attempt has ended.
    Release(Box<BackendConnection>),
    /// The backend's entry has changed.
    EndpointChanged,
    /// Close the connection that has been idle the longest: another backend needs its descriptor.
    EvictIdle,
    /// Close all idle connections: the process is shutting down.
    Stop,
}

/// Runs until the backend is removed from the pool and no attempt is in flight, which closes the mailbox.
pub async fn run(backend: BackendContext, inbox: Receiver<BackendMessage>, own: WeakSender<BackendMessage>) {
    let mut inbox = Box::pin(inbox);
    let mut idle = IdleConnections { backend: backend.clone(), connections: Vec::new() };
    loop {
        backend.endpoint.idle_count.set(idle.connections.len());
        let sweep = async {
            if idle.connections.is_empty() {
                future::pending::<()>().await;
            }
            Timer::after(SWEEP_INTERVAL).await;
            Some(BackendMessage::EndpointChanged)
        };
        match future::or(inbox.next(), sweep).await {
            None => return idle.close_all(CloseReason::Drained),
            Some(BackendMessage::Start(attempt)) => {
                let connection = idle.take();
                let attempt = attempt::run(backend.clone(), attempt, connection, own.upgrade());
                backend.context.executor.spawn(attempt).detach();
            }
            Some(BackendMessage::Release(connection)) => idle.put(*connection),
            Some(BackendMessage::EvictIdle) => idle.evict_oldest(),
            Some(BackendMessage::EndpointChanged) => idle.close_unusable(),
            Some(BackendMessage::Stop) => return idle.close_all(CloseReason::Stopped),
        }
    }
}

/// The idle connections of one backend, the longest idle first.
struct IdleConnections {
    backend: BackendContext,
    connections: Vec<BackendConnection>,
}

impl IdleConnections {
    fn is_current(&self, connection: &BackendConnection) -> bool {
        connection.incarnation == self.backend.endpoint.incarnation.get()
    }

    /// Removes the connection to reuse: the most recently used of those past the reuse delay, else the longest idle one. A connection
    /// to an earlier incarnation is closed instead.
    fn take(&mut self) -> Option<BackendConnection> {
        let now = self.backend.context.clock.now();
        let reusable =
            self.connections.iter().rposition(|connection| now.0 - connection.idle_since.0 >= REUSE_DELAY_US);
        let connection =
            (!self.connections.is_empty()).then(|| self.connections.remove(reusable.unwrap_or(0)));
        connection.filter(|connection| self.is_current(connection))
    }

    /// Keeps a connection, or closes it where it can't be reused.
    fn put(&mut self, mut connection: BackendConnection) {
        if self.backend.endpoint.is_closed.get() || !self.is_current(&connection) {
            connection.stream.reason = CloseReason::Drained;
        } else if self.connections.len() >= MAX_IDLE_CONNECTIONS {
            connection.stream.reason = CloseReason::Bound;
        } else {
            self.connections.push(connection);
        }
    }

    fn evict_oldest(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0).stream.reason = CloseReason::Bound;
        }
    }

    /// Closes the connections that have become too old, or whose backend is draining, gone or restarted.
    fn close_unusable(&mut self) {
        let context = &self.backend.context;
        let now = context.clock.now();
        let reuse_us = (context.config().backend_idle.0 as f64 * REUSE_FRACTION) as i64;
        let is_closed = self.backend.endpoint.is_closed.get();
        let connections = std::mem::take(&mut self.connections);
        for mut connection in connections {
            if is_closed || !self.is_current(&connection) {
                connection.stream.reason = CloseReason::Drained;
            } else if now.0 - connection.idle_since.0 >= reuse_us {
                connection.stream.reason = CloseReason::Idle;
            } else {
                connection.stream.reason = CloseReason::PeerClosed;
                self.connections.push(connection);
            }
        }
    }

    fn close_all(mut self, reason: CloseReason) {
        self.connections.iter_mut().for_each(|connection| connection.stream.reason = reason);
    }
}

/// When the reuse delay of a connection ends, for an attempt with that deadline.
pub fn reusable_at(connection: &BackendConnection, deadline: Micros) -> Micros {
    Micros(connection.idle_since.0 + REUSE_DELAY_US).min(deadline)
}
