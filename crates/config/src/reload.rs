//! A later file in the place of the one in force.
use crate::file::{build, List};
use crate::{environment, fault, gathers, iscsi, Accord, Changes, Class, Config, Fault};
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The most classes, plans or zones; a reload keeps those that are left out, so their number could grow.
const MOST_NAMES: usize = 256;

/// Lays new names over old ones: each old one keeps its place, whether it is still there or not, and what is new
/// comes after. For each place the new one that stands there; none for an old one that was left out.
fn lay_over<'a>(
    key: &str,
    old: impl Iterator<Item = &'a str>,
    new: impl Iterator<Item = &'a str>,
) -> Result<Vec<Option<usize>>, Fault> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.collect(), new.collect());
    let kept = old.iter().map(|name| new.iter().position(|n| n == name));
    let added = (0..new.len()).filter(|i| !old.contains(&new[*i])).map(Some);
    let places: Vec<_> = kept.chain(added).collect();
    if places.len() > MOST_NAMES {
        return fault(key, "too many, with those that earlier files named: this needs a restart");
    }
    Ok(places)
}

/// What stands in each place: the new one, or the old one where it was left out.
fn placed<T: Clone>(places: &[Option<usize>], old: &[T], new: &[T]) -> Vec<T> {
    let of = |(i, place): (usize, &Option<usize>)| place.map_or_else(|| &old[i], |n| &new[n]).clone();
    places.iter().enumerate().map(of).collect()
}

fn left_out(places: &[Option<usize>]) -> BTreeSet<usize> {
    (0..places.len()).filter(|i| places[*i].is_none()).collect()
}

/// The environment, with no word on discovery: at a reload the file's counts.
fn as_the_file_says(var: impl Fn(&str) -> Option<String>) -> impl Fn(&str) -> Option<String> {
    move |key| if key == "GW_DISCOVERY" { None } else { var(key) }
}

impl Config {
    /// Sees to it that classes that were known before are of the kind that they had. Guards requests against a list of
    /// kinds (`FamilyInfo.Writes`) that was not renewed when classes came or went: its places are then others'. It counts
    /// for new classes only where it agrees with what is known of the others.
    fn keep_kinds(&mut self, before: &[Class]) {
        let known = |c: &Class| before.iter().find(|b| b.name == c.name).and_then(|b| b.write);
        let agrees = |c: &Class| c.write.is_some() && known(c).is_none_or(|k| c.write == Some(k));
        let renewed = self.classes.iter().all(agrees);
        for class in &mut self.classes {
            class.write = known(class).or(class.write.filter(|_| renewed));
        }
    }

    /// Reads the file that the environment names again, to be put in force in this one's place, and tells which
    /// keys have changed that need a restart and stay as they were. Indexes of classes, plans and zones that are in
    /// use keep their meaning. Discovery is the one that the file names, where it names another than before.
    pub fn reload(&self, var: impl Fn(&str) -> Option<String>) -> Result<(Config, Vec<&'static str>), Fault> {
        self.reload_under(var, &[])
    }

    /// The same, with settings laid over the file's own, one after the other.
    pub fn reload_under(
        &self,
        var: impl Fn(&str) -> Option<String>,
        over: &[Value],
    ) -> Result<(Config, Vec<&'static str>), Fault> {
        let (path, text) = environment::file(&var)?;
        let new = environment::under(as_the_file_says(&var), (&path, &text), over)?;
        self.replaced(var, new, true)
    }

    /// The file in force, with other settings laid over its own: checked as another file would be. The list is not read
    /// again, so the work is by what the settings hold, unless they name other zones.
    pub fn put_under(&self, var: impl Fn(&str) -> Option<String>, over: &[Value]) -> Result<Config, Fault> {
        let Some(source) = &self.source else { return fault("changes", "is not in the configuration") };
        let new = build(source.clone(), over, List::Understood(self.known.clone()))?;
        let new = environment::named(as_the_file_says(&var), new)?;
        if new.zones.iter().all(|zone| self.zones.contains(zone)) {
            return Ok(self.replaced(var, new, false)?.0);
        }
        let new = environment::under(as_the_file_says(&var), (&source.file.0, &source.file.1), over)?;
        Ok(self.replaced(var, new, true)?.0)
    }

    /// A configuration in this one's place; whether its list is of its own zones, rather than of these.
    fn replaced(
        &self,
        var: impl Fn(&str) -> Option<String>,
        mut new: Config,
        listed: bool,
    ) -> Result<(Config, Vec<&'static str>), Fault> {
        new.source = new.source.filter(|_| self.source.is_some());
        // Guards the settings in force against a file that was cut or lost a section: what has a default elsewhere, such
        // as the rule on cold boxes, would be off.
        if let Some(key) = self.shape.missing_in(&new.shape) {
            return fault(key, "is missing, and the file before had it");
        }
        new.keep_kinds(&self.classes);
        if new.named == self.named || (new.named.is_none() && var("GW_DISCOVERY").is_some()) {
            new.discovery = self.discovery;
        }
        if let Some(iscsi) = &self.iscsi {
            iscsi::check(iscsi, &new.classes, &new.plans)?;
        }
        // The old ones stay in force, so they must still fit.
        let beside = gathers::Beside {
            says_in_part: self.listen.is_some(),
            classes: &new.classes,
            halls: &new.zones,
            shards: new.shards,
            iscsi: self.iscsi.as_ref(),
            memory_mb: new.limits.memory_mb,
        };
        gathers::check(self.gathers.iter().map(|p| &**p), &beside)?;
        let names = |c: &[Class]| c.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        let (old_classes, new_classes) = (names(&self.classes), names(&new.classes));
        let text = String::as_str;
        let classes =
            lay_over("settings.Classes", old_classes.iter().map(text), new_classes.iter().map(text))?;
        let plans = lay_over("settings.Contracts", self.plans.iter().map(text), new.plans.iter().map(text))?;
        let zones = lay_over("settings.Zones", self.zones.iter().map(text), new.zones.iter().map(text))?;
        let (old, set) = (&self.settings, &mut new.settings);
        set.classes = placed(&classes, &old.classes, &set.classes);
        set.plans = placed(&plans, &old.plans, &set.plans);
        new.classes = placed(&classes, &self.classes, &new.classes);
        new.plans = placed(&plans, &self.plans, &new.plans);
        new.retired = (left_out(&classes), left_out(&plans));
        if listed {
            for target in &mut Arc::make_mut(&mut new.known).targets {
                let place = zones.iter().position(|z| *z == Some(target.entry.zone as usize));
                target.entry.zone = place.unwrap_or(zones.len()) as u32;
            }
        }
        new.zones = placed(&zones, &self.zones, &new.zones);
        let checks = [
            ("name", new.name == self.name),
            ("listen", new.listen == self.listen),
            ("seed", new.seed == self.seed),
            ("agent", new.agent == self.agent),
            ("health", new.health == self.health),
            ("admin", new.admin == self.admin),
            ("iscsi", new.iscsi == self.iscsi),
            // Keys change in service; all else of it needs a restart.
            ("accord", Accord::same_but_keys(new.accord.as_ref(), self.accord.as_ref())),
            ("changes", Changes::same_but_keys(new.changes.as_ref(), self.changes.as_ref())),
            ("gather", new.gathers == self.gathers),
        ];
        let kept = checks.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect();
        (new.name, new.listen, new.seed) = (self.name.clone(), self.listen, self.seed);
        (new.agent, new.health, new.iscsi) = (self.agent.clone(), self.health.clone(), self.iscsi.clone());
        new.admin = self.admin;
        new.gathers = self.gathers.clone();
        let keys = new.accord.take().map(|accord| accord.keys);
        new.accord = self.accord.clone();
        if let (Some(accord), Some(keys)) = (&mut new.accord, keys) {
            accord.keys = keys;
        }
        let keys = new.changes.take().map(|changes| changes.keys);
        new.changes = self.changes.clone();
        if let (Some(changes), Some(keys)) = (&mut new.changes, keys) {
            changes.keys = keys;
        }
        Ok((new, kept))
    }
}
