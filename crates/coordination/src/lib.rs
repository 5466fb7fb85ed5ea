//! Hosts of the replicated control plane: threads, sockets and disk around the state machines of other packages.
//!
//! The gateways of a fleet act together as members of one group. Membership (`membership`), the replicated log (`consensus`)
//! and planned maintenance (`maintenance`) decide without I/O; this package runs them. None of its threads belongs to
//! the gateway, which meets them through two bounded mailboxes: [`Handle`] takes what the gateway reports, [`GatewayMessage`]s
//! tell it what the members have agreed on.
//!
//! | thread | owns | module |
//! | --- | --- | --- |
//! | `accord-net` | sockets, membership, frames to and from the other members | [`network_thread`] |
//! | `accord-log` | the replicated log, the replicated state machine, this member's part in maintenance | [`log_thread`] |
//! | `accord-disk` | the store | [`storage_thread`] |
//! | `accord-changes`, `changes-disk` | relay and subscriber of distributed configuration, its saved copy | [`distribution`] |
//!
//! Each thread has its own state; between them are bounded mailboxes. A full mailbox loses a message, which is sent again
//! later, as it would be lost on the network.
mod clock;
pub mod distribution;
mod error;
pub mod frame;
mod gateway_message;
mod handle;
pub mod log_thread;
mod measurements;
pub mod network_thread;
mod operator_call;
mod settings;
mod start;
pub mod state_machine;
pub mod storage_thread;

pub use error::StartError;
pub use gateway_message::{CoordinationMessage, GatewayMessage};
pub use handle::Handle;
pub use measurements::{BackendMeasurement, Measurements, VolumeMeasurement};
pub use operator_call::{OperatorCall, OperatorResponse};
pub use settings::{Peer, Settings};
pub use start::start;
