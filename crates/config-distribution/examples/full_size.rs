//! The whole fleet in simulated time: 2,300 fronts, 23,000 boxes, 40 control machines, 5 regions, 12 zones. Prints a
//! table; `SEED=N` draws another day.
#[path = "../tests/sim/mod.rs"]
mod sim;

use config_distribution::{Class, Settings};
use sim::build::Size;
use sim::plan::Trouble;
use sim::World;
use std::time::Duration;

/// Orders of a pressed day: so many a minute.
const ORDERS: u64 = 206;

struct Run {
    world: World,
    size: Size,
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

impl Run {
    /// Orders as a pressed day has them, six of each 206 a primary.
    fn orders(&mut self, span: Duration) {
        let until = self.world.now + span;
        while self.world.now < until {
            self.world.wait(Duration::from_millis(60_000 / ORDERS));
            self.world.random_order(&self.size, 6.0 / ORDERS as f64);
        }
    }

    /// A line of the table: what happened since the last one.
    fn line(&mut self, what: &str, span: Duration) {
        let seen = self.world.seen.anew();
        let spans = |class| {
            let (p50, p99, most) = seen.spans(class);
            format!("{p50:.2}/{p99:.2}/{most:.2}")
        };
        let per = |sum: u64| sum as f64 / span.as_secs_f64();
        let forced = seen.primary.len() + seen.configuration.len();
        let each = seen.front_time.as_secs_f64() * 1e6 / forced as f64;
        println!(
            "| {what} | {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {} | {} | {:.2} |",
            seen.primary.len(),
            spans(Class::Primary),
            seen.configuration.len(),
            spans(Class::Configuration),
            per(seen.down),
            per(seen.bytes_down) / 1e3,
            per(seen.up),
            per(seen.bytes_up) / 1e3,
            seen.peak(),
            if forced > 0 { format!("{each:.1}") } else { "-".into() },
            seen.relay_time.as_secs_f64() * 1e3 / span.as_secs_f64() / self.world.machines.len() as f64,
        );
    }

    fn memory(&self) {
        // Of each key: the names, the value, the entry in its maps.
        let front = self
            .world
            .fronts
            .iter()
            .map(|f| f.subscriber.held().changes().iter().map(|c| c.bytes() + 160).sum::<usize>());
        let (front, keys) = (front.max(), self.world.fronts.iter().map(|f| f.subscriber.held().len()).max());
        let (all, bytes) = self.world.log.catalogue.size();
        println!(
            "\nmemory, estimated: a front {:.1} KB at most ({} keys), a relay {:.1} MB ({all} keys)",
            front.unwrap_or_default() as f64 / 1e3,
            keys.unwrap_or_default(),
            (bytes + all * 400) as f64 / 1e6
        );
    }
}

fn main() {
    let size = Size::full();
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut world = World::new(&size, seed, Settings::default(), None);
    (world.checks, world.timed) = (false, true);
    world.fill_boxes(&size);
    let mut run = Run { world, size };
    println!("| what | primaries in force | p50/p99/most s | configuration in force | p50/p99/most s | messages/s down | KB/s down | messages/s up | KB/s up | peak B/s of a relay | µs a change at a front | relay ms/s |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    // The relays hold everything: so they do when all fronts restart.
    run.world.wait(seconds(20));
    run.line("the control machines start", seconds(20));
    run.world.start_fronts();
    run.world.wait(seconds(60));
    run.line("first start of all fronts", seconds(60));
    run.world.wait(seconds(60));
    run.line("at rest", seconds(60));
    run.orders(seconds(180));
    run.line("a pressed day", seconds(180));
    run.world.kill_machine(20, false);
    run.orders(seconds(60));
    run.line("a relay dies", seconds(60));
    run.world.start_machine(20);
    run.world.kill_machine(30, true);
    run.orders(seconds(60));
    run.line("a relay is gone in silence", seconds(60));
    run.world.start_machine(30);
    run.world.wait(seconds(20));
    run.world.seen.anew();
    let zone = |run: &Run| -> (Vec<usize>, Vec<usize>) {
        let machines = (0..run.world.machines.len()).filter(|m| run.world.machines[*m].zone == 7).collect();
        (machines, (0..run.world.fronts.len()).filter(|n| run.world.fronts[*n].zone == 7).collect())
    };
    let (machines, fronts) = zone(&run);
    machines.iter().for_each(|m| run.world.kill_machine(*m, true));
    fronts.iter().for_each(|n| run.world.kill_front(*n));
    run.orders(seconds(60));
    run.line("a zone is lost", seconds(60));
    machines.iter().for_each(|m| run.world.start_machine(*m));
    fronts.iter().for_each(|n| run.world.start_front(*n));
    run.orders(seconds(60));
    run.line("the zone is back", seconds(60));
    run.world.cuts.insert((1, 2));
    run.world.cuts.insert((0, 1));
    run.orders(seconds(180));
    run.line("a region cut off from two for 3 minutes", seconds(180));
    run.world.cuts.clear();
    run.orders(seconds(60));
    run.line("healed", seconds(60));
    for tenth in 0..10 {
        let of: Vec<usize> = (0..run.world.fronts.len()).filter(|n| n % 10 == tenth).collect();
        of.iter().for_each(|n| run.world.kill_front(*n));
        of.iter().for_each(|n| run.world.start_front(*n));
        run.orders(seconds(10));
    }
    run.line("a tenth restarted each 10 s", seconds(100));
    for kept in [true, false] {
        (0..run.world.fronts.len()).for_each(|n| run.world.kill_front(n));
        if !kept {
            (0..run.world.fronts.len()).for_each(|n| run.world.fronts[n].kept = None);
        }
        run.world.start_fronts();
        run.world.wait(seconds(60));
        run.line(if kept { "all fronts restarted" } else { "all restarted with nothing kept" }, seconds(60));
    }
    run.world.go_on(&run.size, seconds(1), 300, Trouble::None);
    run.world.wait(seconds(40));
    run.world.check_end();
    run.memory();
    println!("keys in the log's catalogue: {}; faults: {:?}", run.world.log.story.len(), run.world.faults);
}
