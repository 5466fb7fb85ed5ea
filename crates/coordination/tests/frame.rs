//! Tests the encoding and decoding of messages between members.
#![allow(clippy::unwrap_used)]
use coordination::frame::{decode, encode, DecodeError, Frame, VERSION};

#[test]
fn rejects_frame_of_unknown_version() {
    let lease = Frame::Lease { requested_at: 7, span_us: 9 };
    let bytes = encode(&lease).unwrap();
    assert_eq!(decode(&bytes), Ok(lease.clone()));
    let other = postcard::to_stdvec(&(VERSION + 1, lease)).unwrap();
    let error = decode::<Frame>(&other).unwrap_err();
    assert_eq!(error, DecodeError::UnknownVersion { found: 2 });
    assert!(error.to_string().contains("version 2"));
    assert!(decode::<Frame>(&bytes[..2]).is_err() && decode::<Frame>(&[]).is_err());
}
