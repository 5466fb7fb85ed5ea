//! Applies committed entries, and responds to operators that wait for them.
use crate::log_thread::status::maintenance_text;
use crate::log_thread::thread::LogThread;
use crate::operator_call::{respond, OperatorResponse, ResponseSender};
use crate::state_machine::CatalogueChange;
use cluster_types::Index;
use maintenance::{Effect, Rejection};

impl LogThread {
    pub(crate) fn apply_entry(&mut self, index: Index, data: &[u8]) {
        let applied = self.state.apply(index, data);
        self.has_new_state = true;
        for effect in &applied.effects {
            self.log_effect(effect);
        }
        self.forward_catalogue_change(&applied.catalogue);
        let own_ticket = applied.by.filter(|(member, _)| *member == self.settings.own_id);
        let Some((_, ticket)) = own_ticket else { return };
        let Some(respond_to) = self.complete_command(ticket) else { return };
        let response = match applied.catalogue {
            CatalogueChange::BatchApplied { version, .. } => OperatorResponse::Done(version.0.to_string()),
            CatalogueChange::Unchanged | CatalogueChange::Replaced => maintenance_response(&applied.effects),
        };
        respond(&respond_to, response);
    }

    /// Removes a command that was applied; returns the channel for its outcome, if anyone waits for it.
    fn complete_command(&mut self, ticket: u64) -> Option<ResponseSender> {
        self.pending.remove(&ticket)?.respond_to
    }
}

/// Converts the effects of a command to the response to the operator.
fn maintenance_response(effects: &[Effect]) -> OperatorResponse {
    let mut response = OperatorResponse::Done("done\n".into());
    for effect in effects {
        match effect {
            Effect::Status(status) | Effect::RequestEnded(status) => {
                response = OperatorResponse::Done(maintenance_text(status));
            }
            Effect::Rejected { command, reason } => {
                let text = format!("{command}: {reason}\n");
                return match reason {
                    Rejection::NotFound | Rejection::NotListed(_) | Rejection::MemberNotPresent => {
                        OperatorResponse::NotFound(text)
                    }
                    _ => OperatorResponse::Rejected(text),
                };
            }
            _ => {}
        }
    }
    response
}
