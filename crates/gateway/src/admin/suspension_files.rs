//! Files under `TMPDIR` that persist which backends operators have suspended. Each snapshot is a separate numbered file, written under
//! a temporary name, synced, then renamed: a kill between any two steps leaves the previous snapshot intact.
//!
//! Format: one backend id per line, then the line `end`. Processes of other versions read and write the same files.
use crate::lifecycle::process_files;
use scheduler::interface::BackendId;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The last line of a complete file.
const END_LINE: &str = "end\n";
/// The extension of complete files.
const COMPLETE_EXTENSION: &str = "bans";
/// The extension of files that are still being written.
const PARTIAL_EXTENSION: &str = "bans-part";

/// The suspended backends, with a number that increases with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The number of the snapshot.
    pub number: i64,
    /// The suspended backends.
    pub suspended: BTreeSet<BackendId>,
}

/// Persists a snapshot, then removes older ones. It survives a kill once this returns without an error.
///
/// Each snapshot is a new file: a disk may delay a rename over an existing one for seconds.
///
/// # Errors
/// The system's error; the previous snapshot is kept in this case.
pub fn write(prefix: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let complete = prefix.with_extension(format!("{:020}.{COMPLETE_EXTENSION}", snapshot.number));
    let partial = prefix.with_extension(format!("{:020}.{PARTIAL_EXTENSION}", snapshot.number));
    let text: String = snapshot.suspended.iter().map(|backend| format!("{}\n", backend.0)).collect();
    let mut file = File::create(&partial)?;
    file.write_all(format!("{text}{END_LINE}").as_bytes())?;
    file.sync_all()?;
    fs::rename(&partial, &complete)?;
    if let Some(folder) = prefix.parent() {
        File::open(folder)?.sync_all()?;
    }
    for (path, number) in process_files::list_numbered(prefix, COMPLETE_EXTENSION) {
        if number < snapshot.number {
            // A file that can't be removed is ignored by readers, since it is older.
            drop(fs::remove_file(path));
        }
    }
    Ok(())
}

/// Reads the newest complete snapshot; returns `None` if no snapshot can be read.
pub fn read(prefix: &Path) -> Option<Snapshot> {
    process_files::list_numbered(prefix, COMPLETE_EXTENSION).into_iter().rev().find_map(|(path, number)| {
        let text = fs::read_to_string(path).ok()?;
        let lines = text.strip_suffix(END_LINE)?.lines();
        Some(Snapshot { number, suspended: lines.map(|line| BackendId(line.into())).collect() })
    })
}
