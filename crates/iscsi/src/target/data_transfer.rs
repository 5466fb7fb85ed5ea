//! Data of writes, requested with R2T and received with Data-Out.
use super::types::{Event, RejectReason, Task};
use super::Target;
use crate::pdu::{field, Header, FINAL, RESERVED_TAG};
use crate::{opcode, ProtocolError};

impl Target {
    /// Requests the next burst of a write's data, or reports the write to the caller once all data has arrived.
    pub(super) fn advance_write(&mut self, tag: u32, out: &mut Vec<u8>, events: &mut Vec<Event>) {
        let (burst_bytes, transfer_tag) = (self.burst_bytes, self.next_transfer_tag);
        let Some(task) = self.tasks.get_mut(&tag) else { return };
        if !task.is_receiving() {
            let data = std::mem::take(&mut task.data);
            task.needed_bytes = 0;
            events.push(Event::Write { tag, lun: task.lun, lba: task.lba, data });
            return;
        }
        let offset = task.data.len();
        task.transfer_end = task.needed_bytes.min(offset + burst_bytes);
        task.transfer_tag = transfer_tag;
        task.data_number = 0;
        let mut request = Header::new(opcode::READY_TO_TRANSFER, FINAL, tag);
        request.0[9] = task.lun;
        request.set_word(field::TRANSFER_TAG, transfer_tag);
        request.set_word(field::DATA_NUMBER, task.transfer_count);
        request.set_word(field::BUFFER_OFFSET, offset as u32);
        request.set_word(field::DESIRED_LENGTH, (task.transfer_end - offset) as u32);
        task.transfer_count += 1;
        self.next_transfer_tag = if transfer_tag >= RESERVED_TAG - 1 { 1 } else { transfer_tag + 1 };
        self.send(request, self.status_number, &[], out);
    }

    /// Handles a Data-Out PDU.
    pub(super) fn receive_data(
        &mut self,
        header: &Header,
        data: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        let tag = header.tag();
        match self.tasks.get_mut(&tag).filter(|task| continues_transfer(task, header, data)) {
            Some(task) => {
                task.data.extend_from_slice(data);
                task.data_number += 1;
            }
            None if self.aborted_transfers.contains(&header.word(field::TRANSFER_TAG)) => return Ok(()),
            None => {
                // Misordered data must not be written: the write is not executed, and the session ends.
                self.reject(RejectReason::ProtocolError, header, out);
                return Err(ProtocolError::UnsolicitedData);
            }
        }
        events.push(Event::Acknowledged(header.word(field::EXPECTED_STATUS_NUMBER)));
        if header.flags() & FINAL != 0 {
            self.advance_write(tag, out, events);
        }
        Ok(())
    }
}

/// Whether the PDU is the next one of the transfer requested for the task.
fn continues_transfer(task: &Task, header: &Header, data: &[u8]) -> bool {
    let end = task.data.len() + data.len();
    let is_last = header.flags() & FINAL != 0;
    task.is_receiving()
        && header.word(field::TRANSFER_TAG) == task.transfer_tag
        && header.word(field::DATA_NUMBER) == task.data_number
        && header.word(field::BUFFER_OFFSET) as usize == task.data.len()
        && end <= task.transfer_end
        && is_last == (end == task.transfer_end)
}
