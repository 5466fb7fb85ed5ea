//! The queues of a shard, and whose turn is next.
use super::*;

impl Scheduler {
    pub(super) fn pump_all(&mut self, actions: &mut Vec<Action>) {
        let waits = self.shards.iter().filter(|(_, s)| !s.queues.is_empty()).map(|(id, _)| *id);
        waits.collect::<Vec<_>>().into_iter().for_each(|s| self.pump(s, actions));
    }

    pub(super) fn enqueue(&mut self, id: RequestId, front: bool, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.place = Place::Queued;
        let (shard, lane) = (held.shard, (held.background, held.session));
        let queue = self.shards.entry(shard).or_default().queues.entry(lane).or_default();
        queue.units += held.request.units;
        match front {
            true => queue.held.push_front(id),
            false => queue.held.push_back(id),
        }
        self.pump(shard, actions);
    }

    /// Lets the first request of a key join its volume's queue once nothing of the key is out or resting.
    pub(super) fn next_of_key(&mut self, key: &KeyId, actions: &mut Vec<Action>) {
        let Some(line) = self.keys.get(key) else { return };
        if line.rests_until > self.now {
            self.alarms.insert((line.rests_until, Alarm::Key(key.clone())));
            return;
        }
        let Some(&id) = line.line.front() else { return drop(self.keys.remove(key)) };
        if self.requests.get(&id).is_some_and(|h| h.place == Place::Blocked) {
            self.enqueue(id, true, actions);
        }
    }

    /// Sends what the shard's node may be sent.
    pub(super) fn pump(&mut self, shard: ShardId, actions: &mut Vec<Action>) {
        loop {
            self.drop_late(shard, actions);
            match self.choose(shard) {
                Ok((id, true)) => self.send(id, actions),
                Ok((id, false)) => self.conclude(id, actions),
                Err(Some(at)) => {
                    // One alarm for each shard, the earliest, and never for a moment that has come.
                    let at = at.max(Micros(self.now.0 + 1));
                    let Some(place) = self.shards.get_mut(&shard) else { return };
                    if place.wake <= self.now || at < place.wake {
                        self.alarms.remove(&(place.wake, Alarm::Pump(shard)));
                        self.alarms.insert((at, Alarm::Pump(shard)));
                        place.wake = at;
                    }
                    return;
                }
                Err(None) => return,
            }
        }
    }

    /// Requests that can no longer meet their aim are answered at once: a late answer earns little, and would
    /// make the next ones late too. None goes before its node may be tried again.
    fn drop_late(&mut self, shard: ShardId, actions: &mut Vec<Action>) {
        let latency = STILL_IN_TIME * self.latency_at(shard);
        let Some(place) = self.shards.get_mut(&shard) else { return };
        let soonest = place.node.map_or(self.now, |n| self.nodes[n].not_before.max(self.now));
        let (requests, mut late) = (&self.requests, Vec::new());
        place.queues.retain(|_, queue| {
            queue.held.retain(|id| {
                let passed = requests.get(id).is_none_or(|h| h.due < later(soonest, latency));
                late.extend(passed.then_some(*id));
                !passed
            });
            !queue.held.is_empty()
        });
        late.into_iter().for_each(|id| self.conclude(id, actions));
    }

    /// Whose request is next, and whether its turn comes in time: reservations first, then weighted turns; or
    /// else when to look again.
    fn choose(&mut self, id: ShardId) -> Result<(RequestId, bool), Option<Micros>> {
        let (now, latency) = (self.now, STILL_IN_TIME * self.latency_at(id));
        let shard = self.shards.get_mut(&id).filter(|s| !s.queues.is_empty()).ok_or(None)?;
        let node = &self.nodes[shard.node.ok_or(None)?];
        if node.not_before > now {
            return Err(Some(node.not_before));
        }
        // Attempts silent for long are beside the window: those that a later one's answer has passed, which
        // are lost, and one more, on trial, so that a window of one is not closed by a lost answer.
        let long = node.latency.map_or(1e9, |l| (SILENCE / 2.0 * l).ceil());
        let silent = node.out.iter().take_while(|(at, _)| span(*at, now) >= long).count();
        let lost = node.out.iter().take(silent).filter(|(at, _)| *at < node.answered).count();
        let beside = silent.min(lost + usize::from(node.window >= 1.0));
        if (node.out.len() - beside) as f64 + 1.0 > node.window.max(1.0) {
            let next = node.out.iter().nth(silent).filter(|_| silent == lost);
            return Err(next.map(|(at, _)| later(*at, long)));
        }
        // A host that has just started does not know what it sent before.
        let forgotten = self.started.is_none_or(|s| span(s, now) < self.set.cold.window.0 as f64);
        let mut retry_at = None;
        let mut tiers: [Vec<(bool, usize)>; 4] = Default::default();
        let after = shard.queues.range(shard.turn..);
        for (lane, queue) in after.chain(shard.queues.range(..shard.turn)) {
            let Some(first) = queue.held.front() else { continue };
            let Some(held) = self.requests.get(first) else { continue };
            let (units, session) = (held.request.units, &mut self.sessions[lane.1]);
            session.fill(&self.set, now);
            let mut at = session.ready_at(&self.set, node, units, lane.0, held.attempts == 0);
            if held.due < later(at, latency) {
                return Ok((*first, false));
            }
            let over = node.cold_over(&self.set, now, units, 0.0);
            if over.is_some_and(|over| over > 0.0 || forgotten) {
                at = at.max(later(now, self.set.cold.window.0 as f64 * SMOOTHING + 1.0));
            }
            if at > now {
                retry_at = Some(retry_at.map_or(at, |r: Micros| r.min(at)));
                continue;
            }
            let paid = session.payload + units;
            if session.operations < OPERATION_CREDITS && paid <= POOL_REQUESTS * self.set.most_units {
                tiers[2 * usize::from(session.reserve < units) + usize::from(lane.0)].push(*lane);
            }
        }
        let tier = tiers.iter().find(|t| !t.is_empty()).ok_or(retry_at)?;
        let lane = loop {
            let turn = tier.iter().find(|lane| {
                let queue = &shard.queues[lane];
                let head = queue.held.front().and_then(|id| self.requests.get(id));
                head.is_some_and(|h| queue.deficit >= h.request.units)
            });
            if let Some(lane) = turn {
                break *lane;
            }
            for lane in tier {
                let weight = self.set.plans[self.sessions[lane.1].plan].weight;
                shard.queues.entry(*lane).or_default().deficit += weight * self.set.mean_units;
            }
        };
        shard.turn = lane;
        let queue = shard.queues.entry(lane).or_default();
        let id = queue.held.pop_front().ok_or(None)?;
        let units = self.requests.get(&id).map_or(0.0, |h| h.request.units);
        (queue.units, queue.deficit) = (queue.units - units, (queue.deficit - units).max(0.0));
        Ok((id, true))
    }
}
