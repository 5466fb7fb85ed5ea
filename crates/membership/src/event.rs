//! The inputs and outputs of [`Membership`](crate::Membership).
use crate::claim::{Observation, Subject};
use crate::member::{MemberState, Seed};
use cluster_types::MemberId;
use message_auth::Keys;
use std::net::SocketAddr;

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// Nothing happened but that time passed.
    Tick,
    /// A datagram was received.
    Datagram {
        /// Its source address.
        from: SocketAddr,
        /// Its payload.
        bytes: Vec<u8>,
    },
    /// This process is about to stop; the other members must be notified.
    Leave,
    /// This member made an observation about a backend or zone.
    Observed(Observation),
    /// The new list of configured members.
    SeedsChanged(Vec<Seed>),
    /// The new keys for signing and verifying.
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
    /// The state of a member changed, or its process restarted.
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
