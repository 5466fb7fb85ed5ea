//! Prints the network load and the convergence times of groups of 5, 25, 100 and 256 members, in simulated time.
#[path = "../tests/sim/mod.rs"]
mod sim;

use membership::MemberState;
use sim::{name, Sim};
use std::time::Duration;

const MAX_CONVERGENCE: Duration = Duration::from_secs(300);

fn format_seconds(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64())
}

/// The total number of bytes that the running members have sent.
fn total_bytes_sent(sim: &Sim) -> f64 {
    let sent = sim.running().into_iter().map(|index| sim.membership(index).counters().bytes_sent);
    sent.sum::<u64>() as f64
}

/// Runs for a span, and returns the bytes sent per member and second.
fn measure_load(sim: &mut Sim, span: Duration) -> f64 {
    let before = total_bytes_sent(sim);
    sim.run(span);
    (total_bytes_sent(sim) - before) / sim.running().len() as f64 / span.as_secs_f64()
}

/// Runs until no member regards `other` as live, and returns how long it took.
fn time_until_dead(sim: &mut Sim, other: usize) -> Duration {
    let from = sim.now;
    let regards_as_live = |sim: &Sim, index| sim.state(index, other).is_some_and(MemberState::is_live);
    while sim.running().into_iter().any(|index| regards_as_live(sim, index)) {
        sim.run(Duration::from_millis(100));
    }
    sim.now.since(from)
}

fn main() {
    println!("1 % loss, 1 to 20 ms a way; times in seconds, loads in bytes a member and second with IPv6 and UDP headers");
    println!(
        "| members | all joined | load while joining | load at rest | a death known to all | a restart known to all | a \
         partition of 20 s healed | load while healing |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in [5, 25, 100, 256] {
        let mut sim = Sim::started(count, 7);
        (sim.loss, sim.delay_ms) = (0.01, (1, 20));
        let joined = sim.converge(MAX_CONVERGENCE);
        let joining = total_bytes_sent(&sim) / count as f64 / joined.as_secs_f64().max(0.25);
        sim.run(Duration::from_secs(20));
        let rest = measure_load(&mut sim, Duration::from_secs(60));
        sim.kill(count - 1);
        let death = time_until_dead(&mut sim, count - 1);
        sim.converge(MAX_CONVERGENCE);
        sim.start(count - 1);
        let restart = sim.converge(MAX_CONVERGENCE);
        sim.partition(&(0..count / 2).collect());
        sim.run(Duration::from_secs(20));
        sim.heal();
        let before = total_bytes_sent(&sim);
        let healed = sim.converge(MAX_CONVERGENCE);
        let healing = (total_bytes_sent(&sim) - before) / count as f64 / healed.as_secs_f64();
        println!(
            "| {count} | {} | {joining:.0} | {rest:.0} | {} | {} | {} | {healing:.0} |",
            format_seconds(joined),
            format_seconds(death),
            format_seconds(restart),
            format_seconds(healed)
        );
        assert!(sim.state(0, count - 1).is_some(), "{}", name(count - 1));
    }
}
