//! A digest of what a member holds: where two differ, it says in which part.
use crate::names::Subject;
use crate::wire::Record;
use cluster_types::MemberId;
use serde::{Deserialize, Serialize};

/// Members fall into so many parts by their names, claims by their subjects.
const PARTS: usize = 4;

/// A sum of hashes, which does not depend on their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Sum([u8; 4]);

impl Sum {
    fn add(&mut self, hash: u32) {
        self.0 = u32::from_le_bytes(self.0).wrapping_add(hash).to_le_bytes();
    }

    fn take(&mut self, hash: u32) {
        self.0 = u32::from_le_bytes(self.0).wrapping_sub(hash).to_le_bytes();
    }
}

/// Of all live members and all claims that count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest {
    members: [Sum; PARTS],
    claims: [Sum; PARTS],
}

fn hash(bytes: impl Iterator<Item = u8>) -> u32 {
    let fold = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, fold);
    (hash ^ (hash >> 32)) as u32
}

fn part(member: &MemberId) -> usize {
    hash(member.0.bytes()) as usize % PARTS
}

fn label(subject: &Subject) -> impl Iterator<Item = u8> + '_ {
    let (kind, text) = match subject {
        Subject::Box(name) => (0, &name.0),
        Subject::Zone(name) => (1, &name.0),
    };
    text.bytes().chain([kind])
}

fn claim_hash(subject: &Subject, source: &MemberId, number: u64) -> u32 {
    hash(label(subject).chain(source.0.bytes()).chain(number.to_le_bytes()))
}

impl Digest {
    /// Adds a member, if it is live.
    pub fn add(&mut self, record: &Record) {
        if record.state.live() {
            let tail = record.incarnation().to_le_bytes().into_iter().chain([record.state as u8]);
            self.members[part(&record.member)].add(hash(record.member.0.bytes().chain(tail)));
        }
    }

    /// Adds a claim.
    pub fn claim(&mut self, subject: &Subject, source: &MemberId, number: u64) {
        self.claims[hash(label(subject)) as usize % PARTS].add(claim_hash(subject, source, number));
    }

    /// Takes a claim out again.
    pub(crate) fn unclaim(&mut self, subject: &Subject, source: &MemberId, number: u64) {
        self.claims[hash(label(subject)) as usize % PARTS].take(claim_hash(subject, source, number));
    }

    /// These members with those claims.
    pub(crate) fn with(self, claims: &Digest) -> Digest {
        Digest { members: self.members, claims: claims.claims }
    }

    /// Whether the two differ in the part that a member falls into.
    pub(crate) fn differs(&self, other: &Digest, member: &MemberId) -> bool {
        let part = part(member);
        self.members[part] != other.members[part]
    }

    /// Whether the two differ in some claims.
    pub(crate) fn claims_differ(&self, other: &Digest) -> bool {
        self.claims != other.claims
    }

    /// Whether the two differ in the part that the claims about a subject fall into.
    pub(crate) fn differs_about(&self, other: &Digest, subject: &Subject) -> bool {
        let part = hash(label(subject)) as usize % PARTS;
        self.claims[part] != other.claims[part]
    }
}
