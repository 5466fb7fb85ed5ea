//! The bound on the bytes of all gathers together.
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

#[derive(Debug)]
struct Inner {
    capacity: u64,
    reserved: AtomicU64,
}

/// A number of bytes that all gathers share; clones are the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Inner>);

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(capacity: u64) -> MemoryBudget {
        MemoryBudget(Arc::new(Inner { capacity, reserved: AtomicU64::new(0) }))
    }

    /// The bytes that may be reserved.
    pub fn capacity(&self) -> u64 {
        self.0.capacity
    }

    /// The bytes that are reserved now.
    pub fn reserved(&self) -> u64 {
        self.0.reserved.load(Ordering::Relaxed)
    }

    /// Reserves so many bytes; none where there are not enough.
    pub fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let mut reservation = Reservation { budget: self.clone(), bytes: 0 };
        reservation.resize(bytes).then_some(reservation)
    }
}

/// Bytes of a budget. They are returned when this is dropped, so that none are lost on any way out.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: u64,
}

impl Reservation {
    /// How many bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Makes it so many bytes; false, with nothing changed, where the budget does not have them.
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

/// A value that takes memory.
pub trait Size {
    /// Its size in bytes.
    fn size(&self) -> u64;
}

macro_rules! impl_size_by_len {
    ($($type:ty),*) => {$(
        impl Size for $type {
            fn size(&self) -> u64 {
                self.len() as u64
            }
        }
    )*};
}

impl_size_by_len!(Vec<u8>, Rc<[u8]>, Arc<[u8]>, Box<[u8]>, String);
