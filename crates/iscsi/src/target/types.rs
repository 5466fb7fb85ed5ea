//! What a target session exchanges with its caller, and its tasks.
use crate::scsi::{Disk, Sense};

/// What initiators learn of a target.
#[derive(Clone, Debug)]
pub struct TargetDescription {
    /// The target's iSCSI name.
    pub name: String,
    /// The address of its portal, for SendTargets.
    pub address: String,
    /// Its logical units.
    pub disks: Vec<Disk>,
}

/// What the caller has to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A normal session has begun.
    LoggedIn {
        /// The initiator's iSCSI name.
        initiator: String,
        /// The initiator's part of the session identifier.
        isid: [u8; 6],
    },
    /// Blocks are to be read.
    Read {
        /// The task's tag.
        tag: u32,
        /// The LUN.
        lun: u8,
        /// The first block.
        lba: u64,
        /// How many blocks.
        blocks: u32,
    },
    /// Blocks are to be written; all their data is here.
    Write {
        /// The task's tag.
        tag: u32,
        /// The LUN.
        lun: u8,
        /// The first block.
        lba: u64,
        /// The blocks' data.
        data: Vec<u8>,
    },
    /// The read with this tag was aborted and needs no outcome.
    Aborted(u32),
    /// The initiator has received every status before this number.
    Acknowledged(u32),
    /// The connection is to be closed once everything is written.
    Close,
}

/// How a read or a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome<'a> {
    /// It was done; with the data of a read.
    Good(&'a [u8]),
    /// It did not run; the initiator may retry after so many milliseconds.
    Busy(Option<u64>),
    /// It failed.
    Failed(Sense),
}

/// A read or write command that has no status yet.
pub(super) struct Task {
    pub(super) lun: u8,
    pub(super) lba: u64,
    /// The initiator's expected transfer length, in bytes.
    pub(super) expected_bytes: usize,
    pub(super) is_write: bool,
    pub(super) data: Vec<u8>,
    /// Bytes of data that a write needs before it can run; 0 once it was passed on.
    pub(super) needed_bytes: usize,
    pub(super) transfer_tag: u32,
    /// The offset at which the requested transfer ends, in bytes.
    pub(super) transfer_end: usize,
    pub(super) data_number: u32,
    pub(super) transfer_count: u32,
    /// The tag of an abort request that is answered after this task.
    pub(super) abort_tag: Option<u32>,
}

impl Task {
    /// Whether data of a write is still missing.
    pub(super) fn is_receiving(&self) -> bool {
        self.is_write && self.data.len() < self.needed_bytes
    }
}

/// The phase of a session.
pub(super) enum Phase {
    Login,
    FullFeature,
    Closing,
}

/// Reasons of Reject PDUs (RFC 7143, section 11.17.1).
#[derive(Clone, Copy)]
pub(super) enum RejectReason {
    ProtocolError = 0x04,
    CommandNotSupported = 0x05,
    TaskInProgress = 0x07,
    InvalidField = 0x09,
}
