//! The process lock: a locked file under `TMPDIR` by which a process of a gateway shows that it is alive. A file whose lock can be
//! taken belongs to a process that has ended.
//!
//! The file holds the number of descriptors that the process uses, in decimal, right-aligned in eight columns.
use crate::context::{Context, OtherProcess};
use crate::lifecycle::process_files;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Seek, Write};
use std::path::{Path, PathBuf};

/// The extension of locked files.
const LOCKED_EXTENSION: &str = "live";
/// The extension of files that are being created.
const PARTIAL_EXTENSION: &str = "made";

/// The lock file of this process.
struct LockFile {
    file: File,
    number: i64,
    path: PathBuf,
    /// The descriptors that were written last.
    descriptors: Option<usize>,
}

/// The lock of this process, once its folder takes one, and its view of the other process's.
pub struct ProcessLock {
    prefix: PathBuf,
    /// The number that it gets if no other process has a higher one: the time of the start.
    number: i64,
    held: Option<LockFile>,
}

impl ProcessLock {
    /// The lock of this process, not taken yet; `None` without a folder.
    pub fn new(context: &Context) -> Option<ProcessLock> {
        let (prefix, number) = (process_files::path(context)?, context.clock.now().0);
        Some(ProcessLock { prefix, number, held: None })
    }

    /// The common prefix of the names of the gateway's files.
    pub fn prefix(&self) -> &Path {
        &self.prefix
    }

    /// Takes the lock where it is not held. Its number is higher than that of every other process: a process that starts later comes
    /// later in order, however the wall clock was stepped in between.
    ///
    /// # Errors
    /// The system's error where the folder takes no file for now.
    pub fn take(&mut self) -> io::Result<()> {
        while self.held.is_none() {
            let newest = self.others().into_iter().map(|(_, number)| number).max();
            let number = newest.map_or(self.number, |newest| self.number.max(newest + 1));
            match self.create(number) {
                Ok(held) => self.held = Some(held),
                // Another process has just taken the number.
                Err(error) if error.kind() == ErrorKind::AlreadyExists => self.number = number + 1,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn create(&self, number: i64) -> io::Result<LockFile> {
        let path = self.prefix.with_extension(format!("{number:020}.{LOCKED_EXTENSION}"));
        // Locked before it gets its name: otherwise another process could take it for one left by a dead process.
        let partial = path.with_extension(PARTIAL_EXTENSION);
        let file = OpenOptions::new().create_new(true).write(true).open(&partial)?;
        let locked = file.try_lock().map_err(io::Error::from);
        if let Err(error) = locked.and_then(|()| std::fs::rename(&partial, &path)) {
            // A partial file that stays is ignored; its number is not used again.
            drop(std::fs::remove_file(&partial));
            return Err(error);
        }
        Ok(LockFile { file, number, path, descriptors: None })
    }

    /// The lock files of other processes and their numbers, of dead ones too.
    fn others(&self) -> Vec<(PathBuf, i64)> {
        let own = self.held.as_ref().map(|held| &held.path);
        let mut files = process_files::numbered(&self.prefix, LOCKED_EXTENSION);
        files.retain(|(path, _)| Some(path) != own);
        files
    }

    /// The other process that is alive, if any. Removes lock files of dead ones.
    pub fn other_process(&self) -> OtherProcess {
        let mut found = OtherProcess::None;
        for (path, number) in self.others() {
            match File::open(&path).map(|file| file.try_lock()) {
                // Left by a process that was killed. One that can't be removed is tried again at the next look.
                Ok(Ok(())) => drop(std::fs::remove_file(&path)),
                Ok(Err(TryLockError::WouldBlock)) => {
                    let text = std::fs::read_to_string(&path).ok();
                    let descriptors = text.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
                    let is_successor = self.held.as_ref().is_some_and(|own| number > own.number);
                    found = if is_successor {
                        OtherProcess::Successor(descriptors)
                    } else {
                        OtherProcess::Predecessor(descriptors)
                    };
                }
                _ => {}
            }
        }
        found
    }

    /// Publishes how many descriptors this process uses.
    pub fn publish(&mut self, descriptors: usize) {
        let is_changed = |held: &&mut LockFile| held.descriptors != Some(descriptors);
        let Some(held) = self.held.as_mut().filter(is_changed) else { return };
        let text = format!("{descriptors:8}\n");
        let written = held.file.rewind().and_then(|()| held.file.write_all(text.as_bytes()));
        // A write that failed is repeated at the next call.
        held.descriptors = written.is_ok().then_some(descriptors);
    }
}

impl Drop for ProcessLock {
    fn drop(&mut self) {
        if let Some(held) = &self.held {
            // A file that stays is unlocked once this process has ended.
            drop(std::fs::remove_file(&held.path));
        }
    }
}
