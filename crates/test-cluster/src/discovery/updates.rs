//! The updates that gateways are sent.
use super::{Inner, Lifecycle, ListedBackend, SentUpdate};
use crate::runtime::lock;
use serde_json::{json, Value};
use std::time::Duration;

impl Inner {
    /// The changes since a generation, as one line, or the full list if that generation is unknown; none if
    /// nothing has changed.
    pub(super) fn update_since(&self, gateway: &str, from: Option<u64>) -> Option<(String, SentUpdate)> {
        let state = lock(&self.state);
        let from = from.filter(|f| (1..=state.generation).contains(f));
        if from == Some(state.generation) {
            return None;
        }
        let is_due = |(at, listed): &&(u64, ListedBackend)| match from {
            Some(from) => *at > from,
            None => listed.lifecycle != Lifecycle::Left,
        };
        let backends: Vec<&ListedBackend> = state.backends.values().filter(is_due).map(|(_, l)| l).collect();
        let entries: Vec<Value> = backends.iter().filter_map(|l| entry(l, gateway)).collect();
        let line = json!({"generation": state.generation, "reset": from.is_none(), "instances": entries});
        let update = SentUpdate {
            sequence: 0,
            at: Duration::ZERO,
            gateway: gateway.into(),
            generation: state.generation,
            is_full_list: from.is_none(),
            backends: backends.iter().map(|l| (l.name.clone(), l.lifecycle)).collect(),
        };
        Some((line.to_string(), update))
    }

    pub(super) fn record_update(&self, update: SentUpdate) {
        let mut state = lock(&self.state);
        let (sequence, at) = (self.clock.next_sequence(), self.clock.now());
        state.sent_updates.push(SentUpdate { sequence, at, ..update });
    }
}

fn entry(listed: &ListedBackend, gateway: &str) -> Option<Value> {
    let lifecycle = match listed.lifecycle {
        Lifecycle::Active => "active",
        Lifecycle::Leaving => "leaving",
        Lifecycle::Left => "left",
    };
    let mut entry = json!({
        "instanceId": listed.name, "hostPort": listed.addresses.get(gateway)?.to_string(), "zone": listed.zone,
        "machineType": "m1", "cell": listed.shard, "lifecycle": lifecycle, "weight": 1.0,
        "startedAtMs": listed.started_ms,
    });
    if listed.protocol != "resp" {
        entry["speaks"] = listed.protocol.into();
        entry["target"] = listed.target.as_str().into();
    }
    Some(entry)
}
