//! SCSI commands: immediate answers, tasks for reads and writes, and responses.
use super::task_management::ManagementResponse;
use super::types::{Event, Outcome, RejectReason, Task};
use super::{Target, MAX_TASKS};
use crate::pdu::{field, Header, FINAL, RESERVED_TAG};
use crate::scsi::{self, status, Command, Sense};
use crate::{opcode, BLOCK_BYTES};

/// The flag of a command that reads.
const READ: u8 = 0x40;
/// The flag of a command that writes.
const WRITE: u8 = 0x20;
/// The flag of a response to a command that transferred less than expected.
const UNDERFLOW: u8 = 0x02;
/// The retry delay that an initiator with too many unanswered commands receives.
const FULL_RETRY_AFTER_MS: u64 = 100;
/// The unit of the status qualifier's delay (RFC 7144, SAM-5).
const QUALIFIER_STEP_MS: u64 = 100;
/// The longest delay that the status qualifier can express, in its unit.
const MAX_QUALIFIER_STEPS: u64 = 0x3fef;

/// A read or write of blocks.
struct BlockCommand {
    is_write: bool,
    lba: u64,
    blocks: u32,
}

impl Target {
    /// Answers a command immediately, or creates a task for it.
    pub(super) fn handle_command(
        &mut self,
        request: &Header,
        data: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) {
        let tag = request.tag();
        if tag == RESERVED_TAG || self.tasks.contains_key(&tag) {
            return self.reject(RejectReason::TaskInProgress, request, out);
        }
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&request.0[32..48]);
        let expected_bytes = request.word(field::EXPECTED_LENGTH) as usize;
        let (command, max_answer_bytes) = match scsi::parse_command(&cdb) {
            Ok(parsed) => parsed,
            Err(sense) => return self.fail(tag, sense, expected_bytes, out),
        };
        let description = self.description.clone();
        let disk = request.lun().and_then(|lun| description.disks.iter().find(|disk| disk.lun == lun));
        match scsi::answer_locally(command, disk, &description.disks) {
            Err(sense) => return self.fail(tag, sense, expected_bytes, out),
            Ok(Some(answer)) => {
                let answer = &answer[..answer.len().min(max_answer_bytes)];
                return self.respond(tag, Outcome::Good(answer), expected_bytes, true, out);
            }
            Ok(None) => {}
        }
        let command = match command {
            Command::Read { lba, blocks } => BlockCommand { is_write: false, lba, blocks },
            Command::Write { lba, blocks } => BlockCommand { is_write: true, lba, blocks },
            // `answer_locally` has answered all other commands.
            _ => return,
        };
        let lun = disk.map_or(0, |disk| disk.lun);
        self.begin_task(request, lun, command, data, out, events);
    }

    fn begin_task(
        &mut self,
        request: &Header,
        lun: u8,
        command: BlockCommand,
        data: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) {
        let tag = request.tag();
        let BlockCommand { is_write, lba, blocks } = command;
        let expected_bytes = request.word(field::EXPECTED_LENGTH) as usize;
        let needed_bytes = blocks as usize * BLOCK_BYTES;
        if needed_bytes == 0 {
            return self.respond(tag, Outcome::Good(&[]), expected_bytes, !is_write, out);
        }
        let has_direction = request.flags() & if is_write { WRITE } else { READ } != 0;
        let max_immediate_bytes = needed_bytes.min(self.first_burst_bytes);
        if !has_direction || (is_write && (expected_bytes < needed_bytes || data.len() > max_immediate_bytes))
        {
            return self.fail(tag, Sense::INVALID_FIELD, expected_bytes, out);
        }
        if self.tasks.len() >= MAX_TASKS {
            return self.respond(tag, Outcome::Busy(Some(FULL_RETRY_AFTER_MS)), expected_bytes, false, out);
        }
        let task = Task {
            lun,
            lba,
            expected_bytes,
            is_write,
            data: if is_write { data.to_vec() } else { Vec::new() },
            needed_bytes,
            transfer_tag: RESERVED_TAG,
            transfer_end: 0,
            data_number: 0,
            transfer_count: 0,
            abort_tag: None,
        };
        self.tasks.insert(tag, task);
        if is_write {
            self.advance_write(tag, out, events);
        } else {
            events.push(Event::Read { tag, lun, lba, blocks });
        }
    }

    /// Answers a read or a write; returns its status number, or `None` if the task was aborted and nothing is sent.
    pub fn complete(&mut self, tag: u32, outcome: Outcome<'_>, out: &mut Vec<u8>) -> Option<u32> {
        let task = self.tasks.remove(&tag)?;
        let status_number = self.status_number;
        self.respond(tag, outcome, task.expected_bytes, !task.is_write, out);
        if let Some(abort_tag) = task.abort_tag {
            self.send_management_response(abort_tag, ManagementResponse::TaskDoesNotExist, out);
        }
        Some(status_number)
    }

    fn fail(&mut self, tag: u32, sense: Sense, expected_bytes: usize, out: &mut Vec<u8>) {
        self.respond(tag, Outcome::Failed(sense), expected_bytes, false, out);
    }

    fn respond(
        &mut self,
        tag: u32,
        outcome: Outcome<'_>,
        expected_bytes: usize,
        is_read: bool,
        out: &mut Vec<u8>,
    ) {
        let mut response = Header::new(opcode::SCSI_RESPONSE, FINAL, tag);
        let mut sense_data = Vec::new();
        match outcome {
            Outcome::Good(data) if is_read => {
                let data = &data[..data.len().min(expected_bytes)];
                self.send_data(tag, data, out);
                response.set_word(field::DATA_NUMBER, data.len().div_ceil(self.segment_bytes) as u32);
                if data.len() < expected_bytes {
                    response.0[1] |= UNDERFLOW;
                    response.set_word(field::RESIDUAL_COUNT, (expected_bytes - data.len()) as u32);
                }
            }
            Outcome::Good(_) => {}
            Outcome::Busy(retry_after_ms) => {
                response.0[3] = status::BUSY;
                // 0 means that no delay is specified.
                let steps = retry_after_ms
                    .map_or(0, |delay| delay.div_ceil(QUALIFIER_STEP_MS).clamp(1, MAX_QUALIFIER_STEPS));
                response.0[8..10].copy_from_slice(&(steps as u16).to_be_bytes());
            }
            Outcome::Failed(sense) => {
                response.0[3] = status::CHECK_CONDITION;
                let bytes = sense.to_bytes();
                sense_data = [&[0, bytes.len() as u8], bytes.as_slice()].concat();
            }
        }
        self.send_status(response, &sense_data, out);
    }

    /// Sends the data of a read in Data-In PDUs. They carry no status, so their status number is 0.
    fn send_data(&self, tag: u32, data: &[u8], out: &mut Vec<u8>) {
        let mut offset = 0;
        for (number, segment) in data.chunks(self.segment_bytes).enumerate() {
            let is_last = offset + segment.len() == data.len();
            let mut header = Header::new(opcode::DATA_IN, if is_last { FINAL } else { 0 }, tag);
            header.set_word(field::TRANSFER_TAG, RESERVED_TAG);
            header.set_word(field::DATA_NUMBER, number as u32);
            header.set_word(field::BUFFER_OFFSET, offset as u32);
            self.send(header, 0, segment, out);
            offset += segment.len();
        }
    }
}
