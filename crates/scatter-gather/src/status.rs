//! The status text that tells a client which responses an answer lacks: `whole`, `part missing=hall-b/east:late,...` or
//! `failed cause=too-few missing=...`.
//!
//! ASCII letters, digits, `-`, `_` and `.` are written literally, other bytes as `%` and two hex digits. The keywords are
//! part of the protocol and predate the Rust names.
use crate::answer::{Answer, Cause, Failure, Gathered, MissingReason, MissingResponse};
use cluster_types::Zone;
use std::fmt;
use std::sync::Arc;

/// The maximum length of a status text that is parsed, in bytes.
pub const MAX_STATUS_BYTES: usize = 64 << 10;

/// The status of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// No response is missing.
    Complete,
    /// These responses are missing; the list is not empty.
    Partial(Vec<MissingResponse>),
    /// There is no answer, for this cause and with these missing responses.
    Failed(Cause, Vec<MissingResponse>),
}

impl<V> Gathered<V> {
    /// The status of the answer.
    pub fn status(&self) -> AnswerStatus {
        if self.is_complete() {
            AnswerStatus::Complete
        } else {
            AnswerStatus::Partial(self.missing())
        }
    }
}

impl<V> Answer<V> {
    /// The status of the answer.
    pub fn status(&self) -> AnswerStatus {
        match self {
            Answer::Gathered(gathered) => gathered.status(),
            Answer::Failed(Failure { cause, missing, .. }) => {
                AnswerStatus::Failed(cause.clone(), missing.clone())
            }
        }
    }
}

impl fmt::Display for AnswerStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerStatus::Complete => formatter.write_str("whole"),
            AnswerStatus::Partial(missing) => {
                formatter.write_str("part missing=")?;
                write_missing(formatter, missing)
            }
            AnswerStatus::Failed(cause, missing) => {
                formatter.write_str("failed cause=")?;
                match cause {
                    Cause::TooFew => formatter.write_str("too-few")?,
                    Cause::RequiredMissing(name) => write!(formatter, "named:{}", Escaped(name))?,
                }
                if missing.is_empty() {
                    return Ok(());
                }
                formatter.write_str(" missing=")?;
                write_missing(formatter, missing)
            }
        }
    }
}

fn write_missing(formatter: &mut fmt::Formatter<'_>, missing: &[MissingResponse]) -> fmt::Result {
    for (index, MissingResponse { zone, request, reason }) in missing.iter().enumerate() {
        if index > 0 {
            formatter.write_str(",")?;
        }
        write!(formatter, "{}/{}:", Escaped(&zone.0), Escaped(request))?;
        match reason {
            MissingReason::Late => formatter.write_str("late")?,
            MissingReason::ZoneEjected => formatter.write_str("cut-off")?,
            MissingReason::Rejected => formatter.write_str("refused")?,
            MissingReason::Failed(reason) => write!(formatter, "failed({})", Escaped(reason))?,
        }
    }
    Ok(())
}

fn is_plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)
}

/// Displays a name with percent escapes.
struct Escaped<'a>(&'a str);

impl fmt::Display for Escaped<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0.bytes() {
            if is_plain(byte) {
                write!(formatter, "{}", char::from(byte))?;
            } else {
                write!(formatter, "%{byte:02x}")?;
            }
        }
        Ok(())
    }
}

/// Parses a status text; `None` for any text that is not canonical, such as one with an empty list or needless escapes.
pub fn parse_status(text: &str) -> Option<AnswerStatus> {
    if text.len() > MAX_STATUS_BYTES {
        return None;
    }
    let status = match text.split_once(' ') {
        None if text == "whole" => AnswerStatus::Complete,
        Some(("part", rest)) => AnswerStatus::Partial(parse_missing(rest.strip_prefix("missing=")?)?),
        Some(("failed", rest)) => parse_failed(rest.strip_prefix("cause=")?)?,
        _ => return None,
    };
    // Accept only the canonical form: needless escapes would give several texts for one status.
    (status.to_string() == text).then_some(status)
}

fn parse_failed(text: &str) -> Option<AnswerStatus> {
    let (cause, missing) = match text.split_once(" missing=") {
        Some((cause, missing)) => (cause, parse_missing(missing)?),
        None => (text, Vec::new()),
    };
    let cause = match cause.strip_prefix("named:") {
        Some(name) => Cause::RequiredMissing(Arc::from(unescape(name)?)),
        None if cause == "too-few" => Cause::TooFew,
        None => return None,
    };
    Some(AnswerStatus::Failed(cause, missing))
}

fn parse_missing(text: &str) -> Option<Vec<MissingResponse>> {
    text.split(',').map(parse_missing_response).collect()
}

fn parse_missing_response(text: &str) -> Option<MissingResponse> {
    let (place, reason) = text.split_once(':')?;
    let (zone, request) = place.split_once('/')?;
    let reason = match reason {
        "late" => MissingReason::Late,
        "cut-off" => MissingReason::ZoneEjected,
        "refused" => MissingReason::Rejected,
        _ => {
            let reason = reason.strip_prefix("failed(")?.strip_suffix(')')?;
            MissingReason::Failed(unescape(reason)?.into())
        }
    };
    Some(MissingResponse { zone: Zone(unescape(zone)?.into()), request: unescape(request)?.into(), reason })
}

fn unescape(text: &str) -> Option<String> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let mut unescaped = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => unescaped.push((digit(bytes.next()?)? * 16 + digit(bytes.next()?)?) as u8),
            _ if is_plain(byte) => unescaped.push(byte),
            _ => return None,
        }
    }
    String::from_utf8(unescaped).ok()
}
