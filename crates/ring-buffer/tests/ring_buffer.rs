//! The ring buffer against the sequence of bytes that went through it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use ring_buffer::RingBuffer;

#[test]
fn keeps_order_across_wrap_and_its_bound() {
    let (mut buffer, mut next, mut seen) = (RingBuffer::new(10_000), 0u32, 0u32);
    for round in 0..2_000usize {
        let data: Vec<u8> = (0..round * 7 % 900).map(|offset| (next + offset as u32) as u8).collect();
        if buffer.push(&data) {
            next += data.len() as u32;
        } else {
            assert!(buffer.remaining() < data.len());
        }
        assert!(buffer.len() <= 10_000);
        let taken = round * 13 % 800;
        let held = buffer.contiguous();
        assert_eq!(held.len() as u32, next - seen);
        assert!(held.iter().enumerate().all(|(offset, byte)| *byte == (seen + offset as u32) as u8));
        let taken = taken.min(held.len());
        buffer.consume(taken);
        seen += taken as u32;
    }
    assert!(!buffer.push(&[0; 10_001]));
}
