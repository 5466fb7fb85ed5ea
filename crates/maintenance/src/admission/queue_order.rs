//! Decides which younger batches have to wait for an older one: only those that would delay it.
use super::out_of_service::OutOfServiceSet;
use crate::bound::Bound;
use crate::request::Batch;
use cluster_types::BackendId;

/// Two waiting batches that compete for a bound. Failed backends are left out, since they are out of service whether or
/// not they are granted.
struct Competition<'s, 'a> {
    out: &'s OutOfServiceSet<'a>,
    older: Batch,
    younger: Batch,
}

impl OutOfServiceSet<'_> {
    /// Whether granting `younger` would delay `older`: after the return of the backends that `older` waits for in any case,
    /// it still could not be granted because of `younger`.
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
            older_bounds.iter().map(|bound| (bound, self.required_returns(bound))).collect();
        older_bounds.intersection(&younger_bounds).any(|bound| match bound {
            Bound::Reservation(volume) => {
                !self.out.keeps_reservation(volume, |backend| self.is_out_with_both(backend))
            }
            _ => {
                let excess = self.count_with_both(bound).saturating_sub(self.out.allowed(bound));
                let covers =
                    |(other, returns): &(&Bound, usize)| self.min_returns(bound, other, *returns) >= excess;
                excess > 0 && !due.iter().any(covers)
            }
        })
    }

    fn is_out_with_both(&self, backend: &BackendId) -> bool {
        self.out.contains(backend) || self.older.contains(backend) || self.younger.contains(backend)
    }

    /// How many backends under a bound would be out of service with both batches granted.
    fn count_with_both(&self, bound: &Bound) -> usize {
        let is_under = |backend: &&BackendId| self.out.is_under(backend, bound);
        self.others().filter(is_under).count()
            + self.older.iter().filter(is_under).count()
            + self.younger.iter().filter(is_under).count()
    }

    /// The backends that are out of service and belong to neither batch.
    fn others(&self) -> impl Iterator<Item = &'a BackendId> + use<'_, 'a> {
        let is_other =
            |backend: &&BackendId| !self.older.contains(*backend) && !self.younger.contains(*backend);
        self.out.backends().filter(is_other)
    }

    /// How many backends under a bound must return before the older batch can be granted, regardless of the younger one.
    fn required_returns(&self, bound: &Bound) -> usize {
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

    /// The minimum number of the `returns` required under `other` that must be under `bound` as well, because there are not
    /// enough backends under `other` alone. Returns required under `bound` itself count as 0, since they only free capacity
    /// for the older batch.
    fn min_returns(&self, bound: &Bound, other: &Bound, returns: usize) -> usize {
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
