//! Prints what membership costs and how fast it is, at 5, 25, 100 and 256 members, in simulated time.
#[path = "../tests/sim/mod.rs"]
mod sim;

use membership::State;
use sim::{name, Sim};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(300);

fn seconds(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64())
}

fn sum(sim: &Sim) -> f64 {
    sim.up().iter().map(|which| sim.machine(*which).figures().bytes).sum::<u64>() as f64
}

/// Bytes per member and second over a span.
fn load(sim: &mut Sim, span: Duration) -> f64 {
    let before = sum(sim);
    sim.run(span);
    (sum(sim) - before) / sim.up().len() as f64 / span.as_secs_f64()
}

fn main() {
    println!("1 % loss, 1 to 20 ms a way; times in seconds, loads in bytes a member and second with IPv6 and UDP heads");
    println!(
        "| members | all joined | load while joining | load at rest | a death known to all | a restart known to all | a \
         split of 20 s healed | load while healing |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in [5, 25, 100, 256] {
        let mut sim = Sim::started(count, 7);
        (sim.loss, sim.delay_ms) = (0.01, (1, 20));
        let joined = sim.settle(LONG);
        let joining = sum(&sim) / count as f64 / joined.as_secs_f64().max(0.25);
        sim.run(Duration::from_secs(20));
        let rest = load(&mut sim, Duration::from_secs(60));
        sim.kill(count - 1);
        let from = sim.now;
        while sim.up().iter().any(|which| sim.state(*which, count - 1).is_some_and(State::live)) {
            sim.run(Duration::from_millis(100));
        }
        let death = sim.now.since(from);
        sim.settle(LONG);
        sim.start(count - 1);
        let restart = sim.settle(LONG);
        sim.split(&(0..count / 2).collect());
        sim.run(Duration::from_secs(20));
        sim.heal();
        let before = sum(&sim);
        let healed = sim.settle(LONG);
        let healing = (sum(&sim) - before) / count as f64 / healed.as_secs_f64();
        println!(
            "| {count} | {} | {joining:.0} | {rest:.0} | {} | {} | {} | {healing:.0} |",
            seconds(joined),
            seconds(death),
            seconds(restart),
            seconds(healed)
        );
        assert!(sim.state(0, count - 1).is_some(), "{}", name(count - 1));
    }
}
