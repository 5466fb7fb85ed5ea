//! Reloading the configuration on SIGHUP.
use crate::lifecycle::shutdown::SignalLoop;
use crate::messages::{DiscoveryMessage, SchedulerMessage};
use config::Config;
use scheduler::interface::EndpointUpdate;

impl SignalLoop {
    /// Reads the configuration again. A valid one takes effect at once; the error of an invalid one is logged and nothing changes.
    /// Requests and connections continue in either case.
    pub(super) async fn reload(&self) {
        let context = &self.context;
        let old = context.config();
        let overlay = self.config_overlay.as_ref().map(|overlay| overlay.settings()).unwrap_or_default();
        let config::Reloaded { config: new, needs_restart: unchanged_keys } =
            match old.reload_with_overlay(|key| std::env::var(key).ok(), &overlay) {
                Ok(reloaded) => reloaded,
                Err(error) => {
                    crate::log::line(format_args!("reload error={error}"));
                    context.counters.reload_errors.set(context.counters.reload_errors.get() + 1);
                    return self.send_to_scheduler(SchedulerMessage::Reload(None)).await;
                }
            };
        for key in unchanged_keys {
            crate::log::line(format_args!("reload key={key} needs a restart, and stays as it was"));
        }
        crate::log::line(format_args!("reload discovery={:?}", new.discovery));
        // The scheduler gets the settings first, so that it interprets requests that sessions parse with the new configuration alike.
        self.send_to_scheduler(SchedulerMessage::Reload(Some(Box::new(new.settings.clone())))).await;
        self.replace_keys(&old, &new);
        let (has_discovery_changed, has_static_list) =
            (new.discovery != old.discovery, new.discovery.is_none());
        let known = new.known.clone();
        context.set_config(new);
        context.counters.reloads.set(context.counters.reloads.get() + 1);
        if has_static_list {
            self.apply_list(&known, |update| update).await;
            context.lifecycle.is_serving.set(context.lifecycle.is_serving.get() || !known.targets.is_empty());
        }
        if has_discovery_changed {
            // The mailbox is closed only at the end of the process.
            drop(self.discovery.send(DiscoveryMessage::AddressChanged).await);
        }
    }

    /// Passes changed keys to the hosts of `[accord]` and `[changes]`.
    fn replace_keys(&self, old: &Config, new: &Config) {
        let keys = |config: &Config| config.coordination.as_ref().and_then(|accord| accord.keys().ok());
        let (old_keys, new_keys) = (keys(old), keys(new));
        if let (Some(coordination), Some(new_keys)) = (&self.coordination, new_keys) {
            if Some(&new_keys) != old_keys.as_ref() {
                coordination.set_keys(new_keys);
            }
        }
        if let Some(overlay) = &self.config_overlay {
            overlay.replace_keys(old, new);
        }
    }

    /// Applies an endpoint list from the configuration; `adapt` sets the kind of the update.
    pub(super) async fn apply_list(
        &self,
        known: &config::Targets,
        adapt: impl Fn(EndpointUpdate) -> EndpointUpdate,
    ) {
        let update = adapt(self.pool.update_from_discovery(known));
        self.send_to_scheduler(SchedulerMessage::Endpoints(update)).await;
    }

    pub(super) async fn send_to_scheduler(&self, message: SchedulerMessage) {
        // The mailbox is closed only at the end of the process.
        drop(self.scheduler.send(message).await);
    }
}
