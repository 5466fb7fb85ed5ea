//! The explored state: two members, a leader that acts immediately, and two backends with one block.
use cluster_types::{BackendId, BlockRange, Index, MemberId, Time, Volume};
use resharding::member::FenceCounters;
use resharding::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const BLOCK: BlockRange = BlockRange { first: 0, end: 1 };
pub const MEMBER_COUNT: usize = 2;
const LEADER: usize = 2;
/// The value on the target backend before anything is written to it.
pub const UNINITIALIZED: u8 = 9;

pub fn settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        lease: ms(100),
        max_clock_drift: ms(5),
        max_command_time: ms(20),
        hand_over_timeout: ms(50),
        report_interval: ms(50),
        hand_over_blocks: 1,
        chunk_blocks: 1,
        max_chunks: 1,
        verify: false,
    }
}

/// How often each kind of event may happen.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Limits {
    pub writes: u8,
    /// How often all leases expire.
    pub expirations: u8,
    pub kills: u8,
    /// How often a member stalls immediately before it sends.
    pub stalls: u8,
}

#[derive(Clone, Copy, Hash, PartialEq, Debug)]
pub enum Stage {
    /// Permitted, but not sent because the member stalls.
    Stalled,
    Sent,
    Executed,
}

#[derive(Clone, Hash, Debug)]
pub struct PendingWrite {
    pub member: usize,
    pub value: u8,
    pub ticket: u64,
    pub part: PlacedRange,
    pub stage: Stage,
}

#[derive(Clone, Hash, Debug)]
pub struct PendingCopy {
    pub member: usize,
    pub task: CopyTask,
    pub stage: Stage,
}

#[derive(Clone, Hash)]
pub struct Member {
    pub state: ReshardingState,
    pub agent: MemberAgent,
    pub incarnation: u64,
}

/// What a member may do according to the state that it has applied.
#[derive(PartialEq)]
pub struct Rights {
    phase: &'static str,
    standing: Option<MemberStanding>,
    assignment: Option<Index>,
}

#[derive(Clone, Hash)]
pub struct World {
    pub now: u64,
    pub log: Vec<(u8, Command)>,
    pub members: Vec<Member>,
    /// The state after the last entry of the log.
    pub committed: ReshardingState,
    pub leader: Leader,
    pub backends: BTreeMap<BackendId, u8>,
    pub writes: Vec<PendingWrite>,
    pub copies: Vec<PendingCopy>,
    /// The values that were read of the chunks in progress, by member, assignment and token.
    pub copied_values: BTreeMap<(usize, Index, u64), u8>,
    /// How many writes have begun.
    pub write_count: u8,
    /// For each write, a bit mask of the writes that were answered before it started.
    pub answered_before: [u8; 3],
    /// A bit mask of the answered writes.
    pub answered: u8,
    /// How often each kind of event may still happen.
    pub remaining: Limits,
    pub max_writes: u8,
}

pub fn member_name(number: usize) -> MemberId {
    MemberId::from(["f0", "f1", "leader"][number])
}

pub fn volume() -> Volume {
    Volume::from("v")
}

pub fn new_member(number: usize, incarnation: u64, now: u64) -> Member {
    let managed = ManagedVolumes::All;
    let agent =
        MemberAgent::new(member_name(number), incarnation, settings(), managed, Arc::default(), Time(now));
    Member { state: ReshardingState::new(), agent, incarnation }
}

impl World {
    pub fn new(limits: Limits) -> World {
        let now = 1_000_000;
        let mut world = World {
            now,
            log: vec![],
            members: (0..MEMBER_COUNT).map(|number| new_member(number, 1, 0)).collect(),
            committed: ReshardingState::new(),
            leader: Leader::new(settings()),
            backends: [(BackendId::from("old"), 0), (BackendId::from("new"), UNINITIALIZED)].into(),
            writes: vec![],
            copies: vec![],
            copied_values: BTreeMap::new(),
            write_count: 0,
            answered_before: [0; 3],
            answered: 0,
            remaining: limits,
            max_writes: limits.writes,
        };
        world.leader.begin_term(Time(now));
        (0..MEMBER_COUNT).for_each(|number| world.append(number, Command::Join { incarnation: 1 }));
        world.append(0, Command::Adopt { volume: volume(), ranges: vec![(BLOCK, "old".into())] });
        let step = Step {
            id: 1,
            volume: volume(),
            blocks: BLOCK,
            from: "old".into(),
            to: "new".into(),
            after: vec![],
            reason: String::new(),
        };
        let bounds = Bounds { copy_share_permille: 1000, ..Bounds::default() };
        world.append(0, Command::ReplacePlan { plan: "p".into(), steps: vec![step], bounds });
        for number in 0..MEMBER_COUNT {
            (0..4).for_each(|_| world.apply_one(number));
            world.request_lease(number);
        }
        world
    }

    pub fn append(&mut self, issuer: usize, command: Command) {
        let index = Index(self.log.len() as u64 + 1);
        self.committed.apply(index, 0, &member_name(issuer), &command);
        self.log.push((issuer as u8, command));
    }

    pub fn phase_name(&self) -> &'static str {
        let migration = self.committed.migrations.values().next();
        migration.map_or("none", |migration| migration.phase.name())
    }

    /// Appends the leader's proposals until it has none left.
    pub fn run_leader(&mut self) {
        loop {
            let now = Time(self.now);
            let commands = self.leader.propose(now, &self.committed, &LeaderView::default());
            if commands.is_empty() {
                return;
            }
            commands.into_iter().for_each(|command| self.append(LEADER, command));
        }
    }

    /// Runs the agents of all members that are not stalled, then the leader.
    pub fn run_agents_and_leader(&mut self) {
        for member in &mut self.members {
            member.agent.fence.counters = FenceCounters::default();
        }
        for number in (0..MEMBER_COUNT).filter(|number| !self.is_stalled(*number)).collect::<Vec<_>>() {
            let output = self.members[number].agent.step(Time(self.now), &|_| 1_000_000);
            output.commands.into_iter().for_each(|command| self.append(number, command));
            let tasks = output.tasks.into_iter();
            self.copies.extend(tasks.map(|task| PendingCopy { member: number, task, stage: Stage::Sent }));
        }
        self.run_leader();
    }

    fn apply_one(&mut self, number: usize) {
        let Member { state, agent, .. } = &mut self.members[number];
        let Some((issuer, command)) = self.log.get(state.applied.0 as usize) else { return };
        state.apply(Index(state.applied.0 + 1), 0, &member_name(*issuer as usize), command);
        agent.update(Arc::new(state.clone()));
    }

    fn rights(&self, number: usize) -> Option<Rights> {
        let migration = self.members[number].state.migrations.values().next()?;
        let phase = match migration.phase.name() {
            "hand over" => "hand over",
            _ if migration.phase.is_reversible() => "open",
            phase => phase,
        };
        let migrator = migration.migrator.as_ref().filter(|(migrator, _)| *migrator == member_name(number));
        let assignment = migrator.map(|(_, assignment)| *assignment);
        Some(Rights { phase, standing: migration.members.get(&member_name(number)).copied(), assignment })
    }

    /// Applies log entries at a member until its rights change.
    pub fn apply(&mut self, number: usize) {
        let before = self.rights(number);
        let is_behind = |world: &World| (world.members[number].state.applied.0 as usize) < world.log.len();
        while is_behind(self) && self.rights(number) == before {
            self.apply_one(number);
        }
    }

    pub fn request_lease(&mut self, number: usize) {
        let Member { state, agent, incarnation } = &mut self.members[number];
        let now = Time(self.now);
        let lease =
            self.leader.grant_lease(now, &member_name(number), *incarnation, state.applied, &self.committed);
        if let Some(lease) = lease {
            agent.renew_lease(now, lease.committed);
        }
    }

    pub fn is_stalled(&self, number: usize) -> bool {
        let mut writes = self.writes.iter();
        let mut copies = self.copies.iter();
        writes.any(|write| write.member == number && write.stage == Stage::Stalled)
            || copies.any(|copy| copy.member == number && copy.stage == Stage::Stalled)
    }
}
