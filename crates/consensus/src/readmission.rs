//! Readmission of members that have lost their disk.
use crate::entry::Payload;
use crate::node::Node;
use cluster_types::MemberId;

impl Node {
    /// Proposes to admit a follower's new incarnation once the follower holds everything that is committed. The follower's own
    /// acknowledgement cannot commit that entry: it sets `counts_for_quorum` only once it knows that the entry is committed.
    pub(crate) fn readmit_if_caught_up(&mut self, from: &MemberId) {
        let Some(progress) = self.leader_state.progress.get(from) else { return };
        let Some(incarnation) = progress.incarnation else { return };
        let admitted = self.log.incarnations().get(from);
        let is_lost = admitted.is_some_and(|admitted| *admitted != incarnation);
        if is_lost
            && self.has_committed_in_term()
            && progress.matched_index >= self.commit_index
            && self.has_write_capacity()
        {
            self.append_entry(Payload::Readmit { member: from.clone(), incarnation });
            self.replicate_to_all();
        }
    }
}
