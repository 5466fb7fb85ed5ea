//! Operators' HTTP calls to the coordination group: its status, and maintenance requests. Paths, queries and texts use the names of the
//! public HTTP interface (`wish` for a maintenance request, `box` for a backend, `front` for a gateway); this module maps them.
use async_io::Timer;
use cluster_types::{BackendId, MemberId};
use coordination::{CoordinationMessage, Handle, OperatorCall, OperatorResponse};
use futures_lite::future;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The path prefix of these calls.
pub const PATH_PREFIX: &str = "/v1/accord";
/// The time within which a caller is answered, even if the coordination host doesn't respond.
const TIMEOUT: Duration = Duration::from_millis(1_700);
/// The query parameters of a maintenance request.
const MAINTENANCE_PARAMETERS: [&str; 4] = ["boxes", "work_s", "by_s", "together"];
/// The allowed range of a duration in a query parameter, in seconds.
const DURATION_RANGE_S: std::ops::RangeInclusive<f64> = 0.001..=31_536_000.0;
/// Deadlines are rounded up to a multiple of this, in milliseconds, so that a request that is repeated under its name is the same
/// request.
const DEADLINE_STEP_MS: u64 = 60_000;

/// Why a call is not valid; the text goes to the operator.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The path is unknown.
    #[error("/v1/accord, /v1/accord/wishes/NAME with /withdraw, /done or /returned, /v1/accord/members/NAME/excuse\n")]
    UnknownPath,
    /// The path does not support the method.
    #[error("GET the state, POST what changes it\n")]
    Method,
    /// A query parameter is unknown.
    #[error("{0}: unknown; a wish has boxes, work_s, by_s and together\n")]
    UnknownParameter(String),
    /// The query parameter `boxes` is missing.
    #[error("boxes: which ones? boxes=ID,ID\n")]
    NoBackends,
    /// The query parameter `box` is missing.
    #[error("box: which one is back?\n")]
    NoBackend,
    /// The query parameter `work_s` is missing.
    #[error("work_s: for how long may each be out?\n")]
    NoWorkTime,
    /// A duration is out of range or not a number.
    #[error("{0}: must be seconds, up to a year\n")]
    Duration(&'static str),
    /// The query parameter `together` is neither 0 nor 1.
    #[error("together: must be 0 or 1\n")]
    Together,
}

impl CallError {
    /// The HTTP status code and reason phrase of the answer.
    pub fn status(&self) -> (u16, &'static str) {
        match self {
            CallError::UnknownPath => (404, "Not Found"),
            CallError::Method => (405, "Method Not Allowed"),
            _ => (400, "Bad Request"),
        }
    }
}

/// Answers a call below [`PATH_PREFIX`].
pub async fn answer(handle: Option<&Handle>, method: &str, target: &str) -> Vec<u8> {
    let Some(handle) = handle else {
        return http::response(404, "Not Found", "accord: not in the configuration\n");
    };
    let call = match parse(method, target) {
        Ok(call) => call,
        Err(error) => {
            let (code, reason) = error.status();
            return http::response(code, reason, &error.to_string());
        }
    };
    let (response_sender, responses) = async_channel::bounded(1);
    if !handle.send(CoordinationMessage::Call(call, response_sender)) {
        return http::response(503, "Service Unavailable", "too many calls wait\n");
    }
    let timed_out = async {
        Timer::after(TIMEOUT).await;
        OperatorResponse::Unsettled("no answer in time: ask again under the same name\n".into())
    };
    let response =
        async { responses.recv().await.unwrap_or(OperatorResponse::Unsettled("the front ends\n".into())) };
    match future::or(response, timed_out).await {
        OperatorResponse::Done(text) => http::response(200, "OK", &text),
        OperatorResponse::NotFound(text) => http::response(404, "Not Found", &text),
        OperatorResponse::Rejected(text) => http::response(409, "Conflict", &text),
        OperatorResponse::Unsettled(text) => http::response(503, "Service Unavailable", &text),
    }
}

/// Parses a call: `/v1/accord`, `/v1/accord/wishes/NAME[/withdraw|/done|/returned]`, `/v1/accord/members/NAME/excuse`.
///
/// # Errors
/// [`CallError`], whose text begins with the query parameter at fault, if any.
pub fn parse(method: &str, target: &str) -> Result<OperatorCall, CallError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let segments: Vec<String> = path.split('/').skip(3).map(http::percent_decode).collect();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let query: BTreeMap<String, String> = form_urlencoded::parse(query.as_bytes()).into_owned().collect();
    match (method, segments.as_slice()) {
        ("GET", [] | [""]) => Ok(OperatorCall::Status),
        ("GET", ["wishes", name]) => Ok(OperatorCall::RequestStatus { name: (*name).to_owned() }),
        ("POST", ["wishes", name]) => maintenance_request(name, &query),
        ("POST", ["wishes", name, "withdraw"]) => Ok(OperatorCall::Withdraw { name: (*name).to_owned() }),
        ("POST", ["wishes", name, "done"]) => Ok(OperatorCall::Done { name: (*name).to_owned() }),
        ("POST", ["wishes", name, "returned"]) => {
            let backend = query.get("box").ok_or(CallError::NoBackend)?;
            let (name, backend) = ((*name).to_owned(), BackendId(backend.as_str().into()));
            Ok(OperatorCall::Returned { name, backend })
        }
        ("POST", ["members", name, "excuse"]) => {
            Ok(OperatorCall::DeclareDead { member: MemberId((*name).into()) })
        }
        (_, [] | [""] | ["wishes", _])
        | (_, ["wishes", _, "withdraw" | "done" | "returned"] | ["members", _, "excuse"]) => {
            Err(CallError::Method)
        }
        _ => Err(CallError::UnknownPath),
    }
}

fn maintenance_request(name: &str, query: &BTreeMap<String, String>) -> Result<OperatorCall, CallError> {
    if let Some(unknown) = query.keys().find(|key| !MAINTENANCE_PARAMETERS.contains(&key.as_str())) {
        return Err(CallError::UnknownParameter(unknown.clone()));
    }
    let ids = query.get("boxes").map(String::as_str).unwrap_or_default();
    let backends: BTreeSet<BackendId> =
        ids.split(',').filter(|id| !id.is_empty()).map(BackendId::from).collect();
    if backends.is_empty() {
        return Err(CallError::NoBackends);
    }
    let work_ms = parse_duration_ms(query, "work_s")?.ok_or(CallError::NoWorkTime)?;
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let deadline_ms = parse_duration_ms(query, "by_s")?
        .map(|duration_ms| (now_ms + duration_ms).div_ceil(DEADLINE_STEP_MS) * DEADLINE_STEP_MS);
    let all_at_once = match query.get("together").map(String::as_str) {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err(CallError::Together),
    };
    Ok(OperatorCall::RequestMaintenance { name: name.into(), backends, work_ms, deadline_ms, all_at_once })
}

/// Parses a query parameter in seconds into milliseconds.
fn parse_duration_ms(query: &BTreeMap<String, String>, key: &'static str) -> Result<Option<u64>, CallError> {
    match query.get(key).map(|text| text.parse::<f64>()) {
        None => Ok(None),
        Some(Ok(seconds)) if DURATION_RANGE_S.contains(&seconds) => Ok(Some((seconds * 1000.0) as u64)),
        Some(_) => Err(CallError::Duration(key)),
    }
}
