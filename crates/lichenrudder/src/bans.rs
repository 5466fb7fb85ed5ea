//! Disk boxes that operators have taken out. To the module such a box drains, whatever discovery lists, until the
//! call that puts it back. What is banned is kept in a file under `TMPDIR`, so that it holds for the process that
//! follows; where there is none, a ban ends with the process.
use crate::context::Context;
use crate::handover::path;
use crate::module::Mail;
use config::Targets;
use oxbowhill::interface::{ListNews, NodeEntry, NodeId, NodeState};
use std::rc::Rc;

/// So many boxes are remembered as listed; with each box replaced by another, older ones are forgotten.
const LISTED: usize = 4096;

/// Reads what an earlier process of this front had banned; tells whether it is something else than is held.
pub fn load(context: &Context) -> bool {
    let read = path(context, "bans").and_then(|p| std::fs::read_to_string(p).ok());
    let Some(text) = read else { return false };
    let bans = text.lines().filter(|l| !l.is_empty()).map(|l| NodeId(l.into())).collect();
    let changed = *context.bans.borrow() != bans;
    bans.iter().for_each(|node| remember(context, node));
    context.bans.replace(bans);
    changed
}

/// Keeps what is banned. The old file is there until the new one is whole.
fn save(context: &Context) {
    let (Some(path), Some(half)) = (path(context, "bans"), path(context, "half")) else { return };
    let text: String = context.bans.borrow().iter().map(|n| format!("{}\n", n.0)).collect();
    if let Err(e) = std::fs::write(&half, text).and_then(|()| std::fs::rename(&half, &path)) {
        crate::log::line(format_args!("bans error={e}"));
    }
}

fn remember(context: &Context, node: &NodeId) {
    let mut listed = context.listed.borrow_mut();
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
pub fn seen(context: &Context, mut entry: NodeEntry) -> NodeEntry {
    if entry.state == NodeState::Ready && context.bans.borrow().contains(&entry.node) {
        entry.state = NodeState::Draining;
    }
    entry
}

/// A message of discovery as it counts for this front.
pub fn news(context: &Context, targets: &Targets) -> ListNews {
    let entries = targets.targets.iter().map(|target| {
        remember(context, &target.entry.node);
        seen(context, target.entry.clone())
    });
    match targets.whole {
        true => ListNews::Full(entries.collect()),
        false => ListNews::Delta(entries.collect()),
    }
}

/// Takes a box out, or puts it back; no for one that was never listed.
pub async fn set(context: &Rc<Context>, node: &str, out: bool) -> bool {
    let node = NodeId(node.into());
    if !context.listed.borrow().0.contains(&node) {
        return false;
    }
    let changed = match out {
        true => context.bans.borrow_mut().insert(node.clone()),
        false => context.bans.borrow_mut().remove(&node),
    };
    if changed {
        crate::log::line(format_args!("ban node={} out={out}", node.0));
        save(context);
        apply(context).await;
    }
    true
}

/// Puts in force what is banned now: attempts that still wait for a connection first, then the module.
pub async fn apply(context: &Rc<Context>) {
    let mut entries = Vec::new();
    for peer in context.peers.borrow().values() {
        let entry = seen(context, peer.place.entry.borrow().clone());
        peer.place.closed.set(entry.state != NodeState::Ready);
        drop(peer.mail.try_send(crate::peer::PeerMail::Changed));
        entries.push(entry);
    }
    // Guards the watch: this is no news of discovery, and must not pass for a sign that it was heard.
    let _ = context.module.send(Mail::News(ListNews::Cached(entries))).await;
}
