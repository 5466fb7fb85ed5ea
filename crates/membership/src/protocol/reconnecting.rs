//! Reconnecting to members that are marked as dead.
use super::Membership;
use crate::member::MemberState;
use crate::outgoing::Outgoing;
use crate::pings::PingReason;
use crate::wire::Message;
use cluster_types::MemberId;
use rand::seq::SliceRandom;

/// The number of members contacted at once while no live member is known.
const CONTACTS_WITHOUT_LIVE_MEMBERS: usize = 3;

impl Membership {
    /// Pings a random dead member, or several while no live member is known. Thus the sides of a healed partition merge again,
    /// and a starting member reaches its seeds.
    pub(super) fn reconnect(&mut self) {
        if self.next_reconnect > self.now {
            return;
        }
        let (count, interval) = if self.table.live_count() == 0 {
            (CONTACTS_WITHOUT_LIVE_MEMBERS, self.settings.probe_period)
        } else {
            (1, self.settings.reconnect_interval)
        };
        self.next_reconnect = self.now + interval;
        let dead = self.table.iter().filter(|(_, entry)| entry.record.state == MemberState::Dead);
        let mut dead: Vec<MemberId> = dead.map(|(member, _)| member.clone()).collect();
        let targets = dead.partial_shuffle(&mut self.rng, count).0.to_vec();
        let deadline = self.now + self.settings.probe_period;
        for target in targets {
            if let Some(sequence) = self.pings.start(&target, PingReason::Reconnect, deadline) {
                self.send(Outgoing::new(&target, Message::Ping { sequence }).for_any_incarnation());
            }
        }
    }
}
