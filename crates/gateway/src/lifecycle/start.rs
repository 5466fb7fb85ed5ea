//! The start: what is shared is made, actors are spawned, listeners opened, in the order in which one needs another.
use crate::admin::health_checks::{self, Form};
use crate::admin::operators::Operators;
use crate::admin::suspension_files;
use crate::admin::suspensions::Bans;
use crate::backend::pool::Boxes;
use crate::client::connection_slots::Seats;
use crate::client::resp_server;
use crate::config_overlay;
use crate::context::{Context, Other};
use crate::coordination::member;
use crate::discovery::endpoint_list;
use crate::iscsi::server;
use crate::lifecycle::handover;
use crate::lifecycle::process_files;
use crate::lifecycle::shutdown::Running;
use crate::messages::{Mail, MAILBOX};
use crate::net::listeners::{self, bind, Sharing};
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
    let (module, inbox) = async_channel::bounded(MAILBOX);
    let context = Context::new(config);
    let bans = Rc::new(Bans::default());
    let boxes = Boxes::new(context.clone(), module.clone(), bans.clone());
    let on = Operators {
        context: context.clone(),
        module,
        boxes,
        bans,
        accord: None,
        changing: None,
        gathering: None,
    };
    async_io::block_on(context.executor.run(serve(on, inbox)))
}

async fn serve(mut on: Operators, inbox: Receiver<Mail>) -> Result<(), String> {
    let Operators { context, module, boxes, bans, .. } = on.clone();
    let config = context.config();
    let lock = handover::begin(&context);
    let follows = context.life.other.get() != Other::None;
    let sharing = if lock.is_some() { Sharing::Beside } else { Sharing::Alone };
    if let Some(lock) = lock {
        let looks = handover::run(context.clone(), module.clone(), boxes.clone(), lock);
        context.executor.spawn(looks).detach();
    }
    let signals = listeners::signals().await?;
    let (watch, asked) = async_channel::bounded(4);
    // Before anything is served: what an earlier process had banned.
    bans.take_over(process_files::path(&context).and_then(|front| suspension_files::read(&front)));
    let mut running = Running {
        context: context.clone(),
        module: module.clone(),
        boxes: boxes.clone(),
        watch: watch.clone(),
        accord: None,
        changing: None,
    };
    let cached = |news| match news {
        EndpointUpdate::Full(entries) => EndpointUpdate::Cached(entries),
        news => news,
    };
    running.know(&config.known, cached).await;
    let actor = scheduler_actor::run(context.clone(), boxes.clone(), inbox, watch);
    context.executor.spawn(actor).detach();
    let actor = endpoint_list::run(context.clone(), module.clone(), boxes.clone(), asked);
    context.executor.spawn(actor).detach();
    context.life.serving.set(!config.known.targets.is_empty());
    let mailbox = config_overlay::actor::mailbox(&config);
    let voter = mailbox.as_ref().filter(|_| config.accord.is_some());
    on.accord =
        member::start(&context, &module, &boxes, voter.map(coordination::changes::Mailbox::for_the_log))?;
    running.accord = on.accord.clone();
    on.changing = match mailbox {
        Some(mailbox) => Some(config_overlay::actor::start(&on, mailbox).await?),
        None => None,
    };
    running.changing = on.changing.clone();
    if let Some((gathering, inbox)) = Gathering::new(&config) {
        let (context, boxes) = (context.clone(), boxes.clone());
        let actor =
            scatter_gather::actor::run(context.clone(), module.clone(), boxes, gathering.clone(), inbox);
        context.executor.spawn(actor).detach();
        on.gathering = Some(gathering);
    }
    let gathering = on.gathering.clone();
    if let Some(at) = config.admin {
        let listener = bind("admin", at, Sharing::Alone).await?;
        let form = Form::Operators(on);
        context.executor.spawn(health_checks::listen(context.clone(), listener, form)).detach();
    }
    // Guards clients of a front that follows another, which still serves: they come here once the list is fresh.
    let patience = context.clock.now().0 + FRESH;
    while follows
        && config.discovery.is_some()
        && !context.life.heard.get()
        && context.clock.now().0 < patience
    {
        Timer::after(Duration::from_millis(5)).await;
    }
    let listener = match config.listen {
        Some(at) => Some(bind("GW_LISTEN", at, sharing).await?),
        None => None,
    };
    context.life.listening.set(true);
    let (name, at, other) = (&config.name, config.listen, context.life.other.get());
    crate::log::line(format_args!("start name={name} listen={at:?} other={other:?}"));
    let seats = Seats::new(context.clone());
    if let Some(listener) = listener {
        let front = resp_server::listen(context.clone(), module.clone(), seats.clone(), gathering, listener);
        context.executor.spawn(front).detach();
    }
    if let Some(front) = &config.iscsi {
        let listener = bind("iscsi.listen", front.listen, Sharing::Alone).await?;
        let front = server::listen(context.clone(), module, seats, front.clone(), listener);
        context.executor.spawn(front).detach();
    }
    for (key, what, form) in [("agent", &config.agent, Form::Agent), ("health", &config.health, Form::Http)] {
        if let Some(at) = what {
            let listener = bind(&format!("{key}.listen"), at.listen, Sharing::Alone).await?;
            context.executor.spawn(health_checks::listen(context.clone(), listener, form)).detach();
        }
    }
    running.follow(signals).await;
    Ok(())
}
