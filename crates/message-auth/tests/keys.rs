//! Tests signatures under the two keys, and key rotation.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use message_auth::{KeySlot, Keys};

#[test]
fn signature_matches_published_test_vector() {
    // RFC 4231, test case 1. Its key of 20 bytes is padded with zeros here, as HMAC does up to the block size.
    let mut secret = [0; 32];
    secret[..20].copy_from_slice(&[0x0b; 20]);
    let signature = Keys::new(secret, None).sign(b"Hi There");
    let hex: String = signature.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7");
}

#[test]
fn debug_output_omits_keys() {
    assert_eq!(format!("{:?}", Keys::new([7; 32], None)), "Keys { two: false, .. }");
}

#[test]
fn rotation_accepts_both_keys_until_old_one_is_retired() {
    let old = Keys::new([1; 32], None);
    let (accepting_next, message) = (old.accept_next([2; 32]), b"message");
    let rotated = accepting_next.rotate();
    assert_eq!(accepting_next.verify(message, &rotated.sign(message)), Some(KeySlot::Other));
    assert_eq!(rotated.verify(message, &old.sign(message)), Some(KeySlot::Other));
    assert_eq!(rotated.verify(message, &rotated.sign(message)), Some(KeySlot::Current));
    assert_eq!(rotated.retire().verify(message, &old.sign(message)), None);
    assert_eq!(old.rotate().verify(message, &old.sign(message)), Some(KeySlot::Current));
}
