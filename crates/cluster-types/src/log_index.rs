//! Positions in the replicated log.
use serde::{Deserialize, Serialize};

/// The position of a command in the replicated log. It orders all commands, and serves as a fencing token: an action
/// based on a lower position than the latest known one is rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Index(pub u64);
