//! What a node would take, and what a cold one may be sent.
use super::*;

#[derive(Default)]
pub(super) struct Node {
    pub entry: NodeEntry,
    pub started: Option<Micros>,
    pub window: f64,
    pub first: f64,
    /// With a window below one: when the next request beyond a reservation may go, and of the background.
    pub paced: [Micros; 2],
    pub latency: Option<f64>,
    pub per_unit: f64,
    pub best: f64,
    pub out: BTreeSet<(Micros, RequestId)>,
    /// When the last sent of the attempts that were answered was sent: earlier ones may be lost.
    pub answered: Micros,
    pub heard: Micros,
    /// Units that this host's part of it came to while cold, up to when, and what was sent at which of them.
    pub come: (f64, Micros),
    pub sends: VecDeque<(f64, f64)>,
    /// Units a second that the shard took from this host before the node's start, and where in the span
    /// that one request takes of its part the first may go.
    pub usual: f64,
    pub measured: bool,
    pub phase: f64,
    pub failures: i32,
    pub not_before: Micros,
}

impl Node {
    /// What an attempt would take: at least as long as the oldest that is out has been silent. What is known
    /// of a node with nothing out fades, or refusals by an old figure would keep away the sample that mends
    /// it; to the average where many hosts share it: one of them seldom hears it be quick or slow.
    pub fn latency(&self, now: Micros, average: f64, crowd: f64) -> f64 {
        let known = self.latency.unwrap_or(average);
        if let Some((sent, _)) = self.out.range((self.answered, RequestId(0))..).next() {
            return known.max(span(*sent, now));
        }
        let usual = average * crowd;
        usual + (known - usual) * 0.5f64.powf(span(self.heard, now) / (SILENCE * known.max(1.0)))
    }

    /// How long ago the node started; none for a warm node, and where there is no rule on cold nodes.
    pub fn cold_for(&self, cold: &ColdRule, now: Micros) -> Option<f64> {
        let age = span(self.started?, now).max(0.0);
        (age < cold.warm_up.0 as f64 && cold.window.0 > 0).then_some(age)
    }

    /// This host's part of a cold node's budget: what has come since the start was heard of, and what is in a
    /// window now. It is the even one, or by what the host usually sends there: all hosts together are as
    /// far under what pushes the node over as their usual load is under all that it does when warm.
    pub fn cold_part(&self, set: &Settings, now: Micros) -> Option<(f64, f64)> {
        let age = self.cold_for(&set.cold, now)?;
        let (cold, window) = (&set.cold, set.cold.window.0 as f64);
        let from = cold.from.max(1e-3);
        let growth = |age: f64| 1.0 + (1.0 / from - 1.0) * age / cold.warm_up.0 as f64;
        let usual = cold.multiple * from * self.usual * window / 1e6;
        let part = (cold.units / f64::from(set.hosts)).max(usual).max(1e-6);
        let passed = span(self.come.1, now).max(0.0);
        // It grows evenly, so its middle is its mean.
        let come = part * growth((age - passed / 2.0).max(0.0)) * passed / window;
        Some((self.come.0 + come, part * growth(age)))
    }

    /// How far so many units here are over this host's part of a cold node's budget, in windows of the rule;
    /// none for a warm node. One larger than a part waits until that has come to it since the last one, and
    /// first to a random share of it. Guards cold nodes that nobody may send a whole one, and the sum over
    /// hosts, which grows with all parts from nothing. It could hurt where traffic moves as a node restarts.
    pub fn cold_over(&self, set: &Settings, now: Micros, units: f64, ahead: f64) -> Option<f64> {
        let (come, part) = self.cold_part(set, now)?;
        let whole = part.max(units);
        let recent = self.sends.iter().rev().take_while(|(at, _)| *at > come - whole);
        let spent: f64 = recent.map(|(_, u)| u).sum();
        let early = if units > part { units * self.phase - come } else { 0.0 };
        Some((spent + ahead + units - whole).max(early) / part)
    }
}

impl Scheduler {
    /// What a node not heard lately counts as: the average, and never so slow that nobody would try it.
    pub(super) fn average(&self) -> f64 {
        (self.heard.0 / self.heard.1.max(1.0)).min(self.shortest_aim / 2.0)
    }

    /// What an attempt at the shard's node would take; the average where there is no node.
    pub(super) fn latency_at(&self, shard: ShardId) -> f64 {
        let (average, crowd) = (self.average(), self.crowd.min(1.0));
        let node = self.shards.get(&shard).and_then(|s| s.node).map(|n| &self.nodes[n]);
        node.map_or(average, |n| n.latency(self.now, average, crowd))
    }

    /// The time that sums which fade while a node warms up hold, of this host's own.
    pub(super) fn remembered(&self) -> f64 {
        let over = self.set.cold.warm_up.0 as f64;
        over - Fading(over, self.started.unwrap_or(self.now)).at(self.now, over)
    }

    /// Counts first tries inside a reservation: the usual part of a cold node, where none is known, for all
    /// reservations are less than it can do warm. Guards cold nodes, which new hosts would hardly use.
    pub(super) fn asked(&mut self, session: usize, shard: ShardId, units: f64, first: bool) {
        let (now, warm_up) = (self.now, (self.set.cold.warm_up.0 as f64).max(1.0));
        let known = self.remembered();
        let claim = &mut self.sessions[session].claim;
        let Some(place) = self.shards.get_mut(&shard).filter(|_| first && *claim >= units) else { return };
        *claim -= units;
        place.asked.add(now, warm_up, units);
        if let Some(node) = place.node.map(|n| &mut self.nodes[n]).filter(|n| !n.measured) {
            // What has come so far came by the part that was known.
            node.come = node.cold_part(&self.set, now).map_or(node.come, |(come, _)| (come, now));
            node.usual = place.asked.0 / known.max(self.set.cold.window.0 as f64) * 1e6;
        }
    }
}
