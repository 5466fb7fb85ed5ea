//! A byte ring buffer of bounded size. It starts small, grows up to its bound and gives its memory back once
//! it is empty, so that many idle connections cost little.

const SMALL: usize = 4096;

/// The buffer.
#[derive(Debug)]
pub struct Ring {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    bound: usize,
}

impl Ring {
    /// An empty buffer that never holds more than `bound` bytes.
    pub fn new(bound: usize) -> Ring {
        Ring { bytes: Vec::new(), head: 0, len: 0, bound }
    }

    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The memory that it takes.
    pub fn memory(&self) -> usize {
        self.bytes.len()
    }

    /// How many more it may take.
    pub fn room(&self) -> usize {
        self.bound - self.len
    }

    fn grow(&mut self, need: usize) {
        if need > self.bytes.len() {
            self.contiguous();
            let size = need.next_power_of_two().max(SMALL).min(self.bound.max(need));
            self.bytes.resize(size, 0);
        }
    }

    /// Takes memory for so many bytes at once, as far as its bound allows: for what comes fast.
    pub fn widen(&mut self, size: usize) {
        self.grow(size.min(self.bound));
    }

    /// The bytes up to the end of the memory: all of them, or the first part.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// All bytes in one piece; moves them where they wrap round.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    /// Drops the first bytes.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > SMALL {
                self.bytes = Vec::new();
            }
        } else {
            self.head = (self.head + count) % self.bytes.len();
        }
    }

    /// Free memory to be filled, then `commit`ted; empty only when there is no room.
    pub fn space(&mut self) -> &mut [u8] {
        let room = self.room();
        if self.len == self.bytes.len() && room > 0 {
            self.grow(self.len + 1);
        }
        let size = self.bytes.len();
        if size == 0 {
            return &mut [];
        }
        let start = (self.head + self.len) % size;
        let end = if start >= self.head && self.len < size { size } else { self.head };
        let end = end.max(start).min(start + room);
        &mut self.bytes[start..end]
    }

    /// Takes in so many of the bytes that were written into `space`.
    pub fn commit(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Appends all the bytes, or none of them and returns false where there is no room.
    pub fn push(&mut self, mut data: &[u8]) -> bool {
        if data.len() > self.room() {
            return false;
        }
        self.grow(self.len + data.len());
        while !data.is_empty() {
            let space = self.space();
            let count = space.len().min(data.len());
            space[..count].copy_from_slice(&data[..count]);
            self.commit(count);
            data = &data[count..];
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keeps_order_across_the_wrap_and_its_bound() {
        let (mut ring, mut next, mut seen) = (Ring::new(10_000), 0u32, 0u32);
        for round in 0..2_000usize {
            let data: Vec<u8> = (0..round * 7 % 900).map(|i| (next + i as u32) as u8).collect();
            if ring.push(&data) {
                next += data.len() as u32;
            } else {
                assert!(ring.room() < data.len());
            }
            assert!(ring.len() <= 10_000);
            let take = round * 13 % 800;
            let got = ring.contiguous();
            assert_eq!(got.len() as u32, next - seen);
            assert!(got.iter().enumerate().all(|(i, b)| *b == (seen + i as u32) as u8));
            let take = take.min(got.len());
            ring.consume(take);
            seen += take as u32;
        }
        assert!(!ring.push(&[0; 10_001]));
    }
}
