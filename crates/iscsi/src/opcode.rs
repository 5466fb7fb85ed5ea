//! Opcodes of PDUs (RFC 7143, section 11.2.1.2).

/// NOP-Out: the initiator's ping, or its answer to the target's.
pub const NOP_OUT: u8 = 0x00;
/// SCSI Command.
pub const SCSI_COMMAND: u8 = 0x01;
/// Task Management Function Request.
pub const TASK_MANAGEMENT_REQUEST: u8 = 0x02;
/// Login Request.
pub const LOGIN_REQUEST: u8 = 0x03;
/// Text Request.
pub const TEXT_REQUEST: u8 = 0x04;
/// SCSI Data-Out: data of a write.
pub const DATA_OUT: u8 = 0x05;
/// Logout Request.
pub const LOGOUT_REQUEST: u8 = 0x06;
/// NOP-In: the target's ping, or its answer to the initiator's.
pub const NOP_IN: u8 = 0x20;
/// SCSI Response.
pub const SCSI_RESPONSE: u8 = 0x21;
/// Task Management Function Response.
pub const TASK_MANAGEMENT_RESPONSE: u8 = 0x22;
/// Login Response.
pub const LOGIN_RESPONSE: u8 = 0x23;
/// Text Response.
pub const TEXT_RESPONSE: u8 = 0x24;
/// SCSI Data-In: data of a read.
pub const DATA_IN: u8 = 0x25;
/// Logout Response.
pub const LOGOUT_RESPONSE: u8 = 0x26;
/// Ready To Transfer: the target requests data of a write.
pub const READY_TO_TRANSFER: u8 = 0x31;
/// Reject.
pub const REJECT: u8 = 0x3f;
/// The immediate bit of the first byte: the request is delivered outside the order of commands.
pub const IMMEDIATE: u8 = 0x40;
