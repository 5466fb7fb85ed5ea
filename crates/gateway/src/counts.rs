//! Counts of what is open and what it weighs, each for as long as its holder lives.
use std::cell::Cell;
use std::rc::Rc;

/// What counts against a bound now.
#[derive(Default)]
pub struct Gauges {
    /// Connections of clients.
    pub clients: Cell<usize>,
    /// Connections to disk boxes, with those that are coming up.
    pub upstream: Cell<usize>,
    /// Bytes of answers that their clients have not taken yet.
    pub unsent: Cell<usize>,
    /// Memory of the rings of clients' connections, beyond what each has in any case.
    pub rings: Cell<usize>,
    /// Memory of replies that are coming from disk boxes.
    pub arriving: Cell<usize>,
    /// Long values that are being passed on.
    pub passing: Cell<usize>,
}

/// One of them.
pub type Which = fn(&Gauges) -> &Cell<usize>;

/// Memory that counts while this lives.
pub struct Weight {
    gauges: Rc<Gauges>,
    which: Which,
    bytes: usize,
}

impl Weight {
    /// Nothing yet.
    pub fn new(gauges: &Rc<Gauges>, which: Which) -> Weight {
        Weight { gauges: gauges.clone(), which, bytes: 0 }
    }

    /// So many bytes from now on.
    pub fn set(&mut self, bytes: usize) {
        let (sum, before) = ((self.which)(&self.gauges), std::mem::replace(&mut self.bytes, bytes));
        sum.set(sum.get() - before + bytes);
    }
}

impl Drop for Weight {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Counts one thing while it lives.
pub struct Count {
    gauges: Rc<Gauges>,
    which: Which,
}

impl Count {
    /// Counts one up.
    pub fn up(gauges: &Rc<Gauges>, which: Which) -> Count {
        let count = which(gauges);
        count.set(count.get() + 1);
        Count { gauges: gauges.clone(), which }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        let count = (self.which)(&self.gauges);
        count.set(count.get() - 1);
    }
}
