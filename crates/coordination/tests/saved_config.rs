//! What a front keeps of the changes that it has put in force is written in the end, though the folder takes nothing for a
//! while.
#![allow(clippy::unwrap_used)]
#[path = "../src/distribution/saved_config.rs"]
#[allow(dead_code, reason = "the host uses the rest")]
mod keep;

use std::path::Path;
use std::time::{Duration, Instant};

fn kept_within(folder: &Path, want: &[u8], patience: Duration) -> bool {
    let end = Instant::now() + patience;
    while Instant::now() < end {
        if std::fs::read(folder.join("changes.kept")).is_ok_and(|bytes| bytes == want) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

#[test]
fn what_could_not_be_written_is_written_later_and_the_newest_counts() {
    let folder = tempfile::tempdir().unwrap();
    // A folder that is not there takes nothing.
    let missing = folder.path().join("state");
    let (to, from) = async_channel::bounded(1);
    let at = missing.clone();
    let writer = std::thread::spawn(move || keep::run(&at, &from, |_| {}));
    to.send_blocking(b"one".to_vec()).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    std::fs::create_dir(&missing).unwrap();
    assert!(kept_within(&missing, b"one", Duration::from_secs(3)), "nothing newer has come");
    std::fs::remove_dir_all(&missing).unwrap();
    to.send_blocking(b"two".to_vec()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    to.send_blocking(b"three".to_vec()).unwrap();
    std::fs::create_dir(&missing).unwrap();
    assert!(kept_within(&missing, b"three", Duration::from_secs(3)));
    drop(to);
    writer.join().unwrap();
}
