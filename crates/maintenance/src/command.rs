//! Commands of the replicated log.
use crate::facts::{BackendFacts, VolumeFacts};
use crate::limits;
use crate::quota::Quotas;
use crate::rules::Rules;
use cluster_types::{BackendId, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Whether a member serves, by its own report. Stored and sent: the variants keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It serves. A new incarnation means that it has restarted and that its earlier reports no longer hold.
    Present {
        /// The start of the member's process.
        incarnation: u64,
    },
    /// It has left the cluster and sends nothing to backends any more.
    Left,
}

/// A command of the log. Stored and sent: the variants and their fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the operators' rules.
    SetRules(Rules),
    /// An operator requests maintenance.
    Request {
        /// Identifies the request. Repeated with the same content, the command reports the request's status.
        name: String,
        /// The backends to take out of service.
        backends: BTreeSet<BackendId>,
        /// How long each may be out of service, in milliseconds.
        work_ms: u64,
        /// The Unix time in milliseconds after which nothing of it is granted.
        deadline_ms: Option<u64>,
        /// Whether the backends are granted all at once or not at all.
        all_at_once: bool,
    },
    /// Withdraws a request: waiting backends are dropped, draining ones recover, and open ones stay out until returned.
    Withdraw {
        /// The request.
        name: String,
    },
    /// The leader takes a batch out of service. The command's log index identifies the grant.
    Grant {
        /// The request.
        name: String,
        /// One backend, or all that wait of a request that is granted all at once.
        backends: BTreeSet<BackendId>,
    },
    /// A member has drained all backends of a grant. Counts only from the member itself.
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
    /// The operator has finished work on all backends of a request; those that still wait are dropped.
    Finish {
        /// The request.
        name: String,
    },
    /// The leader assigns quotas of a recovering backend's cold budget.
    SetStage {
        /// The backend.
        backend: BackendId,
        /// The recovery step that this one follows; if another came between, the command is rejected.
        after: Index,
        /// The stage.
        stage: usize,
        /// The members' quotas; a member without one sends nothing.
        quotas: Quotas,
    },
    /// A member keeps to its quota. Counts only from the member itself.
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
        /// The recovery step that it was at.
        step: Index,
    },
    /// What the leader has collected of the members' measurements.
    Observe {
        /// Every member whose measurements are included had applied the log up to here.
        seen: Index,
        /// Whether, with this command, all backends and volumes are known.
        is_complete: bool,
        /// Backends that have changed.
        backends: BTreeMap<BackendId, BackendFacts>,
        /// Volumes that have changed or were measured again; one without backends is forgotten.
        volumes: BTreeMap<Volume, VolumeFacts>,
    },
    /// A member's report on its own presence.
    SetPresence {
        /// The member.
        member: MemberId,
        /// Its presence.
        presence: Presence,
    },
    /// An operator confirms that a member is dead that did not leave: it counts as having left.
    DeclareDead {
        /// The member.
        member: MemberId,
    },
    /// Advances the log's time.
    Tick,
}

/// A short description of a command for the reply to its issuer, such as `withdraw rack-7`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandLabel {
    kind: &'static str,
    subject: String,
}

impl CommandLabel {
    fn new(kind: &'static str, subject: &str) -> CommandLabel {
        CommandLabel { kind, subject: subject.chars().take(limits::NAME_BYTES).collect() }
    }

    /// Describes a log entry that is not applied, whatever its command.
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
    /// The wording of the operators' interface, which its clients parse.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.subject)
    }
}
