//! The memory limit of all gathers together.
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

#[derive(Debug)]
struct Inner {
    capacity: u64,
    reserved: AtomicU64,
}

/// A budget of bytes that all gathers share; clones refer to the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Inner>);

impl MemoryBudget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: u64) -> MemoryBudget {
        MemoryBudget(Arc::new(Inner { capacity, reserved: AtomicU64::new(0) }))
    }

    /// The total bytes that may be reserved.
    pub fn capacity(&self) -> u64 {
        self.0.capacity
    }

    /// The bytes currently reserved.
    pub fn reserved(&self) -> u64 {
        self.0.reserved.load(Ordering::Relaxed)
    }

    /// Reserves bytes; `None` if not enough are available.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let mut reservation = Reservation { budget: self.clone(), bytes: 0 };
        reservation.resize(bytes).then_some(reservation)
    }
}

/// Reserved bytes of a budget, released on drop so that no code path leaks them.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: u64,
}

impl Reservation {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Changes the reservation to `bytes`; returns false and changes nothing if the budget has too few.
    pub fn resize(&mut self, bytes: u64) -> bool {
        let inner = &self.budget.0;
        let before = self.bytes;
        let is_resized = inner
            .reserved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |reserved| {
                let after = (reserved - before).checked_add(bytes)?;
                (bytes <= before || after <= inner.capacity).then_some(after)
            })
            .is_ok();
        if is_resized {
            self.bytes = bytes;
        }
        is_resized
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A value whose memory is budgeted.
pub trait Size {
    /// The size in bytes.
    fn size(&self) -> u64;
}

macro_rules! impl_size_from_len {
    ($($type:ty),*) => {$(
        impl Size for $type {
            fn size(&self) -> u64 {
                self.len() as u64
            }
        }
    )*};
}

impl_size_from_len!(Vec<u8>, Rc<[u8]>, Arc<[u8]>, Box<[u8]>, String);
