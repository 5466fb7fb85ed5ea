//! The write fence of a member: decides which commands it may send now, and to which backends. Ranges that are not
//! migrating are served from the last known placement, even while the leader or other members are unreachable.
use super::in_flight::{InFlight, UnresolvedWrite, WrittenBlocks};
use super::permission::{
    AccessRight, CommandResult, DenialReason, FenceCounters, ManagedVolumes, Permission, Reply,
};
use crate::migration::Migration;
use crate::phase::MemberStanding;
use crate::placement::PlacedRange;
use crate::settings::Settings;
use crate::state::ReshardingState;
use cluster_types::{BlockRange, Index, MemberId, Time, Volume};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The maximum number of commands in flight.
const MAX_IN_FLIGHT: usize = 65_536;
/// The maximum number of ranges that one command may touch.
const MAX_PARTS: usize = 16;

/// The write fence of one member, or of one shard of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WriteFence {
    pub(super) member: MemberId,
    pub(super) incarnation: u64,
    pub(super) settings: Settings,
    pub(super) started: Time,
    pub(super) state: Arc<ReshardingState>,
    /// The migrations whose range this member uses only under its lease, whether or not the log has its
    /// acknowledgement.
    pub(super) acknowledged: BTreeSet<Index>,
    pub(super) written: BTreeMap<Index, WrittenBlocks>,
    managed: ManagedVolumes,
    lease_end: Time,
    /// The log index that the member must apply to have caught up.
    catch_up_index: Option<Index>,
    is_caught_up: bool,
    in_flight: BTreeMap<u64, InFlight>,
    unresolved: Vec<UnresolvedWrite>,
    last_ticket: u64,
    /// Counts denied commands and those that may have run.
    pub counters: FenceCounters,
}

impl WriteFence {
    /// Creates the fence of a starting process, with the replicated state that the process has stored.
    pub fn new(
        member: MemberId,
        incarnation: u64,
        settings: Settings,
        managed: ManagedVolumes,
        state: Arc<ReshardingState>,
        now: Time,
    ) -> WriteFence {
        WriteFence {
            member,
            incarnation,
            settings,
            started: now,
            state,
            acknowledged: BTreeSet::new(),
            written: BTreeMap::new(),
            managed,
            lease_end: Time(0),
            catch_up_index: None,
            is_caught_up: false,
            in_flight: BTreeMap::new(),
            unresolved: Vec::new(),
            last_ticket: 0,
            counters: FenceCounters::default(),
        }
    }

    /// Replaces the replicated state by a newer one.
    pub fn update(&mut self, state: Arc<ReshardingState>) {
        if state.applied >= self.state.applied {
            self.state = state;
        }
        self.is_caught_up |= self.catch_up_index.is_some_and(|index| self.state.applied >= index);
        let migrations = &self.state.migrations;
        self.acknowledged.retain(|id| migrations.contains_key(id));
        self.written.retain(|id, _| migrations.get(id).is_some_and(|known| known.phase.is_reversible()));
    }

    /// Records a lease that was requested at `requested_at` and granted when the log was committed up to `committed`.
    pub fn renew_lease(&mut self, requested_at: Time, committed: Index) {
        self.lease_end = self.lease_end.max(self.settings.lease_end(requested_at));
        self.catch_up_index.get_or_insert(committed);
        self.is_caught_up |= self.state.applied >= committed;
    }

    /// The time until which the member may use migrating ranges.
    pub fn lease_end(&self) -> Time {
        self.lease_end
    }

    /// Whether the lease is valid and the member has caught up since its start.
    pub fn has_lease(&self, now: Time) -> bool {
        self.is_caught_up && now < self.lease_end
    }

    fn access_right(&self, now: Time, id: Index, migration: &Migration) -> AccessRight {
        let is_acknowledged = self.acknowledged.contains(&id);
        match migration.members.get(&self.member) {
            Some(MemberStanding::Unacknowledged) if !is_acknowledged && self.is_caught_up => {
                AccessRight::Free
            }
            _ if !self.has_lease(now) => AccessRight::None,
            Some(standing) if standing.is_leased_in(self.incarnation) => AccessRight::Leased,
            Some(MemberStanding::Unacknowledged) if is_acknowledged => AccessRight::Leased,
            _ => AccessRight::Pending,
        }
    }

    /// Decides whether a command may be sent now. Call it immediately before sending; report each granted command to
    /// [`Self::finish`] when it ends.
    pub fn permit(&mut self, now: Time, volume: &Volume, blocks: BlockRange, is_write: bool) -> Permission {
        let state = Arc::clone(&self.state);
        let may_be_managed = self.managed.contains(volume) || state.placement.contains(volume);
        if is_write && !self.is_caught_up && may_be_managed {
            return self.deny(DenialReason::NotCaughtUp);
        }
        let parts = state.placement.lookup(volume, blocks).unwrap_or_default();
        if self.in_flight.len() >= MAX_IN_FLIGHT || parts.len() > MAX_PARTS {
            return self.deny(DenialReason::Overloaded);
        }
        let mut has_to_wait = false;
        for (id, migration) in state.migrations_over(volume, &blocks) {
            if !migration.phase.needs_lease() {
                continue;
            }
            match self.access_right(now, id, migration) {
                AccessRight::Free => {}
                AccessRight::None => return self.deny(DenialReason::LeaseExpired),
                AccessRight::Pending => has_to_wait = true,
                AccessRight::Leased => has_to_wait |= is_write && migration.phase.holds_writes(),
            }
        }
        if has_to_wait {
            return Permission::Wait;
        }
        let ticket = self.register(now, volume, blocks, is_write, &parts);
        Permission::Granted { parts, ticket, is_caught_up: self.is_caught_up }
    }

    /// Records a command as in flight. Returns its ticket.
    fn register(
        &mut self,
        now: Time,
        volume: &Volume,
        blocks: BlockRange,
        is_write: bool,
        parts: &[PlacedRange],
    ) -> u64 {
        self.last_ticket += 1;
        let epochs = parts.iter().map(|part| part.epoch).collect();
        let revocation = self.state.last_revocation(&self.member);
        let command = InFlight { volume: volume.clone(), blocks, epochs, is_write, sent: now, revocation };
        self.in_flight.insert(self.last_ticket, command);
        self.last_ticket
    }

    fn deny(&mut self, reason: DenialReason) -> Permission {
        self.counters.count_denial(reason);
        Permission::Denied(reason)
    }

    /// Records the result of a command. Returns what the client may be told.
    pub fn finish(&mut self, ticket: u64, now: Time, result: CommandResult) -> Reply {
        let Some(command) = self.in_flight.remove(&ticket) else { return Reply::MayHaveRun };
        if !command.is_write || result == CommandResult::NotRun {
            return Reply::AsAnswered;
        }
        let is_valid = self.had_rights(now, &command) & self.has_same_places(&command);
        self.note_written(&command.volume, command.blocks);
        if result == CommandResult::Unknown {
            let until = command.sent + self.settings.max_command_time;
            let InFlight { volume, blocks, .. } = command;
            self.unresolved.push(UnresolvedWrite { until, volume, blocks });
        }
        if is_valid && result == CommandResult::Completed {
            return Reply::AsAnswered;
        }
        self.counters.may_have_run += 1;
        Reply::MayHaveRun
    }

    /// Whether the member has kept its rights to the migrating ranges of a command since the command was sent.
    fn had_rights(&self, now: Time, command: &InFlight) -> bool {
        let state = &self.state;
        let mut migrations = state.migrations_over(&command.volume, &command.blocks);
        migrations.all(|(id, migration)| {
            let had_right = match self.access_right(now, id, migration) {
                AccessRight::Free => true,
                AccessRight::Leased => command.revocation == state.last_revocation(&self.member),
                AccessRight::Pending | AccessRight::None => false,
            };
            had_right || !migration.phase.needs_lease()
        })
    }

    /// Whether the blocks of a command are still placed as they were when the command was sent.
    fn has_same_places(&self, command: &InFlight) -> bool {
        let parts = self.state.placement.lookup(&command.volume, command.blocks).unwrap_or_default();
        parts.iter().map(|part| part.epoch).eq(command.epochs.iter().copied())
    }

    fn note_written(&mut self, volume: &Volume, blocks: BlockRange) {
        for (id, migration) in self.state.migrations_over(volume, &blocks) {
            if migration.phase.is_reversible() {
                self.written.entry(id).or_default().unreported.add(blocks, Index(0));
            }
        }
    }

    /// Forgets the writes with unknown results that can no longer run. They may have run until now, so their blocks are
    /// recorded as written once more.
    pub(super) fn expire_unresolved(&mut self, now: Time) {
        let unresolved = std::mem::take(&mut self.unresolved);
        let (expired, remaining): (Vec<_>, Vec<_>) =
            unresolved.into_iter().partition(|write| write.until < now);
        self.unresolved = remaining;
        for write in expired {
            self.note_written(&write.volume, write.blocks);
        }
    }

    /// Whether no write to a migrating range is in flight or may still run.
    pub(super) fn is_quiet(&self, migration: &Migration) -> bool {
        let range = &migration.range;
        let touches =
            |volume: &Volume, blocks: &BlockRange| *volume == range.volume && range.blocks.overlaps(blocks);
        let mut writes = self.in_flight.values().filter(|command| command.is_write);
        !writes.any(|command| touches(&command.volume, &command.blocks))
            && !self.unresolved.iter().any(|write| touches(&write.volume, &write.blocks))
    }

    /// Whether the member may leave: no write is in flight, and all written blocks are reported.
    pub fn may_leave(&self) -> bool {
        let is_reported =
            |written: &WrittenBlocks| written.unreported.is_empty() && written.reported.is_empty();
        self.written.values().all(is_reported)
            && self.unresolved.is_empty()
            && !self.in_flight.values().any(|command| command.is_write)
    }
}
