//! Measurements of a simulation.
use super::Node;
use cluster_types::Time;
use config_distribution::Class;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

pub struct Measurements {
    primary: Histogram<u64>,
    configuration: Histogram<u64>,
    pub messages_downstream: u64,
    pub bytes_downstream: u64,
    pub messages_upstream: u64,
    pub bytes_upstream: u64,
    pub bytes_persisted: u64,
    /// The maximum number of bytes in flight to one gateway.
    pub max_bytes_in_flight: usize,
    /// The bytes that each machine sent to gateways in each second.
    bytes_by_second: BTreeMap<(usize, u64), u64>,
    /// The processing time of gateways and relays, if it is measured.
    pub gateway_time: Duration,
    pub relay_time: Duration,
}

/// The time from the write of a value until it is applied, in seconds.
pub struct Latencies {
    pub p50_s: f64,
    pub p99_s: f64,
    pub max_s: f64,
}

impl Measurements {
    pub fn new() -> Measurements {
        let histogram = || Histogram::new(3).unwrap();
        Measurements {
            primary: histogram(),
            configuration: histogram(),
            messages_downstream: 0,
            bytes_downstream: 0,
            messages_upstream: 0,
            bytes_upstream: 0,
            bytes_persisted: 0,
            max_bytes_in_flight: 0,
            bytes_by_second: BTreeMap::new(),
            gateway_time: Duration::ZERO,
            relay_time: Duration::ZERO,
        }
    }

    pub fn record_applied(&mut self, now: Time, written_at: Time, class: Class) {
        let histogram = match class {
            Class::Primary => &mut self.primary,
            Class::Configuration => &mut self.configuration,
        };
        histogram.record(now.since(written_at).as_micros() as u64).unwrap();
    }

    pub fn record_upstream(&mut self, bytes: usize) {
        self.messages_upstream += 1;
        self.bytes_upstream += bytes as u64;
    }

    pub fn record_downstream(&mut self, now: Time, ends: Option<(usize, Node)>, bytes: usize) {
        self.messages_downstream += 1;
        self.bytes_downstream += bytes as u64;
        if let Some((server, Node::Gateway(_))) = ends {
            *self.bytes_by_second.entry((server, now.0 / 1_000_000)).or_default() += bytes as u64;
        }
    }

    pub fn record_in_flight(&mut self, bytes: usize) {
        self.max_bytes_in_flight = self.max_bytes_in_flight.max(bytes);
    }

    /// The maximum bytes that any machine sent to gateways in one second.
    pub fn peak_bytes_per_second(&self) -> u64 {
        self.bytes_by_second.values().copied().max().unwrap_or_default()
    }

    /// Returns the measurements so far, and resets them.
    pub fn take(&mut self) -> Measurements {
        std::mem::replace(self, Measurements::new())
    }

    /// The number of applied values of a class.
    pub fn applied_count(&self, class: Class) -> u64 {
        self.histogram(class).len()
    }

    pub fn latencies(&self, class: Class) -> Latencies {
        let histogram = self.histogram(class);
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e6;
        Latencies { p50_s: at(0.5), p99_s: at(0.99), max_s: histogram.max() as f64 / 1e6 }
    }

    fn histogram(&self, class: Class) -> &Histogram<u64> {
        match class {
            Class::Primary => &self.primary,
            Class::Configuration => &self.configuration,
        }
    }
}
