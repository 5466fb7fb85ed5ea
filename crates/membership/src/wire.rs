//! The packets that members exchange, and the bounds of their fields.
//!
//! They are encoded with postcard and signed by [`message_auth`]. The order of the variants and fields is part of the wire
//! format; their names are not.
use crate::claim::{ClaimKind, Subject};
use crate::digest::Digest;
use crate::member::MemberState;
use cluster_types::{MemberId, Zone};
use message_auth::MAX_NAME_BYTES;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The exclusive limit of the incarnations of members that are not alive, and of claim numbers. It leaves higher ones with
/// which a member can refute any report.
pub const MAX_REFUTABLE: u64 = u64::MAX - (1 << 32);

/// The maximum length of a backend's or zone's name in a claim, in bytes.
pub const MAX_SUBJECT_BYTES: usize = 128;

/// Why a packet is rejected. Nothing of a rejected packet is used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a valid packet.
    #[error("not a packet: {0}")]
    Encoding(#[from] postcard::Error),
    /// There are bytes after the packet.
    #[error("{0} bytes follow the packet")]
    TrailingBytes(usize),
    /// A required name is empty, or a name is too long.
    #[error("a name is out of bounds")]
    Name,
    /// An address has port 0.
    #[error("an address has port 0")]
    Port,
    /// An incarnation or a claim number is out of bounds.
    #[error("an incarnation or number is out of bounds")]
    Number,
}

/// The message of a packet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A direct probe.
    Ping {
        /// The sequence number that the sender gave the ping.
        sequence: u32,
    },
    /// The answer to a ping.
    Ack {
        /// The ping's sequence number.
        sequence: u32,
    },
    /// Asks the receiver to probe another member: SWIM's ping-req.
    PingRequest {
        /// The sequence number of the sender's probe.
        sequence: u32,
        /// The member to probe.
        target: MemberId,
    },
    /// The target of a ping request answered.
    IndirectAck {
        /// The request's sequence number.
        sequence: u32,
    },
    /// The target of a ping request didn't answer in time: Lifeguard's nack.
    IndirectNack {
        /// The request's sequence number.
        sequence: u32,
    },
    /// No message; the packet only carries updates.
    Gossip,
    /// The sender leaves the group.
    Leave,
}

/// The state of a member as it is disseminated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub member: MemberId,
    /// Its zone.
    pub zone: Zone,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The incarnation that its process started with, see [`message_auth::new_incarnation`]; 0 if it never answered.
    pub base_incarnation: u64,
    /// The difference between its incarnation and the base. It takes fewer bytes than the incarnation.
    pub incarnation_offset: u64,
    /// Its state.
    pub state: MemberState,
}

impl MemberRecord {
    /// Its incarnation: the base incarnation, increased by each refutation.
    pub fn incarnation(&self) -> u64 {
        self.base_incarnation.wrapping_add(self.incarnation_offset)
    }

    fn validate(&self) -> Result<(), DecodeError> {
        validate_name(&self.member.0, MAX_NAME_BYTES)?;
        validate_optional_name(&self.zone.0)?;
        validate_port(self.address)?;
        let bound = if self.state == MemberState::Alive { u64::MAX } else { MAX_REFUTABLE };
        if self.base_incarnation == 0 || self.incarnation() >= bound {
            return Err(DecodeError::Number);
        }
        Ok(())
    }
}

/// A claim about a backend or zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The member that made it.
    pub source: MemberId,
    /// The number that the source gave the claim. Numbers count up from the incarnation of the source's process.
    pub number: u64,
    /// What the claim is about.
    pub subject: Subject,
    /// What is claimed.
    pub kind: ClaimKind,
    /// The confidence of the source: 255 is certain.
    pub confidence: u8,
    /// The time since the claim was made, in milliseconds.
    pub age_ms: u32,
    /// How long it is valid from when it was made, in milliseconds.
    pub valid_for_ms: u32,
}

impl ClaimRecord {
    fn validate(&self) -> Result<(), DecodeError> {
        validate_name(self.subject.name(), MAX_SUBJECT_BYTES)?;
        validate_name(&self.source.0, MAX_NAME_BYTES)?;
        if self.number >= MAX_REFUTABLE {
            return Err(DecodeError::Number);
        }
        Ok(())
    }
}

/// An update that a packet carries in addition to its message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The sender's record of a member.
    Member(MemberRecord),
    /// A claim that the sender made or received.
    Claim(ClaimRecord),
}

impl Update {
    fn validate(&self) -> Result<(), DecodeError> {
        match self {
            Update::Member(record) => record.validate(),
            Update::Claim(record) => record.validate(),
        }
    }

    /// Its size on the wire, in bytes.
    pub fn encoded_size(&self) -> usize {
        // An update that can't be encoded must not fit into any packet.
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// The body of a signed datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The message.
    pub message: Message,
    /// The sender's zone.
    pub zone: Zone,
    /// The address at which the sender receives datagrams.
    pub address: SocketAddr,
    /// The difference between the sender's incarnation and the one in the signed header.
    pub incarnation_offset: u64,
    /// The digest of the live members and valid claims that the sender knows.
    pub digest: Digest,
    /// Members and claims that the receiver may not know yet.
    pub updates: Vec<Update>,
}

impl Packet {
    /// Encodes the packet.
    pub fn encode(&self) -> Vec<u8> {
        // Postcard fails only on sequences of unknown length, which a packet doesn't contain.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a packet, and checks that all its fields are within bounds.
    ///
    /// # Errors
    /// When the bytes are not a valid packet, or one of its fields is out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Packet, DecodeError> {
        let (packet, rest) = postcard::take_from_bytes::<Packet>(bytes)?;
        if !rest.is_empty() {
            return Err(DecodeError::TrailingBytes(rest.len()));
        }
        if let Message::PingRequest { target, .. } = &packet.message {
            validate_optional_name(&target.0)?;
        }
        validate_optional_name(&packet.zone.0)?;
        validate_port(packet.address)?;
        packet.updates.iter().try_for_each(Update::validate)?;
        Ok(packet)
    }
}

fn validate_name(name: &str, max_bytes: usize) -> Result<(), DecodeError> {
    if name.is_empty() || name.len() > max_bytes {
        return Err(DecodeError::Name);
    }
    Ok(())
}

fn validate_optional_name(name: &str) -> Result<(), DecodeError> {
    if name.len() > MAX_NAME_BYTES {
        return Err(DecodeError::Name);
    }
    Ok(())
}

fn validate_port(address: SocketAddr) -> Result<(), DecodeError> {
    if address.port() == 0 {
        return Err(DecodeError::Port);
    }
    Ok(())
}
