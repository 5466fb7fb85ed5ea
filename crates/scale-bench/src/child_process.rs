//! Child processes of this tool.
use std::io::{self, Read};
use std::process::Child;
use std::time::{Duration, Instant};

/// Interval between checks for the end of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// A process that is killed when dropped.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the standard output of a process that succeeds and writes little; one that exceeds the limit is killed.
pub fn wait_output(child: Child, limit: Duration) -> io::Result<Vec<u8>> {
    let mut child = KillOnDrop(child);
    let end = Instant::now() + limit;
    let status = loop {
        match child.0.try_wait()? {
            Some(status) => break status,
            None if Instant::now() >= end => return Err(io::ErrorKind::TimedOut.into()),
            None => std::thread::sleep(CHECK_INTERVAL),
        }
    };
    let mut output = Vec::new();
    if let Some(pipe) = &mut child.0.stdout {
        pipe.read_to_end(&mut output)?;
    }
    if status.success() {
        Ok(output)
    } else {
        Err(io::Error::other(format!("process ended with {status}")))
    }
}
