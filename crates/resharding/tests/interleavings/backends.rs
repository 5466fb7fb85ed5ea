//! What happens at the backends, and what must hold there.
use super::world::*;
use cluster_types::{Index, Time};
use resharding::*;

impl World {
    /// The epoch of the new place, once some member may use it freely.
    fn released_epoch(&self) -> Option<Index> {
        self.members.iter().find_map(|member| match member.state.migrations.values().next()?.phase {
            Phase::Release { epoch } => Some(epoch),
            _ => None,
        })
    }

    /// Takes a write to its next stage.
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
        let PendingCopy { member, order, .. } = self.copies.remove(position);
        let chunk = (member, order.assignment, order.token);
        let is_read = order.work == CopyWork::Read;
        if is_read {
            self.copied_values.insert(chunk, self.backends[&order.backend]);
        } else {
            // Pays for the next chunk.
            self.now += 1;
            let value = self.copied_values.remove(&chunk).unwrap_or(0);
            self.backends.insert(order.backend.clone(), value);
        }
        self.members[member].agent.finish_copy(&order, now, CopyResult::Done);
        match self.released_epoch() {
            Some(_) if !is_read => Err("a late copy overwrote the new place".into()),
            _ => Ok(()),
        }
    }

    /// Whether an answered write is missing where this value was found.
    fn is_stale(&self, value: u8) -> bool {
        (1..3u8).any(|write| {
            let is_older = value == 0 || self.answered_before[write as usize] & (1 << value) != 0;
            self.answered & (1 << write) != 0 && is_older
        })
    }

    /// Checks that no member would read less than what was answered.
    pub fn check_reads(&self) -> Result<(), String> {
        for number in (0..MEMBERS).filter(|number| !self.is_stalled(*number)) {
            let mut agent = self.members[number].agent.clone();
            let read = agent.permit(Time(self.now), &volume(), BLOCK, false);
            let Permission::Granted { parts, is_caught_up: true, .. } = read else { continue };
            let Some(part) = parts.first() else { continue };
            let value = self.backends[&part.backend];
            if value == GARBAGE || self.is_stale(value) {
                return Err(format!("f{number} would read {value} on {}", part.backend));
            }
        }
        Ok(())
    }
}
