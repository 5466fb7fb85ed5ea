//! The login phase, in one exchange: the initiator offers its parameters, and the target's response completes the login.
use super::{Initiator, Response};
use crate::pdu::{field, Header, FINAL};
use crate::{opcode, text, ProtocolError, DEFAULT_SEGMENT_BYTES, MAX_DATA_BYTES, MIN_SEGMENT_BYTES};

/// The flags of a login request or response for the transit from operational negotiation to the full feature phase.
const TO_FULL_FEATURE: u8 = 0x07;
/// The flags of a login response that completes the login.
const LOGIN_COMPLETE: u8 = FINAL | 0x03;

impl Initiator {
    /// Starts a normal session with the given target, or a discovery session without one.
    pub fn login(&mut self, name: &str, target: Option<&str>, isid: [u8; 6], out: &mut Vec<u8>) {
        let first_burst_bytes = self.offered_first_burst.unwrap_or(MAX_DATA_BYTES);
        *self = Initiator {
            tag: self.tag,
            offered_first_burst: self.offered_first_burst,
            first_burst_bytes,
            command_number: 1,
            segment_bytes: DEFAULT_SEGMENT_BYTES,
            ..Self::default()
        };
        let mut request = Header::new(opcode::LOGIN_REQUEST | opcode::IMMEDIATE, FINAL | TO_FULL_FEATURE, 0);
        request.0[8..14].copy_from_slice(&isid);
        request.set_word(field::COMMAND_NUMBER, self.command_number);
        let mut data = Vec::new();
        text::append_pair(&mut data, "InitiatorName", name);
        match target {
            Some(target) => text::append_pair(&mut data, "TargetName", target),
            None => text::append_pair(&mut data, "SessionType", "Discovery"),
        }
        let (max_data, first_burst) = (MAX_DATA_BYTES.to_string(), first_burst_bytes.to_string());
        let parameters = [
            ("HeaderDigest", "None"),
            ("DataDigest", "None"),
            ("MaxRecvDataSegmentLength", max_data.as_str()),
            ("MaxBurstLength", &max_data),
            ("FirstBurstLength", &first_burst),
            ("ImmediateData", "Yes"),
            ("InitialR2T", "Yes"),
            ("ErrorRecoveryLevel", "0"),
        ];
        parameters.iter().for_each(|(key, value)| text::append_pair(&mut data, key, value));
        request.write(&data, out);
    }

    /// Handles the login response and applies the parameters that the target chose.
    pub(super) fn finish_login(&mut self, header: &Header, data: &[u8]) -> Result<Response, ProtocolError> {
        let status_class = header.0[36];
        if status_class != 0 {
            return Err(ProtocolError::LoginRefused);
        }
        if header.flags() & LOGIN_COMPLETE != LOGIN_COMPLETE {
            return Err(ProtocolError::LoginIncomplete);
        }
        for (key, value) in text::parse_pairs(data) {
            let bytes = value.parse::<usize>().unwrap_or(0).clamp(MIN_SEGMENT_BYTES, MAX_DATA_BYTES);
            match key.as_str() {
                "MaxRecvDataSegmentLength" => self.segment_bytes = bytes,
                "FirstBurstLength" => self.first_burst_bytes = bytes,
                "ImmediateData" => self.sends_immediate_data = value == "Yes",
                _ => {}
            }
        }
        self.is_logged_in = true;
        Ok(Response::LoggedIn)
    }
}
