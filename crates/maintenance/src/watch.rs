//! For how long a returning box has done well at its stage, as the leader sees it.
use crate::desk::Desk;
use cluster_types::{BackendId, Index, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Spans on the leader's steady clock: a leader that is new, or whose Unix time jumps, waits for a stage's whole time, and
/// never less.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    since: BTreeMap<BackendId, (Index, Time)>,
}

impl Watch {
    /// Nothing has been seen yet. A front that becomes the leader starts with a new one.
    pub fn new() -> Watch {
        Watch::default()
    }

    /// Looks at the desk; `failing` are the boxes at which some front has seen a failure since the last look.
    pub fn look(&mut self, now: Time, desk: &Desk, failing: &BTreeSet<BackendId>) {
        let mut since = BTreeMap::new();
        for (id, returning) in desk.returning() {
            let held =
                self.since.get(id).filter(|(began, _)| *began == returning.began() && !failing.contains(id));
            since.insert(id.clone(), held.copied().unwrap_or((returning.began(), now)));
        }
        self.since = since;
    }

    /// How long each has done well at its stage.
    pub fn well_ms(&self, now: Time) -> BTreeMap<BackendId, u64> {
        let span = |at: Time| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        self.since.iter().map(|(id, (_, at))| (id.clone(), span(*at))).collect()
    }
}
