//! Commands of the replicated log.
use crate::facts::{BackendFacts, VolumeFacts};
use crate::limits;
use crate::quota::Quotas;
use crate::rules::Rules;
use cluster_types::{BackendId, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Whether a member is running, by its own report. Stored and sent: the variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// The member is running. A new incarnation means that it has restarted and that its earlier reports are void.
    Present {
        /// Identifies the member's process: one that starts later has a higher value.
        incarnation: u64,
    },
    /// The member has left the cluster and no longer sends requests to backends.
    Left,
}

/// A command of the log. Stored and sent: the variants and their fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the rules.
    SetRules(Rules),
    /// An operator requests maintenance.
    Request {
        /// Identifies the request. A repeated command with the same content reports the request's status.
        name: String,
        /// The backends to take out of service.
        backends: BTreeSet<BackendId>,
        /// How long work on each backend may take once it is drained, in milliseconds.
        work_ms: u64,
        /// The Unix time in milliseconds after which no backend of the request is granted.
        deadline_ms: Option<u64>,
        /// Whether the backends are granted all at once or not at all.
        all_at_once: bool,
    },
    /// Withdraws a request: waiting backends are dropped, draining ones recover, and drained ones stay out of service until
    /// they are returned.
    Withdraw {
        /// The request.
        name: String,
    },
    /// The leader takes a batch out of service. The command's log index identifies the grant.
    Grant {
        /// The request.
        name: String,
        /// One backend, or all waiting backends of a request that is granted all at once.
        backends: BTreeSet<BackendId>,
    },
    /// A member has drained all backends of a grant. Only accepted from the member itself.
    ReportDrained {
        /// The grant.
        grant: Index,
        /// The member.
        member: MemberId,
    },
    /// The operator has finished work on one backend of a request.
    ReturnBackend {
        /// The request.
        name: String,
        /// The backend.
        backend: BackendId,
    },
    /// The operator has finished work on all backends of a request; those still waiting are dropped.
    Finish {
        /// The request.
        name: String,
    },
    /// The leader assigns members their quotas of a recovering backend's cold budget.
    SetStage {
        /// The backend.
        backend: BackendId,
        /// The previous recovery step; if it is no longer the latest one, the command is rejected.
        after: Index,
        /// The stage.
        stage: usize,
        /// The members' quotas; a member without one sends no requests to the backend.
        quotas: Quotas,
    },
    /// A member has put its quota into effect. Only accepted from the member itself.
    AcknowledgeStage {
        /// The backend.
        backend: BackendId,
        /// The recovery step.
        step: Index,
        /// The member.
        member: MemberId,
    },
    /// A backend has passed its last recovery stage and is in service again.
    CompleteRecovery {
        /// The backend.
        backend: BackendId,
        /// The latest recovery step.
        step: Index,
    },
    /// Changes that the leader found in the members' measurements.
    Observe {
        /// All members whose measurements are included had applied the log at least up to this index.
        min_applied: Index,
        /// Whether all backends and volumes are known once this command is applied.
        is_complete: bool,
        /// Backends that have changed.
        backends: BTreeMap<BackendId, BackendFacts>,
        /// Volumes that have changed or were measured again; a volume without backends is removed.
        volumes: BTreeMap<Volume, VolumeFacts>,
    },
    /// A member's report on its own presence.
    SetPresence {
        /// The member.
        member: MemberId,
        /// Its presence.
        presence: Presence,
    },
    /// An operator confirms that a member that did not leave is dead: it is treated as having left.
    DeclareDead {
        /// The member.
        member: MemberId,
    },
    /// Advances the log time.
    Tick,
}

/// A short description of a command for the response to its issuer, such as `withdraw rack-7`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandLabel {
    kind: &'static str,
    subject: String,
}

impl CommandLabel {
    fn new(kind: &'static str, subject: &str) -> CommandLabel {
        CommandLabel { kind, subject: subject.chars().take(limits::NAME_BYTES).collect() }
    }

    /// Describes a log entry that is not applied, regardless of its command.
    pub(crate) fn entry(index: Index) -> CommandLabel {
        CommandLabel::new("entry", &index.0.to_string())
    }
}

impl From<&Command> for CommandLabel {
    fn from(command: &Command) -> CommandLabel {
        match command {
            Command::SetRules(_) => CommandLabel::new("rules", ""),
            Command::Request { name, .. } => CommandLabel::new("wish", name),
            Command::Withdraw { name } => CommandLabel::new("withdraw", name),
            Command::Grant { name, .. } => CommandLabel::new("grant", name),
            Command::ReportDrained { member, .. } => CommandLabel::new("drained", &member.0),
            Command::ReturnBackend { name, .. } => CommandLabel::new("returned", name),
            Command::Finish { name } => CommandLabel::new("done", name),
            Command::SetStage { backend, .. } => CommandLabel::new("stage", &backend.0),
            Command::AcknowledgeStage { member, .. } => CommandLabel::new("staged", &member.0),
            Command::CompleteRecovery { backend, .. } => CommandLabel::new("warm", &backend.0),
            Command::Observe { .. } => CommandLabel::new("observe", ""),
            Command::SetPresence { member, .. } => CommandLabel::new("roster", &member.0),
            Command::DeclareDead { member } => CommandLabel::new("excuse", &member.0),
            Command::Tick => CommandLabel::new("tick", ""),
        }
    }
}

impl fmt::Display for CommandLabel {
    /// Writes the text of the operator interface, which its clients parse.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.subject)
    }
}
