//! Membership of many gateways: `membership::Membership`, in simulated time.
mod network;
mod usage;

use crate::{Error, Plan, Run};
use network::SimNetwork;
use std::time::Duration;
use usage::StopReason;

/// Time between convergence of the members and the measurement of their load at rest.
const SETTLING_TIME: Duration = Duration::from_secs(20);
/// Interval between checks whether all members agree on one view.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The network, the bounds of simulated time, and what a member may send.
#[derive(Clone, Debug)]
pub struct Options {
    /// The fraction of datagrams lost.
    pub loss: f64,
    /// The minimum and maximum delay in one direction, in milliseconds.
    pub delay_ms: (u64, u64),
    /// Maximum bytes per second that a member sends.
    pub bytes_s: u64,
    /// Simulated seconds in which all must converge, or a death or restart be known to all.
    pub settle_s: u64,
    /// Simulated seconds of the measured rest phase.
    pub rest_s: u64,
}

/// Measures each number of members.
pub fn measure(plan: &Plan, options: &Options) -> Result<Vec<Run>, Error> {
    plan.runs().map(|run_key| measure_run(plan, options, run_key)).collect()
}

fn measure_run(plan: &Plan, options: &Options, run_key: (u64, u32, u64)) -> Result<Run, Error> {
    let mut run = Run::new("", run_key);
    let mut network = SimNetwork::new(options, run_key.0 as usize, run_key.2, plan.deadline())?;
    if let Err(reason) = measure_phases(&mut network, options, &mut run)? {
        run.mark_incomplete(reason.to_string());
    }
    Ok(run.log_finished())
}

/// Measures all phases of a run in order; where one phase stops, the figures of earlier phases are kept.
fn measure_phases(
    network: &mut SimNetwork,
    options: &Options,
    run: &mut Run,
) -> Result<Result<(), StopReason>, Error> {
    let limit = Duration::from_secs(options.settle_s);
    let usage = network.usage();
    match run_until_converged(network, limit) {
        Ok(Some(took)) => run.record("joined_sim_s", took.as_secs_f64()),
        Ok(None) => {
            run.mark_incomplete(format!("members did not converge within {limit:?} of simulated time"))
        }
        Err(reason) => return Ok(Err(reason)),
    }
    network.usage().since(&usage).record("joining", run);
    if let Err(reason) = network.advance(SETTLING_TIME) {
        return Ok(Err(reason));
    }
    let usage = network.usage();
    if let Err(reason) = network.advance(Duration::from_secs(options.rest_s)) {
        return Ok(Err(reason));
    }
    network.usage().since(&usage).record("rest", run);
    let index = network.random_member();
    let usage = network.usage();
    network.stop_member(index);
    match network.run_until_known(index, false, limit) {
        Ok(Some(took)) => run.record("death_known_to_all_sim_s", took.as_secs_f64()),
        Ok(None) => {
            run.mark_incomplete(format!("a death was not known to all after {limit:?} of simulated time"))
        }
        Err(reason) => return Ok(Err(reason)),
    }
    network.usage().since(&usage).record("death", run);
    let usage = network.usage();
    network.start_member(index)?;
    match network.run_until_known(index, true, limit) {
        Ok(Some(took)) => run.record("restart_known_to_all_sim_s", took.as_secs_f64()),
        Ok(None) => {
            run.mark_incomplete(format!("a restart was not known to all after {limit:?} of simulated time"))
        }
        Err(reason) => return Ok(Err(reason)),
    }
    network.usage().since(&usage).record("restart", run);
    Ok(Ok(()))
}

/// Runs until all members agree on one view, at most for the given time.
fn run_until_converged(network: &mut SimNetwork, limit: Duration) -> Result<Option<Duration>, StopReason> {
    let from = network.now();
    while !network.has_converged() {
        if network.now().since(from) >= limit {
            return Ok(None);
        }
        network.advance(CHECK_INTERVAL)?;
    }
    Ok(Some(network.now().since(from)))
}
