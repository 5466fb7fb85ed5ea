//! A bounded ring buffer of bytes. It starts without an allocation, grows up to its bound and releases a large allocation
//! once it is empty, so that many idle connections cost little memory.

/// The smallest allocation of a buffer, and the largest that it keeps while it is empty, in bytes.
const MIN_ALLOCATION: usize = 4096;

/// A FIFO queue of bytes in a circular allocation.
#[derive(Debug)]
pub struct RingBuffer {
    allocation: Vec<u8>,
    /// The index of the first byte in the allocation.
    head: usize,
    len: usize,
    max_len: usize,
}

impl RingBuffer {
    /// Creates an empty buffer for at most `max_len` bytes.
    pub fn new(max_len: usize) -> RingBuffer {
        RingBuffer { allocation: Vec::new(), head: 0, len: 0, max_len }
    }

    /// The number of buffered bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The size of the allocation, in bytes.
    pub fn allocated(&self) -> usize {
        self.allocation.len()
    }

    /// The number of bytes that can still be added.
    pub fn remaining(&self) -> usize {
        self.max_len - self.len
    }

    fn grow(&mut self, needed: usize) {
        if needed > self.allocation.len() {
            self.contiguous();
            let size = needed.next_power_of_two().max(MIN_ALLOCATION).min(self.max_len.max(needed));
            self.allocation.resize(size, 0);
        }
    }

    /// Allocates memory for `len` bytes at once, as far as the bound allows, so that data from a fast sender takes fewer reads.
    pub fn reserve(&mut self, len: usize) {
        self.grow(len.min(self.max_len));
    }

    /// The longest contiguous slice from the front: all bytes, unless they wrap around the end of the allocation.
    pub fn first_slice(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.allocation.len());
        &self.allocation[self.head..end]
    }

    /// All bytes as one slice; rotates the allocation if they wrap around its end.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.allocation.len() {
            self.allocation.rotate_left(self.head);
            self.head = 0;
        }
        &self.allocation[self.head..self.head + self.len]
    }

    /// Removes up to `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        if self.len == 0 {
            self.head = 0;
            if self.allocation.len() > MIN_ALLOCATION {
                self.allocation = Vec::new();
            }
        } else {
            self.head = (self.head + count) % self.allocation.len();
        }
    }

    /// Free memory to write into; [`RingBuffer::commit`] adds the written bytes. It is empty only if the buffer is full.
    pub fn unfilled(&mut self) -> &mut [u8] {
        let remaining = self.remaining();
        if self.len == self.allocation.len() && remaining > 0 {
            self.grow(self.len + 1);
        }
        let size = self.allocation.len();
        if size == 0 {
            return &mut [];
        }
        let start = (self.head + self.len) % size;
        let end = if start >= self.head && self.len < size { size } else { self.head };
        let end = end.max(start).min(start + remaining);
        &mut self.allocation[start..end]
    }

    /// Adds the first `count` bytes of [`RingBuffer::unfilled`].
    pub fn commit(&mut self, count: usize) {
        self.len = (self.len + count).min(self.allocation.len());
    }

    /// Appends all bytes; if they don't fit, appends none and returns false.
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        if bytes.len() > self.remaining() {
            return false;
        }
        self.grow(self.len + bytes.len());
        while !bytes.is_empty() {
            let unfilled = self.unfilled();
            let count = unfilled.len().min(bytes.len());
            unfilled[..count].copy_from_slice(&bytes[..count]);
            self.commit(count);
            bytes = &bytes[count..];
        }
        true
    }
}
