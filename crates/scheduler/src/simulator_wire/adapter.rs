//! Hosts scheduler instances: reads batches of events and writes a reply to each.
use super::actions::{action_line, fatal_line};
use super::error::{LineError, WireError};
use super::messages::{InstanceMessage, Message};
use crate::interface::{Action, Event, Micros, Settings, SettingsError};
use crate::Scheduler;
use serde_json::Value;
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use thiserror::Error;

/// The line that ends a reply.
const END_OF_REPLY: &[u8] = b"{\"m\":\"Next\"}\n";

/// Why an instance has failed.
#[derive(Debug, Error)]
enum InstanceError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("{0}")]
    Panic(String),
}

/// Reads batches until the end of the input and writes one reply for each.
///
/// # Errors
///
/// [`WireError::Malformed`] for a line that can't be parsed; nothing is written for the batch that contains
/// it. [`WireError::Io`] if the input or output failed.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut adapter = Adapter::default();
    for (index, text) in input.lines().enumerate() {
        let malformed = |reason: LineError| WireError::Malformed { line: index + 1, reason };
        let text = text.map_err(|error| match error.kind() {
            io::ErrorKind::InvalidData => malformed(LineError::Encoding(error)),
            _ => WireError::Io(error),
        })?;
        if text.trim().is_empty() {
            continue;
        }
        match Message::parse(&text).map_err(malformed)? {
            Message::Tick(now) => adapter.now = now,
            Message::Flush => {
                adapter.reply.extend_from_slice(END_OF_REPLY);
                output.write_all(&adapter.reply)?;
                output.flush()?;
                adapter.reply.clear();
            }
            Message::Instance(instance, message) => adapter.handle(&instance, message)?,
            Message::Unknown => {}
        }
    }
    Ok(())
}

/// The instances, and the reply to the current batch.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<Arc<str>, Scheduler>,
    now: Micros,
    reply: Vec<u8>,
    /// Reused for all events, to avoid an allocation for each.
    actions: Vec<Action>,
}

impl Adapter {
    /// Passes a message to an instance and appends its actions to the reply. No actions are taken for an
    /// instance that fails.
    fn handle(&mut self, instance: &Arc<str>, message: InstanceMessage) -> Result<(), WireError> {
        self.actions.clear();
        let result = match message {
            InstanceMessage::Launch { seed, settings } => self.launch(instance, seed, *settings),
            InstanceMessage::Halt => {
                self.instances.remove(instance);
                Ok(())
            }
            InstanceMessage::Event(event) => self.notify(instance, event),
        };
        if let Err(error) = result {
            self.actions.clear();
            self.append(&fatal_line(instance, &error.to_string()))?;
        }
        let actions = std::mem::take(&mut self.actions);
        for action in &actions {
            self.append(&action_line(instance, action))?;
        }
        self.actions = actions;
        Ok(())
    }

    fn launch(&mut self, instance: &Arc<str>, seed: u64, settings: Settings) -> Result<(), InstanceError> {
        let scheduler = catch_unwind(|| Scheduler::new(settings, seed)).map_err(panic_reason)??;
        self.instances.insert(instance.clone(), scheduler);
        Ok(())
    }

    /// Passes an event to an instance, or ignores it if the instance isn't running.
    fn notify(&mut self, instance: &Arc<str>, event: Event) -> Result<(), InstanceError> {
        let Some(scheduler) = self.instances.get_mut(instance) else { return Ok(()) };
        let (now, actions) = (self.now, &mut self.actions);
        catch_unwind(AssertUnwindSafe(|| scheduler.handle(now, event, actions))).map_err(panic_reason)
    }

    fn append(&mut self, line: &Value) -> Result<(), WireError> {
        serde_json::to_writer(&mut self.reply, line).map_err(io::Error::from)?;
        self.reply.push(b'\n');
        Ok(())
    }
}

/// The message of a panic.
fn panic_reason(panic: Box<dyn Any + Send>) -> InstanceError {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    InstanceError::Panic(text.unwrap_or_else(|| "panic".into()))
}
