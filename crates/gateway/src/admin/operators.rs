//! Where operators call, over HTTP/1.1 with one call to a connection: whether this process is ready, its figures,
//! and taking a disk box out or putting it back.
use crate::admin::config_calls;
use crate::admin::coordination_calls;
use crate::admin::suspensions::{Change, Suspensions};
use crate::backend::pool::BackendPool;
use crate::config_overlay::actor::ConfigOverlay;
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use crate::scatter_gather::handle::Gathering;
use async_io::Timer;
use futures_lite::future;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

/// A caller waits for 1 s; the module is asked for less.
const ASKED: Duration = Duration::from_millis(300);
const FOLDER: &str = "/v1/chunk-servers/";
/// The answer to a call that is in force and would not outlast a kill yet.
const NOT_KEPT_YET: &str = "in force, but the folder takes no file: it is tried on; ask again\n";

/// What operators' calls are about.
#[derive(Clone)]
pub struct Operators {
    /// What every actor stands on.
    pub context: Rc<Context>,
    /// The module's mailbox.
    pub scheduler: SchedulerMailbox,
    /// The disk boxes.
    pub pool: Rc<BackendPool>,
    /// What is taken out by hand.
    pub suspensions: Rc<Suspensions>,
    /// The hosts of what fronts settle among themselves, where there are any.
    pub coordination: Option<coordination::Handle>,
    /// What is in force of changes of configuration, where any come.
    pub config_overlay: Option<Rc<ConfigOverlay>>,
    /// Answers that are gathered from parts, where there are any.
    pub gathering: Option<Gathering>,
}

/// The answer to one call.
pub async fn answer(on: &Operators, method: &str, target: &str, body: &[u8]) -> Vec<u8> {
    let context = &on.context;
    if target.starts_with(coordination_calls::FOLDER) {
        return coordination_calls::answer(on.coordination.as_ref(), method, target).await;
    }
    if target.starts_with(config_calls::FOLDER) {
        let config_overlay = on.config_overlay.as_deref();
        return config_calls::answer(config_overlay, on.coordination.as_ref(), method, target, body).await;
    }
    let target = target.split('?').next().unwrap_or_default();
    let call = target.strip_prefix(FOLDER).and_then(|rest| rest.rsplit_once('/'));
    match (method, target, call) {
        ("GET", "/v1/readyz", _) if ready(context) => http::answer(200, "OK", "ready\n"),
        ("GET", "/v1/readyz", _) => http::answer(503, "Service Unavailable", "not ready\n"),
        ("GET", "/v1/metrics", _) => http::answer(200, "OK", &figures(on).await),
        ("POST", _, Some((id, what @ ("suspend" | "resume")))) => {
            match on.pool.set(&http::unescape(id), what == "suspend").await {
                Change::Kept => http::answer(200, "OK", "done\n"),
                Change::NotKeptYet => http::answer(503, "Service Unavailable", NOT_KEPT_YET),
                Change::Unknown => http::answer(404, "Not Found", "no such chunk server was listed\n"),
            }
        }
        (_, "/v1/readyz" | "/v1/metrics", _) | (_, _, Some((_, "suspend" | "resume"))) => {
            http::answer(405, "Method Not Allowed", "GET the state, POST what changes it\n")
        }
        _ => http::answer(
            404,
            "Not Found",
            "/v1/readyz, /v1/metrics, or /v1/chunk-servers/ID/suspend and /resume\n",
        ),
    }
}

/// Whether this process serves: it listens, knows the boxes, and is not about to end.
fn ready(context: &Context) -> bool {
    context.lifecycle.listening.get()
        && context.lifecycle.serving.get()
        && context.lifecycle.stopping.get().is_none()
}

/// The figures, one on a line.
async fn figures(on: &Operators) -> String {
    let context = &on.context;
    let (to, from) = async_channel::bounded(1);
    let _ = on.scheduler.send(SchedulerMessage::Avoided(to)).await;
    let late = async {
        Timer::after(ASKED).await;
        vec![]
    };
    let mut away = future::or(async { from.recv().await.unwrap_or_default() }, late).await;
    let mut out = String::new();
    let config = context.config();
    let answers = context.counters.answers.borrow();
    for (i, class) in config.classes.iter().enumerate() {
        let [served, refused, failed] = answers.get(i).copied().unwrap_or_default();
        for (what, count) in [("fulfilled", served), ("throttled", refused), ("faulted", failed)] {
            let _ = writeln!(out, "app.operations.{}.{what}={count}", class.name);
        }
    }
    away.extend(on.suspensions.all());
    away.sort();
    away.dedup();
    away.retain(|node| on.pool.contains(node));
    let (accepted, invalid) = context.counters.reloads.get();
    for (what, count) in [
        ("relayed", context.counters.relayed.get()),
        ("open_requests", (context.counters.unanswered.get() + context.gauges.passing.get()) as u64),
        ("registry_entries", on.pool.len() as u64),
        ("out_of_rotation", away.len() as u64),
        ("cfg_accepted", accepted),
        ("cfg_invalid", invalid),
    ] {
        let _ = writeln!(out, "app.{what}={count}");
    }
    if let Some(gathering) = &on.gathering {
        gathering.figures(&mut out);
    }
    out
}
