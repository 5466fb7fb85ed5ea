//! Handles calls of operators. Commands go into the log, and the response is the outcome of applying them at this member.
use crate::log_thread::status::{maintenance_text, status_text, Status};
use crate::log_thread::thread::LogThread;
use crate::operator_call::{respond, OperatorCall, OperatorResponse, ResponseSender};
use crate::state_machine::Command;
use cluster_types::Time;
use std::time::Duration;

/// How long a caller waits for the outcome.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_400);
/// The maximum number of commands that wait to be added to the log.
pub(crate) const MAX_PENDING_COMMANDS: usize = 256;

impl LogThread {
    pub(crate) fn handle_call(&mut self, now: Time, call: OperatorCall, respond_to: ResponseSender) {
        let command = match call {
            OperatorCall::Status => {
                respond(&respond_to, OperatorResponse::Done(self.status()));
                return;
            }
            OperatorCall::RequestStatus { name } => {
                respond(&respond_to, self.request_status(&name));
                return;
            }
            OperatorCall::ChangeConfig(batch) => {
                self.change_config(now, batch, respond_to);
                return;
            }
            OperatorCall::RequestMaintenance { name, backends, work_ms, deadline_ms, all_at_once } => {
                maintenance::Command::Request { name, backends, work_ms, deadline_ms, all_at_once }
            }
            OperatorCall::Withdraw { name } => maintenance::Command::Withdraw { name },
            OperatorCall::Returned { name, backend } => maintenance::Command::ReturnBackend { name, backend },
            OperatorCall::Done { name } => maintenance::Command::Finish { name },
            OperatorCall::DeclareDead { member } => maintenance::Command::DeclareDead { member },
        };
        if self.pending.len() >= MAX_PENDING_COMMANDS {
            respond(&respond_to, OperatorResponse::Rejected("too many calls wait\n".into()));
            return;
        }
        self.submit(now, Command::Maintenance(command), Some(respond_to));
    }

    fn request_status(&self, name: &str) -> OperatorResponse {
        match self.state.maintenance.status(name) {
            Some(status) => OperatorResponse::Done(maintenance_text(&status)),
            None => OperatorResponse::NotFound(format!("no wish {name:?} is known\n")),
        }
    }

    /// Removes commands that have waited too long: their callers get a response, and the commands are not sent again.
    pub(crate) fn expire_pending(&mut self, now: Time) {
        self.pending.retain(|_, pending| {
            let is_expired = now.since(pending.created_at) >= CALL_TIMEOUT;
            if let Some(respond_to) = pending.respond_to.as_ref().filter(|_| is_expired) {
                let text = "no majority of the fronts could be reached: ask again under the same name\n";
                respond(respond_to, OperatorResponse::Unsettled(text.into()));
            }
            !is_expired
        });
    }

    fn status(&self) -> String {
        let view = self.view.lock();
        status_text(&Status {
            own_id: &self.settings.own_id,
            role: self.raft.role(),
            term: self.raft.term(),
            leader: self.raft.leader(),
            commit_index: self.raft.commit_index(),
            has_lease: self.member_agent.has_lease(self.clock.now()),
            view: &view,
            link_counters: &self.link_counters,
            raft_counters: self.raft.counters(),
            state: &self.state,
        })
    }
}
