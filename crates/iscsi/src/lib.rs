//! Encoding and decoding of iSCSI (RFC 7143) in the subset that docs/iscsi.md lists: protocol data units, SCSI commands,
//! and both ends of a session with one connection. It uses neither I/O nor a clock: the caller transfers the bytes.
mod error;
pub mod initiator;
pub mod opcode;
pub mod pdu;
pub mod scsi;
pub mod target;
mod text;

pub use error::ProtocolError;

/// The maximum data of a command, and of a PDU's data segment, in bytes.
pub const MAX_DATA_BYTES: usize = 64 * 1024;
/// The size of a logical block, in bytes.
pub const BLOCK_BYTES: usize = 512;
/// The maximum data segment that an end sends, in bytes, until the other end declares its own limit (RFC 7143, section 13.12).
const DEFAULT_SEGMENT_BYTES: usize = 8192;
/// The smallest limit that either end may declare for a segment or burst, in bytes (RFC 7143, sections 13.12 to 13.14).
const MIN_SEGMENT_BYTES: usize = 512;
