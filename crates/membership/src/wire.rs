//! The packets that members exchange, and the bounds of their fields. Encoded with postcard: the order of variants and fields is
//! part of the form.
use crate::digest::Digest;
use crate::names::{Kind, State, Subject};
use cluster_types::{MemberId, Zone};
use message_auth::MAX_NAME_BYTES as NAME;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Ill news of incarnations from here on are refused, and claims of such numbers: whoever is misspoken of can always go above.
pub const CEILING: u64 = u64::MAX - (1 << 32);

/// A box's or hall's name is no longer.
pub const LABEL: usize = 128;

/// What a packet is sent for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A direct probe.
    Ping {
        /// Matches the answer to the probe.
        number: u32,
    },
    /// The answer to a ping.
    Ack {
        /// The ping's number.
        number: u32,
    },
    /// Asks the receiver to probe another member (SWIM's ping-req).
    Ask {
        /// The asking member's number of the probe.
        number: u32,
        /// The member to probe.
        whom: MemberId,
    },
    /// The member that was to be probed answered.
    Heard {
        /// The request's number.
        number: u32,
    },
    /// The member that was to be probed did not answer in time (Lifeguard's nack).
    Deaf {
        /// The request's number.
        number: u32,
    },
    /// Carries updates only.
    News,
    /// The sender leaves the group.
    Leave,
}

/// The state of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub member: MemberId,
    /// Its zone.
    pub hall: Zone,
    /// Its datagram address.
    pub at: SocketAddr,
    /// When its process started, see `message_auth::new_incarnation`; 0: never heard from.
    pub life: u64,
    /// By how much the incarnation is above the life: a few bytes less on the wire.
    pub ahead: u64,
    /// Its state.
    pub state: State,
}

impl Record {
    /// The SWIM incarnation.
    pub fn incarnation(&self) -> u64 {
        self.life.wrapping_add(self.ahead)
    }

    fn sound(&self) -> bool {
        let name = self.member.0.len();
        name > 0
            && name <= NAME
            && self.hall.0.len() <= NAME
            && self.at.port() > 0
            && self.life > 0
            && self.incarnation() < if self.state == State::Alive { u64::MAX } else { CEILING }
    }
}

/// A claim about a box or hall.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The member that made the claim.
    pub source: MemberId,
    /// Counted by its source, from its life on.
    pub number: u64,
    /// What the claim is about.
    pub subject: Subject,
    /// What is claimed.
    pub kind: Kind,
    /// How certain the source is: 255 is certain.
    pub weight: u8,
    /// The claim's age when the packet is sent, in milliseconds.
    pub age_ms: u32,
    /// How long the claim counts from its making, in milliseconds.
    pub lasts_ms: u32,
}

impl Told {
    fn sound(&self) -> bool {
        let label = match &self.subject {
            Subject::Box(name) => name.0.len(),
            Subject::Zone(name) => name.0.len(),
        };
        let source = self.source.0.len();
        label > 0 && label <= LABEL && source > 0 && source <= NAME && self.number < CEILING
    }
}

/// An update that packets carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// About a member.
    Member(Record),
    /// About a backend or a zone.
    Claim(Told),
}

impl News {
    fn sound(&self) -> bool {
        match self {
            News::Member(record) => record.sound(),
            News::Claim(told) => told.sound(),
        }
    }

    /// Its bytes on the wire.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// A whole message: what it is for, how its sender stands, and news.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// What it is sent for.
    pub message: Message,
    /// The sender's zone.
    pub hall: Zone,
    /// The sender's datagram address.
    pub at: SocketAddr,
    /// The sender's incarnation above its life.
    pub ahead: u64,
    /// Of all live members as the sender holds them.
    pub digest: Digest,
    /// Updates that the receiver may not have.
    pub news: Vec<News>,
}

impl Packet {
    /// Encodes the packet.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None: not a packet, or a part of it out of bounds. Nothing of such a packet is taken.
    pub fn read(bytes: &[u8]) -> Option<Packet> {
        let (packet, rest) = postcard::take_from_bytes::<Packet>(bytes).ok()?;
        let whom = match &packet.message {
            Message::Ask { whom, .. } => whom.0.len(),
            _ => 0,
        };
        let sound = rest.is_empty()
            && whom <= NAME
            && packet.hall.0.len() <= NAME
            && packet.at.port() > 0
            && packet.news.iter().all(News::sound);
        sound.then_some(packet)
    }
}
