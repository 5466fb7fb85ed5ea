//! The sessions' handle to the scatter-gather actor. Without a table `[[gather]]` in the configuration file there is no handle, and the
//! actor is not started.
use crate::client::response::EncodedResponse;
use async_channel::{Receiver, Sender};
use config::Config;
use dispatch::Request;
use scatter_gather::{Counters, Policy};
use scheduler::interface::RequestId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;

/// The capacity of the actor's mailbox; a client whose request finds it full is rejected.
const MAILBOX_CAPACITY: usize = 4096;

/// A client's request whose response is gathered from shards.
pub struct GatherRequest {
    /// Its number.
    pub id: RequestId,
    /// What is gathered, and what counts as complete.
    pub policy: Arc<Policy>,
    /// The client's request; shard requests take its class, plan, hosts and units.
    pub request: Request,
    /// The number of its slot in the session.
    pub slot: u64,
    /// The session's mailbox for gathered responses, which has room for all that it awaits.
    pub to: Sender<GatheredResponse>,
}

/// A message to the actor.
pub enum GatherMessage {
    /// A client's request.
    Begin(GatherRequest),
    /// The client of that request has disconnected.
    ClientLeft(RequestId),
}

/// Policies by volume and piece.
type PolicyTable = BTreeMap<Arc<str>, BTreeMap<u64, Arc<Policy>>>;

/// A handle to the actor.
#[derive(Clone)]
pub struct GatherHandle {
    policies: Rc<PolicyTable>,
    mailbox: Sender<GatherMessage>,
    /// The actor's counters, as it last published them.
    pub(crate) counters: Rc<RefCell<Counters>>,
}

impl GatherHandle {
    /// A handle, and the inbox for its actor; `None` where the configuration has no policies.
    pub fn new(config: &Config) -> Option<(GatherHandle, Receiver<GatherMessage>)> {
        let mut policies = PolicyTable::new();
        for policy in &config.gather_policies {
            if let Ok(piece) = u64::from_str_radix(&policy.piece, 16) {
                policies.entry(policy.volume.0.clone()).or_default().insert(piece, policy.clone());
            }
        }
        let (mailbox, inbox) = async_channel::bounded(MAILBOX_CAPACITY);
        let handle = GatherHandle { policies: Rc::new(policies), mailbox, counters: Rc::default() };
        (!config.gather_policies.is_empty()).then_some((handle, inbox))
    }

    /// The policy of a client's request; `None` where it is an ordinary one, as writes always are.
    pub fn policy(&self, config: &Config, request: &Request) -> Option<Arc<Policy>> {
        let pieces = self.policies.get(&*request.volume)?;
        let policy = pieces.get(&u64::from_str_radix(&request.key, 16).ok()?)?;
        let class = config.classes.get(request.class)?;
        (!request.is_write && *class.name == *policy.class).then(|| policy.clone())
    }

    /// Hands a request to the actor. Returns false where its mailbox is full.
    pub fn begin(&self, gather_request: GatherRequest) -> bool {
        self.mailbox.try_send(GatherMessage::Begin(gather_request)).is_ok()
    }

    /// Tells the actor that the client of a request has disconnected.
    pub async fn left(&self, id: RequestId) {
        // The mailbox is closed only at the end of the process.
        drop(self.mailbox.send(GatherMessage::ClientLeft(id)).await);
    }

    /// Appends the metrics, one `NAME=VALUE` a line.
    pub fn write_metrics(&self, text: &mut String) {
        let counters = self.counters.borrow();
        for (name, count) in [
            ("whole", counters.complete),
            ("in_part", counters.partial),
            ("failed", counters.failed),
            ("left", counters.client_left),
            ("turned_away", counters.rejected),
            ("late_parts", counters.late_responses),
        ] {
            // Writing to a string can't fail.
            let _ = writeln!(text, "app.gathers.{name}={count}");
        }
    }
}

/// A gathered response, with the number of its slot.
pub type GatheredResponse = (u64, EncodedResponse);

/// A session's side of the actor.
pub struct GatherClient {
    /// The actor.
    pub gathering: GatherHandle,
    /// Where gathered responses arrive.
    pub responses: (Sender<GatheredResponse>, Receiver<GatheredResponse>),
}

impl GatherClient {
    /// For a session that awaits `max_pending` responses at most.
    pub fn new(gathering: GatherHandle, max_pending: usize) -> GatherClient {
        GatherClient { gathering, responses: async_channel::bounded(max_pending) }
    }
}
