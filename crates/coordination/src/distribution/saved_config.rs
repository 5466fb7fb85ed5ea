//! What a front keeps of the changes that it has put in force: one file, replaced whole.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

/// The file. What becomes it has a longer name, each process its own: two of them may be there while one follows the other.
const NAME: &str = "changes.kept";

/// How long a write that failed waits for the next try.
const AGAIN: Duration = Duration::from_millis(200);

/// What was kept, where anything was; the folder is made where it is missing.
pub fn read(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    fs::create_dir_all(folder)?;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        // What a killed process has left.
        if entry.file_name().to_str().is_some_and(|n| n.len() > NAME.len() && n.starts_with(NAME)) {
            fs::remove_file(entry.path())?;
        }
    }
    match fs::read(folder.join(NAME)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Puts these bytes in the place of those that were kept; a crash leaves the ones or the others.
fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let (kept, new) = (folder.join(NAME), folder.join(format!("{NAME}.{}", std::process::id())));
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(new, kept)?;
    File::open(folder)?.sync_all()
}

/// Writes what comes until nothing more does. What can't be written is said, and tried again until something newer comes.
pub fn run(folder: &Path, from: &async_channel::Receiver<Vec<u8>>, log: fn(&str)) {
    while let Ok(mut bytes) = from.recv_blocking() {
        while let Err(e) = write(folder, &bytes) {
            log(&format!("changes kept=no error={e}"));
            std::thread::sleep(AGAIN);
            match from.try_recv() {
                Ok(newer) => bytes = newer,
                Err(async_channel::TryRecvError::Empty) => {}
                Err(async_channel::TryRecvError::Closed) => return,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_written_last_is_read_and_half_a_file_is_not_in_its_place() {
        let folder = tempfile::tempdir().unwrap();
        let within = folder.path().join("state");
        assert!(read(&within).unwrap().is_none());
        write(&within, b"one").unwrap();
        write(&within, b"two").unwrap();
        fs::write(within.join("changes.kept.1"), b"thr").unwrap();
        assert_eq!(read(&within).unwrap().unwrap(), b"two");
        assert_eq!(fs::read_dir(&within).unwrap().count(), 1, "what was left is removed");
    }
}
