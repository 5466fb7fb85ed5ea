//! Which numbers of one life and channel were accepted: a sliding window.

/// The window's width.
pub const WIDTH: u64 = 1_024;

const WORDS: usize = (WIDTH / 64) as usize;

/// A ring of bits: one for each of the last numbers up to the highest.
#[derive(Clone, Debug, Default)]
pub struct Window {
    highest: u64,
    bits: [u64; WORDS],
}

/// Where a number's bit is.
fn place(number: u64) -> (usize, u64) {
    ((number % WIDTH / 64) as usize, 1 << (number % 64))
}

impl Window {
    /// Accepts a number once, and never one that is older than the window.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            if number - self.highest >= WIDTH {
                self.bits = [0; WORDS];
            } else {
                for passed in self.highest + 1..number {
                    let (word, bit) = place(passed);
                    self.bits[word] &= !bit;
                }
            }
            self.highest = number;
        } else {
            let (word, bit) = place(number);
            if self.highest - number >= WIDTH || self.bits[word] & bit != 0 {
                return false;
            }
        }
        let (word, bit) = place(number);
        self.bits[word] |= bit;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    proptest! {
        /// Against a set of all numbers ever accepted: the same verdict on steps of every size.
        #[test]
        fn accepts_each_number_once(steps in prop::collection::vec((0u64..3, 0u64..2_100), 1..400)) {
            let (mut window, mut seen, mut highest) = (Window::default(), BTreeSet::new(), 1u64);
            for (way, size) in steps {
                let number = match way {
                    0 => highest + size % 3,
                    1 => highest + size,
                    _ => highest.saturating_sub(size).max(1),
                };
                let fresh = (number > highest || highest - number < WIDTH) && !seen.contains(&number);
                prop_assert_eq!(window.accept(number), fresh, "number {} highest {}", number, highest);
                if fresh {
                    seen.insert(number);
                    highest = highest.max(number);
                }
            }
        }
    }

    #[test]
    fn the_greatest_numbers_do_no_harm() {
        let mut window = Window::default();
        assert!(window.accept(u64::MAX) && !window.accept(u64::MAX));
        assert!(window.accept(u64::MAX - 1_023) && !window.accept(u64::MAX - 1_024));
    }
}
