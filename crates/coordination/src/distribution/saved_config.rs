//! The configuration that a subscriber saves, so that it is effective again after a restart: one file, replaced whole.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

/// The name of the file. A file that is being written has the id of its process appended: two processes may be there while one
/// takes over from the other.
const FILE_NAME: &str = "changes.kept";

/// When a write that has failed is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the saved configuration, if there is any. Creates the folder where it is missing, and removes what killed processes have
/// left.
///
/// # Errors
///
/// Returns an error where the folder cannot be created or read, or a file cannot be read or removed.
pub fn read(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    fs::create_dir_all(folder)?;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_str().is_some_and(is_unfinished) {
            fs::remove_file(entry.path())?;
        }
    }
    match fs::read(folder.join(FILE_NAME)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn is_unfinished(name: &str) -> bool {
    name.len() > FILE_NAME.len() && name.starts_with(FILE_NAME)
}

/// Replaces the saved configuration; a crash leaves the old one or the new one.
///
/// # Errors
///
/// Returns an error where the new file cannot be written or take the place of the old one.
pub fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let unfinished = folder.join(format!("{FILE_NAME}.{}", std::process::id()));
    let mut file = File::create(&unfinished)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(unfinished, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}

/// Writes each configuration that arrives, until the other end of the mailbox is dropped. A write that fails is logged and tried
/// again, until something newer arrives.
pub fn run(folder: &Path, mailbox: &async_channel::Receiver<Vec<u8>>, log: fn(&str)) {
    while let Ok(mut bytes) = mailbox.recv_blocking() {
        while let Err(error) = write(folder, &bytes) {
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
