//! A relay whose subscribers and log are driven by the test.
use cluster_types::{Index, Time};
use config_distribution::{
    Catalogue, Class, CloseReason, Key, Put, Rejection, Relay, RelayAction, RelayEvent, RelayMessage, Scope,
    Settings, SubscriberMessage, Topic, WriteBatch,
};
use std::time::Duration;

pub struct TestRelay {
    pub inner: Relay,
    pub now: Time,
    /// The last written version.
    pub version: u64,
    /// All actions so far, except for reports.
    pub actions: Vec<RelayAction>,
}

/// A sent chunk of a snapshot.
#[derive(Debug, PartialEq, Eq)]
pub struct SentChunk {
    pub is_first: bool,
    pub is_last: bool,
    pub bytes: usize,
}

pub fn shard_scope(number: u32) -> Scope {
    Scope::of([Topic::Shard(number)])
}

impl TestRelay {
    pub fn new() -> TestRelay {
        TestRelay::with_settings(Settings::default())
    }

    pub fn with_settings(settings: Settings) -> TestRelay {
        let now = Time(1_000_000);
        let inner = Relay::new(settings, "relay-1", Catalogue::new(7), now);
        TestRelay { inner, now, version: 0, actions: vec![] }
    }

    /// Handles an event, and returns the actions except for reports.
    pub fn handle(&mut self, event: RelayEvent) -> Vec<RelayAction> {
        let mut actions = vec![];
        self.inner.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, RelayAction::ShareReports(_)));
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Connects a subscriber and requests changes after a version.
    pub fn subscribe(&mut self, connection: u64, scope: Scope, from: u64) -> Vec<RelayAction> {
        let name = format!("gateway-{connection}").as_str().into();
        self.handle(RelayEvent::Connected { connection, name });
        self.receive(connection, SubscriberMessage::Subscribe { log_id: 7, scope, from: Index(from) })
    }

    pub fn receive(&mut self, connection: u64, message: SubscriberMessage) -> Vec<RelayAction> {
        self.handle(RelayEvent::Message { connection, message })
    }

    pub fn acknowledge(&mut self, connection: u64, up_to: u64) -> Vec<RelayAction> {
        self.receive(connection, SubscriberMessage::Acknowledge { up_to: Index(up_to), rejected: vec![] })
    }

    /// Acknowledges a version in which the value of a key is rejected.
    pub fn acknowledge_rejecting(&mut self, connection: u64, up_to: u64, key: &Key) -> Vec<RelayAction> {
        let up_to = Index(up_to);
        let rejected = vec![Rejection { key: key.clone(), version: up_to, reason: "no".into() }];
        self.receive(connection, SubscriberMessage::Acknowledge { up_to, rejected })
    }

    pub fn write(
        &mut self,
        class: Class,
        topic: Topic,
        name: &str,
        value: Option<&[u8]>,
    ) -> Vec<RelayAction> {
        self.version += 1;
        let put = Put { class, key: Key::new(topic, name), value: value.map(Into::into) };
        let batch = WriteBatch { puts: vec![put] };
        let changes = self.inner.catalogue_mut().apply(Index(self.version), &batch);
        self.handle(RelayEvent::CatalogueChanged(changes))
    }

    /// Writes the backend of shard 1.
    pub fn write_primary(&mut self) -> Vec<RelayAction> {
        self.write(Class::Primary, Topic::Shard(1), "box", Some(b"box-1"))
    }

    /// Writes a setting of shard 1.
    pub fn write_setting(&mut self, name: &str, value: &[u8]) -> Vec<RelayAction> {
        self.write(Class::Configuration, Topic::Shard(1), name, Some(value))
    }

    pub fn wait(&mut self, millis: u64) -> Vec<RelayAction> {
        let (mut actions, until) = (vec![], self.now + Duration::from_millis(millis));
        while self.now < until {
            self.now = self.now + Duration::from_millis(10);
            actions.extend(self.handle(RelayEvent::Tick));
        }
        actions
    }
}

/// The messages sent to a connection.
fn messages(actions: &[RelayAction], to: u64) -> impl Iterator<Item = &RelayMessage> {
    actions.iter().filter_map(move |action| match action {
        RelayAction::Send { connection, message } if *connection == to => Some(message),
        _ => None,
    })
}

/// The messages of changes sent to a connection: `from`, `up_to` and the names of the keys.
pub fn sent_changes(actions: &[RelayAction], to: u64) -> Vec<(u64, u64, Vec<String>)> {
    let one = |message: &RelayMessage| match message {
        RelayMessage::Changes { from, up_to, changes } => {
            Some((from.0, up_to.0, changes.iter().map(|change| change.key.name.to_string()).collect()))
        }
        _ => None,
    };
    messages(actions, to).filter_map(one).collect()
}

/// The reason for closing a connection, if it was closed.
pub fn close_reason(actions: &[RelayAction], of: u64) -> Option<CloseReason> {
    actions.iter().find_map(|action| match action {
        RelayAction::Close { connection, reason } if *connection == of => Some(*reason),
        _ => None,
    })
}

/// The chunks sent to a connection.
pub fn sent_chunks(actions: &[RelayAction], to: u64) -> Vec<SentChunk> {
    let one = |message: &RelayMessage| match message {
        RelayMessage::SnapshotChunk { is_first, is_last, entries, .. } => {
            let bytes = entries.iter().map(|entry| entry.bytes()).sum();
            Some(SentChunk { is_first: *is_first, is_last: *is_last, bytes })
        }
        _ => None,
    };
    messages(actions, to).filter_map(one).collect()
}

/// The number of messages sent to a connection.
pub fn message_count(actions: &[RelayAction], to: u64) -> usize {
    messages(actions, to).count()
}
