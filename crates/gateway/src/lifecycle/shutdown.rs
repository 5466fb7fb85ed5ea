//! The signal loop: SIGHUP reloads, SIGUSR1 logs the counters, SIGTERM and SIGINT begin the graceful shutdown, which ends once
//! all requests are answered.
use crate::backend::pool::BackendPool;
use crate::config_overlay::actor::ConfigOverlay;
use crate::context::Context;
use crate::messages::{DiscoveryMessage, SchedulerMailbox, SchedulerMessage};
use crate::net::resource_shortage::RETRY_DELAY;
use async_channel::Sender;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use scheduler::interface::Micros;
use std::rc::Rc;
use std::time::Duration;

/// The shortest graceful shutdown, in microseconds: new connections keep coming for up to 0.4 s after SIGTERM.
const MIN_SHUTDOWN_US: i64 = 800_000;
/// How long the process keeps running after its last client connection has closed, in microseconds: within this time a client resends
/// a request on a new connection if it had sent it on one that was being closed.
const LAST_CLIENT_GRACE_US: i64 = 300_000;
/// The longest graceful shutdown, in microseconds: every answer is due earlier.
const MAX_SHUTDOWN_US: i64 = 6_000_000;
/// How often the shutdown's progress is checked.
const PROGRESS_CHECK: Duration = Duration::from_millis(20);
/// How long the coordination log may take to send the message that this member leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long actors may take to close their connections at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(5);

/// The signal loop, with the components that signals act on.
pub struct SignalLoop {
    /// The gateway's shared state.
    pub context: Rc<Context>,
    /// The scheduler's mailbox.
    pub scheduler: SchedulerMailbox,
    /// The pool of backends.
    pub pool: Rc<BackendPool>,
    /// The mailbox of discovery's actor.
    pub discovery: Sender<DiscoveryMessage>,
    /// The coordination host, if the configuration has `[accord]`.
    pub coordination: Option<coordination::Handle>,
    /// The distributed configuration, if the configuration has `[changes]`.
    pub config_overlay: Option<Rc<ConfigOverlay>>,
}

impl SignalLoop {
    /// Handles signals until the graceful shutdown is complete.
    pub async fn run(&self, mut signals: Signals) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => self.send_to_scheduler(SchedulerMessage::LogCounters).await,
                Ok(Signal::Hup) => self.reload().await,
                Ok(_) => break,
                // The system failed to report a signal; this is no request to end the process.
                Err(error) => {
                    crate::log::line(format_args!("signals error={error}"));
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
        self.shut_down(&mut signals).await;
    }

    async fn shut_down(&self, signals: &mut Signals) {
        let context = &self.context;
        context.begin_stopping();
        let since = context.clock.now();
        let (open, clients) = (context.counters.open.get(), context.gauges.client_connections.get());
        crate::log::line(format_args!("stop open={open} clients={clients}"));
        self.send_to_scheduler(SchedulerMessage::Stopping).await;
        self.wait_for_answers(signals, since).await;
        self.send_to_scheduler(SchedulerMessage::LogCounters).await;
        // Remaining connections are closed now, each with its log line.
        self.discovery.close();
        self.pool.stop();
        if let Some(coordination) = &self.coordination {
            // Tells the other members that this one sends no more reports, so that they don't wait for them.
            coordination.send(coordination::CoordinationMessage::Stopping);
            Timer::after(LEAVE_TIMEOUT).await;
        }
        Timer::after(CLOSE_TIMEOUT).await;
        crate::log::line(format_args!("end"));
    }

    /// Waits until all requests are answered and the clients have disconnected, within the time limits of a shutdown.
    async fn wait_for_answers(&self, signals: &mut Signals, since: Micros) {
        let context = &self.context;
        let mut last_client = since;
        loop {
            let signal = async { signals.next().await.and_then(Result::ok) };
            let tick = async {
                Timer::after(PROGRESS_CHECK).await;
                None
            };
            // Signals are still handled, but they must not end the shutdown early.
            match future::or(signal, tick).await {
                Some(Signal::Hup) => self.reload().await,
                Some(Signal::Usr1) => self.send_to_scheduler(SchedulerMessage::LogCounters).await,
                _ => {}
            }
            let now = context.clock.now();
            let elapsed = now.0 - since.0;
            if context.gauges.client_connections.get() > 0 {
                last_client = now;
            }
            let min_shutdown = if context.has_successor() { 0 } else { MIN_SHUTDOWN_US };
            let is_quiet = elapsed >= min_shutdown && now.0 - last_client.0 >= LAST_CLIENT_GRACE_US;
            if elapsed >= MAX_SHUTDOWN_US || is_quiet {
                return;
            }
        }
    }
}
