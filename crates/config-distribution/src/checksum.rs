//! Checksums that show whether a relay and a subscriber hold the same values.
use crate::key::{Key, Topic};
use cluster_types::Index;
use xxhash_rust::xxh3::Xxh3;

/// The checksum of one key's value.
///
/// The checksum of a set of keys is the XOR of the checksums of its entries, so XORing an entry again removes it.
pub(crate) fn entry_checksum(key: &Key, version: Index, value: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    let (kind, name): (u8, &[u8]) = match &key.topic {
        Topic::Fleet => (0, &[]),
        Topic::Region(name) => (1, name.as_bytes()),
        Topic::Zone(name) => (2, name.as_bytes()),
        Topic::Shard(number) => (3, &number.to_be_bytes()),
        Topic::Volume(name) => (4, name.as_bytes()),
    };
    hash.update(&[kind]);
    for bytes in [name, key.name.as_bytes(), value] {
        hash.update(&(bytes.len() as u64).to_be_bytes());
        hash.update(bytes);
    }
    hash.update(&version.0.to_be_bytes());
    hash.digest()
}
