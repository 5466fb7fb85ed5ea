//! The words of an attempt at a disk box that speaks RESP2: its command, and what a reply says.
use crate::context::Context;
use dispatch::{Attempt, Bytes};
use scheduler::interface::AttemptOutcome;

/// The command of an attempt.
pub fn command(context: &Context, attempt: &Attempt) -> Vec<u8> {
    let r = &attempt.request;
    let wait = ((attempt.deadline.0 - context.clock.now().0) / 1000).max(1);
    let config = context.config();
    let class = config.classes.get(r.class).map_or("", |c| c.name.as_str());
    let plan = config.plans.get(r.plan).map_or("", |p| p.as_str());
    let shard = r.shard.map_or(-1, i64::from);
    let comma = if r.extra.is_empty() { "" } else { "," };
    let list = format!(
        "c={class},t={plan},d={wait},volume={},units={},shard={shard},hosts={}{comma}{}",
        r.volume, r.units, r.volume_gateways, r.extra
    );
    let verb: &[u8] = if r.is_write { b"PWRITE" } else { b"PREAD" };
    let mut words = vec![verb, r.key.as_bytes(), r.name.as_bytes(), list.as_bytes()];
    words.extend(r.body.as_deref());
    let mut out = Vec::new();
    resp::write_command(&mut out, &words);
    out
}

/// Whether what follows an error line's first words has the form of figures: `cost=4 inflight=7,queue=2`.
fn figures(text: &[u8]) -> bool {
    let pair = |p: &[u8]| p.contains(&b'=') && p.iter().all(u8::is_ascii_graphic);
    text.is_empty() || (text[0] == b' ' && text[1..].split(|b| b" ,".contains(b)).all(pair))
}

/// What a reply says: how the attempt ended, the units served elsewhere, the value; none for one that is spoilt.
/// Guards bookings: only an error line of the exact form says that nothing has run. Guards clients: only an array that
/// begins with a value serves.
pub fn outcome(reply: &resp::Reply<'_>) -> Option<(AttemptOutcome, f64, Option<Bytes>)> {
    match reply {
        resp::Reply::Error(line) => match (line.strip_prefix(b"BUSY"), line.strip_prefix(b"ERR")) {
            (Some(rest), _) if figures(rest) => Some((AttemptOutcome::Rejected, elsewhere(rest), None)),
            (_, Some(rest)) if rest.iter().all(|b| (b' '..=b'~').contains(b)) => {
                Some((AttemptOutcome::Error, elsewhere(rest), None))
            }
            _ => None,
        },
        resp::Reply::Array(parts) => match parts.first() {
            Some(resp::Reply::Bulk(Some(value))) => {
                let figures = match parts.get(1) {
                    Some(resp::Reply::Bulk(Some(figures))) => elsewhere(figures),
                    _ => 0.0,
                };
                Some((AttemptOutcome::Ok, figures, Some(Bytes::from(*value))))
            }
            _ => None,
        },
        _ => None,
    }
}

/// The units that figures tell were served through other fronts.
pub fn elsewhere(text: &[u8]) -> f64 {
    let words = text.split(|b| b" ,".contains(b));
    let cost = words.filter_map(|w| w.strip_prefix(b"cost=")).next();
    cost.and_then(|c| std::str::from_utf8(c).ok()?.parse().ok())
        .filter(|c: &f64| c.is_finite() && *c >= 0.0)
        .unwrap_or(0.0)
}
