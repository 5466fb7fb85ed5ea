//! What members tell each other, and its bounds.
use crate::digest::Digest;
use crate::names::{Kind, State, Subject};
use envelope::NAME;
use fleet::{Hall, MemberId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Ill news of incarnations from here on are refused, and claims of such numbers: whoever is misspoken of can always go above.
pub const CEILING: u64 = u64::MAX - (1 << 32);

/// A box's or hall's name is no longer.
pub const LABEL: usize = 128;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Ping { number: u32 },
    /// I am.
    Ack { number: u32 },
    /// Is that one there?
    Ask { number: u32, whom: MemberId },
    /// It is.
    Heard { number: u32 },
    /// I am here, but it did not answer me.
    Deaf { number: u32 },
    /// Nothing but news.
    News,
    /// I leave.
    Leave,
}

/// What is held of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub member: MemberId,
    pub hall: Hall,
    pub at: SocketAddr,
    pub life: u64,
    /// By how much the incarnation is above the life: a few bytes less on the wire.
    pub ahead: u64,
    pub state: State,
}

impl Record {
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
    pub source: MemberId,
    /// Counted by its source, from its life on.
    pub number: u64,
    pub subject: Subject,
    pub kind: Kind,
    /// 255 is sure.
    pub weight: u8,
    pub age_ms: u32,
    pub lasts_ms: u32,
}

impl Told {
    fn sound(&self) -> bool {
        let label = match &self.subject {
            Subject::Box(name) => name.0.len(),
            Subject::Hall(name) => name.0.len(),
        };
        let source = self.source.0.len();
        label > 0 && label <= LABEL && source > 0 && source <= NAME && self.number < CEILING
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    Member(Record),
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
    pub message: Message,
    pub hall: Hall,
    pub at: SocketAddr,
    /// The sender's incarnation above its life.
    pub ahead: u64,
    /// Of all live members as the sender holds them.
    pub digest: Digest,
    pub news: Vec<News>,
}

impl Packet {
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
