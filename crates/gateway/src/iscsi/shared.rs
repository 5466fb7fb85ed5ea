//! State that all sessions of the iSCSI target share.
use crate::context::Context;
use crate::iscsi::write_record::RecordMessage;
use crate::messages::SchedulerMailbox;
use async_channel::Sender;
use config::Iscsi;
use iscsi::target::TargetDescription;
use scheduler::interface::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The identity of a session: the initiator's name and its ISID.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionName {
    /// The initiator's name.
    pub initiator: Rc<str>,
    /// The initiator's session identifier.
    pub isid: [u8; 6],
}

/// A session that is logged in.
pub struct LoggedIn {
    /// Distinguishes sessions of the same name.
    pub number: u64,
    /// A channel that is closed when another session of the same name replaces this one.
    pub replaced: Sender<()>,
}

/// State that all sessions share.
pub struct TargetContext {
    /// The gateway's shared state.
    pub context: Rc<Context>,
    /// The scheduler's mailbox.
    pub scheduler: SchedulerMailbox,
    /// The section `[iscsi]` of the configuration.
    pub iscsi: Iscsi,
    /// The target and its disks as presented to initiators.
    pub description: Rc<TargetDescription>,
    /// The mailbox of the record of writes.
    pub record: Sender<RecordMessage>,
    /// The sessions that are logged in.
    pub sessions: RefCell<BTreeMap<SessionName, LoggedIn>>,
}

/// When the session last made progress.
pub struct Progress {
    /// The number of PDUs read by then.
    pub exchange_count: u64,
    /// The number of bytes sent by then.
    pub bytes_written: u64,
    /// The time.
    pub at: Micros,
}
