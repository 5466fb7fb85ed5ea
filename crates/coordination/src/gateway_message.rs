//! Messages between the gateway and the hosts. Neither waits for the other: mailboxes are bounded, and a message
//! that does not fit is counted and sent again later.
use crate::measurements::Measurements;
use crate::operator_call::{OperatorCall, OperatorResponse};
use cluster_types::{BackendId, Index};
use maintenance::Quota;

/// A message from the gateway to the hosts.
pub enum CoordinationMessage {
    /// New measurements of the gateway.
    Measured(Measurements),
    /// A call of an operator, and the channel for the response.
    Call(OperatorCall, async_channel::Sender<OperatorResponse>),
    /// The gateway shuts down and leaves the group.
    Stopping,
}

/// A message from the hosts to the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayMessage {
    /// Stop sending new requests to a backend.
    Drain {
        /// The backend.
        backend: BackendId,
        /// The index of the grant or step that ordered it; `None` for a drain that only an operator ends.
        order: Option<Index>,
    },
    /// Resume sending requests to a backend.
    Undrain {
        /// The backend.
        backend: BackendId,
        /// The share of its capacity that may be used.
        quota: Quota,
    },
}
