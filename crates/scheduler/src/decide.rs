//! Every decision of oxbowhill. Its types, events and actions are in `interface.rs`.
//!
//! A volume is a session that holds credits. Requests wait here, in one queue for each volume and shard;
//! the node window decides how many are out at the shard's node, the turns decide whose request is next.
mod attempts;
mod list;
mod node;
mod requests;
mod session;
mod turns;
mod waits;

use crate::interface::*;
use crate::settings::check;
use crate::tools::{forget, later, span, Fading, Random};
use node::Node;
use rand::Rng;
use session::Session;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Operation credits of a session at one host: the source's client figure.
const OPERATION_CREDITS: u32 = 128;
/// Payload credits of a session, in largest requests ("at least a few").
const POOL_REQUESTS: f64 = 16.0;
/// The design's ceiling on a node's window.
const WINDOW_CEILING: f64 = 32.0;
/// Latency averages move by this share a sample: the usual one of eight.
const SMOOTHING: f64 = 0.125;
/// The part of the node's latency that must still fit before the aim for a held request to count as on time.
const STILL_IN_TIME: f64 = 0.7;
/// An attempt unanswered for this many of the node's average latencies, and past its aim, is given up; after
/// half of it the attempt no longer holds a place in the window.
const SILENCE: f64 = 8.0;
/// A held request is answered this many ticks before its client gives up.
const ANSWER_TICKS: i64 = 3;
/// A class is background when its aim is this many times the shortest and its worth is not the highest.
const BACKGROUND_AIM: f64 = 2.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Lapse(RequestId),
    Pump(ShardId),
    Key(KeyId),
    List,
}

#[derive(Default)]
struct Queue {
    held: VecDeque<RequestId>,
    units: f64,
    deficit: f64,
}

#[derive(Default)]
struct Shard {
    /// The places of its nodes, and of the one that is sent to.
    nodes: BTreeSet<usize>,
    node: Option<usize>,
    queues: BTreeMap<(bool, usize), Queue>,
    turn: (bool, usize),
    wake: Micros,
    /// Units that a warm node served for this host, fading over the time that a node takes to warm up.
    served: Fading,
    /// Units inside reservations that clients asked for here, fading likewise.
    asked: Fading,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Place {
    #[default]
    Blocked,
    Queued,
    Out,
    /// Out, and its client has gone.
    Over,
}

#[derive(Default)]
struct Held {
    request: Request,
    /// Its class as it was when the request came; it stays so, whatever a reload makes of the class.
    class: Class,
    /// Whether it waits with the background; it does so to its end, whatever a reload makes of its class.
    background: bool,
    session: usize,
    shard: ShardId,
    came: Micros,
    due: Micros,
    expires: Micros,
    /// When the alarm asks whether it can still be answered in time.
    lapses: Micros,
    attempts: u32,
    place: Place,
    /// The shard and the zone of the first attempt that may have run, and when it was sent.
    ran: Option<(ShardId, u32, Micros)>,
}

#[derive(Default)]
struct KeyLine {
    line: VecDeque<RequestId>,
    rests_until: Micros,
}

/// The decisions of one host.
#[derive(Default)]
pub struct Scheduler {
    set: Settings,
    rng: Random,
    now: Micros,
    started: Option<Micros>,
    /// From when on limits have filled for volumes that are not known.
    limits_from: Option<Micros>,
    background: Vec<bool>,
    shortest_aim: f64,
    /// Hosts for each place under the ceiling of a node's window: how little one host sees of a node.
    crowd: f64,
    /// Requests that ended unserved: until when their clients wait, session, key, and when they first came.
    unserved: BTreeSet<(Micros, usize, Option<KeyId>, Micros)>,
    volumes: BTreeMap<VolumeId, usize>,
    sessions: Vec<Session>,
    names: BTreeMap<NodeId, usize>,
    nodes: Vec<Node>,
    /// Places in `sessions` and `nodes` whose volume or node is forgotten, and when to look for more volumes.
    spare: (Vec<usize>, Vec<usize>),
    /// Nodes that have left and are not forgotten yet.
    left: BTreeSet<usize>,
    sweep_at: usize,
    shards: BTreeMap<ShardId, Shard>,
    requests: BTreeMap<RequestId, Held>,
    keys: BTreeMap<KeyId, KeyLine>,
    alarms: BTreeSet<(Micros, Alarm)>,
    armed: Option<Micros>,
    token: u64,
    listed: bool,
    /// The latencies of all ready nodes that were heard: sum and number.
    heard: (f64, f64),
    list_failures: i32,
    taken: VecDeque<Micros>,
    further: VecDeque<Micros>,
}

impl Scheduler {
    /// A host that knows nothing yet; an error names the setting that cannot work.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let mut scheduler = Scheduler { rng: Random::seeded(seed), ..Scheduler::default() };
        scheduler.settle(settings);
        Ok(scheduler)
    }

    /// Puts other settings in force; the indexes of classes and plans must mean what they did. An error names
    /// the setting that cannot work, and nothing has changed.
    pub fn reload(&mut self, now: Micros, settings: Settings) -> Result<(), SettingsError> {
        check(&settings)?;
        // Guards limits: what has passed so far fills the stores at the old rates.
        self.now = self.now.max(now);
        for session in &mut self.sessions {
            session.fill(&self.set, self.now);
        }
        let limits = |s: &Settings| s.plans.iter().map(|p| (p.limit_rate, p.limit_burst)).collect::<Vec<_>>();
        if limits(&settings) != limits(&self.set) {
            self.limits_from = Some(self.now);
        }
        self.settle(settings);
        Ok(())
    }

    fn settle(&mut self, settings: Settings) {
        let aims = settings.classes.iter().map(|c| c.aim.0 as f64);
        self.shortest_aim = aims.fold(f64::INFINITY, f64::min);
        let worth = settings.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let background = |c: &Class| c.aim.0 as f64 > BACKGROUND_AIM * self.shortest_aim && c.worth < worth;
        self.background = settings.classes.iter().map(background).collect();
        self.crowd = f64::from(settings.hosts) / WINDOW_CEILING;
        self.set = settings;
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // All hosts may start at once, and the list service is small: spread the first call.
        if self.started.is_none() && self.set.list_mode == ListMode::Ask {
            self.watch_later();
        }
        self.started.get_or_insert(self.now);
        match event {
            Event::List(news) => self.news(news, actions),
            Event::Arrived(request) => self.arrived(request, actions),
            Event::Ended(outcome) => self.ended(outcome, actions),
            Event::Left(id) => self.left(id, actions),
            Event::Timer(_) => self.armed = None,
        }
        while self.alarms.first().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, alarm)) = self.alarms.pop_first() else { break };
            self.alarm(alarm, actions);
        }
        if let Some((at, _)) = self.alarms.first().filter(|(at, _)| self.armed.is_none_or(|a| *at < a)) {
            self.armed = Some(*at);
            self.token += 1;
            actions.push(Action::SetTimer { after: Micros(at.0 - self.now.0), token: self.token });
        }
    }

    fn alarm(&mut self, alarm: Alarm, actions: &mut Vec<Action>) {
        match alarm {
            Alarm::Lapse(id) if !self.hold(id) => self.conclude(id, actions),
            Alarm::Lapse(_) => {}
            Alarm::Pump(shard) => self.pump(shard, actions),
            Alarm::Key(key) => self.next_of_key(&key, actions),
            Alarm::List => {
                // No answer at all counts as a failure: the watch is asked for again, more and more rarely.
                actions.push(Action::Watch);
                self.list_failures += 1;
                self.watch_later();
            }
        }
    }
}
