//! Links between nodes: delays, order, partitions.
use super::{Node, SimEvent, World};
use backoff::Failure;
use cluster_types::Time;
use config_distribution::{RelayEvent, RelayMessage, SubscriberEvent, SubscriberMessage};
use rand::Rng;
use serde::Serialize;
use std::time::Duration;

/// The overhead of a signed frame.
const FRAME_BYTES: usize = 90;
/// The time after which a server detects that a link was broken silently.
const BROKEN_LINK_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection between a subscriber and a relay.
#[derive(Debug)]
pub struct Link {
    pub client: Node,
    pub client_incarnation: u32,
    /// The client's number for the connection.
    pub connection: u64,
    pub server: usize,
    pub server_incarnation: u32,
    pub is_open_at_client: bool,
    pub is_open_at_server: bool,
    /// Whether messages on it are lost.
    pub is_broken: bool,
    /// When the last message arrives, for each direction.
    pub last_at_server: Time,
    pub last_at_client: Time,
    pub bytes_to_client: usize,
    pub opened_at: Time,
}

/// The size of a message in its signed frame.
pub fn frame_size(message: &impl Serialize) -> usize {
    let size = postcard::serialize_with_flavor(message, postcard::ser_flavors::Size::default());
    size.unwrap() + FRAME_BYTES
}

impl World {
    pub fn delay(&mut self, from_zone: usize, to_zone: usize) -> Duration {
        let is_same_region = self.region(from_zone) == self.region(to_zone);
        let base_us = if from_zone == to_zone {
            1_000
        } else if is_same_region {
            5_000
        } else {
            80_000
        };
        Duration::from_micros(base_us + self.random.random_range(0..base_us / 2))
    }

    pub fn is_partitioned(&self, from_zone: usize, to_zone: usize) -> bool {
        let (from, to) = (self.region(from_zone), self.region(to_zone));
        self.partitions.contains(&(from.min(to), from.max(to)))
    }

    pub fn connect(&mut self, client: Node, connection: u64, server: usize) {
        self.link_count += 1;
        let link = self.link_count;
        let (from_zone, to_zone) = (self.zone(client), self.machines[server].zone);
        let round_trip = self.delay(from_zone, to_zone) * 2;
        let machine = &self.machines[server];
        let is_broken = self.is_partitioned(from_zone, to_zone) || machine.is_unreachable;
        let opened = Link {
            client,
            client_incarnation: self.incarnation(client),
            connection,
            server,
            server_incarnation: machine.incarnation,
            is_open_at_client: true,
            is_open_at_server: true,
            is_broken,
            last_at_server: self.now,
            last_at_client: self.now,
            bytes_to_client: 0,
            opened_at: self.now,
        };
        let answer = if machine.is_up {
            SimEvent::LinkOpened { link }
        } else {
            SimEvent::ClosedAtClient { link, failure: Failure::Down }
        };
        self.connections.insert((client, connection), link);
        if !is_broken {
            self.schedule_after(round_trip, answer);
        }
        self.links.insert(link, opened);
    }

    /// The arrival time of a message sent now; none if it is lost.
    fn arrival(&mut self, link: u64, is_to_server: bool) -> Option<Time> {
        let sent = self.links.get(&link)?;
        let (from_zone, to_zone) = (self.zone(sent.client), self.machines[sent.server].zone);
        if self.is_partitioned(from_zone, to_zone) {
            self.break_silently(link);
        }
        let arrival = self.now + self.delay(from_zone, to_zone);
        let link = self.links.get_mut(&link).filter(|link| !link.is_broken)?;
        let last = if is_to_server { &mut link.last_at_server } else { &mut link.last_at_client };
        *last = arrival.max(*last);
        Some(*last)
    }

    /// Breaks a link: nothing more arrives on it, and its ends detect that by their timeouts.
    pub fn break_silently(&mut self, link: u64) {
        let Some(broken) = self.links.get_mut(&link).filter(|link| !link.is_broken) else { return };
        broken.is_broken = true;
        self.schedule_after(BROKEN_LINK_TIMEOUT, SimEvent::ClosedAtServer { link });
    }

    pub fn send_to_server(&mut self, client: Node, connection: u64, message: SubscriberMessage) {
        let Some(link) = self.connections.get(&(client, connection)).copied() else { return };
        if let Some(at) = self.arrival(link, true) {
            self.measurements.record_upstream(frame_size(&message));
            self.schedule(at, SimEvent::ToServer { link, message });
        }
    }

    pub fn send_to_client(&mut self, link: u64, message: RelayMessage) {
        let bytes = frame_size(&message);
        let ends = self.links.get(&link).map(|link| (link.server, link.client));
        self.measurements.record_downstream(self.now, ends, bytes);
        if let Some(at) = self.arrival(link, false) {
            if let Some(sent) = self.links.get_mut(&link) {
                sent.bytes_to_client += bytes;
                if let Node::Gateway(_) = sent.client {
                    self.measurements.record_in_flight(sent.bytes_to_client);
                }
            }
            self.schedule(at, SimEvent::ToClient { link, bytes, message });
        }
    }

    /// Closes a connection from the client, and informs the server.
    pub fn close_from_client(&mut self, client: Node, connection: u64) {
        let Some(link) = self.connections.remove(&(client, connection)) else { return };
        if let Some(closed) = self.links.get_mut(&link) {
            closed.is_open_at_client = false;
        }
        if let Some(at) = self.arrival(link, true) {
            self.schedule(at, SimEvent::ClosedAtServer { link });
        }
    }

    /// Closes a connection from the server, after the messages sent before have arrived.
    pub fn close_from_server(&mut self, link: u64) {
        if let Some(closed) = self.links.get_mut(&link) {
            closed.is_open_at_server = false;
        }
        if let Some(at) = self.arrival(link, false) {
            self.schedule(at, SimEvent::ClosedAtClient { link, failure: Failure::Ended });
        }
    }

    /// Drops all links of a crashed node: silently, or closed so that the other ends are informed.
    pub fn drop_links(&mut self, node: Node, is_silent: bool) {
        let is_of_node = |link: &Link| link.client == node || Node::Machine(link.server) == node;
        let of_node = self.links.iter().filter(|(_, link)| is_of_node(link));
        let links: Vec<u64> = of_node.map(|(number, _)| *number).collect();
        for link in links {
            let Some(Link { client, connection, .. }) = self.links.get(&link) else { continue };
            let (client, connection) = (*client, *connection);
            if is_silent {
                self.break_silently(link);
            } else if client == node {
                self.close_from_client(client, connection);
            } else {
                self.close_from_server(link);
            }
            if client == node {
                self.connections.remove(&(client, connection));
            }
        }
    }

    pub fn link_opened(&mut self, link: u64) {
        let is_usable = |link: &&Link| link.is_open_at_client && !link.is_broken;
        let Some(opened) = self.links.get(&link).filter(is_usable) else { return };
        let (client, connection, server) = (opened.client, opened.connection, opened.server);
        let name = match client {
            Node::Machine(number) => self.machines[number].name.clone(),
            Node::Gateway(number) => format!("gateway-{number}").as_str().into(),
        };
        let machine = &self.machines[server];
        if !machine.is_up || machine.incarnation != opened.server_incarnation {
            let closed = SimEvent::ClosedAtClient { link, failure: Failure::Down };
            return self.schedule_after(Duration::ZERO, closed);
        }
        self.relay_event(server, RelayEvent::Connected { connection: link, name });
        self.subscriber_event(client, SubscriberEvent::Connected { connection });
    }

    pub fn closed_at_client(&mut self, link: u64, failure: Failure) {
        let Some(closed) = self.links.get(&link).filter(|link| link.is_open_at_client) else { return };
        let Link { client, client_incarnation, connection, .. } = *closed;
        self.links.remove(&link);
        self.connections.remove(&(client, connection));
        if self.incarnation(client) == client_incarnation {
            self.subscriber_event(client, SubscriberEvent::Disconnected { connection, failure });
        }
    }

    pub fn closed_at_server(&mut self, link: u64) {
        let Some(closed) = self.links.get(&link) else { return };
        let Link { server, server_incarnation, is_open_at_client, is_open_at_server, .. } = *closed;
        if !is_open_at_client {
            self.links.remove(&link);
        }
        if self.is_served(server, server_incarnation) && is_open_at_server {
            self.relay_event(server, RelayEvent::Disconnected { connection: link });
        }
    }

    pub fn received_by_server(&mut self, link: u64, message: SubscriberMessage) {
        let Some(received) = self.links.get(&link).filter(|link| link.is_open_at_server) else { return };
        let Link { server, server_incarnation, .. } = *received;
        if self.is_served(server, server_incarnation) {
            self.relay_event(server, RelayEvent::Message { connection: link, message });
        }
    }

    /// Whether a machine is up, in the incarnation to which a link was opened.
    fn is_served(&self, server: usize, incarnation: u32) -> bool {
        self.machines[server].is_up && self.machines[server].incarnation == incarnation
    }

    pub fn received_by_client(&mut self, link: u64, bytes: usize, message: RelayMessage) {
        let Some(received) = self.links.get_mut(&link) else { return };
        received.bytes_to_client = received.bytes_to_client.saturating_sub(bytes);
        let Link { client, client_incarnation, connection, is_open_at_client, .. } = *received;
        if is_open_at_client && self.incarnation(client) == client_incarnation {
            self.subscriber_event(client, SubscriberEvent::Message { connection, message });
        }
    }
}
