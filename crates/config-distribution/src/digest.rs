//! Sums that tell whether two hold the same.
use crate::names::{Key, Topic};
use cluster_types::Index;
use xxhash_rust::xxh3::Xxh3;

/// The part of one key in a sum. Sums are parts joined by exclusive or: a key's part is taken out by adding it again.
pub(crate) fn part(key: &Key, version: Index, value: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    let (kind, of): (u8, &[u8]) = match &key.topic {
        Topic::Fleet => (0, &[]),
        Topic::Region(of) => (1, of.as_bytes()),
        Topic::Zone(of) => (2, of.as_bytes()),
        Topic::Shard(of) => (3, &of.to_be_bytes()),
        Topic::Volume(of) => (4, of.as_bytes()),
    };
    hash.update(&[kind]);
    for bytes in [of, key.name.as_bytes(), value] {
        hash.update(&(bytes.len() as u64).to_be_bytes());
        hash.update(bytes);
    }
    hash.update(&version.0.to_be_bytes());
    hash.digest()
}
