//! Starts the host. The saved configuration is read and the listener is bound first, so that their errors prevent the start.
use crate::clock::{unix_time, Clock};
use crate::distribution::connection::{serve_subscriber, ConnectionContext};
use crate::distribution::connection_event::ConnectionEvent;
use crate::distribution::error::StartError;
use crate::distribution::handle::Handle;
use crate::distribution::host::Host;
use crate::distribution::mailbox::Mailbox;
use crate::distribution::query::ConfigUpdate;
use crate::distribution::saved_config;
use crate::distribution::settings::{Role, Settings};
use crate::log_thread::LogMessage;
use crate::network_thread::framing::{DISTRIBUTION_CHANNEL, MAX_RELAY_FRAME_BYTES};
use crate::network_thread::{accept_connections, Acceptor, LinkCounters};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use cluster_types::{MemberId, Time};
use config_distribution::{Catalogue, Relay, Scope, Subscriber, SubscriberConfig};
use futures_lite::future;
use message_auth::{Keys, Opener, Sealer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::thread::Builder;

/// The number of connections that may be open in addition to those that are served: for subscribers that are told to retry later,
/// and for unauthenticated peers.
const SPARE_CONNECTIONS: usize = 16;
/// The maximum number of events of connections that wait for the host.
const MAX_WAITING_EVENTS: usize = 256;
/// The number of senders whose replay state a relay remembers, so that it accepts none of their messages twice.
const MAX_REMEMBERED_SENDERS: usize = 8_192;

/// The gateway's ends of the mailboxes of a running host.
pub struct Started {
    /// The gateway's end of the mailbox.
    pub handle: Handle,
    /// The configuration updates for the gateway to apply.
    pub updates: Receiver<ConfigUpdate>,
    /// Whether there was a saved configuration, which is then the first update, complete.
    pub has_saved_config: bool,
}

/// The parameters of the host's thread.
struct HostParts {
    settings: Settings,
    mailbox: Mailbox,
    clock: Clock,
    started_at: Time,
    listener: Option<Async<TcpListener>>,
    subscriber: Option<Subscriber>,
    gateway: Sender<ConfigUpdate>,
    log_thread: Option<SyncSender<LogMessage>>,
    saver: Option<Sender<Vec<u8>>>,
    log: fn(&str),
}

/// Starts the host. The log thread of a voter sends to the same mailbox, and receives the rollout reports.
///
/// # Errors
///
/// Returns an error that names the settings key if the saved configuration cannot be read, the listener cannot be bound, or a
/// thread cannot be started.
pub fn start(
    settings: Settings,
    mailbox: Mailbox,
    voter: Option<&crate::Handle>,
    log: fn(&str),
) -> Result<Started, StartError> {
    let (listen, scope, state_dir) = match &settings.role {
        Role::Voter { listen } => (Some(*listen), None, None),
        Role::Relay { listen } => (Some(*listen), Some(Scope::Everything), None),
        Role::Subscriber { scope, state_dir } => (None, Some(scope.clone()), state_dir.clone()),
    };
    let saved = state_dir.as_deref().map(saved_config::read).transpose();
    let saved = saved.map_err(StartError::SavedConfig)?.flatten();
    let listener = listen.map(bind).transpose()?;
    let clock = Clock::start();
    let started_at = clock.now();
    let subscriber = scope.map(|scope| start_subscriber(&settings, scope, started_at, saved.as_deref(), log));
    let has_saved_config =
        subscriber.as_ref().is_some_and(|subscriber| !subscriber.state().applied_entries().is_empty());
    let (gateway, updates) = async_channel::bounded(1);
    let saver = state_dir.map(|directory| start_saver(directory, log)).transpose()?;
    let handle = Handle { host: mailbox.sender.clone(), serves_subscribers: listener.is_some() };
    let is_voter = matches!(settings.role, Role::Voter { .. });
    let log_thread = voter.filter(|_| is_voter).map(|voter| voter.log_thread.clone());
    let parts = HostParts {
        settings,
        mailbox,
        clock,
        started_at,
        listener,
        subscriber,
        gateway,
        log_thread,
        saver,
        log,
    };
    spawn("accord-changes", move || run(parts))?;
    Ok(Started { handle, updates, has_saved_config })
}

fn bind(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    Async::<TcpListener>::bind(address).map_err(|source| StartError::Listen { address, source })
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    // Threads run until their mailbox is closed, and are not joined.
    Builder::new().name(name.into()).spawn(work).map(drop).map_err(StartError::Thread)
}

fn start_subscriber(
    settings: &Settings,
    scope: Scope,
    now: Time,
    saved: Option<&[u8]>,
    log: fn(&str),
) -> Subscriber {
    let config = SubscriberConfig {
        scope,
        relay_count: settings.relays.len(),
        fleet_size: settings.fleet_size,
        seed: settings.seed,
    };
    let (subscriber, fault) = Subscriber::new(config, now, saved);
    if let Some(fault) = fault {
        log(&format!("changes kept=dropped why={fault}"));
    }
    subscriber
}

fn start_saver(directory: PathBuf, log: fn(&str)) -> Result<Sender<Vec<u8>>, StartError> {
    let (saver, mailbox) = async_channel::bounded(1);
    spawn("changes-disk", move || saved_config::run(&directory, &mailbox, log))?;
    Ok(saver)
}

fn start_relay(settings: &Settings, now: Time) -> Relay {
    let mut relay = Relay::new(settings.limits.clone(), &settings.own_id.0, Catalogue::new(0), now);
    relay.set_report_sequence(u64::try_from(unix_time().as_micros()).unwrap_or(u64::MAX));
    relay.expect_reports(settings.expected_reporters.iter().map(|name: &MemberId| name.0.clone()));
    relay
}

/// Creates the state that connections share, and the receiver of the events that they report.
fn connection_context(settings: &Settings) -> (ConnectionContext, Receiver<ConnectionEvent>) {
    let keys = Keys::new(settings.keys.0, settings.keys.1);
    let incarnation = message_auth::new_incarnation(unix_time(), 0);
    let sealer = Sealer::new(keys.clone(), settings.own_id.clone(), incarnation)
        .on_channel(DISTRIBUTION_CHANNEL)
        .with_max_bytes(MAX_RELAY_FRAME_BYTES);
    let opener = Opener::new(keys, settings.own_id.clone())
        .with_incarnation(incarnation)
        .with_max_bytes(MAX_RELAY_FRAME_BYTES)
        .with_max_senders(MAX_REMEMBERED_SENDERS);
    let (events, connections) = async_channel::bounded(MAX_WAITING_EVENTS);
    let context = ConnectionContext {
        sealer: Rc::new(RefCell::new(sealer)),
        opener: Rc::new(RefCell::new(opener)),
        events,
        counters: Arc::new(LinkCounters::default()),
    };
    (context, connections)
}

/// Accepts the connections of subscribers and assigns their ids.
fn accept_subscribers(acceptor: Acceptor, context: ConnectionContext) {
    let executor = acceptor.executor.clone();
    let last_connection_id = Cell::new(0);
    let serve = move |stream| {
        last_connection_id.set(last_connection_id.get() + 1);
        serve_subscriber(stream, last_connection_id.get(), context.clone())
    };
    executor.spawn(accept_connections(acceptor, serve)).detach();
}

/// Runs the thread of the host.
fn run(parts: HostParts) {
    let HostParts { settings, mailbox, clock, started_at, listener, subscriber, log, .. } = parts;
    let (context, connections) = connection_context(&settings);
    let executor = Rc::new(LocalExecutor::new());
    let relay = listener.as_ref().map(|_| start_relay(&settings, started_at));
    if let Some(listener) = listener {
        let acceptor = Acceptor {
            executor: executor.clone(),
            listener,
            counters: context.counters.clone(),
            max_connections: settings.limits.max_subscribers + SPARE_CONNECTIONS,
            kind: "changes",
            log,
        };
        accept_subscribers(acceptor, context.clone());
    }
    let host = Host {
        settings,
        clock,
        executor: executor.clone(),
        context,
        relay,
        subscriber_connections: BTreeMap::new(),
        subscriber,
        relay_connections: BTreeMap::new(),
        relay_message_at: started_at,
        outbox_overflows: 0,
        gateway: parts.gateway,
        log_thread: parts.log_thread,
        saver: parts.saver,
        log,
    };
    future::block_on(executor.run(host.run(mailbox.receiver, connections)));
}
