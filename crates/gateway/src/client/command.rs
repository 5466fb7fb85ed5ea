//! Parsing the commands of RESP2 clients into requests.
use crate::context::Context;
use config::Config;
use dispatch::{Bytes, Request};
use scheduler::interface::Micros;

/// The part of a client's deadline that is reserved for the network, in microseconds: the deadline covers the time from sending the
/// request until the response reaches the client.
const NETWORK_RESERVE_US: i64 = 2_000;
/// The maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 256;
/// The maximum length of the list of names and values, in bytes.
const MAX_LIST_BYTES: usize = 1024;
/// The maximum length of an error text, in characters.
const MAX_ERROR_CHARS: usize = 200;

/// A parsed command.
pub enum Command {
    /// A command that is answered at once, with this encoded response.
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

/// Parses a command whose last byte arrived at `arrived`. An invalid command is answered with an error.
pub fn parse(context: &Context, args: &[&[u8]], arrived: Micros) -> Command {
    try_parse(context, args, arrived).unwrap_or_else(|error| {
        let text: String =
            error.to_string().chars().filter(|c| !c.is_control()).take(MAX_ERROR_CHARS).collect();
        Command::Answered(format!("-ERR {text}\r\n").into_bytes())
    })
}

fn try_parse(context: &Context, args: &[&[u8]], arrived: Micros) -> Result<Command, CommandError> {
    let is_write = match args[0].to_ascii_uppercase().as_slice() {
        b"PREAD" => false,
        b"PWRITE" => true,
        b"PING" if context.lifecycle.is_serving.get() => return Ok(Command::Answered(b"+PONG\r\n".to_vec())),
        b"PING" => return Err(CommandError::NotServing),
        b"CLIENT" | b"SELECT" => return Ok(Command::Answered(b"+OK\r\n".to_vec())),
        _ => return Err(CommandError::UnknownCommand),
    };
    if args.len() != if is_write { 5 } else { 4 } {
        return Err(CommandError::ArgumentCount);
    }
    let (key, id, list) = (text(args[1])?, text(args[2])?, text(args[3])?);
    if !is_hex_id(key) {
        return Err(CommandError::Key);
    }
    if id.is_empty() || id.len() > MAX_ID_BYTES || list.len() > MAX_LIST_BYTES {
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
    // The scheduler keeps requests until their deadlines, so a client must not set a deadline weeks ahead.
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
        volume_gateways: fields.volume_gateways,
        extra: fields.extra.join(",").into(),
        body: args.get(4).map(|body| Bytes::from(*body)),
        extent: None,
        accepts_stream: true,
        deadline: Micros(arrived.0 + wait - NETWORK_RESERVE_US),
    }))
}

fn text(arg: &[u8]) -> Result<&str, CommandError> {
    let text = std::str::from_utf8(arg).ok().filter(|text| !text.contains(char::is_control));
    text.ok_or(CommandError::NotText)
}

fn is_hex_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// The list of names and values of a request. The protocol's names are `c` (class), `t` (plan), `d` (time to the deadline in
/// milliseconds), `volume`, `units`, `shard` and `hosts` (number of gateways that serve the volume).
struct Fields<'a> {
    class: usize,
    plan: usize,
    wait_ms: u32,
    volume: &'a str,
    units: u32,
    shard: i32,
    volume_gateways: u32,
    /// Pairs with other names, forwarded unchanged.
    extra: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    fn parse(config: &Config, list: &'a str) -> Result<Fields<'a>, CommandError> {
        let (mut class, mut plan, mut wait_ms, mut volume) = (None, None, None, None);
        let (mut units, mut shard, mut volume_gateways, mut extra) = (Some(1), Some(-1), Some(1), Vec::new());
        for pair in list.split(',') {
            match pair.split_once('=') {
                Some(("c", value)) => class = config.class(value),
                Some(("t", value)) => plan = config.plan(value),
                Some(("d", value)) => wait_ms = value.parse().ok(),
                Some(("volume", value)) => volume = Some(value).filter(|value| is_hex_id(value)),
                Some(("units", value)) => units = value.parse().ok(),
                Some(("shard", value)) => shard = value.parse().ok(),
                Some(("hosts", value)) => volume_gateways = value.parse().ok(),
                Some(_) => extra.push(pair),
                None => return Err(CommandError::Pair(pair.to_owned())),
            }
        }
        // A backend can't serve larger requests, so the scheduler must not reserve credits for them.
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
            volume_gateways: volume_gateways.filter(|count| *count > 0).ok_or(CommandError::Hosts)?,
            extra,
        })
    }
}
