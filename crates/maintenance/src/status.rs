//! The status of a request.
use crate::rejection::Rejection;
use crate::request::{BackendOutcome, MaintenanceRequest};
use cluster_types::{Index, MemberId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The status of a request: the outcomes so far and what it waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestStatus {
    /// The name of the request.
    pub name: String,
    /// What was requested, and the outcome for each backend.
    pub request: MaintenanceRequest,
    /// For each grant of the request that is still draining, the members that have not reported.
    pub undrained_members: BTreeMap<Index, BTreeSet<MemberId>>,
    /// Why the first waiting batch that can't be granted now is not granted.
    pub waiting_reason: Option<Rejection>,
}

impl fmt::Display for RequestStatus {
    /// Writes the status in one line, in the text of the operator interface.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "wish {}:", self.name)?;
        for (backend, outcome) in &self.request.backends {
            match outcome {
                BackendOutcome::Waiting => write!(f, " {backend} waits")?,
                BackendOutcome::Granted(grant) => match self.undrained_members.get(grant) {
                    None => write!(f, " {backend} is out, open it")?,
                    Some(members) => {
                        write!(f, " {backend} drains, not yet at")?;
                        members.iter().try_for_each(|member| write!(f, " {member}"))?;
                    }
                },
                BackendOutcome::Returned => write!(f, " {backend} is back")?,
                BackendOutcome::DeadlineMissed => write!(f, " {backend} missed its time")?,
                BackendOutcome::Withdrawn => write!(f, " {backend} was withdrawn")?,
                BackendOutcome::Unlisted => write!(f, " {backend} is no longer listed")?,
            }
            f.write_str(",")?;
        }
        match &self.waiting_reason {
            Some(reason) => write!(f, " because {reason}"),
            None if self.request.is_open() => f.write_str(" in time"),
            None => f.write_str(" ended"),
        }
    }
}
