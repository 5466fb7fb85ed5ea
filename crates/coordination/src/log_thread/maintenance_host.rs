//! Runs this member's own part in maintenance: carries out what it asks for.
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
    /// Hands an event to the local part and carries out the actions.
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
                // The local part repeats its report by itself.
                self.send_to_leader(now, NO_TICKET, Command::Maintenance(command));
            }
            Action::Persist { serial, orders } => {
                if let Ok(bytes) = postcard::to_stdvec(&orders) {
                    // Where the mailbox is full, the local part goes on waiting for the write, as after a failure of the disk.
                    drop(self.storage.try_send(WriteRequest::AgentState { serial, bytes }));
                }
            }
        }
    }

    /// Tells the local part of new orders, and sends the gateway what waits.
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
                // Guards the order of the messages: the next turn goes on with this one.
                Err(TrySendError::Full(message)) => {
                    self.unsent.push_front(message);
                    return;
                }
                Err(TrySendError::Closed(_)) => return,
            }
        }
    }
}
