//! The replicated state, and how a command changes it.
use crate::back::Returning;
use crate::command::{Command, Effect};
use crate::facts::{BoxFact, Facts, VolumeFact};
use crate::grants::Grant;
use crate::limits;
use crate::roster::Seat;
use crate::rules::Rules;
use crate::status::Status;
use crate::why::Why;
use crate::wish::{Fate, Wish};
use cluster_types::{BackendId, Index, MemberId, Volume};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Where a box is, if it is not in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Place {
    /// Out under a grant.
    Out(Index),
    /// On its way back.
    Returning(Returning),
}

/// The replicated state: the same on all fronts at the same place of the log. It is its own snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desk {
    pub(crate) rules: Rules,
    pub(crate) applied: Index,
    /// The log's time. It never goes back.
    pub(crate) at_ms: u64,
    pub(crate) wishes: BTreeMap<String, Wish>,
    /// Wishes that have ended, the oldest first.
    pub(crate) ended: VecDeque<(String, Wish)>,
    pub(crate) grants: BTreeMap<Index, Grant>,
    pub(crate) places: BTreeMap<BackendId, Place>,
    pub(crate) facts: Facts,
    pub(crate) roster: BTreeMap<MemberId, Seat>,
    pub(crate) refused: u64,
}

impl Desk {
    /// An empty desk. All fronts must begin with the same rules: the default, or what the founding entry has.
    pub fn new(rules: Rules) -> Desk {
        Desk { rules, ..Desk::default() }
    }

    /// Applies an entry of the log: the same everywhere, whatever it is. `by` is the front whose word it is, or where the
    /// operator called; for what the leader proposes by itself, the leader.
    pub fn apply(&mut self, index: Index, at_ms: u64, by: &MemberId, command: &Command) -> Vec<Effect> {
        let mut out = Vec::new();
        if index <= self.applied {
            self.refused += 1;
            out.push(Effect::Refused { what: format!("entry {}", index.0), why: Why::Old });
            return out;
        }
        self.applied = index;
        self.at_ms = self.at_ms.max(at_ms);
        self.settle(&mut out);
        if let Err((what, why)) = self.execute(by, command, &mut out) {
            self.refused += 1;
            out.push(Effect::Refused { what, why });
        }
        self.settle(&mut out);
        out
    }

    fn execute(
        &mut self,
        by: &MemberId,
        command: &Command,
        out: &mut Vec<Effect>,
    ) -> Result<(), (String, Why)> {
        let of = |what: &str, name: &str| {
            let what = format!("{what} {}", name.chars().take(limits::NAME).collect::<String>());
            move |why| (what, why)
        };
        match command {
            Command::Rules(rules) => self.rule(rules).map_err(of("rules", "")),
            Command::Wish { name, boxes, work_ms, by_ms, together } => {
                let boxes = boxes.iter().map(|b| (b.clone(), Fate::Waiting)).collect();
                let (number, by_ms, together) = (self.applied, *by_ms, *together);
                let wish = Wish { number, boxes, work_ms: *work_ms, by_ms, together };
                self.wish(name, wish, out).map_err(of("wish", name))
            }
            Command::Withdraw { name } => self.withdraw(name, out).map_err(of("withdraw", name)),
            Command::Grant { name, boxes } => self.grant(name, boxes, out).map_err(of("grant", name)),
            Command::Drained { grant, member } => {
                self.drained(by, *grant, member, out).map_err(of("drained", &member.0))
            }
            Command::Returned { name, id } => self.returned(name, id, out).map_err(of("returned", name)),
            Command::Done { name } => self.done(name, out).map_err(of("done", name)),
            Command::Stage { id, after, stage, parts } => {
                self.stage(id, *after, *stage, parts, out).map_err(of("stage", &id.0))
            }
            Command::Staged { id, number, member } => {
                self.staged(by, id, *number, member).map_err(of("staged", &member.0))
            }
            Command::Warm { id, number } => self.warm(id, *number, out).map_err(of("warm", &id.0)),
            Command::Observe { seen, whole, boxes, volumes } => {
                self.observe(*seen, *whole, boxes, volumes, out).map_err(of("observe", ""))
            }
            Command::Roster { member, presence } => {
                self.seat(by, member, *presence, out).map_err(of("roster", &member.0))
            }
            Command::Excuse { member } => self.excuse(member, out).map_err(of("excuse", &member.0)),
            Command::Tick => Ok(()),
        }
    }

    fn rule(&mut self, rules: &Rules) -> Result<(), Why> {
        rules.check().map_err(Why::Rules)?;
        self.rules = rules.clone();
        Ok(())
    }

    fn wish(&mut self, name: &str, wish: Wish, out: &mut Vec<Effect>) -> Result<(), Why> {
        if let Some(held) = self.wish_named(name) {
            if !held.same(&wish) {
                return Err(Why::NameTaken);
            }
        } else {
            let boxes = 1..=limits::BOXES;
            if name.is_empty() || name.len() > limits::NAME || !boxes.contains(&wish.boxes.len()) {
                return Err(Why::Malformed);
            }
            let listed = |b: &BackendId| self.facts.fact(b).is_some_and(|f| f.listed);
            if let Some(id) = wish.boxes.keys().find(|b| self.facts.whole_ms.is_some() && !listed(b)) {
                return Err(Why::NotListed(id.clone()));
            }
            let waiting = self.wishes.values().map(|w| w.boxes.len()).sum::<usize>();
            if self.wishes.len() >= limits::WISHES || waiting + wish.boxes.len() > limits::WAITING {
                return Err(Why::Full);
            }
            self.wishes.insert(name.into(), wish);
        }
        out.extend(self.status(name).map(Effect::Told));
        Ok(())
    }

    fn observe(
        &mut self,
        seen: Index,
        whole: bool,
        boxes: &BTreeMap<BackendId, BoxFact>,
        volumes: &BTreeMap<Volume, VolumeFact>,
        out: &mut Vec<Effect>,
    ) -> Result<(), Why> {
        if boxes.len() > limits::OBSERVED || volumes.len() > limits::OBSERVED {
            return Err(Why::Malformed);
        }
        if seen >= self.applied {
            return Err(Why::Late);
        }
        let at = (self.applied, self.at_ms);
        for (id, fact) in boxes {
            if self.facts.learn_box(at, seen, id, fact) {
                self.box_changed(id, fact, out);
            }
        }
        volumes.iter().for_each(|(id, fact)| self.facts.learn_volume(at, seen, id, fact));
        if whole {
            self.facts.whole_ms = Some(self.at_ms);
            self.drop_unlisted(out);
        }
        Ok(())
    }

    /// A box died or is gone: what waits for it ends, and what was on its way back begins anew.
    fn box_changed(&mut self, id: &BackendId, fact: &BoxFact, out: &mut Vec<Effect>) {
        if let Some(Place::Returning(returning)) = self.places.get_mut(id) {
            if !fact.listed {
                self.places.remove(id);
                out.push(Effect::In { id: id.clone() });
            } else if fact.died {
                returning.restart(self.applied);
                out.push(Effect::Return { id: id.clone(), number: self.applied, stage: None });
            }
        }
        if !fact.listed {
            self.drop_unlisted(out);
        }
    }

    /// Boxes that wait and are not listed are not taken out. As long as the list is not known in full, one that was never
    /// listed goes on waiting.
    fn drop_unlisted(&mut self, out: &mut Vec<Effect>) {
        let whole = self.facts.whole_ms.is_some();
        for (name, wish) in &mut self.wishes {
            for (id, fate) in &mut wish.boxes {
                if *fate == Fate::Waiting && self.facts.fact(id).map_or(whole, |f| !f.listed) {
                    *fate = Fate::Gone;
                    out.push(Effect::Gone { name: name.clone(), id: id.clone() });
                }
            }
        }
    }

    /// What time and the last command have brought about: deadlines, what is overdue, what is forgotten, what has ended.
    fn settle(&mut self, out: &mut Vec<Effect>) {
        let now = self.at_ms;
        for (name, wish) in &mut self.wishes {
            if wish.by_ms.is_some_and(|by| by <= now) && wish.waits() {
                let boxes = wish.end_waiting(Fate::Missed);
                out.push(Effect::Missed { name: name.clone(), boxes });
            }
        }
        self.overdue(out);
        let gone_ms = self.rules.gone_ms;
        let gone = self.facts.boxes.iter().filter(|(id, k)| {
            k.gone_ms.is_some_and(|at| at.saturating_add(gone_ms) <= now) && !self.places.contains_key(*id)
        });
        let gone: Vec<BackendId> = gone.map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| self.facts.forget(id));
        let ended: Vec<String> =
            self.wishes.iter().filter(|(_, w)| !w.open()).map(|(n, _)| n.clone()).collect();
        for name in ended {
            out.extend(self.status(&name).map(Effect::Ended));
            if let Some(wish) = self.wishes.remove(&name) {
                self.ended.push_back((name, wish));
            }
            if self.ended.len() > limits::HISTORY {
                self.ended.pop_front();
            }
        }
    }

    /// A wish by its name, also one that has ended.
    pub fn wish_named(&self, name: &str) -> Option<&Wish> {
        let ended = || self.ended.iter().rev().find(|(n, _)| n == name).map(|(_, w)| w);
        self.wishes.get(name).or_else(ended)
    }

    /// How a wish stands, by its name.
    pub fn status(&self, name: &str) -> Option<Status> {
        let wish = self.wish_named(name)?;
        Some(Status {
            name: name.into(),
            wish: wish.clone(),
            waits_for: self.waits_for(wish),
            why: self.why(name),
        })
    }

    pub(crate) fn steps_of(&self, name: &str) -> Vec<BTreeSet<BackendId>> {
        self.wishes.get(name).map(Wish::steps).unwrap_or_default()
    }
}
