//! Carrying out members' actions and scheduled faults, and the checks after all faults.
use crate::schedule::FaultKind;
use crate::world::{Step, World, RECOVERY_TIMEOUT_MS};
use cluster_types::MemberId;
use consensus::{Action, Event, Message, Role, StoredState};
use rand::Rng;

impl World<'_> {
    /// Sends a message over the simulated network, which may lose, duplicate or delay it.
    fn send(&mut self, host: usize, to: &MemberId, message: &Message) -> Result<(), String> {
        let sender = &self.hosts[host];
        let to = sender.config.members.iter().position(|m| m == to).ok_or("message to an unknown member")?;
        let incarnation = sender.stored.incarnation;
        if self.cut_links.get(&(host, to)).is_some_and(|cut| *cut > 0) {
            return Ok(());
        }
        let (loss_percent, duplicate_percent, max_delay_ms) = self.network_quality;
        let copies = usize::from(!self.rng.random_ratio(loss_percent, 100))
            + usize::from(self.rng.random_ratio(duplicate_percent, 100));
        for _ in 0..copies {
            let (message, at) = (message.clone(), self.rng.random_range(100..max_delay_ms * 1000));
            self.schedule_in_us(at, Step::Deliver { from: host, incarnation, to, message });
        }
        Ok(())
    }

    pub fn carry_out(&mut self, host: usize, action: Action) -> Result<(), String> {
        let target = &mut self.hosts[host];
        match action {
            Action::Send { to, message } => self.send(host, &to, &message)?,
            Action::Persist(batch) => {
                self.check.check_written(&mut target.projected, &batch)?;
                target.write_queue.push_back(batch);
                if target.write_queue.len() == 1 {
                    self.next_write(host);
                }
            }
            Action::Apply { index, term, data } => self.check.check_apply(target, index.0, term, &data)?,
            Action::Restore { index, data } => {
                self.report.restores += 1;
                self.check.check_restore(target, index.0, &data)?;
            }
            Action::Committed { ticket, index } => {
                self.report.commits += 1;
                self.check.check_acknowledged(ticket, index.0)?;
            }
            Action::Readable { ticket, index } => {
                self.report.reads += 1;
                let min_index =
                    self.pending_reads.remove(&ticket).ok_or("read barrier was answered twice")?;
                if index.0 < min_index || target.applied_index < min_index {
                    return Err(format!(
                        "read sees index {} although {min_index} had been applied before it",
                        index.0
                    ));
                }
            }
            Action::Rejected { ticket, .. } => {
                self.pending_reads.remove(&ticket);
            }
            Action::RoleChanged { role, term, .. } => {
                self.report.elections += u64::from(role == Role::Leader);
                self.check.check_role(host, role, term, &target.projected)?;
            }
            Action::SnapshotRequested { .. } if self.rng.random_bool(0.7) => {
                let mut data = target.state_digest.to_le_bytes().to_vec();
                data.resize(8 + self.rng.random_range(0..200), 1);
                let last =
                    target.node.as_ref().map(|n| n.commit_index()).ok_or("action of a stopped node")?;
                self.handle_event(host, Event::SnapshotTaken { last_index: last, data: data.into() })?;
            }
            Action::SnapshotRequested { .. } => {}
        }
        Ok(())
    }

    fn cut_link(&mut self, from: usize, to: usize, duration_ms: u64) {
        *self.cut_links.entry((from, to)).or_default() += 1;
        self.schedule_in_ms(duration_ms, Step::RestoreLink { from, to });
    }

    pub fn kill(&mut self, host: usize, down_ms: u64, loses_disk: bool, written: usize) {
        if self.hosts[host].node.is_none() {
            return;
        }
        self.hosts[host].kill(written);
        let members = self.hosts.len();
        let max_lost = self.schedule.limits.max_lost_disks.unwrap_or(members - members / 2 - 1);
        let lost_others = self.lost_disks.iter().filter(|l| **l != host).count();
        if loses_disk && lost_others < max_lost {
            self.lost_disks.insert(host);
            self.last_incarnation += 1;
            self.hosts[host].stored = StoredState::empty(self.last_incarnation);
            self.report.lost_disks += 1;
        }
        self.schedule_in_ms(down_ms, Step::Start(host));
    }

    pub fn apply_fault(&mut self, kind: &FaultKind) -> Result<(), String> {
        let all = 0..self.hosts.len();
        match *kind {
            FaultKind::Cut { from, to, duration_ms } => self.cut_link(from, to, duration_ms),
            FaultKind::Isolate { host, duration_ms } => all.for_each(|other| {
                self.cut_link(host, other, duration_ms);
                self.cut_link(other, host, duration_ms);
            }),
            FaultKind::OneWay { host, is_receiving_cut, duration_ms } => all.for_each(|other| {
                let (from, to) = if is_receiving_cut { (other, host) } else { (host, other) };
                self.cut_link(from, to, duration_ms);
            }),
            FaultKind::Pause { host, duration_ms } if self.hosts[host].paused_until_us <= self.now_us => {
                self.hosts[host].paused_until_us = self.now_us + duration_ms * 1000;
                self.schedule_in_ms(duration_ms, Step::Resume(host));
            }
            FaultKind::Kill { host, down_ms, loses_disk, written } => {
                self.kill(host, down_ms, loses_disk, written)
            }
            FaultKind::KillOnNextWrite { host, down_ms, loses_disk } => {
                self.hosts[host].kill_on_next_write = Some((down_ms, loses_disk))
            }
            FaultKind::DiskFailure { host, duration_ms, written } if self.hosts[host].node.is_some() => {
                self.hosts[host].disk_failure = Some(written);
                let start = self.hosts[host].start_count;
                self.schedule_in_ms(duration_ms, Step::DiskFaultEnds { host, start });
            }
            FaultKind::SlowDisk { host, duration_ms, write_duration_ms }
                if self.hosts[host].node.is_some() =>
            {
                self.hosts[host].write_duration_us = write_duration_ms * 1000;
                let start = self.hosts[host].start_count;
                self.schedule_in_ms(duration_ms, Step::DiskFaultEnds { host, start });
            }
            FaultKind::Network { loss_percent, duplicate_percent, max_delay_ms, duration_ms } => {
                self.network_quality = (loss_percent, duplicate_percent, max_delay_ms);
                self.schedule_in_ms(duration_ms, Step::NetworkFaultEnds);
            }
            FaultKind::Pause { .. } | FaultKind::DiskFailure { .. } | FaultKind::SlowDisk { .. } => {}
        }
        Ok(())
    }

    /// Checks, after all faults, that proposals are committed again and all members have caught up. If a majority of disks was
    /// lost, records whether commits have stopped.
    pub fn check_recovered(&mut self, before: usize) -> Result<(), String> {
        let after = self.check.acknowledged.len();
        if self.lost_disks.len() > self.hosts.len() - self.hosts.len() / 2 - 1 {
            self.report.stuck = u64::from(after == before);
            return Ok(());
        }
        if after < before + 20 {
            return Err(format!(
                "no progress within {RECOVERY_TIMEOUT_MS} ms after all faults: {before} acknowledged, then {after}"
            ));
        }
        let latest = self.check.acknowledged.keys().next_back().copied().unwrap_or(0);
        for host in &self.hosts {
            let admitted = host.is_admitted(self.now_us);
            // The latest entries may still be in flight.
            if host.applied_index + 20 < latest || !admitted {
                let member = &host.config.own_id;
                return Err(format!(
                    "{member} has applied only {} of {latest}, admitted: {admitted}",
                    host.applied_index
                ));
            }
        }
        Ok(())
    }
}
