//! When the bytes of a connection have come. A command's time runs from then on, also while it waits behind others unread.
use scheduler::interface::Micros;
use std::collections::VecDeque;

/// Bytes that come within this time of others count as come with them.
const TOGETHER: i64 = 5_000;

/// Times of what has been read and is not used up.
#[derive(Default)]
pub struct Arrivals {
    /// Bytes read and used up so far.
    read: u64,
    used: u64,
    /// Up to which byte had come when, the oldest first.
    marks: VecDeque<(u64, Micros)>,
    /// Since when there is no room: what is read next may have come at any time since.
    full_since: Option<Micros>,
}

impl Arrivals {
    /// So many bytes have been read in all; `room` tells whether there is room for more, so that nothing waits unread.
    pub fn note(&mut self, read: u64, room: bool, now: Micros) {
        if read > self.read {
            self.read = read;
            let came = self.full_since.unwrap_or(now);
            match self.marks.back_mut() {
                Some((upto, at)) if came.0 - at.0 < TOGETHER => *upto = read,
                _ => self.marks.push_back((read, came)),
            }
            self.full_since = self.full_since.filter(|_| !room);
        }
        if !room {
            self.full_since.get_or_insert(now);
        }
    }

    /// When the last of the next so many bytes has come.
    pub fn of_next(&self, bytes: usize) -> Option<Micros> {
        let last = self.used + bytes as u64;
        self.marks.iter().find(|(upto, _)| *upto >= last).map(|(_, at)| *at)
    }

    /// The next so many bytes are used up.
    pub fn use_up(&mut self, bytes: usize) {
        self.used += bytes as u64;
        while self.marks.front().is_some_and(|(upto, _)| *upto <= self.used) {
            self.marks.pop_front();
        }
    }
}
