//! The shared keys for signing and verifying messages.
use crate::SIGNATURE_BYTES;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;

/// The length of a secret, in bytes.
const SECRET_BYTES: usize = 32;

/// The block size of SHA-256, in bytes: HMAC pads shorter keys with zeros up to it.
const BLOCK_BYTES: usize = 64;

/// A key with its HMAC state precomputed.
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

    /// Compares in constant time.
    fn verify(&self, message: &[u8], signature: &[u8]) -> bool {
        Hmac::clone(&self.0).chain_update(message).verify_slice(signature).is_ok()
    }
}

/// Which of the two accepted keys a message is signed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySlot {
    /// The key that this member signs with.
    Current,
    /// The additional key that is accepted during a rotation.
    Other,
}

/// The signing key, and an additional key that is accepted while keys are rotated.
///
/// A rotation takes three steps; all members must complete one before any starts the next: accept the new key
/// ([`Keys::accept_next`]), sign with it ([`Keys::rotate`]), reject the old one ([`Keys::retire`]).
#[derive(Clone)]
pub struct Keys {
    current: Key,
    other: Option<Key>,
}

impl Keys {
    /// Keys that sign with `current` and accept signatures under either key.
    pub fn new(current: [u8; SECRET_BYTES], other: Option<[u8; SECRET_BYTES]>) -> Keys {
        Keys { current: Key::new(current), other: other.map(Key::new) }
    }

    /// Also accepts `next`, instead of any other additional key. Still signs with the current key.
    pub fn accept_next(&self, next: [u8; SECRET_BYTES]) -> Keys {
        Keys { current: self.current.clone(), other: Some(Key::new(next)) }
    }

    /// Swaps the two keys: signs with the additional key, and still accepts the current one. Does nothing without an
    /// additional key.
    pub fn rotate(&self) -> Keys {
        match &self.other {
            Some(other) => Keys { current: other.clone(), other: Some(self.current.clone()) },
            None => self.clone(),
        }
    }

    /// Drops the additional key: only the current one is accepted.
    pub fn retire(&self) -> Keys {
        Keys { current: self.current.clone(), other: None }
    }

    /// Signs a message with the current key.
    pub fn sign(&self, message: &[u8]) -> [u8; SIGNATURE_BYTES] {
        self.current.sign(message)
    }

    /// Returns the key that a message is signed with, or `None` if the signature matches neither.
    pub fn verify(&self, message: &[u8], signature: &[u8]) -> Option<KeySlot> {
        if self.current.verify(message, signature) {
            return Some(KeySlot::Current);
        }
        let other = self.other.as_ref()?;
        other.verify(message, signature).then_some(KeySlot::Other)
    }
}

impl fmt::Debug for Keys {
    /// Omits the keys, so that they can't leak into logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").field("two", &self.other.is_some()).finish_non_exhaustive()
    }
}
