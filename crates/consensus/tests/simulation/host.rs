//! The simulated process of one member: its node, disk and clock.
use cluster_types::{MemberId, Time};
use consensus::{Config, Event, Node, StoredState, WriteBatch};
use std::collections::VecDeque;
use std::time::Duration;

pub struct Host {
    pub config: Config,
    /// `None` while the process is down.
    pub node: Option<Node>,
    /// What is on disk.
    pub stored: StoredState,
    /// What the disk will hold once all pending batches are written.
    pub projected: StoredState,
    /// Pending batches.
    pub write_queue: VecDeque<WriteBatch>,
    /// The number of starts, to drop events that belong to an earlier one.
    pub start_count: u64,
    /// The process is killed when it next has something to write: the downtime in milliseconds, and whether its disk is lost.
    pub kill_on_next_write: Option<(u64, bool)>,
    /// Whether writes fail, and if so, whether the first failed batch reaches the disk.
    pub disk_failure: Option<bool>,
    pub write_duration_us: u64,
    pub paused_until_us: u64,
    /// Events that arrived during a pause.
    pub paused_events: Vec<Event>,
    pub wakeup_at_us: Option<u64>,
    clock_offset_us: u64,
    clock_drift_ppm: i64,
    /// The applied state: a digest of all applied entries.
    pub state_digest: u64,
    pub applied_index: u64,
}

/// A configuration with short timeouts and low limits, so that much happens in little simulated time.
pub fn config(member: usize, members: usize) -> Config {
    let member_id = |member: usize| MemberId::from(format!("m{member:03}").as_str());
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
        ..Config::new(member_id(member), (0..members).map(member_id).collect())
    }
}

impl Host {
    pub fn new(member: usize, members: usize, incarnation: u64, clock_drift_ppm: i64) -> Host {
        Host {
            config: config(member, members),
            node: None,
            stored: StoredState::empty(incarnation),
            projected: StoredState::empty(incarnation),
            write_queue: VecDeque::new(),
            start_count: 0,
            kill_on_next_write: None,
            disk_failure: None,
            write_duration_us: 500,
            paused_until_us: 0,
            paused_events: Vec::new(),
            wakeup_at_us: None,
            clock_offset_us: 0,
            clock_drift_ppm,
            state_digest: 0,
            applied_index: 0,
        }
    }

    /// What the host's clock shows at a true time.
    pub fn clock_at(&self, now_us: u64) -> Time {
        let now = i128::from(now_us);
        let shown =
            i128::from(self.clock_offset_us) + now + now * i128::from(self.clock_drift_ppm) / 1_000_000;
        Time(u64::try_from(shown).unwrap())
    }

    /// The first true time at which the host's clock shows `shown`.
    pub fn true_time(&self, shown: Time) -> u64 {
        let ahead = (i128::from(shown.0) - i128::from(self.clock_offset_us)).max(0);
        let mut at = u64::try_from(ahead * 1_000_000 / i128::from(1_000_000 + self.clock_drift_ppm)).unwrap();
        while self.clock_at(at) < shown {
            at += 1;
        }
        at
    }

    /// Starts the process from its disk, with a new clock origin.
    pub fn start(&mut self, now_us: u64, clock_origin_us: u64) -> Result<(), String> {
        self.start_count += 1;
        self.clock_offset_us = clock_origin_us;
        self.projected = self.stored.clone();
        (self.state_digest, self.applied_index, self.paused_until_us) = (0, 0, 0);
        let node =
            Node::new(self.config.clone(), self.stored.clone(), self.clock_at(now_us), clock_origin_us)
                .map_err(|error| format!("{} cannot start: {error}", self.config.own_id))?;
        self.node = Some(node);
        Ok(())
    }

    /// Kills the process; `written` of its pending batches reach the disk.
    pub fn kill(&mut self, written: usize) {
        self.node = None;
        self.paused_events.clear();
        let written_count = written.min(self.write_queue.len());
        for batch in self.write_queue.drain(..).take(written_count) {
            self.stored.apply_batch(&batch);
        }
        self.write_queue.clear();
        (self.wakeup_at_us, self.disk_failure, self.write_duration_us) = (None, None, 500);
    }

    /// Whether the stored state records that its incarnation is admitted.
    pub fn is_admitted(&self, now_us: u64) -> bool {
        let node = Node::new(self.config.clone(), self.stored.clone(), self.clock_at(now_us), 0);
        node.is_ok_and(|n| n.incarnations().get(&self.config.own_id) == Some(&self.stored.incarnation))
    }
}
