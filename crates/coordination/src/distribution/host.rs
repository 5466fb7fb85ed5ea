//! The thread of distributed configuration, which handles events of connections, the replicated log and the gateway sequentially.
use crate::clock::Clock;
use crate::distribution::connection::ConnectionContext;
use crate::distribution::connection_event::ConnectionEvent;
use crate::distribution::mailbox::HostMessage;
use crate::distribution::outbox::Outbox;
use crate::distribution::query::{ConfigUpdate, Query, QueryResponse};
use crate::distribution::settings::Settings;
use crate::log_thread::LogMessage;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use cluster_types::{MemberId, Time};
use config_distribution::{Relay, RelayEvent, Subscriber, SubscriberEvent};
use futures_lite::future;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// The minimum wait, so that a deadline in the past does not starve the connections, which run on the same thread.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// The maximum wait.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// A relay whose report is older than this counts as silent.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// A subscriber's connection to this relay.
pub(crate) struct SubscriberConnection {
    pub(crate) name: MemberId,
    /// `None` once this side has closed it.
    pub(crate) outbox: Option<Outbox>,
}

/// A connection of this subscriber to a relay.
pub(crate) struct RelayConnection {
    pub(crate) relay: MemberId,
    /// The task that runs the connection.
    pub(crate) task: Task<()>,
    /// `None` until it is established, and after this side has closed it.
    pub(crate) outbox: Option<Outbox>,
}

/// The state of the thread.
pub(crate) struct Host {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) context: ConnectionContext,
    /// The state machine that serves subscribers.
    pub(crate) relay: Option<Relay>,
    pub(crate) subscriber_connections: BTreeMap<u64, SubscriberConnection>,
    /// The state machine that follows a relay.
    pub(crate) subscriber: Option<Subscriber>,
    pub(crate) relay_connections: BTreeMap<u64, RelayConnection>,
    /// When the last message of a relay was received.
    pub(crate) relay_message_at: Time,
    /// How often a message could not be queued for sending, because it was too long or the outbox full; the connection is then
    /// closed.
    pub(crate) outbox_overflows: u64,
    pub(crate) gateway: Sender<ConfigUpdate>,
    /// The mailbox of the log thread, if this member has one.
    pub(crate) log_thread: Option<SyncSender<LogMessage>>,
    /// The mailbox of the thread that saves the configuration; it holds only the newest one.
    pub(crate) saver: Option<Sender<Vec<u8>>>,
    /// Writes a log line.
    pub(crate) log: fn(&str),
}

/// The reason why a wait ended.
enum Wakeup {
    Message(Option<HostMessage>),
    Connection(Option<ConnectionEvent>),
    Timer,
}

impl Host {
    /// Runs until all other ends of the mailbox are dropped.
    pub(crate) async fn run(
        mut self,
        mailbox: Receiver<HostMessage>,
        connections: Receiver<ConnectionEvent>,
    ) {
        self.apply_saved_config();
        loop {
            match self.wait(&mailbox, &connections).await {
                Wakeup::Message(None) | Wakeup::Connection(None) => return,
                Wakeup::Message(Some(message)) => self.handle_message(message),
                Wakeup::Connection(Some(event)) => self.handle_connection_event(event),
                Wakeup::Timer => {
                    self.handle_relay_event(RelayEvent::Tick);
                    self.handle_subscriber_event(SubscriberEvent::Tick);
                }
            }
            // Lets the connections run even if the mailboxes are never empty.
            future::yield_now().await;
        }
    }

    async fn wait(&self, mailbox: &Receiver<HostMessage>, connections: &Receiver<ConnectionEvent>) -> Wakeup {
        let now = self.clock.now();
        let deadlines = [
            self.relay.as_ref().map(|relay| relay.next_wakeup(now)),
            self.subscriber.as_ref().and_then(Subscriber::next_wakeup),
        ];
        let deadline = deadlines.into_iter().flatten().min().unwrap_or(now + MAX_WAIT);
        let deadline = deadline.clamp(now + MIN_WAIT, now + MAX_WAIT);
        let timer = async {
            Timer::at(self.clock.instant(deadline)).await;
            Wakeup::Timer
        };
        let message = async { Wakeup::Message(mailbox.recv().await.ok()) };
        let connection = async { Wakeup::Connection(connections.recv().await.ok()) };
        future::or(future::or(message, connection), timer).await
    }

    fn handle_message(&mut self, message: HostMessage) {
        match message {
            HostMessage::Catalogue(catalogue) => self.replace_catalogue(*catalogue),
            HostMessage::BatchApplied { version, batch } => {
                let relay = self.relay.as_mut();
                let changes = relay.map(|relay| relay.catalogue_mut().apply(version, &batch));
                self.handle_relay_event(RelayEvent::CatalogueChanged(changes.unwrap_or_default()));
            }
            HostMessage::Reports(reports) => self.handle_relay_event(RelayEvent::PeerReports(reports)),
            HostMessage::ApplyFinished { rejected } => {
                self.handle_subscriber_event(SubscriberEvent::ApplyFinished { rejected });
            }
            HostMessage::Query { query, respond_to } => {
                // This fails only if the caller has stopped waiting.
                drop(respond_to.try_send(self.answer(query)));
            }
            HostMessage::SetKeys(keys) => {
                self.context.sealer.borrow_mut().set_keys(keys.clone());
                self.context.opener.borrow_mut().set_keys(keys);
                (self.log)("changes keys changed");
            }
        }
    }

    fn handle_connection_event(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::SubscriberConnected { connection_id, name, outbox } => {
                self.add_subscriber_connection(connection_id, name, outbox)
            }
            ConnectionEvent::FromSubscriber { connection_id, message } => {
                self.handle_relay_event(RelayEvent::Message { connection: connection_id, message });
            }
            ConnectionEvent::SubscriberDisconnected { connection_id, name } => {
                self.remove_subscriber_connection(connection_id, name)
            }
            ConnectionEvent::RelayConnected { connection_id, outbox } => {
                self.note_relay_connected(connection_id, outbox)
            }
            ConnectionEvent::FromRelay { connection_id, message } => {
                self.handle_relay_message(connection_id, message)
            }
            ConnectionEvent::RelayDisconnected { connection_id, frames } => {
                self.note_relay_disconnected(connection_id, frames)
            }
        }
    }

    fn answer(&self, query: Query) -> QueryResponse {
        let now = self.clock.now();
        match (query, &self.relay) {
            (Query::Status, _) => QueryResponse::Status(self.status(now)),
            (Query::Rollout(version), Some(relay)) => {
                QueryResponse::Rollout(relay.fleet_status().rollout(now, version, REPORT_TIMEOUT))
            }
            (Query::Rollout(_), None) => {
                let relays = self.settings.relays.iter().map(|relay| relay.name.0.to_string());
                QueryResponse::AskRelays(relays.collect())
            }
        }
    }
}
