//! Members whose disk was lost are admitted again.
use crate::message::Payload;
use crate::node::Node;
use cluster_types::MemberId;

impl Node {
    /// Proposes to admit a follower's new life once it has all that is committed. The entry can't be committed by the
    /// follower's own word: its life counts only where it is admitted, and it gives its word only once it knows that
    /// the entry is committed.
    pub(crate) fn readmit(&mut self, from: &MemberId) {
        let Some(progress) = self.lead.progress.get(from) else { return };
        let Some(life) = progress.life else { return };
        let lost = self.log.lives().get(from).is_some_and(|admitted| *admitted != life);
        if lost && self.settled() && progress.matched >= self.commit && self.may_write() {
            self.append(Payload::Readmit { member: from.clone(), life });
            self.feed_all();
        }
    }
}
