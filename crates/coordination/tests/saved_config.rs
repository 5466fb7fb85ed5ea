//! The configuration that a subscriber saves is replaced whole, and is written in the end though the folder accepts nothing for a
//! while.
#![allow(clippy::unwrap_used)]
use coordination::distribution::saved_config::{read, run, write};
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

fn is_saved_within(folder: &Path, expected: &[u8], timeout: Duration) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if fs::read(folder.join("changes.kept")).is_ok_and(|bytes| bytes == expected) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

#[test]
fn writes_the_newest_once_the_folder_accepts_it() {
    let folder = tempfile::tempdir().unwrap();
    // A folder that does not exist accepts nothing.
    let missing = folder.path().join("state");
    let (sender, mailbox) = async_channel::bounded(1);
    let at = missing.clone();
    let writer = std::thread::spawn(move || run(&at, &mailbox, |_| {}));
    sender.send_blocking(b"one".to_vec()).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    fs::create_dir(&missing).unwrap();
    assert!(is_saved_within(&missing, b"one", Duration::from_secs(3)), "nothing newer has arrived");
    fs::remove_dir_all(&missing).unwrap();
    sender.send_blocking(b"two".to_vec()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    sender.send_blocking(b"three".to_vec()).unwrap();
    fs::create_dir(&missing).unwrap();
    assert!(is_saved_within(&missing, b"three", Duration::from_secs(3)));
    drop(sender);
    writer.join().unwrap();
}

#[test]
fn reads_what_was_written_last_and_removes_unfinished_files() {
    let folder = tempfile::tempdir().unwrap();
    let state_dir = folder.path().join("state");
    assert!(read(&state_dir).unwrap().is_none());
    write(&state_dir, b"one").unwrap();
    write(&state_dir, b"two").unwrap();
    fs::write(state_dir.join("changes.kept.1"), b"thr").unwrap();
    assert_eq!(read(&state_dir).unwrap().unwrap(), b"two");
    assert_eq!(fs::read_dir(&state_dir).unwrap().count(), 1, "what was left is removed");
}
