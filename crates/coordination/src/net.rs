//! The thread of the sockets: membership over UDP, frames to and from each front over TCP. It decides nothing; what comes
//! in sealed goes on, what is bad is counted and closes its connection.
use crate::clock::Clock;
use crate::links;
use crate::settings::Settings;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cluster_types::{MemberId, Time};
use futures_lite::future;
use membership::{Action, Event, Membership};
use message_auth::{Keys, Opener, Sealer};
use parking_lot::Mutex;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The channel of frames; membership has the first one.
pub const CHANNEL: u8 = 1;

/// What membership comes to, for others to read.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// All members as they are held.
    pub members: Vec<membership::Member>,
    /// What is doubted now.
    pub doubts: Vec<(membership::Subject, membership::Verdict)>,
    /// What was done and refused.
    pub figures: membership::Counters,
}

/// The sockets, bound before anything is started, so that a fault ends the start.
pub struct Sockets {
    udp: Async<UdpSocket>,
    tcp: Async<TcpListener>,
}

impl Sockets {
    /// Binds both; an error names the key.
    pub fn bind(settings: &Settings) -> Result<Sockets, String> {
        let at = settings.listen;
        let fault = |e| format!("accord.listen: cannot listen on {at}: {e}");
        let udp = Async::<UdpSocket>::bind(at).map_err(fault)?;
        Ok(Sockets { udp, tcp: Async::<TcpListener>::bind(at).map_err(fault)? })
    }
}

/// What the thread is handed.
pub struct Net {
    /// What the hosts were told.
    pub settings: Settings,
    /// The clock of this process.
    pub clock: Clock,
    /// This start of the process.
    pub start: u64,
    /// Frames to be sent, by front.
    pub outbox: BTreeMap<MemberId, Receiver<Vec<u8>>>,
    /// What membership is told from elsewhere; closed at the end.
    pub told: Receiver<Event>,
    /// Where frames go that came.
    pub came: links::Came,
    /// Where the view is put.
    pub view: Arc<Mutex<View>>,
    /// Counts of what was bad.
    pub counts: Arc<links::Counts>,
    /// Writes a line of the log.
    pub log: fn(&str),
}

/// Runs until the mailbox of membership is closed.
pub fn run(net: Net, sockets: Sockets) {
    let executor = Rc::new(LocalExecutor::new());
    let keys = Keys::new(net.settings.keys.0, net.settings.keys.1);
    let sealer = Sealer::new(keys.clone(), net.settings.me.clone(), net.start);
    let sealer =
        Rc::new(RefCell::new(sealer.on_channel(CHANNEL).with_max_bytes(message_auth::MAX_FRAME_BYTES)));
    let opener =
        Opener::new(keys.clone(), net.settings.me.clone()).with_max_bytes(message_auth::MAX_FRAME_BYTES);
    let opener = Rc::new(RefCell::new(opener));
    let rekey = {
        let (sealer, opener) = (sealer.clone(), opener.clone());
        move |keys: &Keys| {
            sealer.borrow_mut().set_keys(keys.clone());
            opener.borrow_mut().set_keys(keys.clone());
        }
    };
    for (member, frames) in &net.outbox {
        let Some(fellow) = net.settings.members.get(member) else { continue };
        let link = links::Out { to: member.clone(), at: fellow.at, frames: frames.clone() };
        executor.spawn(links::send(link, sealer.clone(), net.counts.clone())).detach();
    }
    let (came, counts) = (net.came.clone(), net.counts.clone());
    let taken = links::accept(
        executor.clone(),
        sockets.tcp,
        net.counts.clone(),
        2 * net.settings.members.len() + 8,
        ("front", net.log),
        move |stream| links::read(stream, opener.clone(), came.clone(), counts.clone()),
    );
    executor.spawn(taken).detach();
    future::block_on(executor.run(membership(&net, keys, sockets.udp, &rekey)));
}

/// The settings of membership, from those of the hosts.
fn settings(net: &Net) -> membership::Settings {
    let all = &net.settings.members;
    let seed = |(member, fellow): (&MemberId, &crate::settings::Fellow)| membership::Seed {
        member: member.clone(),
        zone: fellow.hall.clone(),
        address: fellow.at,
    };
    let me = membership::Seed {
        member: net.settings.me.clone(),
        zone: net.settings.hall.clone(),
        address: net.settings.listen,
    };
    let mut settings = membership::Settings::new(me, net.start, all.iter().map(seed).collect());
    settings.bytes_per_second = u64::from(net.settings.bytes_s);
    settings
}

enum Woken {
    Told(Option<Event>),
    Came(std::io::Result<(usize, std::net::SocketAddr)>),
    Time,
}

async fn membership(net: &Net, keys: Keys, udp: Async<UdpSocket>, rekey: &dyn Fn(&Keys)) {
    let now = net.clock.now();
    let mut members = match Membership::new(settings(net), keys, now, net.settings.seed) {
        Ok(members) => members,
        Err(e) => {
            (net.log)(&format!("accord members error={e}"));
            // The frames go on without it.
            while net.told.recv().await.is_ok() {}
            return;
        }
    };
    let mut buffer = vec![0; 2 * message_auth::MAX_DATAGRAM_BYTES];
    let mut actions = Vec::new();
    let mut shown = Time(0);
    loop {
        let wake = members.wake().unwrap_or(now + Duration::from_secs(1));
        // Guards the links, which share this thread, against a deadline that lies behind.
        let begun = net.clock.now();
        let wake = wake.clamp(begun + Duration::from_millis(1), begun + Duration::from_millis(500));
        let woken = {
            let told = async { Woken::Told(net.told.recv().await.ok()) };
            let came = async { Woken::Came(udp.recv_from(&mut buffer).await) };
            let time = async {
                Timer::at(net.clock.instant(wake)).await;
                Woken::Time
            };
            future::or(future::or(told, came), time).await
        };
        let now = net.clock.now();
        match woken {
            Woken::Told(Some(event)) => {
                // Keys change in service, for datagrams and frames alike.
                if let Event::KeysChanged(keys) = &event {
                    rekey(keys);
                    (net.log)("accord keys changed");
                }
                members.handle(now, event, &mut actions);
            }
            Woken::Told(None) => members.handle(now, Event::Leave, &mut actions),
            Woken::Came(Ok((length, from))) => {
                let bytes = buffer[..length].to_vec();
                members.handle(now, Event::Datagram { from, bytes }, &mut actions);
            }
            // An answer that a port is closed may come as an error of the next call.
            Woken::Came(Err(_)) => drop(Timer::after(Duration::from_millis(1)).await),
            Woken::Time => members.handle(now, Event::Tick, &mut actions),
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { to, bytes } => {
                    // What can't be sent now is lost, as it might be on the way.
                    let _ = future::poll_once(udp.send_to(&bytes, to)).await;
                }
                Action::MemberChanged { member, state, incarnation } => {
                    (net.log)(&format!("accord member={member} state={state:?} incarnation={incarnation}"))
                }
                Action::ClaimsChanged(_) => {}
            }
        }
        if now.since(shown) >= Duration::from_millis(200) {
            shown = now;
            let doubts =
                members.negative_subjects(now).into_iter().map(|s| (s.clone(), members.verdict(&s, now)));
            let doubts = doubts.collect();
            *net.view.lock() = View { members: members.view(), doubts, figures: *members.counters() };
        }
        if net.told.is_closed() {
            return;
        }
    }
}
