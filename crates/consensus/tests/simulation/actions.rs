//! Carrying out a member's actions and the faults of a schedule, and what must hold at the end.
use crate::schedule::Kind;
use crate::world::{Step, World, QUIET_MS};
use cluster_types::MemberId;
use consensus::{Action, Event, Message, Role, StoredState};
use rand::Rng;

impl World<'_> {
    /// Sends a message over the simulated network, which loses, repeats and delays.
    fn send(&mut self, host: usize, to: &MemberId, message: &Message) -> Result<(), String> {
        let sender = &self.hosts[host];
        let to = sender.config.members.iter().position(|m| m == to).ok_or("a message to nobody")?;
        let incarnation = sender.stored.incarnation;
        if self.cuts.get(&(host, to)).is_some_and(|cut| *cut > 0) {
            return Ok(());
        }
        let (lose, twice, late) = self.net;
        let copies =
            usize::from(!self.rng.random_ratio(lose, 100)) + usize::from(self.rng.random_ratio(twice, 100));
        for _ in 0..copies {
            let (message, at) = (message.clone(), self.rng.random_range(100..late * 1000));
            self.plan_us(at, Step::Packet { from: host, incarnation, to, message });
        }
        Ok(())
    }

    pub fn act(&mut self, host: usize, action: Action) -> Result<(), String> {
        let there = &mut self.hosts[host];
        match action {
            Action::Send { to, message } => self.send(host, &to, &message)?,
            Action::Persist(batch) => {
                self.check.written(&mut there.image, &batch)?;
                there.queue.push_back(batch);
                if there.queue.len() == 1 {
                    self.next_write(host);
                }
            }
            Action::Apply { index, term, data } => self.check.apply(there, index.0, term, &data)?,
            Action::Restore { index, data } => {
                self.report.restores += 1;
                self.check.restore(there, index.0, &data)?;
            }
            Action::Committed { ticket, index } => {
                self.report.commits += 1;
                self.check.committed(ticket, index.0)?;
            }
            Action::Readable { ticket, index } => {
                self.report.reads += 1;
                let due = self.reads.remove(&ticket).ok_or("a read is answered twice")?;
                if index.0 < due || there.applied < due {
                    return Err(format!("a read sees {} though {due} was applied before it", index.0));
                }
            }
            Action::Rejected { ticket, .. } => {
                self.reads.remove(&ticket);
            }
            Action::RoleChanged { role, term, .. } => {
                self.report.elections += u64::from(role == Role::Leader);
                self.check.role(host, role, term, &there.image)?;
            }
            Action::SnapshotRequested { .. } if self.rng.random_bool(0.7) => {
                let mut data = there.digest.to_le_bytes().to_vec();
                data.resize(8 + self.rng.random_range(0..200), 1);
                let upto = there.node.as_ref().map(|n| n.commit_index()).ok_or("no node")?;
                self.give(host, Event::SnapshotTaken { last_index: upto, data: data.into() })?;
            }
            Action::SnapshotRequested { .. } => {}
        }
        Ok(())
    }

    fn cut(&mut self, from: usize, to: usize, for_ms: u64) {
        *self.cuts.entry((from, to)).or_default() += 1;
        self.plan(for_ms, Step::Mend { from, to });
    }

    pub fn kill(&mut self, host: usize, down_ms: u64, lose: bool, written: usize) {
        if self.hosts[host].node.is_none() {
            return;
        }
        self.hosts[host].kill(written);
        let members = self.hosts.len();
        let most = self.schedule.limits.disks.unwrap_or(members - members / 2 - 1);
        let others = self.lost.iter().filter(|l| **l != host).count();
        if lose && others < most {
            self.lost.insert(host);
            self.incarnations += 1;
            self.hosts[host].stored = StoredState::empty(self.incarnations);
            self.report.lost_disks += 1;
        }
        self.plan(down_ms, Step::Start(host));
    }

    pub fn fault(&mut self, kind: &Kind) -> Result<(), String> {
        let all = 0..self.hosts.len();
        match *kind {
            Kind::Cut { from, to, for_ms } => self.cut(from, to, for_ms),
            Kind::Isolate { host, for_ms } => all.for_each(|other| {
                self.cut(host, other, for_ms);
                self.cut(other, host, for_ms);
            }),
            Kind::OneWay { host, is_receiving_cut, for_ms } => all.for_each(|other| {
                let (from, to) = if is_receiving_cut { (other, host) } else { (host, other) };
                self.cut(from, to, for_ms);
            }),
            Kind::Pause { host, for_ms } if self.hosts[host].paused_until <= self.now => {
                self.hosts[host].paused_until = self.now + for_ms * 1000;
                self.plan(for_ms, Step::Resume(host));
            }
            Kind::Kill { host, down_ms, lose, written } => self.kill(host, down_ms, lose, written),
            Kind::KillWriting { host, down_ms, lose } => self.hosts[host].armed = Some((down_ms, lose)),
            Kind::DiskFail { host, for_ms, written } if self.hosts[host].node.is_some() => {
                self.hosts[host].failing = Some(written);
                let start = self.hosts[host].start_count;
                self.plan(for_ms, Step::DiskEnds { host, start });
            }
            Kind::DiskSlow { host, for_ms, takes_ms } if self.hosts[host].node.is_some() => {
                self.hosts[host].takes_us = takes_ms * 1000;
                let start = self.hosts[host].start_count;
                self.plan(for_ms, Step::DiskEnds { host, start });
            }
            Kind::Net { lose, twice, late_ms, for_ms } => {
                self.net = (lose, twice, late_ms);
                self.plan(for_ms, Step::NetEnds);
            }
            Kind::Pause { .. } | Kind::DiskFail { .. } | Kind::DiskSlow { .. } => {}
        }
        Ok(())
    }

    /// Checks, after all faults, that proposals are committed again and all members have all; or, without a majority of disks, that
    /// nothing is committed.
    pub fn settled(&mut self, before: usize) -> Result<(), String> {
        let after = self.check.acked.len();
        if self.lost.len() > self.hosts.len() - self.hosts.len() / 2 - 1 {
            self.report.stuck = u64::from(after == before);
            return Ok(());
        }
        if after < before + 20 {
            return Err(format!(
                "no progress within {QUIET_MS} ms after all faults: {before} acknowledged, then {after}"
            ));
        }
        let latest = self.check.acked.keys().next_back().copied().unwrap_or(0);
        for host in &self.hosts {
            let admitted = host.is_admitted(self.now);
            // The last entries may still be in flight.
            if host.applied + 20 < latest || !admitted {
                let me = &host.config.me;
                return Err(format!(
                    "{me} is left behind at {} of {latest}, admitted: {admitted}",
                    host.applied
                ));
            }
        }
        Ok(())
    }
}
