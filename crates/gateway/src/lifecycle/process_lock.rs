//! The lock by which a process of a front shows that it lives: a locked file of its own under `TMPDIR`. A file whose lock can
//! be had is one of a process that has ended.
use crate::context::{Context, OtherProcess};
use crate::lifecycle::process_files;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Seek, Write};
use std::path::{Path, PathBuf};

/// What the names of locked files end with, and of those that are being made.
const LIVE: &str = "live";
const MADE: &str = "made";

/// The file that this process holds.
struct Held {
    file: File,
    number: i64,
    path: PathBuf,
    /// What was written into it last.
    told: Option<usize>,
}

/// This process's lock, once its folder takes one, and its look at the other's.
pub struct ProcessLock {
    front: PathBuf,
    /// The number that it would have by the clock.
    number: i64,
    held: Option<Held>,
}

impl ProcessLock {
    /// The lock of this process, not taken yet; none without a folder.
    pub fn new(context: &Context) -> Option<ProcessLock> {
        let (front, number) = (process_files::path(context)?, context.clock.now().0);
        Some(ProcessLock { front, number, held: None })
    }

    /// Where the front's files are.
    pub fn front(&self) -> &Path {
        &self.front
    }

    /// Takes the lock where it is not held; an error where the folder takes no file for now.
    ///
    /// Its number is over that of every process that is there: a later process comes later in order, however the wall clock
    /// was stepped between their starts.
    pub fn take(&mut self) -> io::Result<()> {
        while self.held.is_none() {
            let newest = self.others().into_iter().map(|(number, _)| number).max();
            let number = newest.map_or(self.number, |newest| self.number.max(newest + 1));
            match self.make(number) {
                Ok(held) => self.held = Some(held),
                // Another process has taken the number in this moment.
                Err(error) if error.kind() == ErrorKind::AlreadyExists => self.number = number + 1,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn make(&self, number: i64) -> io::Result<Held> {
        let path = self.front.with_extension(format!("{number:020}.{LIVE}"));
        // Locked before it has its name: one that looks meanwhile would take it for what a dead process left.
        let half = path.with_extension(MADE);
        let file = OpenOptions::new().create_new(true).write(true).open(&half)?;
        let named = file.try_lock().map_err(io::Error::from).and_then(|()| std::fs::rename(&half, &path));
        if let Err(error) = named {
            let _ = std::fs::remove_file(&half);
            return Err(error);
        }
        Ok(Held { file, number, path, told: None })
    }

    /// Numbers and files of other processes, dead ones too.
    fn others(&self) -> Vec<(i64, PathBuf)> {
        let own = self.held.as_ref().map(|held| held.path.clone());
        let number =
            |path: &Path| -> Option<i64> { path.file_stem()?.to_str()?.rsplit_once('.')?.1.parse().ok() };
        let named = process_files::beside(&self.front)
            .into_iter()
            .filter(|path| path.extension().is_some_and(|e| e == LIVE));
        let others = named.filter(|path| Some(path) != own.as_ref());
        others.filter_map(|path| number(&path).map(|n| (n, path))).collect()
    }

    /// The other process, where one lives.
    pub fn look(&self) -> OtherProcess {
        let mut found = OtherProcess::None;
        for (number, path) in self.others() {
            match File::open(&path).map(|file| file.try_lock()) {
                // What a killed process has left.
                Ok(Ok(())) => drop(std::fs::remove_file(&path)),
                Ok(Err(TryLockError::WouldBlock)) => {
                    let held = std::fs::read_to_string(&path).ok().and_then(|t| t.trim().parse().ok());
                    let held = held.unwrap_or(0);
                    let after = self.held.as_ref().is_some_and(|own| number > own.number);
                    found =
                        if after { OtherProcess::Successor(held) } else { OtherProcess::Predecessor(held) };
                }
                _ => {}
            }
        }
        found
    }

    /// Tells the other how many descriptors this process holds.
    pub fn tell(&mut self, descriptors: usize) {
        let Some(held) = self.held.as_mut().filter(|held| held.told != Some(descriptors)) else { return };
        let text = format!("{descriptors:8}\n");
        let written = held.file.rewind().and_then(|()| held.file.write_all(text.as_bytes()));
        // What the folder did not take is told again at the next look.
        held.told = written.is_ok().then_some(descriptors);
    }
}

impl Drop for ProcessLock {
    fn drop(&mut self) {
        if let Some(held) = &self.held {
            let _ = std::fs::remove_file(&held.path);
        }
    }
}
