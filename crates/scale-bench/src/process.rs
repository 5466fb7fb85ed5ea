//! Processes that this tool starts, and ends.
use std::io::{self, Read};
use std::process::Child;
use std::time::{Duration, Instant};

/// How often is looked whether a process has ended.
const LOOK: Duration = Duration::from_millis(2);

/// A process that is ended when dropped.
pub struct Owned(pub Child);

impl Drop for Owned {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What a process of few words says until its good end; one that takes longer than that is ended, and an error.
pub fn finish(child: Child, limit: Duration) -> io::Result<Vec<u8>> {
    let mut child = Owned(child);
    let end = Instant::now() + limit;
    let status = loop {
        match child.0.try_wait()? {
            Some(status) => break status,
            None if Instant::now() >= end => return Err(io::ErrorKind::TimedOut.into()),
            None => std::thread::sleep(LOOK),
        }
    };
    let mut said = Vec::new();
    if let Some(pipe) = &mut child.0.stdout {
        pipe.read_to_end(&mut said)?;
    }
    if status.success() {
        Ok(said)
    } else {
        Err(io::Error::other(format!("it ended with {status}")))
    }
}
