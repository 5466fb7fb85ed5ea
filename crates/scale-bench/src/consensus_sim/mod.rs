//! The replicated log with many members: `consensus::Node`, in simulated time.
mod cluster;
mod usage;

use crate::quantiles::Quantiles;
use crate::{Error, Plan, Run};
use cluster::SimCluster;
use usage::{StopReason, Usage};

/// Simulated microseconds between the first election and the first measurement.
const SETTLING_TIME_US: u64 = 1_000_000;
/// Simulated microseconds between an entry's commit and the next entry, at most.
const MAX_PAUSE_US: u64 = 200_000;

/// Parameters of the network, the disks and the log entries.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entry sizes in bytes.
    pub entry_bytes: Vec<usize>,
    /// Number of entries in a run, each proposed after the previous commit.
    pub entries: u32,
    /// The minimum and maximum delay in one direction, in milliseconds.
    pub delay_ms: (u64, u64),
    /// The minimum and maximum time that a write takes, in microseconds.
    pub disk_us: (u64, u64),
    /// Simulated seconds in which a leader must be elected, and each entry committed.
    pub settle_s: u64,
    /// Simulated seconds of the measured idle phase, without entries.
    pub idle_s: u64,
}

/// Measures each number of members with each size of entry.
pub fn measure(plan: &Plan, options: &Options) -> Result<Vec<Run>, Error> {
    let mut runs = Vec::new();
    for run_key in plan.runs() {
        for bytes in &options.entry_bytes {
            let mut run = Run::new(format!("{bytes} bytes"), run_key);
            let mut cluster = SimCluster::new(options, run_key.0 as usize, run_key.2, plan.deadline())?;
            if let Err(reason) = measure_phases(&mut cluster, options, *bytes, &mut run)? {
                run.mark_incomplete(reason.to_string());
            }
            runs.push(run.log_finished());
        }
    }
    Ok(runs)
}

/// Measures all phases of a run in order; where one phase stops, the figures of earlier phases are kept.
fn measure_phases(
    cluster: &mut SimCluster,
    options: &Options,
    bytes: usize,
    run: &mut Run,
) -> Result<Result<(), StopReason>, Error> {
    let limit_us = options.settle_s * 1_000_000;
    let leader = match cluster.run_until_leader(limit_us) {
        Ok(leader) => leader,
        Err(reason) => return Ok(Err(reason)),
    };
    run.record("founded_sim_ms", cluster.now() as f64 / 1e3);
    let (from, idle) = (cluster.now() + SETTLING_TIME_US, options.idle_s * 1_000_000);
    if let Err(reason) = cluster.run_to(from) {
        return Ok(Err(reason));
    }
    let usage = cluster.usage(leader);
    if let Err(reason) = cluster.run_to(from + idle) {
        return Ok(Err(reason));
    }
    let idle = IdleRate::from_usage(&cluster.usage(leader).since(&usage));
    idle.record(run);
    let usage = cluster.usage(leader);
    let mut commits = Quantiles::new()?;
    for n in 0..options.entries {
        match cluster.commit(leader, vec![n as u8; bytes], limit_us) {
            Ok(took) => commits.record(took as f64 / 1e3),
            Err(reason) => return Ok(Err(reason)),
        }
        if let Err(reason) = cluster.pause(MAX_PAUSE_US) {
            return Ok(Err(reason));
        }
    }
    record_entry_costs(&cluster.usage(leader).since(&usage), &idle, options.entries, run);
    commits.record_in("commit_sim", "ms", run);
    Ok(Ok(()))
}

/// Rates per simulated second without entries.
struct IdleRate {
    messages: f64,
    bytes: f64,
    leader_us: f64,
    follower_us: f64,
}

impl IdleRate {
    fn from_usage(usage: &Usage) -> IdleRate {
        let span = (usage.span_us as f64 / 1e6).max(1e-9);
        IdleRate {
            messages: usage.messages as f64 / span,
            bytes: usage.bytes as f64 / span,
            leader_us: usage.leader_us / span,
            follower_us: usage.follower_us() / span,
        }
    }

    fn record(&self, run: &mut Run) {
        run.record("idle_messages_s", self.messages);
        run.record("idle_bytes_s", self.bytes);
        run.record("idle_leader_cpu_us_s", self.leader_us);
        run.record("idle_follower_cpu_us_s", self.follower_us);
    }
}

/// Records the costs of entries, both as counted and less the idle usage over the same simulated time.
fn record_entry_costs(usage: &Usage, idle: &IdleRate, count: u32, run: &mut Run) {
    let (count, span) = (f64::from(count.max(1)), usage.span_us as f64 / 1e6);
    run.record("entries_messages", usage.messages as f64);
    run.record("entries_bytes", usage.bytes as f64);
    run.record("entries_sim_s", span);
    run.record("leader_bytes_entry", (usage.leader_bytes as f64) / count);
    run.record("messages_entry", (usage.messages as f64 - idle.messages * span) / count);
    run.record("bytes_entry", (usage.bytes as f64 - idle.bytes * span) / count);
    run.record("leader_cpu_us_entry", (usage.leader_us - idle.leader_us * span) / count);
    run.record("follower_cpu_us_entry", (usage.follower_us() - idle.follower_us * span) / count);
}
