//! The network thread.
use crate::clock::Clock;
use crate::network_thread::accept::{accept_connections, Acceptor};
use crate::network_thread::counters::LinkCounters;
use crate::network_thread::framing::MEMBER_CHANNEL;
use crate::network_thread::incoming::{read_link, FrameHandler};
use crate::network_thread::membership_host::MembershipHost;
use crate::network_thread::outgoing::OutgoingLink;
use crate::network_thread::sockets::Sockets;
use crate::network_thread::view::MembershipView;
use crate::settings::Settings;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use cluster_types::MemberId;
use futures_lite::future;
use message_auth::{Keys, Opener, Sealer, MAX_FRAME_BYTES};
use parking_lot::Mutex;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// The number of connections that may be open in addition to two per member.
const SPARE_CONNECTIONS: usize = 8;

/// The parameters of the network thread.
pub(crate) struct NetworkThread {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    /// The incarnation of this process.
    pub(crate) process_incarnation: u64,
    /// The encoded frames to send, by member.
    pub(crate) outboxes: BTreeMap<MemberId, Receiver<Vec<u8>>>,
    /// Events for membership; closed at shutdown.
    pub(crate) membership_events: Receiver<membership::Event>,
    /// Handles received frames.
    pub(crate) frame_handler: FrameHandler,
    /// The published view of membership.
    pub(crate) view: Arc<Mutex<MembershipView>>,
    pub(crate) counters: Arc<LinkCounters>,
    /// Writes a log line.
    pub(crate) log: fn(&str),
}

/// Runs until the mailbox of membership is closed.
pub(crate) fn run(thread: NetworkThread, sockets: Sockets) {
    let executor = Rc::new(LocalExecutor::new());
    let own_id = thread.settings.own_id.clone();
    let keys = Keys::new(thread.settings.keys.0, thread.settings.keys.1);
    let sealer = Sealer::new(keys.clone(), own_id.clone(), thread.process_incarnation);
    let sealer = Rc::new(RefCell::new(sealer.on_channel(MEMBER_CHANNEL).with_max_bytes(MAX_FRAME_BYTES)));
    let opener = Rc::new(RefCell::new(Opener::new(keys.clone(), own_id).with_max_bytes(MAX_FRAME_BYTES)));
    for (member, frames) in &thread.outboxes {
        let Some(peer) = thread.settings.members.get(member) else { continue };
        let link = OutgoingLink {
            member: member.clone(),
            address: peer.address,
            frames: frames.clone(),
            sealer: sealer.clone(),
            counters: thread.counters.clone(),
        };
        executor.spawn(link.run()).detach();
    }
    let acceptor = Acceptor {
        executor: executor.clone(),
        listener: sockets.tcp,
        counters: thread.counters.clone(),
        max_connections: 2 * thread.settings.members.len() + SPARE_CONNECTIONS,
        kind: "member",
        log: thread.log,
    };
    let (handler, counters) = (thread.frame_handler.clone(), thread.counters.clone());
    let link_opener = opener.clone();
    let serve = move |stream| read_link(stream, link_opener.clone(), handler.clone(), counters.clone());
    executor.spawn(accept_connections(acceptor, serve)).detach();
    let host = MembershipHost {
        settings: &thread.settings,
        clock: thread.clock,
        process_incarnation: thread.process_incarnation,
        events: &thread.membership_events,
        view: &thread.view,
        log: thread.log,
        socket: sockets.udp,
        sealer,
        opener,
    };
    future::block_on(executor.run(host.run(keys)));
}
