//! One member's process: its node, its disk and its clock.
use cluster_types::{MemberId, Time};
use consensus::{Config, Event, Node, StoredState, WriteBatch};
use std::collections::VecDeque;
use std::time::Duration;

pub struct Host {
    pub config: Config,
    /// None while it is down.
    pub node: Option<Node>,
    /// What is on disk.
    pub stored: StoredState,
    /// What the disk will hold once all pending batches are written.
    pub image: StoredState,
    /// Pending batches.
    pub queue: VecDeque<WriteBatch>,
    /// Numbers the starts, so that events for an earlier one are dropped.
    pub start_count: u64,
    /// It is killed when it next has something to write: for how many milliseconds, and whether its disk is lost.
    pub armed: Option<(u64, bool)>,
    pub failing: Option<bool>,
    pub takes_us: u64,
    pub paused_until: u64,
    /// Events that arrived while it was paused.
    pub inbox: Vec<Event>,
    pub wake_at: Option<u64>,
    offset: u64,
    rate_ppm: i64,
    /// The state machine: a digest of everything applied.
    pub digest: u64,
    pub applied: u64,
}

/// Times of the group, short so that much happens in little simulated time.
pub fn config(me: usize, members: usize) -> Config {
    let name = |nth: usize| MemberId::from(format!("m{nth:03}").as_str());
    Config {
        heartbeat_interval: Duration::from_millis(60),
        min_election_timeout: Duration::from_millis(300),
        max_election_timeout: Duration::from_millis(600),
        max_clock_drift_ppm: 30_000,
        max_message_entries: 5,
        max_message_bytes: 512,
        max_inflight_messages: 3,
        max_log_entries: 60,
        max_log_bytes: 64 << 10,
        snapshot_threshold_entries: 15,
        max_snapshot_bytes: 4096,
        snapshot_chunk_bytes: 40,
        max_pending_proposals: 20,
        max_pending_read_barriers: 5,
        max_pending_writes: 4,
        ..Config::new(name(me), (0..members).map(name).collect())
    }
}

impl Host {
    pub fn new(me: usize, members: usize, incarnation: u64, rate_ppm: i64) -> Host {
        Host {
            config: config(me, members),
            node: None,
            stored: StoredState::empty(incarnation),
            image: StoredState::empty(incarnation),
            queue: VecDeque::new(),
            start_count: 0,
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

    /// What its clock shows at a true time.
    pub fn clock(&self, now: u64) -> Time {
        let now = i128::from(now);
        let shown = i128::from(self.offset) + now + now * i128::from(self.rate_ppm) / 1_000_000;
        Time(u64::try_from(shown).unwrap())
    }

    /// The first true time at which its clock shows a time.
    pub fn when(&self, shown: Time) -> u64 {
        let ahead = (i128::from(shown.0) - i128::from(self.offset)).max(0);
        let mut at = u64::try_from(ahead * 1_000_000 / i128::from(1_000_000 + self.rate_ppm)).unwrap();
        while self.clock(at) < shown {
            at += 1;
        }
        at
    }

    /// Starts from disk, with a clock of another origin.
    pub fn start(&mut self, now: u64, origin: u64) -> Result<(), String> {
        self.start_count += 1;
        self.offset = origin;
        self.image = self.stored.clone();
        (self.digest, self.applied, self.paused_until) = (0, 0, 0);
        let node = Node::new(self.config.clone(), self.stored.clone(), self.clock(now), origin)
            .map_err(|error| format!("{} can't start: {error}", self.config.me))?;
        self.node = Some(node);
        Ok(())
    }

    /// Stops at once; `written` of the pending batches have reached the disk.
    pub fn kill(&mut self, written: usize) {
        self.node = None;
        self.inbox.clear();
        let done = written.min(self.queue.len());
        for batch in self.queue.drain(..).take(done) {
            self.stored.apply_batch(&batch);
        }
        self.queue.clear();
        (self.wake_at, self.failing, self.takes_us) = (None, None, 500);
    }

    /// Whether the stored state says that its incarnation is admitted.
    pub fn is_admitted(&self, now: u64) -> bool {
        let node = Node::new(self.config.clone(), self.stored.clone(), self.clock(now), 0);
        node.is_ok_and(|n| n.incarnations().get(&self.config.me) == Some(&self.stored.incarnation))
    }
}
