//! Volumes and their stores.
use super::*;

/// Volumes that are known before those that no longer matter are forgotten, and the most of them.
const VOLUMES: (usize, usize) = (1024, 8192);

/// A volume at this host.
#[derive(Default)]
pub(super) struct Session {
    pub plan: usize,
    pub hosts: f64,
    /// The reservation's store, as of when, and the same one charged for what clients ask.
    pub reserve: f64,
    pub reserve_at: Micros,
    pub claim: f64,
    /// Units that answers told of lately: served through this host, and through all.
    pub here: f64,
    pub everywhere: f64,
    pub limit: f64,
    pub limit_at: Micros,
    pub operations: u32,
    pub payload: f64,
    /// Requests that are held here or out.
    pub requests: u32,
}

impl Session {
    /// The reservation's store, filled up to now: a second of the rate and one largest request at most; and
    /// the limit's. Tells whether both are full.
    pub fn fill(&mut self, set: &Settings, now: Micros) -> bool {
        let plan = &set.plans[self.plan];
        // This host's part of the volume, as answers tell it; the even part weighs as much as the pool.
        let prior = POOL_REQUESTS * set.mean_units;
        let part = (self.here + prior / self.hosts) / (self.everywhere + prior);
        let rate = plan.reservation * part;
        let depth = if rate > 0.0 { rate + set.most_units } else { 0.0 };
        self.reserve = (self.reserve + rate * span(self.reserve_at, now) / 1e6).min(depth);
        self.claim = (self.claim + rate * span(self.reserve_at, now) / 1e6).min(depth);
        let part = plan.limit_rate / self.hosts * span(self.limit_at, now) / 1e6;
        let burst = plan.limit_burst / self.hosts;
        self.limit = (self.limit + part).min(burst);
        (self.reserve_at, self.limit_at) = (now, now);
        self.reserve >= depth && (plan.limit_rate <= 0.0 || self.limit >= burst)
    }

    /// When the limit and, beyond the reservation, the node's pace let so many units go; filled up to now.
    pub fn ready_at(&self, set: &Settings, node: &Node, units: f64, background: bool, first: bool) -> Micros {
        let plan = &set.plans[self.plan];
        let paced = match node.window {
            window if background && window < node.first => node.paced[0].max(node.paced[1]),
            window if window < 1.0 && self.reserve < units => node.paced[0],
            _ => Micros(0),
        };
        if !first || plan.limit_rate <= 0.0 || self.limit >= units {
            return paced;
        }
        let missing = (units - self.limit) * self.hosts / plan.limit_rate;
        paced.max(later(self.limit_at, missing * 1e6 + 1.0))
    }
}

impl Scheduler {
    /// Forgets volumes whose state is that of one never seen: nothing held or out, and full stores. Guards
    /// memory where every volume is new; a limit is not refilled by it, since it is full already.
    fn forget_volumes(&mut self) {
        self.unserved = self.unserved.split_off(&(self.now, 0, None, Micros(0)));
        self.shards.values_mut().for_each(|s| s.queues.retain(|_, q| !q.held.is_empty()));
        let waiting: BTreeSet<usize> = self.unserved.iter().map(|(_, s, _, _)| *s).collect();
        let (set, now, sessions) = (&self.set, self.now, &mut self.sessions);
        self.volumes.retain(|_, s| {
            let session = &mut sessions[*s];
            let keep = !session.fill(set, now) || session.requests > 0 || waiting.contains(s);
            self.spare.0.extend((!keep).then_some(*s));
            keep
        });
    }

    /// The session of a volume, a new one where it is not known; none where there are too many.
    pub(super) fn session(&mut self, request: &Request, hosts: f64) -> Option<usize> {
        if let Some(session) = self.volumes.get(&request.volume) {
            return Some(*session);
        }
        if self.volumes.len() >= self.sweep_at.max(VOLUMES.0) {
            self.forget_volumes();
            self.sweep_at = (2 * self.volumes.len()).min(VOLUMES.1);
            if self.volumes.len() >= VOLUMES.1 {
                return None;
            }
        }
        // The limit's part begins empty at this host's own start: a host that was started again has
        // forgotten what it sent, and a full part at each start would pass the limit.
        let (reserve_at, limit_at) = (self.now, self.limits_from.or(self.started).unwrap_or(self.now));
        let (plan, reserve, claim) = (request.plan, f64::INFINITY, f64::INFINITY);
        let new = Session { plan, hosts, reserve, claim, reserve_at, limit_at, ..Session::default() };
        let session = self.spare.0.pop().unwrap_or(self.sessions.len());
        self.sessions.resize_with(self.sessions.len().max(session + 1), Session::default);
        self.sessions[session] = new;
        self.volumes.insert(request.volume.clone(), session);
        Some(session)
    }
}
