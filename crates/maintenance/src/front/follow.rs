//! How a front follows its orders, and when it reports.
use super::*;

impl Doing {
    pub(super) fn drains(&self) -> bool {
        !matches!(self, Doing::Part(_, 1..))
    }
}

impl Held {
    pub(super) fn new(doing: Doing, told: Time, serial: u64) -> Held {
        Held { doing, told, as_of: None, quiet: false, heard: false, reported: None, serial }
    }
}

/// What the module is told.
pub(super) fn tell(id: &BackendId, doing: Doing) -> Action {
    let id = id.clone();
    match doing {
        Doing::Part(_, part @ 1..) => Action::Undrain { id, share: Share::Part(part) },
        Doing::Drain(number) | Doing::Part(number, _) => Action::Drain { id, grant: Some(number) },
        Doing::Orphan => Action::Drain { id, grant: None },
    }
}

impl FrontSide {
    pub(super) fn keep(&mut self, out: &mut Vec<Action>) {
        self.serial += 1;
        let boxes = self.held.iter().map(|(id, h)| (id.clone(), h.doing)).collect();
        out.push(Action::Keep { serial: self.serial, kept: Kept { seen: self.seen, boxes } });
    }

    pub(super) fn refounded(&mut self, out: &mut Vec<Action>) {
        self.seen = Index(0);
        self.pending = None;
        for (id, held) in &mut self.held {
            if !held.doing.drains() {
                // It was on its way back: the parts of a log that is no more are nobody's.
                out.push(Action::Drain { id: id.clone(), grant: None });
            }
            held.doing = Doing::Orphan;
        }
        self.keep(out);
    }

    /// Takes up what was ordered last.
    pub(super) fn follow(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some((index, orders)) = self.pending.take() else { return };
        self.seen = index;
        let before = self.serial;
        let ended = self.held.iter().filter(|(id, h)| !orders.contains_key(*id) && h.doing != Doing::Orphan);
        let ended: Vec<BackendId> = ended.map(|(id, _)| id.clone()).collect();
        let mut changed = !ended.is_empty();
        for id in ended {
            self.held.remove(&id);
            out.push(Action::Undrain { id, share: Share::Whole });
        }
        for (id, order) in orders {
            let (doing, heard) = match order {
                Order::Drain { grant, heard } => (Doing::Drain(grant), heard),
                Order::Part { number, part, heard } => (Doing::Part(number, part), heard),
            };
            let held = self.held.entry(id.clone()).or_insert_with(|| Held::new(Doing::Orphan, now, 0));
            if held.doing != doing {
                // Told again, it counts from now on.
                *held = Held::new(doing, now, before + 1);
                out.push(tell(&id, doing));
                changed = true;
            }
            held.heard = heard;
        }
        if changed {
            self.keep(out);
        }
    }

    pub(super) fn figures(
        &mut self,
        now: Time,
        id: &BackendId,
        count: u32,
        last_send: Option<Time>,
        at: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(held) = self.held.get_mut(id).filter(|h| h.doing.drains()) else { return };
        if at > now || held.as_of.is_some_and(|before| at < before) {
            self.stale += 1;
            return;
        }
        held.as_of = Some(at);
        if last_send.is_some_and(|sent| sent > held.told + self.rule) {
            // The module has not kept to the rule: it is told again, and nothing is reported before it does.
            self.late += 1;
            held.told = now;
            out.push(tell(id, held.doing));
        }
        held.quiet = count == 0 && at >= held.told + self.rule;
    }

    /// Reports what is done and not in the log yet. A drain counts once it is on the disk, for it must outlive a restart, and
    /// once the module has nothing out there at a time at which it may send nothing new any more.
    pub(super) fn report(&mut self, now: Time, out: &mut Vec<Action>) {
        let (rule, saved) = (self.rule, self.saved);
        let due = |h: &Held| !h.heard && h.reported.is_none_or(|at| now >= at + AGAIN);
        let grants: BTreeSet<Index> =
            self.held.values().filter(|h| due(h)).filter_map(|h| h.grant()).collect();
        for grant in grants {
            let mut boxes: Vec<&mut Held> =
                self.held.values_mut().filter(|h| h.grant() == Some(grant)).collect();
            if boxes.iter().all(|h| h.quiet && h.serial <= saved) {
                boxes.iter_mut().for_each(|h| h.reported = Some(now));
                out.push(Action::Report(Report::Drained { grant }));
            }
        }
        for (id, held) in &mut self.held {
            let Doing::Part(number, _) = held.doing else { continue };
            if due(held) && held.serial <= saved && now >= held.told + rule {
                held.reported = Some(now);
                out.push(Action::Report(Report::Staged { id: id.clone(), number }));
            }
        }
    }
}

impl Held {
    fn grant(&self) -> Option<Index> {
        match self.doing {
            Doing::Drain(grant) => Some(grant),
            Doing::Part(..) | Doing::Orphan => None,
        }
    }
}
