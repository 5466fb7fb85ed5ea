//! Statistics of one backend, for the coordination group: attempts in flight, times, and units served for each volume. Units are
//! counted only while the group asks for them.
use scheduler::interface::{AttemptOutcome, Micros};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The maximum number of volumes that are counted for one backend.
const MAX_VOLUMES: usize = 1024;
/// The half-life of the units, in microseconds.
const HALF_LIFE_US: f64 = 10e6;
/// Volumes with fewer units than this are removed.
const NEGLIGIBLE_UNITS: f64 = 1e-3;

/// The statistics of one backend.
#[derive(Default)]
pub struct BackendStatistics {
    /// Whether units are counted.
    pub is_enabled: Cell<bool>,
    /// Attempts that have begun and not ended.
    in_flight: Cell<u32>,
    /// When the last command was sent.
    last_sent: Cell<Option<Micros>>,
    /// Whether an attempt has failed since the last `take_failed`.
    has_failed: Cell<bool>,
    /// When it was first returned to service after maintenance.
    returned_at: Cell<Option<Micros>>,
    /// When it last answered.
    last_answered: Cell<Option<Micros>>,
    /// Units served for each volume, decaying.
    units: RefCell<BTreeMap<Rc<str>, f64>>,
    /// When the units were last decayed.
    decayed_at: Cell<Micros>,
}

impl BackendStatistics {
    /// Counts an attempt until the guard is dropped.
    pub fn begin(self: &Rc<BackendStatistics>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// Records that a command is about to be sent.
    pub fn sent(&self, now: Micros) {
        self.last_sent.set(Some(now));
    }

    /// Records the outcome of an attempt.
    pub fn ended(&self, now: Micros, outcome: AttemptOutcome, volume: &Rc<str>, units: u32) {
        match outcome {
            AttemptOutcome::Ok => {
                self.last_answered.set(Some(now));
                if self.is_enabled.get() {
                    self.decay(now);
                    let mut by_volume = self.units.borrow_mut();
                    if by_volume.len() < MAX_VOLUMES || by_volume.contains_key(volume) {
                        *by_volume.entry(volume.clone()).or_default() += f64::from(units);
                    }
                }
            }
            AttemptOutcome::Error | AttemptOutcome::Rejected => self.last_answered.set(Some(now)),
            AttemptOutcome::Timeout | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                self.has_failed.set(true)
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Decays the units to the present.
    fn decay(&self, now: Micros) {
        let passed = (now.0 - self.decayed_at.replace(now).0).max(0) as f64;
        let factor = 0.5f64.powf(passed / HALF_LIFE_US);
        let mut units = self.units.borrow_mut();
        units.values_mut().for_each(|volume_units| *volume_units *= factor);
        units.retain(|_, volume_units| *volume_units > NEGLIGIBLE_UNITS);
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// When the last command was sent.
    pub fn last_sent(&self) -> Option<Micros> {
        self.last_sent.get()
    }

    /// Whether an attempt has failed since the last call.
    pub fn take_failed(&self) -> bool {
        self.has_failed.replace(false)
    }

    /// Records that it is taken out of service.
    pub fn take_out_of_service(&self) {
        self.returned_at.set(None);
    }

    /// Records that it returns to service; later steps of the same return don't count.
    pub fn return_to_service(&self, now: Micros) {
        self.returned_at.set(self.returned_at.get().or(Some(now)));
    }

    /// When it returned to service.
    pub fn returned_at(&self) -> Option<Micros> {
        self.returned_at.get()
    }

    /// When it last answered.
    pub fn last_answered(&self) -> Option<Micros> {
        self.last_answered.get()
    }

    /// The rate at which it serves each volume, in thousandths of a unit per second.
    pub fn rates(&self, now: Micros) -> BTreeMap<Rc<str>, u64> {
        self.decay(now);
        // A steady rate adds up to rate x half-life / ln 2.
        let second = HALF_LIFE_US / std::f64::consts::LN_2 / 1e6;
        let units = self.units.borrow();
        let rate =
            |(volume, units): (&Rc<str>, &f64)| (volume.clone(), (1000.0 * units / second).round() as u64);
        units.iter().map(rate).collect()
    }
}

/// Counts an attempt as in flight until dropped.
pub struct InFlight(Rc<BackendStatistics>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
