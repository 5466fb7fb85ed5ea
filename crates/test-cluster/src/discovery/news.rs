//! What there is to tell a front.
use super::{Inner, Lifecycle, Listed, Told};
use crate::engine::lock;
use serde_json::{json, Value};
use std::time::Duration;

impl Inner {
    /// What has changed since that generation, as a line, or the whole list where that can't be said; none where nothing has.
    pub(super) fn news(&self, front: &str, from: Option<u64>) -> Option<(String, Told)> {
        let state = lock(&self.state);
        let from = from.filter(|f| (1..=state.generation).contains(f));
        if from == Some(state.generation) {
            return None;
        }
        let fresh = |(at, listed): &&(u64, Listed)| match from {
            Some(from) => *at > from,
            None => listed.lifecycle != Lifecycle::Left,
        };
        let boxes: Vec<&Listed> = state.boxes.values().filter(fresh).map(|(_, l)| l).collect();
        let entries: Vec<Value> = boxes.iter().filter_map(|l| entry(l, front)).collect();
        let line = json!({"generation": state.generation, "reset": from.is_none(), "instances": entries});
        let told = Told {
            order: 0,
            at: Duration::ZERO,
            front: front.into(),
            generation: state.generation,
            whole: from.is_none(),
            boxes: boxes.iter().map(|l| (l.name.clone(), l.lifecycle)).collect(),
        };
        Some((line.to_string(), told))
    }

    pub(super) fn record(&self, told: Told) {
        let mut state = lock(&self.state);
        let (order, at) = (self.clock.order(), self.clock.now());
        state.told.push(Told { order, at, ..told });
    }
}

fn entry(listed: &Listed, front: &str) -> Option<Value> {
    let lifecycle = match listed.lifecycle {
        Lifecycle::Active => "active",
        Lifecycle::Leaving => "leaving",
        Lifecycle::Left => "left",
    };
    let mut entry = json!({
        "instanceId": listed.name, "hostPort": listed.addresses.get(front)?.to_string(), "zone": listed.hall,
        "machineType": "m1", "cell": listed.cell, "lifecycle": lifecycle, "weight": 1.0,
        "startedAtMs": listed.started_ms,
    });
    if listed.speaks != "resp" {
        entry["speaks"] = listed.speaks.into();
        entry["target"] = listed.target.as_str().into();
    }
    Some(entry)
}
