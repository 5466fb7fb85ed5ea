//! What the operators' address tells: the order that would be taken and why, and where each move stands.
use crate::moves::{Move, Moves, Phase, Standing};
use crate::planner::Step;
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use serde::Serialize;
use std::collections::BTreeMap;

/// Where a step stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Told {
    /// The step's number; 0 where the plan was replaced.
    pub step: u32,
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// From this box.
    pub from: BackendId,
    /// To this box.
    pub to: BackendId,
    /// Why.
    pub why: String,
    /// The move's name, once it runs.
    pub id: Option<Index>,
    /// Its state.
    pub state: String,
    /// What it waits for, in plain words.
    pub waits: Vec<String>,
    /// How many blocks are to be copied yet.
    pub left: u64,
    /// Who copies.
    pub mover: Option<MemberId>,
    /// Since when, by the leader's Unix time.
    pub since_ms: u64,
}

fn waits(m: &Move) -> Vec<String> {
    let mut waits = Vec::new();
    for (front, standing) in &m.fronts {
        let uses = matches!(standing, Standing::Uses { .. });
        match &m.phase {
            Phase::Prepare if *standing == Standing::Awaited => {
                waits.push(format!("{front} has not acknowledged; if it does not run, excuse it"));
            }
            Phase::HandOver { quiet, .. } if uses && !quiet.contains(front) => {
                waits.push(format!("{front} is not quiet yet"));
            }
            Phase::Switch { knows, .. } if uses && !knows.contains(front) => {
                waits.push(format!("{front} does not know the new place yet"));
            }
            _ => {}
        }
    }
    for (front, number) in &m.owing {
        if number.is_some() && (m.phase.may_go_back() || matches!(m.phase, Phase::Back { .. })) {
            waits.push(format!("{front} copied and was lost; it must be heard again, or be excused"));
        } else if matches!(m.phase, Phase::Release { .. }) {
            waits.push(format!("{front} must be heard before the old place is free, or be excused"));
        }
    }
    if m.thaws > 0 && m.phase.may_go_back() {
        waits.push(format!("its hand-over took too long {} times", m.thaws));
    }
    if m.mover.is_none() && matches!(m.phase, Phase::Copy | Phase::CatchUp | Phase::HandOver { .. }) {
        waits.push("no front copies".to_string());
    }
    waits
}

impl Moves {
    /// All steps of the plan that are not done, and all moves that run.
    pub fn tell(&self) -> Vec<Told> {
        let mut told: Vec<Told> = self.active.iter().map(|(id, m)| running(*id, m)).collect();
        let begun: BTreeMap<u32, ()> = self.active.values().map(|m| (m.step, ())).collect();
        for step in self.queue.values().filter(|s| !begun.contains_key(&s.id)) {
            told.push(waiting(step, self.hindered(step)));
        }
        told.sort_by_key(|t| (t.step, t.id));
        told
    }
}

fn running(id: Index, m: &Move) -> Told {
    let state = match &m.phase {
        Phase::Back { why } => format!("back: {why}"),
        phase => phase.name().to_string(),
    };
    Told {
        step: m.step,
        volume: m.volume.clone(),
        blocks: m.blocks,
        from: m.from.clone(),
        to: m.to.clone(),
        why: m.why.clone(),
        id: Some(id),
        state,
        waits: waits(m),
        left: m.todo.len(),
        mover: m.mover.as_ref().map(|(f, _)| f.clone()),
        since_ms: m.since_ms,
    }
}

/// A step as it is told before anything moves.
pub fn waiting(step: &Step, hindered: Option<String>) -> Told {
    Told {
        step: step.id,
        volume: step.volume.clone(),
        blocks: step.blocks,
        from: step.from.clone(),
        to: step.to.clone(),
        why: step.why.clone(),
        id: None,
        state: "waits".to_string(),
        waits: hindered.into_iter().collect(),
        left: step.blocks.len(),
        mover: None,
        since_ms: 0,
    }
}
