//! The drill's wire: JSON lines in, JSON lines out. It maps and decides nothing.
use crate::interface::*;
use crate::Scheduler;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// Why reading ended before the input did.
#[derive(Debug)]
pub enum WireError {
    /// A line that cannot be understood.
    Malformed {
        /// Its number, from 1.
        line: usize,
        /// What is wrong.
        reason: String,
    },
    /// The pipe failed.
    Io(io::Error),
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WireError::Malformed { line, reason } => write!(f, "line {line}: {reason}"),
            WireError::Io(e) => write!(f, "pipe: {e}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ClassIn {
    on_time_s: f64,
    deadline_s: f64,
    idempotency: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    keep_order: bool,
    #[serde(default)]
    window_s: f64,
    #[serde(default)]
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct PlanIn {
    #[serde(default)]
    cap_depth: f64,
    #[serde(default)]
    ceiling_rate: f64,
    #[serde(default)]
    guaranteed: f64,
    #[serde(default = "one")]
    proportion: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyIn {
    cold_units: f64,
    counts_others: bool,
    most_units: f64,
    unit_mean: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct LimitsIn {
    connect_timeout_s: f64,
    max_attempts: u32,
    max_retry_after_s: f64,
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct RulesIn {
    ask_within_s: f64,
    cold_from: f64,
    fall_s: f64,
    order_pause_s: f64,
    tip_multiple: f64,
    warm_up_s: f64,
    extra_floor: Option<f64>,
    further_ratio: Option<f64>,
    counted_over_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SetupIn {
    classes: Vec<ClassIn>,
    #[serde(default)]
    contracts: Vec<PlanIn>,
    #[serde(default)]
    family_info: FamilyIn,
    fleet_size: u32,
    #[serde(default)]
    limits: LimitsIn,
    #[serde(default)]
    membership_mode: String,
    #[serde(default)]
    quantum_s: f64,
    #[serde(default)]
    rules: RulesIn,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct LaunchIn {
    #[serde(default)]
    seed: u64,
    setup: SetupIn,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct MemberIn {
    node: String,
    #[serde(default)]
    az: u32,
    availability: u32,
    #[serde(default)]
    start_time_s: f64,
    #[serde(default)]
    pack: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ListIn {
    #[serde(default)]
    form: u32,
    #[serde(default)]
    members: Vec<MemberIn>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct JobIn {
    corr: u64,
    #[serde(default)]
    item: String,
    #[serde(default)]
    hosts: f64,
    #[serde(default = "one")]
    size_units: f64,
    grace_s: f64,
    #[serde(default = "nowhere")]
    lies_in: f64,
    #[serde(default)]
    grade: usize,
    #[serde(default)]
    share_id: String,
    #[serde(default)]
    lane: usize,
}

fn nowhere() -> f64 {
    -1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ReplyIn {
    corr: u64,
    #[serde(default)]
    duration_s: f64,
    #[serde(default)]
    delta: f64,
    #[serde(default, rename = "Final")]
    finished: bool,
    #[serde(default)]
    node: String,
    #[serde(default)]
    send_no: u32,
    rc: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CorrIn {
    corr: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FiredIn {
    token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TickIn {
    at_time_s: f64,
}

fn micros(seconds: f64) -> Micros {
    Micros((seconds * 1e6).round() as i64)
}

fn settings(s: SetupIn) -> Result<Settings, String> {
    let mut classes = Vec::new();
    for (i, c) in s.classes.iter().enumerate() {
        let group = match c.group.as_str() {
            "" | "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Shard,
            g => return Err(format!("Classes[{i}].Group: unknown value {g:?}")),
        };
        let repeats = match c.idempotency.as_str() {
            "idempotent" => Repeats::Safe,
            "deduplicated" => Repeats::Keyed(group),
            "at_most_once" => Repeats::Unsafe,
            k => return Err(format!("Classes[{i}].Idempotency: unknown value {k:?}")),
        };
        classes.push(Class {
            aim: micros(c.on_time_s),
            deadline: micros(c.deadline_s),
            worth: c.worth,
            repeats,
            repeat_window: micros(c.window_s),
            in_order: c.keep_order,
        });
    }
    let plans = s.contracts.iter().map(|p| Plan {
        reservation: p.guaranteed,
        weight: p.proportion,
        limit_rate: p.ceiling_rate,
        limit_burst: p.cap_depth,
    });
    let r = &s.rules;
    Ok(Settings {
        hosts: s.fleet_size,
        classes,
        plans: plans.collect(),
        most_units: s.family_info.most_units,
        mean_units: s.family_info.unit_mean,
        tells_elsewhere: s.family_info.counts_others,
        max_attempts: s.limits.max_attempts,
        max_wait_hint: if s.limits.retry_after { micros(s.limits.max_retry_after_s) } else { Micros(0) },
        connect_timeout: micros(s.limits.connect_timeout_s),
        tick: micros(s.quantum_s),
        list_mode: if s.membership_mode == "ask" { ListMode::Ask } else { ListMode::Push },
        ask_within: micros(r.ask_within_s),
        cold: ColdRule {
            units: s.family_info.cold_units,
            window: micros(r.fall_s),
            from: r.cold_from,
            warm_up: micros(r.warm_up_s),
            multiple: r.tip_multiple,
        },
        order_rest: micros(r.order_pause_s),
        retry_budget: r.counted_over_s.map(|w| RetryBudget {
            floor: r.extra_floor.unwrap_or(0.0),
            share: r.further_ratio.unwrap_or(0.0),
            window: micros(w),
        }),
    })
}

fn event(kind: &str, line: Value) -> Result<Option<Event>, String> {
    fn read<T: for<'a> Deserialize<'a>>(line: Value) -> Result<T, String> {
        serde_json::from_value(line).map_err(|e| e.to_string())
    }
    Ok(Some(match kind {
        "Topology" => {
            let list: ListIn = read(line)?;
            let mut entries = Vec::new();
            for m in list.members {
                let state = match m.availability {
                    1 => NodeState::Ready,
                    2 => NodeState::Draining,
                    0 => NodeState::Gone,
                    a => return Err(format!("Availability: unknown value {a}")),
                };
                entries.push(NodeEntry {
                    node: NodeId(m.node.into()),
                    state,
                    started: (m.start_time_s > 0.0).then(|| micros(m.start_time_s)),
                    shard: ShardId(m.pack),
                    zone: m.az,
                });
            }
            Event::List(match list.form {
                0 => ListNews::Failed,
                1 => ListNews::Delta(entries),
                2 => ListNews::Cached(entries),
                3 => ListNews::Full(entries),
                f => return Err(format!("Form: unknown value {f}")),
            })
        }
        "JobIn" => {
            let j: JobIn = read(line)?;
            Event::Arrived(Request {
                id: RequestId(j.corr),
                class: j.lane,
                plan: j.grade,
                volume: VolumeId(j.share_id.into()),
                key: (!j.item.is_empty()).then(|| KeyId(j.item.into())),
                shard: (j.lies_in >= 0.0).then_some(ShardId(j.lies_in as u32)),
                units: j.size_units,
                volume_hosts: j.hosts as u32,
                grace: micros(j.grace_s),
            })
        }
        "Reply" => {
            let r: ReplyIn = read(line)?;
            let ending = match r.rc {
                100 => Ending::Ok,
                301 => Ending::Error,
                302 => Ending::Full,
                303 => Ending::Timeout,
                304 => Ending::ConnectFailed,
                305 => Ending::Reset,
                306 => Ending::Cancelled,
                307 => Ending::Moot,
                rc => return Err(format!("Rc: unknown value {rc}")),
            };
            Event::Ended(Outcome {
                id: RequestId(r.corr),
                attempt: r.send_no,
                node: NodeId(r.node.into()),
                ending,
                took: micros(r.duration_s),
                finished: r.finished,
                elsewhere: r.delta,
            })
        }
        "ClientLeft" => Event::Left(RequestId(read::<CorrIn>(line)?.corr)),
        "Fired" => Event::Timer(read::<FiredIn>(line)?.token),
        _ => return Ok(None),
    }))
}

fn action(who: &str, action: &Action) -> Value {
    let s = |t: &Micros| t.0 as f64 / 1e6;
    match action {
        Action::Send { id, node, timeout, .. } => {
            let cap = timeout.as_ref().map(s);
            json!({"m": "Transmit", "Who": who, "Corr": id.0, "Node": &*node.0, "CapS": cap})
        }
        Action::Refuse { id, wait } => {
            json!({"m": "SayNo", "Who": who, "Corr": id.0, "NotBeforeForS": wait.as_ref().map(s)})
        }
        Action::Fail { id } => json!({"m": "GiveUp", "Who": who, "Corr": id.0}),
        Action::SetTimer { after, token } => {
            json!({"m": "Timer", "Who": who, "AfterS": s(after), "Token": token})
        }
        Action::Watch => json!({"m": "Watch", "Who": who, "Enable": true}),
    }
}

/// Reads batches until the input ends, and writes one reply for each.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut instances: BTreeMap<Arc<str>, Scheduler> = BTreeMap::new();
    let mut now = Micros(0);
    let mut reply = Vec::new();
    let mut actions = Vec::new();
    for (index, text) in input.lines().enumerate() {
        let malformed = |reason: String| WireError::Malformed { line: index + 1, reason };
        let text = text.map_err(|e| match e.kind() {
            io::ErrorKind::InvalidData => malformed(e.to_string()),
            _ => WireError::Io(e),
        })?;
        if text.trim().is_empty() {
            continue;
        }
        let line: Value = serde_json::from_str(&text).map_err(|e| malformed(e.to_string()))?;
        let kind = match line.get("m").and_then(Value::as_str) {
            Some(kind) => kind.to_owned(),
            None => return Err(malformed("no message name under \"m\"".into())),
        };
        match kind.as_str() {
            "Tick" => {
                let tick: TickIn = serde_json::from_value(line).map_err(|e| malformed(e.to_string()))?;
                now = micros(tick.at_time_s);
                continue;
            }
            "Flush" => {
                reply.extend_from_slice(b"{\"m\":\"Next\"}\n");
                output.write_all(&reply)?;
                output.flush()?;
                reply.clear();
                continue;
            }
            _ => {}
        }
        let who: Arc<str> = match line.get("Who").and_then(Value::as_str) {
            Some(who) => who.into(),
            None if matches!(
                kind.as_str(),
                "Launch" | "Halt" | "Topology" | "JobIn" | "Reply" | "ClientLeft" | "Fired"
            ) =>
            {
                return Err(malformed(format!("{kind} without \"Who\"")))
            }
            None => continue,
        };
        actions.clear();
        let outcome = match kind.as_str() {
            "Halt" => {
                instances.remove(&who);
                Ok(())
            }
            "Launch" => {
                let launch: LaunchIn = serde_json::from_value(line).map_err(|e| malformed(e.to_string()))?;
                let settings = settings(launch.setup).map_err(malformed)?;
                catch_unwind(|| Scheduler::new(settings, launch.seed)).and_then(|made| match made {
                    Ok(scheduler) => {
                        instances.insert(who.clone(), scheduler);
                        Ok(())
                    }
                    Err(e) => Err(Box::new(e.to_string())),
                })
            }
            _ => match event(&kind, line).map_err(malformed)? {
                Some(event) => match instances.get_mut(&who) {
                    Some(s) => catch_unwind(AssertUnwindSafe(|| s.handle(now, event, &mut actions))),
                    None => Ok(()),
                },
                None => Ok(()),
            },
        };
        if let Err(panic) = outcome {
            let words = panic.downcast_ref::<String>().cloned();
            let words = words.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
            let words = words.unwrap_or_else(|| "panic".into());
            actions.clear();
            serde_json::to_writer(&mut reply, &json!({"m": "Fatal", "Who": &*who, "Words": words}))
                .map_err(io::Error::from)?;
            reply.push(b'\n');
        }
        for a in &actions {
            serde_json::to_writer(&mut reply, &action(&who, a)).map_err(io::Error::from)?;
            reply.push(b'\n');
        }
    }
    Ok(())
}

/// Reads the object that an instance is given at its start; an error names the key.
pub fn read_settings(setup: Value) -> Result<Settings, String> {
    settings(serde_json::from_value(setup).map_err(|e| e.to_string())?)
}
