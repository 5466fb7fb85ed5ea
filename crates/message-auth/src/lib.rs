//! Signed and replay-proof messages between fronts.
//!
//! A message is signed with HMAC-SHA256 under a key that all fronts share, and opened under either of two keys, so
//! that keys change in service. It names its sender, the sender's *life* (its start, only ever growing), a number
//! within that life and, if wanted, the one member that it is for, together with that member's life. The signature
//! is looked at before anything else moves: a forged message changes a counter and nothing besides.
//!
//! What it can't do: whoever holds the key can speak in any member's name.
mod header;
mod keys;
mod open;
mod refusal;
mod seal;
mod window;

pub use keys::Keys;
pub use open::{Opened, Opener};
pub use refusal::{Counts, Refusal};
pub use seal::Sealer;

use std::time::Duration;

/// A datagram's bound unless another is stated: it passes every usual link in one piece.
pub const DATAGRAM: usize = 1_200;

/// The bound of frames on a stream: room for a piece of a snapshot.
pub const FRAME: usize = 4 << 20;

/// So many channels a sender may have.
pub const CHANNELS: u8 = 16;

/// So many senders an opener remembers; one more is refused unless one of them was released.
pub const SENDERS: usize = 1_024;

/// Names are no longer than that, in bytes.
pub const NAME: usize = 64;

/// The life of a member that starts now: the Unix time in milliseconds in its upper bits, and always above the life
/// before it, as far as that is known (0: not known). Guards against a clock that was put back between two starts: hosts
/// that have a disk keep the last life there.
pub fn life(unix: Duration, before: u64) -> u64 {
    let millis = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX).min(u64::MAX >> 20);
    (millis << 20).max(before.saturating_add(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_life_grows_though_the_clock_goes_back() {
        let first = life(Duration::from_secs(1_800_000_000), 0);
        let second = life(Duration::from_secs(1_700_000_000), first);
        assert!(second > first);
        assert!(life(Duration::from_secs(1_900_000_000), second) > second);
        assert!(life(Duration::MAX, 0) > second);
    }
}
