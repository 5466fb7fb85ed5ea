//! What all sessions of the iSCSI front share.
use crate::context::Context;
use crate::iscsi::write_record::Note;
use crate::messages::SchedulerMailbox;
use async_channel::Sender;
use config::Iscsi;
use iscsi::target::TargetDescription;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Initiator and ISID.
pub type Name = (Rc<str>, [u8; 6]);

/// A number of its own for each session, and what is closed when another replaces it.
type Names = RefCell<BTreeMap<Name, (u64, Sender<()>)>>;

/// What all sessions share.
pub struct Front {
    /// What every actor stands on.
    pub context: Rc<Context>,
    /// The module's mailbox.
    pub scheduler: SchedulerMailbox,
    /// The front's section of the configuration.
    pub iscsi: Iscsi,
    /// What initiators are shown.
    pub shown: Rc<TargetDescription>,
    /// The record of writes.
    pub record: Sender<Note>,
    /// The sessions that are there.
    pub sessions: Names,
}
