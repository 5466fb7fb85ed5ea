//! Commands of the platform's clients, turned into requests of the core.
use crate::context::Context;
use dispatch::{Bytes, Request};
use scheduler::interface::Micros;

/// A client's time began when it sent, and its answer has a way to go: so much of it is spent on that.
const ON_THE_WAY: i64 = 2_000;

/// What a client asks for.
pub enum Asked {
    /// It has its answer at once.
    Now(Vec<u8>),
    /// A request for the core.
    Request(Request),
}

fn error(text: impl std::fmt::Display) -> Asked {
    let text: String = text.to_string().chars().filter(|c| !c.is_control()).take(200).collect();
    Asked::Now(format!("-ERR {text}\r\n").into_bytes())
}

/// What a command asks for.
pub fn understand(context: &Context, words: &[&[u8]], came: Micros) -> Asked {
    let verb = words[0].to_ascii_uppercase();
    let write = match verb.as_slice() {
        b"PREAD" => false,
        b"PWRITE" => true,
        b"PING" if context.lifecycle.serving.get() => return Asked::Now(b"+PONG\r\n".to_vec()),
        b"PING" => return error("not serving yet"),
        b"CLIENT" | b"SELECT" => return Asked::Now(b"+OK\r\n".to_vec()),
        _ => return error("unknown command"),
    };
    if words.len() != if write { 5 } else { 4 } {
        return error("wrong number of arguments");
    }
    let text = |word| std::str::from_utf8(word).ok().filter(|w: &&str| !w.contains(char::is_control));
    let (Some(piece), Some(name), Some(list)) = (text(words[1]), text(words[2]), text(words[3])) else {
        return error("arguments must be text");
    };
    let hex = |t: &str| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit());
    if !hex(piece) {
        return error("the piece must be 16 hex digits");
    }
    if name.is_empty() || name.len() > 256 || list.len() > 1024 {
        return error("the id or the list is too long or empty");
    }
    if !name.bytes().all(|b| b.is_ascii_graphic()) {
        return error("the id must be printable and without spaces");
    }
    let config = context.config();
    let (mut class, mut plan, mut wait, mut volume) = (None, None, None, None);
    let (mut units, mut shard, mut hosts, mut extra) = (Some(1), Some(-1), Some(1), Vec::new());
    for pair in list.split(',') {
        match pair.split_once('=') {
            Some(("c", v)) => class = config.class(v),
            Some(("t", v)) => plan = config.plan(v),
            Some(("d", v)) => wait = v.parse::<u32>().ok(),
            Some(("volume", v)) => volume = Some(v).filter(|v| hex(v)),
            Some(("units", v)) => units = v.parse::<u32>().ok(),
            Some(("shard", v)) => shard = v.parse::<i32>().ok(),
            Some(("hosts", v)) => hosts = v.parse::<u32>().ok(),
            Some(_) => extra.push(pair),
            None => return error(format_args!("{pair:?} is not a name and a value")),
        }
    }
    let Some(class) = class else { return error("c: unknown class") };
    let Some(plan) = plan else { return error("t: unknown plan") };
    let Some(wait) = wait else { return error("d: not a time in milliseconds") };
    let Some(volume) = volume else { return error("volume: must be 16 hex digits") };
    // Guards disk boxes and the module against what no box can use.
    let Some(units) = units.filter(|u| (1.0..=config.settings.max_request_units).contains(&f64::from(*u)))
    else {
        return error("units: not a number from 1 to the largest size");
    };
    let there = |s: &i32| *s >= -1 && config.shards.is_none_or(|n| i64::from(*s) < i64::from(n));
    let Some(shard) = shard.filter(there) else { return error("shard: not the number of one") };
    let Some(hosts) = hosts.filter(|h| *h > 0) else { return error("hosts: not a number above 0") };
    if config.classes[class].write.is_some_and(|kind| kind != write) {
        return error("c: the class is of the other kind");
    }
    // Guards the module, which remembers until when clients wait, against ones that say they wait for weeks.
    let wait = (i64::from(wait) * 1000).min(config.classes[class].deadline.0);
    Asked::Request(Request {
        name: name.into(),
        class,
        plan,
        is_write: write,
        key: piece.into(),
        volume: volume.into(),
        units,
        shard: u32::try_from(shard).ok(),
        volume_gateways: hosts,
        extra: extra.join(",").into(),
        body: words.get(4).map(|b| Bytes::from(*b)),
        extent: None,
        accepts_stream: true,
        deadline: Micros(came.0 + wait - ON_THE_WAY),
    })
}
