//! Parses input lines into typed messages.
use super::error::LineError;
use super::events::{ClientLeft, Fired, JobIn, Reply, Topology};
use super::micros;
use super::setup::WireSetup;
use crate::interface::{Event, Micros, Settings};
use serde::Deserialize;
use serde_json::Value;
use std::sync::Arc;

/// A parsed input line.
pub(super) enum Message {
    /// A batch begins at this time.
    Tick(Micros),
    /// The batch is complete, and its reply is due.
    Flush,
    /// A message to one instance.
    Instance(Arc<str>, InstanceMessage),
    /// A message of an unknown name, which is skipped.
    Unknown,
}

/// A message to an instance.
pub(super) enum InstanceMessage {
    /// Start the instance.
    Launch {
        /// Seed of the instance's random number generator.
        seed: u64,
        /// The instance's settings.
        settings: Box<Settings>,
    },
    /// Stop the instance.
    Halt,
    /// Pass an event to the instance.
    Event(Event),
}

/// Names of the messages to an instance.
#[derive(Clone, Copy)]
enum InstanceMessageName {
    Launch,
    Halt,
    Topology,
    JobIn,
    Reply,
    ClientLeft,
    Fired,
}

#[derive(Deserialize)]
struct Tick {
    #[serde(rename = "AtTimeS")]
    at_s: f64,
}

#[derive(Deserialize)]
struct Launch {
    #[serde(rename = "Seed", default)]
    seed: u64,
    #[serde(rename = "Setup")]
    setup: WireSetup,
}

impl Message {
    /// Parses an input line.
    pub(super) fn parse(text: &str) -> Result<Message, LineError> {
        let line: Value = serde_json::from_str(text)?;
        let name = match line.get("m").and_then(Value::as_str) {
            Some("Tick") => return Ok(Message::Tick(micros(serde_json::from_value::<Tick>(line)?.at_s))),
            Some("Flush") => return Ok(Message::Flush),
            Some(name) => InstanceMessageName::parse(name),
            None => return Err(LineError::NoMessageName),
        };
        let Some(name) = name else { return Ok(Message::Unknown) };
        let instance: Arc<str> = match line.get("Who").and_then(Value::as_str) {
            Some(instance) => instance.into(),
            None => return Err(LineError::NoInstance { message: name.as_str() }),
        };
        Ok(Message::Instance(instance, InstanceMessage::parse(name, line)?))
    }
}

impl InstanceMessage {
    fn parse(name: InstanceMessageName, line: Value) -> Result<InstanceMessage, LineError> {
        Ok(InstanceMessage::Event(match name {
            InstanceMessageName::Halt => return Ok(InstanceMessage::Halt),
            InstanceMessageName::Launch => {
                let Launch { seed, setup } = serde_json::from_value(line)?;
                return Ok(InstanceMessage::Launch { seed, settings: Box::new(setup.into_settings()?) });
            }
            InstanceMessageName::Topology => serde_json::from_value::<Topology>(line)?.try_into()?,
            InstanceMessageName::JobIn => serde_json::from_value::<JobIn>(line)?.into(),
            InstanceMessageName::Reply => serde_json::from_value::<Reply>(line)?.try_into()?,
            InstanceMessageName::ClientLeft => serde_json::from_value::<ClientLeft>(line)?.into(),
            InstanceMessageName::Fired => serde_json::from_value::<Fired>(line)?.into(),
        }))
    }
}

impl InstanceMessageName {
    const ALL: [InstanceMessageName; 7] = [
        InstanceMessageName::Launch,
        InstanceMessageName::Halt,
        InstanceMessageName::Topology,
        InstanceMessageName::JobIn,
        InstanceMessageName::Reply,
        InstanceMessageName::ClientLeft,
        InstanceMessageName::Fired,
    ];

    fn parse(name: &str) -> Option<InstanceMessageName> {
        InstanceMessageName::ALL.into_iter().find(|known| known.as_str() == name)
    }

    fn as_str(self) -> &'static str {
        match self {
            InstanceMessageName::Launch => "Launch",
            InstanceMessageName::Halt => "Halt",
            InstanceMessageName::Topology => "Topology",
            InstanceMessageName::JobIn => "JobIn",
            InstanceMessageName::Reply => "Reply",
            InstanceMessageName::ClientLeft => "ClientLeft",
            InstanceMessageName::Fired => "Fired",
        }
    }
}
