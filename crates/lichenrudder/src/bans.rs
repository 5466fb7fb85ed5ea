//! Disk boxes that operators have taken out. To the module such a box drains, whatever discovery lists, until the
//! call that puts it back. What is banned is kept in a file under `TMPDIR`, so that it holds for the process that
//! follows; where there is none, a ban ends with the process.
use crate::context::Context;
use crate::files;
use oxbowhill::interface::{NodeEntry, NodeId, NodeState};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::path::{Path, PathBuf};

/// So many boxes are remembered as listed; with each box replaced by another, older ones are forgotten.
const LISTED: usize = 4096;

/// The last line of a file that is whole.
const END_LINE: &str = "end\n";

/// Writes down what is banned as of then, and removes what was written before. A new file each time: a disk may make
/// a rename over an old one wait for seconds.
fn write(front: &Path, at: i64, bans: &BTreeSet<NodeId>) -> std::io::Result<()> {
    let text: String = bans.iter().map(|n| format!("{}\n", n.0)).collect();
    std::fs::write(front.with_extension(format!("{at:020}.bans")), format!("{text}{END_LINE}"))?;
    for (path, _) in written(front).into_iter().filter(|(_, n)| *n < at) {
        std::fs::remove_file(path)?;
    }
    Ok(())
}

/// What was written last and is whole, and as of when.
pub fn read(front: &Path) -> Option<(i64, BTreeSet<NodeId>)> {
    written(front).into_iter().rev().find_map(|(path, at)| {
        let text = std::fs::read_to_string(path).ok()?;
        let text = text.strip_suffix(END_LINE)?;
        Some((at, text.lines().map(|l| NodeId(l.into())).collect()))
    })
}

/// The files in which a front wrote down what is banned, the oldest first.
fn written(front: &Path) -> Vec<(PathBuf, i64)> {
    let beside = files::beside(front);
    let number = |p: &Path| -> Option<i64> { p.file_stem()?.to_str()?.rsplit_once('.')?.1.parse().ok() };
    let bans = beside.into_iter().filter(|p| p.extension().is_some_and(|e| e == "bans"));
    let mut files: Vec<_> = bans.filter_map(|p| number(&p).map(|n| (p, n))).collect();
    files.sort_by_key(|(_, at)| *at);
    files
}

/// The disk boxes that are taken out, and those that were listed lately.
#[derive(Default)]
pub struct Bans {
    out: RefCell<BTreeSet<NodeId>>,
    /// Those that the fronts have settled to take out.
    settled: RefCell<BTreeSet<NodeId>>,
    /// As of when.
    at: Cell<i64>,
    /// Boxes that were listed lately, the oldest first.
    listed: RefCell<(BTreeSet<NodeId>, VecDeque<NodeId>)>,
}

impl Bans {
    /// All that are taken out.
    pub fn all(&self) -> Vec<NodeId> {
        self.out.borrow().union(&self.settled.borrow()).cloned().collect()
    }

    /// Puts in place what was read, where it is newer than what is held; tells whether anything changed.
    pub fn take_over(&self, read: Option<(i64, BTreeSet<NodeId>)>) -> bool {
        let Some((at, bans)) = read.filter(|(at, _)| *at > self.at.get()) else { return false };
        self.at.set(at);
        bans.iter().for_each(|node| self.remember(node));
        self.out.replace(bans.clone()) != bans
    }

    /// Writes down what is banned now, beside everything else: the one thread never waits for a disk.
    fn save(&self, context: &Context) {
        let at = context.clock.now().0.max(self.at.get() + 1);
        self.at.set(at);
        let Some(front) = files::path(context) else { return };
        let bans = self.out.borrow().clone();
        let writing = async move {
            if let Err(e) = blocking::unblock(move || write(&front, at, &bans)).await {
                crate::log::line(format_args!("bans error={e}"));
            }
        };
        context.executor.spawn(writing).detach();
    }

    /// Notes that a box was listed.
    pub fn remember(&self, node: &NodeId) {
        let mut listed = self.listed.borrow_mut();
        let (names, order) = &mut *listed;
        if names.insert(node.clone()) {
            order.push_back(node.clone());
            if order.len() > LISTED {
                if let Some(old) = order.pop_front() {
                    names.remove(&old);
                }
            }
        }
    }

    /// What the module is told of an entry of the list.
    pub fn seen(&self, mut entry: NodeEntry) -> NodeEntry {
        let out = self.out.borrow().contains(&entry.node) || self.settled.borrow().contains(&entry.node);
        if entry.state == NodeState::Ready && out {
            entry.state = NodeState::Draining;
        }
        entry
    }

    /// The fronts have settled that a box is out, or back; tells whether that changed anything.
    pub fn settle(&self, node: NodeId, out: bool) -> bool {
        match out {
            true => self.settled.borrow_mut().insert(node),
            false => self.settled.borrow_mut().remove(&node),
        }
    }

    /// Takes a box out, or puts it back; tells whether that changed anything, and none for one that was never listed.
    pub fn set(&self, context: &Context, node: &str, out: bool) -> Option<bool> {
        let node = NodeId(node.into());
        if !self.listed.borrow().0.contains(&node) {
            return None;
        }
        let changed = match out {
            true => self.out.borrow_mut().insert(node.clone()),
            false => self.out.borrow_mut().remove(&node),
        };
        if changed {
            crate::log::line(format_args!("ban node={} out={out}", node.0));
            self.save(context);
        }
        Some(changed)
    }
}
