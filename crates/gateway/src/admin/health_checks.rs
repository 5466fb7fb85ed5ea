//! The listeners for load balancers and operators: the agent check (one line sent on connect, in HAProxy's agent-check format), HTTP
//! health checks, and operators' HTTP calls, one call per connection.
use crate::admin::config_calls;
use crate::admin::operators::{self, Operators};
use crate::context::Context;
use crate::net::accept::accept;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use crate::net::socket::Socket;
use crate::scheduler_actor::MAX_REQUESTS;
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// What a listener serves.
#[derive(Clone)]
pub enum Service {
    /// The agent check.
    Agent,
    /// HTTP health checks.
    Health,
    /// Operators' calls.
    Operators(Operators),
}

/// The maximum number of concurrent connections to a listener; further ones are closed.
const MAX_CONNECTIONS: usize = 16;
/// The time limit of one check or call.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Capacities of the input and output buffers of a check, in bytes.
const CHECK_BUFFER_BYTES: (usize, usize) = (16 * 1024, 4096);
/// Capacities of the input and output buffers of an operator's call, which may have a body and a long answer, in bytes.
const CALL_BUFFER_BYTES: (usize, usize) = (16 * 1024 + http::MAX_BODY_BYTES, 256 * 1024);

/// Serves checks or calls until the process ends.
pub async fn listen(context: Rc<Context>, listener: Async<TcpListener>, service: Service) {
    let connections = Rc::new(());
    let on_accept = |socket, address| {
        let connection = serve(context.clone(), socket, address, service.clone(), connections.clone());
        context.executor.spawn(connection).detach();
    };
    accept(listener, || true, async || {}, on_accept, async || future::pending().await).await;
}

/// The line of the agent check: whether this gateway takes requests, and a weight that decreases with its load (open requests, or the
/// share of rejected ones).
fn agent_line(context: &Context) -> String {
    if context.lifecycle.stopping_since.get().is_some() {
        return "drain\n".into();
    }
    if !context.lifecycle.is_serving.get() {
        return "down\n".into();
    }
    let open_percent = (100 * context.counters.open.get() / MAX_REQUESTS) as u64;
    let weight = 100 - open_percent.max(context.counters.rejection_percent.get()).min(99);
    format!("up {weight}%\n")
}

/// Returns the body of a call, empty for calls without one; `None` while it is incomplete.
fn body<'a>(target: &str, bytes: &'a [u8]) -> Result<Option<&'a [u8]>, http::ParseError> {
    if target.starts_with(config_calls::PATH_PREFIX) {
        http::request_body(bytes)
    } else {
        Ok(Some(&[]))
    }
}

/// Answers an HTTP request; returns `None` while the request is incomplete.
async fn answer(context: &Rc<Context>, bytes: &[u8], service: &Service) -> Option<Vec<u8>> {
    let (method, target) = match http::request_head(bytes) {
        Ok(None) => return None,
        Err(error) => return Some(http::response(400, "Bad Request", &error.to_string())),
        Ok(Some(head)) => (head.method, head.target),
    };
    let Service::Operators(operators) = service else { return Some(health_answer(context, method, target)) };
    match body(target, bytes) {
        Ok(None) => None,
        Ok(Some(body)) => Some(operators::answer(operators, method, target, body).await),
        Err(error) => Some(http::response(400, "Bad Request", &format!("{error}\n"))),
    }
}

fn health_answer(context: &Context, method: &str, target: &str) -> Vec<u8> {
    if method != "GET" && method != "HEAD" {
        return http::response(405, "Method Not Allowed", "GET or HEAD\n");
    }
    let is_ready = context.lifecycle.is_serving.get() && context.lifecycle.stopping_since.get().is_none();
    let mut answer = match target {
        "/healthz" => http::response(200, "OK", "ok\n"),
        "/readyz" if is_ready => http::response(200, "OK", "ready\n"),
        "/readyz" => http::response(503, "Service Unavailable", "not ready\n"),
        _ => http::response(404, "Not Found", "/healthz or /readyz\n"),
    };
    if method == "HEAD" {
        let head_end = answer.windows(4).position(|window| window == b"\r\n\r\n");
        answer.truncate(head_end.map_or(answer.len(), |at| at + 4));
    }
    answer
}

/// Serves one connection.
async fn serve(
    context: Rc<Context>,
    socket: Socket,
    address: SocketAddr,
    service: Service,
    connections: Rc<()>,
) {
    let (kind, buffer_bytes) = match service {
        Service::Agent => ("agent", CHECK_BUFFER_BYTES),
        Service::Health => ("health", CHECK_BUFFER_BYTES),
        Service::Operators(_) => ("operator", CALL_BUFFER_BYTES),
    };
    let mut stream = Connection::new(socket, kind, address, buffer_bytes);
    if Rc::strong_count(&connections) > MAX_CONNECTIONS + 1 {
        stream.reason = CloseReason::Bound;
        return;
    }
    let timed_out = async {
        Timer::after(TIMEOUT).await;
        CloseReason::Timeout
    };
    let reason = future::or(exchange(&context, &mut stream, &service), timed_out).await;
    stream.exchange_count += 1;
    stream.reason = reason;
}

/// Reads the request (the agent check has none) and sends the answer. Returns why the connection is to be closed.
async fn exchange(context: &Rc<Context>, stream: &mut Connection, service: &Service) -> CloseReason {
    let mut is_answered = false;
    if matches!(service, Service::Agent) {
        stream.output.push(agent_line(context).as_bytes());
        is_answered = true;
    }
    loop {
        match stream.next().await {
            Some(Ok(SocketEvent::Wrote)) if is_answered => return CloseReason::Done,
            Some(Ok(SocketEvent::Wrote)) => {}
            Some(Ok(SocketEvent::Read)) if is_answered => stream.input.consume(usize::MAX),
            Some(Ok(SocketEvent::Read)) => {
                if let Some(answer) = answer(context, stream.input.contiguous(), service).await {
                    stream.output.push(&answer);
                    is_answered = true;
                }
            }
            Some(Ok(SocketEvent::End)) if is_answered => {}
            Some(Ok(SocketEvent::End)) | None => return CloseReason::PeerClosed,
            Some(Err(_)) => return CloseReason::Reset,
        }
    }
}
