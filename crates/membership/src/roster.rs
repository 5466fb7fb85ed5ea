//! Who is configured, finding again who was lost, leaving, and forgetting.
use crate::gossip::About;
use crate::machine::Members;
use crate::names::{Action, Seed, State};
use crate::probe::Why;
use crate::send::{Addressed, Weight};
use crate::settings::check_seeds;
use crate::wire::Message;
use cluster_types::{MemberId, Time};
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::time::Duration;

/// How many members are told at once that we leave.
const TOLD: usize = 5;

/// How often that is done, and how far apart.
const TIMES: u32 = 4;
const APART: Duration = Duration::from_millis(200);

/// The words of leaving that are still to be said.
#[derive(Clone, Debug)]
pub struct Farewell {
    left: u32,
    at: Time,
}

impl Farewell {
    pub fn next(&self) -> Option<Time> {
        (self.left > 0).then_some(self.at)
    }
}

impl Members {
    /// The configured fronts but for this one.
    pub(crate) fn others(&self) -> Vec<Seed> {
        let mine = &self.settings.me.member;
        self.settings.seeds.iter().filter(|seed| seed.member != *mine).cloned().collect()
    }

    /// Other fronts are configured from now on. Bad ones are refused as a whole.
    pub(crate) fn roster(&mut self, seeds: Vec<Seed>, now: Time, out: &mut Vec<Action>) {
        if check_seeds(&self.settings.me, &seeds, self.settings.most).is_err() {
            self.figures.malformed += 1;
            return;
        }
        let before: BTreeSet<MemberId> = self.others().into_iter().map(|seed| seed.member).collect();
        self.settings.seeds = seeds;
        let seeds = self.others();
        let after: BTreeSet<MemberId> = seeds.iter().map(|seed| seed.member.clone()).collect();
        for member in before.difference(&after) {
            self.table.unseed(member, now);
            let stays = self.table.get(member).is_some_and(|entry| self.allowed(entry.record.at.ip()));
            if !stays {
                self.strike(member, out);
            }
        }
        for seed in &seeds {
            self.table.seed(seed, now);
        }
    }

    /// Strikes out one that may not be a member any more.
    fn strike(&mut self, member: &MemberId, out: &mut Vec<Action>) {
        if let Some(entry) = self.table.get(member).filter(|entry| entry.record.state.live()) {
            let incarnation = entry.record.incarnation();
            out.push(Action::Changed { member: member.clone(), state: State::Dead, incarnation });
        }
        self.forget(member);
    }

    pub(crate) fn forget(&mut self, member: &MemberId) {
        self.table.remove(member);
        self.sealer.forget(member);
        self.opener.release(member);
        self.news.drop(&About::Member(member.clone()));
    }

    /// Contacts one that is held dead, or some while nobody is known to live: a split heals by that, and a start begins with it.
    pub(crate) fn contact(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.next_contact > now {
            return;
        }
        let alone = self.table.count() == 0;
        let (count, wait) = if alone { (3, self.settings.period) } else { (1, self.settings.contact) };
        self.next_contact = now + wait;
        let dead = self.table.all().filter(|(_, entry)| entry.record.state == State::Dead);
        let mut dead: Vec<MemberId> = dead.map(|(member, _)| member.clone()).collect();
        let some = dead.partial_shuffle(&mut self.rng, count).0.to_vec();
        for member in some {
            if let Some(number) = self.pings.begin(&member, Why::Contact, now + self.settings.period) {
                self.send(&member, Message::Ping { number }, Addressed::Any, Weight::Probe, now, out);
            }
        }
    }

    /// Begins to leave: others are told a few times, then this machine is silent.
    pub(crate) fn leave(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.farewell.is_none() {
            self.me.state = State::Left;
            self.probe = None;
            self.late.clear();
            self.farewell = Some(Farewell { left: TIMES, at: now });
            let (member, incarnation) = (self.me.member.clone(), self.me.incarnation());
            out.push(Action::Changed { member, state: State::Left, incarnation });
        }
    }

    pub(crate) fn say_farewell(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(farewell) =
            self.farewell.as_mut().filter(|farewell| farewell.left > 0 && farewell.at <= now)
        else {
            return;
        };
        farewell.left -= 1;
        farewell.at = now + APART;
        for member in self.some(TOLD, None) {
            self.send(&member, Message::Leave, Addressed::Known, Weight::Probe, now, out);
        }
    }

    /// Whether all has been said that is said on leaving: the process may end.
    pub fn gone(&self) -> bool {
        self.farewell.as_ref().is_some_and(|farewell| farewell.left == 0)
    }
}
