//! Claims of writes, by which two processes of a gateway keep a write from running at both: a client may come again to the other one.
//!
//! Each claim is an empty file in a folder beside the process lock, named after a digest of the request's id, and created by whoever
//! takes the write first. Processes claim writes while another one is alive, and for a while after.
use sha2::{Digest, Sha256};
use std::fs::{self, OpenOptions};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// The extension of the folder.
const FOLDER_EXTENSION: &str = "claims";
/// The file that tells that the running process has claimed the writes that it took before the other one started. Digests have other
/// names.
const PUBLISHED_FILE: &str = "published";

/// Whose a claim is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The caller's: the write was not claimed before.
    Taken,
    /// Somebody has claimed the write before.
    Refused,
}

/// The folder of claims.
#[derive(Clone, Debug)]
pub struct WriteClaims {
    folder: PathBuf,
}

impl WriteClaims {
    /// The claims of the gateway whose files have this prefix.
    pub fn new(prefix: &Path) -> WriteClaims {
        WriteClaims { folder: prefix.with_extension(FOLDER_EXTENSION) }
    }

    /// Claims the write with this id.
    ///
    /// # Errors
    /// The system's error if the file can't be created; the write is not claimed then.
    pub fn claim(&self, id: &str) -> io::Result<Claim> {
        fs::create_dir_all(&self.folder)?;
        let digest = Sha256::digest(id.as_bytes());
        let name: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        match OpenOptions::new().create_new(true).write(true).open(self.folder.join(name)) {
            Ok(_) => Ok(Claim::Taken),
            Err(error) if error.kind() == ErrorKind::AlreadyExists => Ok(Claim::Refused),
            Err(error) => Err(error),
        }
    }

    /// Claims all these writes, which this process has taken already, then tells the other process that it may serve.
    ///
    /// # Errors
    /// The system's first error; the other process is told nothing then.
    pub fn publish(&self, ids: &[String]) -> io::Result<()> {
        for id in ids {
            self.claim(id)?;
        }
        fs::create_dir_all(&self.folder)?;
        OpenOptions::new().create(true).truncate(true).write(true).open(self.folder.join(PUBLISHED_FILE))?;
        Ok(())
    }

    /// Whether the process that was there before has published its writes.
    pub fn is_published(&self) -> bool {
        self.folder.join(PUBLISHED_FILE).exists()
    }

    /// Removes all claims: no other process is there, and none was lately.
    pub fn clear(&self) {
        // Without a folder there is nothing to remove; what can't be removed refuses ids that nobody sends again.
        drop(fs::remove_dir_all(&self.folder));
    }
}
