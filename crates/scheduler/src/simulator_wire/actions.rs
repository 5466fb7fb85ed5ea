//! Encodes actions as the simulator reads them.
use super::seconds;
use crate::interface::Action;
use serde_json::{json, Value};

/// Encodes an action of an instance as a line.
pub(super) fn action_line(instance: &str, action: &Action) -> Value {
    match action {
        Action::Send { id, backend, timeout, .. } => {
            let timeout_s = timeout.map(seconds);
            json!({"m": "Transmit", "Who": instance, "Corr": id.0, "Node": &*backend.0, "CapS": timeout_s})
        }
        Action::Reject { id, retry_after } => {
            let retry_after_s = retry_after.map(seconds);
            json!({"m": "SayNo", "Who": instance, "Corr": id.0, "NotBeforeForS": retry_after_s})
        }
        Action::Fail { id } => json!({"m": "GiveUp", "Who": instance, "Corr": id.0}),
        Action::SetTimer { after, token } => {
            json!({"m": "Timer", "Who": instance, "AfterS": seconds(*after), "Token": token})
        }
        Action::Watch => json!({"m": "Watch", "Who": instance, "Enable": true}),
    }
}

/// Encodes the line that reports that an instance has failed.
pub(super) fn fatal_line(instance: &str, reason: &str) -> Value {
    json!({"m": "Fatal", "Who": instance, "Words": reason})
}
