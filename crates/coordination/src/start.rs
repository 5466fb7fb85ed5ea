//! Starts the hosts. The store is read and the sockets are bound before any thread is started, so that their errors prevent the
//! start.
use crate::clock::{unix_time, Clock};
use crate::distribution::Mailbox;
use crate::error::StartError;
use crate::gateway_message::GatewayMessage;
use crate::handle::Handle;
use crate::log_thread::{LogMessage, LogThread, LogThreadParts, Outboxes};
use crate::network_thread::{self, FrameHandler, LinkCounters, MembershipView, NetworkThread, Sockets};
use crate::settings::Settings;
use crate::storage_thread::{self, stored_state, Store, WriteRequest};
use async_channel::Receiver;
use cluster_types::MemberId;
use consensus::{Config, Node, StoredState};
use maintenance::{MemberAgent, PersistedOrders};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::mpsc::{self, sync_channel, SyncSender};
use std::sync::Arc;
use std::thread::Builder;
use std::time::Duration;

/// The capacity of the log thread's mailbox.
const MAX_LOG_MESSAGES: usize = 4096;
/// The capacity of the queue of frames for one member, and of the queue of events for membership.
const MAX_OUTGOING_FRAMES: usize = 256;
/// The capacity of the storage thread's mailbox: more than the number of batches that the log leaves unwritten.
const MAX_WRITES: usize = 256;
/// How long after being told to drain a backend the gateway may still send to it.
const DRAIN_DELAY: Duration = Duration::from_millis(250);
/// The number of heartbeats per election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u32 = 5;
/// Parts per million of a whole.
const MILLION: f64 = 1e6;

/// The store and the state that was read from it.
struct OpenedStore {
    store: Store,
    process_incarnation: u64,
    store_incarnation: u64,
    log: StoredState,
    orders: Option<PersistedOrders>,
}

fn open_store(settings: &Settings) -> Result<OpenedStore, StartError> {
    let store = Store::open(&settings.state_dir, settings.seed)?;
    let process_incarnation = store.next_process_incarnation(unix_time())?;
    let content = store.read()?;
    let log = stored_state(&content)?;
    let orders = content.agent_state.as_deref().map(postcard::from_bytes).transpose();
    let orders = orders.map_err(StartError::SavedAgentState)?;
    Ok(OpenedStore { store, process_incarnation, store_incarnation: content.incarnation, log, orders })
}

/// Starts the hosts. They send messages for the gateway to `gateway`, and changes of the catalogue to `relay`, if there is one.
///
/// # Errors
///
/// Returns an error that names the settings key if the store cannot be opened or read, a socket cannot be bound, or a thread
/// cannot be started.
pub fn start(
    settings: Settings,
    gateway: async_channel::Sender<GatewayMessage>,
    relay: Option<Mailbox>,
    log: fn(&str),
) -> Result<Handle, StartError> {
    let opened = open_store(&settings)?;
    let process_incarnation = opened.process_incarnation;
    let sockets = Sockets::bind(settings.listen)?;
    let clock = Clock::start();
    let now = clock.now();
    let seed = settings.seed ^ process_incarnation;
    let raft = Node::new(raft_config(&settings), opened.log, now, seed)?;
    let mut first_actions = Vec::new();
    let member_agent = MemberAgent::new(DRAIN_DELAY, opened.orders, now, &mut first_actions);

    let (log_messages, log_mailbox) = sync_channel(MAX_LOG_MESSAGES);
    let (storage, write_requests) = sync_channel(MAX_WRITES);
    let (membership, membership_events) = async_channel::bounded(MAX_OUTGOING_FRAMES);
    let view = Arc::new(Mutex::new(MembershipView::default()));
    let link_counters = Arc::new(LinkCounters::default());
    let (outboxes, outgoing) = outbox_pairs(&settings);
    let network = NetworkThread {
        settings: settings.clone(),
        clock,
        process_incarnation,
        outboxes: outgoing,
        membership_events,
        frame_handler: frame_handler(log_messages.clone()),
        view: view.clone(),
        counters: link_counters.clone(),
        log,
    };
    let mut log_thread = LogThread::new(LogThreadParts {
        settings,
        clock,
        process_incarnation,
        store_incarnation: opened.store_incarnation,
        raft,
        member_agent,
        outboxes,
        storage,
        gateway,
        link_counters,
        view,
        relay,
        log,
    });
    first_actions.into_iter().for_each(|action| log_thread.carry_out_agent_action(now, action));
    spawn_threads(Threads {
        network,
        sockets,
        store: opened.store,
        write_requests,
        log_thread,
        log_mailbox,
        reports: log_messages.clone(),
    })?;
    Ok(Handle { log_thread: log_messages, dropped: Arc::default(), membership })
}

/// The state that is moved into the threads.
struct Threads {
    network: NetworkThread,
    sockets: Sockets,
    store: Store,
    write_requests: mpsc::Receiver<WriteRequest>,
    log_thread: LogThread,
    log_mailbox: mpsc::Receiver<LogMessage>,
    /// The mailbox to which the storage thread reports.
    reports: SyncSender<LogMessage>,
}

fn spawn_threads(threads: Threads) -> Result<(), StartError> {
    let Threads { network, sockets, store, write_requests, log_thread, log_mailbox, reports } = threads;
    let log = log_thread.log;
    spawn("accord-net", move || network_thread::run(network, sockets))?;
    spawn("accord-disk", move || {
        // This fails only after the log thread has ended, when the report is no longer needed.
        let report = |report| drop(reports.send(LogMessage::Storage(report)));
        storage_thread::run(&store, &write_requests, &report, log);
    })?;
    spawn("accord-log", move || log_thread.run(&log_mailbox))
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    // Threads run until their mailbox is closed, and are not joined.
    Builder::new().name(name.into()).spawn(work).map(drop).map_err(StartError::Thread)
}

fn raft_config(settings: &Settings) -> Config {
    let mut config = Config::new(settings.own_id.clone(), settings.members.keys().cloned().collect());
    config.heartbeat_interval = settings.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT;
    config.min_election_timeout = settings.election_timeout;
    config.max_election_timeout = 2 * settings.election_timeout;
    config.max_clock_drift_ppm = (settings.max_clock_drift * MILLION) as u32;
    config
}

/// Creates the queues of outgoing frames to the other members: their senders and their receivers.
fn outbox_pairs(settings: &Settings) -> (Outboxes, BTreeMap<MemberId, Receiver<Vec<u8>>>) {
    let (mut senders, mut receivers) = (BTreeMap::new(), BTreeMap::new());
    for member in settings.members.keys().filter(|member| **member != settings.own_id) {
        let (sender, receiver) = async_channel::bounded(MAX_OUTGOING_FRAMES);
        senders.insert(member.clone(), sender);
        receivers.insert(member.clone(), receiver);
    }
    (Outboxes(senders), receivers)
}

fn frame_handler(log_thread: SyncSender<LogMessage>) -> FrameHandler {
    Arc::new(move |from, frame| log_thread.try_send(LogMessage::Frame { from, frame }).is_ok())
}
