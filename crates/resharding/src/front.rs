//! A front's part in moves: its gate, its copiers, and what it says of both in the log.
use crate::copier::{Copier, End, Order};
use crate::gate::{Controlled, Ending, Gate, Kept, May};
use crate::moves::{Command, Move, Moves, Phase, Standing};
use crate::runs::Runs;
use crate::{shard, Rules};
use cluster_types::{BackendId, BlockRange, Index, MemberId, Time, Volume};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A front, or the shard of it that serves certain volumes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Front {
    /// Who may use what.
    pub gate: Gate,
    copiers: BTreeMap<(Index, Index), Copier>,
    said: BTreeMap<(Index, u8), (Index, Time)>,
    shard: (u32, u32),
}

impl Front {
    /// A process that starts, with what it kept of the log.
    pub fn new(
        me: MemberId,
        life: u64,
        rules: Rules,
        controlled: Controlled,
        kept: Arc<Moves>,
        now: Time,
    ) -> Front {
        let gate = Gate::new(me, life, rules, controlled, kept, now);
        Front { gate, copiers: BTreeMap::new(), said: BTreeMap::new(), shard: (0, 1) }
    }

    /// Only the volumes of this shard among so many.
    pub fn sharded(mut self, number: u32, of: u32) -> Front {
        self.shard = (number, of.max(1));
        self
    }

    /// Whether a command may go now: see [`Gate::may`].
    pub fn may(&mut self, now: Time, volume: &Volume, blocks: BlockRange, write: bool) -> May {
        self.gate.may(now, volume, blocks, write)
    }

    /// A command has ended: see [`Gate::done`].
    pub fn done(&mut self, ticket: u64, now: Time, ending: Ending) -> Kept {
        self.gate.done(ticket, now, ending)
    }

    /// What the front has applied of the log.
    pub fn learn(&mut self, moves: Arc<Moves>) {
        self.gate.learn(moves);
    }

    /// A lease has been granted.
    pub fn granted(&mut self, asked: Time, upto: Index) {
        self.gate.granted(asked, upto);
    }

    /// An order has ended.
    pub fn ended(&mut self, order: &Order, now: Time, end: End) {
        if let Some(copier) = self.copiers.get_mut(&(order.id, order.number)) {
            copier.ended(order.token, now, end);
        }
    }

    /// Whether an order may be sent now: to be asked right before.
    pub fn may_order(&self, order: &Order, now: Time) -> bool {
        now < order.until && self.copiers.contains_key(&(order.id, order.number))
    }

    /// What it has to say, and what is to be copied. To be asked often. `spare` tells what a box can do beyond
    /// reservations, in units a second.
    pub fn step(&mut self, now: Time, spare: &dyn Fn(&BackendId) -> u64) -> (Vec<Command>, Vec<Order>) {
        let known = Arc::clone(&self.gate.known);
        let (mut commands, mut orders) = (Vec::new(), Vec::new());
        self.gate.settle(now);
        self.said.retain(|(id, _), _| known.active.contains_key(id));
        for (&(id, number), copier) in &mut self.copiers {
            let m = known.active.get(&id);
            if m.is_none_or(|m| m.mover != Some((self.gate.me.clone(), number))) {
                copier.stop(now);
            }
        }
        self.copiers.retain(|(id, number), c| {
            let mine = known.active.get(id).is_some_and(|m| m.mover == Some((self.gate.me.clone(), *number)));
            mine || !c.idle()
        });
        for (id, m) in &known.active {
            if shard(&m.volume, self.shard.1) != self.shard.0 {
                continue;
            }
            self.copy(now, *id, m, &known, spare, &mut commands, &mut orders);
            commands.extend(self.word(now, *id, m, &known));
        }
        (commands, orders)
    }

    #[allow(clippy::too_many_arguments)]
    fn copy(
        &mut self,
        now: Time,
        id: Index,
        m: &Move,
        known: &Moves,
        spare: &dyn Fn(&BackendId) -> u64,
        commands: &mut Vec<Command>,
        orders: &mut Vec<Order>,
    ) {
        let Some((_, number)) = m.mover.as_ref().filter(|(f, _)| *f == self.gate.me) else { return };
        let stopped = Command::Stopped { id, number: *number };
        let uses = matches!(m.fronts.get(&self.gate.me), Some(Standing::Uses { life, .. }) if *life == self.gate.life);
        let copies = matches!(m.phase, Phase::Copy | Phase::CatchUp | Phase::HandOver { .. });
        if !uses {
            return;
        }
        let new = || Copier::new(id, *number, self.gate.rules.clone(), now);
        let copier = self.copiers.entry((id, *number)).or_insert_with(new);
        if !copies || copier.fails() {
            copier.stop(now);
            if copier.idle() && due(&mut self.said, now, id, *number, 5, self.gate.rules.report) {
                commands.push(stopped);
            }
            return;
        }
        let until = if self.gate.leased(now) { self.gate.lease() } else { now };
        let spare = spare(&m.from).min(spare(&m.to));
        orders.extend(copier.next(now, m, known.applied, spare, known.bounds.share_milli, until));
        let hurry = matches!(m.phase, Phase::HandOver { .. });
        commands.extend(copier.report(now, hurry));
    }

    /// What the front says of its own use of the range.
    fn word(&mut self, now: Time, id: Index, m: &Move, known: &Moves) -> Option<Command> {
        let (me, life, rules) = (self.gate.me.clone(), self.gate.life, self.gate.rules.clone());
        let standing = m.fronts.get(&me)?;
        let still = self.gate.quiet(m) && !self.copiers.iter().any(|((i, _), c)| *i == id && !c.idle());
        let leased = self.gate.leased(now) && now > self.gate.started + rules.longest;
        let mut due = |mark: Index, kind: u8| due(&mut self.said, now, id, mark, kind, rules.report);
        match (standing, &m.phase) {
            (Standing::Awaited, p) if p.may_go_back() && leased => {
                // From here on the range is used under the lease, whether or not the word is heard.
                self.gate.promised.insert(id);
                due(id, 0).then(|| Command::Ready { id, life, after: known.away_at(&me) })
            }
            (Standing::Away, p) if p.may_go_back() && leased && still => {
                let after = known.away_at(&me);
                due(after, 1).then_some(Command::Ready { id, life, after })
            }
            (Standing::Uses { life: l, heard }, p) if *l == life && p.may_go_back() => {
                let freeze = match p {
                    Phase::HandOver { freeze, quiet } if self.gate.quiet(m) && !quiet.contains(&me) => {
                        Some(*freeze)
                    }
                    _ => None,
                };
                let marks = self.gate.marks.entry(id).or_default();
                if *heard >= marks.number {
                    marks.said = Runs::default();
                }
                let nothing = marks.fresh.is_empty() && marks.said.is_empty();
                let say = match freeze {
                    Some(freeze) => due(freeze, 2),
                    None => !nothing && due(Index(0), 3),
                };
                if !say {
                    return None;
                }
                // What is not yet heard is said again with what is new.
                marks.said.merge(&std::mem::take(&mut marks.fresh));
                marks.number += 1;
                let (number, marks) = (marks.number, marks.said.blocks());
                Some(match freeze {
                    Some(freeze) => Command::Quiet { id, freeze, life, number, marks },
                    None => Command::Dirty { id, life, number, marks },
                })
            }
            (Standing::Uses { life: l, .. }, Phase::Switch { knows, epoch }) if *l == life => {
                (!knows.contains(&me) && due(*epoch, 4)).then_some(Command::Moved { id, life })
            }
            (Standing::Away, Phase::Switch { epoch, .. } | Phase::Release { epoch }) => {
                (m.owing.contains_key(&me) && still && due(*epoch, 4)).then_some(Command::Moved { id, life })
            }
            (_, Phase::Back { .. }) => {
                let number = m.owing.get(&me).copied().flatten()?;
                (still && due(number, 5)).then_some(Command::Stopped { id, number })
            }
            _ => None,
        }
    }
}

/// Whether something is to be said: not yet, or again after a while.
fn due(
    said: &mut BTreeMap<(Index, u8), (Index, Time)>,
    now: Time,
    id: Index,
    mark: Index,
    kind: u8,
    span: Duration,
) -> bool {
    let before = said.get(&(id, kind));
    let again = before.is_none_or(|(m, at)| *m != mark || now.since(*at) >= span);
    if again {
        said.insert((id, kind), (mark, now));
    }
    again
}
