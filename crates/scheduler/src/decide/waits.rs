//! How long a request would wait, and where a new object waits least.
use super::*;

impl Scheduler {
    /// When a refused client may come back: once such a request would be expected to be served in time.
    pub(super) fn hint(&self, wait: Option<f64>, aim: Micros) -> Option<Micros> {
        let usual = if self.heard.1 > 0.0 { self.average() } else { self.shortest_aim / 2.0 };
        let hint = wait.map_or(0.0, |w| w - aim.0 as f64).max(usual);
        let most = self.set.max_wait_hint;
        (most.0 > 0).then(|| later(Micros(0), hint).min(most))
    }

    /// How long a new request of the session would wait here and be out, at the session's rate.
    pub(super) fn expected(&mut self, to: ShardId, lane: (bool, usize), units: f64) -> Option<f64> {
        let (background, session) = lane;
        self.sessions[session].fill(&self.set, self.now);
        let place = self.shards.get(&to)?;
        let node = &self.nodes[place.node?];
        let (latency, reserved) = (self.latency_at(to).max(1.0), self.sessions[session].reserve);
        let window = if reserved >= units { node.window.max(1.0) } else { node.window };
        let rate = window * self.set.mean_units / latency;
        let weight = |s: usize| self.set.plans[self.sessions[s].plan].weight;
        let mine = weight(session);
        let (mut ahead, mut all, mut total) = (0.0, mine, 0.0);
        for ((lane, s), q) in &place.queues {
            if *s == session && *lane <= background {
                ahead += q.units;
            } else if *lane <= background {
                all += weight(*s);
                total += q.units;
            }
        }
        // A cold node takes what its budget leaves: what is held for it and this request have to fit in turn.
        let over = node.cold_over(&self.set, self.now, units, ahead + total);
        let cold = over.map_or(0.0, |over| over.max(0.0) * self.set.cold.window.0 as f64);
        let share = if reserved >= ahead + units { (mine / all).max(0.5) } else { mine / all };
        let allowed = self.sessions[session].ready_at(&self.set, node, ahead + units, background, true);
        let blocked = span(self.now, node.not_before).max(span(self.now, allowed)).max(0.0);
        Some(((ahead / share).min(ahead + total) / rate).max(cold).max(blocked) + latency)
    }

    /// Where a new object goes: to the node with the shortest expected wait.
    pub(super) fn place(&mut self, lane: (bool, usize), units: f64) -> ShardId {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        let mut best = (f64::INFINITY, shards.first().copied().unwrap_or(ShardId(0)));
        for shard in shards {
            // A node that failed since it last answered may fail again: a reason to place elsewhere only.
            let node = self.shards.get(&shard).and_then(|s| s.node).map(|n| &self.nodes[n]);
            let risk = self.set.connect_timeout.0 as f64 * node.map_or(0.0, |n| f64::from(n.failures));
            if let Some(wait) = self.expected(shard, lane, units).map(|w| w + risk) {
                best = if wait < best.0 { (wait, shard) } else { best };
            }
        }
        best.1
    }
}
