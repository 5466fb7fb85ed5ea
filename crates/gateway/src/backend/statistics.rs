//! What a front measures of a disk box for those it acts together with: what is out there, when it was last sent to, what it
//! served for which volume. Nothing is counted where nobody asks.
use scheduler::interface::{AttemptOutcome, Micros};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Volumes of a box that are counted; beyond that the smallest share goes uncounted.
const VOLUMES: usize = 1024;
/// What is measured fades to a half in this time, in microseconds.
const HALF: f64 = 10e6;

/// The figures of one box.
#[derive(Default)]
pub struct BackendStatistics {
    /// Whether anybody asks.
    pub on: Cell<bool>,
    /// Attempts that have begun and not ended.
    out: Cell<u32>,
    /// When the last one was written.
    sent: Cell<Option<Micros>>,
    /// Whether one has failed since that was last asked, and whether one was answered.
    failed: Cell<bool>,
    /// When it first came back from work.
    back: Cell<Option<Micros>>,
    /// When it last answered.
    answered: Cell<Option<Micros>>,
    /// Units served for each volume, fading, and as of when.
    units: RefCell<BTreeMap<Rc<str>, f64>>,
    as_of: Cell<Micros>,
}

impl BackendStatistics {
    /// An attempt has begun; it counts until its guard is dropped.
    pub fn begin(self: &Rc<BackendStatistics>) -> Out {
        self.out.set(self.out.get() + 1);
        Out(self.clone())
    }

    /// A command is about to be written.
    pub fn sent(&self, now: Micros) {
        self.sent.set(Some(now));
    }

    /// An attempt has ended.
    pub fn ended(&self, now: Micros, ending: AttemptOutcome, volume: &Rc<str>, units: u32) {
        match ending {
            AttemptOutcome::Ok => {
                self.answered.set(Some(now));
                if self.on.get() {
                    self.fade(now);
                    let mut all = self.units.borrow_mut();
                    if all.len() < VOLUMES || all.contains_key(volume) {
                        *all.entry(volume.clone()).or_default() += f64::from(units);
                    }
                }
            }
            AttemptOutcome::Error | AttemptOutcome::Rejected => self.answered.set(Some(now)),
            AttemptOutcome::Timeout | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                self.failed.set(true)
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    fn fade(&self, now: Micros) {
        let passed = (now.0 - self.as_of.replace(now).0).max(0) as f64;
        let kept = 0.5f64.powf(passed / HALF);
        let mut all = self.units.borrow_mut();
        all.values_mut().for_each(|u| *u *= kept);
        all.retain(|_, u| *u > 1e-3);
    }

    /// Attempts out, and when the last was written.
    pub fn out(&self) -> (u32, Option<Micros>) {
        (self.out.get(), self.sent.get())
    }

    /// Whether an attempt has failed since this was last asked.
    pub fn take_failed(&self) -> bool {
        self.failed.replace(false)
    }

    /// It is taken out for work.
    pub fn leave(&self) {
        self.back.set(None);
    }

    /// It comes back from work; later steps of the same return do not count anew.
    pub fn come_back(&self, now: Micros) {
        self.back.set(self.back.get().or(Some(now)));
    }

    /// When it came back from work.
    pub fn back(&self) -> Option<Micros> {
        self.back.get()
    }

    /// When it last answered.
    pub fn answered(&self) -> Option<Micros> {
        self.answered.get()
    }

    /// Units a second that it serves for each volume, in thousandths.
    pub fn rates(&self, now: Micros) -> BTreeMap<Rc<str>, u64> {
        self.fade(now);
        // A steady rate adds up to rate x HALF / ln 2.
        let second = HALF / std::f64::consts::LN_2 / 1e6;
        let all = self.units.borrow();
        all.iter().map(|(v, u)| (v.clone(), (1000.0 * u / second).round() as u64)).collect()
    }
}

/// An attempt that is out, for as long as this lives.
pub struct Out(Rc<BackendStatistics>);

impl Drop for Out {
    fn drop(&mut self) {
        self.0.out.set(self.0.out.get() - 1);
    }
}
