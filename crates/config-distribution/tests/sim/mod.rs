//! A simulated fleet: voters that apply one log, relays that follow them, and gateways; with links, partitions, stalls
//! and crashes.
// The example uses only some of the items.
#![allow(dead_code, clippy::unwrap_used)]
pub mod build;
pub mod defect;
pub mod gateway;
pub mod invariants;
pub mod log;
pub mod machine;
pub mod measurements;
pub mod network;
pub mod schedule;

use backoff::Failure;
use cluster_types::Time;
use config_distribution::{
    RelayEvent, RelayMessage, Report, Settings, SubscriberEvent, SubscriberMessage, WriteBatch,
};
use defect::Defect;
use gateway::{ApplyRequest, Gateway};
use log::Log;
use machine::Machine;
use measurements::Measurements;
use network::Link;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Machine(usize),
    Gateway(usize),
}

/// An event of the simulation.
pub enum SimEvent {
    /// A wakeup that a node requested.
    Wakeup(Node),
    /// Log entries have reached a voter.
    ApplyLog { machine: usize },
    /// A link is open.
    LinkOpened { link: u64 },
    /// The client learns that a link is closed.
    ClosedAtClient { link: u64, failure: Failure },
    /// The server learns that a link is closed.
    ClosedAtServer { link: u64 },
    /// A message has reached a server.
    ToServer { link: u64, message: SubscriberMessage },
    /// A message has reached a client.
    ToClient { link: u64, bytes: usize, message: RelayMessage },
    /// The host of a gateway has validated values.
    HostValidates(ApplyRequest),
    /// The host of a gateway applies values that it has already acknowledged.
    HostAppliesLate(ApplyRequest),
    /// Reports of other voters have reached a voter.
    PeerReports { machine: usize, reports: Vec<Report> },
}

pub struct World {
    pub now: Time,
    pub random: SmallRng,
    queue: BTreeMap<(Time, u64), SimEvent>,
    scheduled_count: u64,
    pub settings: Settings,
    pub voter_count: usize,
    pub region_count: usize,
    /// The names of all machines.
    pub names: Vec<Arc<str>>,
    /// All machines, voters first.
    pub machines: Vec<Machine>,
    pub gateways: Vec<Gateway>,
    pub links: BTreeMap<u64, Link>,
    pub link_count: u64,
    /// The link of each client's connection.
    pub connections: BTreeMap<(Node, u64), u64>,
    /// Pairs of regions that can't reach each other.
    pub partitions: BTreeSet<(usize, usize)>,
    pub log: Log,
    pub measurements: Measurements,
    /// Violated invariants.
    pub violations: Vec<String>,
    pub defect: Option<Defect>,
    /// Whether relays with a defect lose changes at present.
    pub is_losing_changes: bool,
    /// Whether the processing time of relays and gateways is measured.
    pub is_timed: bool,
    /// Whether invariants are checked whose cost grows with the fleet.
    pub checks_fleet_invariants: bool,
}

impl World {
    pub fn schedule(&mut self, at: Time, event: SimEvent) {
        self.scheduled_count += 1;
        self.queue.insert((at.max(self.now), self.scheduled_count), event);
    }

    pub fn schedule_after(&mut self, span: Duration, event: SimEvent) {
        self.schedule(self.now + span, event);
    }

    pub fn region(&self, zone: usize) -> usize {
        zone % self.region_count
    }

    pub fn zone(&self, node: Node) -> usize {
        match node {
            Node::Machine(number) => self.machines[number].zone,
            Node::Gateway(number) => self.gateways[number].zone,
        }
    }

    pub fn incarnation(&self, node: Node) -> u32 {
        match node {
            Node::Machine(number) => self.machines[number].incarnation,
            Node::Gateway(number) => self.gateways[number].incarnation,
        }
    }

    /// Appends a batch to the log; it reaches the voters later.
    pub fn write(&mut self, batch: WriteBatch) {
        self.log.append(self.now, batch);
        for machine in 0..self.voter_count {
            self.schedule_after(self.machines[machine].apply_delay, SimEvent::ApplyLog { machine });
        }
    }

    /// Processes events until a point in time.
    pub fn run(&mut self, until: Time) {
        while let Some((at, event)) = self.pop(until) {
            self.now = at;
            match self.node_of(&event).map(|node| self.stalled_until(node)) {
                Some(stalled_until) if stalled_until > at => self.schedule(stalled_until, event),
                _ => self.step(event),
            }
        }
        self.now = until;
    }

    fn pop(&mut self, until: Time) -> Option<(Time, SimEvent)> {
        let next = self.queue.first_entry().filter(|entry| entry.key().0 <= until)?;
        let ((at, _), event) = next.remove_entry();
        Some((at, event))
    }

    fn stalled_until(&self, node: Node) -> Time {
        match node {
            Node::Machine(number) => self.machines[number].stalled_until,
            Node::Gateway(number) => self.gateways[number].stalled_until,
        }
    }

    /// The node at which an event takes place.
    fn node_of(&self, event: &SimEvent) -> Option<Node> {
        match event {
            SimEvent::Wakeup(node) => Some(*node),
            SimEvent::ApplyLog { machine } | SimEvent::PeerReports { machine, .. } => {
                Some(Node::Machine(*machine))
            }
            SimEvent::LinkOpened { link }
            | SimEvent::ClosedAtClient { link, .. }
            | SimEvent::ToClient { link, .. } => self.links.get(link).map(|link| link.client),
            SimEvent::ClosedAtServer { link } | SimEvent::ToServer { link, .. } => {
                self.links.get(link).map(|link| Node::Machine(link.server))
            }
            SimEvent::HostValidates(request) | SimEvent::HostAppliesLate(request) => {
                Some(Node::Gateway(request.gateway))
            }
        }
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Wakeup(node) => self.wake(node),
            SimEvent::ApplyLog { machine } if self.machines[machine].is_up => self.apply_log(machine),
            SimEvent::PeerReports { machine, reports } if self.machines[machine].is_up => {
                self.relay_event(machine, RelayEvent::PeerReports(reports));
            }
            SimEvent::ApplyLog { .. } | SimEvent::PeerReports { .. } => {}
            SimEvent::HostValidates(request) => self.host_validates(request),
            SimEvent::HostAppliesLate(request) => {
                if self.gateways[request.gateway].incarnation == request.incarnation {
                    self.host_applies(request);
                }
            }
            SimEvent::LinkOpened { link } => self.link_opened(link),
            SimEvent::ClosedAtClient { link, failure } => self.closed_at_client(link, failure),
            SimEvent::ClosedAtServer { link } => self.closed_at_server(link),
            SimEvent::ToServer { link, message } => self.received_by_server(link, message),
            SimEvent::ToClient { link, bytes, message } => self.received_by_client(link, bytes, message),
        }
    }

    fn wake(&mut self, node: Node) {
        match node {
            Node::Machine(number) => {
                let machine = &self.machines[number];
                if machine.is_up && machine.wakeup_at <= self.now {
                    self.relay_event(number, RelayEvent::Tick);
                    self.follower_event(number, SubscriberEvent::Tick);
                }
            }
            Node::Gateway(number) => {
                let gateway = &self.gateways[number];
                if gateway.is_up && gateway.wakeup_at <= self.now {
                    self.gateway_event(number, SubscriberEvent::Tick);
                }
            }
        }
    }

    /// Passes an event to the subscriber of a node that is up.
    pub fn subscriber_event(&mut self, node: Node, event: SubscriberEvent) {
        match node {
            Node::Machine(number) if self.machines[number].is_up => self.follower_event(number, event),
            Node::Gateway(number) if self.gateways[number].is_up => self.gateway_event(number, event),
            Node::Machine(_) | Node::Gateway(_) => {}
        }
    }
}
