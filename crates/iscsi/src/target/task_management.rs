//! Task management requests, of which only ABORT TASK is supported.
use super::types::Event;
use super::{Target, MAX_TASKS};
use crate::opcode;
use crate::pdu::{field, Header, FINAL};

/// The function ABORT TASK.
const ABORT_TASK: u8 = 1;

/// Responses to task management requests (RFC 7143, section 11.6.1).
#[derive(Clone, Copy)]
pub(super) enum ManagementResponse {
    Complete = 0,
    TaskDoesNotExist = 1,
    NotSupported = 5,
}

impl Target {
    /// Answers a task management request, or records an abort that is answered after its task.
    pub(super) fn manage_task(&mut self, request: &Header, out: &mut Vec<u8>, events: &mut Vec<Event>) {
        let function = request.flags() & !FINAL;
        let referenced_tag = request.word(field::REFERENCED_TAG);
        let response = match (function, self.tasks.get_mut(&referenced_tag)) {
            (ABORT_TASK, None) => ManagementResponse::TaskDoesNotExist,
            (ABORT_TASK, Some(task)) if task.is_write && !task.is_receiving() => {
                // The write may be running, so it is too late to abort: its status reports the outcome.
                task.abort_tag = Some(request.tag());
                return;
            }
            (ABORT_TASK, Some(task)) => {
                let (is_write, transfer_tag) = (task.is_write, task.transfer_tag);
                self.tasks.remove(&referenced_tag);
                if is_write {
                    // Data of this transfer that is still in transit is skipped and doesn't end the session.
                    self.aborted_transfers.truncate(MAX_TASKS);
                    self.aborted_transfers.push_front(transfer_tag);
                } else {
                    events.push(Event::Aborted(referenced_tag));
                }
                ManagementResponse::Complete
            }
            _ => ManagementResponse::NotSupported,
        };
        self.send_management_response(request.tag(), response, out);
    }

    pub(super) fn send_management_response(
        &mut self,
        tag: u32,
        response: ManagementResponse,
        out: &mut Vec<u8>,
    ) {
        let mut header = Header::new(opcode::TASK_MANAGEMENT_RESPONSE, FINAL, tag);
        header.0[2] = response as u8;
        self.send_status(header, &[], out);
    }
}
