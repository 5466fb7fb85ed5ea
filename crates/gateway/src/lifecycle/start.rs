//! Startup: creates the shared state, spawns the actors and opens the listeners, in the order of their dependencies.
use crate::admin::health_checks::{self, Service};
use crate::admin::operators::Operators;
use crate::admin::suspension_files;
use crate::admin::suspensions::Suspensions;
use crate::backend::pool::BackendPool;
use crate::client::connection_slots::ConnectionSlots;
use crate::client::resp_server;
use crate::config_overlay;
use crate::config_overlay::actor::OverlayError;
use crate::context::{Context, OtherProcess};
use crate::coordination::member::{self, MemberError};
use crate::diagnostics::stall_monitor;
use crate::discovery::endpoint_list;
use crate::iscsi::server;
use crate::lifecycle::handover;
use crate::lifecycle::process_files;
use crate::lifecycle::shutdown::SignalLoop;
use crate::lifecycle::write_claims::WriteClaims;
use crate::messages::{SchedulerMessage, SCHEDULER_MAILBOX_CAPACITY};
use crate::net::listeners::{self, bind, AddressSharing, ListenError};
use crate::scatter_gather;
use crate::scatter_gather::handle::GatherHandle;
use crate::scheduler_actor;
use async_channel::Receiver;
use async_io::{Async, Timer};
use scheduler::interface::EndpointUpdate;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// How long a successor process waits for a fresh endpoint list and the claims of writes before it serves, in microseconds.
const TAKEOVER_TIMEOUT_US: i64 = 3_000_000;
/// How often a successor process checks whether both are there.
const TAKEOVER_CHECK: Duration = Duration::from_millis(5);

/// Why the gateway could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] config::ConfigError),
    /// A listener could not be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The signals can't be handled.
    #[error(transparent)]
    Signals(io::Error),
    /// The section `[accord]` can't be put into effect.
    #[error(transparent)]
    Coordination(#[from] MemberError),
    /// The section `[changes]` can't be put into effect.
    #[error(transparent)]
    ConfigOverlay(#[from] OverlayError),
}

/// Runs the gateway with the configuration that the environment names, until a signal ends it.
///
/// # Errors
/// [`StartError`] if it can't start serving.
pub fn start() -> Result<(), StartError> {
    let config = config::from_env(|key| std::env::var(key).ok())?;
    let (scheduler, inbox) = async_channel::bounded(SCHEDULER_MAILBOX_CAPACITY);
    let context = Context::new(config);
    let suspensions = Rc::new(Suspensions::default());
    let pool = BackendPool::new(context.clone(), scheduler.clone(), suspensions.clone());
    let operators = Operators {
        context: context.clone(),
        scheduler,
        pool,
        suspensions,
        coordination: None,
        config_overlay: None,
        gathering: None,
    };
    async_io::block_on(context.executor.run(serve(operators, inbox)))
}

async fn serve(mut operators: Operators, inbox: Receiver<SchedulerMessage>) -> Result<(), StartError> {
    let Operators { context, scheduler, pool, suspensions, .. } = operators.clone();
    let config = context.config();
    let sharing = begin_handover(&operators);
    let is_successor = context.lifecycle.other_process.get() != OtherProcess::None;
    let signals = listeners::subscribe_signals().await.map_err(StartError::Signals)?;
    let (discovery, discovery_messages) = async_channel::bounded(4);
    // Suspensions of an earlier process take effect before anything is served.
    let persisted = process_files::path_prefix(&context).and_then(|prefix| suspension_files::read(&prefix));
    suspensions.take_over(persisted);
    let mut signal_loop = SignalLoop {
        context: context.clone(),
        scheduler: scheduler.clone(),
        pool: pool.clone(),
        discovery: discovery.clone(),
        coordination: None,
        config_overlay: None,
    };
    signal_loop.apply_list(&config.known, as_cached).await;
    let scheduling = scheduler_actor::run(context.clone(), pool.clone(), inbox, discovery);
    context.executor.spawn(scheduling).detach();
    let watching = endpoint_list::run(context.clone(), scheduler.clone(), pool.clone(), discovery_messages);
    context.executor.spawn(watching).detach();
    context.executor.spawn(stall_monitor::run(context.clone())).detach();
    context.lifecycle.is_serving.set(!config.known.targets.is_empty());
    start_coordination(&mut operators, &mut signal_loop).await?;
    start_scatter_gather(&mut operators);
    let gathering = operators.gathering.clone();
    if let Some(address) = config.admin {
        let listener = bind("admin", address, AddressSharing::Exclusive).await?;
        let service = Service::Operators(operators.clone());
        context.executor.spawn(health_checks::listen(context.clone(), listener, service)).detach();
    }
    if is_successor {
        wait_for_takeover(&context).await;
    }
    let resp_listener = match config.listen {
        Some(address) => Some(bind("GW_LISTEN", address, sharing).await?),
        None => None,
    };
    context.lifecycle.is_listening.set(true);
    let (name, address, other) = (&config.name, config.listen, context.lifecycle.other_process.get());
    crate::log::line(format_args!("start name={name} listen={address:?} other={other:?}"));
    serve_clients(&operators, resp_listener, gathering).await?;
    serve_load_balancers(&context).await?;
    signal_loop.run(signals).await;
    Ok(())
}

/// Takes the process lock and starts to watch for another process. Returns whether the other process may
/// share the address of RESP2 clients.
fn begin_handover(operators: &Operators) -> AddressSharing {
    let Operators { context, scheduler, pool, .. } = operators;
    let Some(lock) = handover::begin(context) else { return AddressSharing::Exclusive };
    let watching = handover::run(context.clone(), scheduler.clone(), pool.clone(), lock);
    context.executor.spawn(watching).detach();
    AddressSharing::WithOtherProcess
}

/// Marks a list from the configuration file as cached: it may differ from what discovery knows now.
fn as_cached(update: EndpointUpdate) -> EndpointUpdate {
    match update {
        EndpointUpdate::Full(entries) => EndpointUpdate::Cached(entries),
        other => other,
    }
}

/// Starts the hosts of `[accord]` and `[changes]`, if the configuration has these sections.
async fn start_coordination(
    operators: &mut Operators,
    signal_loop: &mut SignalLoop,
) -> Result<(), StartError> {
    let config = operators.context.config();
    let mailbox = config_overlay::actor::mailbox(&config);
    let voter = mailbox.as_ref().filter(|_| config.coordination.is_some());
    let voter = voter.map(coordination::distribution::Mailbox::for_log_thread);
    let Operators { context, scheduler, pool, .. } = &*operators;
    operators.coordination = member::start(context, scheduler, pool, voter)?;
    signal_loop.coordination = operators.coordination.clone();
    if let Some(mailbox) = mailbox {
        operators.config_overlay = Some(config_overlay::actor::start(operators, mailbox).await?);
    }
    signal_loop.config_overlay = operators.config_overlay.clone();
    Ok(())
}

/// Starts the scatter-gather actor, if the configuration has policies for it.
fn start_scatter_gather(operators: &mut Operators) {
    let Operators { context, scheduler, pool, .. } = &*operators;
    let Some((gathering, inbox)) = GatherHandle::new(&context.config()) else { return };
    let actor = scatter_gather::actor::run(
        context.clone(),
        scheduler.clone(),
        pool.clone(),
        gathering.clone(),
        inbox,
    );
    context.executor.spawn(actor).detach();
    operators.gathering = Some(gathering);
}

/// Waits, up to a timeout, until discovery has sent a list and the predecessor has claimed the writes that it took. The predecessor still serves meanwhile; clients connect to this process
/// as soon as it listens.
async fn wait_for_takeover(context: &Context) {
    let deadline = context.clock.now().0 + TAKEOVER_TIMEOUT_US;
    let claims = context.lifecycle.write_claims.borrow().clone();
    while context.clock.now().0 < deadline {
        let awaits_list = context.config().discovery.is_some() && !context.lifecycle.has_discovery_data.get();
        if !awaits_list && are_claims_published(claims.clone()).await {
            return;
        }
        Timer::after(TAKEOVER_CHECK).await;
    }
}

/// Whether the predecessor has claimed the writes that it took, where there are claims.
async fn are_claims_published(claims: Option<WriteClaims>) -> bool {
    match claims {
        Some(claims) => blocking::unblock(move || claims.is_published()).await,
        None => true,
    }
}

/// Starts the servers for RESP2 clients and iSCSI initiators.
async fn serve_clients(
    operators: &Operators,
    resp_listener: Option<Async<TcpListener>>,
    gathering: Option<GatherHandle>,
) -> Result<(), StartError> {
    let Operators { context, scheduler, .. } = operators;
    let slots = ConnectionSlots::new(context.clone());
    if let Some(listener) = resp_listener {
        let server =
            resp_server::listen(context.clone(), scheduler.clone(), slots.clone(), gathering, listener);
        context.executor.spawn(server).detach();
    }
    if let Some(section) = &context.config().iscsi {
        let listener = bind("iscsi.listen", section.listen, AddressSharing::Exclusive).await?;
        let server = server::listen(context.clone(), scheduler.clone(), slots, section.clone(), listener);
        context.executor.spawn(server).detach();
    }
    Ok(())
}

/// Starts the agent check and the HTTP health checks.
async fn serve_load_balancers(context: &Rc<Context>) -> Result<(), StartError> {
    let config = context.config();
    let checks = [("agent", &config.agent, Service::Agent), ("health", &config.health, Service::Health)];
    for (key, section, service) in checks {
        if let Some(section) = section {
            let listener = bind(&format!("{key}.listen"), section.listen, AddressSharing::Exclusive).await?;
            context.executor.spawn(health_checks::listen(context.clone(), listener, service)).detach();
        }
    }
    Ok(())
}
