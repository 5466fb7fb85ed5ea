//! The target side of a session: login, command ordering, and data in both directions. Reads and writes are reported as
//! events, and the caller passes their outcome to [`Target::complete`]; everything else is answered here.
mod command;
mod data_transfer;
mod full_feature;
mod login;
mod task_management;
mod types;

pub use types::{Event, Outcome, TargetDescription};

use crate::pdu::{field, Header, FINAL, HEADER_BYTES, RESERVED_TAG};
use crate::{opcode, pdu, ProtocolError, DEFAULT_SEGMENT_BYTES, MAX_DATA_BYTES};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use types::{Phase, RejectReason, Task};

/// The maximum number of unanswered commands on one connection.
pub const MAX_TASKS: usize = 16;

/// The target side of a session with one connection.
pub struct Target {
    description: Rc<TargetDescription>,
    phase: Phase,
    is_normal: bool,
    initiator: String,
    isid: [u8; 6],
    session_handle: u16,
    login_text: Vec<u8>,
    command_number: u32,
    status_number: u32,
    segment_bytes: usize,
    first_burst_bytes: usize,
    burst_bytes: usize,
    tasks: BTreeMap<u32, Task>,
    next_transfer_tag: u32,
    /// Whether the initiator has named the target.
    is_target_named: bool,
    /// Transfer tags of writes that were aborted: their data may still arrive.
    aborted_transfers: VecDeque<u32>,
}

impl Target {
    /// Creates a session before its login. `session_handle` is its future TSIH; 0, which is reserved, is replaced by 1.
    pub fn new(description: Rc<TargetDescription>, session_handle: u16) -> Target {
        Target {
            description,
            phase: Phase::Login,
            is_normal: true,
            initiator: String::new(),
            isid: [0; 6],
            session_handle: session_handle.max(1),
            login_text: Vec::new(),
            command_number: 0,
            status_number: 1,
            segment_bytes: DEFAULT_SEGMENT_BYTES,
            first_burst_bytes: MAX_DATA_BYTES,
            burst_bytes: MAX_DATA_BYTES,
            tasks: BTreeMap::new(),
            next_transfer_tag: 1,
            is_target_named: false,
            aborted_transfers: VecDeque::new(),
        }
    }

    /// Whether there are unanswered commands.
    pub fn is_busy(&self) -> bool {
        !self.tasks.is_empty()
    }

    /// Handles the first PDU of `bytes` and returns its length: 0 while it is incomplete.
    ///
    /// # Errors
    /// The connection must be closed once `out` is written.
    pub fn read(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> Result<usize, ProtocolError> {
        let decoded = match pdu::decode(bytes) {
            Ok(decoded) => decoded,
            Err(error) => {
                let mut rejected = Header([0; HEADER_BYTES]);
                rejected.0.copy_from_slice(&bytes[..HEADER_BYTES]);
                if matches!(self.phase, Phase::FullFeature) {
                    self.reject(RejectReason::InvalidField, &rejected, out);
                }
                return Err(error);
            }
        };
        let Some(pdu) = decoded else { return Ok(0) };
        match self.phase {
            Phase::Closing => {}
            Phase::Login if pdu.header.opcode() == opcode::LOGIN_REQUEST => {
                self.login(&pdu.header, pdu.data, out, events)?;
            }
            Phase::Login => return Err(ProtocolError::BeforeLogin),
            Phase::FullFeature => self.handle_request(&pdu.header, pdu.data, out, events)?,
        }
        Ok(pdu.length)
    }

    /// Sends a response with a status number, and increments that number.
    fn send_status(&mut self, header: Header, data: &[u8], out: &mut Vec<u8>) {
        self.send(header, self.status_number, data, out);
        self.status_number = self.status_number.wrapping_add(1);
    }

    fn send(&self, mut header: Header, status_number: u32, data: &[u8], out: &mut Vec<u8>) {
        let free_tasks = MAX_TASKS.saturating_sub(self.tasks.len()) as u32;
        let max_command_number = self.command_number.wrapping_add(free_tasks).wrapping_sub(1);
        header.set_word(field::STATUS_NUMBER, status_number);
        header.set_word(field::EXPECTED_COMMAND_NUMBER, self.command_number);
        header.set_word(field::MAX_COMMAND_NUMBER, max_command_number);
        header.write(data, out);
    }

    fn reject(&mut self, reason: RejectReason, rejected: &Header, out: &mut Vec<u8>) {
        let mut header = Header::new(opcode::REJECT, FINAL, RESERVED_TAG);
        header.0[2] = reason as u8;
        self.send_status(header, &rejected.0, out);
    }
}
