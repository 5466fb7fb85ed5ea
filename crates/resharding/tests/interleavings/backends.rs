//! The events at the backends and the invariants of reads.
use super::world::*;
use cluster_types::{Index, Time};
use resharding::*;

impl World {
    /// The epoch of the target placement, once some member may use it without a lease.
    fn released_epoch(&self) -> Option<Index> {
        self.members.iter().find_map(|member| match member.state.migrations.values().next()?.phase {
            Phase::Release { epoch } => Some(epoch),
            _ => None,
        })
    }

    /// Advances a write to its next stage.
    pub fn advance_write(&mut self, position: usize) -> Result<(), String> {
        let PendingWrite { member, value, ticket, part, stage } = self.writes[position].clone();
        match stage {
            Stage::Stalled => {}
            Stage::Sent => {
                if self.released_epoch().is_some_and(|released| part.epoch < released) {
                    return Err(format!("write {value} ran at the old place after the new one was released"));
                }
            }
            Stage::Executed => {
                self.writes.remove(position);
                let result = CommandResult::Completed;
                let reply = self.members[member].agent.finish(ticket, Time(self.now), result);
                if reply == Reply::AsAnswered {
                    self.answered |= 1 << value;
                }
                return Ok(());
            }
        }
        self.writes[position].stage = Stage::Executed;
        self.backends.insert(part.backend, value);
        Ok(())
    }

    pub fn finish_copy(&mut self, position: usize) -> Result<(), String> {
        let now = Time(self.now);
        let PendingCopy { member, task, .. } = self.copies.remove(position);
        let chunk = (member, task.assignment, task.token);
        let is_read = task.operation == CopyOperation::Read;
        if is_read {
            self.copied_values.insert(chunk, self.backends[&task.backend]);
        } else {
            // Refills the copy budget for the next chunk.
            self.now += 1;
            let value = self.copied_values.remove(&chunk).unwrap_or(0);
            self.backends.insert(task.backend.clone(), value);
        }
        self.members[member].agent.finish_copy(&task, now, CopyResult::Done);
        match self.released_epoch() {
            Some(_) if !is_read => Err("a late copy overwrote the new place".into()),
            _ => Ok(()),
        }
    }

    /// Whether a block with this value lacks an answered write.
    fn is_stale(&self, value: u8) -> bool {
        (1..3u8).any(|write| {
            let is_older = value == 0 || self.answered_before[write as usize] & (1 << value) != 0;
            self.answered & (1 << write) != 0 && is_older
        })
    }

    /// Checks that no member would read a value that lacks an answered write.
    pub fn check_reads(&self) -> Result<(), String> {
        for number in (0..MEMBER_COUNT).filter(|number| !self.is_stalled(*number)) {
            let mut agent = self.members[number].agent.clone();
            let read = agent.permit(Time(self.now), &volume(), BLOCK, false);
            let Permission::Granted { parts, is_caught_up: true, .. } = read else { continue };
            let Some(part) = parts.first() else { continue };
            let value = self.backends[&part.backend];
            if value == UNINITIALIZED || self.is_stale(value) {
                return Err(format!("f{number} would read {value} on {}", part.backend));
            }
        }
        Ok(())
    }
}
