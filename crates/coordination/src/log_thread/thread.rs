//! The state and the main loop of the log thread.
use crate::clock::Clock;
use crate::distribution::Mailbox;
use crate::frame::{self, Frame};
use crate::gateway_message::{CoordinationMessage, GatewayMessage};
use crate::log_thread::catalogue_feed::CatalogueFeed;
use crate::log_thread::message::LogMessage;
use crate::log_thread::pending_command::PendingCommand;
use crate::log_thread::received_measurements::ReceivedMeasurements;
use crate::network_thread::{LinkCounters, MembershipView};
use crate::settings::Settings;
use crate::state_machine::{Command, StateMachine};
use crate::storage_thread::{WriteReport, WriteRequest};
use cluster_types::{MemberId, Time};
use maintenance::{MemberAgent, Presence, StageTimer};
use parking_lot::Mutex;
use std::collections::{BTreeMap, VecDeque};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// How often the periodic work runs.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum wait for a message.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// The maximum number of messages, after the first, that are handled before the periodic work is checked.
const MAX_BURST: usize = 256;

/// When each kind of periodic work was last done.
#[derive(Clone, Copy, Default)]
pub(crate) struct LastRuns {
    /// The leader's proposals.
    pub(crate) proposals: Time,
    /// The report of measurements to the leader, with the request for a lease.
    pub(crate) measurements: Time,
    /// The announcement that this member is present.
    pub(crate) presence: Time,
}

/// The mailboxes of the links to the other members.
pub(crate) struct Outboxes(pub(crate) BTreeMap<MemberId, async_channel::Sender<Vec<u8>>>);

impl Outboxes {
    /// Sends a frame. If the mailbox is full it is dropped, as on the network: senders repeat whatever has to arrive.
    pub(crate) fn send(&self, to: &MemberId, frame: &Frame) {
        if let (Some(link), Ok(bytes)) = (self.0.get(to), frame::encode(frame)) {
            drop(link.try_send(bytes));
        }
    }

    pub(crate) fn broadcast(&self, frame: &Frame) {
        self.0.keys().for_each(|to| self.send(to, frame));
    }
}

/// The state of the log thread.
pub(crate) struct LogThread {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    /// The incarnation of this process.
    pub(crate) process_incarnation: u64,
    /// The incarnation of the store.
    pub(crate) store_incarnation: u64,
    pub(crate) raft: consensus::Node,
    pub(crate) state: StateMachine,
    /// The maintenance agent of this member.
    pub(crate) member_agent: MemberAgent,
    /// How long returning backends have been free of failures.
    pub(crate) stage_timer: StageTimer,
    /// The latest measurements of each member.
    pub(crate) latest_measurements: BTreeMap<MemberId, ReceivedMeasurements>,
    /// Commands of this member that are not in the log yet, by ticket.
    pub(crate) pending: BTreeMap<u64, PendingCommand>,
    pub(crate) last_ticket: u64,
    /// When this member, as leader, made the proposals that are not committed yet, by ticket.
    pub(crate) proposed: BTreeMap<u64, Time>,
    /// When the leases that this member granted as leader expire, by member.
    pub(crate) granted_leases: BTreeMap<MemberId, Time>,
    pub(crate) last_runs: LastRuns,
    /// Whether this member is shutting down.
    pub(crate) is_leaving: bool,
    /// Whether the state has changed since the agent was last given its orders.
    pub(crate) has_new_state: bool,
    pub(crate) outboxes: Outboxes,
    pub(crate) storage: SyncSender<WriteRequest>,
    pub(crate) gateway: async_channel::Sender<GatewayMessage>,
    /// Messages that wait because the gateway's mailbox is full.
    pub(crate) unsent: VecDeque<GatewayMessage>,
    pub(crate) link_counters: Arc<LinkCounters>,
    pub(crate) view: Arc<Mutex<MembershipView>>,
    /// The connection to the relay of configuration changes, if this member has one.
    pub(crate) catalogue_feed: Option<CatalogueFeed>,
    /// Writes a log line.
    pub(crate) log: fn(&str),
}

/// The parameters of the log thread.
pub(crate) struct LogThreadParts {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) process_incarnation: u64,
    pub(crate) store_incarnation: u64,
    pub(crate) raft: consensus::Node,
    pub(crate) member_agent: MemberAgent,
    pub(crate) outboxes: Outboxes,
    pub(crate) storage: SyncSender<WriteRequest>,
    pub(crate) gateway: async_channel::Sender<GatewayMessage>,
    pub(crate) link_counters: Arc<LinkCounters>,
    pub(crate) view: Arc<Mutex<MembershipView>>,
    pub(crate) relay: Option<Mailbox>,
    pub(crate) log: fn(&str),
}

impl LogThread {
    pub(crate) fn new(parts: LogThreadParts) -> LogThread {
        LogThread {
            settings: parts.settings,
            clock: parts.clock,
            process_incarnation: parts.process_incarnation,
            store_incarnation: parts.store_incarnation,
            raft: parts.raft,
            state: StateMachine::new(),
            member_agent: parts.member_agent,
            stage_timer: StageTimer::new(),
            latest_measurements: BTreeMap::new(),
            pending: BTreeMap::new(),
            // Greater than the tickets of all earlier starts.
            last_ticket: parts.process_incarnation,
            proposed: BTreeMap::new(),
            granted_leases: BTreeMap::new(),
            last_runs: LastRuns::default(),
            is_leaving: false,
            has_new_state: false,
            outboxes: parts.outboxes,
            storage: parts.storage,
            gateway: parts.gateway,
            unsent: VecDeque::new(),
            link_counters: parts.link_counters,
            view: parts.view,
            catalogue_feed: parts.relay.map(CatalogueFeed::new),
            log: parts.log,
        }
    }

    /// Runs until all other ends of the mailbox are dropped.
    pub(crate) fn run(mut self, mailbox: &Receiver<LogMessage>) {
        let mut periodic_at = Time(0);
        loop {
            let now = self.clock.now();
            let deadlines = [
                self.raft.next_wakeup(),
                self.member_agent.next_wakeup(),
                Some(periodic_at + PERIODIC_INTERVAL),
            ];
            let deadline = deadlines.into_iter().flatten().min().unwrap_or(now + PERIODIC_INTERVAL);
            match mailbox.recv_timeout(deadline.since(now).max(MIN_WAIT)) {
                Ok(first) => {
                    self.handle(first);
                    mailbox.try_iter().take(MAX_BURST).for_each(|next| self.handle(next));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            self.handle_raft_event(consensus::Event::Tick);
            if now.since(periodic_at) >= PERIODIC_INTERVAL {
                periodic_at = now;
                self.run_periodic(now);
            }
            self.update_agent_and_gateway(now);
            self.feed_relay(now);
        }
    }

    fn handle(&mut self, message: LogMessage) {
        let now = self.clock.now();
        match message {
            LogMessage::Frame { from, frame } => self.handle_frame(now, from, frame),
            LogMessage::FromGateway(CoordinationMessage::Measured(measurements)) => {
                self.record_own_measurements(now, measurements);
            }
            LogMessage::FromGateway(CoordinationMessage::Call(call, respond_to)) => {
                self.handle_call(now, call, respond_to);
            }
            LogMessage::FromGateway(CoordinationMessage::Stopping) => self.leave(now),
            LogMessage::Reports(reports) => self.outboxes.broadcast(&Frame::Reports(reports)),
            LogMessage::Storage(report) => self.handle_write_report(now, &report),
        }
    }

    fn leave(&mut self, now: Time) {
        self.is_leaving = true;
        let (member, presence) = (self.settings.own_id.clone(), Presence::Left);
        let command = maintenance::Command::SetPresence { member, presence };
        self.submit(now, Command::Maintenance(command), None);
    }

    fn handle_write_report(&mut self, now: Time, report: &WriteReport) {
        match *report {
            WriteReport::BatchWritten(batch_id) => {
                self.handle_raft_event(consensus::Event::Persisted { batch_id });
            }
            WriteReport::BatchFailed(batch_id) => {
                self.handle_raft_event(consensus::Event::PersistFailed { batch_id });
            }
            WriteReport::AgentStateWritten(serial) => {
                self.handle_agent_event(now, maintenance::Event::Persisted { serial });
            }
            WriteReport::Recovered => self.handle_raft_event(consensus::Event::StorageRecovered),
        }
    }
}
