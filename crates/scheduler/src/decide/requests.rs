//! A request from its arrival to its final answer.
use super::*;

/// The most shards that are known, those that clients name among them.
const SHARDS: usize = 1024;

impl Scheduler {
    pub(super) fn arrived(&mut self, request: Request, actions: &mut Vec<Action>) {
        let (id, now) = (request.id, self.now);
        if self.requests.contains_key(&id) {
            return;
        }
        if let Some(budget) = &self.set.retry_budget {
            forget(&mut self.taken, Micros(now.0 - budget.window.0));
            self.taken.push_back(now);
        }
        let odd = request.class >= self.set.classes.len() || request.plan >= self.set.plans.len();
        if odd || !(request.units.is_finite() && request.units >= 0.0) || request.grace.0 <= 0 {
            return actions.push(Action::Refuse { id, wait: None });
        }
        let class = self.set.classes[request.class].clone();
        let (aim, in_order) = (class.aim, class.in_order);
        let hosts = f64::from(request.volume_hosts.clamp(1, self.set.hosts));
        let full = self.shards.len() >= SHARDS;
        let nowhere = full && request.shard.is_some_and(|s| !self.shards.contains_key(&s));
        let Some(session) = self.session(&request, hosts).filter(|_| !nowhere) else {
            return actions.push(Action::Refuse { id, wait: self.hint(None, aim) });
        };
        self.sessions[session].fill(&self.set, now);
        self.sessions[session].hosts = hosts.max(self.sessions[session].hosts);
        let lane = (self.background[request.class], session);
        let shard = request.shard.unwrap_or_else(|| self.place(lane, request.units));
        // A client's further try on the same key waits until the very moment the first one did: then the aim
        // runs from the first. A short time alone tells nothing, clients differ in patience.
        let patience = Micros(now.0 + request.grace.0);
        let near = ANSWER_TICKS * self.set.tick.0;
        let same = (Micros(patience.0 - near), 0, None, now)..(Micros(patience.0 + near), 0, None, now);
        let first = self.unserved.range(same).find(|u| u.1 == session && u.2 == request.key).cloned();
        self.asked(session, shard, request.units, first.is_none());
        let came = first.filter(|f| self.unserved.remove(f)).map_or(now, |(_, _, _, came)| came);
        let (due, expires) = (Micros(came.0 + aim.0).min(patience), Micros(patience.0 - near));
        let wait = self.expected(shard, lane, request.units);
        let key = request.key.clone().filter(|_| in_order);
        if let Some(wait) = wait.filter(|w| *w > span(now, due)) {
            let hint = self.hint(Some(wait), aim);
            self.unserved.insert((patience, session, request.key, came));
            return actions.push(Action::Refuse { id, wait: hint });
        }
        self.sessions[session].requests += 1;
        let held = Held {
            request,
            class,
            background: lane.0,
            session,
            shard,
            came,
            due,
            expires,
            ..Held::default()
        };
        self.requests.insert(id, held);
        if !self.hold(id) {
            return self.conclude(id, actions);
        }
        let Some(key) = key else { return self.enqueue(id, false, actions) };
        self.keys.entry(key.clone()).or_default().line.push_back(id);
        self.next_of_key(&key, actions);
    }

    /// Until when a request may be sent to its shard's node, after what has happened to it.
    pub(super) fn repeatable_until(&self, held: &Held) -> Micros {
        let class = &held.class;
        let node = self.shards.get(&held.shard).and_then(|s| s.node).map(|n| &self.nodes[n].entry);
        match (held.ran, class.repeats) {
            (None, _) | (_, Repeats::Safe) => Micros(i64::MAX),
            (_, Repeats::Unsafe) => Micros(0),
            (Some((shard, zone, since)), Repeats::Keyed(group)) => {
                let same = node.is_none_or(|node| match group {
                    Group::All => true,
                    Group::Zone => zone == node.zone,
                    Group::Shard => shard == node.shard,
                });
                later(since, if same { class.repeat_window.0 as f64 } else { 0.0 })
            }
        }
    }

    /// Sets the alarm of a held request for the last moment at which a turn still comes in time, be it in its
    /// queue, behind its key or without a node; false if that has passed: then it is to be answered now.
    pub(super) fn hold(&mut self, id: RequestId) -> bool {
        let waits = |h: &&Held| matches!(h.place, Place::Blocked | Place::Queued);
        let Some(held) = self.requests.get(&id).filter(waits) else { return true };
        let until = Micros(self.repeatable_until(held).0 - 1).min(held.expires);
        let last = later(held.due, -STILL_IN_TIME * self.latency_at(held.shard)).min(until);
        self.alarms.remove(&(held.lapses, Alarm::Lapse(id)));
        if last > self.now {
            self.alarms.insert((last, Alarm::Lapse(id)));
            self.requests.entry(id).and_modify(|h| h.lapses = last);
        }
        last > self.now
    }

    pub(super) fn left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        match self.requests.get_mut(&id) {
            Some(held) if matches!(held.place, Place::Out | Place::Over) => held.place = Place::Over,
            _ => self.remove(id, actions),
        }
    }

    /// The final answer of a request that has no attempt out: refused where that is true, else failed.
    pub(super) fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id) else { return };
        let (repeats, aim) = (held.class.repeats, held.class.aim);
        let wait = self.expected(held.shard, (held.background, held.session), held.request.units);
        let Some(held) = self.requests.get(&id) else { return };
        let patience = Micros(held.expires.0 + ANSWER_TICKS * self.set.tick.0);
        self.unserved = self.unserved.split_off(&(self.now, 0, None, Micros(0)));
        self.unserved.insert((patience, held.session, held.request.key.clone(), held.came));
        let harmless = matches!(repeats, Repeats::Safe | Repeats::Keyed(Group::All));
        actions.push(match held.ran {
            Some(_) if !harmless => Action::Fail { id },
            _ => Action::Refuse { id, wait: self.hint(wait, aim) },
        });
        self.remove(id, actions);
    }

    pub(super) fn remove(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.remove(&id) else { return };
        self.sessions[held.session].requests -= 1;
        self.alarms.remove(&(held.lapses, Alarm::Lapse(id)));
        let lane = (held.background, held.session);
        let queue = self.shards.get_mut(&held.shard).and_then(|s| s.queues.get_mut(&lane));
        if let Some(queue) = queue.filter(|_| held.place == Place::Queued) {
            queue.units -= held.request.units;
        }
        let Some(key) = held.request.key.filter(|_| held.class.in_order) else { return };
        self.keys.entry(key.clone()).and_modify(|line| line.line.retain(|other| *other != id));
        self.next_of_key(&key, actions);
    }
}
