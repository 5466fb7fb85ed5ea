//! What is due from time to time: measures go to the leader, what is not in the log yet is said again, and the leader
//! proposes the next steps.
use crate::clock::unix;
use crate::core::{Core, Measured};
use crate::frames::Frame;
use crate::ledger::What;
use crate::mail::{ago, Measures};
use cluster_types::{BackendId, Time};
use consensus::Role;
use maintenance::{BackendFacts, ClusterView, Command, MemberStanding, Presence};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is not in the log is said again after that.
const AGAIN: Duration = Duration::from_millis(400);
/// How often a front measures for the leader, and asks for its lease.
const MEASURED: Duration = Duration::from_millis(300);
/// Older measures count as none.
const FRESH: Duration = Duration::from_secs(3);
/// A proposal of which nothing was heard for so long is made again.
const PROPOSED: Duration = Duration::from_secs(2);

impl Core {
    /// What the front measured.
    pub fn measures(&mut self, now: Time, measures: Measures) {
        for (id, seen) in &measures.boxes {
            let last_send = seen.last_send.map(|span| ago(now, span));
            let (id, out) = (id.clone(), seen.out);
            self.own(
                now,
                maintenance::Event::InFlight { backend: id, in_flight: out, last_send, measured_at: now },
            );
        }
        let seen = self.ledger.applied;
        let me = self.settings.me.clone();
        self.measured.insert(me, Measured { came: now, seen, measures });
    }

    /// One turn.
    pub fn turn(&mut self, now: Time) {
        self.present(now);
        self.again(now);
        if now.since(self.last[1]) >= MEASURED {
            self.last[1] = now;
            self.ask(now);
        }
        // No more often than anything new is measured: each turn would find figures that differ a little.
        let due = now.since(self.last[0]) >= MEASURED;
        if due && self.node.role() == Role::Leader && self.node.lease_expiry(now).is_some() {
            self.last[0] = now;
            self.lead(now);
        }
    }

    /// Says that this front is there, under this start of it.
    fn present(&mut self, now: Time) {
        let (me, life) = (self.settings.me.clone(), self.start);
        let there = self.ledger.desk.standing(&me) == Some(MemberStanding::Present { incarnation: life });
        if !there && !self.leaving && now.since(self.last[2]) >= AGAIN {
            self.last[2] = now;
            let presence = Presence::Present { incarnation: life };
            self.forward(now, 0, What::Maintenance(Command::SetPresence { member: me, presence }));
        }
    }

    fn again(&mut self, now: Time) {
        let mut due = Vec::new();
        for (ticket, waiting) in &mut self.waiting {
            if now.since(waiting.said) >= AGAIN {
                waiting.said = now;
                due.push((*ticket, waiting.what.clone()));
            }
        }
        for (ticket, what) in due {
            self.forward(now, ticket, what);
        }
        self.expire(now);
    }

    /// Tells the leader what was measured, and asks for the lease; the leader has its own.
    fn ask(&mut self, now: Time) {
        let leader = match (self.node.role(), self.node.leader()) {
            (Role::Leader, _) => {
                // It gives itself what it gives the others, and like them only while nobody else can lead.
                if self.node.lease_expiry(now).is_some() {
                    self.leased(now, self.settings.lease);
                }
                return;
            }
            (_, leader) => leader.cloned(),
        };
        let (Some(leader), Some(own)) = (leader, self.measured.get(&self.settings.me)) else { return };
        let measures = Box::new(own.measures.clone());
        let frame = Frame::Measured { asked: now.0, seen: own.seen, measures };
        self.send(&leader, &frame);
    }

    fn lead(&mut self, now: Time) {
        self.proposed.retain(|_, at| now.since(*at) < PROPOSED);
        if !self.proposed.is_empty() {
            return;
        }
        let me = self.settings.me.clone();
        let failing = self.failing(now);
        self.watch.update(now, &self.ledger.desk, &failing);
        let mut commands = Vec::new();
        if *self.ledger.desk.rules() != self.settings.rules {
            commands.push(Command::SetRules(self.settings.rules.clone()));
        } else {
            let at_ms = u64::try_from(unix().as_millis()).unwrap_or(u64::MAX);
            let view = self.collected(now);
            commands = self.ledger.desk.propose(at_ms, &view);
        }
        for command in commands {
            self.propose(now, me.clone(), 0, What::Maintenance(command));
        }
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (&cluster_types::MemberId, &Measured)> {
        self.measured.iter().filter(move |(_, m)| now.since(m.came) < FRESH)
    }

    fn failing(&self, now: Time) -> BTreeSet<BackendId> {
        let failed = |m: &'_ Measured| {
            m.measures.boxes.iter().filter(|(_, s)| s.failed).map(|(b, _)| b.clone()).collect::<Vec<_>>()
        };
        self.fresh(now).flat_map(|(_, m)| failed(m)).collect()
    }

    /// What all fronts measured, put together. A box is listed where one front has it on its list, dead where more than half
    /// of them find it so, cold where any does.
    fn collected(&self, now: Time) -> ClusterView {
        let mut view = ClusterView { healthy_ms: self.watch.healthy_ms(now), ..ClusterView::default() };
        let mut found: BTreeMap<BackendId, (usize, usize)> = BTreeMap::new();
        let mut fresh = BTreeSet::new();
        view.seen = self.ledger.applied;
        let (mut whole, mut most) = (true, 0);
        for (member, measured) in self.fresh(now) {
            fresh.insert(member.clone());
            view.seen = view.seen.min(measured.seen);
            whole &= measured.measures.whole;
            most = most.max(measured.measures.reserved);
            for (id, seen) in &measured.measures.boxes {
                let fact = view.backends.entry(id.clone()).or_insert_with(|| BackendFacts {
                    zone: seen.hall.clone(),
                    is_listed: false,
                    has_failed: false,
                    is_warming_up: false,
                });
                fact.is_listed |= seen.listed;
                fact.is_warming_up |= seen.cold;
                let (all, died) = found.entry(id.clone()).or_default();
                *all += 1;
                *died += usize::from(seen.died);
                if seen.units > 0 {
                    // In steps of a double: parts are not to be dealt anew for every little change.
                    let units = seen.units.next_power_of_two();
                    view.traffic.entry(id.clone()).or_default().insert(member.clone(), units);
                }
            }
            for (volume, (reserved, boxes)) in &measured.measures.volumes {
                let fact = view.volumes.entry(volume.clone()).or_default();
                fact.reserved += reserved;
                for (id, carries) in boxes {
                    *fact.backends.entry(id.clone()).or_default() += carries;
                }
            }
        }
        for (id, (all, died)) in found {
            if let Some(fact) = view.backends.get_mut(&id) {
                fact.has_failed = 2 * died > all;
            }
        }
        // A volume is not owed more than is reserved, nor more than it asks for: what it does not use can't be missing.
        for fact in view.volumes.values_mut() {
            fact.reserved = fact.reserved.min(most);
        }
        view.is_complete = whole && self.ledger.desk.present_members().all(|m| fresh.contains(m));
        view
    }
}
