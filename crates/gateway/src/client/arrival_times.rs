//! Arrival times of the bytes of a connection. A command's deadline counts from the arrival of its last byte, even while it waits
//! unread behind other commands.
use scheduler::interface::Micros;
use std::collections::VecDeque;

/// Bytes that arrive within this interval of earlier ones share their arrival time, in microseconds.
const RESOLUTION_US: i64 = 5_000;

/// Arrival times of the bytes that were read and are not consumed yet.
#[derive(Default)]
pub struct ArrivalTimes {
    /// Bytes read so far.
    read: u64,
    /// Bytes consumed so far.
    consumed: u64,
    /// Stream offsets with the time by which all bytes before them had arrived, the oldest first.
    marks: VecDeque<(u64, Micros)>,
    /// Since when the buffer has been full: the bytes that are read next may have arrived at any time since then.
    full_since: Option<Micros>,
}

impl ArrivalTimes {
    /// Records that `read` bytes have been read in total. `has_room` tells whether the buffer has free space, so that no bytes wait unread.
    pub fn record(&mut self, read: u64, has_room: bool, now: Micros) {
        if read > self.read {
            self.read = read;
            let arrived = self.full_since.unwrap_or(now);
            match self.marks.back_mut() {
                Some((end, at)) if arrived.0 - at.0 < RESOLUTION_US => *end = read,
                _ => self.marks.push_back((read, arrived)),
            }
            self.full_since = self.full_since.filter(|_| !has_room);
        }
        if !has_room {
            self.full_since.get_or_insert(now);
        }
    }

    /// Returns the arrival time of the last of the next `bytes` bytes; `None` if it has not arrived.
    pub fn arrival_of_next(&self, bytes: usize) -> Option<Micros> {
        let last = self.consumed + bytes as u64;
        self.marks.iter().find(|(end, _)| *end >= last).map(|(_, at)| *at)
    }

    /// Removes the next `bytes` bytes, which were consumed.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed += bytes as u64;
        while self.marks.front().is_some_and(|(end, _)| *end <= self.consumed) {
            self.marks.pop_front();
        }
    }
}
