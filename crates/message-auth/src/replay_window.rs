//! The sliding window of sequence numbers accepted from one sender on one channel, as in IPsec (RFC 4303).

/// The number of latest sequence numbers that are tracked; older ones are rejected.
pub const WINDOW_SIZE: u64 = 1_024;

const WORD_BITS: u64 = 64;
const BITMAP_LEN: usize = (WINDOW_SIZE / WORD_BITS) as usize;

/// A bitmap of the last [`WINDOW_SIZE`] sequence numbers up to the highest accepted one.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    bits: [u64; BITMAP_LEN],
}

/// The index of the word that holds a sequence number's bit, and the mask of the bit within it.
fn bit_of(sequence: u64) -> (usize, u64) {
    ((sequence % WINDOW_SIZE / WORD_BITS) as usize, 1 << (sequence % WORD_BITS))
}

impl ReplayWindow {
    /// Marks a sequence number as accepted. Returns false if it was accepted before or is older than the window.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            self.advance(sequence);
        } else if self.highest - sequence >= WINDOW_SIZE || self.contains(sequence) {
            return false;
        }
        let (word, bit) = bit_of(sequence);
        self.bits[word] |= bit;
        true
    }

    fn contains(&self, sequence: u64) -> bool {
        let (word, bit) = bit_of(sequence);
        self.bits[word] & bit != 0
    }

    /// Advances the window to a higher sequence number, and clears the bits of the skipped ones.
    fn advance(&mut self, highest: u64) {
        if highest - self.highest >= WINDOW_SIZE {
            self.bits = [0; BITMAP_LEN];
        } else {
            for skipped in self.highest + 1..highest {
                let (word, bit) = bit_of(skipped);
                self.bits[word] &= !bit;
            }
        }
        self.highest = highest;
    }
}
