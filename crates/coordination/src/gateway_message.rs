//! Messages between the gateway and the hosts. Neither waits for the other: mailboxes are bounded, and what finds one full is
//! counted and sent again at the next turn.
use crate::measurements::Measurements;
use crate::operator_call::{OperatorCall, OperatorResponse};
use cluster_types::{BackendId, Index};
use maintenance::Quota;

/// What the gateway tells the hosts.
pub enum CoordinationMessage {
    /// The gateway has measured.
    Measured(Measurements),
    /// An operator calls; the response goes to the channel.
    Call(OperatorCall, async_channel::Sender<OperatorResponse>),
    /// The gateway shuts down and leaves the group.
    Stopping,
}

/// What the hosts tell the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayMessage {
    /// Send nothing new to a backend.
    Drain {
        /// The backend.
        backend: BackendId,
        /// The grant or the step that orders it; none for a drain that only an operator ends.
        order: Option<Index>,
    },
    /// Send to a backend again.
    Undrain {
        /// The backend.
        backend: BackendId,
        /// How much of its capacity.
        quota: Quota,
    },
}
