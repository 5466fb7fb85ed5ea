//! Tests that the saved configuration of a subscriber is replaced atomically, and is eventually written if the directory cannot
//! be written to for a while.
#![allow(clippy::unwrap_used)]
use coordination::distribution::saved_config::{read, run, write};
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

fn is_saved_within(directory: &Path, expected: &[u8], timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if fs::read(directory.join("changes.kept")).is_ok_and(|bytes| bytes == expected) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

#[test]
fn writes_newest_configuration_once_directory_exists() {
    let directory = tempfile::tempdir().unwrap();
    // Writes to a directory that does not exist fail.
    let missing = directory.path().join("state");
    let (sender, mailbox) = async_channel::bounded(1);
    let writer_directory = missing.clone();
    let writer = std::thread::spawn(move || run(&writer_directory, &mailbox, |_| {}));
    sender.send_blocking(b"one".to_vec()).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    fs::create_dir(&missing).unwrap();
    assert!(
        is_saved_within(&missing, b"one", Duration::from_secs(3)),
        "the first configuration is written while no newer one has arrived"
    );
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
fn reads_last_written_configuration_and_removes_unfinished_files() {
    let directory = tempfile::tempdir().unwrap();
    let state_dir = directory.path().join("state");
    assert!(read(&state_dir).unwrap().is_none());
    write(&state_dir, b"one").unwrap();
    write(&state_dir, b"two").unwrap();
    fs::write(state_dir.join("changes.kept.1"), b"thr").unwrap();
    assert_eq!(read(&state_dir).unwrap().unwrap(), b"two");
    assert_eq!(fs::read_dir(&state_dir).unwrap().count(), 1, "the unfinished file is removed");
}
