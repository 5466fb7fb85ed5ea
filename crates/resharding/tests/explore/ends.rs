//! What happens at the boxes, and what must hold there.
use super::world::*;
use cluster_types::{Index, Time};
use resharding::*;

impl World {
    pub fn open(&self) -> Option<Index> {
        let opened = |w: &(Moves, Front, u64)| match w.0.active.values().next().map(|m| &m.phase) {
            Some(Phase::Release { epoch }) => Some(*epoch),
            _ => None,
        };
        self.fronts.iter().find_map(opened)
    }

    pub fn booking(&mut self, at: usize) -> Result<(), String> {
        let now = Time(self.now);
        let b = self.bookings[at].clone();
        match b.stage {
            Stage::Held => self.bookings[at].stage = Stage::Executed,
            Stage::Sent => {
                if self.open().is_some_and(|open| b.part.epoch < open) {
                    return Err(format!(
                        "booking {} ran at the old place after the new one was open",
                        b.value
                    ));
                }
                self.bookings[at].stage = Stage::Executed;
            }
            Stage::Executed => {
                self.bookings.remove(at);
                let life_is_old = self.fronts[b.front].1.done(b.ticket, now, Ending::Ran) == Kept::MayHaveRun;
                if !life_is_old {
                    self.answered |= 1 << b.value;
                }
                return Ok(());
            }
        }
        self.boxes.insert(b.part.on, b.value);
        Ok(())
    }

    pub fn copying(&mut self, at: usize) -> Result<(), String> {
        let now = Time(self.now);
        let c = self.copies[at].clone();
        self.copies.remove(at);
        let key = (c.front, c.order.number, c.order.token);
        let read = c.order.work == Work::Read;
        if read {
            self.kept.insert(key, self.boxes[&c.order.on]);
        } else {
            // Time for the next.
            self.now += 1;
            let kept = self.kept.remove(&key).unwrap_or(0);
            self.boxes.insert(c.order.on.clone(), kept);
        }
        self.fronts[c.front].1.ended(&c.order, now, End::Done);
        match self.open() {
            Some(_) if !read => Err("a late copy ran over the new place".into()),
            _ => Ok(()),
        }
    }

    /// Whether an answered booking is missing where that was found.
    pub fn stale(&self, value: u8) -> bool {
        (1..3u8).any(|w| {
            self.answered & (1 << w) != 0 && (value == 0 || self.before[w as usize] & (1 << value) != 0)
        })
    }

    /// Guards against a front that would read less than what was answered.
    pub fn looks(&self) -> Result<(), String> {
        for i in (0..2).filter(|i| !self.stalled(*i)) {
            let mut front = self.fronts[i].1.clone();
            if let May::Go { parts, sure: true, .. } = front.may(Time(self.now), &volume(), ALL, false) {
                let Some(part) = parts.first() else { continue };
                let value = self.boxes[&part.on];
                if value == 9 || self.stale(value) {
                    return Err(format!("f{i} would read {value} on {}", part.on));
                }
            }
        }
        Ok(())
    }
}
