//! Bounds and what must go together, over all sections of a file.
use crate::file::FileIn;
use crate::file::DEFAULT_NAME;
use crate::{fault, iscsi, Class, Fault, Speaks, Targets};

/// Names the first key that cannot work. `name` is the file's own: a sidecar has no environment to add to its file.
pub(crate) fn check(
    name: &str,
    file: &FileIn,
    classes: &[Class],
    plans: &[String],
    known: &Targets,
    zones: &[String],
    fleet: u32,
) -> Result<(), Fault> {
    if file.limits.sockets < 16 {
        return fault("limits.sockets", "must be at least 16");
    }
    if file.limits.memory_mb < 8 {
        return fault("limits.memory_mb", "must be at least 8");
    }
    let times = [
        ("clients.idle_s", file.clients.idle_s),
        ("clients.command_s", file.clients.command_s),
        ("clients.unread_s", file.clients.unread_s),
    ];
    if let Some((key, _)) = times.into_iter().find(|(_, s)| !(0.1..=3600.0).contains(s)) {
        return fault(key, "must be 0.1 to 3600");
    }
    if let Some(iscsi) = &file.iscsi {
        iscsi::check(iscsi, classes, plans)?;
    }
    if let Some(accord) = &file.accord {
        accord.check(file.name.as_deref().unwrap_or(DEFAULT_NAME), zones)?;
        // Guards limits and cold budgets: the module counts on an even part for each front.
        if accord.members.len() > fleet as usize {
            let members = accord.members.len();
            return fault(
                "settings.FleetSize",
                format!("is {fleet}, and accord.member has {members} fronts"),
            );
        }
    }
    if let Some(changes) = &file.changes {
        changes.check(file.name.as_deref().unwrap_or(DEFAULT_NAME), file.accord.is_some())?;
        // Guards descriptors: those of subscribers come beside all others.
        if changes.listen.is_some() && changes.most as usize > file.limits.sockets / 2 {
            return fault("changes.most", "is more than half of limits.sockets");
        }
    }
    let boxes = known.targets.iter().position(|t| t.speaks == Speaks::Iscsi);
    if let (Some(i), None) = (boxes, &file.iscsi) {
        return fault(format!("known.instances[{i}].speaks"), "iscsi needs LUNs under iscsi.lun");
    }
    if known.targets.is_empty() && file.discovery.is_none() && name.ends_with(".toml") {
        return fault("known.instances", "no disk box, and no discovery to tell of one");
    }
    if file.listen.is_none() && file.iscsi.is_none() && name.ends_with(".toml") {
        return fault("listen", "neither this nor iscsi.listen is there");
    }
    Ok(())
}
