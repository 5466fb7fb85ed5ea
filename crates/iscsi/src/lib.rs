//! Encoding and decoding of iSCSI (RFC 7143) in the subset that docs/iscsi.md lists: protocol data units, SCSI commands,
//! and both ends of a session with one connection. Without I/O and without a clock: the caller moves the bytes.
mod error;
pub mod initiator;
pub mod opcode;
pub mod pdu;
pub mod scsi;
pub mod target;
mod text;

pub use error::ProtocolError;

/// The most bytes of data that a command transfers, and of a PDU's data segment.
pub const MAX_DATA_BYTES: usize = 64 * 1024;
/// Bytes of a logical block.
pub const BLOCK_BYTES: usize = 512;
/// What either end sends in one data segment until the other states its bound (RFC 7143, section 13.12).
const DEFAULT_SEGMENT_BYTES: usize = 8192;
/// The least that either end may state as the bound of a segment or burst (RFC 7143, sections 13.12 to 13.14).
const MIN_SEGMENT_BYTES: usize = 512;
