//! The state of one backend that its actor and its attempts share.
use crate::backend::start_times::Start;
use crate::backend::statistics::BackendStatistics;
use crate::context::Context;
use crate::messages::SchedulerMailbox;
use config::BackendProtocol;
use dispatch::Attempt;
use scheduler::interface::BackendEntry;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// A backend's entry on the endpoint list; attempts that wait for a connection read it, too.
pub struct Endpoint {
    /// The entry as the scheduler knows it.
    pub entry: RefCell<BackendEntry>,
    /// The address it listens at.
    pub address: Cell<Option<SocketAddr>>,
    /// Whether it is draining or gone.
    pub is_closed: Cell<bool>,
    /// Its last start, where the list reports one.
    pub start: Cell<Option<Start>>,
    /// The protocol it speaks.
    pub protocol: Cell<BackendProtocol>,
    /// The name of its target, for iSCSI.
    pub target_name: RefCell<String>,
    /// The number of its idle connections.
    pub idle_count: Cell<usize>,
    /// Statistics of its attempts.
    pub statistics: Rc<BackendStatistics>,
    /// Grows with each restart and each change of address; connections belong to one incarnation.
    pub incarnation: Cell<u32>,
}

/// What a backend's actor and its attempts share.
#[derive(Clone)]
pub struct BackendContext {
    /// The gateway's shared state.
    pub context: Rc<Context>,
    /// Receives the outcomes of attempts.
    pub scheduler: SchedulerMailbox,
    /// The backend.
    pub endpoint: Rc<Endpoint>,
    /// Closes an idle connection to any backend; false where there is none.
    pub evict_idle_connection: Rc<dyn Fn() -> bool>,
}

impl BackendContext {
    /// Whether an attempt may begin here and now. To be checked right before sending, after every wait.
    pub fn may_begin(&self, attempt: &Attempt) -> bool {
        !self.endpoint.is_closed.get() && attempt.may_begin(self.context.clock.now())
    }
}
