//! Operators' calls over HTTP/1.1, one call per connection: readiness, metrics, and suspending or resuming a backend.
use crate::admin::config_calls;
use crate::admin::coordination_calls;
use crate::admin::suspensions::{Persistence, Suspensions};
use crate::backend::pool::BackendPool;
use crate::config_overlay::actor::ConfigOverlay;
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use crate::scatter_gather::handle::GatherHandle;
use async_io::Timer;
use futures_lite::future;
use scheduler::interface::BackendId;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for the scheduler's answer; callers give up after 1 s.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(300);
/// The path prefix of calls about a backend.
const BACKENDS_PATH: &str = "/v1/chunk-servers/";
/// The answer to a call that has taken effect but is not persisted yet, so that it would not survive a kill.
const NOT_PERSISTED: &str = "in force, but the folder takes no file: it is tried on; ask again\n";

/// The components that operators' calls act on.
#[derive(Clone)]
pub struct Operators {
    /// The gateway's shared state.
    pub context: Rc<Context>,
    /// The scheduler's mailbox.
    pub scheduler: SchedulerMailbox,
    /// The pool of backends.
    pub pool: Rc<BackendPool>,
    /// The suspended backends.
    pub suspensions: Rc<Suspensions>,
    /// The coordination host, if the configuration has `[accord]`.
    pub coordination: Option<coordination::Handle>,
    /// The distributed configuration, if the configuration has `[changes]`.
    pub config_overlay: Option<Rc<ConfigOverlay>>,
    /// The scatter-gather actor, if the configuration has policies for it.
    pub gathering: Option<GatherHandle>,
}

/// Answers one call.
pub async fn answer(operators: &Operators, method: &str, target: &str, body: &[u8]) -> Vec<u8> {
    let coordination = operators.coordination.as_ref();
    if target.starts_with(coordination_calls::PATH_PREFIX) {
        return coordination_calls::answer(coordination, method, target).await;
    }
    if target.starts_with(config_calls::PATH_PREFIX) {
        let overlay = operators.config_overlay.as_deref();
        return config_calls::answer(overlay, coordination, method, target, body).await;
    }
    let target = target.split('?').next().unwrap_or_default();
    let backend_call = target.strip_prefix(BACKENDS_PATH).and_then(|rest| rest.rsplit_once('/'));
    match (method, target, backend_call) {
        ("GET", "/v1/readyz", _) if is_ready(&operators.context) => http::response(200, "OK", "ready\n"),
        ("GET", "/v1/readyz", _) => http::response(503, "Service Unavailable", "not ready\n"),
        ("GET", "/v1/metrics", _) => http::response(200, "OK", &metrics(operators).await),
        ("POST", _, Some((id, action @ ("suspend" | "resume")))) => {
            match operators.pool.set_suspension(&http::percent_decode(id), action == "suspend").await {
                Persistence::Done => http::response(200, "OK", "done\n"),
                Persistence::Pending => http::response(503, "Service Unavailable", NOT_PERSISTED),
                Persistence::UnknownBackend => {
                    http::response(404, "Not Found", "no such chunk server was listed\n")
                }
            }
        }
        (_, "/v1/readyz" | "/v1/metrics", _) | (_, _, Some((_, "suspend" | "resume"))) => {
            http::response(405, "Method Not Allowed", "GET the state, POST what changes it\n")
        }
        _ => http::response(
            404,
            "Not Found",
            "/v1/readyz, /v1/metrics, or /v1/chunk-servers/ID/suspend and /resume\n",
        ),
    }
}

/// Whether this process serves clients: it listens, has an endpoint list, and is not shutting down.
fn is_ready(context: &Context) -> bool {
    let lifecycle = &context.lifecycle;
    lifecycle.is_listening.get() && lifecycle.is_serving.get() && lifecycle.stopping_since.get().is_none()
}

/// Formats the metrics, one `NAME=VALUE` per line.
async fn metrics(operators: &Operators) -> String {
    let Operators { context, pool, .. } = operators;
    let out_of_rotation = out_of_rotation(operators).await;
    let mut text = String::new();
    let config = context.config();
    let answers = context.counters.answers.borrow();
    for (index, class) in config.classes.iter().enumerate() {
        let counts = answers.get(index).copied().unwrap_or_default();
        for (name, count) in
            [("fulfilled", counts.served), ("throttled", counts.rejected), ("faulted", counts.failed)]
        {
            // Writing to a string can't fail.
            let _ = writeln!(text, "app.operations.{}.{name}={count}", class.name);
        }
    }
    for (name, count) in [
        ("relayed", context.counters.sent_attempts.get()),
        ("open_requests", (context.counters.unanswered.get() + context.gauges.streamed_values.get()) as u64),
        ("registry_entries", pool.len() as u64),
        ("out_of_rotation", out_of_rotation as u64),
        ("cfg_accepted", context.counters.reloads.get()),
        ("cfg_invalid", context.counters.reload_errors.get()),
    ] {
        // Writing to a string can't fail.
        let _ = writeln!(text, "app.{name}={count}");
    }
    if let Some(gathering) = &operators.gathering {
        gathering.write_metrics(&mut text);
    }
    text
}

/// Counts the listed backends that are ejected or suspended.
async fn out_of_rotation(operators: &Operators) -> usize {
    let (ejected_sender, ejected_receiver) = async_channel::bounded(1);
    // The mailbox is closed only at the end of the process.
    drop(operators.scheduler.send(SchedulerMessage::GetEjected(ejected_sender)).await);
    let timed_out = async {
        Timer::after(SCHEDULER_TIMEOUT).await;
        vec![]
    };
    let ejected = async { ejected_receiver.recv().await.unwrap_or_default() };
    let mut backends: Vec<BackendId> = future::or(ejected, timed_out).await;
    backends.extend(operators.suspensions.all());
    backends.sort();
    backends.dedup();
    backends.retain(|backend| operators.pool.contains(backend));
    backends.len()
}
