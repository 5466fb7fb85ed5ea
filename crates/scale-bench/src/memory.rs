//! Memory use of a component, measured in a separate process.
use crate::child_process::wait_output;
use crate::machine::status_field;
use crate::{backend_list, Error, Plan, Run};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

/// Memory use of a process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct MemoryUsage {
    /// Resident bytes before the component is created.
    pub before: u64,
    /// Resident bytes with the component.
    pub after: u64,
    /// Peak resident bytes.
    pub peak: u64,
}

impl MemoryUsage {
    /// Measures the memory of the value that `make` returns, which is dropped only after the measurement.
    pub fn measure<T>(make: impl FnOnce() -> Result<T, Error>) -> Result<MemoryUsage, Error> {
        let before = resident_bytes()?;
        let value = make()?;
        let after = resident_bytes()?;
        let peak = peak_resident_bytes("/proc/self/status")?;
        drop(value);
        Ok(MemoryUsage { before, after, peak })
    }

    /// Records the memory figures in a run.
    pub fn record(&self, run: &mut Run) {
        let added = self.after.saturating_sub(self.before) as f64;
        run.record("resident_added_bytes", added);
        run.record("resident_bytes", self.after as f64);
        run.record("peak_bytes", self.peak as f64);
        run.record("resident_node_bytes", added / run.size.max(1) as f64);
    }
}

/// Reads the resident bytes of this process.
pub fn resident_bytes() -> Result<u64, Error> {
    let path = "/proc/self/statm";
    let text = std::fs::read_to_string(path).map_err(Error::io(path))?;
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    let pages = pages.ok_or_else(|| Error::component("statm", "no resident pages"))?;
    Ok(pages * rustix::param::page_size() as u64)
}

/// Reads the peak resident bytes from a process's status file.
pub fn peak_resident_bytes(path: &str) -> Result<u64, Error> {
    status_bytes(path, "VmHWM")
}

/// Reads a field of a status file, in bytes.
pub fn status_bytes(path: &str, name: &str) -> Result<u64, Error> {
    let text = std::fs::read_to_string(path).map_err(Error::io(path))?;
    let value = status_field(&text, name).and_then(|v| v.trim_end_matches(" kB").trim().parse::<u64>().ok());
    value.map(|kilobytes| kilobytes * 1024).ok_or_else(|| Error::component("status", format!("no {name}")))
}

/// Runs this tool again to measure the memory of a component, at most for `limit`.
pub fn measure_in_child(program: &Path, args: &[String], limit: Duration) -> Result<MemoryUsage, Error> {
    let mut command = Command::new(program);
    command.arg("weigh").args(args).stdin(Stdio::null()).stdout(Stdio::piped());
    let child = command.spawn().map_err(Error::io(program))?;
    let output = wait_output(child, limit).map_err(Error::io(program))?;
    serde_json::from_slice(&output).map_err(|e| Error::component("memory", e))
}

/// Records the memory of a component if the plan names a program to measure it; a failure marks the run incomplete.
pub fn record_in_child(plan: &Plan, args: &[String], run: &mut Run) {
    let Some(program) = &plan.program else { return };
    match measure_in_child(program, args, plan.run_limit) {
        Ok(usage) => usage.record(run),
        Err(e) => run.mark_incomplete(format!("memory was not measured: {e}")),
    }
}

/// Measures the memory of the scheduler with a list and traffic, in this process.
pub fn measure_backend_list(gateways: u32, size: u64, volumes: u32, seed: u64) -> Result<MemoryUsage, Error> {
    MemoryUsage::measure(|| {
        let mut harness = backend_list::SchedulerHarness::new(gateways, seed)?;
        harness.set_full_list(backend_list::entries(size));
        harness.send_traffic(size, volumes);
        Ok(harness)
    })
}
