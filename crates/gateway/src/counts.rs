//! Gauges of open connections and of memory use; each contribution lasts until its guard is dropped.
use std::cell::Cell;
use std::rc::Rc;

/// The values that limits apply to.
#[derive(Default)]
pub struct Gauges {
    /// Client connections.
    pub client_connections: Cell<usize>,
    /// Connections to backends, including those being established.
    pub backend_connections: Cell<usize>,
    /// Bytes of responses that wait to be sent.
    pub unsent_bytes: Cell<usize>,
    /// Bytes of client connections' ring buffers, beyond what each may use uncounted.
    pub ring_bytes: Cell<usize>,
    /// Bytes of replies that are arriving from backends.
    pub arriving_bytes: Cell<usize>,
    /// Values that are being streamed.
    pub streamed_values: Cell<usize>,
}

/// Selects a gauge.
pub type Selector = fn(&Gauges) -> &Cell<usize>;

/// A number of bytes that counts in a gauge until dropped.
pub struct Weight {
    gauges: Rc<Gauges>,
    selector: Selector,
    bytes: usize,
}

impl Weight {
    /// A weight of zero bytes.
    pub fn new(gauges: &Rc<Gauges>, selector: Selector) -> Weight {
        Weight { gauges: gauges.clone(), selector, bytes: 0 }
    }

    /// Replaces the number of bytes.
    pub fn set(&mut self, bytes: usize) {
        let gauge = (self.selector)(&self.gauges);
        let before = std::mem::replace(&mut self.bytes, bytes);
        gauge.set(gauge.get() - before + bytes);
    }
}

impl Drop for Weight {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Counts one in a gauge until dropped.
pub struct Count {
    gauges: Rc<Gauges>,
    selector: Selector,
}

impl Count {
    /// Adds one to a gauge.
    pub fn new(gauges: &Rc<Gauges>, selector: Selector) -> Count {
        let gauge = selector(gauges);
        gauge.set(gauge.get() + 1);
        Count { gauges: gauges.clone(), selector }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        let gauge = (self.selector)(&self.gauges);
        gauge.set(gauge.get() - 1);
    }
}
