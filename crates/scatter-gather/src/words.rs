//! How an answer is worded: `whole`, `part missing=hall-b/east:late,...` or `failed cause=too-few missing=...`.
//! Letters, digits, `-`, `_` and `.` stand for themselves, all else as `%` and two hex digits.
use crate::answer::{Answer, Cause, Failure, Gathered, Missing, Why};
use cluster_types::Zone;
use std::fmt::Write;
use std::sync::Arc;

/// The longest text that is read.
pub const MOST_TEXT: usize = 64 << 10;

/// What a wording says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// No part is missing.
    Whole,
    /// These are; one at least.
    Part(Vec<Missing>),
    /// No answer.
    Failed(Cause, Vec<Missing>),
}

impl<V> Gathered<V> {
    /// How it is told.
    pub fn told(&self) -> Told {
        match self.whole() {
            true => Told::Whole,
            false => Told::Part(self.missing()),
        }
    }
}

impl<V> Answer<V> {
    /// How it is told.
    pub fn told(&self) -> Told {
        match self {
            Answer::Gathered(gathered) => gathered.told(),
            Answer::Failed(Failure { cause, missing, .. }) => Told::Failed(cause.clone(), missing.clone()),
        }
    }
}

impl Told {
    /// The text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match self {
            Told::Whole => text.push_str("whole"),
            Told::Part(missing) => {
                text.push_str("part missing=");
                list(&mut text, missing);
            }
            Told::Failed(cause, missing) => {
                text.push_str("failed cause=");
                match cause {
                    Cause::TooFew => text.push_str("too-few"),
                    Cause::Named(name) => {
                        text.push_str("named:");
                        escape(&mut text, name);
                    }
                }
                if !missing.is_empty() {
                    text.push_str(" missing=");
                    list(&mut text, missing);
                }
            }
        }
        text
    }
}

fn list(text: &mut String, missing: &[Missing]) {
    for (i, one) in missing.iter().enumerate() {
        if i > 0 {
            text.push(',');
        }
        escape(text, &one.hall.0);
        text.push('/');
        escape(text, &one.part);
        text.push_str(match one.why {
            Why::Late => ":late",
            Why::CutOff => ":cut-off",
            Why::Refused => ":refused",
            Why::Failed(_) => ":failed",
        });
        if let Why::Failed(reason) = &one.why {
            text.push('(');
            escape(text, reason);
            text.push(')');
        }
    }
}

fn plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)
}

fn escape(text: &mut String, name: &str) {
    for byte in name.bytes() {
        match plain(byte) {
            true => text.push(char::from(byte)),
            // Writing to a string does not fail.
            false => drop(write!(text, "%{byte:02x}")),
        }
    }
}

/// Reads a wording; none where it is not one that is written so. `part` without a missing part is none.
pub fn parse(text: &str) -> Option<Told> {
    if text.len() > MOST_TEXT {
        return None;
    }
    let told = match text.split_once(' ') {
        None if text == "whole" => Told::Whole,
        Some(("part", rest)) => Told::Part(missing(rest.strip_prefix("missing=")?)?),
        Some(("failed", rest)) => {
            let rest = rest.strip_prefix("cause=")?;
            let (cause, list) = match rest.split_once(" missing=") {
                Some((cause, list)) => (cause, missing(list)?),
                None => (rest, Vec::new()),
            };
            Told::Failed(read_cause(cause)?, list)
        }
        _ => return None,
    };
    // Guards against two texts for one meaning, as with needless escapes.
    (told.text() == text).then_some(told)
}

fn read_cause(text: &str) -> Option<Cause> {
    match text.strip_prefix("named:") {
        Some(name) => Some(Cause::Named(Arc::from(unescape(name)?))),
        None => (text == "too-few").then_some(Cause::TooFew),
    }
}

fn missing(text: &str) -> Option<Vec<Missing>> {
    text.split(',').map(one).collect()
}

fn one(text: &str) -> Option<Missing> {
    let (place, why) = text.split_once(':')?;
    let (hall, part) = place.split_once('/')?;
    let why = match why {
        "late" => Why::Late,
        "cut-off" => Why::CutOff,
        "refused" => Why::Refused,
        _ => Why::Failed(unescape(why.strip_prefix("failed(")?.strip_suffix(')')?)?.into()),
    };
    Some(Missing { hall: Zone(unescape(hall)?.into()), part: unescape(part)?.into(), why })
}

fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes().iter().copied();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digit = |b: u8| char::from(b).to_digit(16);
                bytes.push((digit(rest.next()?)? * 16 + digit(rest.next()?)?) as u8);
            }
            _ if plain(byte) => bytes.push(byte),
            _ => return None,
        }
    }
    String::from_utf8(bytes).ok()
}
