//! Compares the ring buffer's content with the sequence of bytes that was pushed into it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use ring_buffer::RingBuffer;

#[test]
fn preserves_order_across_wraparound_and_respects_bound() {
    let (mut buffer, mut pushed_count, mut consumed_count) = (RingBuffer::new(10_000), 0u32, 0u32);
    for round in 0..2_000usize {
        let data: Vec<u8> = (0..round * 7 % 900).map(|offset| (pushed_count + offset as u32) as u8).collect();
        if buffer.push(&data) {
            pushed_count += data.len() as u32;
        } else {
            assert!(buffer.remaining() < data.len());
        }
        assert!(buffer.len() <= 10_000);
        let consume_len = round * 13 % 800;
        let content = buffer.contiguous();
        assert_eq!(content.len() as u32, pushed_count - consumed_count);
        assert!(content
            .iter()
            .enumerate()
            .all(|(offset, byte)| *byte == (consumed_count + offset as u32) as u8));
        let consume_len = consume_len.min(content.len());
        buffer.consume(consume_len);
        consumed_count += consume_len as u32;
    }
    assert!(!buffer.push(&[0; 10_001]));
}
