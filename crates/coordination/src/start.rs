//! The start of the hosts: the store is read and the sockets are bound first, so that what is wrong ends the start.
use crate::changes::{Mailbox, Serves};
use crate::clock::{unix, Clock};
use crate::core::{Core, Inbox};
use crate::disk::Disk;
use crate::ledger::Ledger;
use crate::mail::{ToAccord, ToFront};
use crate::net::{self, Net, Sockets, View};
use crate::settings::Settings;
use crate::{links, store};
use cluster_types::Time;
use consensus::{Config, Node};
use maintenance::{MemberAgent, StageTimer};
use parking_lot::Mutex;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::thread::Builder;
use std::time::Duration;

/// Letters that may wait for the thread of the log.
const INBOX: usize = 4096;
/// Frames that may wait for one front.
const OUTBOX: usize = 256;
/// Writes that may wait for the disk: more than the log has unwritten.
const WRITES: usize = 256;
/// The drain rule.
const DRAIN: Duration = Duration::from_millis(250);

/// The front's end of its mailbox to the hosts.
#[derive(Clone)]
pub struct Handle {
    inbox: SyncSender<Inbox>,
    full: Arc<AtomicU64>,
    // Closed with the last handle: membership says goodbye then.
    members: async_channel::Sender<membership::Event>,
}

impl Handle {
    /// Tells the hosts something; never waits. False where there is no room, which is counted.
    pub fn tell(&self, letter: ToAccord) -> bool {
        let told = self.inbox.try_send(Inbox::Tell(letter)).is_ok();
        self.full.fetch_add(u64::from(!told), Ordering::Relaxed);
        told
    }

    /// What this front saw of a box or a hall, for the others.
    pub fn observed(&self, observation: membership::Observation) {
        let _ = self.members.try_send(membership::Event::Observed(observation));
    }

    /// Signs with the first of these keys from now on, and opens under either.
    pub fn rekey(&self, keys: ([u8; 32], Option<[u8; 32]>)) {
        let _ =
            self.members.try_send(membership::Event::KeysChanged(message_auth::Keys::new(keys.0, keys.1)));
    }

    /// Where this front's server of changes tells what the others' are to know.
    pub(crate) fn reports(&self) -> SyncSender<Inbox> {
        self.inbox.clone()
    }

    /// Letters that found no room.
    pub fn full(&self) -> u64 {
        self.full.load(Ordering::Relaxed)
    }
}

fn config(settings: &Settings) -> Config {
    let mut config = Config::new(settings.me.clone(), settings.members.keys().cloned().collect());
    config.heartbeat_interval = settings.election / 5;
    config.min_election_timeout = settings.election;
    config.max_election_timeout = 2 * settings.election;
    config.max_clock_drift_ppm = (settings.drift * 1e6) as u32;
    config
}

/// Starts the hosts. What they tell the front goes to that mailbox, and what becomes of changes of configuration to the one that
/// serves them, where there is one; an error names the key.
pub fn start(
    settings: Settings,
    to_front: async_channel::Sender<ToFront>,
    serves: Option<Mailbox>,
    log: fn(&str),
) -> Result<Handle, String> {
    let fault = |e: &dyn std::fmt::Display| format!("accord.state: {e}");
    let disk = Disk::open(&settings.state, settings.seed).map_err(|e| fault(&e))?;
    let begun = disk.start(unix()).map_err(|e| fault(&e))?;
    let content = disk.read().map_err(|e| fault(&e))?;
    let stored = store::stored(&content).map_err(|e| fault(&e))?;
    let kept = content.kept.as_deref().map(postcard::from_bytes).transpose();
    let kept = kept.map_err(|e| fault(&format!("what the front kept can't be read: {e}")))?;
    let sockets = Sockets::bind(&settings)?;
    let clock = Clock::start();
    let now = clock.now();
    let node = Node::new(config(&settings), stored, now, settings.seed ^ begun).map_err(|e| fault(&e))?;
    let mut orders = Vec::new();
    let front = MemberAgent::new(DRAIN, kept, now, &mut orders);

    let (inbox, letters) = sync_channel(INBOX);
    let (disk_to, writes) = sync_channel(WRITES);
    let (members, told) = async_channel::bounded(OUTBOX);
    let view = Arc::new(Mutex::new(View::default()));
    let counts = Arc::new(links::Counts::default());
    let others = settings.members.keys().filter(|m| **m != settings.me);
    let (mut outbox, mut outgoing) = (BTreeMap::new(), BTreeMap::new());
    for member in others {
        let (to, from) = async_channel::bounded(OUTBOX);
        outbox.insert(member.clone(), to);
        outgoing.insert(member.clone(), from);
    }
    let came = inbox.clone();
    let came: links::Came = Arc::new(move |from, frame| came.try_send(Inbox::Frame(from, frame)).is_ok());
    let net = Net {
        settings: settings.clone(),
        clock,
        start: begun,
        outbox: outgoing,
        told,
        came,
        view: view.clone(),
        counts: counts.clone(),
        log,
    };
    let mut core = Core {
        settings,
        clock,
        start: begun,
        life: content.life,
        node,
        ledger: Ledger::new(),
        front,
        watch: StageTimer::new(),
        measured: BTreeMap::new(),
        waiting: BTreeMap::new(),
        ticket: begun,
        proposed: BTreeMap::new(),
        leases: BTreeMap::new(),
        last: [Time(0); 3],
        leaving: false,
        changed: false,
        outbox,
        disk: disk_to,
        to_front,
        late: VecDeque::new(),
        counts,
        view,
        serves: serves.map(Serves::new),
        log,
    };
    orders.into_iter().for_each(|order| core.own_action(now, order));
    let wrote = inbox.clone();
    let spawn = |name: &str, work: Box<dyn FnOnce() + Send>| {
        Builder::new().name(name.into()).spawn(work).map_err(|e| format!("accord: no thread: {e}"))
    };
    spawn("accord-net", Box::new(move || net::run(net, sockets)))?;
    spawn(
        "accord-disk",
        Box::new(move || store::run(&disk, &writes, &|news| drop(wrote.send(Inbox::Disk(news))), log)),
    )?;
    spawn("accord-log", Box::new(move || core.run(&letters)))?;
    Ok(Handle { inbox, full: Arc::default(), members })
}
