//! The types through which the decision module is told what happened and says what to do.
//!
//! Types only: whatever is decided from them is decided in `decide.rs`.
use std::fmt;
use std::sync::Arc;

/// A point in time or a span of it, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

/// A request, as the host numbers it; never used again for another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A storage node.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeId(pub Arc<str>);

/// A volume: the holder of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VolumeId(pub Arc<str>);

/// The piece of data that a request reads or writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub Arc<str>);

/// A shard: the part of the data that one node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u32);

/// What a class allows once an attempt may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeats {
    /// Running twice does no harm.
    Safe,
    /// Repeats are dropped inside a group of nodes, for a time.
    Keyed(Group),
    /// Must not run twice.
    #[default]
    Unsafe,
}

/// The nodes among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Any node.
    All,
    /// Nodes of the same zone.
    Zone,
    /// Nodes that hold the same shard.
    Shard,
}

/// A class of request.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// An answer within this time earns its full worth.
    pub aim: Micros,
    /// The time for which a client waits in all.
    pub deadline: Micros,
    /// What one request is worth.
    pub worth: f64,
    /// What may be repeated.
    pub repeats: Repeats,
    /// For keyed classes: how long repeats are dropped.
    pub repeat_window: Micros,
    /// Requests with the same key run one at a time, in order.
    pub in_order: bool,
}

/// A plan; its figures hold for each volume, over all hosts and nodes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Reservation, units a second.
    pub reservation: f64,
    /// Weight in the turns beyond the reservation.
    pub weight: f64,
    /// Limit, units a second; 0 for none.
    pub limit_rate: f64,
    /// The most units that the limit's store holds.
    pub limit_burst: f64,
}

/// How the node list reaches this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListMode {
    /// By itself.
    #[default]
    Push,
    /// Only when asked for.
    Ask,
}

/// The budget of further attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Further attempts allowed in any case.
    pub floor: f64,
    /// Further attempts for each request taken.
    pub share: f64,
    /// The sliding window in which both are counted.
    pub window: Micros,
}

/// The figures of the rule on cold nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdRule {
    /// Units in one window, from all hosts together, that a cold node always bears.
    pub units: f64,
    /// The window.
    pub window: Micros,
    /// The least share of its capacity with which a node starts.
    pub from: f64,
    /// The longest time that it takes to warm up.
    pub warm_up: Micros,
    /// It falls over when sent more than this multiple of what it can do for one window.
    pub multiple: f64,
}

/// Start-up settings.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of hosts.
    pub hosts: u32,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// The most units of one request.
    pub most_units: f64,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Answers carry the units served elsewhere.
    pub tells_elsewhere: bool,
    /// Attempts at most for one request.
    pub max_attempts: u32,
    /// The longest wait hint that clients honour; zero where they get none.
    pub max_wait_hint: Micros,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
    /// Least time between two batches of events.
    pub tick: Micros,
    /// How the list comes.
    pub list_mode: ListMode,
    /// Without a watch, the list must be asked for at least this often; zero for never.
    pub ask_within: Micros,
    /// The rule on cold nodes.
    pub cold: ColdRule,
    /// How long a key rests after an attempt that may still be running.
    pub order_rest: Micros,
    /// The budget of further attempts, where there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// A setting that cannot work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field of [`Settings`].
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the node list.
#[derive(Clone, Debug, Default)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its state.
    pub state: NodeState,
    /// When it last started, if not long ago.
    pub started: Option<Micros>,
    /// The shard that it holds.
    pub shard: ShardId,
    /// The zone that it is in.
    pub zone: u32,
}

/// News of the node list.
#[derive(Clone, Debug)]
pub enum ListNews {
    /// The whole list, as this host last held it.
    Cached(Vec<NodeEntry>),
    /// The whole list.
    Full(Vec<NodeEntry>),
    /// Changed entries.
    Delta(Vec<NodeEntry>),
    /// A call failed or the watch broke.
    Failed,
}

/// A request that arrived.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its volume's plan.
    pub plan: usize,
    /// Its volume.
    pub volume: VolumeId,
    /// The piece of data.
    pub key: Option<KeyId>,
    /// The shard that holds the data; none for a new object.
    pub shard: Option<ShardId>,
    /// Its size.
    pub units: f64,
    /// Hosts through which the volume's requests come.
    pub volume_hosts: u32,
    /// Time until the client gives this try up.
    pub grace: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// The node answered with an error; it may have run.
    Error,
    /// The node turned it away unseen.
    Full,
    /// No answer in time; it may have run or still be running.
    Timeout,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent.
    Moot,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The node.
    pub node: NodeId,
    /// How it ended.
    pub ending: Ending,
    /// Time since it was sent.
    pub took: Micros,
    /// The request has had its final answer.
    pub finished: bool,
    /// Units that the shard served for the volume through other hosts since its last answer to this one.
    pub elsewhere: f64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the node list.
    List(ListNews),
    /// A request arrived.
    Arrived(Request),
    /// An attempt ended.
    Ended(Outcome),
    /// The client left, or was answered otherwise; the request is over.
    Left(RequestId),
    /// A timer came due.
    Timer(u64),
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        node: NodeId,
        /// Time-out; none: until the client gives up.
        timeout: Option<Micros>,
        /// By when it has to begin; later it may not run.
        begin_by: Micros,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        wait: Option<Micros>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for a timer event.
    SetTimer {
        /// From now.
        after: Micros,
        /// Given back with the event.
        token: u64,
    },
    /// Ask for the list's changes from now on.
    Watch,
}
