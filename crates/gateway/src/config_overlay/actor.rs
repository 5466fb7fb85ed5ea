//! The distributed configuration at this gateway: updates from relays are applied atomically over the file's configuration. An actor
//! that exchanges messages with its host (`coordination::distribution`); without the section `[changes]` it is not started.
use crate::admin::operators::Operators;
use crate::backend::pool::BackendPool;
use crate::config_overlay::effective::{EffectiveConfig, PreparedUpdate, Rejection};
use crate::config_overlay::host_settings::host_settings;
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use config::Config;
use config_distribution::Change;
use coordination::distribution::{ConfigUpdate, Handle, Mailbox, Role};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The distributed configuration as it is applied.
pub struct ConfigOverlay {
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    /// The gateway's end of the host's mailbox.
    pub handle: Handle,
    /// Whether this member votes on the log.
    pub is_voter: bool,
    values: RefCell<EffectiveConfig>,
    unknown_keys: Cell<u64>,
}

/// Why the distributed configuration could not start.
#[derive(Debug, thiserror::Error)]
pub enum OverlayError {
    /// The configuration has no such section.
    #[error("changes: not in the configuration")]
    NotConfigured,
    /// The section is faulty.
    #[error(transparent)]
    Config(#[from] config::ConfigError),
    /// The host could not start.
    #[error(transparent)]
    Host(#[from] coordination::distribution::StartError),
}

/// The host's mailbox, where the configuration has the section.
pub fn mailbox(config: &Config) -> Option<Mailbox> {
    config.distribution.as_ref().map(|_| Mailbox::new())
}

/// Starts the host and the actor. A saved configuration is applied before this returns.
///
/// # Errors
/// [`OverlayError`], whose text begins with the key.
pub async fn start(operators: &Operators, mailbox: Mailbox) -> Result<Rc<ConfigOverlay>, OverlayError> {
    let Operators { context, scheduler, pool, coordination, .. } = operators;
    let config = context.config();
    let section = config.distribution.as_ref().ok_or(OverlayError::NotConfigured)?;
    let settings = host_settings(&config, section)?;
    let is_voter = matches!(settings.role, Role::Voter { .. });
    let log = |line: &str| crate::log::line(format_args!("{line}"));
    let started = coordination::distribution::start(settings, mailbox, coordination.as_ref(), log)?;
    let overlay = Rc::new(ConfigOverlay {
        context: context.clone(),
        scheduler: scheduler.clone(),
        pool: pool.clone(),
        handle: started.handle,
        is_voter,
        values: RefCell::default(),
        unknown_keys: Cell::new(0),
    });
    let updates = started.updates;
    if started.has_saved_config {
        if let Ok(saved) = updates.recv().await {
            overlay.take_update(saved).await;
        }
    }
    let actor = overlay.clone();
    let following = async move {
        while let Ok(update) = updates.recv().await {
            actor.take_update(update).await;
        }
    };
    context.executor.spawn(following).detach();
    Ok(overlay)
}

impl ConfigOverlay {
    /// The settings that are laid over the file's, in order.
    pub fn settings(&self) -> Vec<Value> {
        self.values.borrow().settings()
    }

    /// How many keys this gateway did not know.
    pub fn unknown_keys(&self) -> u64 {
        self.unknown_keys.get()
    }

    /// Hands changed keys to the host.
    pub fn replace_keys(&self, old: &Config, new: &Config) {
        let keys = |config: &Config| config.distribution.as_ref().and_then(|changes| changes.keys().ok());
        if let Some(new_keys) = keys(new).filter(|new_keys| Some(*new_keys) != keys(old)) {
            self.handle.set_keys(new_keys);
        }
    }

    /// Applies an update, or rejects it, and reports which.
    async fn take_update(&self, update: ConfigUpdate) {
        let ConfigUpdate { is_complete, changes } = &update;
        let rejections = match self.prepare_update(*is_complete, changes) {
            Ok(next) => {
                self.apply(next).await;
                let newest = changes.iter().map(|change| change.version.0).max().unwrap_or(0);
                let count = changes.len();
                crate::log::line(format_args!(
                    "changes applied={count} complete={is_complete} newest={newest}"
                ));
                vec![]
            }
            Err(rejections) => {
                for Rejection { key, error } in &rejections {
                    crate::log::line(format_args!("changes rejected={key} reason={error}"));
                }
                rejections
            }
        };
        let reported = rejections.into_iter().map(|rejection| (rejection.key, rejection.error.to_string()));
        self.handle.report_apply_result(reported.collect()).await;
    }

    fn prepare_update(
        &self,
        is_snapshot: bool,
        changes: &[Change],
    ) -> Result<PreparedUpdate, Vec<Rejection>> {
        let config = self.context.config();
        let configure = |overlay: &[Value]| config.apply_overlay(|key| std::env::var(key).ok(), overlay);
        self.values.borrow().prepare_update(is_snapshot, changes, &config, configure)
    }

    async fn apply(&self, next: PreparedUpdate) {
        // The scheduler is updated first, as on a reload.
        if let Some(config) = next.config {
            let reload = SchedulerMessage::Reload(Some(Box::new(config.settings.clone())));
            // The mailbox is closed only at the end of the process.
            drop(self.scheduler.send(reload).await);
            self.context.set_config(config);
        }
        if !next.backends.is_empty() {
            self.pool.set_overlay(next.values.backends(), &next.backends).await;
        }
        self.unknown_keys.set(self.unknown_keys.get() + next.unknown_keys);
        self.values.replace(next.values);
    }
}
