//! The two keys.
use crate::header::MAC;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;

/// A key, set up for signing.
#[derive(Clone)]
struct Key(Arc<Hmac<Sha256>>);

impl Key {
    fn new(secret: [u8; 32]) -> Key {
        let mut block = [0; 64];
        block[..32].copy_from_slice(&secret);
        Key(Arc::new(Hmac::new(&block.into())))
    }

    fn sign(&self, bytes: &[u8]) -> [u8; MAC] {
        Hmac::clone(&self.0).chain_update(bytes).finalize().into_bytes().into()
    }

    /// In constant time.
    fn signed(&self, bytes: &[u8], mac: &[u8]) -> bool {
        Hmac::clone(&self.0).chain_update(bytes).verify_slice(mac).is_ok()
    }
}

/// One key to sign with, and another that is accepted too while keys change. The change takes three steps, each done at all
/// members before the next: all `expect` the new key, all `rotate` to it, all `retire` the old one.
#[derive(Clone)]
pub struct Keys {
    current: Key,
    other: Option<Key>,
}

impl Keys {
    /// Signs with the current one, opens with either.
    pub fn new(current: [u8; 32], other: Option<[u8; 32]>) -> Keys {
        Keys { current: Key::new(current), other: other.map(Key::new) }
    }

    /// Accepts a new key besides; it takes the place of the other one.
    pub fn expect(&self, next: [u8; 32]) -> Keys {
        Keys { current: self.current.clone(), other: Some(Key::new(next)) }
    }

    /// Signs with the other key from now on, and goes on accepting the one before. Without another one, nothing changes.
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

    pub(crate) fn sign(&self, bytes: &[u8]) -> [u8; MAC] {
        self.current.sign(bytes)
    }

    /// Under which key a message is signed: whether that is the current one. None: under neither.
    pub(crate) fn check(&self, bytes: &[u8], mac: &[u8]) -> Option<bool> {
        if self.current.signed(bytes, mac) {
            return Some(true);
        }
        self.other.as_ref().is_some_and(|key| key.signed(bytes, mac)).then_some(false)
    }
}

impl fmt::Debug for Keys {
    /// Guards against keys in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").field("two", &self.other.is_some()).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn signs_as_the_published_examples_do() {
        // RFC 4231, test case 1: a key shorter than the block is filled up with zeros.
        let mut secret = [0; 32];
        secret[..20].copy_from_slice(&[0x0b; 20]);
        let mac = Key::new(secret).sign(b"Hi There");
        let hex: String = mac.iter().map(|b| format!("{b:02x}")).collect();
        assert_eq!(hex, "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7");
    }

    #[test]
    fn a_key_is_never_shown() {
        assert_eq!(format!("{:?}", Keys::new([7; 32], None)), "Keys { two: false, .. }");
    }

    #[test]
    fn rotating_keeps_both_until_the_old_one_retires() {
        let old = Keys::new([1; 32], None);
        let (expecting, message) = (old.expect([2; 32]), b"message");
        let rotated = expecting.rotate();
        assert_eq!(expecting.check(message, &rotated.sign(message)), Some(false));
        assert_eq!(rotated.check(message, &old.sign(message)), Some(false));
        assert_eq!(rotated.check(message, &rotated.sign(message)), Some(true));
        assert_eq!(rotated.retire().check(message, &old.sign(message)), None);
        assert_eq!(old.rotate().check(message, &old.sign(message)), Some(true));
    }
}
