//! The check of a plan against the fleet: it refuses with the key, in plain words, before anything moves.
use crate::order::wants;
use crate::plan::{Across, Fault, Plan};
use crate::planner::plan_moves;
use crate::view::FleetView;
use cluster_types::BackendId;
use std::collections::{BTreeMap, BTreeSet};

/// The boxes that a plan names.
#[derive(Clone, Debug, Default)]
pub struct Named {
    /// The box of each place.
    pub on: Vec<BackendId>,
    /// The boxes to be emptied, with the key.
    pub empty: BTreeMap<BackendId, String>,
}

/// Finds the boxes; refuses unknown names, one box under two names, and a box that is to be emptied twice or
/// emptied and filled.
pub fn named(plan: &Plan, view: &FleetView) -> Result<Named, Fault> {
    let mut first: BTreeMap<BackendId, String> = BTreeMap::new();
    let mut resolve = |name: &str, key: &str| -> Result<BackendId, Fault> {
        let found = view.named(name);
        let [id] = found.as_slice() else {
            let reason = match found.len() {
                0 => format!("no box is known as {name}"),
                n => format!("{name} stands for {n} boxes"),
            };
            return Err(Fault::new(key, reason));
        };
        let before = first.entry(id.clone()).or_insert_with(|| name.to_string());
        if before != name {
            return Err(Fault::new(key, format!("{name} is the box that was named {before} before")));
        }
        Ok(id.clone())
    };
    let mut named = Named::default();
    for (i, place) in plan.places.iter().enumerate() {
        named.on.push(resolve(&place.on, &format!("place[{i}].on"))?);
    }
    for (i, name) in plan.empty.iter().enumerate() {
        let key = format!("empty[{i}].box");
        let id = resolve(name, &key)?;
        if named.empty.insert(id, key.clone()).is_some() {
            return Err(Fault::new(key, format!("{name} is named twice")));
        }
    }
    for (i, id) in named.on.iter().enumerate() {
        if named.empty.contains_key(id) {
            let reason = format!("{id} is to be emptied and filled");
            return Err(Fault::new(format!("place[{i}].on"), reason));
        }
    }
    Ok(named)
}

fn covered(plan: &Plan, view: &FleetView) -> Result<(), Fault> {
    let volumes: BTreeSet<_> = plan.places.iter().map(|p| &p.volume).collect();
    for volume in volumes {
        let mut places: Vec<_> = plan
            .places
            .iter()
            .enumerate()
            .filter(|(_, p)| p.volume == *volume)
            .map(|(i, p)| (p.blocks, i))
            .collect();
        places.sort();
        let key = |i: usize, what: &str| format!("place[{i}].{what}");
        let Some(known) = view.volumes.get(volume).filter(|_| view.placement.knows(volume)) else {
            let at = places.first().map_or(0, |p| p.1);
            return Err(Fault::new(key(at, "volume"), format!("no volume {volume} is known")));
        };
        let (mut end, mut before) = (0, None::<usize>);
        for (blocks, i) in &places {
            if blocks.first < end {
                let other = before.unwrap_or(0);
                let reason = format!("{blocks} of {volume} overlaps with place[{other}]");
                return Err(Fault::new(key((*i).max(other), "blocks"), reason));
            }
            if blocks.first > end {
                let reason = format!("leaves a gap: {end}..{} of {volume} has no place", blocks.first);
                return Err(Fault::new(key(*i, "blocks"), reason));
            }
            (end, before) = (blocks.end, Some(*i));
        }
        let last = before.unwrap_or(0);
        if end > known.blocks {
            let reason = format!("{volume} has only {} blocks", known.blocks);
            return Err(Fault::new(key(last, "blocks"), reason));
        }
        if end < known.blocks {
            let reason = format!("leaves a gap: {end}..{} of {volume} has no place", known.blocks);
            return Err(Fault::new(key(last, "blocks"), reason));
        }
    }
    Ok(())
}

impl Plan {
    /// Whether the plan can be kept by this fleet; if not, the key and why.
    pub fn check(&self, view: &FleetView) -> Result<(), Fault> {
        let names = named(self, view)?;
        covered(self, view)?;
        let wants = wants(self, &names, view)?;
        let mut end = view.books();
        for want in &wants {
            end.take(&want.volume, want.blocks, &want.from);
            end.put(&want.volume, want.blocks, &want.to);
        }
        let now = view.books();
        for want in &wants {
            if let Err(why) = end.fits(view, &want.to) {
                return Err(Fault::new(&want.key, why));
            }
            if self.bounds.across == Across::Never && view.hall(&want.from) != view.hall(&want.to) {
                let reason = format!(
                    "can't be kept: {} of {} has to go from {} to {} in another hall ({})",
                    want.blocks, want.volume, want.from, want.to, want.key
                );
                return Err(Fault::new("bounds.across_halls", reason));
            }
            for on in [&want.from, &want.to] {
                let spare = now.spare(view, on).saturating_mul(u64::from(self.bounds.share_milli)) / 1000;
                if spare == 0 {
                    let reason = format!(
                        "can't be kept: that share of what {on} can do beyond reservations is nothing, so that {} of {} would never move",
                        want.blocks, want.volume
                    );
                    return Err(Fault::new("bounds.share_of_spare", reason));
                }
            }
        }
        plan_moves(self, view).map(|_| ())
    }
}
