//! Bounds of a file's values, and consistency checks across its sections.
use crate::error::invalid;
use crate::file::FileIn;
use crate::source::is_operators_file;
use crate::{iscsi, BackendProtocol, Class, ConfigError, Targets};

/// The minimum number of file descriptors that a gateway needs.
const MIN_SOCKETS: usize = 16;
/// The minimum memory that a gateway needs, in MB.
const MIN_MEMORY_MB: u64 = 8;

/// The input of the checks: a file's sections, and values derived from them.
pub(crate) struct Checked<'a> {
    /// The name of the file itself. The environment completes only the platform's file.
    pub file_name: &'a str,
    pub file: &'a FileIn,
    pub classes: &'a [Class],
    pub plans: &'a [String],
    pub known: &'a Targets,
    pub zones: &'a [String],
    /// The number of gateways in the settings.
    pub gateways: u32,
}

/// Reports the first invalid key.
pub(crate) fn check(checked: &Checked<'_>) -> Result<(), ConfigError> {
    check_limits(checked.file)?;
    if let Some(iscsi) = &checked.file.iscsi {
        iscsi::check(iscsi, checked.classes, checked.plans)?;
    }
    check_coordination(checked)?;
    check_distribution(checked.file)?;
    check_endpoints(checked)
}

fn check_limits(file: &FileIn) -> Result<(), ConfigError> {
    if file.limits.sockets < MIN_SOCKETS {
        return invalid("limits.sockets", format!("must be at least {MIN_SOCKETS}"));
    }
    if file.limits.memory_mb < MIN_MEMORY_MB {
        return invalid("limits.memory_mb", format!("must be at least {MIN_MEMORY_MB}"));
    }
    let times = [
        ("clients.idle_s", file.clients.idle_s),
        ("clients.command_s", file.clients.command_s),
        ("clients.unread_s", file.clients.unread_s),
    ];
    match times.into_iter().find(|(_, seconds)| !(0.1..=3600.0).contains(seconds)) {
        Some((key, _)) => invalid(key, "must be 0.1 to 3600"),
        None => Ok(()),
    }
}

fn check_coordination(checked: &Checked<'_>) -> Result<(), ConfigError> {
    let Some(coordination) = &checked.file.coordination else { return Ok(()) };
    coordination.check(checked.file.name(), checked.zones)?;
    // The scheduler divides limits and slow start budgets evenly by the number of gateways.
    let (members, gateways) = (coordination.members.len(), checked.gateways);
    if members > gateways as usize {
        let reason = format!("is {gateways}, and accord.member has {members} fronts");
        return invalid("settings.FleetSize", reason);
    }
    Ok(())
}

fn check_distribution(file: &FileIn) -> Result<(), ConfigError> {
    let Some(distribution) = &file.distribution else { return Ok(()) };
    distribution.check(file.name(), file.coordination.is_some())?;
    // Subscribers need descriptors in addition to all others.
    if distribution.listen.is_some() && distribution.max_subscribers as usize > file.limits.sockets / 2 {
        return invalid("changes.most", "is more than half of limits.sockets");
    }
    Ok(())
}

fn check_endpoints(checked: &Checked<'_>) -> Result<(), ConfigError> {
    let (file, targets) = (checked.file, &checked.known.targets);
    let iscsi_backend = targets.iter().position(|target| target.protocol == BackendProtocol::Iscsi);
    if let (Some(index), None) = (iscsi_backend, &file.iscsi) {
        return invalid(format!("known.instances[{index}].speaks"), "iscsi needs LUNs under iscsi.lun");
    }
    if !is_operators_file(checked.file_name) {
        return Ok(());
    }
    if targets.is_empty() && file.discovery.is_none() {
        return invalid("known.instances", "no disk box, and no discovery to tell of one");
    }
    if file.listen.is_none() && file.iscsi.is_none() {
        return invalid("listen", "neither this nor iscsi.listen is there");
    }
    Ok(())
}
