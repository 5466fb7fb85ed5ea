//! What a gather does when its parts end, and when more is known of the halls.
use crate::answer::Why;
use crate::gather::{Ended, Gather, Shared};
use crate::hall::Stage;
use crate::memory::Size;
use crate::slot::Slot;
use cluster_types::{Time, Zone};

impl<V: Size> Gather<V> {
    /// A part's request ended before the answer.
    pub(crate) fn ended(&mut self, now: Time, part: usize, result: Ended<V>, shared: &mut Shared) {
        let hall = self.hall(part);
        let others = self.held() - self.slots.get(part).map_or(0, Slot::bytes);
        let first = !self.reached_in(&hall).any(|r| r == Some(true));
        let Some(slot @ Slot::Out { .. }) = self.slots.get_mut(part) else {
            shared.counts.stray += 1;
            return;
        };
        let Slot::Out { asked, mut held, .. } = std::mem::replace(slot, Slot::Done) else { return };
        *slot = match result {
            Ended::Served(value) => {
                self.reached[part] = Some(true);
                shared.halls.answered(now, &hall, now.since(asked), first);
                let fits = others.saturating_add(value.size()) <= self.policy.most_bytes;
                match fits && held.resize(value.size()) {
                    true => Slot::Here(value, held),
                    false => {
                        shared.counts.too_large += 1;
                        Slot::Missing(Why::Failed("too large".into()), None)
                    }
                }
            }
            Ended::Refused(hint) => Slot::Missing(Why::Refused, hint),
            Ended::Failed { reason, reached } => {
                self.reached[part] = Some(reached);
                Slot::Missing(Why::Failed(reason), None)
            }
        };
        self.look_again(now, shared);
    }

    /// What the ends of a hall's parts told of it.
    pub(crate) fn reached_in<'a>(&'a self, hall: &'a Zone) -> impl Iterator<Item = Option<bool>> + 'a {
        self.policy.parts.iter().zip(&self.reached).filter(move |(p, _)| p.hall == *hall).map(|(_, r)| *r)
    }

    fn hall(&self, part: usize) -> Zone {
        self.policy.parts.get(part).map(|p| p.hall.clone()).unwrap_or_default()
    }

    /// A part ended after the answer.
    pub(crate) fn after(&mut self, now: Time, part: usize, result: Ended<V>, shared: &mut Shared) {
        match self.slots.get_mut(part) {
            Some(slot @ Slot::Dropped(_)) => {
                if let (Slot::Dropped(asked), Ended::Served(_)) =
                    (std::mem::replace(slot, Slot::Done), result)
                {
                    shared.counts.late += 1;
                    shared.halls.late(now, &self.hall(part), now.since(asked));
                }
            }
            _ => shared.counts.stray += 1,
        }
    }

    /// Something has changed: parts that are out are waited for as long as that is worth it now. A hall in doubt may be
    /// needed now, or not any more. A trial is never made shorter.
    pub(crate) fn look_again(&mut self, now: Time, shared: &Shared) {
        let well = |i: usize| shared.halls.stage(now, &self.policy.parts[i].hall) == Stage::Well;
        let needed = !self.policy.answers(|i| self.slots[i].here() || (self.slots[i].hopeful() && well(i)));
        for (i, part) in self.policy.parts.iter().enumerate() {
            let full = self.full(&shared.halls, &part.hall);
            if let Some(Slot::Out { asked, until, least, .. }) = self.slots.get_mut(i) {
                let wait = shared.halls.wait(now, &part.hall, full.since(*asked), needed);
                *until = (*asked + wait).max(*least);
            }
        }
    }
}
