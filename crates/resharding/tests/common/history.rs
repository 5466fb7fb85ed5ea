//! The history of writes and their answers, and the values that a read may return by it.
use std::collections::BTreeMap;

/// A write of one block. Its value is unique.
#[derive(Clone, Copy, Debug)]
struct Write {
    started: u64,
    answered: Option<u64>,
}

#[derive(Default)]
pub struct History {
    /// The writes of each block, by their values.
    writes: BTreeMap<u64, BTreeMap<u64, Write>>,
    /// The backend on which each write, by value and block, ran.
    ran_at: BTreeMap<(u64, u64), String>,
}

impl History {
    pub fn begin_write(&mut self, block: u64, value: u64, now: u64) {
        self.writes.entry(block).or_default().insert(value, Write { started: now, answered: None });
    }

    pub fn answer_write(&mut self, block: u64, value: u64, now: u64) {
        self.writes.get_mut(&block).unwrap().get_mut(&value).unwrap().answered = Some(now);
    }

    /// Checks that a read did not miss a write that was answered before the read started.
    pub fn check_read(&self, block: u64, value: u64, started: u64) -> Result<(), String> {
        let Some(writes) = self.writes.get(&block) else { return Ok(()) };
        let answered = match value {
            0 => Some(0),
            _ => writes.get(&value).ok_or(format!("{value} was never written"))?.answered,
        };
        let is_newer = |write: &Write| {
            answered.is_some_and(|answered| answered < write.started)
                && write.answered.is_some_and(|at| at < started)
        };
        match writes.iter().find(|(_, write)| is_newer(write)) {
            Some((newer, write)) => {
                Err(format!("block {block}: {value} (ended {answered:?}) is older than {newer} {write:?}"))
            }
            None => Ok(()),
        }
    }

    /// Records that a write ran, and checks that it had not run before.
    pub fn run_write(&mut self, block: u64, value: u64, backend: &str) -> Result<(), String> {
        match self.ran_at.insert((value, block), backend.to_string()) {
            Some(before) => Err(format!("write {value} of block {block} ran on {before} and on {backend}")),
            None => Ok(()),
        }
    }

    /// All blocks that were written.
    pub fn blocks(&self) -> Vec<u64> {
        self.writes.keys().copied().collect()
    }
}
