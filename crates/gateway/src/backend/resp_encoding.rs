//! Encoding an attempt as a RESP2 command, and decoding the backend's reply.
use crate::context::Context;
use dispatch::{Attempt, Bytes};
use scheduler::interface::AttemptOutcome;

/// Encodes the command of an attempt. It carries the time that is left until the attempt's deadline, in milliseconds.
pub fn encode_command(context: &Context, attempt: &Attempt) -> Vec<u8> {
    let request = &attempt.request;
    let wait_ms = ((attempt.deadline.0 - context.clock.now().0) / 1000).max(1);
    let config = context.config();
    let class = config.classes.get(request.class).map_or("", |class| class.name.as_str());
    let plan = config.plans.get(request.plan).map_or("", |plan| plan.as_str());
    let shard = request.shard.map_or(-1, i64::from);
    let comma = if request.extra.is_empty() { "" } else { "," };
    let list = format!(
        "c={class},t={plan},d={wait_ms},volume={},units={},shard={shard},hosts={}{comma}{}",
        request.volume, request.units, request.volume_gateways, request.extra
    );
    let verb: &[u8] = if request.is_write { b"PWRITE" } else { b"PREAD" };
    let mut words = vec![verb, request.key.as_bytes(), request.name.as_bytes(), list.as_bytes()];
    words.extend(request.body.as_deref());
    let mut encoded = Vec::new();
    resp::write_command(&mut encoded, &words);
    encoded
}

/// A decoded reply.
pub struct ReplyOutcome {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Units served for the volume through other gateways.
    pub remote_units: f64,
    /// The value, of a request that was served.
    pub value: Option<Bytes>,
}

impl ReplyOutcome {
    /// An outcome without a value.
    pub fn without_value(outcome: AttemptOutcome, remote_units: f64) -> ReplyOutcome {
        ReplyOutcome { outcome, remote_units, value: None }
    }
}

/// Whether what follows an error line's first word has the form of usage figures, such as ` cost=4 inflight=7,queue=2`.
fn are_usage_figures(text: &[u8]) -> bool {
    let is_pair = |pair: &[u8]| pair.contains(&b'=') && pair.iter().all(u8::is_ascii_graphic);
    text.is_empty() || (text[0] == b' ' && text[1..].split(|byte| b" ,".contains(byte)).all(is_pair))
}

/// Decodes a reply; `None` for one that violates the protocol.
///
/// Only an error line of the exact form guarantees that nothing has run, and only an array that begins with a value serves a request.
pub fn decode_reply(reply: &resp::Reply<'_>) -> Option<ReplyOutcome> {
    match reply {
        resp::Reply::Error(line) => error_outcome(line),
        resp::Reply::Array(parts) => match parts.first() {
            Some(resp::Reply::Bulk(Some(value))) => {
                let remote_units = match parts.get(1) {
                    Some(resp::Reply::Bulk(Some(figures))) => remote_units(figures),
                    _ => 0.0,
                };
                let value = Some(Bytes::from(*value));
                Some(ReplyOutcome { outcome: AttemptOutcome::Ok, remote_units, value })
            }
            _ => None,
        },
        _ => None,
    }
}

fn error_outcome(line: &[u8]) -> Option<ReplyOutcome> {
    let is_text = |text: &[u8]| text.iter().all(|byte| (b' '..=b'~').contains(byte));
    match (line.strip_prefix(b"BUSY"), line.strip_prefix(b"ERR")) {
        (Some(rest), _) if are_usage_figures(rest) => {
            Some(ReplyOutcome::without_value(AttemptOutcome::Rejected, remote_units(rest)))
        }
        (_, Some(rest)) if is_text(rest) => {
            Some(ReplyOutcome::without_value(AttemptOutcome::Error, remote_units(rest)))
        }
        _ => None,
    }
}

/// The units served through other gateways, from usage figures.
pub fn remote_units(figures: &[u8]) -> f64 {
    let words = figures.split(|byte| b" ,".contains(byte));
    let cost = words.filter_map(|word| word.strip_prefix(b"cost=")).next();
    cost.and_then(|cost| std::str::from_utf8(cost).ok()?.parse().ok())
        .filter(|cost: &f64| cost.is_finite() && *cost >= 0.0)
        .unwrap_or(0.0)
}
