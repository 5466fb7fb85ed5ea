//! Names of the files under `TMPDIR` that a process of a gateway leaves for the next one.
//!
//! Their names are `lichenrudder-NAME-ADDRESS.NUMBER.EXTENSION`.
use crate::context::Context;
use std::path::{Path, PathBuf};

/// The common path prefix of this gateway's files; `None` without `TMPDIR`.
pub fn path_prefix(context: &Context) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let config = context.config();
    let address = config.listen.or(config.iscsi.as_ref().map(|iscsi| iscsi.listen));
    let name = format!("{}-{}", config.name, address.map(|address| address.to_string()).unwrap_or_default());
    let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
    Some(PathBuf::from(folder).join(format!("lichenrudder-{name}")))
}

/// Lists the files with this prefix and extension with their numbers, in ascending order. Empty if the folder can't be read.
pub fn list_numbered(prefix: &Path, extension: &str) -> Vec<(PathBuf, i64)> {
    let has_prefix = |path: &PathBuf| {
        let name = path.file_name().and_then(|name| name.to_str()).and_then(|name| name.split_once('.'));
        name.is_some_and(|(stem, _)| prefix.file_name().is_some_and(|expected| expected == stem))
    };
    let files = prefix.parent().and_then(|folder| std::fs::read_dir(folder).ok());
    let paths = files.into_iter().flatten().flatten().map(|entry| entry.path()).filter(has_prefix);
    let paths = paths.filter(|path| path.extension().is_some_and(|found| found == extension));
    let mut numbered: Vec<(PathBuf, i64)> =
        paths.filter_map(|path| parse_number(&path).map(|number| (path, number))).collect();
    numbered.sort_by_key(|(_, number)| *number);
    numbered
}

/// Parses the number in a file's name.
fn parse_number(path: &Path) -> Option<i64> {
    path.file_stem()?.to_str()?.rsplit_once('.')?.1.parse().ok()
}
