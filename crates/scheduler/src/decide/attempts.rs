//! Attempts: how one is sent, and what its end tells of the node.
use super::*;

/// The least window, of an even part of the ceiling; below one it paces what is beyond reservations.
const WINDOW_FLOOR: f64 = 0.125;
/// The window widens under this multiple of the best latency for each unit: hardly anything waits there.
const NEAR_BEST: f64 = 1.125;
/// Beyond this the waiting at the node is a quarter of the service again: waiting that is better done here.
const FAR_FROM_BEST: f64 = 1.25;
/// One sample counts for at most this many averages, so that one pause does not set the hints.
const OUTLIER: f64 = 4.0;
/// The best latency is forgotten at this share a sample: slow against SMOOTHING, soon against a day.
const FORGETTING: f64 = 1.0 / 512.0;

impl Scheduler {
    pub(super) fn send(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(until) = self.requests.get(&id).map(|h| self.repeatable_until(h)) else { return };
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.place = Place::Out;
        let (mut allowed, aim) = (until > now, held.class.aim);
        let Some(n) = self.shards.get(&held.shard).and_then(|s| s.node) else { return };
        if let Some(budget) = self.set.retry_budget.as_ref().filter(|_| held.attempts > 0) {
            forget(&mut self.taken, Micros(now.0 - budget.window.0));
            forget(&mut self.further, Micros(now.0 - budget.window.0 - 1));
            let most = (budget.floor + budget.share * self.taken.len() as f64).floor();
            allowed &= (self.further.len() + 1) as f64 <= most;
            self.further.extend(allowed.then_some(now));
        }
        if !allowed {
            return self.conclude(id, actions);
        }
        let units = held.request.units;
        let session = &mut self.sessions[held.session];
        (session.operations, session.payload) = (session.operations + 1, session.payload + units);
        if held.attempts == 0 {
            session.limit -= units;
        }
        let (node, background) = (&mut self.nodes[n], held.background);
        if session.reserve < units || background {
            let gap = node.latency.unwrap_or(self.shortest_aim / 4.0) / node.window;
            // Where a window is narrower than its first, many hosts with nothing but background would still
            // send it at once and keep the others' short requests from their aims. Guards against jams in
            // which what can wait is served; could hurt where the worst-served class is the background.
            let gap = gap * self.rng.0.random_range(0.5..1.5);
            let apart = if background { aim.0 as f64 / self.shortest_aim } else { 0.0 };
            node.paced = [later(now, gap), node.paced[1].max(later(now, gap * apart))];
        }
        session.reserve = (session.reserve - units).max(0.0);
        held.attempts += 1;
        node.out.insert((now, id));
        if let Some((come, _)) = node.cold_part(&self.set, now) {
            node.come = (come, now);
            node.sends.push_back((come, units));
        } else {
            node.sends.clear();
        }
        // An answer that was lost must not hold a place in the window for as long as the client may wait.
        let usual = node.latency.unwrap_or(0.0).max(node.per_unit * units);
        let timeout = (SILENCE * usual).max(span(now, held.due)).max(aim.0 as f64) as i64;
        let (node, timeout) = (node.entry.node.clone(), Some(Micros(timeout)));
        actions.push(Action::Send { id, node, timeout, begin_by: until });
    }

    pub(super) fn ended(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(&n) = self.names.get(&outcome.node) else { return };
        let Some(held) = self.requests.get_mut(&outcome.id) else { return };
        if !matches!(held.place, Place::Out | Place::Over) || outcome.attempt + 1 != held.attempts {
            return;
        }
        let node = &mut self.nodes[n];
        let Some(sent) = node.out.iter().find(|(_, id)| *id == outcome.id).map(|(at, _)| *at) else { return };
        node.out.remove(&(sent, outcome.id));
        let units = held.request.units;
        let session = &mut self.sessions[held.session];
        let most = (POOL_REQUESTS - 1.0) * self.set.most_units;
        let short = session.operations >= OPERATION_CREDITS || session.payload > most;
        session.operations = session.operations.saturating_sub(1);
        session.payload = (session.payload - units).max(0.0);
        session.fill(&self.set, now);
        if outcome.ending == Ending::Ok && self.set.tells_elsewhere {
            let elsewhere = outcome.elsewhere.max(0.0);
            let kept = 0.5f64.powf((units + elsewhere) / (POOL_REQUESTS * self.set.mean_units));
            session.here = session.here * kept + units;
            session.everywhere = session.everywhere * kept + units + elsewhere;
        }
        let over = held.place == Place::Over || outcome.finished || outcome.ending == Ending::Ok;
        held.place = Place::Blocked;
        let took = outcome.took.0.max(1) as f64;
        let latency = node.latency.unwrap_or(took);
        let answers = matches!(outcome.ending, Ending::Ok | Ending::Error);
        (node.heard, node.answered) = (now, if answers { node.answered.max(sent) } else { node.answered });
        let mut failed = false;
        match outcome.ending {
            Ending::Ok => {
                let took = took.min(OUTLIER * latency);
                let before = node.latency.replace(latency + SMOOTHING * (took - latency));
                if node.entry.state == NodeState::Ready {
                    self.heard.0 += latency + SMOOTHING * (took - latency) - before.unwrap_or(0.0);
                    self.heard.1 += before.map_or(1.0, |_| 0.0);
                }
                let per_unit = took / units.max(1.0);
                let before = if node.per_unit > 0.0 { node.per_unit } else { per_unit };
                node.per_unit = before + SMOOTHING * (per_unit - before);
                node.best = node.per_unit.min(node.best + FORGETTING * node.per_unit);
                let warm = node.cold_for(&self.set.cold, now).is_none();
                if let Some(place) = self.shards.get_mut(&node.entry.shard).filter(|_| warm) {
                    place.served.add(now, self.set.cold.warm_up.0 as f64, units);
                }
                let used = node.out.len() as f64 + 1.0 >= node.window.floor();
                let late = took > self.shortest_aim / 2.0;
                if node.window > 1.0 && (node.per_unit > FAR_FROM_BEST * node.best || late) {
                    node.window = (node.window - 1.0 / node.window).max(1.0);
                } else if late {
                    node.window *= 0.5;
                } else if node.window < 1.0 {
                    node.window = (1.5 * node.window).min(1.0);
                } else if node.per_unit < NEAR_BEST * node.best && used {
                    node.window += 1.0 / node.window;
                }
                // Where many hosts share a node one late answer tells of the queue that they all made, and
                // the window is for that. Guards reservations, refused though the node answers.
                failed = self.crowd < 1.0 && outcome.took.0 as f64 * self.crowd > self.shortest_aim;
                node.failures = if failed { node.failures } else { 0 };
            }
            Ending::Error => node.failures = 0,
            Ending::Moot | Ending::Cancelled => {}
            // One answer lost, while others came: the node is well.
            Ending::Timeout if node.answered > sent => {}
            Ending::Full | Ending::Timeout | Ending::ConnectFailed | Ending::Reset => {
                node.window = node.window.min(1.0) / 2.0;
                failed = true;
            }
        }
        node.window = node.window.clamp((WINDOW_FLOOR / self.crowd).min(1.0), WINDOW_CEILING);
        if failed {
            // Whatever the cause: one at a time, further and further apart, endlessly while no list comes.
            // Dozens of hosts with one request each are a full queue, so the wait grows with their number.
            let wait = (took * self.crowd).max(self.set.connect_timeout.0 as f64)
                * 2f64.powi(node.failures.min(5 + self.list_failures) - 2);
            node.failures += 1;
            node.not_before = later(now, wait * self.rng.0.random_range(0.5..1.0));
        }
        let may_run = !matches!(outcome.ending, Ending::Full | Ending::ConnectFailed | Ending::Moot);
        held.ran = held.ran.or(may_run.then_some((node.entry.shard, node.entry.zone, sent)));
        let unsure = matches!(outcome.ending, Ending::Timeout | Ending::Reset | Ending::Cancelled);
        let key = held.request.key.as_ref().filter(|_| unsure);
        if let Some(line) = key.and_then(|k| self.keys.get_mut(k)) {
            line.rests_until = line.rests_until.max(later(now, self.set.order_rest.0 as f64));
        }
        let (shard, spent) = (self.nodes[n].entry.shard, held.attempts >= self.set.max_attempts);
        if !over && held.request.shard.is_none() && held.ran.is_none() {
            // A new object that nobody has may still go anywhere.
            let lane = (held.background, held.session);
            let elsewhere = self.place(lane, units);
            self.requests.entry(outcome.id).and_modify(|h| h.shard = elsewhere);
        }
        if over {
            self.remove(outcome.id, actions);
        } else if spent || !self.hold(outcome.id) {
            self.conclude(outcome.id, actions);
        } else {
            self.enqueue(outcome.id, true, actions);
        }
        self.pump(shard, actions);
        if short {
            // Its credits may be awaited at other nodes.
            self.pump_all(actions);
        }
    }
}
