//! iSCSI (RFC 7143) as bytes, in the subset that docs/iscsi.md lists: protocol data units, SCSI commands, and
//! the two ends of a session with one connection. No sockets and no clock.
pub mod initiator;
pub mod pdu;
pub mod scsi;
pub mod target;
mod text;

pub use pdu::Malformed;

/// The longest value that a command carries, and the longest data segment.
pub const LONGEST: usize = 64 * 1024;
/// Bytes of a block.
pub const BLOCK: usize = 512;
