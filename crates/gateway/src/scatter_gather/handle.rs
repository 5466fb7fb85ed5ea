//! Answers that are gathered from parts: what fronts hand over, and the actor's mailbox. Without a table `[[gather]]` in an
//! operator's file there is no handle, and the actor is never started.
use crate::client::response::EncodedResponse;
use async_channel::{Receiver, Sender};
use config::Config;
use dispatch::Request;
use scatter_gather::{Counters, HallNews, Policy};
use scheduler::interface::RequestId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;

/// The most letters that may wait for the actor; a client whose request finds no room is turned away.
const MAILBOX_CAPACITY: usize = 4096;

/// A client's request that is to be gathered.
pub struct Begin {
    /// Its number.
    pub id: RequestId,
    /// What it gathers.
    pub policy: Arc<Policy>,
    /// What the client asked for; parts take its class, plan, hosts and units.
    pub request: Request,
    /// Its place in the connection's order of answers.
    pub slot: u64,
    /// The connection's mailbox for gathered answers; it has room for all that it is owed.
    pub to: Sender<Placed>,
}

/// The actor's mail.
pub enum Letter {
    /// A client asks.
    Begin(Begin),
    /// That client has gone.
    Left(RequestId),
    /// Others' word on a hall.
    #[allow(dead_code, reason = "connected where fronts tell each other of halls")]
    Heard(HallNews),
}

/// Policies by volume and piece.
type Table = BTreeMap<Arc<str>, BTreeMap<u64, Arc<Policy>>>;

/// The actor, as others see it.
#[derive(Clone)]
pub struct Gathering {
    policies: Rc<Table>,
    letters: Sender<Letter>,
    pub(crate) counts: Rc<RefCell<Counters>>,
}

impl Gathering {
    /// A handle with the inbox for its actor; none where nothing is to be gathered.
    pub fn new(config: &Config) -> Option<(Gathering, Receiver<Letter>)> {
        let mut policies = Table::new();
        for policy in &config.gather_policies {
            if let Ok(piece) = u64::from_str_radix(&policy.piece, 16) {
                policies.entry(policy.volume.0.clone()).or_default().insert(piece, policy.clone());
            }
        }
        let (letters, inbox) = async_channel::bounded(MAILBOX_CAPACITY);
        let handle = Gathering { policies: Rc::new(policies), letters, counts: Rc::default() };
        (!config.gather_policies.is_empty()).then_some((handle, inbox))
    }

    /// What a client's request gathers; none where it is one of the core's. Bookings never gather.
    pub fn policy(&self, config: &Config, request: &Request) -> Option<Arc<Policy>> {
        let pieces = self.policies.get(&*request.volume)?;
        let policy = pieces.get(&u64::from_str_radix(&request.key, 16).ok()?)?;
        let class = config.classes.get(request.class)?;
        (!request.is_write && *class.name == *policy.class).then(|| policy.clone())
    }

    /// Hands a request over; false where there is no room for it.
    pub fn begin(&self, begin: Begin) -> bool {
        self.letters.try_send(Letter::Begin(begin)).is_ok()
    }

    /// The client of a request has gone.
    pub async fn left(&self, id: RequestId) {
        let _ = self.letters.send(Letter::Left(id)).await;
    }

    /// Others' word on a hall. Lost where the mailbox is full: the next word replaces it in any case.
    #[allow(dead_code, reason = "connected where fronts tell each other of halls")]
    pub fn heard(&self, news: HallNews) {
        let _ = self.letters.try_send(Letter::Heard(news));
    }

    /// The figures, one on a line.
    pub fn figures(&self, out: &mut String) {
        let counts = self.counts.borrow();
        for (what, count) in [
            ("whole", counts.whole),
            ("in_part", counts.in_part),
            ("failed", counts.failed),
            ("left", counts.left),
            ("turned_away", counts.full),
            ("late_parts", counts.late),
        ] {
            let _ = writeln!(out, "app.gathers.{what}={count}");
        }
    }
}

/// A gathered answer, and its place in the connection's order of answers.
pub type Placed = (u64, EncodedResponse);

/// A connection's side toward the actor.
pub struct Owed {
    /// The actor.
    pub gathering: Gathering,
    /// Where gathered answers come.
    pub answers: (Sender<Placed>, Receiver<Placed>),
}

impl Owed {
    /// For a connection that is owed so many answers at most.
    pub fn new(gathering: Gathering, most: usize) -> Owed {
        Owed { gathering, answers: async_channel::bounded(most) }
    }
}
