//! Links between named parties: TCP and UDP go through them, and each direction can be cut, delayed, slowed or made
//! lossy for itself. A cut link says nothing: what is sent waits, as in a kernel that sends again, until it heals, and new
//! connections don't come up.
use crate::engine::{lock, Clock, Spawner};
use crate::{relay, tunnel};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How one direction is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// Nothing passes.
    pub cut: bool,
    /// What passes comes so much later.
    pub delay: Duration,
    /// The most bytes in a second.
    pub rate: Option<u32>,
    /// The share of datagrams that is lost; TCP loses nothing.
    pub loss: f64,
}

/// A direction that was not well for a time; `until` is none while it still is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Who sends.
    pub from: String,
    /// Who should get it.
    pub to: String,
    /// From when.
    pub since: Duration,
    /// Until when.
    pub until: Option<Duration>,
}

/// What one direction has carried.
#[derive(Debug, Default)]
pub struct Carried {
    /// Bytes of connections.
    pub bytes: AtomicU64,
    /// Datagrams.
    pub datagrams: AtomicU64,
    /// Datagrams that were cut off or lost.
    pub lost: AtomicU64,
}

/// One direction.
#[derive(Debug, Default)]
pub(crate) struct Way {
    condition: Mutex<Condition>,
    pub(crate) carried: Carried,
}

impl Way {
    pub(crate) fn condition(&self) -> Condition {
        *lock(&self.condition)
    }
}

/// Two parties, and all links between them. Their names are in order.
pub(crate) struct Pair {
    pub(crate) ways: [Way; 2],
    /// Connections are refused at once.
    pub(crate) refused: Mutex<bool>,
    /// Wakes the listeners when a condition has changed.
    pokes: Mutex<Vec<async_channel::Sender<()>>>,
    /// Closing it resets the connections that are there.
    pub(crate) life: Mutex<(async_channel::Sender<()>, async_channel::Receiver<()>)>,
}

impl Pair {
    /// Whether a new connection can come up: its answers have to come back too.
    pub(crate) fn open(&self) -> bool {
        !self.ways.iter().any(|w| w.condition().cut)
    }

    fn poke(&self) {
        for poke in lock(&self.pokes).iter() {
            let _ = poke.try_send(());
        }
    }
}

/// All links of a rig.
pub struct Links {
    clock: Clock,
    spawner: Spawner,
    seed: u64,
    pairs: Mutex<BTreeMap<(String, String), Arc<Pair>>>,
    pauses: Mutex<Vec<Pause>>,
}

impl Links {
    /// None yet. The seed decides which datagrams are lost.
    pub fn new(clock: Clock, spawner: Spawner, seed: u64) -> Links {
        Links { clock, spawner, seed, pairs: Mutex::default(), pauses: Mutex::default() }
    }

    /// The pair and which of its directions goes from the first to the second.
    fn pair(&self, from: &str, to: &str) -> (Arc<Pair>, usize) {
        let (a, b, way) = if from <= to { (from, to, 0) } else { (to, from, 1) };
        let mut pairs = lock(&self.pairs);
        let pair = pairs.entry((a.into(), b.into())).or_insert_with(|| {
            Arc::new(Pair {
                ways: Default::default(),
                refused: Mutex::new(false),
                pokes: Mutex::default(),
                life: Mutex::new(async_channel::bounded(1)),
            })
        });
        (pair.clone(), way)
    }

    /// Lets `from` reach `to` by TCP at `listen`; `to` listens at `target`.
    pub fn tcp(&self, from: &str, to: &str, listen: SocketAddr, target: SocketAddr) -> io::Result<()> {
        let (pair, way) = self.pair(from, to);
        let (poke, poked) = async_channel::bounded(1);
        lock(&pair.pokes).push(poke);
        let listener = TcpListener::bind(listen)?;
        self.spawner.spawn(tunnel::run(self.spawner.clone(), pair, way, listener, target, poked));
        Ok(())
    }

    /// Lets two reach each other by UDP. Each is its name, its own socket's address, and the address at which it reaches the
    /// other; what comes from the other comes from that address too.
    pub fn udp(
        &self,
        a: (&str, SocketAddr, SocketAddr),
        b: (&str, SocketAddr, SocketAddr),
    ) -> io::Result<()> {
        let (pair, way) = self.pair(a.0, b.0);
        let sockets = (Arc::new(UdpSocket::bind(a.2)?), Arc::new(UdpSocket::bind(b.2)?));
        let seed = lock(&self.pairs).len() as u64 ^ self.seed;
        let (spawner, one, two) = (&self.spawner, sockets.0.clone(), sockets.1.clone());
        spawner.spawn(relay::run(spawner.clone(), pair.clone(), way, one.clone(), two.clone(), b.1, seed));
        spawner.spawn(relay::run(spawner.clone(), pair, 1 - way, two, one, a.1, !seed));
        Ok(())
    }

    /// How a direction is.
    pub fn condition(&self, from: &str, to: &str) -> Condition {
        let (pair, way) = self.pair(from, to);
        pair.ways[way].condition()
    }

    /// Sets how a direction is, from now on.
    pub fn set(&self, from: &str, to: &str, condition: Condition) {
        let (pair, way) = self.pair(from, to);
        let mut pauses = lock(&self.pauses);
        let well = condition == Condition::default();
        let open = pauses.iter_mut().rev().find(|p| p.until.is_none() && p.from == from && p.to == to);
        match (open, well) {
            (None, false) => {
                let since = self.clock.now();
                pauses.push(Pause { from: from.into(), to: to.into(), since, until: None });
                *lock(&pair.ways[way].condition) = condition;
            }
            (open, _) => {
                *lock(&pair.ways[way].condition) = condition;
                if let Some(open) = open.filter(|_| well) {
                    open.until = Some(self.clock.now());
                }
            }
        }
        pair.poke();
    }

    /// Cuts one direction.
    pub fn cut(&self, from: &str, to: &str) {
        self.set(from, to, Condition { cut: true, ..self.condition(from, to) });
    }

    /// Cuts both directions.
    pub fn cut_both(&self, a: &str, b: &str) {
        self.cut(a, b);
        self.cut(b, a);
    }

    /// Cuts all links between parties of the one and of the other side, in both directions.
    pub fn split(&self, one: &[String], other: &[String]) {
        one.iter().for_each(|a| other.iter().filter(|b| *b != a).for_each(|b| self.cut_both(a, b)));
    }

    /// Makes both directions well.
    pub fn heal(&self, a: &str, b: &str) {
        self.set(a, b, Condition::default());
        self.set(b, a, Condition::default());
    }

    /// Makes everything well.
    pub fn heal_all(&self) {
        let names: Vec<(String, String)> = lock(&self.pairs).keys().cloned().collect();
        names.iter().for_each(|(a, b)| self.heal(a, b));
    }

    /// Refuses new connections between the two, as a machine does on which nobody listens; or no longer.
    pub fn refuse(&self, a: &str, b: &str, refused: bool) {
        let (pair, _) = self.pair(a, b);
        *lock(&pair.refused) = refused;
        pair.poke();
    }

    /// Resets the connections that are there between the two.
    pub fn reset(&self, a: &str, b: &str) {
        let (pair, _) = self.pair(a, b);
        *lock(&pair.life) = async_channel::bounded(1);
    }

    /// Everything that was not well so far, in the order in which it began.
    pub fn pauses(&self) -> Vec<Pause> {
        lock(&self.pauses).clone()
    }

    /// Bytes, datagrams, and datagrams lost of a direction.
    pub fn carried(&self, from: &str, to: &str) -> (u64, u64, u64) {
        let (pair, way) = self.pair(from, to);
        let c = &pair.ways[way].carried;
        let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (read(&c.bytes), read(&c.datagrams), read(&c.lost))
    }
}
