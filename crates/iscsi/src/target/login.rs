//! The login phase: text negotiation and the transit to the full feature phase.
use super::types::{Event, Phase};
use super::Target;
use crate::pdu::{field, Header, FINAL};
use crate::{opcode, text, ProtocolError, DEFAULT_SEGMENT_BYTES, MAX_DATA_BYTES, MIN_SEGMENT_BYTES};

/// The maximum text of a login over all its requests, in bytes.
const MAX_LOGIN_TEXT_BYTES: usize = 16 * 1024;
/// The longest iSCSI name, in characters (RFC 7143, section 4.2.7).
const MAX_NAME_CHARS: usize = 223;
/// The flag of a login request whose text continues in the next one.
const CONTINUE: u8 = 0x40;
/// The bits of the current stage in the flags.
const CURRENT_STAGE: u8 = 0x0c;
/// The bits of the next stage in the flags.
const NEXT_STAGE: u8 = 0x03;
/// Stage numbers (RFC 7143, section 11.12.3); 2 is not defined.
const STAGE_OPERATIONAL: u8 = 1;
const STAGE_UNDEFINED: u8 = 2;
const STAGE_FULL_FEATURE: u8 = 3;
/// The bytes of the initiator's part of the session identifier.
const ISID: std::ops::Range<usize> = 8..14;

/// Why a login is refused: status class 2, initiator error, with these details (RFC 7143, section 11.13.5).
#[derive(Clone, Copy)]
enum Refusal {
    InitiatorError = 0,
    AuthenticationFailure = 1,
    TargetNotFound = 3,
    UnsupportedVersion = 5,
    MissingParameter = 7,
    SessionDoesNotExist = 10,
}

/// The content of the response to an accepted login request.
struct Accepted {
    flags: u8,
    text: Vec<u8>,
    is_complete: bool,
}

/// The result of negotiating one login request's text.
struct Negotiated {
    reply: Vec<u8>,
    target: Option<String>,
}

impl Target {
    /// Answers a login request.
    pub(super) fn login(
        &mut self,
        request: &Header,
        data: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        let mut response = Header::new(opcode::LOGIN_RESPONSE, 0, request.tag());
        response.0[ISID].copy_from_slice(&request.0[ISID]);
        match self.accept_login(request, data) {
            Ok(accepted) => {
                response.0[1] = accepted.flags;
                if accepted.is_complete {
                    self.phase = Phase::FullFeature;
                    response.0[14..16].copy_from_slice(&self.session_handle.to_be_bytes());
                    if self.is_normal {
                        events.push(Event::LoggedIn { initiator: self.initiator.clone(), isid: self.isid });
                    }
                }
                self.send_status(response, &accepted.text, out);
                Ok(())
            }
            Err(refusal) => {
                response.0[36..38].copy_from_slice(&[2, refusal as u8]);
                self.send_status(response, &[], out);
                Err(ProtocolError::LoginRefused)
            }
        }
    }

    fn accept_login(&mut self, request: &Header, data: &[u8]) -> Result<Accepted, Refusal> {
        if self.login_text.len() + data.len() > MAX_LOGIN_TEXT_BYTES {
            return Err(Refusal::InitiatorError);
        }
        self.login_text.extend_from_slice(data);
        self.command_number = request.word(field::COMMAND_NUMBER);
        if request.flags() & CONTINUE != 0 {
            let flags = request.flags() & CURRENT_STAGE;
            return Ok(Accepted { flags, text: Vec::new(), is_complete: false });
        }
        let minimum_version = request.0[3];
        if minimum_version != 0 {
            return Err(Refusal::UnsupportedVersion);
        }
        let requested_handle = request.word(12) & 0xffff;
        if requested_handle != 0 {
            // A session has only one connection, so no other can join it.
            return Err(Refusal::SessionDoesNotExist);
        }
        self.isid.copy_from_slice(&request.0[ISID]);
        let mut negotiated = self.negotiate()?;
        self.check_names(negotiated.target.as_deref())?;
        let (stage, next) = ((request.flags() & CURRENT_STAGE) >> 2, request.flags() & NEXT_STAGE);
        let is_transit = request.flags() & FINAL != 0;
        if stage > STAGE_OPERATIONAL || (is_transit && (next <= stage || next == STAGE_UNDEFINED)) {
            return Err(Refusal::InitiatorError);
        }
        if negotiated.target.is_some() {
            text::append_pair(&mut negotiated.reply, "TargetPortalGroupTag", "1");
        }
        let kept_flags = if is_transit { FINAL | CURRENT_STAGE | NEXT_STAGE } else { CURRENT_STAGE };
        Ok(Accepted {
            flags: request.flags() & kept_flags,
            text: negotiated.reply,
            is_complete: is_transit && next == STAGE_FULL_FEATURE,
        })
    }

    /// Negotiates the keys of the text collected so far.
    fn negotiate(&mut self) -> Result<Negotiated, Refusal> {
        let pairs = text::parse_pairs(&std::mem::take(&mut self.login_text));
        let mut negotiated = Negotiated { reply: Vec::new(), target: None };
        for (key, value) in pairs {
            match key.as_str() {
                "InitiatorName" => self.initiator = value.chars().take(MAX_NAME_CHARS).collect(),
                "TargetName" => negotiated.target = Some(value),
                "SessionType" => self.is_normal = value != "Discovery",
                "InitiatorAlias" => {}
                "AuthMethod" if !value.split(',').any(|method| method == "None") => {
                    return Err(Refusal::AuthenticationFailure);
                }
                _ => {
                    let answer = self.negotiate_parameter(&key, &value);
                    text::append_pair(&mut negotiated.reply, &key, &answer);
                }
            }
        }
        Ok(negotiated)
    }

    /// Negotiates an operational parameter; returns the value to answer with.
    fn negotiate_parameter(&mut self, key: &str, value: &str) -> String {
        let burst = || {
            let ours = MAX_DATA_BYTES;
            value.parse::<usize>().map_or(ours, |theirs| theirs.min(ours)).max(MIN_SEGMENT_BYTES)
        };
        let fixed = match key {
            "AuthMethod" | "HeaderDigest" | "DataDigest" => "None",
            "InitialR2T" | "DataPDUInOrder" | "DataSequenceInOrder" => "Yes",
            "MaxConnections" | "MaxOutstandingR2T" => "1",
            "ErrorRecoveryLevel" | "DefaultTime2Retain" => "0",
            "IFMarker" | "OFMarker" => "No",
            "ImmediateData" if value == "No" => "No",
            "ImmediateData" => "Yes",
            "MaxRecvDataSegmentLength" => {
                let theirs = value.parse().unwrap_or(DEFAULT_SEGMENT_BYTES);
                self.segment_bytes = theirs.clamp(MIN_SEGMENT_BYTES, MAX_DATA_BYTES);
                return MAX_DATA_BYTES.to_string();
            }
            "MaxBurstLength" => {
                self.burst_bytes = burst();
                return self.burst_bytes.to_string();
            }
            "FirstBurstLength" => {
                self.first_burst_bytes = burst();
                return self.first_burst_bytes.to_string();
            }
            "DefaultTime2Wait" => return value.parse::<u32>().unwrap_or(2).min(3600).to_string(),
            _ => "NotUnderstood",
        };
        fixed.to_string()
    }

    /// Requires the initiator's name and, in a normal session, the name of this target.
    fn check_names(&mut self, target: Option<&str>) -> Result<(), Refusal> {
        if self.initiator.is_empty() {
            return Err(Refusal::MissingParameter);
        }
        if target.is_some_and(|name| name != self.description.name) {
            return Err(Refusal::TargetNotFound);
        }
        self.is_target_named |= target.is_some();
        if self.is_normal && !self.is_target_named {
            return Err(Refusal::MissingParameter);
        }
        Ok(())
    }
}
