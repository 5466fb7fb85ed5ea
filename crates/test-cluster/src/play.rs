//! Playing a schedule of faults.
use crate::boxes::Manner;
use crate::discovery::{self, Lifecycle};
use crate::links::Condition;
use crate::rig::Rig;
use crate::schedule::{Fault, Schedule};
use std::io;
use std::time::Duration;

/// How long a front may take to answer after its start.
const START: Duration = Duration::from_secs(15);

impl Rig {
    /// Plays a schedule from its begin to its end, and makes good whatever it did.
    pub fn play(&mut self, schedule: &Schedule) -> io::Result<()> {
        self.story.step(schedule);
        let start = self.clock.now();
        for (at, begins, item) in schedule.steps() {
            self.wait_until(start + at);
            self.story.step(format_args!("{} {:?}", if begins { "begins" } else { "ends" }, item.fault));
            match begins {
                true => self.begin(&item.fault)?,
                false => self.end(&item.fault)?,
            }
        }
        self.wait_until(start + schedule.span);
        // A front that was started while discovery was away answers only now. What follows counts it as there.
        self.fronts.iter_mut().try_for_each(|f| f.ready(START))?;
        self.story.step("the schedule has ended");
        Ok(())
    }

    fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.clock.now()));
    }

    /// Names of one hall against those of another; discovery stays with both.
    fn split(&self, one: &str, other: &str, heal: bool) {
        let (one, other) = (self.hall(one), self.hall(other));
        match heal {
            false => self.links.split(&one, &other),
            true => one.iter().for_each(|a| other.iter().for_each(|b| self.links.heal(a, b))),
        }
    }

    /// Lets something fail.
    pub fn begin(&mut self, fault: &Fault) -> io::Result<()> {
        let both = |a: &str, b: &str, condition: Condition| {
            self.links.set(a, b, condition);
            self.links.set(b, a, condition);
        };
        let well = Condition::default();
        match fault {
            Fault::Cut { from, to } => self.links.cut(from, to),
            Fault::CutBoth { a, b } => self.links.cut_both(a, b),
            Fault::Halls { one, other } => self.split(one, other, false),
            Fault::Delay { a, b, by } => both(a, b, Condition { delay: *by, ..well }),
            Fault::Slow { from, to, rate } => {
                self.links.set(from, to, Condition { rate: Some(*rate), ..well })
            }
            Fault::Loss { a, b, share } => both(a, b, Condition { loss: *share, ..well }),
            Fault::Reset { a, b } => self.links.reset(a, b),
            Fault::Stall { front } => self.front(front)?.stall()?,
            Fault::Kill { front, .. } => self.front(front)?.kill(),
            Fault::Drain { place } => drop(self.discovery.set(place, Lifecycle::Leaving)),
            Fault::Down { place, .. } => {
                self.place(place)?.down();
                self.refuse(place, true);
            }
            Fault::Sick { place, busy, fail, silent } => {
                let place = self.place(place)?;
                place.set(Manner { busy: *busy, fail: *fail, silent: *silent, ..place.manner() });
            }
            Fault::Lame { place, service } => {
                let place = self.place(place)?;
                place.set(Manner { service: *service, ..place.manner() });
            }
            Fault::Mute => self.discovery.act(discovery::Manner::Silent),
            Fault::Unavailable => self.discovery.act(discovery::Manner::Unavailable),
            Fault::Undiscovered => self.discovery.act(discovery::Manner::Down),
        }
        Ok(())
    }

    /// Makes it good again.
    pub fn end(&mut self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::Cut { from: a, to: b }
            | Fault::Slow { from: a, to: b, .. }
            | Fault::CutBoth { a, b }
            | Fault::Delay { a, b, .. }
            | Fault::Loss { a, b, .. } => self.links.heal(a, b),
            Fault::Halls { one, other } => self.split(one, other, true),
            Fault::Reset { .. } => {}
            Fault::Stall { front } => self.front(front)?.go_on()?,
            Fault::Kill { front, keep } => self.front(front)?.restart(*keep)?,
            Fault::Drain { place } => drop(self.discovery.set(place, Lifecycle::Active)),
            Fault::Down { place, keep } => {
                self.place(place)?.restart(*keep)?;
                self.refuse(place, false);
                let started = self.place(place)?.started().unwrap_or_default();
                let started = self.clock.unix_ms(started);
                self.discovery.change(place, |listed| listed.started_ms = started);
            }
            Fault::Sick { place, .. } | Fault::Lame { place, .. } => {
                self.place(place)?.set(Manner::default())
            }
            Fault::Mute | Fault::Unavailable | Fault::Undiscovered => {
                self.discovery.act(discovery::Manner::Well);
            }
        }
        Ok(())
    }

    /// Lets links refuse what a box that is down would.
    fn refuse(&self, place: &str, refused: bool) {
        self.setup.all_fronts().iter().for_each(|f| self.links.refuse(f, place, refused));
    }
}
