//! Who waits for whom: the longest-waiting goes first, and holds back only what would keep it waiting.
use crate::bounds::{Bound, Step, Tally};
use crate::desk::Desk;
use cluster_types::{BackendId, Index};

impl<'a> Tally<'a> {
    /// Whether `older`, which waits, holds back `younger`: once what must come back for `older` anyway is back, it could not
    /// go because of `younger`. Guards against starvation: whatever is granted meanwhile, the older goes as soon as it
    /// would have gone without.
    pub(crate) fn holds(&self, granted: &Tally, older: &Step, younger: &Step) -> bool {
        !older.is_disjoint(younger) || self.delays(older, younger) || granted.delays(older, younger)
    }

    /// The steps that wait for turns, the longest-waiting first. One that could not go even with all turns over (a box
    /// died, its volume has too little) is none of them, and holds back nobody.
    pub(crate) fn queue(&self) -> Vec<(Index, &'a str, Step)> {
        let desk: &'a Desk = self.desk;
        let open = desk.open().into_iter();
        let steps = open.flat_map(|(name, w)| w.steps().into_iter().map(move |s| (w.number, name, s)));
        steps.filter(|(_, _, step)| self.fits_in_time(step)).collect()
    }

    fn delays(&self, older: &Step, younger: &Step) -> bool {
        let fresh = |s: &Step| s.iter().filter(|b| !self.by_fate(b)).cloned().collect::<Step>();
        let (a, b) = (fresh(older), fresh(younger));
        if a.is_empty() || b.is_empty() {
            return false;
        }
        let theirs = self.bounds_of(a.iter());
        let shared = self.bounds_of(b.iter());
        let anyway: Vec<(&Bound, usize)> = theirs.iter().map(|r| (r, self.must_leave(r, &a, &b))).collect();
        theirs.intersection(&shared).any(|s| match s {
            Bound::Reserve(volume) => {
                !self.reserve_kept(volume, |x| self.out.contains_key(x) || a.contains(x) || b.contains(x))
            }
            _ => {
                let here = |x: &&BackendId| self.is_in(x, s);
                let with = self.others(&a, &b).filter(here).count()
                    + a.iter().filter(here).count()
                    + b.iter().filter(here).count();
                let over = with.saturating_sub(self.cap(s));
                over > 0 && !anyway.iter().any(|(r, n)| self.least_in(s, r, *n, &a, &b) >= over)
            }
        })
    }

    /// Those out that belong to neither step.
    fn others<'s>(&'s self, a: &'s Step, b: &'s Step) -> impl Iterator<Item = &'s BackendId> {
        self.out.keys().copied().filter(move |x| !a.contains(*x) && !b.contains(*x))
    }

    /// How many of those out under a bound must come back before `a` can go, were `b` not there.
    fn must_leave(&self, bound: &Bound, a: &Step, b: &Step) -> usize {
        match bound {
            Bound::Reserve(volume) => {
                let kept = self
                    .reserve_kept(volume, |x| a.contains(x) || (self.out.contains_key(x) && !b.contains(x)));
                usize::from(!kept)
            }
            _ => {
                let out = self.others(a, b).filter(|x| self.is_in(x, bound)).count();
                let adds = a.iter().filter(|x| self.is_in(x, bound)).count();
                (out + adds).saturating_sub(self.cap(bound))
            }
        }
    }

    /// Of `n` that must come back under `bound`, so many at least are under `other` as well: those under `bound` alone can't
    /// be more than there are. What must come back under `other` by itself makes room for `a` alone.
    fn least_in(&self, other: &Bound, bound: &Bound, n: usize, a: &Step, b: &Step) -> usize {
        if other == bound {
            return 0;
        }
        let alone =
            self.others(a, b).filter(|x| self.is_in(x, bound) && !self.is_in(x, other) && !self.by_fate(x));
        n.saturating_sub(alone.count())
    }
}
