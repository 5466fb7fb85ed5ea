//! What was measured.
use super::Node;
use cluster_types::Time;
use config_distribution::{Class, FromRelay};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

pub struct Seen {
    pub primary: Histogram<u64>,
    pub configuration: Histogram<u64>,
    pub down: u64,
    pub bytes_down: u64,
    pub up: u64,
    pub bytes_up: u64,
    pub kept: u64,
    /// The most bytes that were on their way to one front.
    pub flight: usize,
    /// Bytes that one relay sent in one second.
    pub seconds: BTreeMap<(usize, u64), u64>,
    pub front_time: Duration,
    pub relay_time: Duration,
}

impl Seen {
    pub fn new() -> Seen {
        let histogram = || Histogram::new(3).unwrap();
        Seen {
            primary: histogram(),
            configuration: histogram(),
            down: 0,
            bytes_down: 0,
            up: 0,
            bytes_up: 0,
            kept: 0,
            flight: 0,
            seconds: BTreeMap::new(),
            front_time: Duration::ZERO,
            relay_time: Duration::ZERO,
        }
    }

    pub fn forced(&mut self, now: Time, ordered: Time, class: Class) {
        let histogram = match class {
            Class::Primary => &mut self.primary,
            Class::Configuration => &mut self.configuration,
        };
        histogram.record(now.since(ordered).as_micros() as u64).unwrap();
    }

    pub fn told(&mut self, now: Time, ends: Option<(usize, Node)>, bytes: usize, _: &FromRelay) {
        self.down += 1;
        self.bytes_down += bytes as u64;
        if let Some((server, Node::Front(_))) = ends {
            *self.seconds.entry((server, now.0 / 1_000_000)).or_default() += bytes as u64;
        }
    }

    /// The most bytes that any relay sent to fronts in one second.
    pub fn peak(&self) -> u64 {
        self.seconds.values().copied().max().unwrap_or_default()
    }

    /// What is seen from now on.
    pub fn anew(&mut self) -> Seen {
        std::mem::replace(self, Seen::new())
    }

    /// p50, p99 and the greatest, in seconds.
    pub fn spans(&self, class: Class) -> (f64, f64, f64) {
        let h = if class == Class::Primary { &self.primary } else { &self.configuration };
        let at = |q| h.value_at_quantile(q) as f64 / 1e6;
        (at(0.5), at(0.99), h.max() as f64 / 1e6)
    }
}
