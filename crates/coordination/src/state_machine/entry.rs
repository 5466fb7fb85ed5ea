//! The entries of the replicated log. Part of the stored format: the order of variants and fields is fixed.
use cluster_types::MemberId;
use config_distribution::WriteBatch;
use serde::{Deserialize, Serialize};

/// A command of the replicated state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A command of planned maintenance.
    Maintenance(maintenance::Command),
    /// Creates the catalogue of configuration changes, unless there is one.
    CreateCatalogue,
    /// Configuration changes submitted by an operator.
    ChangeConfig(WriteBatch),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The leader's Unix time in milliseconds.
    pub at_ms: u64,
    /// The member that sent the command.
    pub by: MemberId,
    /// The id that this member gave the command; 0 if it does not wait for the outcome.
    pub ticket: u64,
    /// The command.
    pub command: Command,
}
