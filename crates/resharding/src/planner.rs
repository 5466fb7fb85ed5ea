//! The order of the moves, told before anything moves. The same from the same input on every front, whatever the
//! order in which a file names its places.
use crate::check::named;
use crate::order::{wants, Want};
use crate::plan::{Across, Fault, Plan};
use crate::view::{Books, FleetView};
use cluster_types::{BackendId, BlockRange, Volume};
use serde::{Deserialize, Serialize};

/// A move in the order that would be taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Its number in the order, from 1.
    pub id: u32,
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// From this box.
    pub from: BackendId,
    /// To this box.
    pub to: BackendId,
    /// The steps that have to be done before: they make the room, or bring the range to where it goes from.
    pub after: Vec<u32>,
    /// Why, in plain words.
    pub why: String,
}

struct Left {
    want: Want,
    /// The step that brought the range to a third place.
    brought: Option<u32>,
}

struct Order<'a> {
    view: &'a FleetView,
    /// What each box holds once all steps so far are done.
    now: Books,
    /// What each box holds at the worst: with all that came and nothing that left.
    most: Books,
    steps: Vec<Step>,
}

impl Order<'_> {
    fn fits(&self, books: &Books, volume: &Volume, blocks: BlockRange, on: &BackendId) -> bool {
        let mut then = books.clone();
        then.put(volume, blocks, on);
        then.fits(self.view, on).is_ok()
    }

    /// Adds a step. It waits only for as many departures as it needs, the earliest first.
    fn step(&mut self, want: &Want, to: &BackendId, brought: Option<u32>, why: String) -> u32 {
        let id = self.steps.len() as u32 + 1;
        let mut after: Vec<u32> = brought.into_iter().collect();
        let mut books = self.most.clone();
        let mut why = why;
        for step in self.steps.iter().filter(|s| s.from == *to) {
            if self.fits(&books, &want.volume, want.blocks, to) {
                break;
            }
            books.take(&step.volume, step.blocks, to);
            after.push(step.id);
            why.push_str(&format!("; waits for step {}, which makes room on {to}", step.id));
        }
        after.sort_unstable();
        after.dedup();
        self.now.take(&want.volume, want.blocks, &want.from);
        self.now.put(&want.volume, want.blocks, to);
        self.most.put(&want.volume, want.blocks, to);
        let (volume, blocks, from) = (want.volume.clone(), want.blocks, want.from.clone());
        self.steps.push(Step { id, volume, blocks, from, to: to.clone(), after, why });
        id
    }
}

/// The third place that takes a range for a while: one with room, in the same hall where it can be.
fn third(
    order: &Order<'_>,
    want: &Want,
    across: Across,
    avoid: &dyn Fn(&BackendId) -> bool,
) -> Option<BackendId> {
    let view = order.view;
    view.boxes
        .keys()
        .filter(|id| **id != want.from && **id != want.to && !avoid(id))
        .filter(|id| order.fits(&order.now, &want.volume, want.blocks, id))
        .map(|id| (view.hall(id) != view.hall(&want.from), id))
        .filter(|(leaves, _)| !(*leaves && across == Across::Never))
        .min()
        .map(|(_, id)| id.clone())
}

/// The ordered moves that turn the present state into the wanted one.
pub fn plan_moves(plan: &Plan, view: &FleetView) -> Result<Vec<Step>, Fault> {
    let names = named(plan, view)?;
    let across = plan.bounds.across;
    let mut left: Vec<Left> =
        wants(plan, &names, view)?.into_iter().map(|want| Left { want, brought: None }).collect();
    left.sort_by_cached_key(|l| l.want.rank(across, view));
    let mut order = Order { view, now: view.books(), most: view.books(), steps: Vec::new() };
    while !left.is_empty() {
        let next =
            left.iter().position(|l| order.fits(&order.now, &l.want.volume, l.want.blocks, &l.want.to));
        if let Some(at) = next {
            let Left { want, brought } = left.remove(at);
            let to = want.to.clone();
            order.step(&want, &to, brought, want.why.clone());
            continue;
        }
        // Each waits for another one's room: one of them goes by way of a third place.
        let avoid = |id: &BackendId| names.empty.contains_key(id);
        let detour = left.iter().enumerate().filter(|(_, l)| l.brought.is_none()).find_map(|(at, l)| {
            let freed = left.iter().any(|o| o.want.to == l.want.from);
            freed.then(|| third(&order, &l.want, across, &avoid)).flatten().map(|by| (at, by))
        });
        let Some((at, by)) = detour else {
            let Some(Left { want, .. }) = left.first() else { break };
            let why = format!(
                "{} of {} can't go from {} to {}: there is no room yet, and no third place has room to break the circle",
                want.blocks, want.volume, want.from, want.to
            );
            return Err(Fault::new(&want.key, why));
        };
        let want = left[at].want.clone();
        let why = format!("{}; by way of {by}, since the boxes wait for each other's room", want.why);
        let id = order.step(&want, &by, None, why);
        left[at].want.from = by;
        left[at].brought = Some(id);
    }
    Ok(order.steps)
}

/// Whether every box can hold what it has while some steps are done and some run.
pub fn keeps(view: &FleetView, steps: &[Step], done: &[u32], running: &[u32]) -> Result<(), Fault> {
    let mut books = view.books();
    for step in steps {
        if done.contains(&step.id) || running.contains(&step.id) {
            books.put(&step.volume, step.blocks, &step.to);
        }
        if done.contains(&step.id) {
            books.take(&step.volume, step.blocks, &step.from);
        }
    }
    for id in view.boxes.keys() {
        let over = books.fits(view, id).err().filter(|_| view.books().fits(view, id).is_ok());
        if let Some(why) = over {
            return Err(Fault::new("step", why));
        }
    }
    Ok(())
}
