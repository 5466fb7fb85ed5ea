//! One member's process: its node, its disk and its clock.
use cluster_types::{MemberId, Time};
use consensus::{Batch, Config, Event, Node, Stored};
use std::collections::VecDeque;
use std::time::Duration;

pub struct Host {
    pub config: Config,
    /// None while it is down.
    pub node: Option<Node>,
    /// What is on disk.
    pub stored: Stored,
    /// What the disk will have once all that waits is written.
    pub image: Stored,
    /// Batches that wait.
    pub queue: VecDeque<Batch>,
    /// Which start this is, so that what was meant for an earlier one is dropped.
    pub start: u64,
    /// It dies when it next has something to write: for how long, and whether its disk is lost.
    pub armed: Option<(u64, bool)>,
    pub failing: Option<bool>,
    pub takes_us: u64,
    pub paused_until: u64,
    /// What came while it was stopped.
    pub inbox: Vec<Event>,
    pub wake_at: Option<u64>,
    offset: u64,
    rate_ppm: i64,
    /// The state machine: a digest of all that was applied, and up to where.
    pub digest: u64,
    pub applied: u64,
}

/// Times of the group, short so that much happens in little simulated time.
pub fn config(me: usize, members: usize) -> Config {
    let name = |nth: usize| MemberId::from(format!("m{nth:03}").as_str());
    Config {
        heartbeat: Duration::from_millis(60),
        election_min: Duration::from_millis(300),
        election_max: Duration::from_millis(600),
        drift_ppm: 30_000,
        batch_entries: 5,
        batch_bytes: 512,
        flights: 3,
        log_entries: 60,
        log_bytes: 64 << 10,
        snapshot_after: 15,
        snapshot_bytes: 4096,
        chunk_bytes: 40,
        proposals: 20,
        barriers: 5,
        unwritten: 4,
        ..Config::new(name(me), (0..members).map(name).collect())
    }
}

impl Host {
    pub fn new(me: usize, members: usize, life: u64, rate_ppm: i64) -> Host {
        Host {
            config: config(me, members),
            node: None,
            stored: Stored::empty(life),
            image: Stored::empty(life),
            queue: VecDeque::new(),
            start: 0,
            armed: None,
            failing: None,
            takes_us: 500,
            paused_until: 0,
            inbox: Vec::new(),
            wake_at: None,
            offset: 0,
            rate_ppm,
            digest: 0,
            applied: 0,
        }
    }

    /// Its own clock.
    pub fn clock(&self, now: u64) -> Time {
        let now = i128::from(now);
        let told = i128::from(self.offset) + now + now * i128::from(self.rate_ppm) / 1_000_000;
        Time(u64::try_from(told).unwrap())
    }

    /// The first true time at which its clock shows that.
    pub fn when(&self, shown: Time) -> u64 {
        let ahead = (i128::from(shown.0) - i128::from(self.offset)).max(0);
        let mut at = u64::try_from(ahead * 1_000_000 / i128::from(1_000_000 + self.rate_ppm)).unwrap();
        while self.clock(at) < shown {
            at += 1;
        }
        at
    }

    /// Starts from disk, with a clock of another origin.
    pub fn begin(&mut self, now: u64, origin: u64) -> Result<(), String> {
        self.start += 1;
        self.offset = origin;
        self.image = self.stored.clone();
        (self.digest, self.applied, self.paused_until) = (0, 0, 0);
        let node = Node::new(self.config.clone(), self.stored.clone(), self.clock(now), origin)
            .map_err(|fault| format!("{} can't start: {fault}", self.config.me))?;
        self.node = Some(node);
        Ok(())
    }

    /// Stops at once; so many of the waiting batches reached the disk.
    pub fn kill(&mut self, written: usize) {
        self.node = None;
        self.inbox.clear();
        let done = written.min(self.queue.len());
        for batch in self.queue.drain(..).take(done) {
            self.stored.write(&batch);
        }
        self.queue.clear();
        (self.wake_at, self.failing, self.takes_us) = (None, None, 500);
    }

    /// Whether what is on disk says that its life is admitted.
    pub fn admitted(&self, now: u64) -> bool {
        let node = Node::new(self.config.clone(), self.stored.clone(), self.clock(now), 0);
        node.is_ok_and(|n| n.lives().get(&self.config.me) == Some(&self.stored.life))
    }
}
