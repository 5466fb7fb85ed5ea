//! The initiator side of a session with one command at a time.
mod login;
mod response;

pub use response::Response;

use crate::pdu::{self, field, Header, FINAL, RESERVED_TAG};
use crate::scsi::status;
use crate::{opcode, ProtocolError};

/// The flag of a command that reads.
const READ: u8 = 0x40;
/// The flag of a command that writes.
const WRITE: u8 = 0x20;
/// The flag of a Data-In PDU that carries the command's status.
const HAS_STATUS: u8 = 0x01;

/// The initiator side of a session with one connection.
#[derive(Default)]
pub struct Initiator {
    tag: u32,
    command_number: u32,
    /// The expected number of the target's next status.
    expected_status_number: u32,
    segment_bytes: usize,
    first_burst_bytes: usize,
    offered_first_burst: Option<usize>,
    sends_immediate_data: bool,
    is_logged_in: bool,
    lun: u8,
    write_data: Vec<u8>,
    read_data: Vec<u8>,
    expected_bytes: usize,
}

impl Initiator {
    /// Creates a session that offers a first burst of `bytes`; the rest of a write is sent when the target requests it.
    pub fn with_first_burst(bytes: usize) -> Initiator {
        Initiator { offered_first_burst: Some(bytes), ..Initiator::default() }
    }

    fn assign_number(&mut self, request: &mut Header) {
        request.set_word(field::COMMAND_NUMBER, self.command_number);
        request.set_word(field::EXPECTED_STATUS_NUMBER, self.expected_status_number);
        self.command_number = self.command_number.wrapping_add(1);
    }

    /// Sets the tag of the next command; a retry on another connection uses the tag of the first attempt.
    pub fn set_next_tag(&mut self, tag: u32) {
        self.tag = tag.wrapping_sub(1);
    }

    /// Sends a command that writes the given data or reads `expected_bytes`; returns its tag.
    pub fn command(
        &mut self,
        lun: u8,
        cdb: &[u8; 16],
        write: Option<&[u8]>,
        expected_bytes: usize,
        out: &mut Vec<u8>,
    ) -> u32 {
        self.tag = self.tag.wrapping_add(1);
        let flags = if write.is_some() { WRITE } else { READ };
        let mut request = Header::new(opcode::SCSI_COMMAND, FINAL | flags, self.tag);
        request.0[9] = lun;
        self.assign_number(&mut request);
        request.0[32..48].copy_from_slice(cdb);
        self.lun = lun;
        self.read_data = Vec::new();
        self.write_data = write.unwrap_or_default().to_vec();
        self.expected_bytes = write.map_or(expected_bytes, <[u8]>::len);
        request.set_word(field::EXPECTED_LENGTH, self.expected_bytes as u32);
        let immediate_bytes = if self.sends_immediate_data {
            self.write_data.len().min(self.first_burst_bytes).min(self.segment_bytes)
        } else {
            0
        };
        request.write(&self.write_data[..immediate_bytes], out);
        self.tag
    }

    /// Handles the first PDU of `bytes` and returns its length: 0 while it is incomplete. An immediate answer to the PDU,
    /// such as data of a write, is appended to `out`.
    ///
    /// # Errors
    /// The session has failed, and its connection must be closed.
    pub fn read(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(usize, Response), ProtocolError> {
        let Some(pdu) = pdu::decode(bytes)? else { return Ok((0, Response::Pending)) };
        let (header, data) = (pdu.header, pdu.data);
        // Data-In has a status number only with the status flag; a ping from the target and an R2T never have one.
        let has_status_number = match header.opcode() {
            opcode::DATA_IN => header.flags() & HAS_STATUS != 0,
            opcode::NOP_IN => header.tag() != RESERVED_TAG,
            other => other != opcode::READY_TO_TRANSFER,
        };
        if has_status_number {
            self.expected_status_number = header.word(field::STATUS_NUMBER).wrapping_add(1);
        }
        let is_for_command = header.tag() == self.tag;
        let response = match header.opcode() {
            opcode::LOGIN_RESPONSE => self.finish_login(&header, data)?,
            _ if !self.is_logged_in => return Err(ProtocolError::BeforeLogin),
            opcode::NOP_IN if header.tag() == RESERVED_TAG => {
                self.answer_ping(&header, data, out);
                Response::Pending
            }
            opcode::NOP_IN | opcode::TEXT_RESPONSE => Response::Text(data.to_vec()),
            opcode::LOGOUT_RESPONSE => Response::LoggedOut,
            opcode::TASK_MANAGEMENT_RESPONSE => Response::TaskManagement(header.0[2]),
            opcode::REJECT => Response::Rejected(header.0[2]),
            opcode::DATA_IN if is_for_command => self.receive_data(&header, data)?,
            opcode::READY_TO_TRANSFER if is_for_command => {
                self.send_data(&header, out)?;
                Response::Pending
            }
            opcode::SCSI_RESPONSE if is_for_command => self.complete(&header, data),
            _ => return Err(ProtocolError::UnexpectedResponse),
        };
        Ok((pdu.length, response))
    }

    /// Whether a part of the data of a read has arrived.
    pub fn is_receiving_data(&self) -> bool {
        !self.read_data.is_empty()
    }

    fn answer_ping(&self, ping: &Header, data: &[u8], out: &mut Vec<u8>) {
        let transfer_tag = ping.word(field::TRANSFER_TAG);
        if transfer_tag == RESERVED_TAG {
            return;
        }
        let mut answer = Header::new(opcode::NOP_OUT | opcode::IMMEDIATE, FINAL, RESERVED_TAG);
        answer.set_word(field::TRANSFER_TAG, transfer_tag);
        answer.set_word(field::COMMAND_NUMBER, self.command_number);
        answer.set_word(field::EXPECTED_STATUS_NUMBER, self.expected_status_number);
        answer.write(data, out);
    }

    fn receive_data(&mut self, header: &Header, data: &[u8]) -> Result<Response, ProtocolError> {
        let offset = header.word(field::BUFFER_OFFSET) as usize;
        if offset != self.read_data.len() || self.read_data.len() + data.len() > self.expected_bytes {
            return Err(ProtocolError::DataOutOfPlace);
        }
        self.read_data.extend_from_slice(data);
        if header.flags() & HAS_STATUS == 0 {
            return Ok(Response::Pending);
        }
        Ok(self.complete(header, &[]))
    }

    fn complete(&mut self, header: &Header, data: &[u8]) -> Response {
        // A response code other than 0 reports a failure of the target, and the status byte is not valid.
        let target_failed = header.opcode() == opcode::SCSI_RESPONSE && header.0[2] != 0;
        Response::Completed {
            tag: self.tag,
            status: if target_failed { status::CHECK_CONDITION } else { header.0[3] },
            qualifier: u16::from_be_bytes([header.0[8], header.0[9]]),
            data: std::mem::take(&mut self.read_data),
            sense: data.get(2..).unwrap_or_default().to_vec(),
        }
    }

    /// Sends the data of a write that an R2T requests.
    fn send_data(&self, request: &Header, out: &mut Vec<u8>) -> Result<(), ProtocolError> {
        let start = request.word(field::BUFFER_OFFSET) as usize;
        let length = request.word(field::DESIRED_LENGTH) as usize;
        let end = start.checked_add(length).filter(|end| *end <= self.write_data.len() && length > 0);
        let end = end.ok_or(ProtocolError::TransferOutOfRange)?;
        for (number, segment) in self.write_data[start..end].chunks(self.segment_bytes).enumerate() {
            let offset = start + number * self.segment_bytes;
            let is_last = offset + segment.len() == end;
            let mut header = Header::new(opcode::DATA_OUT, if is_last { FINAL } else { 0 }, self.tag);
            header.0[9] = self.lun;
            header.set_word(field::TRANSFER_TAG, request.word(field::TRANSFER_TAG));
            header.set_word(field::EXPECTED_STATUS_NUMBER, self.expected_status_number);
            header.set_word(field::DATA_NUMBER, number as u32);
            header.set_word(field::BUFFER_OFFSET, offset as u32);
            header.write(segment, out);
        }
        Ok(())
    }
}
