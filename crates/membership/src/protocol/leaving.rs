//! Leaving the group.
use super::Membership;
use crate::event::Action;
use crate::leave_announcement::LeaveAnnouncement;
use crate::member::MemberState;
use crate::outgoing::Outgoing;
use crate::wire::Message;

/// The number of members to which each announcement is sent.
const ANNOUNCEMENT_FANOUT: usize = 5;

impl Membership {
    /// Starts to leave the group: announces it to other members a few times, then sends nothing more.
    pub(super) fn start_leaving(&mut self) {
        if self.leave.is_some() {
            return;
        }
        self.me.state = MemberState::Left;
        self.probe = None;
        self.deferred.clear();
        self.leave = Some(LeaveAnnouncement::new(self.now));
        let (member, incarnation) = (self.me.member.clone(), self.me.incarnation());
        self.actions.push(Action::MemberChanged { member, state: MemberState::Left, incarnation });
    }

    /// Sends the announcement if it is due.
    pub(super) fn announce_leave(&mut self) {
        if !self.leave.as_mut().is_some_and(|leave| leave.take_due(self.now)) {
            return;
        }
        for member in self.random_live_members(ANNOUNCEMENT_FANOUT, None) {
            self.send(Outgoing::new(&member, Message::Leave));
        }
    }

    /// Whether all announcements were sent, so that the process may stop.
    pub fn has_left(&self) -> bool {
        self.leave.as_ref().is_some_and(LeaveAnnouncement::is_finished)
    }
}
