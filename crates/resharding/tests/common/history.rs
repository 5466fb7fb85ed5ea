//! What clients were told, and what that allows a read to find.
use std::collections::BTreeMap;

#[derive(Default)]
pub struct History {
    /// Of each block: bookings by their value, with when they began and when they were answered.
    blocks: BTreeMap<u64, BTreeMap<u64, (u64, Option<u64>)>>,
    /// Which bookings ran, by value and block: the box.
    pub ran: BTreeMap<(u64, u64), String>,
}

impl History {
    pub fn begins(&mut self, block: u64, value: u64, now: u64) {
        self.blocks.entry(block).or_default().insert(value, (now, None));
    }

    pub fn answered(&mut self, block: u64, value: u64, now: u64) {
        self.blocks.get_mut(&block).unwrap().get_mut(&value).unwrap().1 = Some(now);
    }

    /// Guards against a read that finds less than what was answered before it began.
    pub fn found(&self, block: u64, value: u64, began: u64) -> Result<(), String> {
        let Some(all) = self.blocks.get(&block) else { return Ok(()) };
        let end =
            if value == 0 { Some(0) } else { all.get(&value).ok_or(format!("{value} was never written"))?.1 };
        let newer = all
            .iter()
            .find(|(_, (start, e))| end.is_some_and(|x| x < *start) && e.is_some_and(|e| e < began));
        match newer {
            Some((w, at)) => {
                Err(format!("block {block}: found {value} (ended {end:?}), older than {w} {at:?}"))
            }
            None => Ok(()),
        }
    }

    /// Guards against a booking that runs twice, or on two sides.
    pub fn runs(&mut self, block: u64, value: u64, on: &str) -> Result<(), String> {
        match self.ran.insert((value, block), on.to_string()) {
            Some(before) => Err(format!("booking {value} of block {block} ran on {before} and on {on}")),
            None => Ok(()),
        }
    }

    pub fn blocks(&self) -> Vec<u64> {
        self.blocks.keys().copied().collect()
    }
}
