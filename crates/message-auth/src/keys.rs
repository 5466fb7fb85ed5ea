//! The keys that messages are signed and verified with.
use crate::SIGNATURE_BYTES;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;

/// The length of a secret, in bytes.
const SECRET_BYTES: usize = 32;

/// The block size of SHA-256, in bytes: HMAC pads shorter keys with zeros up to it.
const BLOCK_BYTES: usize = 64;

/// A key, prepared for signing.
#[derive(Clone)]
struct Key(Arc<Hmac<Sha256>>);

impl Key {
    fn new(secret: [u8; SECRET_BYTES]) -> Key {
        let mut block = [0; BLOCK_BYTES];
        block[..SECRET_BYTES].copy_from_slice(&secret);
        Key(Arc::new(Hmac::new(&block.into())))
    }

    fn sign(&self, message: &[u8]) -> [u8; SIGNATURE_BYTES] {
        Hmac::clone(&self.0).chain_update(message).finalize().into_bytes().into()
    }

    /// Takes the same time whichever byte differs.
    fn verify(&self, message: &[u8], signature: &[u8]) -> bool {
        Hmac::clone(&self.0).chain_update(message).verify_slice(signature).is_ok()
    }
}

/// Which of the two keys a message is signed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySlot {
    /// The key that this member signs with.
    Current,
    /// The key that is accepted besides.
    Other,
}

/// The key to sign with, and another that is accepted besides while keys are rotated.
///
/// A rotation takes three steps, each done at all members before the next: all `expect` the new key, all `rotate` to it,
/// all `retire` the old one.
#[derive(Clone)]
pub struct Keys {
    current: Key,
    other: Option<Key>,
}

impl Keys {
    /// Signs with `current`, and accepts messages under either key.
    pub fn new(current: [u8; SECRET_BYTES], other: Option<[u8; SECRET_BYTES]>) -> Keys {
        Keys { current: Key::new(current), other: other.map(Key::new) }
    }

    /// Accepts `next` besides the current key, in place of the other one.
    pub fn expect(&self, next: [u8; SECRET_BYTES]) -> Keys {
        Keys { current: self.current.clone(), other: Some(Key::new(next)) }
    }

    /// Signs with the other key, and still accepts the current one. Without another key nothing changes.
    pub fn rotate(&self) -> Keys {
        match &self.other {
            Some(other) => Keys { current: other.clone(), other: Some(self.current.clone()) },
            None => self.clone(),
        }
    }

    /// Accepts the current key only.
    pub fn retire(&self) -> Keys {
        Keys { current: self.current.clone(), other: None }
    }

    /// The signature of a message under the current key.
    pub fn sign(&self, message: &[u8]) -> [u8; SIGNATURE_BYTES] {
        self.current.sign(message)
    }

    /// The key that a message is signed with, or `None` if it is signed with neither.
    pub fn verify(&self, message: &[u8], signature: &[u8]) -> Option<KeySlot> {
        if self.current.verify(message, signature) {
            return Some(KeySlot::Current);
        }
        let other = self.other.as_ref()?;
        other.verify(message, signature).then_some(KeySlot::Other)
    }
}

impl fmt::Debug for Keys {
    /// Never shows a key, so that none reaches a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").field("two", &self.other.is_some()).finish_non_exhaustive()
    }
}
