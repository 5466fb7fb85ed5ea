//! Authenticated messages between members, protected against replay.
//!
//! A message is signed with HMAC-SHA256 under a key that all members share. A second key can be accepted at the same time, so
//! that keys can be rotated without downtime. Each message names its sender, the sender's *incarnation* (see
//! [`new_incarnation`]), a sequence number within that incarnation and channel and, optionally, a single recipient with its
//! incarnation. The signature is verified before any state changes: a forged message only increments a counter.
//!
//! Bodies are authenticated, not encrypted. Any holder of the key can sign messages as any member.
mod header;
mod incarnation;
mod keys;
mod opener;
mod rejection;
pub mod replay_window;
mod sealer;
mod sender_table;

pub use header::HeaderError;
pub use incarnation::new_incarnation;
pub use keys::{KeySlot, Keys};
pub use opener::{Opened, Opener};
pub use rejection::{OpenCounters, Rejection};
pub use sealer::{SealError, Sealer};

/// The default maximum size of a message, in bytes: a datagram of this size isn't fragmented on common links.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The maximum size of a message on a stream, in bytes: enough for a chunk of a snapshot.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The maximum number of channels of a sender, numbered from 0.
pub const MAX_CHANNELS: u8 = 16;

/// The default maximum number of senders for which an [`Opener`] keeps replay windows.
pub const MAX_SENDERS: usize = 1_024;

/// The maximum length of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The length of a signature, in bytes.
pub const SIGNATURE_BYTES: usize = 32;
