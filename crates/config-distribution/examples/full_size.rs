//! Simulates the largest fleet: 2,300 gateways, 23,000 backends, 40 control machines, 5 regions, 12 zones. Prints a table of
//! measurements; `SEED=N` sets the random seed.
#[path = "../tests/sim/mod.rs"]
mod sim;

use config_distribution::{Class, Settings};
use sim::build::FleetSize;
use sim::measurements::Latencies;
use sim::schedule::Faults;
use sim::World;
use std::time::Duration;

/// The write rate of a busy day.
const WRITES_PER_MINUTE: u64 = 206;
/// The part of these writes that are primaries.
const PRIMARIES_PER_MINUTE: u64 = 6;
/// The zone that fails.
const FAILED_ZONE: usize = 7;
/// The memory overhead of a key in addition to its names and value, at a gateway and at a relay, in bytes.
const GATEWAY_KEY_OVERHEAD_BYTES: usize = 160;
const RELAY_KEY_OVERHEAD_BYTES: usize = 400;

const HEADER: &str =
    "| what | primaries applied | p50/p99/max s | configuration applied | p50/p99/max s | messages/s down | \
     KB/s down | messages/s up | KB/s up | peak B/s of a relay | µs a change at a gateway | relay ms/s |\n\
     |---|---|---|---|---|---|---|---|---|---|---|---|";

struct Run {
    world: World,
    size: FleetSize,
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

impl Run {
    /// Writes at the rate of a busy day for a time span.
    fn write_at_busy_rate(&mut self, span: Duration) {
        let until = self.world.now + span;
        while self.world.now < until {
            self.world.wait(Duration::from_millis(60_000 / WRITES_PER_MINUTE));
            self.world.write_random(&self.size, PRIMARIES_PER_MINUTE as f64 / WRITES_PER_MINUTE as f64);
        }
    }

    /// Advances the time without writes, and prints a row of the table.
    fn measure_idle(&mut self, scenario: &str, span: Duration) {
        self.world.wait(span);
        self.print_row(scenario, span);
    }

    /// Writes at the rate of a busy day, and prints a row of the table.
    fn measure_busy(&mut self, scenario: &str, span: Duration) {
        self.write_at_busy_rate(span);
        self.print_row(scenario, span);
    }

    /// Prints a row of the table: the measurements since the previous row.
    fn print_row(&mut self, scenario: &str, span: Duration) {
        let measured = self.world.measurements.take();
        let latencies = |class| {
            let Latencies { p50_s, p99_s, max_s } = measured.latencies(class);
            format!("{p50_s:.2}/{p99_s:.2}/{max_s:.2}")
        };
        let per_second = |sum: u64| sum as f64 / span.as_secs_f64();
        let (primaries, settings) =
            (measured.applied_count(Class::Primary), measured.applied_count(Class::Configuration));
        let applied = primaries + settings;
        let us_per_change = measured.gateway_time.as_secs_f64() * 1e6 / applied as f64;
        let relay_ms = measured.relay_time.as_secs_f64() * 1e3 / span.as_secs_f64();
        println!(
            "| {scenario} | {primaries} | {} | {settings} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {} | {} | {:.2} |",
            latencies(Class::Primary),
            latencies(Class::Configuration),
            per_second(measured.messages_downstream),
            per_second(measured.bytes_downstream) / 1e3,
            per_second(measured.messages_upstream),
            per_second(measured.bytes_upstream) / 1e3,
            measured.peak_bytes_per_second(),
            if applied > 0 { format!("{us_per_change:.1}") } else { "-".into() },
            relay_ms / self.world.machines.len() as f64,
        );
    }

    fn print_memory(&self) {
        let states = || self.world.gateways.iter().map(|gateway| gateway.subscriber.state());
        let bytes = states().map(|state| {
            state
                .applied_entries()
                .iter()
                .map(|entry| entry.bytes() + GATEWAY_KEY_OVERHEAD_BYTES)
                .sum::<usize>()
        });
        let size = self.world.log.catalogue.size();
        println!(
            "\nmemory, estimated: a gateway {:.1} KB at most ({} keys), a relay {:.1} MB ({} keys)",
            bytes.max().unwrap_or_default() as f64 / 1e3,
            states().map(|state| state.len()).max().unwrap_or_default(),
            (size.value_bytes + size.keys * RELAY_KEY_OVERHEAD_BYTES) as f64 / 1e6,
            size.keys,
        );
    }

    fn crash_relays(&mut self) {
        self.world.kill_machine(20, false);
        self.measure_busy("a relay crashes", seconds(60));
        self.world.start_machine(20);
        self.world.kill_machine(30, true);
        self.measure_busy("a relay vanishes", seconds(60));
        self.world.start_machine(30);
        self.world.wait(seconds(20));
        self.world.measurements.take();
    }

    fn fail_zone(&mut self) {
        let world = &self.world;
        let in_zone = |zones: Vec<usize>| -> Vec<usize> {
            (0..zones.len()).filter(|number| zones[*number] == FAILED_ZONE).collect()
        };
        let machines = in_zone(world.machines.iter().map(|machine| machine.zone).collect());
        let gateways = in_zone(world.gateways.iter().map(|gateway| gateway.zone).collect());
        machines.iter().for_each(|number| self.world.kill_machine(*number, true));
        gateways.iter().for_each(|number| self.world.kill_gateway(*number));
        self.measure_busy("a zone is lost", seconds(60));
        machines.iter().for_each(|number| self.world.start_machine(*number));
        gateways.iter().for_each(|number| self.world.start_gateway(*number));
        self.measure_busy("the zone is back", seconds(60));
    }

    fn partition_region(&mut self) {
        self.world.partitions.insert((1, 2));
        self.world.partitions.insert((0, 1));
        self.measure_busy("a region partitioned from two for 3 minutes", seconds(180));
        self.world.partitions.clear();
        self.measure_busy("healed", seconds(60));
    }

    fn restart_gateways(&mut self) {
        for tenth in 0..10 {
            let numbers: Vec<usize> =
                (0..self.world.gateways.len()).filter(|number| number % 10 == tenth).collect();
            numbers.iter().for_each(|number| self.world.kill_gateway(*number));
            numbers.iter().for_each(|number| self.world.start_gateway(*number));
            self.write_at_busy_rate(seconds(10));
        }
        self.print_row("a tenth of the gateways restarted each 10 s", seconds(100));
        self.world.kill_gateways();
        self.world.start_gateways();
        self.measure_idle("all gateways restarted", seconds(60));
        self.world.kill_gateways();
        self.world.gateways.iter_mut().for_each(|gateway| gateway.persisted = None);
        self.world.start_gateways();
        self.measure_idle("all restarted without persisted state", seconds(60));
    }
}

fn main() {
    let size = FleetSize::full();
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut world = World::new(&size, seed, Settings::default(), None);
    world.checks_fleet_invariants = false;
    world.is_timed = true;
    world.fill_backends(&size);
    let mut run = Run { world, size };
    println!("{HEADER}");
    // The relays have applied the whole log, as they have when all gateways restart.
    run.measure_idle("the control machines start", seconds(20));
    run.world.start_gateways();
    run.measure_idle("first start of all gateways", seconds(60));
    run.measure_idle("idle", seconds(60));
    run.measure_busy("a busy day", seconds(180));
    run.crash_relays();
    run.fail_zone();
    run.partition_region();
    run.restart_gateways();
    run.world.run_with_writes(&run.size, seconds(1), 300, Faults::None);
    run.world.wait(seconds(40));
    run.world.check_end();
    run.print_memory();
    let keys = run.world.log.history.len();
    println!("keys in the log's catalogue: {keys}; violations: {:?}", run.world.violations);
}
