//! Network links between named components. TCP and UDP pass through them, and each direction can be cut,
//! delayed, slowed or made lossy by itself. A cut direction gives no sign of it: data that is sent waits
//! until the link heals, as if the kernel retransmitted it, and new connections are not established.
use crate::runtime::{lock, Clock, Spawner};
use crate::{tcp_forwarder, udp_forwarder};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Condition of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// Nothing passes.
    pub is_cut: bool,
    /// Delay of everything that passes.
    pub delay: Duration,
    /// Limit on the throughput in bytes per second.
    pub max_bytes_s: Option<u32>,
    /// Share of datagrams that is lost; has no effect on TCP.
    pub loss_share: f64,
}

/// A time in which a direction was impaired; `until` is none while it still is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Impairment {
    /// The sender.
    pub from: String,
    /// The receiver.
    pub to: String,
    /// Start of the impairment.
    pub since: Duration,
    /// End of the impairment.
    pub until: Option<Duration>,
}

/// What has passed through one direction.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes of TCP connections.
    pub bytes: AtomicU64,
    /// Datagrams.
    pub datagrams: AtomicU64,
    /// Datagrams that were dropped because of a cut or a loss.
    pub lost: AtomicU64,
}

/// One direction of the links of a pair.
#[derive(Debug, Default)]
pub(crate) struct Direction {
    condition: Mutex<Condition>,
    pub(crate) traffic: Traffic,
}

impl Direction {
    pub(crate) fn condition(&self) -> Condition {
        *lock(&self.condition)
    }
}

/// Two components and all links between them, ordered by name.
pub(crate) struct Pair {
    pub(crate) directions: [Direction; 2],
    /// Whether new connections are refused immediately.
    pub(crate) refused: Mutex<bool>,
    /// Wakes the listeners when a condition has changed.
    wakers: Mutex<Vec<async_channel::Sender<()>>>,
    /// Closing it resets the established connections.
    pub(crate) reset_channel: Mutex<(async_channel::Sender<()>, async_channel::Receiver<()>)>,
}

impl Pair {
    /// Whether a new connection can be established, which takes both directions.
    pub(crate) fn is_open(&self) -> bool {
        !self.directions.iter().any(|w| w.condition().is_cut)
    }

    fn wake_listeners(&self) {
        for waker in lock(&self.wakers).iter() {
            let _ = waker.try_send(());
        }
    }
}

/// All links of a test cluster.
pub struct Links {
    clock: Clock,
    spawner: Spawner,
    seed: u64,
    pairs: Mutex<BTreeMap<(String, String), Arc<Pair>>>,
    impairments: Mutex<Vec<Impairment>>,
}

impl Links {
    /// No links yet. The seed determines which datagrams are lost.
    pub fn new(clock: Clock, spawner: Spawner, seed: u64) -> Links {
        Links { clock, spawner, seed, pairs: Mutex::default(), impairments: Mutex::default() }
    }

    /// The pair, and the index of its direction from the first to the second component.
    fn pair(&self, from: &str, to: &str) -> (Arc<Pair>, usize) {
        let (a, b, direction) = if from <= to { (from, to, 0) } else { (to, from, 1) };
        let mut pairs = lock(&self.pairs);
        let pair = pairs.entry((a.into(), b.into())).or_insert_with(|| {
            Arc::new(Pair {
                directions: Default::default(),
                refused: Mutex::new(false),
                wakers: Mutex::default(),
                reset_channel: Mutex::new(async_channel::bounded(1)),
            })
        });
        (pair.clone(), direction)
    }

    /// Adds a TCP link: `from` connects to `listen`, and `to` listens on `target`.
    pub fn tcp(&self, from: &str, to: &str, listen: SocketAddr, target: SocketAddr) -> io::Result<()> {
        let (pair, direction) = self.pair(from, to);
        let (waker, woken) = async_channel::bounded(1);
        lock(&pair.wakers).push(waker);
        let listener = TcpListener::bind(listen)?;
        self.spawner.spawn(tcp_forwarder::run(
            self.spawner.clone(),
            pair,
            direction,
            listener,
            target,
            woken,
        ));
        Ok(())
    }

    /// Adds a UDP link. Each side is its name, the address of its socket, and the address on which it reaches
    /// the other side; datagrams of the other side come from that address, too.
    pub fn udp(
        &self,
        a: (&str, SocketAddr, SocketAddr),
        b: (&str, SocketAddr, SocketAddr),
    ) -> io::Result<()> {
        let (pair, direction) = self.pair(a.0, b.0);
        let sockets = (Arc::new(UdpSocket::bind(a.2)?), Arc::new(UdpSocket::bind(b.2)?));
        let seed = lock(&self.pairs).len() as u64 ^ self.seed;
        let (spawner, one, two) = (&self.spawner, sockets.0.clone(), sockets.1.clone());
        spawner.spawn(udp_forwarder::run(
            spawner.clone(),
            pair.clone(),
            direction,
            one.clone(),
            two.clone(),
            b.1,
            seed,
        ));
        spawner.spawn(udp_forwarder::run(spawner.clone(), pair, 1 - direction, two, one, a.1, !seed));
        Ok(())
    }

    /// The condition of a direction.
    pub fn condition(&self, from: &str, to: &str) -> Condition {
        let (pair, direction) = self.pair(from, to);
        pair.directions[direction].condition()
    }

    /// Sets the condition of a direction.
    pub fn set_condition(&self, from: &str, to: &str, condition: Condition) {
        let (pair, direction) = self.pair(from, to);
        let mut impairments = lock(&self.impairments);
        let unimpaired = condition == Condition::default();
        let current =
            impairments.iter_mut().rev().find(|p| p.until.is_none() && p.from == from && p.to == to);
        match (current, unimpaired) {
            (None, false) => {
                let since = self.clock.now();
                impairments.push(Impairment { from: from.into(), to: to.into(), since, until: None });
                *lock(&pair.directions[direction].condition) = condition;
            }
            (current, _) => {
                *lock(&pair.directions[direction].condition) = condition;
                if let Some(current) = current.filter(|_| unimpaired) {
                    current.until = Some(self.clock.now());
                }
            }
        }
        pair.wake_listeners();
    }

    /// Cuts one direction.
    pub fn cut(&self, from: &str, to: &str) {
        self.set_condition(from, to, Condition { is_cut: true, ..self.condition(from, to) });
    }

    /// Cuts both directions.
    pub fn cut_both(&self, a: &str, b: &str) {
        self.cut(a, b);
        self.cut(b, a);
    }

    /// Cuts all links between the components of the two sides, in both directions.
    pub fn split(&self, one: &[String], other: &[String]) {
        one.iter().for_each(|a| other.iter().filter(|b| *b != a).for_each(|b| self.cut_both(a, b)));
    }

    /// Restores both directions.
    pub fn heal(&self, a: &str, b: &str) {
        self.set_condition(a, b, Condition::default());
        self.set_condition(b, a, Condition::default());
    }

    /// Restores all links.
    pub fn heal_all(&self) {
        let names: Vec<(String, String)> = lock(&self.pairs).keys().cloned().collect();
        names.iter().for_each(|(a, b)| self.heal(a, b));
    }

    /// Refuses new connections between the two, as a host does on which nothing listens, or accepts them
    /// again.
    pub fn set_refused(&self, a: &str, b: &str, refused: bool) {
        let (pair, _) = self.pair(a, b);
        *lock(&pair.refused) = refused;
        pair.wake_listeners();
    }

    /// Resets the established connections between the two.
    pub fn reset(&self, a: &str, b: &str) {
        let (pair, _) = self.pair(a, b);
        *lock(&pair.reset_channel) = async_channel::bounded(1);
    }

    /// All impairments so far, ordered by their start.
    pub fn impairments(&self) -> Vec<Impairment> {
        lock(&self.impairments).clone()
    }

    /// Bytes, datagrams, and lost datagrams of a direction.
    pub fn traffic(&self, from: &str, to: &str) -> (u64, u64, u64) {
        let (pair, direction) = self.pair(from, to);
        let traffic = &pair.directions[direction].traffic;
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (load(&traffic.bytes), load(&traffic.datagrams), load(&traffic.lost))
    }
}
