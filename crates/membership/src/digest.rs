//! A digest of a member's view, in buckets: comparing two digests shows in which buckets the views differ.
use crate::claim::Subject;
use crate::wire::MemberRecord;
use cluster_types::MemberId;
use serde::{Deserialize, Serialize};

/// The number of buckets. Members are assigned to them by name, claims by subject.
const BUCKET_COUNT: usize = 4;

/// A wrapping sum of hashes, which is independent of their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct HashSum([u8; 4]);

impl HashSum {
    fn add(&mut self, hash: u32) {
        self.0 = u32::from_le_bytes(self.0).wrapping_add(hash).to_le_bytes();
    }

    fn subtract(&mut self, hash: u32) {
        self.0 = u32::from_le_bytes(self.0).wrapping_sub(hash).to_le_bytes();
    }
}

/// The digest of the live members and the valid claims.
///
/// It is sent to other members, so the hash function is part of the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest {
    members: [HashSum; BUCKET_COUNT],
    claims: [HashSum; BUCKET_COUNT],
}

/// FNV-1a with 64 bits, folded to 32.
fn fnv1a(bytes: impl Iterator<Item = u8>) -> u32 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = bytes.fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    (hash ^ (hash >> 32)) as u32
}

fn bucket_of_member(member: &MemberId) -> usize {
    fnv1a(member.0.bytes()) as usize % BUCKET_COUNT
}

fn bucket_of_subject(subject: &Subject) -> usize {
    fnv1a(subject_bytes(subject)) as usize % BUCKET_COUNT
}

fn subject_bytes(subject: &Subject) -> impl Iterator<Item = u8> + '_ {
    let kind = match subject {
        Subject::Backend(_) => 0,
        Subject::Zone(_) => 1,
    };
    subject.name().bytes().chain([kind])
}

fn hash_of_member(record: &MemberRecord) -> u32 {
    let name = record.member.0.bytes();
    fnv1a(name.chain(record.incarnation().to_le_bytes()).chain([record.state as u8]))
}

fn hash_of_claim(subject: &Subject, source: &MemberId, number: u64) -> u32 {
    fnv1a(subject_bytes(subject).chain(source.0.bytes()).chain(number.to_le_bytes()))
}

impl Digest {
    /// Adds a member if it is live; does nothing otherwise.
    pub fn add_member(&mut self, record: &MemberRecord) {
        if record.state.is_live() {
            self.members[bucket_of_member(&record.member)].add(hash_of_member(record));
        }
    }

    /// Adds a claim.
    pub fn add_claim(&mut self, subject: &Subject, source: &MemberId, number: u64) {
        self.claims[bucket_of_subject(subject)].add(hash_of_claim(subject, source, number));
    }

    /// Removes a claim that was added.
    pub(crate) fn remove_claim(&mut self, subject: &Subject, source: &MemberId, number: u64) {
        self.claims[bucket_of_subject(subject)].subtract(hash_of_claim(subject, source, number));
    }

    /// Combines the members of this digest with the claims of another.
    pub(crate) fn with_claims_of(self, other: &Digest) -> Digest {
        Digest { members: self.members, claims: other.claims }
    }

    /// Whether the two differ in the bucket of a member.
    pub(crate) fn differs_for_member(&self, other: &Digest, member: &MemberId) -> bool {
        let bucket = bucket_of_member(member);
        self.members[bucket] != other.members[bucket]
    }

    /// Whether the two differ in any claims.
    pub(crate) fn claims_differ(&self, other: &Digest) -> bool {
        self.claims != other.claims
    }

    /// Whether the two differ in the bucket of the claims about a subject.
    pub(crate) fn differs_for_subject(&self, other: &Digest, subject: &Subject) -> bool {
        let bucket = bucket_of_subject(subject);
        self.claims[bucket] != other.claims[bucket]
    }
}
