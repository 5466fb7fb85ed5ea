//! Types that a target session exchanges with its caller, and its internal state.
use crate::scsi::{Disk, Sense};

/// The properties of a target that initiators see.
#[derive(Clone, Debug)]
pub struct TargetDescription {
    /// The target's iSCSI name.
    pub name: String,
    /// The address of its portal, for SendTargets.
    pub address: String,
    /// Its logical units.
    pub disks: Vec<Disk>,
}

/// An event that the caller must handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A normal session has begun.
    LoggedIn {
        /// The initiator's iSCSI name.
        initiator: String,
        /// The initiator's part of the session identifier.
        isid: [u8; 6],
    },
    /// Read these blocks.
    Read {
        /// The task's tag.
        tag: u32,
        /// The LUN.
        lun: u8,
        /// The first block.
        lba: u64,
        /// The number of blocks.
        blocks: u32,
    },
    /// Write these blocks; their data is complete.
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
    /// Close the connection once all output is written.
    Close,
}

/// The outcome of a read or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome<'a> {
    /// It succeeded, with the data of a read.
    Good(&'a [u8]),
    /// It was not executed; the initiator may retry after this number of milliseconds.
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
    /// The bytes of data that a write needs before it can run; 0 once it has been reported to the caller.
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
