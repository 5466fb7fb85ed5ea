//! Tests the limits on frames that wait on a connection between relay and subscriber.
use coordination::distribution::outbox::{Outbox, MAX_WAITING_BYTES, MAX_WAITING_FRAMES};
use coordination::network_thread::framing::MAX_RELAY_FRAME_BYTES;

#[test]
fn limits_waiting_frames_but_accepts_one_long_frame() {
    let (outbox, _reader) = Outbox::new();
    assert!(outbox.send(vec![0; MAX_RELAY_FRAME_BYTES]), "one frame of any length is accepted");
    assert!(!outbox.send(vec![0; 1]), "no frame beyond it is accepted");
    let (outbox, _reader) = Outbox::new();
    let sent = (0..10_000).take_while(|_| outbox.send(vec![0; 2_048])).count();
    assert_eq!(sent, MAX_WAITING_BYTES / 2_048 + 1);
    let (outbox, _reader) = Outbox::new();
    assert_eq!((0..10_000).take_while(|_| outbox.send(vec![0; 8])).count(), MAX_WAITING_FRAMES);
}
