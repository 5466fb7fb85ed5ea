//! Kills, restarts and stalls members.
use super::*;

impl Simulation {
    pub fn kill(&mut self, number: usize) {
        let member = &mut self.members[number];
        member.is_running = false;
        member.stalled_until = 0;
        member.clients.clear();
        let incarnation = member.incarnation;
        self.messages.retain(|_, message| !message.is_unsent_by(number, incarnation));
        self.count("kills");
    }

    pub fn restart(&mut self, number: usize, keeps_state: bool) {
        let now = self.local_time(number);
        let member = &mut self.members[number];
        member.incarnation += 1;
        if !keeps_state {
            member.state = ReshardingState::new();
        }
        member.agent = new_agent(&member.name, member.incarnation, &member.state, now);
        member.copied_values.clear();
        member.is_running = true;
        member.stalled_until = 0;
        let (name, incarnation) = (member.name.clone(), member.incarnation);
        self.append(name, Command::Join { incarnation });
    }

    pub fn stall(&mut self, number: usize, span: u64) {
        let member = &mut self.members[number];
        member.stalled_until = member.stalled_until.max(self.now + span);
    }
}
