//! While the program serves, signals are followed; after SIGTERM it ends once all is answered.
use crate::backend::pool::BackendPool;
use crate::config_overlay::actor::ConfigOverlay;
use crate::context::Context;
use crate::messages::{DiscoveryMessage, SchedulerMailbox, SchedulerMessage};
use crate::net::resource_shortage::RETRY_DELAY;
use async_channel::Sender;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use scheduler::interface::{EndpointUpdate, Micros};
use std::rc::Rc;
use std::time::Duration;

/// After SIGTERM new connections come for 0.4 s at most; nothing ends before that is over.
const ACCEPTING: i64 = 800_000;
/// A request that crossed the closing of its connection is sent again on a new one, which comes in this time.
const CROSSING: i64 = 300_000;
/// After SIGTERM nothing that was asked in time is owed for longer than this.
const LONGEST: i64 = 6_000_000;

/// How long the word that this front leaves has to come into the log.
const GOODBYE: Duration = Duration::from_millis(300);

/// What signals act on.
pub struct SignalLoop {
    /// What every actor stands on.
    pub context: Rc<Context>,
    /// The module's mailbox.
    pub scheduler: SchedulerMailbox,
    /// The disk boxes.
    pub pool: Rc<BackendPool>,
    /// The list's mailbox.
    pub watch: Sender<DiscoveryMessage>,
    /// The hosts of what fronts settle among themselves, where there are any.
    pub coordination: Option<coordination::Handle>,
    /// What is in force of changes of configuration, where any come.
    pub config_overlay: Option<Rc<ConfigOverlay>>,
}

impl SignalLoop {
    /// Reads the file again. A good one is put in force at once, a faulty one changes nothing; either way requests and
    /// connections stay as they are.
    async fn reload(&self) {
        let context = &self.context;
        let old = context.config();
        let (accepted, invalid) = context.counters.reloads.get();
        let over = self.config_overlay.as_ref().map(|c| c.settings()).unwrap_or_default();
        let (new, kept) = match old.reload_under(|key| std::env::var(key).ok(), &over) {
            Ok(read) => read,
            Err(e) => {
                crate::log::line(format_args!("reload error={e}"));
                context.counters.reloads.set((accepted, invalid + 1));
                return drop(self.scheduler.send(SchedulerMessage::Reload(None)).await);
            }
        };
        for key in kept {
            crate::log::line(format_args!("reload key={key} needs a restart, and stays as it was"));
        }
        crate::log::line(format_args!("reload discovery={:?}", new.discovery));
        // The module first: whatever a front understands by the new file must mean the same to it.
        let _ = self.scheduler.send(SchedulerMessage::Reload(Some(Box::new(new.settings.clone())))).await;
        let (moved, fixed) = (new.discovery != old.discovery, new.discovery.is_none());
        let known = new.known.clone();
        let keys = |c: &config::Config| c.accord.as_ref().and_then(|a| a.keys().ok());
        if let (Some(coordination), Some(keys)) =
            (&self.coordination, keys(&new).filter(|k| Some(*k) != keys(&old)))
        {
            coordination.rekey(keys);
        }
        if let Some(config_overlay) = &self.config_overlay {
            config_overlay.rekey(&old, &new);
        }
        context.configure(new);
        context.counters.reloads.set((accepted + 1, invalid));
        if fixed {
            self.know(&known, |entries| entries).await;
            context.lifecycle.serving.set(context.lifecycle.serving.get() || !known.targets.is_empty());
        }
        if moved {
            let _ = self.watch.send(DiscoveryMessage::Moved).await;
        }
    }

    /// Puts a list in force that discovery did not just tell.
    pub async fn know(&self, known: &config::Targets, as_news: impl Fn(EndpointUpdate) -> EndpointUpdate) {
        let news = as_news(self.pool.news(known));
        let _ = self.scheduler.send(SchedulerMessage::News(news)).await;
    }

    /// Follows the signals until the program has ended all that it owed.
    pub async fn follow(&self, mut signals: Signals) {
        let context = &self.context;
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => drop(self.scheduler.send(SchedulerMessage::Print).await),
                Ok(Signal::Hup) => self.reload().await,
                Ok(_) => break,
                // The system could not tell of a signal: none has come that ends the program.
                Err(error) => {
                    crate::log::line(format_args!("signals error={error}"));
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
        context.begin_stopping();
        let since = context.clock.now();
        let (open, clients) = (context.counters.open.get(), context.gauges.clients.get());
        crate::log::line(format_args!("stop open={open} clients={clients}"));
        let _ = self.scheduler.send(SchedulerMessage::Stopping).await;
        self.wind_up(&mut signals, since).await;
        let _ = self.scheduler.send(SchedulerMessage::Print).await;
        // What is still open ends now, each with its line.
        self.watch.close();
        self.pool.stop();
        if let Some(coordination) = &self.coordination {
            // Nothing is sent any more: those who wait for this front's word need not.
            coordination.tell(coordination::ToAccord::Stopping);
            Timer::after(GOODBYE).await;
        }
        Timer::after(Duration::from_millis(5)).await;
        crate::log::line(format_args!("end"));
    }

    /// Waits until nothing is owed any more.
    async fn wind_up(&self, signals: &mut Signals, since: Micros) {
        let context = &self.context;
        let mut last = since;
        loop {
            // Guards the end of a planned restart: what comes meanwhile must not cut it short.
            let signal = async { signals.next().await.and_then(Result::ok) };
            let tick = async {
                Timer::after(Duration::from_millis(20)).await;
                None
            };
            match future::or(signal, tick).await {
                Some(Signal::Hup) => self.reload().await,
                Some(Signal::Usr1) => drop(self.scheduler.send(SchedulerMessage::Print).await),
                _ => {}
            }
            let now = context.clock.now();
            let passed = now.0 - since.0;
            if context.gauges.clients.get() > 0 {
                last = now;
            }
            let accepting = if context.followed() { 0 } else { ACCEPTING };
            if passed >= LONGEST || (passed >= accepting && now.0 - last.0 >= CROSSING) {
                return;
            }
        }
    }
}
