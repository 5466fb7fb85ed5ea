//! Membership of many fronts: `membership::Membership`, in simulated time.
mod load;
mod world;

use crate::{Error, Plan, Play};
use load::Stopped;
use std::time::Duration;
use world::World;

/// How long members are left alone after they have settled, before their load at rest is measured.
const QUIET: Duration = Duration::from_secs(20);
/// How often is looked whether all hold one view.
const LOOK: Duration = Duration::from_millis(250);

/// The network, the bounds of simulated time, and what a member may send.
#[derive(Clone, Debug)]
pub struct Options {
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The least and the greatest delay of one way, in milliseconds.
    pub delay_ms: (u64, u64),
    /// At most so many bytes a second are sent by a member.
    pub bytes_s: u64,
    /// Simulated seconds in which all must have found together, or a death or restart be known to all.
    pub settle_s: u64,
    /// Simulated seconds of rest that are measured.
    pub rest_s: u64,
}

/// Measures each number of members.
pub fn run(plan: &Plan, options: &Options) -> Result<Vec<Play>, Error> {
    plan.plays().map(|at| play(plan, options, at)).collect()
}

fn play(plan: &Plan, options: &Options, at: (u64, u32, u64)) -> Result<Play, Error> {
    let mut play = Play::new("", at);
    let mut world = World::new(options, at.0 as usize, at.2, plan.bound())?;
    if let Err(stopped) = scenes(&mut world, options, &mut play)? {
        play.partial(stopped.to_string());
    }
    Ok(play.done())
}

/// All that one play shows, in order; where one part stops, those before it stay.
fn scenes(world: &mut World, options: &Options, play: &mut Play) -> Result<Result<(), Stopped>, Error> {
    let within = Duration::from_secs(options.settle_s);
    let load = world.load();
    match settle(world, within) {
        Ok(Some(took)) => play.put("joined_sim_s", took.as_secs_f64()),
        Ok(None) => play.partial(format!("not one view after {within:?} of simulated time")),
        Err(stopped) => return Ok(Err(stopped)),
    }
    world.load().since(&load).put("joining", play);
    if let Err(stopped) = world.run(QUIET) {
        return Ok(Err(stopped));
    }
    let load = world.load();
    if let Err(stopped) = world.run(Duration::from_secs(options.rest_s)) {
        return Ok(Err(stopped));
    }
    world.load().since(&load).put("rest", play);
    let which = world.any();
    let load = world.load();
    world.end(which);
    match world.until_known(which, false, within) {
        Ok(Some(took)) => play.put("death_known_to_all_sim_s", took.as_secs_f64()),
        Ok(None) => play.partial(format!("a death was not known to all after {within:?} of simulated time")),
        Err(stopped) => return Ok(Err(stopped)),
    }
    world.load().since(&load).put("death", play);
    let load = world.load();
    world.start(which)?;
    match world.until_known(which, true, within) {
        Ok(Some(took)) => play.put("restart_known_to_all_sim_s", took.as_secs_f64()),
        Ok(None) => {
            play.partial(format!("a restart was not known to all after {within:?} of simulated time"))
        }
        Err(stopped) => return Ok(Err(stopped)),
    }
    world.load().since(&load).put("restart", play);
    Ok(Ok(()))
}

/// Runs until all hold one view, no longer than that.
fn settle(world: &mut World, within: Duration) -> Result<Option<Duration>, Stopped> {
    let from = world.now();
    while !world.agrees() {
        if world.now().since(from) >= within {
            return Ok(None);
        }
        world.run(LOOK)?;
    }
    Ok(Some(world.now().since(from)))
}
