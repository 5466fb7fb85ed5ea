//! The node list: how it is asked for, and what its news change.
use super::*;

/// List calls back off by such a share of the time allowed without asking (4 s at least), doubling thrice.
const LIST_BACKOFF: std::ops::Range<f64> = 1.0 / 32.0..1.0 / 16.0;
/// First window: "a few", as few as they come, and no more than twice this host's part of the ceiling.
const WINDOW_START: f64 = 2.0;

impl Scheduler {
    /// Nodes and volumes that are known.
    pub fn known(&self) -> (usize, usize) {
        (self.names.len(), self.volumes.len())
    }

    /// Nodes that are listed as ready and get nothing for now, because they failed.
    pub fn avoided(&self, now: Micros) -> Vec<NodeId> {
        let away = |n: &&Node| n.entry.state == NodeState::Ready && n.not_before > now;
        self.nodes.iter().filter(away).map(|n| n.entry.node.clone()).collect()
    }

    /// Asks for the watch after a jittered wait that doubles with each failure.
    pub(super) fn watch_later(&mut self) {
        self.alarms.retain(|(_, a)| *a != Alarm::List);
        let share = 2f64.powi(self.list_failures.min(3)) * self.rng.0.random_range(LIST_BACKOFF);
        let at = later(self.now, share * self.set.ask_within.0.max(4_000_000) as f64);
        self.alarms.insert((at, Alarm::List));
    }

    pub(super) fn news(&mut self, news: ListNews, actions: &mut Vec<Action>) {
        let (whole, cached) = (!matches!(news, ListNews::Delta(_)), matches!(news, ListNews::Cached(_)));
        let (ListNews::Cached(entries) | ListNews::Full(entries) | ListNews::Delta(entries)) = news else {
            return self.watch_later();
        };
        if !cached {
            self.alarms.retain(|(_, a)| *a != Alarm::List);
            let again = if std::mem::take(&mut self.list_failures) > 0 { self.now } else { Micros(i64::MAX) };
            self.nodes.iter_mut().for_each(|n| n.not_before = n.not_before.min(again));
        }
        if whole {
            let named: BTreeSet<&NodeId> = entries.iter().map(|e| &e.node).collect();
            for node in self.nodes.iter_mut().filter(|n| !named.contains(&n.entry.node)) {
                node.entry.state = NodeState::Gone;
            }
        }
        let (now, warm_up) = (self.now, self.set.cold.warm_up.0 as f64);
        for e in entries {
            // A node that this host has not held before may be cold, whatever the list leaves out.
            let fresh = e.started.or((self.listed && e.state == NodeState::Ready).then_some(self.now));
            let usual = self.shards.get(&e.shard).filter(|_| warm_up > 0.0).map_or(0.0, |s| {
                s.served.at(fresh.unwrap_or(self.now), warm_up) / self.remembered().max(1.0) * 1e6
            });
            let known = self.names.get(&e.node).copied();
            let n = known.or_else(|| self.spare.1.pop()).unwrap_or(self.nodes.len());
            self.nodes.resize_with(self.nodes.len().max(n + 1), Node::default);
            let node = &mut self.nodes[n];
            if known.is_none() {
                self.names.insert(e.node.clone(), n);
                let window = WINDOW_START.min(2.0 / self.crowd);
                let (first, best) = (window.min(1.0), f64::INFINITY);
                *node = Node { window, first, best, heard: self.now, ..Node::default() };
            }
            if known.is_none() || node.entry.state != NodeState::Ready || e.started > node.started {
                // Guards a cold node that drains and returns: what it was sent is not forgotten.
                if known.is_none() || fresh.is_some_and(|at| Some(at) != node.started) {
                    (node.sends, node.come) = (VecDeque::new(), (0.0, self.now));
                    node.phase = self.rng.0.random();
                }
                node.started = fresh.or(node.started);
                (node.usual, node.measured) = (usual, usual > 0.0);
                (node.failures, node.not_before) = (0, self.now);
            }
            node.entry = e;
        }
        self.listed = true;
        self.heard = (0.0, 0.0);
        self.forget_nodes();
        self.shards.values_mut().for_each(|s| s.node = None);
        for (n, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.entry.state == NodeState::Ready) {
            self.heard = node.latency.map_or(self.heard, |l| (self.heard.0 + l, self.heard.1 + 1.0));
            let shard = self.shards.entry(node.entry.shard).or_default();
            if shard.node.is_none_or(|other| self.nodes[other].started <= node.started) {
                shard.node = Some(n);
            }
        }
        self.shards.retain(|_, s| {
            s.node.is_some() || !s.queues.is_empty() || (s.served.0 > 0.0 && span(s.served.1, now) < warm_up)
        });
        self.pump_all(actions);
    }

    /// Forgets nodes that have left, once nothing is out there and the budget of a cold node holds nothing
    /// any more. One that returns is new, and counts as cold. Guards memory where every node is replaced.
    fn forget_nodes(&mut self) {
        let (now, window, nodes) = (self.now, self.set.cold.window.0 as f64, &mut self.nodes);
        self.names.retain(|_, n| {
            let node = &mut nodes[*n];
            let spent = !node.sends.is_empty() && span(node.come.1, now) <= window;
            if node.entry.state != NodeState::Gone || !node.out.is_empty() || spent {
                return true;
            }
            *node = Node::default();
            node.entry.state = NodeState::Gone;
            self.spare.1.push(*n);
            false
        });
    }
}
