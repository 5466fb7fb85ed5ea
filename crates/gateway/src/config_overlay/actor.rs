//! Changes of configuration at this front: what relays tell is put in force whole or not at all, over the file. An actor that
//! meets the host (`coordination::changes`) through mailboxes; without the section `[changes]` it is never started.
use crate::admin::operators::Operators;
use crate::backend::pool::BackendPool;
use crate::config_overlay::effective::{EffectiveConfig, Next, Refused};
use crate::context::Context;
use crate::coordination::member::chance;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use cluster_types::MemberId;
use config::{Config, Distribution};
use config_distribution::{RateLimit, Scope, Topic};
use coordination::changes::{Decide, Handle, Mailbox, Role, Settings, Upstream};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// What is in force of changes.
pub struct ConfigOverlay {
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    /// The front's end of the host's mailbox.
    pub handle: Handle,
    /// Whether this machine has a vote in the log.
    pub votes: bool,
    values: RefCell<EffectiveConfig>,
    passed_over: Cell<u64>,
}

/// The host's mailbox, where the configuration has the section.
pub fn mailbox(config: &Config) -> Option<Mailbox> {
    config.distribution.as_ref().map(|_| Mailbox::new())
}

/// Relays in the order of preference; which of equals is the first hangs on the name, so that they share the fronts.
fn in_order(name: &str, relays: &[config::Upstream]) -> Vec<Upstream> {
    let mut hash = DefaultHasher::new();
    name.hash(&mut hash);
    let turn = hash.finish() as usize;
    let upstream = |r: &config::Upstream| Upstream { name: MemberId(r.name.as_str().into()), at: r.at };
    let rotated = relays.chunk_by(|_, next| next.equal).flat_map(|equals| {
        let (after, first) = equals.split_at(turn % equals.len());
        first.iter().chain(after).map(upstream)
    });
    rotated.collect()
}

fn settings(config: &Config, section: &Distribution) -> Result<Settings, String> {
    let topics = section.region.iter().map(|of| Topic::Region(of.as_str().into()));
    let topics = topics.chain(section.zone.iter().map(|of| Topic::Zone(of.as_str().into())));
    let topics = topics.chain(section.shards.iter().map(|of| Topic::Shard(*of)));
    let topics = topics.chain(section.volumes.iter().map(|of| Topic::Volume(of.as_str().into())));
    let role = match section.listen {
        Some(at) if config.coordination.is_some() => Role::Voter(at),
        Some(at) => Role::Relay(at),
        None => Role::Front(Scope::of(topics), section.state.clone()),
    };
    let machine = config_distribution::Settings {
        batch_interval: Duration::from_secs_f64(section.batch_s),
        max_subscribers: section.max_subscribers as usize,
        subscription_rate: RateLimit {
            bytes_per_second: section.admission_bytes_s,
            burst_bytes: section.admission_bytes_s,
        },
        ..config_distribution::Settings::default()
    };
    let voters =
        config.coordination.iter().flat_map(|coordination| &coordination.members).map(|member| &member.name);
    let expects = voters.chain(section.relays.iter().map(|relay| &relay.name));
    Ok(Settings {
        me: MemberId(config.name.as_str().into()),
        role,
        expects: expects.map(|name| MemberId(name.as_str().into())).collect(),
        relays: in_order(&config.name, &section.relays),
        keys: section.keys().map_err(|e| e.to_string())?,
        machine,
        fleet: config.settings.gateways,
        seed: chance(),
    })
}

/// Starts the host; an error names the key. What was kept is in force when this returns.
pub async fn start(on: &Operators, mailbox: Mailbox) -> Result<Rc<ConfigOverlay>, String> {
    let Operators { context, scheduler, pool, coordination, .. } = on;
    let config = context.config();
    let Some(section) = &config.distribution else { return Err("changes: not in the configuration".into()) };
    let settings = settings(&config, section)?;
    let votes = matches!(settings.role, Role::Voter(_));
    let log = |line: &str| crate::log::line(format_args!("{line}"));
    let started = coordination::changes::start(settings, mailbox, coordination.as_ref(), log)?;
    let config_overlay = Rc::new(ConfigOverlay {
        context: context.clone(),
        scheduler: scheduler.clone(),
        pool: pool.clone(),
        handle: started.handle,
        votes,
        values: RefCell::default(),
        passed_over: Cell::new(0),
    });
    if started.kept {
        if let Ok(first) = started.decides.recv().await {
            config_overlay.decide(first).await;
        }
    }
    let (follows, decides) = (config_overlay.clone(), started.decides);
    let follow = async move {
        while let Ok(next) = decides.recv().await {
            follows.decide(next).await;
        }
    };
    context.executor.spawn(follow).detach();
    Ok(config_overlay)
}

impl ConfigOverlay {
    /// What lies over the file's settings.
    pub fn settings(&self) -> Vec<Value> {
        self.values.borrow().settings()
    }

    /// Keys that meant nothing here.
    pub fn passed_over(&self) -> u64 {
        self.passed_over.get()
    }

    /// Keys change in service.
    pub fn rekey(&self, old: &Config, new: &Config) {
        let keys = |c: &Config| c.distribution.as_ref().and_then(|changes| changes.keys().ok());
        if let Some(keys) = keys(new).filter(|k| Some(*k) != keys(old)) {
            self.handle.rekey(keys);
        }
    }

    /// Puts in force, and tells what could not be.
    async fn decide(&self, decide: Decide) {
        let Decide { whole, changes } = &decide;
        let refused = match self.next(*whole, changes) {
            Ok(next) => {
                self.put(next).await;
                let newest = changes.iter().map(|change| change.version.0).max().unwrap_or(0);
                let count = changes.len();
                crate::log::line(format_args!("changes in_force={count} whole={whole} newest={newest}"));
                vec![]
            }
            Err(refused) => {
                for (key, why) in &refused {
                    crate::log::line(format_args!("changes refused={key} why={why}"));
                }
                refused
            }
        };
        self.handle.decided(refused).await;
    }

    fn next(&self, whole: bool, changes: &[config_distribution::Change]) -> Result<Next, Refused> {
        let config = self.context.config();
        let put = |over: &[Value]| {
            config.apply_overlay(|key| std::env::var(key).ok(), over).map_err(|e| e.to_string())
        };
        self.values.borrow().next((whole, changes), &config, put)
    }

    async fn put(&self, next: Next) {
        // The module first, as where a file is read again.
        if let Some(config) = next.config {
            let _ =
                self.scheduler.send(SchedulerMessage::Reload(Some(Box::new(config.settings.clone())))).await;
            self.context.configure(config);
        }
        if !next.backends.is_empty() {
            self.pool.set_overlay(next.values.backends(), &next.backends).await;
        }
        self.passed_over.set(self.passed_over.get() + next.passed_over);
        self.values.replace(next.values);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn equals_share_the_fronts_and_the_order_of_others_stays() {
        let relay = |n: u8, equal| {
            let at = format!("127.0.0.{n}:7950").parse().unwrap();
            config::Upstream { name: format!("relay-{n}"), at, equal }
        };
        let relays = [relay(1, false), relay(2, true), relay(3, true), relay(4, false)];
        let mut firsts = [0; 5];
        for n in 0..300 {
            let order = in_order(&format!("front-{n}"), &relays);
            let last = |at: usize| order[at].name.0.as_bytes()[6] - b'0';
            let mut names: Vec<u8> = (0..4).map(last).collect();
            firsts[usize::from(names[0])] += 1;
            assert_eq!(names[3], 4);
            names.sort();
            assert_eq!(names, [1, 2, 3, 4]);
        }
        assert!(firsts[1..4].iter().all(|count| *count > 60), "{firsts:?}");
    }
}
