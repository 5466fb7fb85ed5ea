//! The inputs and outputs of [`Membership`](crate::Membership).
use crate::claim::{Observation, Subject};
use crate::member::{MemberState, Seed};
use cluster_types::MemberId;
use message_auth::Keys;
use std::net::SocketAddr;

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A datagram arrived.
    Datagram {
        /// Its source address.
        from: SocketAddr,
        /// Its payload.
        bytes: Vec<u8>,
    },
    /// This process is about to end: the others are to be notified.
    Leave,
    /// This member observed something.
    Observed(Observation),
    /// The configured members changed to these.
    SeedsChanged(Vec<Seed>),
    /// The keys to sign and verify with changed to these.
    KeysChanged(Keys),
}

/// An output.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// Its payload.
        bytes: Vec<u8>,
    },
    /// The state of a member changed, or its process was restarted.
    MemberChanged {
        /// Its name.
        member: MemberId,
        /// Its new state.
        state: MemberState,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The claims about this subject changed.
    ClaimsChanged(Subject),
}
