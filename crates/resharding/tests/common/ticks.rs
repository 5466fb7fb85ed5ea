//! The ticks of a simulation: the actions of the leader and of each member.
use super::*;

const TICK: u64 = 4_000;
/// How long a leader that is cut off may still consider itself the leader, in microseconds.
const LEADER_LEASE: u64 = 100_000;
/// The number of ticks between two lease requests of a member.
const TICKS_PER_LEASE: u64 = 10;
/// The rate of each backend beyond reservations, in units per second.
const SPARE_RATE: u64 = 2_000;

impl Simulation {
    /// Applies the next entry at a member.
    fn apply(&mut self, number: usize) {
        let member = &mut self.members[number];
        let position = member.state.applied.0 as usize;
        let LogEntry { time_ms, issuer, command } = &self.log[position];
        for effect in member.state.apply(Index(position as u64 + 1), *time_ms, issuer, command) {
            let Effect::PhaseChanged { migration, .. } = effect else { continue };
            let Some(migration) = member.state.migrations.get(&migration) else { continue };
            if let Phase::Release { epoch } = migration.phase {
                for block in migration.range.blocks.first..migration.range.blocks.end {
                    let released = self.released_epochs.entry(block).or_default();
                    *released = epoch.max(*released);
                }
            }
        }
        member.agent.update(Arc::new(member.state.clone()));
    }

    fn has_unapplied_entries(&self, number: usize) -> bool {
        (self.members[number].state.applied.0 as usize) < self.log.len()
    }

    fn run_leader(&mut self) {
        let quorum = self.members.len() / 2 + 1;
        let connected: Vec<usize> =
            (0..self.members.len()).filter(|number| self.is_connected(*number)).collect();
        match self.leader {
            Some(leader) if connected.contains(&leader) && connected.len() >= quorum => {
                self.leader_until = self.now + LEADER_LEASE;
                self.propose(leader);
            }
            Some(_) if self.now <= self.leader_until => {}
            _ if connected.len() >= quorum => {
                let leader = connected[self.rng.random_range(0..connected.len())];
                while self.has_unapplied_entries(leader) {
                    self.apply(leader);
                }
                self.leader_state.begin_term(self.local_time(leader));
                (self.leader, self.leader_until) = (Some(leader), self.now + LEADER_LEASE);
                self.count("leader changes");
            }
            _ => self.leader = None,
        }
    }

    fn propose(&mut self, leader: usize) {
        let view = LeaderView { failed: self.failed_backends.clone() };
        let now = self.local_time(leader);
        for command in self.leader_state.propose(now, &self.members[leader].state, &view) {
            if !self.rng.random_bool(self.loss) {
                self.append(self.members[leader].name.clone(), command);
            }
        }
    }

    /// Runs one tick of the leader, the messages, the members and their clients.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.run_leader();
        for number in 0..self.members.len() {
            if self.is_connected(number) && self.members[number].next_apply <= self.now {
                let applied = self.members[number].state.applied.0 as usize;
                let up_to = (self.rng.random_range(0..8) + applied).min(self.log.len());
                while (self.members[number].state.applied.0 as usize) < up_to {
                    self.apply(number);
                }
                self.members[number].next_apply = self.now + self.rng.random_range(0..12_000);
            }
        }
        while let Some(entry) = self.messages.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let message = entry.remove();
            self.deliver(message);
        }
        for number in 0..self.members.len() {
            if self.is_active(number) {
                self.run_agent(number);
                self.serve_clients(number);
            }
        }
    }

    /// Runs one tick of a member: it requests its lease, sends reports and copies.
    fn run_agent(&mut self, number: usize) {
        let now = self.local_time(number);
        let member = &mut self.members[number];
        let output = member.agent.step(now, &|_| SPARE_RATE);
        let sender = Sender { number, incarnation: member.incarnation };
        let applied = member.state.applied;
        if (self.now / TICK + number as u64).is_multiple_of(TICKS_PER_LEASE) {
            self.send_unreliably(Message::RequestLease { sender, requested_at: now, applied });
        }
        for command in output.commands {
            self.send_unreliably(Message::Propose { from: number, command });
        }
        for task in output.tasks {
            self.send_copy(number, task);
        }
    }
}
