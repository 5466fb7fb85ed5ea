//! The start of the host: what is kept is read and the listener is bound first, so that what is wrong ends the start.
use super::connection::{serve, Shared, CHANNEL, LONGEST};
use super::host::Host;
use super::keep;
use super::mail::{Decide, Handle, Mailbox};
use super::settings::{Role, Settings};
use crate::clock::{unix, Clock};
use crate::links::{self, Counts};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use config_distribution::{Catalogue, Relay, Scope, Subscriber, SubscriberConfig};
use futures_lite::future;
use message_auth::{Keys, Opener, Sealer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::Builder;

/// Connections beside those that are served: of those who are told to come later, and of strangers.
const BESIDE: usize = 16;
/// Messages that may wait for the machines.
const CAME: usize = 256;
/// So many names are remembered at a relay, so that nothing of theirs passes twice.
const NAMES: usize = 8_192;

/// What the front needs of a host that runs.
pub struct Started {
    /// Its end of the host's mailbox.
    pub handle: Handle,
    /// What it is to put in force.
    pub decides: Receiver<Decide>,
    /// Whether something was kept: the first letter is all of that.
    pub kept: bool,
}

/// Starts the host; an error names the key. A voter's log has the same mailbox, and is told of reports.
pub fn start(
    settings: Settings,
    mailbox: Mailbox,
    voter: Option<&crate::Handle>,
    log: fn(&str),
) -> Result<Started, String> {
    let (listen, scope, state) = match &settings.role {
        Role::Voter(at) => (Some(*at), None, None),
        Role::Relay(at) => (Some(*at), Some(Scope::Everything), None),
        Role::Front(scope, state) => (None, Some(scope.clone()), state.clone()),
    };
    let kept = state.as_deref().map(keep::read).transpose().map_err(|e| format!("changes.state: {e}"))?;
    let bind = |at| {
        let bound = Async::<TcpListener>::bind(at);
        bound.map_err(|e| format!("changes.listen: cannot listen on {at}: {e}"))
    };
    let listener = listen.map(bind).transpose()?;
    let clock = Clock::start();
    let now = clock.now();
    let mut subscriber = scope.map(|scope| {
        let (relay_count, fleet_size) = (settings.relays.len(), settings.fleet);
        let config = SubscriberConfig { scope, relay_count, fleet_size, seed: settings.seed };
        Subscriber::new(config, now, kept.as_ref().and_then(|kept| kept.as_deref()))
    });
    if let Some(fault) = subscriber.as_mut().and_then(|(_, fault)| fault.take()) {
        log(&format!("changes kept=dropped why={fault}"));
    }
    let subscriber = subscriber.map(|(subscriber, _)| subscriber);
    let kept = subscriber.as_ref().is_some_and(|s| !s.state().applied_entries().is_empty());
    let (to_front, decides) = async_channel::bounded(1);
    let spawn = |name: &str, work: Box<dyn FnOnce() + Send>| {
        Builder::new().name(name.into()).spawn(work).map_err(|e| format!("changes: no thread: {e}"))
    };
    let keep = match state {
        Some(folder) => {
            let (to, from) = async_channel::bounded(1);
            spawn("changes-disk", Box::new(move || keep::run(&folder, &from, log)))?;
            Some(to)
        }
        None => None,
    };
    let handle = Handle { to: mailbox.to.clone(), control: listener.is_some() };
    let log_inbox = voter.filter(|_| matches!(settings.role, Role::Voter(_))).map(crate::Handle::reports);
    let work = move || {
        let me = settings.me.clone();
        let keys = Keys::new(settings.keys.0, settings.keys.1);
        let life = message_auth::new_incarnation(unix(), 0);
        let sealer = Sealer::new(keys.clone(), me.clone(), life);
        let sealer = Rc::new(RefCell::new(sealer.on_channel(CHANNEL).with_max_bytes(LONGEST)));
        let opener = Opener::new(keys, me.clone())
            .with_incarnation(life)
            .with_max_bytes(LONGEST)
            .with_max_senders(NAMES);
        let (came, connections) = async_channel::bounded(CAME);
        let counts = Arc::new(Counts::default());
        let shared = Shared { sealer, opener: Rc::new(RefCell::new(opener)), came, counts };
        let executor = Rc::new(LocalExecutor::new());
        let machine = settings.machine.clone();
        let most = machine.max_subscribers + BESIDE;
        let relay = listener.is_some().then(|| {
            let mut relay = Relay::new(machine, &me.0, Catalogue::new(0), now);
            relay.set_report_sequence(u64::try_from(unix().as_micros()).unwrap_or(u64::MAX));
            relay.expect_reports(settings.expects.iter().map(|name| name.0.clone()));
            relay
        });
        if let Some(listener) = listener {
            let (next, on) = (Cell::new(0), shared.clone());
            let take = move |stream| {
                next.set(next.get() + 1);
                serve(stream, next.get(), on.clone())
            };
            let counts = shared.counts.clone();
            let taken = links::accept(executor.clone(), listener, counts, most, ("changes", log), take);
            executor.spawn(taken).detach();
        }
        let host = Host {
            settings,
            clock,
            executor: executor.clone(),
            shared,
            relay,
            links: BTreeMap::new(),
            names: BTreeMap::new(),
            subscriber,
            calls: BTreeMap::new(),
            called: BTreeMap::new(),
            heard: now,
            cut: 0,
            to_front,
            log_inbox,
            keep,
            log,
        };
        future::block_on(executor.run(host.run(mailbox.from, connections)));
    };
    spawn("accord-changes", Box::new(work))?;
    Ok(Started { handle, decides, kept })
}
