//! The thread of changes: what connections bring, what the log and the front say, and the time come in here, one after the
//! other; what the machines make of it goes out.
use super::connection::{Out, Shared};
use super::mail::{Decide, Letter, Query, State, Told};
use super::settings::{Role, Settings};
use crate::clock::Clock;
use crate::core::Inbox;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use cluster_types::{MemberId, Time};
use config_distribution::{Relay, RelayEvent, RelayMessage, Subscriber, SubscriberEvent, SubscriberMessage};
use futures_lite::future;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// The longest sleep.
const TURN: Duration = Duration::from_millis(500);
/// Reports older than this are those of a relay that is silent.
const SILENCE: Duration = Duration::from_secs(5);

/// What connections bring.
pub enum Came {
    /// Somebody has shown that it has the key.
    Joined { link: u64, name: MemberId, out: Out },
    /// A subscriber says something.
    Asked { link: u64, message: SubscriberMessage },
    /// A subscriber's connection has ended.
    Left { link: u64, name: Option<MemberId> },
    /// A call is up.
    Up { call: u64, out: Out },
    /// A relay says something.
    Told { call: u64, message: RelayMessage },
    /// A call has failed, or has ended after so many frames.
    Down { call: u64, carried: Option<u64> },
}

/// A call to a relay.
pub struct Calling {
    /// What makes it.
    pub task: Task<()>,
    /// Where frames are handed in, once it is up.
    pub out: Option<Out>,
}

/// The state of the thread.
pub struct Host {
    /// What it was told.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// Runs the connections.
    pub executor: Rc<LocalExecutor<'static>>,
    /// What connections share.
    pub shared: Shared,
    /// The machine that serves.
    pub relay: Option<Relay>,
    /// Its connections.
    pub links: BTreeMap<u64, Out>,
    /// Who is there on each.
    pub names: BTreeMap<u64, MemberId>,
    /// The machine that follows.
    pub subscriber: Option<Subscriber>,
    /// Its calls.
    pub calls: BTreeMap<u64, Calling>,
    /// Whom each is for.
    pub called: BTreeMap<u64, MemberId>,
    /// When a relay was last heard.
    pub heard: Time,
    /// Messages that were too long to be sent, and connections cut because too much waited.
    pub cut: u64,
    /// The front's mailbox.
    pub to_front: Sender<Decide>,
    /// The log's mailbox, where there is one.
    pub log_inbox: Option<SyncSender<Inbox>>,
    /// The disk's mailbox: the newest wins.
    pub keep: Option<Sender<Vec<u8>>>,
    /// Writes a line of the log.
    pub log: fn(&str),
}

enum Woken {
    Letter(Option<Letter>),
    Came(Option<Came>),
    Time,
}

impl Host {
    /// Runs until all other ends of the mailbox have gone.
    pub async fn run(mut self, letters: Receiver<Letter>, connections: Receiver<Came>) {
        self.begin();
        loop {
            let now = self.clock.now();
            let wakes = [
                self.relay.as_ref().map(|relay| relay.next_wakeup(now)),
                self.subscriber.as_ref().and_then(|s| s.next_wakeup()),
            ];
            let wake = wakes.into_iter().flatten().min().unwrap_or(now + TURN);
            // Guards the connections, which share this thread, against a deadline that lies behind.
            let wake = wake.clamp(now + Duration::from_millis(1), now + TURN);
            let time = async {
                Timer::at(self.clock.instant(wake)).await;
                Woken::Time
            };
            let letter = async { Woken::Letter(letters.recv().await.ok()) };
            let came = async { Woken::Came(connections.recv().await.ok()) };
            match future::or(future::or(letter, came), time).await {
                Woken::Letter(None) | Woken::Came(None) => return,
                Woken::Letter(Some(letter)) => self.letter(letter),
                Woken::Came(Some(came)) => self.came(came),
                Woken::Time => {
                    self.serve(RelayEvent::Tick);
                    self.follow(SubscriberEvent::Tick);
                }
            }
            // Guards the connections against a queue that never runs dry.
            future::yield_now().await;
        }
    }

    fn letter(&mut self, letter: Letter) {
        match letter {
            Letter::Catalogue(catalogue) => self.restored(*catalogue),
            Letter::Ordered(version, order) => {
                let changes = self.relay.as_mut().map(|r| r.catalogue_mut().apply(version, &order));
                self.serve(RelayEvent::CatalogueChanged(changes.unwrap_or_default()));
            }
            Letter::Reports(reports) => self.serve(RelayEvent::PeerReports(reports)),
            Letter::Decided(refused) => self.follow(SubscriberEvent::ApplyFinished { rejected: refused }),
            Letter::Ask(query, to) => drop(to.try_send(self.answer(query))),
            Letter::Rekey(keys) => {
                self.shared.sealer.borrow_mut().set_keys(keys.clone());
                self.shared.opener.borrow_mut().set_keys(keys);
                (self.log)("changes keys changed");
            }
        }
    }

    fn came(&mut self, came: Came) {
        match came {
            Came::Joined { link, name, out } => self.joined(link, &name, out),
            Came::Asked { link, message } => self.serve(RelayEvent::Message { connection: link, message }),
            Came::Left { link, name } => self.left(link, name),
            Came::Up { call, out } => self.up(call, out),
            Came::Told { call, message } => self.told(call, message),
            Came::Down { call, carried } => self.down(call, carried),
        }
    }

    fn answer(&self, query: Query) -> Told {
        let now = self.clock.now();
        match (query, &self.relay) {
            (Query::State, _) => Told::State(self.state(now)),
            (Query::Where(version), Some(relay)) => {
                Told::Where(relay.fleet_status().rollout(now, version, SILENCE))
            }
            (Query::Where(_), None) => {
                let relays = self.settings.relays.iter().map(|r| r.name.0.to_string());
                Told::Elsewhere(relays.collect())
            }
        }
    }

    fn state(&self, now: Time) -> State {
        let role = match self.settings.role {
            Role::Voter(_) => "voter",
            Role::Relay(_) => "relay",
            Role::Front(..) => "front",
        };
        let counts = &self.shared.counts;
        let mut state = State { role, ..State::default() };
        let bad = [("refused_frames", &counts.refused), ("unread_frames", &counts.unread)];
        state.counts.extend(bad.map(|(what, count)| (what, count.load(Ordering::Relaxed))));
        state.counts.push(("cut", self.cut));
        if let Some(relay) = &self.relay {
            let (catalogue, f) = (relay.catalogue(), relay.stats());
            (state.lineage, state.upto) = (catalogue.log_id(), catalogue.applied());
            let crowded = counts.crowded.load(Ordering::Relaxed);
            let (subscribed, keys) = (relay.subscriber_count() as u64, catalogue.size().keys as u64);
            let told = [("subscribed", subscribed), ("keys", keys), ("crowded", crowded)];
            state.counts.extend(told);
            state.counts.extend([
                ("admitted", f.accepted),
                ("later", f.deferred),
                ("changes", f.change_messages),
            ]);
            state.counts.extend([
                ("pieces", f.chunks),
                ("slow", f.reply_timeouts),
                ("behind", f.resnapshots),
            ]);
            state.counts.push(("bad", f.protocol_errors));
        }
        if let Some(subscriber) = &self.subscriber {
            let (held, f) = (subscriber.state(), subscriber.stats());
            (state.lineage, state.upto) = (held.log_id(), held.up_to());
            state.heard = Some(now.since(self.heard));
            state.follows = self.followed().and_then(|call| self.called.get(&call).cloned());
            state.refused = held.rejections();
            state.counts.extend([
                ("held", held.len() as u64),
                ("taken", f.applied),
                ("calls", f.connection_attempts),
            ]);
            state.counts.extend([
                ("refused", f.rejected),
                ("snapshots", f.snapshots),
                ("missed", f.checksum_mismatches),
            ]);
            state.counts.extend([("bad_messages", f.protocol_errors), ("foreign", f.foreign_relays)]);
        }
        state
    }
}
