//! Runs the maintenance agent of this member and executes its actions.
use crate::gateway_message::GatewayMessage;
use crate::log_thread::thread::LogThread;
use crate::state_machine::Command;
use crate::storage_thread::WriteRequest;
use async_channel::TrySendError;
use cluster_types::Time;
use maintenance::{Action, Event, Report};

/// The ticket of a command whose outcome is not awaited.
pub(crate) const NO_TICKET: u64 = 0;

impl LogThread {
    /// Passes an event to the agent and executes the resulting actions.
    pub(crate) fn handle_agent_event(&mut self, now: Time, event: Event) {
        let mut actions = Vec::new();
        self.member_agent.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out_agent_action(now, action);
        }
    }

    pub(crate) fn carry_out_agent_action(&mut self, now: Time, action: Action) {
        match action {
            Action::Drain { backend, order } => {
                self.unsent.push_back(GatewayMessage::Drain { backend, order });
            }
            Action::Undrain { backend, quota } => {
                self.unsent.push_back(GatewayMessage::Undrain { backend, quota });
            }
            Action::Report(report) => {
                let member = self.settings.own_id.clone();
                let command = match report {
                    Report::Drained { grant } => maintenance::Command::ReportDrained { grant, member },
                    Report::StageAcknowledged { backend, step } => {
                        maintenance::Command::AcknowledgeStage { backend, step, member }
                    }
                };
                // The agent repeats the report itself.
                self.send_to_leader(now, NO_TICKET, Command::Maintenance(command));
            }
            Action::Persist { serial, orders } => {
                if let Ok(bytes) = postcard::to_stdvec(&orders) {
                    // If the mailbox is full, the agent continues to wait for the write, as after a disk failure.
                    drop(self.storage.try_send(WriteRequest::AgentState { serial, bytes }));
                }
            }
        }
    }

    /// Passes new orders to the agent, and sends the waiting messages to the gateway.
    pub(crate) fn update_agent_and_gateway(&mut self, now: Time) {
        if std::mem::take(&mut self.has_new_state) {
            let index = self.state.applied_index;
            let orders = self.state.maintenance.orders(&self.settings.own_id);
            self.handle_agent_event(now, Event::Orders { index, orders });
        }
        self.handle_agent_event(now, Event::Tick);
        while let Some(message) = self.unsent.pop_front() {
            match self.gateway.try_send(message) {
                Ok(()) => {}
                // Preserves the order of the messages: the next call continues with this one.
                Err(TrySendError::Full(message)) => {
                    self.unsent.push_front(message);
                    return;
                }
                Err(TrySendError::Closed(_)) => return,
            }
        }
    }
}
