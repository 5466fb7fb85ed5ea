//! Authenticated messages between members, protected against replay.
//!
//! A message is signed with HMAC-SHA256 under a key that all members share; a second key is accepted besides, so that keys
//! can be rotated in service. Each message names its sender, the sender's *incarnation* (see [`new_incarnation`]), a
//! sequence number within that incarnation and channel and, if wanted, the one member that it is addressed to, together with
//! that member's incarnation. The signature is verified before any other state changes: a forged message increments a
//! counter and does nothing else.
//!
//! Bodies are authenticated, not encrypted. Any holder of the key can sign in any member's name.
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

/// The default bound of a message, in bytes: a datagram of that size passes every usual link in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The bound of a message on a stream, in bytes: enough for a chunk of a snapshot.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The number of channels that a sender may use, numbered from 0.
pub const MAX_CHANNELS: u8 = 16;

/// The default number of senders that an [`Opener`] keeps replay windows for.
pub const MAX_SENDERS: usize = 1_024;

/// The bound of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The length of a signature, in bytes.
pub const SIGNATURE_BYTES: usize = 32;
