//! The configuration that a subscriber saves in order to apply it after a restart: one file, replaced atomically.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

/// The name of the file. A file that is being written has the process id appended, because two processes may run while one
/// takes over from the other.
const FILE_NAME: &str = "changes.kept";

/// The pause before a failed write is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the saved configuration, if there is any. Creates the directory if it does not exist, and removes unfinished files of
/// processes that were killed.
///
/// # Errors
///
/// Returns an error if the directory cannot be created or read, or a file cannot be read or removed.
pub fn read(directory: &Path) -> io::Result<Option<Vec<u8>>> {
    fs::create_dir_all(directory)?;
    for entry in fs::read_dir(directory)? {
        let entry = entry?;
        if entry.file_name().to_str().is_some_and(is_unfinished) {
            fs::remove_file(entry.path())?;
        }
    }
    match fs::read(directory.join(FILE_NAME)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn is_unfinished(name: &str) -> bool {
    name.len() > FILE_NAME.len() && name.starts_with(FILE_NAME)
}

/// Replaces the saved configuration; after a crash, either the old or the new one is present.
///
/// # Errors
///
/// Returns an error if the new file cannot be written or renamed to replace the old one.
pub fn write(directory: &Path, bytes: &[u8]) -> io::Result<()> {
    let unfinished = directory.join(format!("{FILE_NAME}.{}", std::process::id()));
    let mut file = File::create(&unfinished)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(unfinished, directory.join(FILE_NAME))?;
    File::open(directory)?.sync_all()
}

/// Writes each configuration that arrives, until the other end of the mailbox is dropped. A failed write is logged and
/// retried, with the newest configuration that has arrived.
pub fn run(directory: &Path, mailbox: &async_channel::Receiver<Vec<u8>>, log: fn(&str)) {
    while let Ok(mut bytes) = mailbox.recv_blocking() {
        while let Err(error) = write(directory, &bytes) {
            log(&format!("changes kept=no error={error}"));
            std::thread::sleep(RETRY_INTERVAL);
            match mailbox.try_recv() {
                Ok(newer) => bytes = newer,
                Err(async_channel::TryRecvError::Empty) => {}
                Err(async_channel::TryRecvError::Closed) => return,
            }
        }
    }
}
