//! Files under `TMPDIR` that one process of a front leaves to the next.
use crate::context::Context;
use std::path::{Path, PathBuf};

/// What the names of all files begin with that this front keeps for the process that follows; none without `TMPDIR`.
pub fn path(context: &Context) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    let config = context.config();
    let at = config.listen.or(config.iscsi.as_ref().map(|i| i.listen)).map(|a| a.to_string());
    let name = format!("{}-{}", config.name, at.unwrap_or_default());
    let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
    Some(PathBuf::from(folder).join(format!("lichenrudder-{name}")))
}

/// The files of a front.
pub fn beside(front: &Path) -> Vec<PathBuf> {
    let own = |p: &PathBuf| {
        let name = p.file_name().and_then(|n| n.to_str()).and_then(|n| n.split_once('.'));
        name.is_some_and(|(n, _)| front.file_name().is_some_and(|own| own == n))
    };
    let files = front.parent().and_then(|folder| std::fs::read_dir(folder).ok());
    files.into_iter().flatten().flatten().map(|e| e.path()).filter(own).collect()
}
