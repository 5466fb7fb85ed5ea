//! Links between nodes: delays, order, cuts.
use super::{Ev, Node, World};
use backoff::Failure;
use cluster_types::Time;
use config_distribution::{FromRelay, ToRelay};
use rand::Rng;
use serde::Serialize;
use std::time::Duration;

/// What a sealed frame takes beside the message.
const FRAME: usize = 90;
/// So long after a link was lost its server is told.
const LOST: Duration = Duration::from_secs(10);

#[derive(Debug)]
pub struct Link {
    pub client: Node,
    pub client_life: u32,
    pub call: u64,
    pub server: usize,
    pub server_life: u32,
    /// Open at the client, and at the server.
    pub open: (bool, bool),
    /// Something was lost on it: nothing more arrives.
    pub dead: bool,
    pub last: (Time, Time),
    /// Bytes on their way to the client.
    pub flight: usize,
    pub born: Time,
}

/// The bytes of a message in its sealed frame.
pub fn size(message: &impl Serialize) -> usize {
    let size = postcard::serialize_with_flavor(message, postcard::ser_flavors::Size::default());
    size.unwrap() + FRAME
}

impl World {
    pub fn delay(&mut self, a: usize, b: usize) -> Duration {
        let (zones, regions) = (a == b, self.region(a) == self.region(b));
        let base = match (zones, regions) {
            (true, _) => 1_000,
            (_, true) => 5_000,
            _ => 80_000,
        };
        Duration::from_micros(base + self.random.random_range(0..base / 2))
    }

    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.region(a), self.region(b));
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    pub fn connect(&mut self, client: Node, call: u64, server: usize) {
        self.links_made += 1;
        let id = self.links_made;
        let (from, to) = (self.zone(client), self.machines[server].zone);
        let delay = self.delay(from, to) * 2;
        self.calls.insert((client, call), id);
        let link = Link {
            client,
            client_life: self.life(client),
            call,
            server,
            server_life: self.machines[server].life,
            open: (true, true),
            dead: self.is_cut(from, to) || self.machines[server].gone,
            last: (self.now, self.now),
            flight: 0,
            born: self.now,
        };
        if !link.dead {
            let up = self.machines[server].up;
            self.after(
                delay,
                if up { Ev::Up { link: id } } else { Ev::Ended { link: id, failure: Failure::Down } },
            );
        }
        self.links.insert(id, link);
    }

    /// When what is sent now arrives; none where it is lost.
    fn arrives(&mut self, id: u64, up: bool) -> Option<Time> {
        let link = self.links.get(&id)?;
        let (from, to) = (self.zone(link.client), self.machines[link.server].zone);
        if self.is_cut(from, to) {
            self.lose(id);
        }
        let delay = self.delay(from, to);
        let at = self.now + delay;
        let link = self.links.get_mut(&id).filter(|l| !l.dead)?;
        let last = if up { &mut link.last.0 } else { &mut link.last.1 };
        *last = at.max(*last);
        Some(*last)
    }

    /// Nothing arrives on it any more; its ends find out by themselves.
    pub fn lose(&mut self, id: u64) {
        let Some(link) = self.links.get_mut(&id).filter(|l| !l.dead) else { return };
        link.dead = true;
        self.after(LOST, Ev::Left { link: id });
    }

    pub fn ask(&mut self, client: Node, call: u64, message: ToRelay) {
        let Some(id) = self.calls.get(&(client, call)).copied() else { return };
        if let Some(at) = self.arrives(id, true) {
            self.seen.up += 1;
            self.seen.bytes_up += size(&message) as u64;
            self.at(at, Ev::Ask { link: id, message });
        }
    }

    pub fn tell(&mut self, id: u64, message: FromRelay) {
        let bytes = size(&message);
        self.seen.told(self.now, self.links.get(&id).map(|l| (l.server, l.client)), bytes, &message);
        if let Some(at) = self.arrives(id, false) {
            if let Some(link) = self.links.get_mut(&id) {
                link.flight += bytes;
                self.seen.flight = match link.client {
                    Node::Front(_) => self.seen.flight.max(link.flight),
                    Node::Machine(_) => self.seen.flight,
                };
            }
            self.at(at, Ev::Tell { link: id, bytes, message });
        }
    }

    /// The client closes: the server hears of it.
    pub fn hang_up(&mut self, client: Node, call: u64) {
        let Some(id) = self.calls.remove(&(client, call)) else { return };
        if let Some(link) = self.links.get_mut(&id) {
            link.open.0 = false;
        }
        if let Some(at) = self.arrives(id, true) {
            self.at(at, Ev::Left { link: id });
        }
    }

    /// The server closes, once what was sent is out.
    pub fn cut_off(&mut self, id: u64) {
        if let Some(link) = self.links.get_mut(&id) {
            link.open.1 = false;
        }
        if let Some(at) = self.arrives(id, false) {
            self.at(at, Ev::Ended { link: id, failure: Failure::Ended });
        }
    }

    /// All links of a node that has died; in silence, or with an end that is heard.
    pub fn drop_links(&mut self, node: Node, silent: bool) {
        let of = |l: &Link| l.client == node || Node::Machine(l.server) == node;
        let ids: Vec<u64> = self.links.iter().filter(|(_, l)| of(l)).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(link) = self.links.get(&id) else { continue };
            let (client, call) = (link.client, link.call);
            if silent {
                self.lose(id);
            } else if client == node {
                self.hang_up(client, call);
            } else {
                self.cut_off(id);
            }
            if client == node {
                self.calls.remove(&(client, call));
            }
        }
    }
}
