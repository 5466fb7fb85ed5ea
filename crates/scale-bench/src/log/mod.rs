//! The replicated log with many members: `consensus::Node`, in simulated time.
mod group;
mod load;

use crate::quantiles::Quantiles;
use crate::{Error, Plan, Play};
use group::Group;
use load::{Load, Stopped};

/// Simulated microseconds after the founding, before anything is measured.
const QUIET: u64 = 1_000_000;
/// Simulated microseconds between an entry's commit and the next entry, at the most.
const PAUSE: u64 = 200_000;

/// The network, the disks, and what is put into the log.
#[derive(Clone, Debug)]
pub struct Options {
    /// The bytes of an entry.
    pub entry_bytes: Vec<usize>,
    /// Entries of a play, one after the other's commit.
    pub entries: u32,
    /// The least and the greatest delay of one way, in milliseconds.
    pub delay_ms: (u64, u64),
    /// The least and the greatest time that a write takes, in microseconds.
    pub disk_us: (u64, u64),
    /// Simulated seconds in which the log must be founded, and each entry committed.
    pub settle_s: u64,
    /// Simulated seconds without entries that are measured.
    pub idle_s: u64,
}

/// Measures each number of members with each size of entry.
pub fn run(plan: &Plan, options: &Options) -> Result<Vec<Play>, Error> {
    let mut plays = Vec::new();
    for at in plan.plays() {
        for bytes in &options.entry_bytes {
            let mut play = Play::new(format!("{bytes} bytes"), at);
            let mut group = Group::new(options, at.0 as usize, at.2, plan.bound())?;
            if let Err(stopped) = scenes(&mut group, options, *bytes, &mut play)? {
                play.partial(stopped.to_string());
            }
            plays.push(play.done());
        }
    }
    Ok(plays)
}

/// All that one play shows, in order; where one part stops, those before it stay.
fn scenes(
    group: &mut Group,
    options: &Options,
    bytes: usize,
    play: &mut Play,
) -> Result<Result<(), Stopped>, Error> {
    let within = options.settle_s * 1_000_000;
    let leader = match group.found(within) {
        Ok(leader) => leader,
        Err(stopped) => return Ok(Err(stopped)),
    };
    play.put("founded_sim_ms", group.now() as f64 / 1e3);
    let (from, idle) = (group.now() + QUIET, options.idle_s * 1_000_000);
    if let Err(stopped) = group.run_to(from) {
        return Ok(Err(stopped));
    }
    let load = group.load(leader);
    if let Err(stopped) = group.run_to(from + idle) {
        return Ok(Err(stopped));
    }
    let idle = Rate::of(&group.load(leader).since(&load));
    idle.put(play);
    let load = group.load(leader);
    let mut commits = Quantiles::new()?;
    for n in 0..options.entries {
        match group.commit(leader, vec![n as u8; bytes], within) {
            Ok(took) => commits.record(took as f64 / 1e3),
            Err(stopped) => return Ok(Err(stopped)),
        }
        if let Err(stopped) = group.pause(PAUSE) {
            return Ok(Err(stopped));
        }
    }
    entries(&group.load(leader).since(&load), &idle, options.entries, play);
    commits.put("commit_sim", "ms", play);
    Ok(Ok(()))
}

/// What goes on without entries, in a simulated second.
struct Rate {
    messages: f64,
    bytes: f64,
    leader_us: f64,
    follower_us: f64,
}

impl Rate {
    fn of(load: &Load) -> Rate {
        let span = (load.span_us as f64 / 1e6).max(1e-9);
        Rate {
            messages: load.messages as f64 / span,
            bytes: load.bytes as f64 / span,
            leader_us: load.leader_us / span,
            follower_us: load.follower_us() / span,
        }
    }

    fn put(&self, play: &mut Play) {
        play.put("idle_messages_s", self.messages);
        play.put("idle_bytes_s", self.bytes);
        play.put("idle_leader_cpu_us_s", self.leader_us);
        play.put("idle_follower_cpu_us_s", self.follower_us);
    }
}

/// What entries cost: as counted, and less what goes on without them in the same simulated time.
fn entries(load: &Load, idle: &Rate, count: u32, play: &mut Play) {
    let (count, span) = (f64::from(count.max(1)), load.span_us as f64 / 1e6);
    play.put("entries_messages", load.messages as f64);
    play.put("entries_bytes", load.bytes as f64);
    play.put("entries_sim_s", span);
    play.put("leader_bytes_entry", (load.leader_bytes as f64) / count);
    play.put("messages_entry", (load.messages as f64 - idle.messages * span) / count);
    play.put("bytes_entry", (load.bytes as f64 - idle.bytes * span) / count);
    play.put("leader_cpu_us_entry", (load.leader_us - idle.leader_us * span) / count);
    play.put("follower_cpu_us_entry", (load.follower_us() - idle.follower_us * span) / count);
}
