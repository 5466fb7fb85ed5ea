//! The process lock: a locked file under `TMPDIR` by which a process of a gateway shows that it is alive. A file whose lock can be
//! taken belongs to a process that has ended.
//!
//! The file holds the number of descriptors that the process uses, in decimal, right-aligned in eight columns.
use crate::context::{Context, OtherProcess};
use crate::lifecycle::process_files;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Seek, Write};
use std::path::{Path, PathBuf};

/// The extension of lock files.
const LOCK_EXTENSION: &str = "live";
/// The extension of lock files that are being created.
const PARTIAL_EXTENSION: &str = "made";

/// The lock file of this process.
struct LockFile {
    file: File,
    number: i64,
    path: PathBuf,
    /// The number of descriptors that was last written to the file.
    descriptors: Option<usize>,
}

/// The lock of this process, once it could be taken, and the view of the other process's lock.
pub struct ProcessLock {
    prefix: PathBuf,
    /// The number that the lock file gets unless another process has a higher one: the start time.
    number: i64,
    held: Option<LockFile>,
}

impl ProcessLock {
    /// Creates the lock of this process without taking it; `None` without a folder.
    pub fn new(context: &Context) -> Option<ProcessLock> {
        let (prefix, number) = (process_files::path_prefix(context)?, context.clock.now().0);
        Some(ProcessLock { prefix, number, held: None })
    }

    /// The common path prefix of the gateway's files.
    pub fn prefix(&self) -> &Path {
        &self.prefix
    }

    /// Takes the lock unless it is held. Its number is higher than that of every other process, so that processes are ordered by their
    /// start even if the wall clock was set back in between.
    ///
    /// # Errors
    /// The system's error if the file can't be created now.
    pub fn take(&mut self) -> io::Result<()> {
        while self.held.is_none() {
            let newest = self.other_lock_files().into_iter().map(|(_, number)| number).max();
            let number = newest.map_or(self.number, |newest| self.number.max(newest + 1));
            match self.create(number) {
                Ok(held) => self.held = Some(held),
                // Another process has just taken this number.
                Err(error) if error.kind() == ErrorKind::AlreadyExists => self.number = number + 1,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn create(&self, number: i64) -> io::Result<LockFile> {
        let path = self.prefix.with_extension(format!("{number:020}.{LOCK_EXTENSION}"));
        // The file is locked before it gets its final name; otherwise another process could consider it left by a dead process.
        let partial = path.with_extension(PARTIAL_EXTENSION);
        let file = OpenOptions::new().create_new(true).write(true).open(&partial)?;
        let locked = file.try_lock().map_err(io::Error::from);
        if let Err(error) = locked.and_then(|()| std::fs::rename(&partial, &path)) {
            // A partial file that can't be removed is ignored; its number is not used again.
            drop(std::fs::remove_file(&partial));
            return Err(error);
        }
        Ok(LockFile { file, number, path, descriptors: None })
    }

    /// Lists the lock files of other processes, including dead ones, with their numbers.
    fn other_lock_files(&self) -> Vec<(PathBuf, i64)> {
        let own = self.held.as_ref().map(|held| &held.path);
        let mut files = process_files::list_numbered(&self.prefix, LOCK_EXTENSION);
        files.retain(|(path, _)| Some(path) != own);
        files
    }

    /// Finds the other process that is alive, if any. Removes the lock files of dead processes.
    pub fn other_process(&self) -> OtherProcess {
        let mut found = OtherProcess::None;
        for (path, number) in self.other_lock_files() {
            match File::open(&path).map(|file| file.try_lock()) {
                // Left by a process that was killed. If the file can't be removed, the next check tries again.
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

    /// Writes the number of descriptors that this process uses to its lock file.
    pub fn publish_descriptors(&mut self, descriptors: usize) {
        let is_changed = |held: &&mut LockFile| held.descriptors != Some(descriptors);
        let Some(held) = self.held.as_mut().filter(is_changed) else { return };
        let text = format!("{descriptors:8}\n");
        let written = held.file.rewind().and_then(|()| held.file.write_all(text.as_bytes()));
        // The next call repeats a write that failed.
        held.descriptors = written.is_ok().then_some(descriptors);
    }
}

impl Drop for ProcessLock {
    fn drop(&mut self) {
        if let Some(held) = &self.held {
            // A file that can't be removed is unlocked when this process ends.
            drop(std::fs::remove_file(&held.path));
        }
    }
}
