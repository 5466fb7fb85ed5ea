//! Signatures under the two keys, and their rotation.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use message_auth::{KeySlot, Keys};

#[test]
fn signs_as_published_examples() {
    // RFC 4231, test case 1: a key shorter than the block is padded with zeros.
    let mut secret = [0; 32];
    secret[..20].copy_from_slice(&[0x0b; 20]);
    let signature = Keys::new(secret, None).sign(b"Hi There");
    let hex: String = signature.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7");
}

#[test]
fn debug_form_shows_no_key() {
    assert_eq!(format!("{:?}", Keys::new([7; 32], None)), "Keys { two: false, .. }");
}

#[test]
fn rotation_accepts_both_keys_until_old_one_is_retired() {
    let old = Keys::new([1; 32], None);
    let (expecting, message) = (old.expect([2; 32]), b"message");
    let rotated = expecting.rotate();
    assert_eq!(expecting.verify(message, &rotated.sign(message)), Some(KeySlot::Other));
    assert_eq!(rotated.verify(message, &old.sign(message)), Some(KeySlot::Other));
    assert_eq!(rotated.verify(message, &rotated.sign(message)), Some(KeySlot::Current));
    assert_eq!(rotated.retire().verify(message, &old.sign(message)), None);
    assert_eq!(old.rotate().verify(message, &old.sign(message)), Some(KeySlot::Current));
}
