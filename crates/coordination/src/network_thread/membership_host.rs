//! Runs membership: handles datagrams, timers and events of the gateway, and executes the actions.
use crate::clock::Clock;
use crate::network_thread::view::MembershipView;
use crate::settings::{Peer, Settings};
use async_channel::Receiver;
use async_io::{Async, Timer};
use cluster_types::{MemberId, Time};
use futures_lite::future;
use membership::{Action, Event, Membership};
use message_auth::{Keys, Opener, Sealer, MAX_DATAGRAM_BYTES};
use parking_lot::Mutex;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The minimum wait, so that a deadline in the past does not starve the links, which run on the same thread.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// The maximum wait.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// How often the view is published.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
/// The deadline, relative to the start, that is used if membership has none.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// The parameters of running membership.
pub(crate) struct MembershipHost<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) clock: Clock,
    pub(crate) process_incarnation: u64,
    /// Events of the gateway; closed at shutdown.
    pub(crate) events: &'a Receiver<Event>,
    pub(crate) view: &'a Arc<Mutex<MembershipView>>,
    pub(crate) log: fn(&str),
    pub(crate) socket: Async<UdpSocket>,
    /// Seals frames; its keys change together with those of membership.
    pub(crate) sealer: Rc<RefCell<Sealer>>,
    /// Opens frames; its keys change together with those of membership.
    pub(crate) opener: Rc<RefCell<Opener>>,
}

/// The reason why a wait ended.
enum Wakeup {
    /// An event of the gateway; `None` once the mailbox is closed.
    Event(Option<Event>),
    Datagram(io::Result<(usize, SocketAddr)>),
    Timer,
}

impl MembershipHost<'_> {
    /// Runs until the mailbox is closed, and then announces that this member leaves.
    pub(crate) async fn run(self, keys: Keys) {
        let started_at = self.clock.now();
        let settings = self.membership_settings();
        let mut members = match Membership::new(settings, keys, started_at, self.settings.seed) {
            Ok(members) => members,
            Err(error) => {
                (self.log)(&format!("coordination membership error={error}"));
                // Frames are still exchanged without membership.
                while self.events.recv().await.is_ok() {}
                return;
            }
        };
        let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
        let mut actions = Vec::new();
        let mut published_at = Time(0);
        loop {
            let deadline = members.wake().unwrap_or(started_at + IDLE_WAIT);
            let wakeup = self.wait(deadline, &mut buffer).await;
            let now = self.clock.now();
            if let Some(event) = self.event_from_wakeup(wakeup, &buffer).await {
                members.handle(now, event, &mut actions);
            }
            // Datagrams may arrive without pause, and the timer is not looked at while there is one.
            if members.wake().is_some_and(|due_at| due_at <= now) {
                members.handle(now, Event::Tick, &mut actions);
            }
            for action in actions.drain(..) {
                self.carry_out(action).await;
            }
            if now.since(published_at) >= VIEW_INTERVAL {
                published_at = now;
                self.publish(&members, now);
            }
            if self.events.is_closed() {
                return;
            }
            // Lets the links run, whatever is sent to this address.
            future::yield_now().await;
        }
    }

    fn membership_settings(&self) -> membership::Settings {
        let seed = |(member, peer): (&MemberId, &Peer)| membership::Seed {
            member: member.clone(),
            zone: peer.zone.clone(),
            address: peer.address,
        };
        let own_seed = membership::Seed {
            member: self.settings.own_id.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.listen,
        };
        let seeds = self.settings.members.iter().map(seed).collect();
        let mut settings = membership::Settings::new(own_seed, self.process_incarnation, seeds);
        settings.bytes_per_second = u64::from(self.settings.max_membership_bytes_per_s);
        settings
    }

    /// Waits for an event, a datagram or the deadline.
    async fn wait(&self, deadline: Time, buffer: &mut [u8]) -> Wakeup {
        let now = self.clock.now();
        let deadline = deadline.clamp(now + MIN_WAIT, now + MAX_WAIT);
        let event = async { Wakeup::Event(self.events.recv().await.ok()) };
        let datagram = async { Wakeup::Datagram(self.socket.recv_from(buffer).await) };
        let timer = async {
            Timer::at(self.clock.instant(deadline)).await;
            Wakeup::Timer
        };
        future::or(future::or(event, datagram), timer).await
    }

    async fn event_from_wakeup(&self, wakeup: Wakeup, buffer: &[u8]) -> Option<Event> {
        match wakeup {
            Wakeup::Event(Some(Event::KeysChanged(keys))) => {
                self.sealer.borrow_mut().set_keys(keys.clone());
                self.opener.borrow_mut().set_keys(keys.clone());
                (self.log)("coordination keys changed");
                Some(Event::KeysChanged(keys))
            }
            Wakeup::Event(Some(event)) => Some(event),
            Wakeup::Event(None) => Some(Event::Leave),
            Wakeup::Datagram(Ok((length, from))) => {
                Some(Event::Datagram { from, bytes: buffer[..length].to_vec() })
            }
            // This call may return the ICMP error for an earlier datagram to a closed port.
            Wakeup::Datagram(Err(_)) => {
                Timer::after(MIN_WAIT).await;
                None
            }
            Wakeup::Timer => Some(Event::Tick),
        }
    }

    async fn carry_out(&self, action: Action) {
        match action {
            Action::Send { to, bytes } => {
                // A datagram that cannot be sent immediately is dropped, as if lost on the network.
                drop(future::poll_once(self.socket.send_to(&bytes, to)).await);
            }
            Action::MemberChanged { member, state, incarnation } => {
                let line = format!("coordination member={member} state={state:?} incarnation={incarnation}");
                (self.log)(&line);
            }
            Action::ClaimsChanged(_) => {}
        }
    }

    fn publish(&self, members: &Membership, now: Time) {
        let subjects = members.negative_subjects(now).into_iter();
        let verdicts = subjects.map(|subject| (subject.clone(), members.verdict(&subject, now))).collect();
        *self.view.lock() =
            MembershipView { members: members.view(), verdicts, counters: *members.counters() };
    }
}
