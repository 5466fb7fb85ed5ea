//! Applies a fault schedule to a test cluster.
use crate::backends::Behavior;
use crate::cluster::TestCluster;
use crate::discovery::{self, Lifecycle};
use crate::links::Condition;
use crate::schedule::{Fault, Schedule};
use std::io;
use std::time::Duration;

/// Timeout for a gateway to answer after its start.
const START_TIMEOUT: Duration = Duration::from_secs(15);

impl TestCluster {
    /// Runs a schedule from start to end and repairs everything that it broke.
    pub fn run_schedule(&mut self, schedule: &Schedule) -> io::Result<()> {
        self.event_log.record(schedule);
        let start = self.clock.now();
        for (at, begins, scheduled) in schedule.steps() {
            self.wait_until(start + at);
            self.event_log.record(format_args!(
                "{} {:?}",
                if begins { "starts" } else { "ends" },
                scheduled.fault
            ));
            match begins {
                true => self.inject(&scheduled.fault)?,
                false => self.repair(&scheduled.fault)?,
            }
        }
        self.wait_until(start + schedule.span);
        // A gateway that was started while discovery was down answers only now. What follows relies on its
        // being up.
        self.gateways.iter_mut().try_for_each(|g| g.wait_ready(START_TIMEOUT))?;
        self.event_log.record("the schedule has ended");
        Ok(())
    }

    fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.clock.now()));
    }

    /// Cuts (or heals) the links between the members of two zones; both keep discovery.
    fn split(&self, one: &str, other: &str, heal: bool) {
        let (one, other) = (self.zone_members(one), self.zone_members(other));
        match heal {
            false => self.links.split(&one, &other),
            true => one.iter().for_each(|a| other.iter().for_each(|b| self.links.heal(a, b))),
        }
    }

    /// Starts a fault.
    pub fn inject(&mut self, fault: &Fault) -> io::Result<()> {
        let set_both_directions = |a: &str, b: &str, condition: Condition| {
            self.links.set_condition(a, b, condition);
            self.links.set_condition(b, a, condition);
        };
        let unimpaired = Condition::default();
        match fault {
            Fault::Cut { from, to } => self.links.cut(from, to),
            Fault::CutBoth { a, b } => self.links.cut_both(a, b),
            Fault::ZonePartition { one, other } => self.split(one, other, false),
            Fault::Delay { a, b, by } => set_both_directions(a, b, Condition { delay: *by, ..unimpaired }),
            Fault::Slow { from, to, rate } => {
                self.links.set_condition(from, to, Condition { max_bytes_s: Some(*rate), ..unimpaired })
            }
            Fault::Loss { a, b, share } => {
                set_both_directions(a, b, Condition { loss_share: *share, ..unimpaired })
            }
            Fault::Reset { a, b } => self.links.reset(a, b),
            Fault::Stall { gateway } => self.gateway(gateway)?.stall()?,
            Fault::Kill { gateway, .. } => self.gateway(gateway)?.kill(),
            Fault::Drain { backend } => drop(self.discovery.set_lifecycle(backend, Lifecycle::Leaving)),
            Fault::Down { backend, .. } => {
                self.backend(backend)?.stop();
                self.set_refused(backend, true);
            }
            Fault::Unreliable { backend, busy, fail, silent } => {
                let backend = self.backend(backend)?;
                backend.set_behavior(Behavior {
                    busy_share: *busy,
                    fail_share: *fail,
                    silent_share: *silent,
                    ..backend.behavior()
                });
            }
            Fault::SlowBackend { backend, service } => {
                let backend = self.backend(backend)?;
                backend.set_behavior(Behavior { service_time: *service, ..backend.behavior() });
            }
            Fault::DiscoverySilent => self.discovery.set_mode(discovery::Mode::Silent),
            Fault::DiscoveryUnavailable => self.discovery.set_mode(discovery::Mode::Unavailable),
            Fault::DiscoveryDown => self.discovery.set_mode(discovery::Mode::Down),
        }
        Ok(())
    }

    /// Repairs a fault.
    pub fn repair(&mut self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::Cut { from: a, to: b }
            | Fault::Slow { from: a, to: b, .. }
            | Fault::CutBoth { a, b }
            | Fault::Delay { a, b, .. }
            | Fault::Loss { a, b, .. } => self.links.heal(a, b),
            Fault::ZonePartition { one, other } => self.split(one, other, true),
            Fault::Reset { .. } => {}
            Fault::Stall { gateway } => self.gateway(gateway)?.resume()?,
            Fault::Kill { gateway, keep } => self.gateway(gateway)?.restart(*keep)?,
            Fault::Drain { backend } => drop(self.discovery.set_lifecycle(backend, Lifecycle::Active)),
            Fault::Down { backend, keep } => {
                self.backend(backend)?.restart(*keep)?;
                self.set_refused(backend, false);
                let started = self.backend(backend)?.started().unwrap_or_default();
                let started = self.clock.unix_ms(started);
                self.discovery.update(backend, |listed| listed.started_ms = started);
            }
            Fault::Unreliable { backend, .. } | Fault::SlowBackend { backend, .. } => {
                self.backend(backend)?.set_behavior(Behavior::default())
            }
            Fault::DiscoverySilent | Fault::DiscoveryUnavailable | Fault::DiscoveryDown => {
                self.discovery.set_mode(discovery::Mode::Normal);
            }
        }
        Ok(())
    }

    /// Makes links refuse connections to a backend that is down.
    fn set_refused(&self, backend: &str, refused: bool) {
        self.config.gateway_names().iter().for_each(|f| self.links.set_refused(f, backend, refused));
    }
}
