//! The files under `TMPDIR` in which a front writes down which chunk servers operators have taken out. Each state is a file of
//! its own, numbered: written under another name, synced, then renamed. A kill between any two steps leaves the state before.
use crate::lifecycle::process_files;
use scheduler::interface::BackendId;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The last line of a file that is whole.
const END_LINE: &str = "end\n";
/// What the names of whole files end with, and of those that are being written.
const WHOLE: &str = "bans";
const PART: &str = "bans-part";

/// Which chunk servers are taken out, as of a number that grows with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The number.
    pub number: i64,
    /// The chunk servers.
    pub out: BTreeSet<BackendId>,
}

/// Writes a snapshot down. It is kept once this returns without an error; only then files before it are removed.
///
/// A new file each time: a disk may make a rename over an old one wait for seconds.
pub fn write(front: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let whole = front.with_extension(format!("{:020}.{WHOLE}", snapshot.number));
    let part = front.with_extension(format!("{:020}.{PART}", snapshot.number));
    let text: String = snapshot.out.iter().map(|node| format!("{}\n", node.0)).collect();
    let mut file = File::create(&part)?;
    file.write_all(format!("{text}{END_LINE}").as_bytes())?;
    file.sync_all()?;
    fs::rename(&part, &whole)?;
    if let Some(folder) = front.parent() {
        File::open(folder)?.sync_all()?;
    }
    for (path, _) in written(front).into_iter().filter(|(_, number)| *number < snapshot.number) {
        // One that stays is older, and does not count.
        let _ = fs::remove_file(path);
    }
    Ok(())
}

/// The newest snapshot that is whole.
pub fn read(front: &Path) -> Option<Snapshot> {
    written(front).into_iter().rev().find_map(|(path, number)| {
        let text = fs::read_to_string(path).ok()?;
        let text = text.strip_suffix(END_LINE)?;
        Some(Snapshot { number, out: text.lines().map(|line| BackendId(line.into())).collect() })
    })
}

/// The files of a front that are whole by their names, the oldest first.
fn written(front: &Path) -> Vec<(PathBuf, i64)> {
    let number =
        |path: &Path| -> Option<i64> { path.file_stem()?.to_str()?.rsplit_once('.')?.1.parse().ok() };
    let named =
        process_files::beside(front).into_iter().filter(|path| path.extension().is_some_and(|e| e == WHOLE));
    let mut found: Vec<_> = named.filter_map(|path| number(&path).map(|n| (path, n))).collect();
    found.sort_by_key(|(_, number)| *number);
    found
}
