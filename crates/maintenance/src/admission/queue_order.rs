//! Which younger batches have to wait for an older one: only those that would delay it.
use super::out_backends::OutBackends;
use crate::bound::Bound;
use crate::request::Batch;
use cluster_types::BackendId;

/// Two waiting batches that compete for a bound, without backends that have failed: these are out whatever is granted.
struct Competition<'s, 'a> {
    out: &'s OutBackends<'a>,
    older: Batch,
    younger: Batch,
}

impl OutBackends<'_> {
    /// Whether granting `younger` would delay `older`: once those have returned that `older` waits for anyway, it still
    /// could not be granted because of `younger`.
    pub(super) fn is_delayed_by(&self, older: &Batch, younger: &Batch) -> bool {
        let without_failed = |batch: &Batch| -> Batch {
            batch.iter().filter(|backend| !self.has_failed(backend)).cloned().collect()
        };
        let (older, younger) = (without_failed(older), without_failed(younger));
        if older.is_empty() || younger.is_empty() {
            return false;
        }
        Competition { out: self, older, younger }.delays_older()
    }
}

impl<'a> Competition<'_, 'a> {
    fn delays_older(&self) -> bool {
        let older_bounds = self.out.bounds_of(self.older.iter());
        let younger_bounds = self.out.bounds_of(self.younger.iter());
        let due: Vec<(&Bound, usize)> =
            older_bounds.iter().map(|bound| (bound, self.returns_due(bound))).collect();
        older_bounds.intersection(&younger_bounds).any(|bound| match bound {
            Bound::Reservation(volume) => {
                !self.out.keeps_reservation(volume, |backend| self.is_out_with_both(backend))
            }
            _ => {
                let excess = self.count_with_both(bound).saturating_sub(self.out.allowed(bound));
                let covers =
                    |(other, returns): &(&Bound, usize)| self.returns_under(bound, other, *returns) >= excess;
                excess > 0 && !due.iter().any(covers)
            }
        })
    }

    fn is_out_with_both(&self, backend: &BackendId) -> bool {
        self.out.contains(backend) || self.older.contains(backend) || self.younger.contains(backend)
    }

    /// How many backends under a bound would be out with both batches.
    fn count_with_both(&self, bound: &Bound) -> usize {
        let is_under = |backend: &&BackendId| self.out.is_under(backend, bound);
        self.others().filter(is_under).count()
            + self.older.iter().filter(is_under).count()
            + self.younger.iter().filter(is_under).count()
    }

    /// The backends that are out and belong to neither batch.
    fn others(&self) -> impl Iterator<Item = &'a BackendId> + use<'_, 'a> {
        let is_other =
            |backend: &&BackendId| !self.older.contains(*backend) && !self.younger.contains(*backend);
        self.out.backends().filter(is_other)
    }

    /// How many backends under a bound must return before the older batch can be granted, were there no younger one.
    fn returns_due(&self, bound: &Bound) -> usize {
        match bound {
            Bound::Reservation(volume) => {
                let is_out = |backend: &BackendId| {
                    let is_out_already = self.out.contains(backend) && !self.younger.contains(backend);
                    self.older.contains(backend) || is_out_already
                };
                usize::from(!self.out.keeps_reservation(volume, is_out))
            }
            _ => {
                let is_under = |backend: &&BackendId| self.out.is_under(backend, bound);
                let out = self.others().filter(is_under).count();
                let added = self.older.iter().filter(is_under).count();
                (out + added).saturating_sub(self.out.allowed(bound))
            }
        }
    }

    /// Of the `returns` that are due under `other`, at least so many are under `bound` as well: those under `other` alone
    /// can't be more than there are. Returns due under `bound` itself make room for the older batch alone.
    fn returns_under(&self, bound: &Bound, other: &Bound, returns: usize) -> usize {
        if bound == other {
            return 0;
        }
        let is_under_other_alone = |backend: &&BackendId| {
            self.out.is_under(backend, other)
                && !self.out.is_under(backend, bound)
                && !self.out.has_failed(backend)
        };
        returns.saturating_sub(self.others().filter(is_under_other_alone).count())
    }
}
