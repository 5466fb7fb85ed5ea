//! The possible next events.
use super::world::*;
use cluster_types::Time;
use resharding::*;

/// A time step after which all leases have expired.
const EXPIRATION_US: u64 = 130_000;
/// A member renews its lease when it ends within this time.
const RENEWAL_US: u64 = 50_000;

impl World {
    /// Returns the world after each possible next event. Adds the violations that these events reveal.
    pub fn successors(&self, violations: &mut Vec<String>) -> Vec<World> {
        let mut successors = Vec::new();
        let is_in_flight = self.writes.iter().any(|write| write.stage != Stage::Stalled)
            || self.copies.iter().any(|copy| copy.stage != Stage::Stalled);
        if self.remaining.expirations > 0 && !is_in_flight {
            successors.push(self.after(World::expire_leases));
        }
        for number in (0..MEMBER_COUNT).filter(|number| !self.is_stalled(*number)) {
            self.add_member_events(number, &mut successors);
        }
        for position in 0..self.writes.len() {
            successors.push(self.after(|world| violations.extend(world.advance_write(position).err())));
        }
        for (position, copy) in self.copies.iter().enumerate() {
            successors.push(self.after(|world| violations.extend(world.finish_copy(position).err())));
            let may_stall = copy.stage == Stage::Sent && copy.task.operation == CopyOperation::Write;
            if self.remaining.stalls > 0 && may_stall {
                successors.push(self.after(|world| {
                    world.remaining.stalls -= 1;
                    world.copies[position].stage = Stage::Stalled;
                }));
            }
        }
        successors
    }

    fn after(&self, event: impl FnOnce(&mut World)) -> World {
        let mut world = self.clone();
        event(&mut world);
        world
    }

    fn add_member_events(&self, number: usize, successors: &mut Vec<World>) {
        successors.push(self.after(|world| world.apply(number)));
        if self.members[number].agent.fence.lease_end() < Time(self.now + RENEWAL_US) {
            successors.push(self.after(|world| world.request_lease(number)));
        }
        if self.write_count as usize == number && self.write_count < self.max_writes {
            for stage in [Stage::Sent, Stage::Stalled] {
                successors.push(self.after(|world| world.begin_write(number, stage)));
            }
        }
        if self.remaining.kills > 0 {
            successors.push(self.after(|world| world.kill(number)));
        }
    }

    fn expire_leases(&mut self) {
        self.remaining.expirations -= 1;
        self.now += EXPIRATION_US;
        self.run_leader();
    }

    fn begin_write(&mut self, number: usize, stage: Stage) {
        if stage == Stage::Stalled && self.remaining.stalls == 0 {
            return;
        }
        let permission = self.members[number].agent.permit(Time(self.now), &volume(), BLOCK, true);
        let Permission::Granted { parts, ticket, .. } = permission else { return };
        self.remaining.stalls -= u8::from(stage == Stage::Stalled);
        self.write_count += 1;
        self.answered_before[self.write_count as usize] = self.answered;
        let part = parts[0].clone();
        self.writes.push(PendingWrite { member: number, value: self.write_count, ticket, part, stage });
    }

    /// Kills a member and starts it again without its state.
    fn kill(&mut self, number: usize) {
        self.remaining.kills -= 1;
        self.writes.retain(|write| write.member != number || write.stage == Stage::Sent);
        self.copies.retain(|copy| copy.member != number || copy.stage == Stage::Sent);
        let incarnation = self.members[number].incarnation + 1;
        self.members[number] = new_member(number, incarnation, self.now);
        self.append(number, Command::Join { incarnation });
    }
}
