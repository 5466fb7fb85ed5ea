//! The bound on bytes over all gathers together.
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

#[derive(Debug)]
struct Inner {
    most: u64,
    held: AtomicU64,
}

/// The bound; clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Inner>);

impl Budget {
    /// So many bytes over all gathers.
    pub fn new(most: u64) -> Budget {
        Budget(Arc::new(Inner { most, held: AtomicU64::new(0) }))
    }

    /// The bound.
    pub fn most(&self) -> u64 {
        self.0.most
    }

    /// What is held now.
    pub fn held(&self) -> u64 {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Takes so many bytes, all or none.
    pub fn take(&self, bytes: u64) -> Option<Held> {
        let mut held = Held { budget: self.clone(), bytes: 0 };
        held.resize(bytes).then_some(held)
    }
}

/// Bytes taken from a budget; they go back when this goes. Guards against bytes that are forgotten on some way out.
#[derive(Debug)]
pub struct Held {
    budget: Budget,
    bytes: u64,
}

impl Held {
    /// How many.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Makes it so many; false, with nothing changed, where the budget has no room.
    pub fn resize(&mut self, bytes: u64) -> bool {
        let inner = &self.budget.0;
        let old = self.bytes;
        let done = inner.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            let new = (held - old).checked_add(bytes)?;
            (bytes <= old || new <= inner.most).then_some(new)
        });
        if done.is_ok() {
            self.bytes = bytes;
        }
        done.is_ok()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.0.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// What takes memory.
pub trait Size {
    /// Its bytes.
    fn size(&self) -> u64;
}

macro_rules! size {
    ($($type:ty),*) => {$(
        impl Size for $type {
            fn size(&self) -> u64 {
                self.len() as u64
            }
        }
    )*};
}

size!(Vec<u8>, Rc<[u8]>, Arc<[u8]>, Box<[u8]>, String);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_over_the_bound_and_all_goes_back() {
        let budget = Budget::new(100);
        let mut a = budget.take(60).unwrap();
        assert!(budget.take(41).is_none() && budget.take(u64::MAX).is_none());
        let b = budget.take(40).unwrap();
        assert!(!a.resize(61) && a.bytes() == 60 && budget.held() == 100);
        assert!(a.resize(10) && budget.held() == 50);
        drop((a, b));
        assert_eq!(budget.held(), 0);
    }
}
