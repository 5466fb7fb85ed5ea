//! Protocol data units: a basic header segment of 48 bytes, then data padded to four bytes. Digests are never negotiated.
use crate::{opcode, ProtocolError, MAX_DATA_BYTES};

/// The size of a basic header segment, in bytes.
pub const HEADER_BYTES: usize = 48;
/// The reserved value for an absent tag.
pub const RESERVED_TAG: u32 = 0xffff_ffff;
/// The flag of the last PDU in a sequence; in login PDUs it requests the transit to the next stage.
pub const FINAL: u8 = 0x80;
/// Data segments are padded to a multiple of this number of bytes.
const PADDING_BYTES: usize = 4;

/// Byte offsets of the 32-bit header fields (RFC 7143, section 11). The opcode determines which of them a PDU has.
pub mod field {
    /// Initiator Task Tag.
    pub const TASK_TAG: usize = 16;
    /// Expected Data Transfer Length of a SCSI command, in bytes.
    pub const EXPECTED_LENGTH: usize = 20;
    /// Target Transfer Tag.
    pub const TRANSFER_TAG: usize = 20;
    /// Referenced Task Tag of a task management request.
    pub const REFERENCED_TAG: usize = 20;
    /// CmdSN of a request.
    pub const COMMAND_NUMBER: usize = 24;
    /// StatSN of a response.
    pub const STATUS_NUMBER: usize = 24;
    /// ExpStatSN of a request.
    pub const EXPECTED_STATUS_NUMBER: usize = 28;
    /// ExpCmdSN of a response.
    pub const EXPECTED_COMMAND_NUMBER: usize = 28;
    /// MaxCmdSN of a response.
    pub const MAX_COMMAND_NUMBER: usize = 32;
    /// DataSN of a data PDU, R2TSN of an R2T, ExpDataSN of a SCSI response.
    pub const DATA_NUMBER: usize = 36;
    /// Buffer Offset, in bytes.
    pub const BUFFER_OFFSET: usize = 40;
    /// Desired Data Transfer Length of an R2T, in bytes.
    pub const DESIRED_LENGTH: usize = 44;
    /// Residual Count of a SCSI response, in bytes.
    pub const RESIDUAL_COUNT: usize = 44;
}

/// A basic header segment, as it is on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header(pub [u8; HEADER_BYTES]);

impl Header {
    /// Creates a header with this opcode, these flags and this initiator task tag; all other bytes are 0.
    pub fn new(opcode: u8, flags: u8, tag: u32) -> Header {
        let mut header = Header([0; HEADER_BYTES]);
        header.0[0] = opcode;
        header.0[1] = flags;
        header.set_word(field::TASK_TAG, tag);
        header
    }

    /// The opcode, without the immediate bit.
    pub fn opcode(&self) -> u8 {
        self.0[0] & 0x3f
    }

    /// Whether the request is delivered outside the order of commands.
    pub fn is_immediate(&self) -> bool {
        self.0[0] & opcode::IMMEDIATE != 0
    }

    /// The flags byte.
    pub fn flags(&self) -> u8 {
        self.0[1]
    }

    /// The initiator's task tag.
    pub fn tag(&self) -> u32 {
        self.word(field::TASK_TAG)
    }

    /// The big-endian number at that byte offset (see [`field`]).
    pub fn word(&self, offset: usize) -> u32 {
        u32::from_be_bytes([self.0[offset], self.0[offset + 1], self.0[offset + 2], self.0[offset + 3]])
    }

    /// Sets the big-endian number at that byte offset (see [`field`]).
    pub fn set_word(&mut self, offset: usize, value: u32) {
        self.0[offset..offset + 4].copy_from_slice(&value.to_be_bytes());
    }

    /// The LUN, if it is below 256 in flat or peripheral addressing.
    pub fn lun(&self) -> Option<u8> {
        match self.0[8..16] {
            [0 | 0x40, lun, 0, 0, 0, 0, 0, 0] => Some(lun),
            _ => None,
        }
    }

    /// Appends the PDU with its data, whose length it sets, and the padding.
    pub fn write(mut self, data: &[u8], out: &mut Vec<u8>) {
        let length = (data.len() as u32).to_be_bytes();
        self.0[5..8].copy_from_slice(&length[1..]);
        out.extend_from_slice(&self.0);
        out.extend_from_slice(data);
        out.resize(out.len() + data.len().next_multiple_of(PADDING_BYTES) - data.len(), 0);
    }
}

/// A complete PDU in a receive buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pdu<'a> {
    /// Its basic header segment.
    pub header: Header,
    /// Its data segment, without padding.
    pub data: &'a [u8],
    /// Its length on the wire, in bytes.
    pub length: usize,
}

/// Decodes the first PDU of the buffer; `None` while it is incomplete.
///
/// # Errors
/// [`ProtocolError::DataSegmentTooLong`], as soon as the header is complete.
pub fn decode(bytes: &[u8]) -> Result<Option<Pdu<'_>>, ProtocolError> {
    let Some((header, _)) = bytes.split_first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let additional_headers_length = usize::from(header[4]) * 4;
    let data_length = u32::from_be_bytes([0, header[5], header[6], header[7]]) as usize;
    if data_length > MAX_DATA_BYTES {
        return Err(ProtocolError::DataSegmentTooLong);
    }
    let start = HEADER_BYTES + additional_headers_length;
    let end = start + data_length.next_multiple_of(PADDING_BYTES);
    let Some(padded) = bytes.get(start..end) else { return Ok(None) };
    Ok(Some(Pdu { header: Header(*header), data: &padded[..data_length], length: end }))
}
