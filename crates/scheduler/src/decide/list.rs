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
        // Only shards that the news touch are looked at: the work is by what has changed.
        let mut touched = BTreeSet::new();
        if !cached {
            self.alarms.retain(|(_, a)| *a != Alarm::List);
            if std::mem::take(&mut self.list_failures) > 0 {
                self.nodes.iter_mut().for_each(|n| n.not_before = n.not_before.min(self.now));
            }
        }
        if whole {
            touched.extend(self.shards.keys());
            let named: BTreeSet<&NodeId> = entries.iter().map(|e| &e.node).collect();
            let left = self.names.iter().filter(|(name, _)| !named.contains(name)).map(|(_, n)| *n);
            for n in left.collect::<Vec<_>>() {
                let gone = NodeEntry { state: NodeState::Gone, ..self.nodes[n].entry.clone() };
                self.list(n, gone, &mut touched);
            }
        }
        let (now, warm_up) = (self.now, self.set.cold.warm_up.0 as f64);
        for e in entries {
            // A node that this host has not held before may be cold, whatever the list leaves out.
            let fresh = e.started.or((self.listed && e.state == NodeState::Ready).then_some(self.now));
            let served = self.shards.get(&e.shard).map(|s| s.served.at(fresh.unwrap_or(now), warm_up));
            let usual = served.filter(|_| warm_up > 0.0).unwrap_or(0.0) / self.remembered().max(1.0) * 1e6;
            let known = self.names.get(&e.node).copied();
            let n = known.or_else(|| self.spare.1.pop()).unwrap_or(self.nodes.len());
            self.nodes.resize_with(self.nodes.len().max(n + 1), Node::default);
            let node = &mut self.nodes[n];
            if known.is_none() {
                self.names.insert(e.node.clone(), n);
                let (window, best, heard) = (WINDOW_START.min(2.0 / self.crowd), f64::INFINITY, self.now);
                *node = Node { window, first: window.min(1.0), best, heard, ..Node::default() };
            }
            if known.is_none() || node.entry.state != NodeState::Ready || e.started > node.started {
                // Guards a cold node that drains and returns: what it was sent is not forgotten.
                if known.is_none() || fresh.is_some_and(|at| Some(at) != node.started) {
                    (node.sends, node.come, node.phase) = (VecDeque::new(), (0.0, now), self.rng.0.random());
                }
                node.started = fresh.or(node.started);
                (node.usual, node.measured) = (usual, usual > 0.0);
                (node.failures, node.not_before) = (0, self.now);
            }
            self.list(n, e, &mut touched);
        }
        self.listed = true;
        self.forget_nodes();
        for id in &touched {
            let (nodes, place) = (&self.nodes, self.shards.entry(*id).or_default());
            place.nodes.retain(|n| nodes[*n].entry.shard == *id && nodes[*n].entry.state != NodeState::Gone);
            let ready = place.nodes.iter().copied().filter(|n| nodes[*n].entry.state == NodeState::Ready);
            place.node = ready.max_by_key(|n| nodes[*n].started);
        }
        if touched.iter().any(|id| self.shards[id].node.is_none()) {
            let served = |s: &Shard| s.served.0 > 0.0 && span(s.served.1, now) < warm_up;
            self.shards.retain(|_, s| s.node.is_some() || !s.queues.is_empty() || served(s));
        }
        touched.into_iter().for_each(|id| self.pump(id, actions));
    }

    /// Puts a node's entry in the place of the one before.
    fn list(&mut self, n: usize, entry: NodeEntry, touched: &mut BTreeSet<ShardId>) {
        let node = &mut self.nodes[n];
        touched.extend([node.entry.shard, entry.shard]);
        self.shards.entry(entry.shard).or_default().nodes.insert(n);
        self.left.extend((entry.state == NodeState::Gone).then_some(n));
        let by = f64::from(entry.state == NodeState::Ready) - f64::from(node.entry.state == NodeState::Ready);
        self.heard = node.latency.map_or(self.heard, |l| (self.heard.0 + by * l, self.heard.1 + by));
        node.entry = entry;
    }

    /// Forgets nodes that have left, once nothing is out there and no budget holds anything. Guards memory.
    fn forget_nodes(&mut self) {
        for n in std::mem::take(&mut self.left) {
            let node = &mut self.nodes[n];
            let spent =
                !node.sends.is_empty() && span(node.come.1, self.now) <= self.set.cold.window.0 as f64;
            if node.entry.state == NodeState::Gone && (!node.out.is_empty() || spent) {
                self.left.insert(n);
            } else if node.entry.state == NodeState::Gone && self.names.remove(&node.entry.node).is_some() {
                *node = Node::default();
                node.entry.state = NodeState::Gone;
                self.spare.1.push(n);
            }
        }
    }
}
