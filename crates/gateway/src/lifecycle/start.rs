//! The start: what is shared is made, actors are spawned, listeners opened, in the order in which one needs another.
use crate::admin::health_checks::{self, Form};
use crate::admin::operators::Operators;
use crate::admin::suspension_files;
use crate::admin::suspensions::Suspensions;
use crate::backend::pool::BackendPool;
use crate::client::connection_slots::ConnectionSlots;
use crate::client::resp_server;
use crate::config_overlay;
use crate::context::{Context, OtherProcess};
use crate::coordination::member;
use crate::discovery::endpoint_list;
use crate::iscsi::server;
use crate::lifecycle::handover;
use crate::lifecycle::process_files;
use crate::lifecycle::shutdown::SignalLoop;
use crate::messages::{SchedulerMessage, MAILBOX};
use crate::net::listeners::{self, bind, AddressSharing};
use crate::scatter_gather;
use crate::scatter_gather::handle::Gathering;
use crate::scheduler_actor;
use async_channel::Receiver;
use async_io::Timer;
use scheduler::interface::EndpointUpdate;
use std::rc::Rc;
use std::time::Duration;

/// A process that follows another waits so long for fresh news of discovery before it serves.
const FRESH: i64 = 3_000_000;

/// Runs the program by what its environment names.
pub fn start() -> Result<(), String> {
    let config = config::from_env(|key| std::env::var(key).ok()).map_err(|e| e.to_string())?;
    let (scheduler, inbox) = async_channel::bounded(MAILBOX);
    let context = Context::new(config);
    let suspensions = Rc::new(Suspensions::default());
    let pool = BackendPool::new(context.clone(), scheduler.clone(), suspensions.clone());
    let on = Operators {
        context: context.clone(),
        scheduler,
        pool,
        suspensions,
        coordination: None,
        config_overlay: None,
        gathering: None,
    };
    async_io::block_on(context.executor.run(serve(on, inbox)))
}

async fn serve(mut on: Operators, inbox: Receiver<SchedulerMessage>) -> Result<(), String> {
    let Operators { context, scheduler, pool, suspensions, .. } = on.clone();
    let config = context.config();
    let lock = handover::begin(&context);
    let follows = context.lifecycle.other.get() != OtherProcess::None;
    let sharing = if lock.is_some() { AddressSharing::WithOtherProcess } else { AddressSharing::Exclusive };
    if let Some(lock) = lock {
        let looks = handover::run(context.clone(), scheduler.clone(), pool.clone(), lock);
        context.executor.spawn(looks).detach();
    }
    let signals = listeners::signals().await?;
    let (watch, asked) = async_channel::bounded(4);
    // Before anything is served: what an earlier process had banned.
    suspensions.take_over(process_files::path(&context).and_then(|front| suspension_files::read(&front)));
    let mut running = SignalLoop {
        context: context.clone(),
        scheduler: scheduler.clone(),
        pool: pool.clone(),
        watch: watch.clone(),
        coordination: None,
        config_overlay: None,
    };
    let cached = |news| match news {
        EndpointUpdate::Full(entries) => EndpointUpdate::Cached(entries),
        news => news,
    };
    running.know(&config.known, cached).await;
    let actor = scheduler_actor::run(context.clone(), pool.clone(), inbox, watch);
    context.executor.spawn(actor).detach();
    let actor = endpoint_list::run(context.clone(), scheduler.clone(), pool.clone(), asked);
    context.executor.spawn(actor).detach();
    context.lifecycle.serving.set(!config.known.targets.is_empty());
    let mailbox = config_overlay::actor::mailbox(&config);
    let voter = mailbox.as_ref().filter(|_| config.accord.is_some());
    on.coordination =
        member::start(&context, &scheduler, &pool, voter.map(coordination::changes::Mailbox::for_the_log))?;
    running.coordination = on.coordination.clone();
    on.config_overlay = match mailbox {
        Some(mailbox) => Some(config_overlay::actor::start(&on, mailbox).await?),
        None => None,
    };
    running.config_overlay = on.config_overlay.clone();
    if let Some((gathering, inbox)) = Gathering::new(&config) {
        let (context, pool) = (context.clone(), pool.clone());
        let actor =
            scatter_gather::actor::run(context.clone(), scheduler.clone(), pool, gathering.clone(), inbox);
        context.executor.spawn(actor).detach();
        on.gathering = Some(gathering);
    }
    let gathering = on.gathering.clone();
    if let Some(at) = config.admin {
        let listener = bind("admin", at, AddressSharing::Exclusive).await?;
        let form = Form::Operators(on);
        context.executor.spawn(health_checks::listen(context.clone(), listener, form)).detach();
    }
    // Guards clients of a front that follows another, which still serves: they come here once the list is fresh.
    let timeout = context.clock.now().0 + FRESH;
    while follows
        && config.discovery.is_some()
        && !context.lifecycle.heard.get()
        && context.clock.now().0 < timeout
    {
        Timer::after(Duration::from_millis(5)).await;
    }
    let listener = match config.listen {
        Some(at) => Some(bind("GW_LISTEN", at, sharing).await?),
        None => None,
    };
    context.lifecycle.listening.set(true);
    let (name, at, other) = (&config.name, config.listen, context.lifecycle.other.get());
    crate::log::line(format_args!("start name={name} listen={at:?} other={other:?}"));
    let slots = ConnectionSlots::new(context.clone());
    if let Some(listener) = listener {
        let front =
            resp_server::listen(context.clone(), scheduler.clone(), slots.clone(), gathering, listener);
        context.executor.spawn(front).detach();
    }
    if let Some(front) = &config.iscsi {
        let listener = bind("iscsi.listen", front.listen, AddressSharing::Exclusive).await?;
        let front = server::listen(context.clone(), scheduler, slots, front.clone(), listener);
        context.executor.spawn(front).detach();
    }
    for (key, what, form) in [("agent", &config.agent, Form::Agent), ("health", &config.health, Form::Http)] {
        if let Some(at) = what {
            let listener = bind(&format!("{key}.listen"), at.listen, AddressSharing::Exclusive).await?;
            context.executor.spawn(health_checks::listen(context.clone(), listener, form)).detach();
        }
    }
    running.follow(signals).await;
    Ok(())
}
