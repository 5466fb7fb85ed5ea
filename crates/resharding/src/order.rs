//! Wanted minus present: which blocks have to go where.
use crate::check::Named;
use crate::plan::{Across, Fault, Plan};
use crate::view::FleetView;
use cluster_types::{BackendId, BlockRange, Volume};
use std::cmp::Reverse;

/// Blocks that have to go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// Where they are.
    pub from: BackendId,
    /// Where they belong.
    pub to: BackendId,
    /// The key of the plan that wants it.
    pub key: String,
    /// Why, in plain words.
    pub why: String,
    /// Whether it empties a box.
    pub empties: bool,
}

impl Want {
    /// What goes first: what empties boxes, then the halls' order, then by name.
    pub fn rank(&self, across: Across, view: &FleetView) -> impl Ord {
        let leaves = view.hall(&self.from) != view.hall(&self.to);
        let late = match across {
            Across::ExportsFirst => !leaves,
            Across::Last | Across::Never => leaves,
        };
        (late, !self.empties, self.volume.clone(), self.blocks, self.to.clone())
    }
}

/// All that has to go, in no order that means anything but always the same.
pub fn wants(plan: &Plan, names: &Named, view: &FleetView) -> Result<Vec<Want>, Fault> {
    let mut wants = Vec::new();
    let mut end = view.books();
    for (i, (place, to)) in plan.places.iter().zip(&names.on).enumerate() {
        for at in view.placement.find(&place.volume, place.blocks).unwrap_or_default() {
            if at.on == *to {
                continue;
            }
            end.take(&place.volume, at.blocks, &at.on);
            end.put(&place.volume, at.blocks, to);
            let empties = names.empty.contains_key(&at.on);
            let mut why = format!("the plan places {} of {} on {to}", at.blocks, place.volume);
            if empties {
                why.push_str(&format!(", and {} is to be emptied", at.on));
            }
            let (volume, blocks) = (place.volume.clone(), at.blocks);
            let (key, to) = (format!("place[{i}].on"), to.clone());
            wants.push(Want { volume, blocks, from: at.on, to, key, why, empties });
        }
    }
    // What no place names but lies on a box that is to be emptied: the box with the most room left takes it.
    for volume in view.placement.volumes() {
        if plan.places.iter().any(|p| p.volume == *volume) {
            continue;
        }
        for at in view.placement.ranges(volume) {
            let Some(key) = names.empty.get(&at.on) else { continue };
            let mut rest = at.blocks;
            while !rest.is_empty() {
                let room = |id: &BackendId| {
                    let room = view.boxes.get(id).map_or(0, |b| b.room);
                    let blocks = BlockRange {
                        first: rest.first,
                        end: rest.end.min(rest.first + room.saturating_sub(end.blocks(id))),
                    };
                    let mut after = end.clone();
                    after.put(volume, blocks, id);
                    (!blocks.is_empty() && after.fits(view, id).is_ok()).then_some(blocks)
                };
                let best = view
                    .boxes
                    .iter()
                    .filter(|(id, b)| {
                        let stays = view.hall(&at.on) == Some(&b.hall);
                        !names.empty.contains_key(*id) && (stays || plan.bounds.across != Across::Never)
                    })
                    .filter_map(|(id, b)| room(id).map(|blocks| (id, b, blocks)))
                    .min_by_key(|(id, b, blocks)| {
                        let stays = view.hall(&at.on) == Some(&b.hall);
                        let free = b.room.saturating_sub(end.blocks(id));
                        (Reverse(blocks.len()), !stays, Reverse(free), (*id).clone())
                    });
                let Some((to, _, blocks)) = best else {
                    let reason = format!("no box has room and reserves for {rest} of {volume} on {}", at.on);
                    return Err(Fault::new(key, reason));
                };
                end.take(volume, blocks, &at.on);
                end.put(volume, blocks, to);
                let why = format!("{} is to be emptied, and {to} has the most room left", at.on);
                let (key, to) = (key.clone(), to.clone());
                wants.push(Want {
                    volume: volume.clone(),
                    blocks,
                    from: at.on.clone(),
                    to,
                    key,
                    why,
                    empties: true,
                });
                rest.first = blocks.end;
            }
        }
    }
    Ok(wants)
}
