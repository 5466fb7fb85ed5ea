//! What balancers ask for: the agent check (a line on connecting, as HAProxy reads it) and HTTP health checks; and
//! the connections on which operators call.
use crate::admin::config_calls;
use crate::admin::operators::{self, Operators};
use crate::context::Context;
use crate::net::accept::accept;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use crate::net::socket::Socket;
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// What a listener speaks.
#[derive(Clone)]
pub enum Form {
    /// The agent check.
    Agent,
    /// HTTP health checks.
    Http,
    /// Operators' calls.
    Operators(Operators),
}

/// Checks at once; what comes beyond is closed.
const MOST: usize = 16;
/// How long one check may take.
const TIMEOUT: Duration = Duration::from_secs(2);
const BOUNDS: (usize, usize) = (16 * 1024, 4096);
/// Operators' calls may have bodies, and long answers.
const OPERATORS: (usize, usize) = (16 * 1024 + http::BODY, 256 * 1024);

/// Answers checks until the program ends.
pub async fn listen(context: Rc<Context>, listener: Async<TcpListener>, form: Form) {
    let open = Rc::new(());
    let take = |socket, address| {
        let check = check(context.clone(), socket, address, form.clone(), open.clone());
        context.executor.spawn(check).detach();
    };
    accept(listener, || true, async || {}, take, async || future::pending().await).await;
}

/// The agent's line: whether to send here, and how much, by how full the table is and how much is refused.
fn line(context: &Context) -> String {
    if context.lifecycle.stopping.get().is_some() {
        return "drain\n".into();
    }
    if !context.lifecycle.serving.get() {
        return "down\n".into();
    }
    let full = (100 * context.counters.open.get() / crate::scheduler_actor::REQUESTS) as u64;
    let weight = 100 - full.max(context.counters.refusing.get()).min(99);
    format!("up {weight}%\n")
}

/// The body of a call that has one.
fn body<'a>(target: &str, bytes: &'a [u8]) -> Result<Option<&'a [u8]>, http::Malformed> {
    match target.starts_with(config_calls::FOLDER) {
        true => http::request_body(bytes),
        false => Ok(Some(&[])),
    }
}

async fn page(context: &Rc<Context>, bytes: &[u8], form: &Form) -> Option<Vec<u8>> {
    Some(match http::request_head(bytes) {
        Ok(None) => return None,
        Err(e) => http::answer(400, "Bad Request", e.0),
        Ok(Some((method, target, _))) if matches!(form, Form::Operators(_)) => {
            let Form::Operators(on) = form else { return None };
            match body(target, bytes) {
                Ok(None) => return None,
                Ok(Some(body)) => operators::answer(on, method, target, body).await,
                Err(e) => http::answer(400, "Bad Request", &format!("{}\n", e.0)),
            }
        }
        Ok(Some((method, _, _))) if method != "GET" && method != "HEAD" => {
            http::answer(405, "Method Not Allowed", "GET or HEAD\n")
        }
        Ok(Some((method, target, _))) => {
            let ready = context.lifecycle.serving.get() && context.lifecycle.stopping.get().is_none();
            let mut answer = match target {
                "/healthz" => http::answer(200, "OK", "ok\n"),
                "/readyz" if ready => http::answer(200, "OK", "ready\n"),
                "/readyz" => http::answer(503, "Service Unavailable", "not ready\n"),
                _ => http::answer(404, "Not Found", "/healthz or /readyz\n"),
            };
            if method == "HEAD" {
                let end = answer.windows(4).position(|w| w == b"\r\n\r\n").map_or(answer.len(), |at| at + 4);
                answer.truncate(end);
            }
            answer
        }
    })
}

async fn check(context: Rc<Context>, socket: Socket, address: SocketAddr, form: Form, open: Rc<()>) {
    let kind = match form {
        Form::Agent => "agent",
        Form::Http => "health",
        Form::Operators(_) => "operator",
    };
    let bounds = if matches!(form, Form::Operators(_)) { OPERATORS } else { BOUNDS };
    let mut stream = Connection::new(socket, kind, address, bounds);
    if Rc::strong_count(&open) > MOST + 1 {
        stream.reason = CloseReason::Bound;
        return;
    }
    let talk = async {
        let mut answered = false;
        if matches!(form, Form::Agent) {
            stream.output.push(line(&context).as_bytes());
            answered = true;
        }
        loop {
            match stream.next().await {
                Some(Ok(SocketEvent::Wrote)) if answered => return CloseReason::Done,
                Some(Ok(SocketEvent::Wrote)) => {}
                Some(Ok(SocketEvent::Read)) if answered => stream.input.consume(usize::MAX),
                Some(Ok(SocketEvent::Read)) => {
                    if let Some(answer) = page(&context, stream.input.contiguous(), &form).await {
                        stream.output.push(&answer);
                        answered = true;
                    }
                }
                Some(Ok(SocketEvent::End)) if answered => {}
                Some(Ok(SocketEvent::End)) | None => return CloseReason::PeerClosed,
                Some(Err(_)) => return CloseReason::Reset,
            }
        }
    };
    let late = async {
        Timer::after(TIMEOUT).await;
        CloseReason::Timeout
    };
    let reason = future::or(talk, late).await;
    stream.carried += 1;
    stream.reason = reason;
}
