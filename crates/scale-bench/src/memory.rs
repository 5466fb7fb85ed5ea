//! Memory that a part takes, weighed in a process of its own.
use crate::machine::field;
use crate::process::finish;
use crate::{list, Error, Plan, Play};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

/// What a process weighed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Weight {
    /// Resident bytes before the part was there.
    pub before: u64,
    /// Resident bytes with it.
    pub after: u64,
    /// Resident bytes at the most.
    pub peak: u64,
}

impl Weight {
    /// Weighs what is made; it is kept until after.
    pub fn of<T>(make: impl FnOnce() -> Result<T, Error>) -> Result<Weight, Error> {
        let before = resident()?;
        let made = make()?;
        let after = resident()?;
        let peak = peak("/proc/self/status")?;
        drop(made);
        Ok(Weight { before, after, peak })
    }

    /// Puts what was weighed among a play's figures.
    pub fn put(&self, play: &mut Play) {
        let added = self.after.saturating_sub(self.before) as f64;
        play.put("resident_added_bytes", added);
        play.put("resident_bytes", self.after as f64);
        play.put("peak_bytes", self.peak as f64);
        play.put("resident_node_bytes", added / play.size.max(1) as f64);
    }
}

/// This process's resident bytes.
pub fn resident() -> Result<u64, Error> {
    let path = "/proc/self/statm";
    let text = std::fs::read_to_string(path).map_err(Error::io(path))?;
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    let pages = pages.ok_or_else(|| Error::part("statm", "no resident pages"))?;
    Ok(pages * rustix::param::page_size() as u64)
}

/// The most resident bytes that the process of this status file had.
pub fn peak(path: &str) -> Result<u64, Error> {
    kilobytes(path, "VmHWM")
}

/// A field of a status file, in bytes.
pub fn kilobytes(path: &str, name: &str) -> Result<u64, Error> {
    let text = std::fs::read_to_string(path).map_err(Error::io(path))?;
    let value = field(&text, name).and_then(|v| v.trim_end_matches(" kB").trim().parse::<u64>().ok());
    value.map(|kilobytes| kilobytes * 1024).ok_or_else(|| Error::part("status", format!("no {name}")))
}

/// Runs the tool anew to weigh a part, no longer than that.
pub fn weigh(program: &Path, what: &[String], limit: Duration) -> Result<Weight, Error> {
    let mut command = Command::new(program);
    command.arg("weigh").args(what).stdin(Stdio::null()).stdout(Stdio::piped());
    let child = command.spawn().map_err(Error::io(program))?;
    let output = finish(child, limit).map_err(Error::io(program))?;
    serde_json::from_slice(&output).map_err(|e| Error::part("weigh", e))
}

/// Weighs a part for a play, where the plan has a program to do so; the play says so where that fails.
pub fn put(plan: &Plan, what: &[String], play: &mut Play) {
    let Some(program) = &plan.program else { return };
    match weigh(program, what, plan.limit) {
        Ok(weight) => weight.put(play),
        Err(e) => play.partial(format!("memory was not weighed: {e}")),
    }
}

/// Weighs the decision module with a list and traffic, in this process.
pub fn of_list(hosts: u32, size: u64, volumes: u32, seed: u64) -> Result<Weight, Error> {
    Weight::of(|| {
        let mut table = list::Table::new(hosts, seed)?;
        table.whole(list::entries(size));
        table.traffic(size, volumes);
        Ok(table)
    })
}
