//! The thread of the log: what the others said, what the disk has, what the front measured and operators asked come in here, one
//! after the other; what the machines make of it goes out.
use crate::calls::Waiting;
use crate::clock::{unix, Clock};
use crate::frames::{self, Frame};
use crate::ledger::{Entry, Ledger, What};
use crate::mail::{Measures, ToAccord, ToFront};
use crate::net::View;
use crate::settings::Settings;
use crate::store::{Write, Wrote};
use cluster_types::{Index, MemberId, Time};
use consensus::{Node, Role};
use maintenance::{MemberAgent, StageTimer};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// How often the machines look at what is due beside what comes in.
pub const TURN: Duration = Duration::from_millis(100);
/// Letters that are taken in one go, before what is due is looked at.
const BURST: usize = 256;

/// What comes in.
pub enum Inbox {
    /// From another front.
    Frame(MemberId, Frame),
    /// From this front.
    Tell(ToAccord),
    /// From the disk.
    Disk(Wrote),
    /// From this front's server of changes: for the others'.
    Reports(Vec<config_distribution::Report>),
}

/// What a front measured, as of when it came here.
pub struct Measured {
    /// When it came.
    pub came: Time,
    /// Up to where it had applied the log.
    pub seen: Index,
    /// What.
    pub measures: Measures,
}

/// The state of the thread.
pub struct Core {
    /// What the hosts were told.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// This start of the process.
    pub start: u64,
    /// The life of the store.
    pub life: u64,
    /// The replicated log.
    pub node: Node,
    /// What it comes to.
    pub ledger: Ledger,
    /// This front's own side.
    pub front: MemberAgent,
    /// How long boxes that come back have done well.
    pub watch: StageTimer,
    /// What each front measured last.
    pub measured: BTreeMap<MemberId, Measured>,
    /// Calls and commands that are not in the log yet, by this front's number.
    pub waiting: BTreeMap<u64, Waiting>,
    /// The last number given.
    pub ticket: u64,
    /// What the leader has proposed and not seen committed.
    pub proposed: BTreeMap<u64, Time>,
    /// Until when each front's lease may run at the most, as the leader granted it.
    pub leases: BTreeMap<MemberId, Time>,
    /// When this front last measured, asked for its lease, and said that it is there.
    pub last: [Time; 3],
    /// Whether this front is about to end.
    pub leaving: bool,
    /// Whether this front's own side must be told of new orders.
    pub changed: bool,
    /// Mailboxes of the others.
    pub outbox: BTreeMap<MemberId, async_channel::Sender<Vec<u8>>>,
    /// The disk's mailbox.
    pub disk: SyncSender<Write>,
    /// The front's mailbox.
    pub to_front: async_channel::Sender<ToFront>,
    /// Letters that found the front's mailbox full.
    pub late: std::collections::VecDeque<ToFront>,
    /// What was bad or lost on the links.
    pub counts: Arc<crate::links::Counts>,
    /// What membership comes to.
    pub view: Arc<Mutex<View>>,
    /// The server of changes of configuration, where there is one.
    pub serves: Option<crate::changes::Serves>,
    /// Writes a line of the log.
    pub log: fn(&str),
}

impl Core {
    /// Runs until all other ends of the mailbox have gone.
    pub fn run(mut self, inbox: &Receiver<Inbox>) {
        let mut turn = Time(0);
        loop {
            let now = self.clock.now();
            let wakes = [self.node.next_wakeup(), self.front.next_wakeup(), Some(turn + TURN)];
            let wake = wakes.into_iter().flatten().min().unwrap_or(now + TURN);
            match inbox.recv_timeout(wake.since(now).max(Duration::from_millis(1))) {
                Ok(first) => {
                    self.take(first);
                    for _ in 0..BURST {
                        let Ok(next) = inbox.try_recv() else { break };
                        self.take(next);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            self.log_event(consensus::Event::Tick);
            if now.since(turn) >= TURN {
                turn = now;
                self.turn(now);
            }
            self.follow(now);
            self.serve(now);
        }
    }

    fn take(&mut self, letter: Inbox) {
        let now = self.clock.now();
        match letter {
            Inbox::Frame(from, frame) => self.frame(now, from, frame),
            Inbox::Tell(ToAccord::Measured(measures)) => self.measures(now, measures),
            Inbox::Tell(ToAccord::Call(call, to)) => self.call(now, call, to),
            Inbox::Tell(ToAccord::Stopping) => {
                self.leaving = true;
                let (member, presence) = (self.settings.me.clone(), maintenance::Presence::Left);
                self.say(
                    now,
                    What::Maintenance(maintenance::Command::SetPresence { member, presence }),
                    None,
                );
            }
            Inbox::Reports(reports) => {
                let frame = Frame::Reports(reports);
                self.outbox.keys().for_each(|to| self.send(to, &frame));
            }
            Inbox::Disk(Wrote::Batch(batch)) => {
                self.log_event(consensus::Event::Persisted { batch_id: batch })
            }
            Inbox::Disk(Wrote::Failed(batch)) => {
                self.log_event(consensus::Event::PersistFailed { batch_id: batch })
            }
            Inbox::Disk(Wrote::Recovered) => self.log_event(consensus::Event::StorageRecovered),
            Inbox::Disk(Wrote::Kept(serial)) => self.own(now, maintenance::Event::Persisted { serial }),
        }
    }

    fn frame(&mut self, now: Time, from: MemberId, frame: Frame) {
        match frame {
            Frame::Hello => {}
            Frame::Log { life, message } => {
                self.log_event(consensus::Event::Message { from, incarnation: life, message })
            }
            Frame::Forward { ticket, what } => self.propose(now, from, ticket, what),
            Frame::Measured { asked, seen, measures } => {
                self.measured.insert(from.clone(), Measured { came: now, seen, measures: *measures });
                // Only while nobody else can lead: a leader that was cut off must not go on granting.
                if self.node.lease_expiry(now).is_some() {
                    let span = self.settings.lease;
                    self.leases.insert(from.clone(), now + span);
                    let span = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
                    self.send(&from, &Frame::Lease { asked, span });
                }
            }
            Frame::Reports(reports) => self.reported(reports),
            Frame::Lease { asked, span } => self.leased(Time(asked), Duration::from_micros(span)),
        }
    }

    /// The lease runs from when it was asked for, by this front's clock, and ends early by what clocks may differ.
    pub fn leased(&mut self, asked: Time, span: Duration) {
        let until = asked + span.min(self.settings.lease).mul_f64(1.0 - self.settings.drift);
        let now = self.clock.now();
        self.own(now, maintenance::Event::LeaseRenewed { until });
    }

    /// Puts an entry into the log, where this front leads.
    pub fn propose(&mut self, now: Time, by: MemberId, ticket: u64, what: What) {
        if self.node.role() != Role::Leader {
            return;
        }
        let at_ms = u64::try_from(unix().as_millis()).unwrap_or(u64::MAX);
        let Ok(data) = postcard::to_stdvec(&Entry { at_ms, by, ticket, what }) else { return };
        self.ticket += 1;
        self.proposed.insert(self.ticket, now);
        let event = consensus::Event::Propose { ticket: self.ticket, data: data.into() };
        self.log_event(event);
    }

    /// Tells the log something by this front's word, by way of the leader; tells the number under which it is waited for.
    pub fn say(&mut self, now: Time, what: What, answer: Option<crate::calls::Answer>) -> u64 {
        self.ticket += 1;
        let ticket = self.ticket;
        let waiting = Waiting { what: what.clone(), since: now, said: now, answer };
        self.waiting.insert(ticket, waiting);
        self.forward(now, ticket, what);
        ticket
    }

    /// Hands something to the leader, where one is known; it is said again until it is in the log.
    pub fn forward(&mut self, now: Time, ticket: u64, what: What) {
        let me = self.settings.me.clone();
        match (self.node.role(), self.node.leader()) {
            (Role::Leader, _) => self.propose(now, me, ticket, what),
            (_, Some(leader)) => {
                let leader = leader.clone();
                self.send(&leader, &Frame::Forward { ticket, what });
            }
            _ => {}
        }
    }

    /// Sends a frame; one that finds no room is lost, as on the way.
    pub fn send(&self, to: &MemberId, frame: &Frame) {
        if let (Some(link), Some(bytes)) = (self.outbox.get(to), frames::write(frame)) {
            let _ = link.try_send(bytes);
        }
    }
}
