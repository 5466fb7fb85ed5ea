//! What fronts say to each other over TCP: one frame a message, sealed, with a version.
use crate::gateway_message::Measures;
use crate::state_machine::machine::What;
use cluster_types::Index;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The form of the messages. A front does not act on another one, and says so.
pub const VERSION: u16 = 1;

/// A message from front to front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The first on a link: it shows that the sender has the key, so that larger ones may follow.
    Hello,
    /// The replicated log's own.
    Log {
        /// The life of the sender's store.
        life: u64,
        /// What it says.
        message: consensus::Message,
    },
    /// To the leader: this is to go into the log.
    Forward {
        /// The sender's number for it.
        ticket: u64,
        /// What.
        what: What,
    },
    /// To the leader: what this front measured, and a request for a lease.
    Measured {
        /// When it asked, by its own clock: comes back as it is.
        asked: u64,
        /// Up to where it had applied the log when it measured.
        seen: Index,
        /// What.
        measures: Box<Measures>,
    },
    /// From the leader: the lease runs from when it was asked for.
    Lease {
        /// When that was, by the asker's clock.
        asked: u64,
        /// For how long, in microseconds.
        span: u64,
    },
    /// Where changes of configuration are in force, as control machines tell each other.
    Reports(Vec<config_distribution::Report>),
}

/// A message as bytes.
pub fn write<T: Serialize>(frame: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(&(VERSION, frame)).ok()
}

/// A message from bytes; an error in plain words.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (version, rest) = postcard::take_from_bytes::<u16>(bytes).map_err(|e| e.to_string())?;
    // Guards against messages of another form: what can't be known is not acted on.
    if version != VERSION {
        return Err(format!("its messages have form {version}, this program's have {VERSION}"));
    }
    postcard::from_bytes(rest).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_of_another_version_is_not_read() {
        let bytes = write(&Frame::Lease { asked: 7, span: 9 }).unwrap();
        assert!(matches!(read(&bytes), Ok(Frame::Lease { asked: 7, span: 9 })));
        let other = postcard::to_stdvec(&(VERSION + 1, Frame::Lease { asked: 7, span: 9 })).unwrap();
        assert!(read::<Frame>(&other).unwrap_err().contains("form 2"));
        assert!(read::<Frame>(&bytes[..2]).is_err() && read::<Frame>(&[]).is_err());
    }
}
