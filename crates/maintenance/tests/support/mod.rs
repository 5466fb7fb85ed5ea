//! Test support: a small cluster with its own log, and constructors for commands.
#![allow(dead_code)]
use cluster_types::{BackendId, Index, MemberId};
use maintenance::{
    BackendFacts, ClusterView, Command, Effect, MaintenanceState, Presence, Rejection, Rules, VolumeFacts,
};
use std::collections::{BTreeMap, BTreeSet};

pub mod invariants;
pub mod samples;

/// The capacity of each backend for each volume that it stores.
const CAPACITY: u64 = 100;
/// The time of the first entries.
const START_MS: u64 = 1000;
/// How long a recovery stage lasts in these tests.
pub const STAGE_MS: u64 = 1000;

pub fn backend(name: &str) -> BackendId {
    name.into()
}

/// Parses a list of backends separated by spaces.
pub fn backends(names: &str) -> BTreeSet<BackendId> {
    names.split_whitespace().map(BackendId::from).collect()
}

pub fn member(name: &str) -> MemberId {
    name.into()
}

pub fn rules(max_out: u32, max_out_per_zone: u32, max_out_per_volume: u32) -> Rules {
    Rules {
        max_out,
        max_out_per_zone,
        max_out_per_volume,
        stages: vec![300, 1000],
        stage_ms: STAGE_MS,
        ..Rules::default()
    }
}

/// A view with these backends, whose first letter is their zone, and volumes with their reservations and backends.
pub fn view(names: &str, volumes: &[(&str, u64, &str)]) -> ClusterView {
    let facts = |backend: &BackendId| BackendFacts {
        zone: backend.0[..1].into(),
        is_listed: true,
        ..BackendFacts::default()
    };
    let known = backends(names).iter().map(|backend| (backend.clone(), facts(backend))).collect();
    let capacities = |names: &str| backends(names).into_iter().map(|backend| (backend, CAPACITY)).collect();
    let volumes = volumes.iter().map(|(volume, reserved, names)| {
        ((*volume).into(), VolumeFacts { reserved: *reserved, backends: capacities(names) })
    });
    ClusterView { is_complete: true, backends: known, volumes: volumes.collect(), ..ClusterView::default() }
}

pub fn request(name: &str, names: &str) -> Command {
    Command::Request {
        name: name.into(),
        backends: backends(names),
        work_ms: 60_000,
        deadline_ms: None,
        all_at_once: false,
    }
}

/// Sets the deadline of a request.
pub fn with_deadline(mut request: Command, at_ms: u64) -> Command {
    if let Command::Request { deadline_ms, .. } = &mut request {
        *deadline_ms = Some(at_ms);
    }
    request
}

/// Changes a request so that its backends are granted all at once.
pub fn all_at_once(mut request: Command) -> Command {
    if let Command::Request { all_at_once, .. } = &mut request {
        *all_at_once = true;
    }
    request
}

pub fn finish(name: &str) -> Command {
    Command::Finish { name: name.into() }
}

pub fn withdraw(name: &str) -> Command {
    Command::Withdraw { name: name.into() }
}

pub fn return_backend(name: &str, id: &str) -> Command {
    Command::ReturnBackend { name: name.into(), backend: backend(id) }
}

pub fn present(incarnation: u64) -> Presence {
    Presence::Present { incarnation }
}

pub fn set_presence(name: &str, presence: Presence) -> Command {
    Command::SetPresence { member: member(name), presence }
}

pub fn is_rejected(effects: &[Effect]) -> bool {
    rejection(effects).is_some()
}

/// Why a command was rejected.
pub fn rejection(effects: &[Effect]) -> Option<&Rejection> {
    effects.iter().find_map(|effect| match effect {
        Effect::Rejected { reason, .. } => Some(reason),
        _ => None,
    })
}

/// A replicated state, and a leader that proposes commands to it.
#[derive(Clone)]
pub struct Harness {
    pub state: MaintenanceState,
    pub view: ClusterView,
    pub now_ms: u64,
    /// All effects so far.
    pub effects: Vec<Effect>,
}

impl Harness {
    pub fn new(rules: Rules, view: ClusterView, members: &str) -> Harness {
        let state = MaintenanceState::new(Rules::default());
        let mut harness = Harness { state, view, now_ms: START_MS, effects: Vec::new() };
        harness.run("operator", &Command::SetRules(rules));
        for name in members.split_whitespace() {
            harness.run(name, &set_presence(name, present(1)));
        }
        harness.run_leader();
        harness
    }

    /// Applies a command that this member issues.
    pub fn run(&mut self, issuer: &str, command: &Command) -> Vec<Effect> {
        let index = Index(self.state.applied().0 + 1);
        let effects = self.state.apply(index, self.now_ms, &member(issuer), command);
        self.effects.extend(effects.iter().cloned());
        effects
    }

    /// Applies what the leader proposes until it proposes nothing.
    pub fn run_leader(&mut self) {
        for _ in 0..200 {
            self.view.min_applied = self.state.applied();
            let commands = self.state.propose(self.now_ms, &self.view);
            if commands.is_empty() {
                return;
            }
            // No proposal is rejected, except for a grant that a preceding observation no longer allows.
            let has_observed = commands.iter().any(|command| matches!(command, Command::Observe { .. }));
            for command in &commands {
                let effects = self.run("leader", command);
                let may_be_rejected = has_observed && matches!(command, Command::Grant { .. });
                assert!(!is_rejected(&effects) || may_be_rejected, "{command:?}: {effects:?}");
            }
        }
        panic!("the leader never stops proposing: {:?}", self.state.propose(self.now_ms, &self.view));
    }

    /// All members report all grants as drained.
    pub fn drain(&mut self) {
        let grants: Vec<Index> = self.state.grants().map(|(index, _)| index).collect();
        let members: Vec<MemberId> = self.state.present_members().cloned().collect();
        for grant in grants {
            for member in members.iter().cloned() {
                self.run(&member.0.clone(), &Command::ReportDrained { grant, member });
            }
        }
    }

    /// Takes all recovering backends through their stages, with acknowledgements of all members.
    pub fn recover(&mut self) {
        for _ in 0..4 {
            self.run_leader();
            let recoveries = self.state.recoveries();
            let recoveries: Vec<_> =
                recoveries.map(|(id, recovery)| (id.clone(), recovery.clone())).collect();
            for (backend, recovery) in recoveries {
                for member in recovery.quotas().into_keys() {
                    let (backend, step) = (backend.clone(), recovery.step());
                    self.run(&member.0.clone(), &Command::AcknowledgeStage { backend, step, member });
                }
                self.view.healthy_ms.insert(backend, STAGE_MS);
            }
        }
        self.view.healthy_ms.clear();
    }

    /// The granted backends and the names of their requests.
    pub fn granted(&self) -> BTreeMap<BackendId, String> {
        let grants = self.state.grants();
        let granted =
            grants.flat_map(|(_, grant)| grant.backends.iter().map(|id| (id.clone(), grant.name.clone())));
        granted.collect()
    }

    /// Whether exactly these backends are granted.
    pub fn are_granted(&self, names: &str) -> bool {
        self.granted().into_keys().collect::<BTreeSet<_>>() == backends(names)
    }

    /// How many grants were reported as drained.
    pub fn drained_count(&self) -> usize {
        self.effects.iter().filter(|effect| matches!(effect, Effect::Drained { .. })).count()
    }
}
