//! Files under `TMPDIR` that persist which backends operators have suspended. Each snapshot is a numbered file of its own, written under
//! another name, synced, then renamed: a kill between any two steps leaves the snapshot before.
//!
//! The form: one backend id a line, then a line `end`. Processes of other versions read and write the same files.
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
/// The extension of files that are being written.
const PARTIAL_EXTENSION: &str = "bans-part";

/// The suspended backends, under a number that grows with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The number.
    pub number: i64,
    /// The suspended backends.
    pub suspended: BTreeSet<BackendId>,
}

/// Persists a snapshot, then removes older ones. It survives a kill once this returns without an error.
///
/// Each snapshot is a new file: a disk may delay a rename over an existing one for seconds.
///
/// # Errors
/// The system's error; the snapshot before is still there then.
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
    for (path, number) in process_files::numbered(prefix, COMPLETE_EXTENSION) {
        if number < snapshot.number {
            // One that can't be removed is older and is ignored when read.
            drop(fs::remove_file(path));
        }
    }
    Ok(())
}

/// The newest complete snapshot; `None` where there is none that can be read.
pub fn read(prefix: &Path) -> Option<Snapshot> {
    process_files::numbered(prefix, COMPLETE_EXTENSION).into_iter().rev().find_map(|(path, number)| {
        let text = fs::read_to_string(path).ok()?;
        let lines = text.strip_suffix(END_LINE)?.lines();
        Some(Snapshot { number, suspended: lines.map(|line| BackendId(line.into())).collect() })
    })
}
