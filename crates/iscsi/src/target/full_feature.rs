//! The full feature phase: command ordering, and requests that need no task.
use super::types::{Event, Phase, RejectReason};
use super::{Target, MAX_TASKS};
use crate::pdu::{field, Header, FINAL, RESERVED_TAG};
use crate::{opcode, text, ProtocolError};

impl Target {
    /// Handles a request of the full feature phase if it is the next in order.
    pub(super) fn handle_request(
        &mut self,
        request: &Header,
        data: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        let is_numbered = request.opcode() != opcode::DATA_OUT && !request.is_immediate();
        if is_numbered {
            let ahead = request.word(field::COMMAND_NUMBER).wrapping_sub(self.command_number);
            if (1..MAX_TASKS as u32).contains(&ahead) {
                // The only connection delivers in order, so the missing command of a gap within the window can't arrive any more.
                self.reject(RejectReason::ProtocolError, request, out);
                return Err(ProtocolError::CommandGap);
            }
            if ahead != 0 {
                // Outside the window: ignored, as RFC 7143 section 4.2.2.1 requires.
                return Ok(());
            }
        }
        events.push(Event::Acknowledged(request.word(field::EXPECTED_STATUS_NUMBER)));
        let is_scsi = matches!(
            request.opcode(),
            opcode::SCSI_COMMAND | opcode::TASK_MANAGEMENT_REQUEST | opcode::DATA_OUT
        );
        if !self.is_normal && is_scsi {
            self.reject(RejectReason::ProtocolError, request, out);
            return Ok(());
        }
        if is_numbered {
            self.command_number = self.command_number.wrapping_add(1);
        }
        match request.opcode() {
            opcode::NOP_OUT => self.answer_ping(request, data, out),
            opcode::SCSI_COMMAND => self.handle_command(request, data, out, events),
            opcode::DATA_OUT => return self.receive_data(request, data, out, events),
            opcode::TASK_MANAGEMENT_REQUEST => self.manage_task(request, out, events),
            opcode::TEXT_REQUEST => self.answer_text(request, data, out),
            opcode::LOGOUT_REQUEST => {
                self.phase = Phase::Closing;
                self.send_status(Header::new(opcode::LOGOUT_RESPONSE, FINAL, request.tag()), &[], out);
                events.push(Event::Close);
            }
            opcode::LOGIN_REQUEST => {
                self.reject(RejectReason::ProtocolError, request, out);
                return Err(ProtocolError::LoginWithinSession);
            }
            _ => self.reject(RejectReason::CommandNotSupported, request, out),
        }
        Ok(())
    }

    fn answer_ping(&mut self, request: &Header, data: &[u8], out: &mut Vec<u8>) {
        if request.tag() == RESERVED_TAG {
            return;
        }
        let mut response = Header::new(opcode::NOP_IN, FINAL, request.tag());
        response.set_word(field::TRANSFER_TAG, RESERVED_TAG);
        let echoed_bytes = data.len().min(self.segment_bytes);
        self.send_status(response, &data[..echoed_bytes], out);
    }

    fn answer_text(&mut self, request: &Header, data: &[u8], out: &mut Vec<u8>) {
        let description = &self.description;
        let mut reply = Vec::new();
        for (key, value) in text::parse_pairs(data) {
            match key.as_str() {
                "SendTargets" if ["All", "", &description.name].contains(&value.as_str()) => {
                    text::append_pair(&mut reply, "TargetName", &description.name);
                    text::append_pair(&mut reply, "TargetAddress", &format!("{},1", description.address));
                }
                "SendTargets" => {}
                _ => text::append_pair(&mut reply, &key, "NotUnderstood"),
            }
        }
        let mut response = Header::new(opcode::TEXT_RESPONSE, FINAL, request.tag());
        response.set_word(field::TRANSFER_TAG, RESERVED_TAG);
        self.send_status(response, &reply, out);
    }
}
