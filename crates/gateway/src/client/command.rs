//! Parsing the commands of RESP2 clients into requests.
use crate::context::Context;
use config::Config;
use dispatch::{Bytes, Request};
use scheduler::interface::Micros;

/// A client's deadline runs from when it sent the request until the response reaches it: this much of it, in microseconds, is
/// reserved for the network.
const NETWORK_RESERVE_US: i64 = 2_000;
/// The longest request id, in bytes.
const ID_BYTES: usize = 256;
/// The longest list of names and values, in bytes.
const LIST_BYTES: usize = 1024;
/// The longest error text, in characters.
const ERROR_CHARS: usize = 200;

/// A parsed command.
pub enum Command {
    /// It is answered at once, with this encoded response.
    Answered(Vec<u8>),
    /// A request for the scheduler.
    Request(Request),
}

/// Why a command is not a valid request; the text goes to the client.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("not serving yet")]
    NotServing,
    #[error("unknown command")]
    UnknownCommand,
    #[error("wrong number of arguments")]
    ArgumentCount,
    #[error("arguments must be text")]
    NotText,
    #[error("the piece must be 16 hex digits")]
    Key,
    #[error("the id or the list is too long or empty")]
    Length,
    #[error("the id must be printable and without spaces")]
    Id,
    #[error("{0:?} is not a name and a value")]
    Pair(String),
    #[error("c: unknown class")]
    Class,
    #[error("t: unknown plan")]
    Plan,
    #[error("d: not a time in milliseconds")]
    Deadline,
    #[error("volume: must be 16 hex digits")]
    Volume,
    #[error("units: not a number from 1 to the largest size")]
    Units,
    #[error("shard: not the number of one")]
    Shard,
    #[error("hosts: not a number above 0")]
    Hosts,
    #[error("c: the class is of the other kind")]
    ClassKind,
}

/// Parses a command whose last byte arrived at `arrived`. A command that is not valid is answered with an error.
pub fn parse(context: &Context, words: &[&[u8]], arrived: Micros) -> Command {
    try_parse(context, words, arrived).unwrap_or_else(|error| {
        let text: String = error.to_string().chars().filter(|c| !c.is_control()).take(ERROR_CHARS).collect();
        Command::Answered(format!("-ERR {text}\r\n").into_bytes())
    })
}

fn try_parse(context: &Context, words: &[&[u8]], arrived: Micros) -> Result<Command, CommandError> {
    let is_write = match words[0].to_ascii_uppercase().as_slice() {
        b"PREAD" => false,
        b"PWRITE" => true,
        b"PING" if context.lifecycle.serving.get() => return Ok(Command::Answered(b"+PONG\r\n".to_vec())),
        b"PING" => return Err(CommandError::NotServing),
        b"CLIENT" | b"SELECT" => return Ok(Command::Answered(b"+OK\r\n".to_vec())),
        _ => return Err(CommandError::UnknownCommand),
    };
    if words.len() != if is_write { 5 } else { 4 } {
        return Err(CommandError::ArgumentCount);
    }
    let (key, id, list) = (text(words[1])?, text(words[2])?, text(words[3])?);
    if !is_hex_id(key) {
        return Err(CommandError::Key);
    }
    if id.is_empty() || id.len() > ID_BYTES || list.len() > LIST_BYTES {
        return Err(CommandError::Length);
    }
    if !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(CommandError::Id);
    }
    let config = context.config();
    let fields = Fields::parse(&config, list)?;
    if config.classes[fields.class].write.is_some_and(|class_writes| class_writes != is_write) {
        return Err(CommandError::ClassKind);
    }
    // The scheduler remembers requests until their deadlines: a client must not claim to wait for weeks.
    let wait = (i64::from(fields.wait_ms) * 1000).min(config.classes[fields.class].deadline.0);
    Ok(Command::Request(Request {
        name: id.into(),
        class: fields.class,
        plan: fields.plan,
        is_write,
        key: key.into(),
        volume: fields.volume.into(),
        units: fields.units,
        shard: u32::try_from(fields.shard).ok(),
        volume_gateways: fields.hosts,
        extra: fields.extra.join(",").into(),
        body: words.get(4).map(|body| Bytes::from(*body)),
        extent: None,
        accepts_stream: true,
        deadline: Micros(arrived.0 + wait - NETWORK_RESERVE_US),
    }))
}

fn text(word: &[u8]) -> Result<&str, CommandError> {
    let text = std::str::from_utf8(word).ok().filter(|text| !text.contains(char::is_control));
    text.ok_or(CommandError::NotText)
}

fn is_hex_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// The list of names and values of a request. The names are the protocol's: `c`, `t`, `d`, `volume`, `units`, `shard`, `hosts`.
struct Fields<'a> {
    class: usize,
    plan: usize,
    wait_ms: u32,
    volume: &'a str,
    units: u32,
    shard: i32,
    hosts: u32,
    /// Pairs with other names, passed on unchanged.
    extra: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    fn parse(config: &Config, list: &'a str) -> Result<Fields<'a>, CommandError> {
        let (mut class, mut plan, mut wait_ms, mut volume) = (None, None, None, None);
        let (mut units, mut shard, mut hosts, mut extra) = (Some(1), Some(-1), Some(1), Vec::new());
        for pair in list.split(',') {
            match pair.split_once('=') {
                Some(("c", value)) => class = config.class(value),
                Some(("t", value)) => plan = config.plan(value),
                Some(("d", value)) => wait_ms = value.parse().ok(),
                Some(("volume", value)) => volume = Some(value).filter(|value| is_hex_id(value)),
                Some(("units", value)) => units = value.parse().ok(),
                Some(("shard", value)) => shard = value.parse().ok(),
                Some(("hosts", value)) => hosts = value.parse().ok(),
                Some(_) => extra.push(pair),
                None => return Err(CommandError::Pair(pair.to_owned())),
            }
        }
        // A backend can't serve larger requests, and the scheduler must not reserve credits for them.
        let sizes = 1.0..=config.settings.max_request_units;
        let is_shard =
            |shard: &i32| *shard >= -1 && config.shards.is_none_or(|n| i64::from(*shard) < i64::from(n));
        Ok(Fields {
            class: class.ok_or(CommandError::Class)?,
            plan: plan.ok_or(CommandError::Plan)?,
            wait_ms: wait_ms.ok_or(CommandError::Deadline)?,
            volume: volume.ok_or(CommandError::Volume)?,
            units: units.filter(|units| sizes.contains(&f64::from(*units))).ok_or(CommandError::Units)?,
            shard: shard.filter(is_shard).ok_or(CommandError::Shard)?,
            hosts: hosts.filter(|hosts| *hosts > 0).ok_or(CommandError::Hosts)?,
            extra,
        })
    }
}
