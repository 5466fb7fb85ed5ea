//! The thread of the sockets: membership over UDP, frames to and from each member over TCP.
//!
//! It makes no decisions. Authentic frames are passed on; a frame that cannot be authenticated is counted and its connection
//! closed.
mod accept;
mod close_reason;
mod counters;
pub mod framing;
mod incoming;
mod membership_host;
mod outgoing;
mod sockets;
mod thread;
mod timeout;
mod view;

pub use close_reason::{CloseReason, ConnectionEnd};
pub use counters::LinkCounters;
pub use view::MembershipView;

pub(crate) use accept::{accept_connections, Acceptor};
pub(crate) use incoming::FrameHandler;
pub(crate) use outgoing::set_nodelay;
pub(crate) use sockets::Sockets;
pub(crate) use thread::{run, NetworkThread};
pub(crate) use timeout::with_timeout;
