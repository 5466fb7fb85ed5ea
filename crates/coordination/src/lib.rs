//! Hosts of the replicated control plane: threads, sockets and disk around the state machines of other packages.
//!
//! The gateways of a fleet form one group of members. Membership (`membership`), the replicated log (`consensus`)
//! and planned maintenance (`maintenance`) are state machines without I/O; this package runs them. Its threads are separate from
//! those of the gateway. The two communicate through two bounded mailboxes: the gateway reports through [`Handle`], and receives
//! what the members have agreed on as [`GatewayMessage`]s.
//!
//! | thread | owns | module |
//! | --- | --- | --- |
//! | `accord-net` | sockets, membership, frames to and from the other members | [`network_thread`] |
//! | `accord-log` | the replicated log, the replicated state machine, the maintenance agent of this member | [`log_thread`] |
//! | `accord-disk` | the store | [`storage_thread`] |
//! | `accord-changes`, `changes-disk` | relay and subscriber of distributed configuration, its saved copy | [`distribution`] |
//!
//! Each thread has its own state, and threads communicate through bounded mailboxes. A message to a full mailbox is dropped and
//! sent again later, like a message that is lost on the network.
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
