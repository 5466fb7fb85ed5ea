//! The replicated state.
use crate::facts::FactStore;
use crate::grant::Grant;
use crate::member_status::MemberStatus;
use crate::recovery::Recovery;
use crate::request::MaintenanceRequest;
use crate::rules::Rules;
use cluster_types::{BackendId, Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The maintenance phase of a backend that is not in service. Stored: the variants keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MaintenancePhase {
    /// Out of service under a grant.
    Granted(Index),
    /// Returning to full load in stages.
    Recovering(Recovery),
}

/// The replicated state: the same on all members at the same log index. It is stored whole as its snapshot.
///
/// Stored: the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceState {
    pub(crate) rules: Rules,
    pub(crate) applied: Index,
    /// The latest time of any entry: it never decreases.
    pub(crate) log_time_ms: u64,
    pub(crate) requests: BTreeMap<String, MaintenanceRequest>,
    /// Requests that have ended, the oldest first.
    pub(crate) ended_requests: VecDeque<(String, MaintenanceRequest)>,
    pub(crate) grants: BTreeMap<Index, Grant>,
    pub(crate) phases: BTreeMap<BackendId, MaintenancePhase>,
    pub(crate) facts: FactStore,
    pub(crate) members: BTreeMap<MemberId, MemberStatus>,
    pub(crate) rejected_commands: u64,
}

impl MaintenanceState {
    /// An empty state. All members must start with the same rules.
    pub fn new(rules: Rules) -> MaintenanceState {
        MaintenanceState { rules, ..MaintenanceState::default() }
    }

    /// The index of the last log entry that was applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// How many commands were rejected.
    pub fn rejected_commands(&self) -> u64 {
        self.rejected_commands
    }

    /// The current rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// A request by its name, open or ended.
    pub fn request(&self, name: &str) -> Option<&MaintenanceRequest> {
        let ended = || self.ended_requests.iter().rev().find(|(ended, _)| ended == name);
        self.requests.get(name).or_else(|| ended().map(|(_, request)| request))
    }

    /// The open requests, the longest-waiting first.
    pub fn open_requests(&self) -> Vec<(&str, &MaintenanceRequest)> {
        let mut requests: Vec<_> = self.requests.iter().map(|(name, open)| (name.as_str(), open)).collect();
        requests.sort_by_key(|(_, request)| request.index);
        requests
    }

    /// A grant that has not ended, by its log index.
    pub fn grant(&self, index: Index) -> Option<&Grant> {
        self.grants.get(&index)
    }

    /// All grants that have not ended, by their log indices.
    pub fn grants(&self) -> impl Iterator<Item = (Index, &Grant)> {
        self.grants.iter().map(|(index, grant)| (*index, grant))
    }

    /// The backends that are recovering.
    pub fn recoveries(&self) -> impl Iterator<Item = (&BackendId, &Recovery)> {
        self.phases.iter().filter_map(|(backend, phase)| match phase {
            MaintenancePhase::Recovering(recovery) => Some((backend, recovery)),
            MaintenancePhase::Granted(_) => None,
        })
    }

    /// The members that are running, by their own reports.
    pub fn present_members(&self) -> impl Iterator<Item = &MemberId> {
        self.members.iter().filter(|(_, status)| status.is_present()).map(|(member, _)| member)
    }

    /// Whether a member is running, by its own report.
    pub fn is_present(&self, member: &MemberId) -> bool {
        self.members.get(member).is_some_and(MemberStatus::is_present)
    }

    /// The status of a member; `None` for one that has never reported or was removed.
    pub fn member_status(&self, member: &MemberId) -> Option<MemberStatus> {
        self.members.get(member).copied()
    }

    /// Whether some request waits for a grant.
    pub(crate) fn has_waiting_request(&self) -> bool {
        self.requests.values().any(MaintenanceRequest::is_waiting)
    }
}
