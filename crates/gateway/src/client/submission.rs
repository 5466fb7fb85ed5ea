//! Executing the commands of a session: requests go to the scheduler or to the scatter-gather actor.
use crate::backend::value::Answer;
use crate::client::command::Command;
use crate::client::response::{encode, EncodedResponse, Slot};
use crate::client::session::Session;
use crate::context::Context;
use crate::counters::AnswerKind;
use crate::lifecycle::write_claims::{Claim, WriteClaims};
use crate::messages::{SchedulerMailbox, SchedulerMessage, Ticket};
use crate::scatter_gather::handle::GatherRequest;
use dispatch::{Request, EARLIER_ID};
use scheduler::interface::{Idempotency, Micros, RequestId};
use std::rc::Rc;

/// Retry-After of a write that can't be claimed now.
const CLAIM_RETRY_AFTER: Micros = Micros(100_000);

impl Session {
    /// Executes a command: answers it, or submits its request.
    pub(super) fn execute(&mut self, command: Command) {
        match command {
            Command::Answered(response) => self.push(None, Some(EncodedResponse::bytes(response))),
            Command::Request(request) if self.is_over_limit => self.reject(request.class),
            Command::Request(request) => {
                if let Some(request) = self.gather(request) {
                    self.submit(request);
                }
            }
        }
    }

    /// Submits a request to the scheduler; rejects it if the mailbox is full.
    fn submit(&mut self, request: Request) {
        let (id, class) = (self.context.next_request_id(), request.class);
        let slot = self.next_slot();
        let ticket = Ticket { slot, to: self.answers.clone(), class };
        if let Some(claims) = self.claims_for(class) {
            let submission = ClaimedWrite { id, request, ticket, scheduler: self.scheduler.clone() };
            self.context.executor.spawn(submission.claim_and_submit(self.context.clone(), claims)).detach();
            return self.push(Some(id), None);
        }
        match self.scheduler.try_send(SchedulerMessage::Submit(id, request, ticket)) {
            Ok(()) => self.push(Some(id), None),
            Err(_) => self.reject(class),
        }
    }

    /// The claims that a request of this class needs, if it does: it must not run twice, and another process may get it too.
    fn claims_for(&self, class: usize) -> Option<WriteClaims> {
        let claims = self.context.lifecycle.write_claims.borrow().clone()?;
        let config = self.context.config();
        let class = config.settings.classes.get(class)?;
        (class.idempotency == Idempotency::AtMostOnce).then_some(claims)
    }

    fn next_slot(&self) -> u64 {
        self.first_slot + self.slots.len() as u64
    }

    /// Submits a request that is to be gathered from shards to the scatter-gather actor; returns any other request.
    fn gather(&mut self, request: Request) -> Option<Request> {
        let policy = self
            .gather_client
            .as_ref()
            .and_then(|client| client.gathering.policy(&self.context.config(), &request));
        let (Some(gather_client), Some(policy)) = (&self.gather_client, policy) else { return Some(request) };
        let (id, class) = (self.context.next_request_id(), request.class);
        let slot = self.next_slot();
        let gather_request =
            GatherRequest { id, policy, request, slot, to: gather_client.responses.0.clone() };
        if gather_client.gathering.begin(gather_request) {
            self.slots.push_back(Slot { id: Some(id), is_gathered: true, response: None });
        } else {
            self.reject(class);
        }
        None
    }

    /// Rejects a request without passing it to the scheduler.
    fn reject(&mut self, class: usize) {
        self.context.counters.count_answer(class, AnswerKind::Rejected);
        self.push(None, Some(encode(Answer::Rejected(None))));
    }
}

/// A write that is to be claimed before it is submitted.
struct ClaimedWrite {
    id: RequestId,
    request: Request,
    ticket: Ticket,
    scheduler: SchedulerMailbox,
}

impl ClaimedWrite {
    /// Claims the write and submits it, or answers it where that is not possible.
    async fn claim_and_submit(self, context: Rc<Context>, claims: WriteClaims) {
        let ClaimedWrite { id, request, ticket, scheduler } = self;
        let name = request.name.to_string();
        // On a blocking thread, since the disk may be slow.
        let (answer, kind) = match blocking::unblock(move || claims.claim(&name)).await {
            // The client may have disconnected meanwhile; its session has told the scheduler so before this.
            Ok(Claim::Taken) if ticket.to.is_closed() => return,
            Ok(Claim::Taken) => {
                // The mailbox is closed only at the end of the process.
                return drop(scheduler.send(SchedulerMessage::Submit(id, request, ticket)).await);
            }
            Ok(Claim::Refused) => (Answer::Failed(EARLIER_ID), AnswerKind::Failed),
            Err(error) => {
                crate::log::line(format_args!("claim error={error}"));
                (Answer::Rejected(Some(CLAIM_RETRY_AFTER)), AnswerKind::Rejected)
            }
        };
        context.counters.count_answer(ticket.class, kind);
        // A closed mailbox belongs to a client that has disconnected.
        drop(ticket.to.try_send((ticket.slot, answer)));
    }
}
