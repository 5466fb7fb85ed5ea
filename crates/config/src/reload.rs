//! Reloads: replace the effective configuration by a later file, or by other overlays of its settings.
use crate::build::build;
use crate::environment::{apply_environment, read_file, read_in_environment};
use crate::error::invalid;
use crate::gather_policies::{self, PolicyContext};
use crate::placement::{merge_names, place, removed};
use crate::source::TargetSource;
use crate::{iscsi, Class, Config, ConfigError, Coordination, Distribution, Retired};
use serde_json::Value;
use std::sync::Arc;

/// A configuration after a reload.
#[derive(Clone, Debug)]
pub struct Reloaded {
    /// The configuration.
    pub config: Config,
    /// Changed keys that need a restart and keep their old values until then.
    pub needs_restart: Vec<&'static str>,
}

/// The environment without its address of discovery: a reload uses that of the file.
fn without_discovery(var: impl Fn(&str) -> Option<String>) -> impl Fn(&str) -> Option<String> {
    move |key| if key == "GW_DISCOVERY" { None } else { var(key) }
}

impl Config {
    /// Reads the file that the environment names again and replaces this configuration. Indexes of classes, plans and zones that
    /// are in use keep their meaning. The address of discovery is that of the file if the file has a different one than before.
    ///
    /// # Errors
    /// Names the first invalid key; this configuration then stays effective.
    pub fn reload(&self, var: impl Fn(&str) -> Option<String>) -> Result<Reloaded, ConfigError> {
        self.reload_with_overlay(var, &[])
    }

    /// Like [`Config::reload`], with the overlays merged over the file's settings in order.
    ///
    /// # Errors
    /// As for [`Config::reload`].
    pub fn reload_with_overlay(
        &self,
        var: impl Fn(&str) -> Option<String>,
        overlay: &[Value],
    ) -> Result<Reloaded, ConfigError> {
        let file = read_file(&var)?;
        let new = read_in_environment(without_discovery(&var), file, overlay)?;
        self.replace(var, new, true)
    }

    /// Merges the overlays over the settings of the file as last read, and checks the result like a new file. The list of backends
    /// is not parsed again, so the cost depends only on the size of the settings, unless these have new zones.
    ///
    /// # Errors
    /// The configuration has no section `[changes]`; otherwise names the first invalid key.
    pub fn apply_overlay(
        &self,
        var: impl Fn(&str) -> Option<String>,
        overlay: &[Value],
    ) -> Result<Config, ConfigError> {
        let Some(source) = &self.source else { return invalid("changes", "is not in the configuration") };
        let new = build(source.clone(), overlay, TargetSource::Parsed(self.known.clone()))?;
        let new = apply_environment(without_discovery(&var), new)?;
        if new.zones.iter().all(|zone| self.zones.contains(zone)) {
            return Ok(self.replace(var, new, false)?.config);
        }
        let new = read_in_environment(without_discovery(&var), source.file.clone(), overlay)?;
        Ok(self.replace(var, new, true)?.config)
    }

    /// Makes `new` the successor of this configuration; `is_list_parsed` tells whether its list of backends was parsed with
    /// the zones of `new`, rather than taken from this configuration.
    fn replace(
        &self,
        var: impl Fn(&str) -> Option<String>,
        mut new: Config,
        is_list_parsed: bool,
    ) -> Result<Reloaded, ConfigError> {
        new.source = new.source.filter(|_| self.source.is_some());
        // Keys missing in a truncated file would silently get their defaults, for example no slow start.
        if let Some(key) = self.shape.missing_in(&new.shape) {
            return invalid(key, "is missing, and the file before had it");
        }
        new.keep_kinds(&self.classes);
        let is_discovery_unchanged = new.file_discovery == self.file_discovery;
        if is_discovery_unchanged || (new.file_discovery.is_none() && var("GW_DISCOVERY").is_some()) {
            new.discovery = self.discovery;
        }
        self.check_kept_sections(&new)?;
        self.keep_indexes(&mut new, is_list_parsed)?;
        let needs_restart = self.changed_keys(&new);
        self.keep_until_restart(&mut new);
        Ok(Reloaded { config: new, needs_restart })
    }

    /// Keeps the kinds of classes that were known before: the list of kinds (`FamilyInfo.Writes`) may not have been updated when
    /// classes were added or removed, and then its entries belong to other classes. For new classes it is used only if it agrees
    /// with the known kinds of all others.
    fn keep_kinds(&mut self, before: &[Class]) {
        let known =
            |class: &Class| before.iter().find(|old| old.name == class.name).and_then(|old| old.write);
        let agrees = |class: &Class| {
            class.write.is_some() && known(class).is_none_or(|kind| class.write == Some(kind))
        };
        let is_updated = self.classes.iter().all(agrees);
        for class in &mut self.classes {
            class.write = known(class).or(class.write.filter(|_| is_updated));
        }
    }

    /// Checks that sections which only a restart changes are still valid with the new settings.
    fn check_kept_sections(&self, new: &Config) -> Result<(), ConfigError> {
        if let Some(iscsi) = &self.iscsi {
            iscsi::check(iscsi, &new.classes, &new.plans)?;
        }
        let context = PolicyContext {
            supports_partial_results: self.listen.is_some(),
            classes: &new.classes,
            zones: &new.zones,
            shards: new.shards,
            iscsi: self.iscsi.as_ref(),
            memory_mb: new.limits.memory_mb,
        };
        gather_policies::check(self.gather_policies.iter().map(|policy| &**policy), &context)
    }

    /// Keeps the indexes of this configuration's classes, plans and zones in the new one.
    fn keep_indexes(&self, new: &mut Config, is_list_parsed: bool) -> Result<(), ConfigError> {
        let names = |classes: &[Class]| classes.iter().map(|class| class.name.clone()).collect::<Vec<_>>();
        let classes = merge_names("settings.Classes", &names(&self.classes), &names(&new.classes))?;
        let plans = merge_names("settings.Contracts", &self.plans, &new.plans)?;
        let zones = merge_names("settings.Zones", &self.zones, &new.zones)?;
        new.settings.classes = place(&classes, &self.settings.classes, &new.settings.classes);
        new.settings.plans = place(&plans, &self.settings.plans, &new.settings.plans);
        new.classes = place(&classes, &self.classes, &new.classes);
        new.plans = place(&plans, &self.plans, &new.plans);
        new.retired = Retired { classes: removed(&classes), plans: removed(&plans) };
        if is_list_parsed {
            for target in &mut Arc::make_mut(&mut new.known).targets {
                let index = zones.iter().position(|zone| *zone == Some(target.entry.zone as usize));
                target.entry.zone = index.unwrap_or(zones.len()) as u32;
            }
        }
        new.zones = place(&zones, &self.zones, &new.zones);
        Ok(())
    }

    /// The keys that differ and need a restart.
    fn changed_keys(&self, new: &Config) -> Vec<&'static str> {
        let (old_coordination, new_coordination) = (self.coordination.as_ref(), new.coordination.as_ref());
        let (old_distribution, new_distribution) = (self.distribution.as_ref(), new.distribution.as_ref());
        let checks = [
            ("name", new.name == self.name),
            ("listen", new.listen == self.listen),
            ("seed", new.seed == self.seed),
            ("agent", new.agent == self.agent),
            ("health", new.health == self.health),
            ("admin", new.admin == self.admin),
            ("iscsi", new.iscsi == self.iscsi),
            // Message authentication keys change without a restart.
            ("accord", Coordination::equal_except_keys(new_coordination, old_coordination)),
            ("changes", Distribution::equal_except_keys(new_distribution, old_distribution)),
            ("gather", new.gather_policies == self.gather_policies),
        ];
        checks.into_iter().filter(|(_, is_equal)| !is_equal).map(|(key, _)| key).collect()
    }

    /// Restores the values in `new` that only a restart changes.
    fn keep_until_restart(&self, new: &mut Config) {
        new.name = self.name.clone();
        new.listen = self.listen;
        new.seed = self.seed;
        new.agent = self.agent.clone();
        new.health = self.health.clone();
        new.admin = self.admin;
        new.iscsi = self.iscsi.clone();
        new.gather_policies = self.gather_policies.clone();
        let keys = new.coordination.take().map(|section| section.keys);
        new.coordination = self.coordination.clone();
        if let (Some(section), Some(keys)) = (&mut new.coordination, keys) {
            section.keys = keys;
        }
        let keys = new.distribution.take().map(|section| section.keys);
        new.distribution = self.distribution.clone();
        if let (Some(section), Some(keys)) = (&mut new.distribution, keys) {
            section.keys = keys;
        }
    }
}
